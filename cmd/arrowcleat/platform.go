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

func platformCommand() *cobra.Command {
	var config, level string
	c := &cobra.Command{
		Use:   "platform [--config FILE]",
		Short: "Run a marshal in service on the operators' platform",
		Long: `platform runs one marshal that speaks the platform's protocol, in the foreground, as its configuration says.

TERM or INT: goes on taking what comes for a short while, then nothing new, lets what was taken end, exit 0; after a second
one what is open then is terminated. HUP reads the configuration again and takes the addresses of discovery and of the release API. USR1
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
			return runPlatformMarshal(config, level, serve.Hooks{})
		},
	}
	c.Flags().StringVar(&config, "config", "", "file of the configuration; GW_CONFIG where it is left out")
	c.Flags().StringVar(&level, "log", "info", "debug, info, warn or error; debug also says every second what the marshal sees")
	return c
}

func runPlatformMarshal(path, level string, hooks serve.Hooks) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	// Each of these ends a process that does not take it: before there is a log whose level they change, and in its last moments.
	signal.Ignore(syscall.SIGUSR1, syscall.SIGUSR2)
	defer signal.Ignore(syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2)
	c, err := platform.Read(path, os.Getenv)
	if err != nil {
		return badInput{err}
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	debug.SetMemoryLimit(int64(c.MemoryMB*heapLimitShare) << 20)
	var at slog.LevelVar
	if err := at.UnmarshalText([]byte(level)); err != nil {
		return badInput{fmt.Errorf("--log: %q is no level", level)}
	}
	c.Set.Log.Level = level
	log, flush := newServiceLog(c.Set.Log, &at)
	defer flush()
	for _, text := range c.Differs {
		log.Warn("the environment differs", "what", text)
	}
	stop, done := handleSignals(&at, log)
	defer done()
	m, err := platform.StartWith(c, log, hooks)
	if err != nil {
		return badInput{err}
	}
	r := &platformRun{marshal: m, path: path, log: log, level: &at}
	r.handleEvents(hup, stop)
	err = m.End()
	var p *loop.Panic
	if errors.As(err, &p) {
		return err
	}
	log.Warn("marshal has ended", "refused_behind", m.RejectedArrivals(), "requests", &m.Front.Counters)
	return err
}

// platformRun is a marshal in service, and what its signals do to it.
type platformRun struct {
	marshal *platform.Marshal
	path    string // of the configuration
	log     *slog.Logger
	level   *slog.LevelVar
	retry   <-chan time.Time // when a configuration that could not be read for a moment is read again; nil: not
}

const (
	stateLogInterval = time.Second
	// rereadInterval is between two tries to read a configuration where the system can't for a moment: the addresses that it names are
	// due, whatever the cause.
	rereadInterval = 20 * time.Millisecond
)

// handleEvents does what signals ask for until the marshal has ended. Also while it drains it takes configurations: the addresses before close.
func (r *platformRun) handleEvents(hup, stop <-chan os.Signal) {
	views := time.NewTicker(stateLogInterval)
	defer views.Stop()
	ended, drained := r.marshal.Ended(), make(chan struct{})
	var hurry chan struct{}
	for {
		select {
		case <-views.C:
			if r.level.Level() <= slog.LevelDebug {
				r.marshal.Say()
			}
		case <-hup:
			r.reload(true)
		case <-r.retry:
			r.reload(false)
		case s := <-stop:
			if hurry != nil { // the second one
				close(hurry)
				stop = nil
				continue
			}
			r.log.Warn("draining", "signal", s.String(), "open", r.marshal.Front.OpenInvocations())
			ended, hurry = nil, make(chan struct{})
			go func(hurry <-chan struct{}) {
				r.marshal.Drain(hurry) // End gives its error again
				close(drained)
			}(hurry)
		case <-ended:
			return
		case <-drained:
			return
		}
	}
}

// reload takes the addresses of the configuration as it is now. first is for the try that the signal asked for: only that one complains.
func (r *platformRun) reload(first bool) {
	r.retry = nil
	next, err := platform.Read(r.path, os.Getenv)
	switch {
	case err == nil:
		r.marshal.Move(next)
		r.log.Warn("configuration taken", "discovery", next.Discovery, "release_api", next.API)
		return
	case first:
		r.log.Error("configuration not taken", "err", err)
	}
	if unreadable(err) {
		r.retry = time.After(rereadInterval)
	}
}

// unreadable says that the system could not read the file, which is there.
func unreadable(err error) bool {
	var path *fs.PathError
	return errors.As(err, &path) && !errors.Is(err, fs.ErrNotExist)
}

// heapLimitShare is the part of the memory limit under which the collector keeps the heap.
const heapLimitShare = 0.6
