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

// maxParallelRuns leaves two processors to each run, because its checks depend on timing.
var maxParallelRuns = max(1, runtime.NumCPU()/2)

// soakCommand returns the command that runs seeded soak tests.
func soakCommand() *cobra.Command {
	var seed uint64
	var runs int
	var dir, program string
	c := &cobra.Command{
		Use:   "soak",
		Short: "Run the platform's marshal under signals and faults by seed, and check the rules",
		Long: `soak runs "arrowcleat platform" as a process on loopback, with stand-ins for discovery, release API and nodes, with
clients that use their connections until the process is killed, with series of signals, and with restarts. In half of
the runs the machine is short of sockets at times, splits reads and writes, delays steps and steps its wall clock. In
most runs some connections are reset, cut, delayed, stalled or half open. The seed determines everything: the same
seed runs the same plan.

Exit code 0: every run kept the rules. 1: a run did not; its logs stay in --dir.`,
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
			return runSoaks(c.OutOrStdout(), soak.Options{Dir: dir, Program: []string{program, faultsCommandName}}, seed, runs)
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the first run")
	c.Flags().IntVar(&runs, "runs", 1, "number of runs, with consecutive seeds")
	c.Flags().StringVar(&program, "program", "", "arrowcleat binary to run (default: this one)")
	c.Flags().StringVar(&dir, "dir", "",
		"folder for logs and configurations, with a sub-folder for each seed (default: a temporary folder)")
	return c
}

// faultsCommandName is the sub-command with which the soak starts a marshal.
const faultsCommandName = "platform-under-faults"

// faultsCommand returns the command that runs a marshal like platform, with injected machine faults if the environment
// contains their seed.
func faultsCommand() *cobra.Command {
	var level string
	c := &cobra.Command{
		Use:    faultsCommandName,
		Short:  "Run the platform's marshal with seeded machine faults; used by soak",
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
			return runPlatformMarshal(os.Getenv("GW_CONFIG"), level, hooks)
		},
	}
	c.Flags().StringVar(&level, "log", "info", "log level, as of platform")
	return c
}

// runSoaks executes runs with consecutive seeds, some in parallel, and prints the result of each and the totals.
func runSoaks(out io.Writer, o soak.Options, seed uint64, runs int) error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed, requests, checked := 0, 0, map[string]int{}
	slots := make(chan struct{}, maxParallelRuns)
	for i := range runs {
		options := o
		options.Plan = soak.RandomPlan(seed + uint64(i))
		options.Dir = filepath.Join(o.Dir, fmt.Sprint(options.Plan.Seed))
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			result, err := runSoak(options)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
				fmt.Fprintf(out, "seed %d: %v\n", options.Plan.Seed, err)
				return
			}
			requests += result.Invocations
			for rule, n := range result.Checked {
				checked[rule] += n
			}
			if !result.Clean() {
				failed++
			}
			result.Print(out)
		})
	}
	wg.Wait()
	fmt.Fprintf(out, "%d runs, %d requests accepted, checked %v; %d runs with findings; logs in %s\n", runs, requests, checked,
		failed, o.Dir)
	if failed > 0 {
		return errRulesBroken
	}
	return nil
}

// runSoak creates the folder of a run and executes the run.
func runSoak(o soak.Options) (*soak.Result, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, err
	}
	return soak.Run(o)
}
