package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"arrowcleat/internal/day"
	"arrowcleat/internal/measure"
)

// measureCores measures on one core after the other.
func measureCores() *cobra.Command {
	o := measure.Options{Clients: 64, RatePerS: 2000}
	seconds, counts := 4.0, []int{1, 2, 4, 8}
	c := &cobra.Command{
		Use:   "cores",
		Short: "Measure marshal and reverse proxy on 1, 2, 4 and 8 cores",
		Long: `cores measures a marshal with as many cores (the setting, and GOMAXPROCS) and net/http/httputil's ReverseProxy with as
many (GOMAXPROCS), one after the other, with the same nodes and clients. While there are processors to spare, what is
measured has its own and load and nodes have the others ("apart"); else they share, and invocations a second say
little: look at those for a second of CPU.`,
		Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var err error
			if o.Binary, err = os.Executable(); err != nil {
				return err
			}
			if o.Dir, err = os.MkdirTemp("", "arrowcleat-measure-"); err != nil {
				return err
			}
			defer os.RemoveAll(o.Dir)
			o.Settings, o.LoopDuration = day.DefaultScenario().Settings, time.Duration(seconds*float64(time.Second))
			w := c.OutOrStdout()
			fmt.Fprintf(w, "%d nodes, %d clients; open loop at %g a second\n\n", o.Nodes, o.Clients, o.RatePerS)
			fmt.Fprintf(w, "%5s %-14s %6s %9s %10s %6s %6s %9s %9s %9s %8s %7s\n", "cores", "way", "apart", "inv/s", "inv/CPU-s", "busy",
				"load", "p50 ms", "p99 ms", "p99.9 ms", "behind", "failed")
			return measure.RunOnCores(c.Context(), o, counts, func(r measure.CoresResult) {
				fmt.Fprintf(w, "%5d %-14s %6t %9.0f %10.0f %6.2f %6.2f %9.3f %9.3f %9.3f %8d %7d\n", r.Cores, r.Target, r.Isolated, r.InvocationsPerS,
					r.InvocationsPerCPUS, r.TargetCPUs, r.LoadCPUs, r.P50Ms, r.P99Ms, r.P999Ms, r.LateSends, r.Failed)
			})
		},
	}
	f := c.Flags()
	f.IntVar(&o.Nodes, "nodes", 15, "stand-in nodes")
	f.IntVar(&o.Clients, "clients", o.Clients, "connections of the closed loop")
	f.Float64Var(&o.RatePerS, "rate", o.RatePerS, "invocations a second of the open loop")
	f.Float64Var(&seconds, "seconds", seconds, "of each loop")
	f.IntSliceVar(&counts, "counts", counts, "numbers of cores")
	return c
}

func measureCommand() *cobra.Command {
	o := measure.Options{Clients: 32, RatePerS: 2000, IdleConns: 1000, GoMaxProcs: 2}
	seconds := 4.0
	c := &cobra.Command{
		Use:   "measure",
		Short: "Measure a marshal beside a plain reverse proxy and beside going direct",
		Long: `measure starts nodes that answer at once, and sends the same load to them direct, through net/http/httputil's
ReverseProxy with random choice, and through a marshal, each a process of its own. It prints invocations a second
and for each second of CPU (closed loop), times from when an invocation was due (open loop), and memory for a
connection.`,
		Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var err error
			if o.Binary, err = os.Executable(); err != nil {
				return err
			}
			if o.Dir, err = os.MkdirTemp("", "arrowcleat-measure-"); err != nil {
				return err
			}
			defer os.RemoveAll(o.Dir)
			o.Settings, o.LoopDuration = day.DefaultScenario().Settings, time.Duration(seconds*float64(time.Second))
			rows, err := measure.Run(c.Context(), o)
			if err != nil {
				return err
			}
			w := c.OutOrStdout()
			fmt.Fprintf(w, "%d nodes, %d clients; open loop at %g a second; GOMAXPROCS %d for what is measured\n\n", o.Nodes, o.Clients,
				o.RatePerS, o.GoMaxProcs)
			fmt.Fprintf(w, "%-14s %10s %12s %9s %9s %9s %8s %10s %7s\n", "way", "inv/s", "inv/CPU-s", "p50 ms", "p99 ms", "p99.9 ms",
				"behind", "KiB/conn", "failed")
			for _, r := range rows {
				fmt.Fprintf(w, "%-14s %10.0f %12.0f %9.3f %9.3f %9.3f %8d %10.1f %7d\n", r.Target, r.InvocationsPerS, r.InvocationsPerCPUS, r.P50Ms, r.P99Ms,
					r.P999Ms, r.LateSends, r.KiBPerConn, r.Failed)
			}
			return nil
		},
	}
	f := c.Flags()
	f.IntVar(&o.Nodes, "nodes", 15, "stand-in nodes")
	f.IntVar(&o.Clients, "clients", o.Clients, "connections of the closed loop")
	f.Float64Var(&o.RatePerS, "rate", o.RatePerS, "invocations a second of the open loop")
	f.Float64Var(&seconds, "seconds", seconds, "of each loop")
	f.IntVar(&o.IdleConns, "idle", o.IdleConns, "connections whose memory is weighed")
	f.IntVar(&o.GoMaxProcs, "procs", o.GoMaxProcs, "GOMAXPROCS of what is measured")
	c.AddCommand(measureCores(), &cobra.Command{Use: "proxy ADDRESS...", Hidden: true, Short: "The reverse proxy that is measured against",
		RunE: func(c *cobra.Command, args []string) error { return measure.Proxy(args, os.Stdin, os.Stdout) }})
	return c
}
