package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"arrowcleat/internal/day"
	"arrowcleat/internal/measure"
)

// measureCoresCommand returns the command that measures with several numbers of cores, one after the other.
func measureCoresCommand() *cobra.Command {
	o := measure.Options{Clients: 64, RatePerS: 2000}
	seconds, counts := 4.0, []int{1, 2, 4, 8}
	c := &cobra.Command{
		Use:   "cores",
		Short: "Measure a marshal and a reverse proxy on 1, 2, 4 and 8 cores",
		Long: `cores measures a marshal with a number of cores (the setting, and GOMAXPROCS) and net/http/httputil's ReverseProxy
with the same GOMAXPROCS, one after the other, with the same nodes and clients. If there are enough processors, the
measured process has its own, and the load and the nodes have the others ("apart"). Otherwise they share processors,
and invocations per second mean little: compare invocations per second of CPU.`,
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
			fmt.Fprintf(w, "%d nodes, %d clients; open loop at %g per second\n\n", o.Nodes, o.Clients, o.RatePerS)
			fmt.Fprintf(w, "%5s %-14s %6s %9s %10s %6s %6s %9s %9s %9s %8s %7s\n", "cores", "way", "apart", "inv/s", "inv/CPU-s", "busy",
				"load", "p50 ms", "p99 ms", "p99.9 ms", "behind", "failed")
			return measure.RunOnCores(c.Context(), o, counts, func(r measure.CoresResult) {
				fmt.Fprintf(w, "%5d %-14s %6t %9.0f %10.0f %6.2f %6.2f %9.3f %9.3f %9.3f %8d %7d\n", r.Cores, r.Target, r.Isolated,
					r.InvocationsPerS, r.InvocationsPerCPUS, r.TargetCPUs, r.LoadCPUs, r.P50Ms, r.P99Ms, r.P999Ms,
					r.LateSends, r.Failed)
			})
		},
	}
	f := c.Flags()
	f.IntVar(&o.Nodes, "nodes", 15, "number of stand-in nodes")
	f.IntVar(&o.Clients, "clients", o.Clients, "number of connections in the closed loop")
	f.Float64Var(&o.RatePerS, "rate", o.RatePerS, "invocations per second in the open loop")
	f.Float64Var(&seconds, "seconds", seconds, "duration of each loop in seconds")
	f.IntSliceVar(&counts, "counts", counts, "numbers of cores to measure")
	return c
}

// measureCommand returns the command that measures a marshal, a reverse proxy and direct connections.
func measureCommand() *cobra.Command {
	o := measure.Options{Clients: 32, RatePerS: 2000, IdleConns: 1000, GoMaxProcs: 2}
	seconds := 4.0
	c := &cobra.Command{
		Use:   "measure",
		Short: "Compare a marshal with a plain reverse proxy and with direct connections",
		Long: `measure starts nodes that answer immediately, and sends the same load to them directly, through
net/http/httputil's ReverseProxy with random choice, and through a marshal, each in its own process. It prints
invocations per second and per second of CPU (closed loop), response times from when an invocation was due (open
loop), and memory per connection.`,
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
			fmt.Fprintf(w, "%d nodes, %d clients; open loop at %g per second; GOMAXPROCS %d for the measured process\n\n", o.Nodes,
				o.Clients, o.RatePerS, o.GoMaxProcs)
			fmt.Fprintf(w, "%-14s %10s %12s %9s %9s %9s %8s %10s %7s\n", "way", "inv/s", "inv/CPU-s", "p50 ms", "p99 ms", "p99.9 ms",
				"behind", "KiB/conn", "failed")
			for _, r := range rows {
				fmt.Fprintf(w, "%-14s %10.0f %12.0f %9.3f %9.3f %9.3f %8d %10.1f %7d\n", r.Target, r.InvocationsPerS,
					r.InvocationsPerCPUS, r.P50Ms, r.P99Ms, r.P999Ms, r.LateSends, r.KiBPerConn, r.Failed)
			}
			return nil
		},
	}
	f := c.Flags()
	f.IntVar(&o.Nodes, "nodes", 15, "number of stand-in nodes")
	f.IntVar(&o.Clients, "clients", o.Clients, "number of connections in the closed loop")
	f.Float64Var(&o.RatePerS, "rate", o.RatePerS, "invocations per second in the open loop")
	f.Float64Var(&seconds, "seconds", seconds, "duration of each loop in seconds")
	f.IntVar(&o.IdleConns, "idle", o.IdleConns, "number of idle connections whose memory is measured")
	f.IntVar(&o.GoMaxProcs, "procs", o.GoMaxProcs, "GOMAXPROCS of the measured process")
	c.AddCommand(measureCoresCommand(), &cobra.Command{Use: "proxy ADDRESS...", Hidden: true,
		Short: "Run the reverse proxy that measure compares with",
		RunE:  func(c *cobra.Command, args []string) error { return measure.Proxy(args, os.Stdin, os.Stdout) }})
	return c
}
