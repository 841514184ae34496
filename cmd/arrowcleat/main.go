// Command arrowcleat is the release controller: it runs marshals, stand-ins for the services around them, and fault
// scenarios that check the rules.
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

// Exit codes, as the help and docs/running.md describe them.
const (
	exitFailed   = 1 // it ran and failed: a rule was broken, a module panicked, a replay differed
	exitBadInput = 2 // the command line or a file is invalid; nothing was started
)

// badInput is an error in the command line or in a file.
type badInput struct{ error }

// Unwrap returns the error itself.
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

// rootCommand returns the command with all sub-commands.
func rootCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "arrowcleat",
		Short: "Try new builds of a service on live traffic",
		Long: `arrowcleat routes invocations to the nodes of a service, sends a share of them to the trial build, and votes to
advance it or to roll it back, depending on what it observes.

Exit codes: 0 success; 1 it ran and failed (a rule was broken, a module panicked, a replay differed); 2 the command
line or a file is invalid and nothing was started.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return badInput{err} })
	c.AddCommand(serveCommand(), checkCommand(), fmtCommand(), diffCommand(), compileCommand(), decompileCommand(),
		explainCommand(), syntaxCommand(), standinCommand(), dayCommand(), auditCommand(), platformCommand(), soakCommand(),
		faultsCommand(), replayCommand(), measureCommand(), versionCommand())
	return c
}

// versionCommand returns the command that prints the version.
func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
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

// noArgs rejects all arguments.
func noArgs(c *cobra.Command, args []string) error {
	if err := cobra.NoArgs(c, args); err != nil {
		return badInput{err}
	}
	return nil
}

// oneFile requires exactly one argument.
func oneFile(c *cobra.Command, args []string) error {
	if len(args) != 1 {
		return badInput{fmt.Errorf("%s takes one file or folder, not %d", c.CommandPath(), len(args))}
	}
	return nil
}

// newLogger returns a logger with the form and level of the settings. Its level can be changed later through level.
func newLogger(out io.Writer, l *settings.Log, level *slog.LevelVar) *slog.Logger {
	level.UnmarshalText([]byte(l.Level)) // the settings have been checked
	options := &slog.HandlerOptions{Level: level}
	if l.Form == "json" {
		return slog.New(slog.NewJSONHandler(out, options))
	}
	return slog.New(slog.NewTextHandler(out, options))
}

// flushTimeout is how long a process waits at its end for the last log lines to be written.
const flushTimeout = 100 * time.Millisecond

// newServiceLog returns a logger on standard error for a process in service. It does not block if nobody reads the log,
// and the process does not end if the reader does. flush waits until the lines logged so far are written, for at most
// flushTimeout.
func newServiceLog(l *settings.Log, level *slog.LevelVar) (log *slog.Logger, flush func()) {
	signal.Ignore(syscall.SIGPIPE) // otherwise writing to a closed pipe ends the process
	out := logsink.New(os.Stderr)
	return newLogger(out, l, level), func() { out.Flush(flushTimeout) }
}

// handleSignals returns a channel that receives TERM and INT. USR1 makes the log more verbose, USR2 less. done stops the
// handling of all four.
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
