// Package dev runs a whole system on loopback in one process: a control host,
// two entry hosts and one database group of three stand-in endpoints.
package dev

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jackc/pgx/v5"
	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/bridge"
	"github.com/galenabridge/galenabridge/internal/standin"
)

// Names of the parts of the system.
const (
	Service   = "launchlog"
	Workspace = "crew"

	fleet       = "dev"
	controlHost = "control-1"
	endpoints   = 3
	user        = "galenabridge"
	password    = "galenabridge"
	database    = "ledger"
)

// readyTimeout bounds the wait for the first answer through both entry hosts.
const readyTimeout = 60 * time.Second

// Options configure the system. Empty addresses let the system choose a port.
type Options struct {
	// Listen and Listen2 are the callers' addresses of the two entry hosts.
	Listen  string
	Listen2 string
	// Admin is the operators' address of the control host.
	Admin string
	// ReplayLag is the lag of the replicas.
	ReplayLag time.Duration
	// Ready receives the line that tells the addresses.
	Ready  io.Writer
	Logger *log.Logger
}

// system is a running system.
type system struct {
	opts    Options
	dataDir string
	control *bridge.Host
	entries []*bridge.Host
	group   *standin.Group
	key     string
}

// Run runs the system until ctx ends, then shuts it down gracefully.
func Run(ctx context.Context, opts Options) error {
	s, err := start(opts)
	if err != nil {
		return err
	}
	defer os.RemoveAll(s.dataDir)
	var group run.Group
	s.addHosts(ctx, &group)
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		if err := s.prepare(ctx); err != nil {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	}, func(error) { cancel() })
	err = group.Run()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// start opens all listeners.
func start(opts Options) (*system, error) {
	dir, err := os.MkdirTemp("", "galenabridge-dev-")
	if err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	s := &system{opts: opts, dataDir: dir}
	if err := s.open(); err != nil {
		os.RemoveAll(dir)
		return nil, err
	}
	return s, nil
}

func (s *system) open() error {
	var err error
	s.control, err = bridge.New(bridge.Options{Settings: s.controlSettings(), Logger: s.opts.Logger})
	if err != nil {
		return err
	}
	for i, listen := range []string{s.opts.Listen, s.opts.Listen2} {
		settings := s.entrySettings(fmt.Sprintf("entry-%d", i+1), domains[i], listen)
		host, err := bridge.New(bridge.Options{Settings: settings, Logger: s.opts.Logger})
		if err != nil {
			return err
		}
		s.entries = append(s.entries, host)
	}
	s.group, err = standin.NewGroup(standin.Options{
		Service: Service, User: user, Password: password, Database: database,
		ReplayLag: s.opts.ReplayLag, RecordsTable: true,
		Admins: []string{s.control.AdminAddr()}, Logger: s.opts.Logger,
	}, endpoints, domains)
	return err
}

// addHosts adds the parts to the group. The endpoints outlive the hosts, so that
// a graceful shutdown can end the requests in progress.
func (s *system) addHosts(ctx context.Context, group *run.Group) {
	endpointCtx, stopEndpoints := context.WithCancel(context.WithoutCancel(ctx))
	hostCtx, stopHosts := context.WithCancel(ctx)
	group.Add(func() error {
		defer stopEndpoints()
		return runHosts(hostCtx, append(s.entries, s.control))
	}, func(error) { stopHosts() })
	group.Add(func() error {
		return s.group.Run(endpointCtx)
	}, func(error) { stopHosts() })
}

// runHosts runs the hosts until ctx ends. The last one stops after the others.
func runHosts(ctx context.Context, hosts []*bridge.Host) error {
	last := len(hosts) - 1
	lastCtx, stopLast := context.WithCancel(context.WithoutCancel(ctx))
	lastDone := make(chan error, 1)
	go func() { lastDone <- hosts[last].Run(lastCtx) }()

	var group run.Group
	for _, h := range hosts[:last] {
		taskCtx, cancel := context.WithCancel(ctx)
		group.Add(func() error { return h.Run(taskCtx) }, func(error) { cancel() })
	}
	err := group.Run()
	stopLast()
	if lastErr := <-lastDone; err == nil {
		err = lastErr
	}
	return err
}

// prepare applies the first release note and prints the ready line once both
// entry hosts answer.
func (s *system) prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := s.applyFirstNote(ctx); err != nil {
		return errors.Wrap(err, "first release note")
	}
	for _, host := range s.entries {
		if err := waitForQuery(ctx, s.url(host)); err != nil {
			return errors.Wrap(err, "first answer")
		}
	}
	_, err := fmt.Fprintf(s.opts.Ready, "ready url=%s url2=%s admin=http://%s\n",
		s.url(s.entries[0]), s.url(s.entries[1]), s.control.AdminAddr())
	return err
}

func (s *system) url(h *bridge.Host) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", Workspace, s.key, h.CallerAddr(), Service)
}

// pollInterval is the pause between attempts while the system starts.
const pollInterval = 50 * time.Millisecond

func waitForQuery(ctx context.Context, url string) error {
	for {
		err := queryRecords(ctx, url)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "no answer")
		case <-time.After(pollInterval):
		}
	}
}

func queryRecords(ctx context.Context, url string) error {
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	var n int
	return conn.QueryRow(ctx, "select count(*) from records").Scan(&n)
}
