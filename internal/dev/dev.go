// Package dev runs a complete system for development on loopback in one process: a
// control host, two entry hosts and one database group of three stand-in endpoints.
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

// Service and Workspace are the names of the only service and the only workspace.
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

// readyTimeout limits the time until a query succeeds through both entry hosts.
const readyTimeout = 60 * time.Second

// Options configures the system. For an empty address, a free port on loopback is used.
type Options struct {
	// Listen and Listen2 are the addresses on which the two entry hosts serve callers.
	Listen  string
	Listen2 string
	// Admin is the admin address of the control host.
	Admin string
	// ReplayLag is the time from the flush of a transaction on a replica to its replay.
	ReplayLag time.Duration
	// Ready receives one line with the URLs of the hosts once the system is ready.
	Ready  io.Writer
	Logger *log.Logger
}

// system is a running system.
type system struct {
	opts    Options
	dataDir string // temporary, removed when Run returns
	control *bridge.Host
	entries []*bridge.Host
	group   *standin.Group
	key     string // key of Workspace, set by firstNote
}

// Run runs the system until ctx ends and then shuts it down gracefully. It returns nil
// after a shutdown by ctx.
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

// start creates the hosts and endpoints and opens their listeners.
func start(opts Options) (*system, error) {
	dir, err := os.MkdirTemp("", "galenabridge-dev-")
	if err != nil {
		return nil, errors.Wrap(err, "create data folder")
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

// addHosts adds the hosts and endpoints to the group. The endpoints stop after the hosts,
// so that requests in progress can complete during a graceful shutdown.
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

// runHosts runs the hosts until ctx ends or one of them, other than the last, returns. The
// last one, the control host, is stopped only after the others have returned.
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

// prepare applies the first release note and writes the ready line once a query succeeds
// through each entry host.
func (s *system) prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := s.applyFirstNote(ctx); err != nil {
		return errors.Wrap(err, "apply first release note")
	}
	for _, host := range s.entries {
		if err := waitForQuery(ctx, s.url(host)); err != nil {
			return errors.Wrap(err, "first query")
		}
	}
	_, err := fmt.Fprintf(s.opts.Ready, "ready url=%s url2=%s admin=http://%s\n",
		s.url(s.entries[0]), s.url(s.entries[1]), s.control.AdminAddr())
	return err
}

func (s *system) url(h *bridge.Host) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", Workspace, s.key, h.CallerAddr(), Service)
}

// retryInterval is the time between attempts while the system starts.
const retryInterval = 50 * time.Millisecond

// waitForQuery waits until a query through url succeeds or ctx ends.
func waitForQuery(ctx context.Context, url string) error {
	for {
		err := queryRecords(ctx, url)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "query not answered in time")
		case <-time.After(retryInterval):
		}
	}
}

// queryRecords connects to url and executes one query.
func queryRecords(ctx context.Context, url string) error {
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	var n int
	return conn.QueryRow(ctx, "select count(*) from records").Scan(&n)
}
