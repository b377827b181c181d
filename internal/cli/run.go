package cli

import (
	"context"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"github.com/galenabridge/galenabridge/bridge"
	"github.com/galenabridge/galenabridge/internal/config"
	"github.com/galenabridge/galenabridge/internal/dev"
)

// newLogger returns a logger that writes each event as one line in logfmt.
func newLogger(w io.Writer, level string) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, exitWith(ExitUsage, err)
	}
	return log.NewWithOptions(w, log.Options{
		Level:           parsed,
		Formatter:       log.LogfmtFormatter,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
	}), nil
}

// signalContext returns a context that ends on SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

type serveCommand struct {
	Config string `long:"config" required:"yes" value-name:"FILE" description:"settings in JSON"`
	Policy string `long:"policy" choice:"fair" choice:"fifo" default:"fair" description:"fifo replaces admission, routing and positions by simple ones, as a baseline for measurements"`
}

func (c *serveCommand) run(app *App) error {
	settings, err := config.Load(c.Config)
	if err != nil {
		return exitWith(ExitUsage, err)
	}
	logger, err := newLogger(app.Stderr, settings.Log.Level)
	if err != nil {
		return err
	}
	host, err := bridge.New(bridge.Options{Settings: settings, Logger: logger, Policy: bridge.Policy(c.Policy)})
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	return host.Run(ctx)
}

type devCommand struct {
	Listen   string        `long:"listen" value-name:"IP:PORT" description:"callers' address of the first entry host"`
	Listen2  string        `long:"listen2" value-name:"IP:PORT" description:"callers' address of the second entry host"`
	Admin    string        `long:"admin" value-name:"IP:PORT" description:"admin address of the control host"`
	Lag      time.Duration `long:"lag" default:"20ms" description:"lag of the replicas"`
	LogLevel string        `long:"log-level" default:"info" description:"debug, info, warn or error"`
}

func (c *devCommand) run(app *App) error {
	logger, err := newLogger(app.Stderr, c.LogLevel)
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	return dev.Run(ctx, dev.Options{
		Listen: c.Listen, Listen2: c.Listen2, Admin: c.Admin,
		ReplayLag: c.Lag, Ready: app.Stdout, Logger: logger,
	})
}
