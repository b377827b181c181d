//go:build fleet

package integration

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/galenabridge/galenabridge/internal/localfleet"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/standin"
)

const (
	hostCount     = 9
	controlCount  = 3
	endpointCount = 3
)

var (
	domains  = []string{"osan", "pohang", "heuksan"}
	services = []string{"launchlog", "corrections"}
)

// Workspaces of the first note.
const (
	crew     = "crew"
	editors  = "editors"
	auditors = "auditors"
)

type (
	host     = localfleet.Host
	endpoint = localfleet.Endpoint
)

// fleet is a system of real processes linked through a network.
type fleet struct {
	*localfleet.Fleet
	t   *testing.T
	net *network
}

// fleetOptions change the fleet before it starts.
type fleetOptions struct {
	hosts int
	lag   time.Duration
	// watch keeps all bytes that are sent to endpoints.
	watch bool
	note  func(*note.Note)
}

// startFleet starts two groups of endpoints and the hosts, applies the first
// note and waits until every host serves every service.
func startFleet(t *testing.T, opts fleetOptions) *fleet {
	t.Helper()
	if opts.hosts == 0 {
		opts.hosts = hostCount
	}
	f := &fleet{t: t, net: newNetwork(t)}
	f.net.register("test", os.Getpid())
	planned, err := localfleet.New(localfleet.Options{
		Program: program, Dir: t.TempDir(), Hosts: opts.hosts, ControlHosts: controlCount,
		Domains: noteDomains(), Services: noteServices(), Workspaces: noteWorkspaces(), ReplayLag: opts.lag,
		AdvertiseAddr: f.net.front, OnStart: f.started,
	})
	if err != nil {
		t.Fatal(err)
	}
	f.Fleet = planned
	t.Cleanup(f.Stop)
	if opts.watch {
		for _, e := range f.Endpoints {
			f.net.watch(e.ID)
		}
	}
	if err := f.Start(f.context(), opts.note); err != nil {
		t.Fatal(err)
	}
	return f
}

// started makes a process a node of the network and its output part of a
// failed test's log.
func (f *fleet) started(node string, p *localfleet.Process) {
	f.net.register(node, p.PID())
	f.t.Cleanup(func() {
		if f.t.Failed() {
			f.t.Logf("--- %s\n%s", node, tail(p.Output()))
		}
	})
}

func noteDomains() []note.Domain {
	var out []note.Domain
	for _, name := range domains {
		out = append(out, note.Domain{Name: name, Region: "kr-central"})
	}
	return out
}

func noteServices() []note.Service {
	var out []note.Service
	for _, name := range services {
		out = append(out, note.Service{Name: name, Endpoints: endpointCount, Slots: 5, Connections: 50})
	}
	return out
}

func noteWorkspaces() []note.Workspace {
	const plenty = 10_000
	return []note.Workspace{
		{Name: crew, Rate: plenty, Burst: plenty, Class: note.ClassInteractive},
		{Name: editors, Rate: plenty, Burst: plenty, Class: note.ClassCorrection},
		{Name: auditors, Rate: plenty, Burst: plenty, Class: note.ClassBulk},
	}
}

// apply applies the next note through a host.
func (f *fleet) apply(h *host, change func(*note.Note)) {
	f.t.Helper()
	if err := f.Apply(f.context(), h, change); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) dial(h *host, workspace, service string) (*pgx.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return pgx.Connect(ctx, f.URL(h, workspace, service))
}

// connect opens a caller's connection for the rest of the test.
func (f *fleet) connect(h *host, workspace, service string) *pgx.Conn {
	f.t.Helper()
	conn, err := f.dial(h, workspace, service)
	if err != nil {
		f.t.Fatalf("connect to %s as %s: %v", h.Name, workspace, err)
	}
	f.t.Cleanup(func() { closeConn(conn) })
	return conn
}

func closeConn(conn *pgx.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = conn.Close(ctx) // the connection is of no further use
}

// context returns a context that ends long before the test's own limit.
func (f *fleet) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	f.t.Cleanup(cancel)
	return ctx
}

// faults sets fault switches of an endpoint.
func (f *fleet) faults(e *endpoint, r standin.FaultRequest) {
	f.t.Helper()
	if err := e.SetFaults(f.context(), r); err != nil {
		f.t.Fatalf("faults of %s: %v", e.ID, err)
	}
}

// primary returns the primary of a service.
func (f *fleet) primary(service string) *endpoint {
	f.t.Helper()
	e := f.Primary(f.context(), service)
	if e == nil {
		f.t.Fatalf("service %s has no primary", service)
	}
	return e
}

// directly connects to an endpoint without the fleet and its network.
func (f *fleet) directly(e *endpoint) *pgx.Conn {
	f.t.Helper()
	conn, err := pgx.Connect(f.context(), e.DirectURL())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { closeConn(conn) })
	return conn
}

// mustStart starts the process of a host again.
func (f *fleet) mustStart(h *host) {
	f.t.Helper()
	if err := f.StartHost(h); err != nil {
		f.t.Fatal(err)
	}
}

// restartEndpoint starts the process of an endpoint again.
func (f *fleet) restartEndpoint(e *endpoint) {
	f.t.Helper()
	if err := f.StartEndpoint(e, standin.RoleReplica, ""); err != nil {
		f.t.Fatal(err)
	}
}

// shutDown ends a host gracefully.
func (f *fleet) shutDown(h *host) {
	f.t.Helper()
	if err := h.Proc.Terminate(); err != nil {
		f.t.Error(err)
		return
	}
	select {
	case <-h.Proc.Done():
		if err := h.Proc.Err(); err != nil {
			f.t.Errorf("%s: %v", h.Name, err)
		}
	case <-time.After(patience):
		f.t.Errorf("%s did not shut down within %s", h.Name, patience)
	}
}

func (f *fleet) awaitServing() {
	f.t.Helper()
	if err := f.AwaitServing(f.context()); err != nil {
		f.t.Fatal(err)
	}
}
