// Command galenabridged runs a host of galenabridge on the users' platform. Its argument is
// the name of the host's role in logs; the settings file determines the actual roles.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/daemon"
	"github.com/galenabridge/galenabridge/internal/eventlog"
	"github.com/galenabridge/galenabridge/internal/linkuse"
	"github.com/galenabridge/galenabridge/platform"
)

// options are the command line of the daemon.
type options struct {
	Settings string `long:"settings" description:"path of the settings file; the platform names it in the environment"`
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
	os.Exit(serve(opts))
}

// serve runs the host and returns the exit code of the process. A host that ends with
// daemon.ErrReplaced is started again with a greater incarnation offset.
func serve(opts options) int {
	out := eventlog.New(os.Stdout)
	logCtx, cancel := context.WithCancel(context.Background())
	logDone := make(chan struct{})
	go func() {
		defer close(logDone)
		out.Run(logCtx)
	}()
	defer func() {
		cancel()
		<-logDone
	}()
	logger := log.NewWithOptions(out, log.Options{
		Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: eventlog.TimeFormat,
	})
	if level, err := log.ParseLevel(opts.Level); err == nil {
		logger.SetLevel(level)
	}
	if opts.Settings == "" {
		opts.Settings = os.Getenv(platform.SettingsVariable)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var incarnationOffset time.Duration
	for {
		err := run(ctx, opts, logger, incarnationOffset)
		if err == nil {
			return 0
		}
		logger.Error("failed", "err", err.Error())
		if !errors.Is(err, daemon.ErrReplaced) || ctx.Err() != nil {
			return 1
		}
		incarnationOffset += incarnationStep
	}
}

// incarnationStep is added to the incarnation offset each time the host is started again. It
// exceeds any step by which a platform corrects the time of day.
const incarnationStep = time.Hour

// heapShare is the part of the memory limit that the Go runtime may use. The rest is for what it
// does not count: the C library and the unread bytes of connections.
const heapShare = 0.7

// run builds a host from its settings and runs it until ctx ends.
func run(ctx context.Context, opts options, logger *log.Logger, incarnationOffset time.Duration) error {
	settings, err := platform.LoadSettings(opts.Settings)
	if err != nil {
		return err
	}
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(settings.MemoryLimit)))
	}
	logger = logger.With("host", settings.Name, "role", opts.Args.Role)
	traffic := linkuse.NewMeter(settings.LinkRate)
	d, err := daemon.New(daemon.Options{
		Settings: settings.Settings, Dialer: platform.Dialer{Traffic: traffic}, Traffic: traffic,
		EndpointManager: platform.NewEndpointManager(settings.Name, settings.PromoteAddr),
		Metering:        settings.Metering, UsageReporter: platform.NewUsageReporter(settings.Name, settings.PromoteAddr),
		Fenced: settings.Fenced, GracePeriod: settings.GracePeriod, Tolerance: settings.Tolerance, LinkRate: settings.LinkRate, Logger: logger, IncarnationOffset: incarnationOffset,
		CallerMemory: settings.Limits().Memory, CrossingMSPerKB: settings.CrossingMSPerKB,
	})
	if err != nil {
		return err
	}
	tasks, err := platform.NewTasks(settings, d, logger)
	if err != nil {
		return err
	}
	tasks = append(tasks, &platform.Reloader{Path: opts.Settings, Log: logger, Apply: func(s *platform.Settings) { d.SetSeeds(s.Seeds) }})
	logger.Info("start", "addr", settings.Host, "domain", settings.Domain, "seeds", settings.Seeds)
	err = d.Run(ctx, tasks...)
	logger.Info("stopped")
	return err
}
