// Command arrowcleat is the release controller: the marshal, stand-ins to try it among, and what checks a day.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"arrowcleat/internal/logsink"
	"arrowcleat/internal/settings"
)

// The exit codes, as the help and docs/running.md say them.
const (
	exitFailed   = 1 // it ran and something was wrong: a rule broken, a panic, a difference
	exitBadInput = 2 // the command line or a file is wrong; nothing was started
)

// badInput is an error of the command line or a file.
type badInput struct{ error }

func (b badInput) Unwrap() error { return b.error }

func main() {
	err := rootCommand().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	var bad badInput
	if errors.As(err, &bad) {
		os.Exit(exitBadInput)
	}
	os.Exit(exitFailed)
}

func rootCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "arrowcleat",
		Short: "Try new builds of a service on live traffic",
		Long: `arrowcleat routes invocations to the nodes of a service, gives a build on trial its share of them, and votes it on
or back by what it sees.

Exit codes: 0 all went well; 1 it ran and something was wrong (a rule broken, a module that panicked, a replay
that differs); 2 the command line or a file is wrong and nothing was started.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return badInput{err} })
	c.AddCommand(serveCommand(), checkCommand(), fmtCommand(), diffCommand(), compileCommand(), decompileCommand(),
		explainCommand(), syntaxCommand(), standinCommand(), dayCommand(), auditCommand(), platformCommand(), soakCommand(), faultsCommand(),
		replayCommand(), measureCommand(), versionCommand())
	return c
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Say which version this is",
		Args:  noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version
				for _, s := range info.Settings {
					if s.Key == "vcs.revision" {
						version += " " + s.Value
					}
				}
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), "arrowcleat", version)
			return err
		},
	}
}

func noArgs(c *cobra.Command, args []string) error {
	if err := cobra.NoArgs(c, args); err != nil {
		return badInput{err}
	}
	return nil
}

func oneFile(c *cobra.Command, args []string) error {
	if len(args) != 1 {
		return badInput{fmt.Errorf("%s takes one file or folder, not %d", c.CommandPath(), len(args))}
	}
	return nil
}

// newLogger makes the log that settings ask for; its level can be changed while it runs.
func newLogger(out io.Writer, l *settings.Log, level *slog.LevelVar) *slog.Logger {
	level.UnmarshalText([]byte(l.Level)) // checked with the settings
	options := &slog.HandlerOptions{Level: level}
	if l.Form == "json" {
		return slog.New(slog.NewJSONHandler(out, options))
	}
	return slog.New(slog.NewTextHandler(out, options))
}

// flushTimeout is how long a process that ends waits for its last log lines to be written.
const flushTimeout = 100 * time.Millisecond

// newServiceLog is the log of a process in service, on standard error: it neither waits for whoever reads it nor ends with them. flush has the
// lines so far written.
func newServiceLog(l *settings.Log, level *slog.LevelVar) (log *slog.Logger, flush func()) {
	signal.Ignore(syscall.SIGPIPE) // else a line that nobody can read any more ends the process
	out := logsink.New(os.Stderr)
	return newLogger(out, l, level), func() { out.Flush(flushTimeout) }
}

// handleSignals gives what operators send: TERM and INT to stop, USR1 for more of the log, USR2 for less.
func handleSignals(level *slog.LevelVar, log *slog.Logger) (stop chan os.Signal, done func()) {
	stop, levels := make(chan os.Signal, 2), make(chan os.Signal, 2)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(levels, syscall.SIGUSR1, syscall.SIGUSR2)
	go func() {
		for s := range levels {
			step := slog.Level(4)
			if s == syscall.SIGUSR1 {
				step = -4
			}
			level.Set(min(max(level.Level()+step, slog.LevelDebug), slog.LevelError))
			log.Log(context.Background(), level.Level(), "log level changed", "level", level.Level())
		}
	}()
	return stop, func() {
		signal.Stop(stop)
		signal.Stop(levels)
		close(levels)
	}
}
