package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"arrowcleat/balance"
	"arrowcleat/divide"
	"arrowcleat/internal/audit"
	"arrowcleat/internal/day"
	"arrowcleat/internal/plant"
	"arrowcleat/internal/record"
	"arrowcleat/internal/settings"
)

// errBroken is the end of a day or an audit that found a rule broken.
var errBroken = errors.New("rules were broken")

func dayCommand() *cobra.Command {
	var file, like, trouble, dir, planted, level string
	var seed uint64
	var cores, nodes, marshals uint32
	var rate float64
	var asJSON, processes, rec, quiet bool
	c := &cobra.Command{
		Use:   "day",
		Short: "Play a scripted bad day on loopback sockets and audit it",
		Long: `day starts stand-in nodes, a roster, a conveyor, several marshals and clients on loopback addresses, plays a
script of troubles, and then checks the rules from what clients, nodes, roster and conveyor saw on their sockets.
With no arguments it plays the day that is built in, in under 30 seconds.

Exit code 0: no rule was broken, and every invocation taken got exactly one final answer. 1: one was, or not.`,
		Example: `  arrowcleat day
  arrowcleat day --trouble slow_link --seed 7
  arrowcleat day --json --seed 3
  arrowcleat day --plant drain        # a marshal with this fault: must be found, exit code 1`,
		Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			plan := day.DefaultScenario()
			var err error
			switch {
			case file != "":
				plan, err = day.LoadScenario(file)
			case like != "":
				plan, err = day.LoadBenchScenario(like)
			case trouble != "":
				plan, err = day.DefaultWithFault(trouble)
			}
			if err != nil {
				return badInput{err}
			}
			if cores > 0 {
				plan.Settings.Instance.Cores = cores
			}
			if err := day.Resize(plan, nodes, marshals, rate); err != nil {
				return badInput{err}
			}
			if _, err := plant.Hooks(planted); err != nil {
				return badInput{err}
			}
			if dir == "" {
				if dir, err = os.MkdirTemp("", "arrowcleat-day-"); err != nil {
					return err
				}
				defer os.RemoveAll(dir)
			}
			o := day.Options{Scenario: plan, Seed: seed, Dir: dir, InjectFault: planted, RecordModules: rec}
			if processes {
				if o.Binary, err = os.Executable(); err != nil {
					return err
				}
			}
			var l slog.LevelVar
			o.Logger = logger(os.Stderr, &settings.Log{Level: level, Form: "text"}, &l)
			if !asJSON && !quiet {
				o.Progressf = func(format string, a ...any) { fmt.Fprintf(c.OutOrStdout(), format+"\n", a...) }
			}
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			out, err := day.Run(ctx, o)
			if err != nil {
				return err
			}
			if asJSON {
				b, err := json.Marshal(out)
				if err != nil {
					return err
				}
				fmt.Fprintln(c.OutOrStdout(), string(b))
			} else {
				printDay(c, plan, out)
			}
			if !out.Clean() {
				return errBroken
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&file, "plan", "", "file of a day, protobuf text format (docs/days.md)")
	f.StringVar(&like, "like", "", "file of a day that the bench drew or found: plays its troubles at a size for this machine")
	f.StringVar(&trouble, "trouble", "", "play only this trouble: "+strings.Join(day.FaultKinds(), ", "))
	f.Uint64Var(&seed, "seed", 1, "of all that is random")
	f.Uint32Var(&cores, "cores", 0, "instances of the module in each marshal (left out: as the day says)")
	f.Uint32Var(&nodes, "nodes", 0, "stand-in nodes, in place of the day's")
	f.Uint32Var(&marshals, "marshals", 0, "marshals, in place of the day's")
	f.Float64Var(&rate, "rate", 0, "invocations a second, in place of the day's")
	f.StringVar(&dir, "dir", "", "folder to keep the records in (left out: they are removed)")
	f.StringVar(&planted, "plant", "", "plant a fault in the marshals: "+strings.Join(plant.Faults(), ", "))
	f.StringVar(&level, "log", "error", "level of the marshals' log: debug, info, warn, error")
	f.BoolVar(&asJSON, "json", false, "print one JSON object and nothing else")
	f.BoolVar(&processes, "processes", false, "run each marshal and node as a process of its own")
	f.BoolVar(&rec, "record", false, "let each marshal record what its module is told and asks for, into --dir")
	f.BoolVar(&quiet, "quiet", false, "do not tell what happens while it happens")
	c.MarkFlagsMutuallyExclusive("plan", "like", "trouble")
	return c
}

func printDay(c *cobra.Command, plan *settings.Day, out *day.Result) {
	w := c.OutOrStdout()
	fmt.Fprintf(w, "\nseed %d\n", out.Seed)
	for _, b := range out.Builds {
		fmt.Fprintln(w, b)
	}
	fmt.Fprintf(w, "\n%-14s %9s %9s %9s   ms until the answer of what succeeded\n", "operation", "p50", "p99", "p99.9")
	for i, o := range plan.Settings.Operation {
		t := out.AnswerTimes(i, 0.5, 0.99, 0.999)
		fmt.Fprintf(w, "%-14s %9.1f %9.1f %9.1f\n", o.Name, t[0], t[1], t[2])
	}
	fmt.Fprintln(w)
	out.WriteTable(w)
}

func auditCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "audit DIR",
		Short: "Check the rules of a day from the records in a folder",
		Long: `audit reads settings.txtpb and every *.seen of a folder, as day --dir leaves them, and checks the rules from them
alone. Exit code 0: none was broken; 1: one was; 2: the folder can't be read.`,
		Args: oneFile,
		RunE: func(c *cobra.Command, args []string) error {
			r, err := audit.CheckDir(args[0])
			if err != nil {
				return badInput{err}
			}
			if asJSON {
				b, err := json.Marshal(r)
				if err != nil {
					return err
				}
				fmt.Fprintln(c.OutOrStdout(), string(b))
			} else {
				r.WriteTable(c.OutOrStdout())
			}
			if !r.Clean() {
				return errBroken
			}
			return nil
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	return c
}

func replayCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "replay FILE",
		Short: "Drive a fresh decision module with a marshal's record",
		Long: `replay tells a fresh module all that a marshal's module was told, and compares what it asks for with what was
asked for then. Exit code 0: every decision came out the same; 1: the first that did not is printed; 2: the file
is no record. A torn tail, as a kill leaves it, is no difference.`,
		Args: oneFile,
		RunE: func(c *cobra.Command, args []string) error {
			r, err := record.Open(args[0])
			if err != nil {
				return badInput{err}
			}
			defer r.Close()
			out, err := record.Replay(r, func(h balance.Host, start *record.Entry) divide.Module {
				return balance.New(h, start.Settings.ModuleOf(int(start.No)), start.Seed)
			})
			if err != nil {
				return badInput{fmt.Errorf("%s: %w", args[0], err)}
			}
			torn := ""
			if out.Truncated {
				torn = ", with a torn tail"
			}
			fmt.Fprintf(c.OutOrStdout(), "%d events, %d calls%s\n", out.Events, out.Calls, torn)
			if out.FirstDifference != "" {
				return fmt.Errorf("the first different decision is at event %d (clock %.3f ms): %s", out.EventNumber, out.ClockMs,
					out.FirstDifference)
			}
			fmt.Fprintln(c.OutOrStdout(), "every decision came out the same")
			return nil
		},
	}
}
