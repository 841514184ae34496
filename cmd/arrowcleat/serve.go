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

// loadSettings reads settings in either form and prints what is wrong.
func loadSettings(path string) (*settings.Settings, error) {
	if path == "" {
		return nil, badInput{errors.New("--config FILE is missing: which settings?")}
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

func serveCommand() *cobra.Command {
	var config string
	c := &cobra.Command{
		Use:   "serve --config FILE",
		Short: "Run a marshal",
		Long: `serve runs one marshal until it is told to stop.

TERM or INT: take nothing new, let what was taken end within its time, exit 0; a second one ends at once and
terminates what is open. HUP reads the settings again and takes them if nothing is wrong and nothing needs a
restart, else changes nothing and says why. USR1 and USR2 make the log say more and less. Exit code 1: the decision module panicked;
what was open has been terminated and the state is in the log.`,
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
	c.Flags().StringVar(&config, "config", "", "file of settings: the language, or protobuf text format (.txtpb)")
	return c
}

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
	fmt.Fprintln(os.Stdout, m.Address()) // for whoever started it with port 0
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
		log.Info("stopping: nothing new is taken", "signal", s.String(), "open", m.Front.OpenInvocations())
		ended := make(chan struct{})
		go func() {
			select {
			case <-stop:
				log.Warn("ending at once: what is open is terminated")
				m.End()
			case <-ended:
			}
		}()
		m.Stop() // End gives its error again
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

// reloadSettings takes the settings' file again, all of it or nothing.
func reloadSettings(m *serve.Marshal, path string, level *slog.LevelVar, log *slog.Logger) {
	cfg, found := readSettings(path)
	if cfg == nil {
		for _, d := range found {
			log.Error("settings not taken", "what", d.Error())
		}
		return
	}
	cfg.ResolvePaths(filepath.Dir(path))
	changes, err := m.Reload(cfg, level)
	if err != nil {
		log.Error("settings not taken", "err", err)
		return
	}
	at := max(level.Level(), slog.LevelInfo) // said also where the log has just been told to say less
	for _, c := range changes {
		log.Log(context.Background(), at, "setting changed", "what", c.String())
	}
	log.Log(context.Background(), at, "settings taken", "changes", len(changes))
}
