package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/prototext"

	"arrowcleat/balance"
	"arrowcleat/internal/control"
	"arrowcleat/internal/record"
	"arrowcleat/internal/settings"
	"arrowcleat/internal/standin"
)

// standinCommand returns the command that runs a stand-in process.
func standinCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in node, service registry or rollout service",
		Long: `standin runs a small stand-in for a service around a marshal in its own process. It prints the address that it
listens on, and ends at the end of its standard input or on TERM.`,
	}
	c.AddCommand(
		standinSubcommand("node", "a node that executes invocations and reads faults to simulate from standard input", runNode),
		standinSubcommand("roster", "a service registry that lists the nodes of its file", runRegistry),
		standinSubcommand("conveyor", "a rollout service that offers the builds named on standard input", runRolloutService))
	return c
}

// standinSubcommand returns the command that runs one kind of stand-in.
func standinSubcommand(name, short string, run func(*settings.Standin, *record.Writer) error) *cobra.Command {
	var config string
	c := &cobra.Command{
		Use:   name + " --config FILE",
		Short: "Run " + short,
		Args:  noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if config == "" {
				return badInput{errors.New("--config FILE is missing")}
			}
			text, err := os.ReadFile(config)
			if err != nil {
				return badInput{err}
			}
			cfg := &settings.Standin{}
			if err := prototext.Unmarshal(text, cfg); err != nil {
				return badInput{fmt.Errorf("%s: %w", config, err)}
			}
			if cfg.Address == "" {
				cfg.Address = "127.0.0.1:0"
			}
			var w *record.Writer
			if cfg.Record != "" {
				if w, err = record.Create(cfg.Record, 0); err != nil {
					return badInput{err}
				}
				defer w.Close()
			}
			return run(cfg, w)
		},
	}
	c.Flags().StringVar(&config, "config", "", "settings file of the stand-in, protobuf text format")
	return c
}

// recordSeen returns a function that writes observations to w, or nil if w is nil.
func recordSeen(w *record.Writer) func(*record.Seen) {
	if w == nil {
		return nil
	}
	return func(s *record.Seen) { w.Write(s) }
}

// waitForStop runs handleInput and waits until it returns, or for TERM or INT.
func waitForStop(handleInput func() error) error {
	stop, ended := make(chan os.Signal, 1), make(chan error, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(stop)
	go func() { ended <- handleInput() }()
	select {
	case <-stop:
		return nil
	case err := <-ended:
		return err
	}
}

// runNode runs a stand-in node.
func runNode(cfg *settings.Standin, w *record.Writer) error {
	n := standin.NewNode(cfg)
	n.Record = recordSeen(w)
	if err := n.Start(cfg.Address); err != nil {
		return badInput{err}
	}
	fmt.Println(n.Address())
	defer n.Kill()
	return waitForStop(func() error { return n.ReadCommands(os.Stdin) })
}

// runRegistry runs a stand-in service registry. Each line of standard input adds or changes a node.
func runRegistry(cfg *settings.Standin, w *record.Writer) error {
	r := &standin.Registry{Record: recordSeen(w)}
	if err := r.Start(cfg.Address); err != nil {
		return badInput{err}
	}
	defer r.Close()
	for i, l := range cfg.Line {
		line, err := control.ParseNode(l)
		if err != nil {
			return badInput{fmt.Errorf("node list, line %d: %w", i+1, err)}
		}
		r.Set(line, time.Duration(line.UptimeMs*float64(time.Millisecond)))
	}
	fmt.Println(r.Address())
	return waitForStop(func() error {
		return standin.ForEachLine(os.Stdin, func(text string) error {
			line, err := control.ParseNode(text)
			if err == nil {
				r.Set(line, time.Duration(line.UptimeMs*float64(time.Millisecond)))
			}
			return err
		})
	})
}

// runRolloutService runs a stand-in rollout service. Each line of standard input offers a build.
func runRolloutService(cfg *settings.Standin, w *record.Writer) error {
	c := &standin.RolloutService{Rollout: cfg.Rollout, ResendInterval: 2 * time.Second, Record: recordSeen(w),
		Deploy: func(int, float64) func() bool { return func() bool { return true } }, Undeploy: func(int) {}}
	if cfg.Rollout == nil || len(cfg.Rollout.Stage) == 0 {
		return badInput{errors.New("rollout.stage is missing: describe the stages")}
	}
	if err := c.Start(cfg.Address, int(cfg.Ver)); err != nil {
		return badInput{err}
	}
	defer c.Close()
	fmt.Println(c.Address())
	return waitForStop(func() error {
		err := standin.ForEachLine(os.Stdin, func(text string) error {
			var ver int
			if _, err := fmt.Sscanf(text, "offer %d", &ver); err != nil {
				return fmt.Errorf("unknown command %.40q: want offer VER", text)
			}
			c.StartRollout(ver)
			return nil
		})
		if ver, stage, phase, _ := c.State(); phase == balance.OnTrial {
			fmt.Fprintf(os.Stderr, "build %d is still on trial at stage %d\n", ver, stage)
		}
		return err
	})
}
