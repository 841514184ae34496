package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"arrowcleat/internal/loop"
	"arrowcleat/internal/serve"
	"arrowcleat/internal/settings"
)

// loadSettings reads settings in either format and resolves the file names in them. It prints warnings and returns
// errors.
func loadSettings(path string) (*settings.Settings, error) {
	if path == "" {
		return nil, badInput{errors.New("--config FILE is missing: name a settings file")}
	}
	cfg, found := readSettings(path)
	for _, d := range found {
		if d.Warning {
			fmt.Fprintln(os.Stderr, d)
		}
	}
	if cfg == nil {
		return nil, badInput{joinErrors(found)}
	}
	cfg.ResolvePaths(filepath.Dir(path))
	return cfg, nil
}

// serveCommand returns the command that runs a marshal.
func serveCommand() *cobra.Command {
	var config string
	c := &cobra.Command{
		Use:   "serve --config FILE",
		Short: "Run a marshal",
		Long: `serve runs one marshal until it receives a signal to stop.

TERM or INT: accepts no new requests, completes those accepted within their time limits, and exits with 0; a second
signal terminates open requests and exits immediately. HUP reads the settings again and applies them if they are valid
and no change needs a restart; otherwise it changes nothing and logs the reason. USR1 and USR2 make the log more and
less verbose. Exit code 1: the decision module panicked; open requests were terminated and the state is in the log.`,
		Example: "  arrowcleat serve --config marshal.cleat",
		Args:    noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			cfg, err := loadSettings(config)
			if err != nil {
				return err
			}
			return runMarshal(cfg, config)
		},
	}
	c.Flags().StringVar(&config, "config", "", "settings file: the settings language, or protobuf text format (.txtpb)")
	return c
}

// runMarshal runs a marshal until it has ended, by a signal or by a failure.
func runMarshal(cfg *settings.Settings, path string) error {
	var level slog.LevelVar
	log, flush := newServiceLog(cfg.Log, &level)
	defer flush()
	stop, done := handleSignals(&level, log)
	defer done()
	m, err := serve.Start(cfg, log, serve.Hooks{})
	if err != nil {
		return badInput{err}
	}
	fmt.Fprintln(os.Stdout, m.Address()) // shows the port if the configured one is 0
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer func() { signal.Stop(hup); close(hup) }()
	go func() {
		for range hup {
			reloadSettings(m, path, &level, log)
		}
	}()
	select {
	case <-m.Ended():
	case s := <-stop:
		log.Info("stopping: no new requests are accepted", "signal", s.String(), "open", m.Front.OpenInvocations())
		ended := make(chan struct{})
		go func() {
			select {
			case <-stop:
				log.Warn("stopping immediately: open requests are terminated")
				m.End()
			case <-ended:
			}
		}()
		m.Stop() // End returns the same error
		close(ended)
	}
	err = m.End()
	var p *loop.Panic
	if errors.As(err, &p) {
		return err
	}
	log.Info("marshal has ended", "refused_behind", m.RejectedArrivals(), "requests", &m.Front.Counters)
	return err
}

// reloadSettings reads the settings file and applies all changes or none.
func reloadSettings(m *serve.Marshal, path string, level *slog.LevelVar, log *slog.Logger) {
	cfg, found := readSettings(path)
	if cfg == nil {
		for _, d := range found {
			log.Error("settings not applied", "what", d.Error())
		}
		return
	}
	cfg.ResolvePaths(filepath.Dir(path))
	changes, err := m.Reload(cfg, level)
	if err != nil {
		log.Error("settings not applied", "err", err)
		return
	}
	logLevel := max(level.Level(), slog.LevelInfo) // logged also if the new settings raised the level
	for _, change := range changes {
		log.Log(context.Background(), logLevel, "setting changed", "what", change.String())
	}
	log.Log(context.Background(), logLevel, "settings applied", "changes", len(changes))
}
