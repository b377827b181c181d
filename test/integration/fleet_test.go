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

// Workspaces of the first note, one of each workload class.
const (
	crew     = "crew"
	editors  = "editors"
	auditors = "auditors"
)

type (
	host     = localfleet.Host
	endpoint = localfleet.Endpoint
)

// fleet is the fleet of real processes of one test. Its connections pass through net.
type fleet struct {
	*localfleet.Fleet
	t   *testing.T
	net *network
}

// fleetOptions are the settings of a fleet that differ between tests.
type fleetOptions struct {
	// hosts is the number of hosts; zero means hostCount.
	hosts int
	// lag is the replay lag of the replicas.
	lag time.Duration
	// capture records all bytes sent to the endpoints.
	capture bool
	// changeNote modifies the first note before it is applied.
	changeNote func(*note.Note)
}

// startFleet starts a group of endpoints for each service and the hosts, applies the first note and
// waits until every host serves every service. The processes are killed at the end of the test.
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
		AdvertiseAddr: f.net.forward, OnStart: f.registerProcess,
	})
	if err != nil {
		t.Fatal(err)
	}
	f.Fleet = planned
	t.Cleanup(f.Stop)
	if opts.capture {
		for _, e := range f.Endpoints {
			f.net.capture(e.ID)
		}
	}
	if err := f.Start(f.context(), opts.changeNote); err != nil {
		t.Fatal(err)
	}
	return f
}

// registerProcess registers a process as a node of the network and logs the end of its output when
// the test fails.
func (f *fleet) registerProcess(node string, p *localfleet.Process) {
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
	const highRate = 10_000 // above the load of any test
	return []note.Workspace{
		{Name: crew, Rate: highRate, Burst: highRate, Class: note.ClassInteractive},
		{Name: editors, Rate: highRate, Burst: highRate, Class: note.ClassCorrection},
		{Name: auditors, Rate: highRate, Burst: highRate, Class: note.ClassBulk},
	}
}

// apply applies the next note, filled in by change, through a host.
func (f *fleet) apply(h *host, change func(*note.Note)) {
	f.t.Helper()
	if err := f.Apply(f.context(), h, change); err != nil {
		f.t.Fatal(err)
	}
}

// dial opens a connection to a host with the workspace's first key. The caller closes it.
func (f *fleet) dial(h *host, workspace, service string) (*pgx.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return pgx.Connect(ctx, f.URL(h, workspace, service))
}

// connect opens a connection to a host that stays open until the end of the test.
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
	_ = conn.Close(ctx) // an error leaves nothing to clean up
}

// context returns a context with the timeout waitTimeout, so that a step that hangs fails long
// before the test's own timeout.
func (f *fleet) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	f.t.Cleanup(cancel)
	return ctx
}

// setFaults sets injected faults of an endpoint.
func (f *fleet) setFaults(e *endpoint, r standin.FaultRequest) {
	f.t.Helper()
	if err := e.SetFaults(f.context(), r); err != nil {
		f.t.Fatalf("faults of %s: %v", e.ID, err)
	}
}

// primary returns the primary of a service and fails the test when there is none.
func (f *fleet) primary(service string) *endpoint {
	f.t.Helper()
	e := f.Primary(f.context(), service)
	if e == nil {
		f.t.Fatalf("service %s has no primary", service)
	}
	return e
}

// connectDirect connects to an endpoint past the hosts and the network.
func (f *fleet) connectDirect(e *endpoint) *pgx.Conn {
	f.t.Helper()
	conn, err := pgx.Connect(f.context(), e.DirectURL())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { closeConn(conn) })
	return conn
}

// restartHost starts the process of a stopped host again.
func (f *fleet) restartHost(h *host) {
	f.t.Helper()
	if err := f.StartHost(h); err != nil {
		f.t.Fatal(err)
	}
}

// restartEndpoint starts the process of a stopped endpoint again, as a replica.
func (f *fleet) restartEndpoint(e *endpoint) {
	f.t.Helper()
	if err := f.StartEndpoint(e, standin.RoleReplica, ""); err != nil {
		f.t.Fatal(err)
	}
}

// shutDown shuts a host down gracefully and waits for the end of its process.
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
	case <-time.After(waitTimeout):
		f.t.Errorf("%s did not shut down within %s", h.Name, waitTimeout)
	}
}

func (f *fleet) awaitServing() {
	f.t.Helper()
	if err := f.AwaitServing(f.context()); err != nil {
		f.t.Fatal(err)
	}
}
