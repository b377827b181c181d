// Command galenabridged is the thin daemon that runs galenabridge on the users'
// platform. Its argument names the role of the host, for logs.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/jessevdk/go-flags"

	"github.com/galenabridge/galenabridge/internal/daemon"
	"github.com/galenabridge/galenabridge/platform"
)

type options struct {
	Settings string `long:"settings" description:"path of the settings file" env:"GALENABRIDGE_NODE_FILE" required:"true"`
	Level    string `long:"log-level" description:"least level that is logged" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info"`
	Args     struct {
		Role string `positional-arg-name:"role" description:"name of the host's role in logs"`
	} `positional-args:"yes"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	logger := log.NewWithOptions(os.Stdout, log.Options{Formatter: log.LogfmtFormatter, ReportTimestamp: true})
	if level, err := log.ParseLevel(opts.Level); err == nil {
		logger.SetLevel(level)
	}
	if err := run(opts, logger); err != nil {
		logger.Error("failed", "err", err.Error())
		os.Exit(1)
	}
}

func run(opts options, logger *log.Logger) error {
	settings, err := platform.Load(opts.Settings)
	if err != nil {
		return err
	}
	logger = logger.With("host", settings.Name, "role", opts.Args.Role)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	d, err := daemon.New(daemon.Options{
		Settings: settings.Settings, Dialer: platform.Dialer{},
		Databases: platform.NewDatabases(settings.Name, settings.Promote),
		Fenced:    settings.Fenced, Grace: settings.Grace, Logger: logger,
	})
	if err != nil {
		return err
	}
	tasks, err := platform.Adapter(settings, d, logger)
	if err != nil {
		return err
	}
	tasks = append(tasks, &platform.Reload{Path: opts.Settings, Log: logger, Apply: func(s *platform.Settings) { d.SetSeeds(s.Seeds) }})
	logger.Info("start", "addr", settings.Host, "domain", settings.Domain, "seeds", settings.Seeds)
	err = d.Run(ctx, tasks...)
	logger.Info("stopped")
	return err
}
