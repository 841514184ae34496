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

func standinCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in node, roster or conveyor",
		Long: `standin runs, as a process of its own, a small stand-in for what a marshal works among. It prints the address that
it listens on, and ends when its standard input does or on TERM.`,
	}
	c.AddCommand(standinOne("node", "a node: takes invocations, does their work, takes trouble from standard input", runNode),
		standinOne("roster", "a roster that tells the nodes of its file", runRoster),
		standinOne("conveyor", "a conveyor that offers the builds of its file", runConveyor))
	return c
}

func standinOne(name, short string, run func(*settings.Standin, *record.Writer) error) *cobra.Command {
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
			set := &settings.Standin{}
			if err := prototext.Unmarshal(text, set); err != nil {
				return badInput{fmt.Errorf("%s: %w", config, err)}
			}
			if set.Address == "" {
				set.Address = "127.0.0.1:0"
			}
			var w *record.Writer
			if set.Record != "" {
				if w, err = record.Create(set.Record, 0); err != nil {
					return badInput{err}
				}
				defer w.Close()
			}
			return run(set, w)
		},
	}
	c.Flags().StringVar(&config, "config", "", "file of the stand-in's settings, protobuf text format")
	return c
}

func seen(w *record.Writer) func(*record.Seen) {
	if w == nil {
		return nil
	}
	return func(s *record.Seen) { w.Write(s) }
}

// untilTold waits for TERM or the end of standard input, of which each line is heard.
func untilTold(hear func() error) error {
	stop, ended := make(chan os.Signal, 1), make(chan error, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(stop)
	go func() { ended <- hear() }()
	select {
	case <-stop:
		return nil
	case err := <-ended:
		return err
	}
}

func runNode(set *settings.Standin, w *record.Writer) error {
	n := standin.NewNode(set)
	n.Record = seen(w)
	if err := n.Start(set.Address); err != nil {
		return badInput{err}
	}
	fmt.Println(n.Address())
	defer n.Kill()
	return untilTold(func() error { return n.ReadCommands(os.Stdin) })
}

func runRoster(set *settings.Standin, w *record.Writer) error {
	r := &standin.Registry{Record: seen(w)}
	if err := r.Start(set.Address); err != nil {
		return badInput{err}
	}
	defer r.Close()
	for i, l := range set.Line {
		line, err := control.ParseNode(l)
		if err != nil {
			return badInput{fmt.Errorf("line %d of the roster: %w", i+1, err)}
		}
		r.Set(line, time.Duration(line.UptimeMs*float64(time.Millisecond)))
	}
	fmt.Println(r.Address())
	return untilTold(func() error {
		return standin.ForEachLine(os.Stdin, func(text string) error {
			line, err := control.ParseNode(text)
			if err == nil {
				r.Set(line, time.Duration(line.UptimeMs*float64(time.Millisecond)))
			}
			return err
		})
	})
}

func runConveyor(set *settings.Standin, w *record.Writer) error {
	c := &standin.RolloutService{Rollout: set.Rollout, ResendInterval: 2 * time.Second, Record: seen(w),
		Deploy: func(int, float64) func() bool { return func() bool { return true } }, Undeploy: func(int) {}}
	if set.Rollout == nil || len(set.Rollout.Stage) == 0 {
		return badInput{errors.New("rollout.stage is missing: which stages?")}
	}
	if err := c.Start(set.Address, int(set.Ver)); err != nil {
		return badInput{err}
	}
	defer c.Close()
	fmt.Println(c.Address())
	return untilTold(func() error {
		err := standin.ForEachLine(os.Stdin, func(text string) error {
			var ver int
			if _, err := fmt.Sscanf(text, "offer %d", &ver); err != nil {
				return fmt.Errorf("%.40q is not: offer VER", text)
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
