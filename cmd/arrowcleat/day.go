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

// errRulesBroken is the error of a scenario, a soak or an audit that found a broken rule.
var errRulesBroken = errors.New("rules were broken")

// dayCommand returns the command that runs a fault scenario and checks the rules.
func dayCommand() *cobra.Command {
	var file, like, trouble, dir, fault, level string
	var seed uint64
	var cores, nodes, marshals uint32
	var rate float64
	var asJSON, processes, recording, quiet bool
	c := &cobra.Command{
		Use:   "day",
		Short: "Run a fault scenario on loopback sockets and check the rules",
		Long: `day starts stand-in nodes, a service registry, a rollout service, several marshals and clients on loopback
addresses, injects faults by a script, and then checks the rules against what clients, nodes, registry and rollout
service observed on their sockets. Without arguments it runs the built-in scenario, in under 30 seconds.

Exit code 0: no rule was broken, and every accepted invocation got exactly one final answer. 1: otherwise.`,
		Example: `  arrowcleat day
  arrowcleat day --trouble slow_link --seed 7
  arrowcleat day --json --seed 3
  arrowcleat day --plant drain        # injects this fault into the marshals: must be detected, exit code 1`,
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
			if _, err := plant.Hooks(fault); err != nil {
				return badInput{err}
			}
			if dir == "" {
				if dir, err = os.MkdirTemp("", "arrowcleat-day-"); err != nil {
					return err
				}
				defer os.RemoveAll(dir)
			}
			o := day.Options{Scenario: plan, Seed: seed, Dir: dir, InjectFault: fault, RecordModules: recording}
			if processes {
				if o.Binary, err = os.Executable(); err != nil {
					return err
				}
			}
			var levelVar slog.LevelVar
			o.Logger = newLogger(os.Stderr, &settings.Log{Level: level, Form: "text"}, &levelVar)
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
				printResult(c, plan, out)
			}
			if !out.Clean() {
				return errRulesBroken
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&file, "plan", "", "file with a scenario, protobuf text format (docs/days.md)")
	f.StringVar(&like, "like", "", "file with a scenario that the bench drew or found: runs its faults at a size for this machine")
	f.StringVar(&trouble, "trouble", "", "inject only faults of this kind: "+strings.Join(day.FaultKinds(), ", "))
	f.Uint64Var(&seed, "seed", 1, "seed of all random choices")
	f.Uint32Var(&cores, "cores", 0, "module instances in each marshal (default: as in the scenario)")
	f.Uint32Var(&nodes, "nodes", 0, "number of stand-in nodes (default: as in the scenario)")
	f.Uint32Var(&marshals, "marshals", 0, "number of marshals (default: as in the scenario)")
	f.Float64Var(&rate, "rate", 0, "invocations per second (default: as in the scenario)")
	f.StringVar(&dir, "dir", "", "folder to keep the records in (default: a temporary folder, removed at the end)")
	f.StringVar(&fault, "plant", "",
		"software fault to inject into the marshals, which the checks must detect: "+strings.Join(plant.Faults(), ", "))
	f.StringVar(&level, "log", "error", "log level of the marshals: debug, info, warn, error")
	f.BoolVar(&asJSON, "json", false, "print one JSON object and nothing else")
	f.BoolVar(&processes, "processes", false, "run each marshal and node in its own process")
	f.BoolVar(&recording, "record", false, "record the events and calls of each marshal's module in --dir")
	f.BoolVar(&quiet, "quiet", false, "do not print events as they happen")
	c.MarkFlagsMutuallyExclusive("plan", "like", "trouble")
	return c
}

// printResult prints the builds, the response times by operation and the checked rules.
func printResult(c *cobra.Command, plan *settings.Day, out *day.Result) {
	w := c.OutOrStdout()
	fmt.Fprintf(w, "\nseed %d\n", out.Seed)
	for _, b := range out.Builds {
		fmt.Fprintln(w, b)
	}
	fmt.Fprintf(w, "\n%-14s %9s %9s %9s   ms until the answer, of succeeded invocations\n", "operation", "p50", "p99", "p99.9")
	for i, o := range plan.Settings.Operation {
		times := out.AnswerTimes(i, 0.5, 0.99, 0.999)
		fmt.Fprintf(w, "%-14s %9.1f %9.1f %9.1f\n", o.Name, times[0], times[1], times[2])
	}
	fmt.Fprintln(w)
	out.WriteTable(w)
}

// auditCommand returns the command that checks the rules from the records of a scenario.
func auditCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "audit DIR",
		Short: "Check the rules from the records of a scenario in a folder",
		Long: `audit reads settings.txtpb and all *.seen files of a folder, as written by day --dir, and checks the rules from
them alone. Exit code 0: no rule was broken; 1: a rule was broken; 2: the folder can't be read.`,
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
				return errRulesBroken
			}
			return nil
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	return c
}

// replayCommand returns the command that replays a recording against a new decision module.
func replayCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "replay FILE",
		Short: "Replay a marshal's recording against a new decision module",
		Long: `replay passes the recorded events to a new module and compares its calls with the recorded ones. Exit code 0: all
decisions are the same; 1: they differ, and the first difference is printed; 2: the file is not a recording. An
incomplete last entry, as left by a killed process, is not a difference.`,
		Args: oneFile,
		RunE: func(c *cobra.Command, args []string) error {
			r, err := record.Open(args[0])
			if err != nil {
				return badInput{err}
			}
			defer r.Close()
			out, err := record.Replay(r, func(h balance.Host, start *record.Entry) divide.Module {
				return balance.New(h, start.Settings.InstanceSettings(int(start.No)), start.Seed)
			})
			if err != nil {
				return badInput{fmt.Errorf("%s: %w", args[0], err)}
			}
			truncated := ""
			if out.Truncated {
				truncated = ", last entry incomplete"
			}
			fmt.Fprintf(c.OutOrStdout(), "%d events, %d calls%s\n", out.Events, out.Calls, truncated)
			if out.FirstDifference != "" {
				return fmt.Errorf("the first different decision is at event %d (clock %.3f ms): %s", out.EventNumber, out.ClockMs,
					out.FirstDifference)
			}
			fmt.Fprintln(c.OutOrStdout(), "all decisions are the same")
			return nil
		},
	}
}
