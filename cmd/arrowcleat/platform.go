package main

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"arrowcleat/internal/loop"
	"arrowcleat/internal/platform"
	"arrowcleat/internal/serve"
)

// platformCommand returns the command that runs a marshal with the platform's protocols.
func platformCommand() *cobra.Command {
	var config, level string
	c := &cobra.Command{
		Use:   "platform [--config FILE]",
		Short: "Run a marshal on the operators' platform",
		Long: `platform runs one marshal with the platform's protocols in the foreground, as described by its configuration.

TERM or INT: accepts requests for a short while longer, then no new ones, completes those accepted, and exits with 0.
After a second signal, requests that are open at that point are terminated. HUP reads the configuration again and
applies the addresses of discovery and of the release API. USR1 and USR2 make the log more and less verbose. Exit
code 1: the decision module panicked.`,
		Example: "  GW_CONFIG=/run/balancer/config.json arrowcleat platform",
		Args:    noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if config == "" {
				config = os.Getenv("GW_CONFIG")
			}
			if config == "" {
				return badInput{errors.New("no configuration file: set --config or GW_CONFIG")}
			}
			return runPlatformMarshal(config, level, serve.Hooks{})
		},
	}
	c.Flags().StringVar(&config, "config", "", "configuration file (default: the value of GW_CONFIG)")
	c.Flags().StringVar(&level, "log", "info", "debug, info, warn or error; debug also logs the state of the marshal every second")
	return c
}

// runPlatformMarshal runs a marshal on the platform until it has ended, by a signal or by a failure.
func runPlatformMarshal(path, level string, hooks serve.Hooks) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	// These signals end a process that does not handle them. Ignore them before the log exists and while the process
	// exits.
	signal.Ignore(syscall.SIGUSR1, syscall.SIGUSR2)
	defer signal.Ignore(syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2)
	c, err := platform.ReadConfig(path, os.Getenv)
	if err != nil {
		return badInput{err}
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	debug.SetMemoryLimit(int64(c.MemoryMB*memoryLimitShare) << 20)
	var levelVar slog.LevelVar
	if err := levelVar.UnmarshalText([]byte(level)); err != nil {
		return badInput{fmt.Errorf("--log: %q is not a log level", level)}
	}
	c.Settings.Log.Level = level
	log, flush := newServiceLog(c.Settings.Log, &levelVar)
	defer flush()
	for _, text := range c.EnvironmentConflicts {
		log.Warn("the environment differs", "what", text)
	}
	stop, done := handleSignals(&levelVar, log)
	defer done()
	m, err := platform.StartWith(c, log, hooks)
	if err != nil {
		return badInput{err}
	}
	r := &platformRun{m: m, path: path, log: log, level: &levelVar}
	r.handleEvents(hup, stop)
	err = m.End()
	var p *loop.Panic
	if errors.As(err, &p) {
		return err
	}
	log.Warn("marshal has ended", "refused_behind", m.RejectedArrivals(), "requests", &m.Front.Counters)
	return err
}

// platformRun is a running marshal with the state that its signals need.
type platformRun struct {
	m     *platform.Marshal
	path  string // configuration file
	log   *slog.Logger
	level *slog.LevelVar
	retry <-chan time.Time // fires when an unreadable configuration is read again; nil if none is pending
}

const (
	// stateLogInterval is the interval of the state that is logged at level debug.
	stateLogInterval = time.Second
	// rereadInterval is the interval of attempts to read a configuration that the system temporarily can't read. The
	// addresses in it have to be applied whatever the cause.
	rereadInterval = 20 * time.Millisecond
)

// handleEvents handles signals until the marshal has ended. It applies configurations also while the marshal drains,
// because the previous addresses close.
func (r *platformRun) handleEvents(hup, stop <-chan os.Signal) {
	stateTicker := time.NewTicker(stateLogInterval)
	defer stateTicker.Stop()
	ended, drained := r.m.Ended(), make(chan struct{})
	var terminate chan struct{} // set once draining; closed by the second signal
	for {
		select {
		case <-stateTicker.C:
			if r.level.Level() <= slog.LevelDebug {
				r.m.LogState()
			}
		case <-hup:
			r.reload(true)
		case <-r.retry:
			r.reload(false)
		case s := <-stop:
			if terminate != nil { // second signal
				close(terminate)
				stop = nil
				continue
			}
			r.log.Warn("draining", "signal", s.String(), "open", r.m.Front.OpenInvocations())
			ended, terminate = nil, make(chan struct{})
			go func(terminate <-chan struct{}) {
				r.m.Drain(terminate) // End returns the same error
				close(drained)
			}(terminate)
		case <-ended:
			return
		case <-drained:
			return
		}
	}
}

// reload reads the configuration and applies its addresses. first is set for the attempt that the signal caused: only
// that one logs an error.
func (r *platformRun) reload(first bool) {
	r.retry = nil
	next, err := platform.ReadConfig(r.path, os.Getenv)
	switch {
	case err == nil:
		r.m.UpdateAddresses(next)
		r.log.Warn("configuration applied", "discovery", next.DiscoveryAddress, "release_api", next.ReleaseAPIAddress)
		return
	case first:
		r.log.Error("configuration not applied", "err", err)
	}
	if unreadable(err) {
		r.retry = time.After(rereadInterval)
	}
}

// unreadable reports whether err says that the file exists but could not be read.
func unreadable(err error) bool {
	var pathError *fs.PathError
	return errors.As(err, &pathError) && !errors.Is(err, fs.ErrNotExist)
}

// memoryLimitShare is the share of the configured memory that is the soft memory limit of the Go runtime.
const memoryLimitShare = 0.6
