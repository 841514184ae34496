package main

import (
	"errors"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"log/slog"

	"github.com/spf13/cobra"

	"arrowcleat/internal/loop"
	"arrowcleat/internal/platform"
)

func platformCommand() *cobra.Command {
	var config string
	c := &cobra.Command{
		Use:   "platform [--config FILE]",
		Short: "Run a marshal in service on the operators' platform",
		Long: `platform runs one marshal that speaks the platform's protocol, in the foreground, as its configuration says.

TERM or INT: goes on taking what comes for a short while, then nothing new, lets what was taken end, exit 0; a second
one ends at once. HUP reads the configuration again and takes the addresses of discovery and of the release API. USR1
and USR2 make the log say more and less. Exit code 1: the decision module panicked.`,
		Example: "  GW_CONFIG=/run/balancer/config.json arrowcleat platform",
		Args:    noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if config == "" {
				config = os.Getenv("GW_CONFIG")
			}
			if config == "" {
				return badInput{errors.New("neither --config nor GW_CONFIG names a configuration")}
			}
			return runOnPlatform(config)
		},
	}
	c.Flags().StringVar(&config, "config", "", "file of the configuration; GW_CONFIG where it is left out")
	return c
}

func runOnPlatform(path string) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	c, err := platform.Read(path)
	if err != nil {
		return badInput{err}
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	debug.SetMemoryLimit(int64(c.MemoryMB*memoryPart) << 20)
	var level slog.LevelVar
	log := logger(os.Stderr, c.Set.Log, &level)
	stop, done := signals(&level, log)
	defer done()
	m, err := platform.Start(c, log)
	if err != nil {
		return badInput{err}
	}
	for {
		select {
		case <-hup:
			next, err := platform.Read(path)
			if err != nil {
				log.Error("configuration not taken", "err", err)
				continue
			}
			m.Move(next)
			log.Warn("configuration taken", "discovery", next.Discovery, "release_api", next.API)
			continue
		case <-m.Ended():
		case s := <-stop:
			log.Warn("leaving", "signal", s.String(), "open", m.Front.Open())
			go func() {
				<-stop
				m.End()
			}()
			m.Leave()
		}
		break
	}
	err = m.End()
	var p *loop.Panic
	if errors.As(err, &p) {
		return err
	}
	log.Warn("marshal has ended", "refused_behind", m.Behind())
	return err
}

// memoryPart is the part of the memory limit under which the collector keeps the heap.
const memoryPart = 0.6
