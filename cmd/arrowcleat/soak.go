package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"

	"github.com/spf13/cobra"

	"arrowcleat/internal/faults"
	"arrowcleat/internal/serve"
	"arrowcleat/internal/soak"
)

// runsAtOnce leaves each run two processors: what it checks is bound to times.
var runsAtOnce = max(1, runtime.NumCPU()/2)

func soakCommand() *cobra.Command {
	var seed uint64
	var runs int
	var dir, program string
	c := &cobra.Command{
		Use:   "soak",
		Short: "Play seeded runs of the platform's marshal under signals, and audit them",
		Long: `soak plays runs of "arrowcleat platform" as a process on loopback: stand-in discovery, release API and nodes, clients that use
their connections until the kill, signals in series, restarts; in half of the runs the machine lacks sockets now and then, reads short, writes
in pieces, holds steps up and steps its wall clock, and in most some connections are reset, cut, late, held or half open on the way. All is drawn from the seed: the same seed plays the same plan.

Exit code 0: every run kept the rules. 1: one did not; its logs stay in --dir.`,
		Example: "  arrowcleat soak --seed 1 --runs 50",
		Args:    noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var err error
			if program == "" {
				if program, err = os.Executable(); err != nil {
					return err
				}
			}
			if dir == "" {
				if dir, err = os.MkdirTemp("", "arrowcleat-soak-"); err != nil {
					return err
				}
			}
			return soakAll(c.OutOrStdout(), soak.Options{Dir: dir, Program: []string{program, underFaults}}, seed, runs)
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "the first run's")
	c.Flags().IntVar(&runs, "runs", 1, "how many, with the seeds that follow")
	c.Flags().StringVar(&program, "program", "", "another build of arrowcleat to play; this one where it is left out")
	c.Flags().StringVar(&dir, "dir", "", "for logs and configurations, a folder a seed; a temporary one where it is left out")
	return c
}

// underFaults is the command by which the soak starts a marshal.
const underFaults = "platform-under-faults"

// underFaultsCommand is platform on a machine with faults, where the environment tells their seed.
func underFaultsCommand() *cobra.Command {
	var level string
	c := &cobra.Command{
		Use:    underFaults,
		Short:  "Run the platform's marshal on a machine with seeded faults; for the soak",
		Hidden: true,
		Args:   noArgs,
		RunE: func(*cobra.Command, []string) error {
			var hooks serve.Hooks
			if text := os.Getenv(soak.FaultSeedEnv); text != "" {
				seed, err := strconv.ParseUint(text, 10, 64)
				if err != nil {
					return badInput{fmt.Errorf("%s: %w", soak.FaultSeedEnv, err)}
				}
				hooks = faults.NewMachine(seed).Hooks()
			}
			return runOnPlatform(os.Getenv("GW_CONFIG"), level, hooks)
		},
	}
	c.Flags().StringVar(&level, "log", "info", "as of platform")
	return c
}

// soakAll plays runs, some at once, and prints each, and what was checked in all.
func soakAll(out io.Writer, o soak.Options, seed uint64, runs int) error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	broken, requests, checked := 0, 0, map[string]int{}
	room := make(chan struct{}, runsAtOnce)
	for i := range runs {
		one := o
		one.Plan = soak.RandomPlan(seed + uint64(i))
		one.Dir = filepath.Join(o.Dir, fmt.Sprint(one.Plan.Seed))
		room <- struct{}{}
		wg.Go(func() {
			defer func() { <-room }()
			outcome, err := playSoak(one)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				broken++
				fmt.Fprintf(out, "seed %d: %v\n", one.Plan.Seed, err)
				return
			}
			requests += outcome.Invocations
			for rule, n := range outcome.Checked {
				checked[rule] += n
			}
			if !outcome.Clean() {
				broken++
			}
			outcome.Print(out)
		})
	}
	wg.Wait()
	fmt.Fprintf(out, "%d runs, %d requests taken, checked %v; %d runs with findings; logs in %s\n", runs, requests, checked, broken, o.Dir)
	if broken > 0 {
		return errBroken
	}
	return nil
}

func playSoak(o soak.Options) (*soak.Result, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, err
	}
	return soak.Run(o)
}
