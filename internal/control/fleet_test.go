package control_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/config"
	"github.com/galenabridge/galenabridge/internal/control"
	"github.com/galenabridge/galenabridge/internal/failover"
	"github.com/galenabridge/galenabridge/internal/lease"
	"github.com/galenabridge/galenabridge/internal/metering"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/peer"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/view"
	"github.com/galenabridge/galenabridge/internal/watch"
)

// waitTimeout limits every wait of these tests.
const waitTimeout = 60 * time.Second

// fleet is a set of hosts in this process, connected over loopback.
type fleet struct {
	t               testing.TB
	net             *network
	dir             string
	controls        []config.ControlHost
	hosts           map[string]*testHost
	lastIncarnation uint64
	leaseConfig     lease.Config
	// disks are the faults of the hosts' disks.
	disks map[string]*disk
	// unreachableFrom holds the hosts whose control role cannot reach any endpoint.
	unreachableFrom map[string]bool
	// metering configures usage reports.
	metering metering.Config
}

// endpointManager returns the EndpointManager of the control role of a host.
func (f *fleet) endpointManager(name string) control.EndpointManager {
	if f.unreachableFrom[name] {
		return unreachable{}
	}
	return watch.NewProber()
}

// unreachable is an EndpointManager that cannot reach any endpoint.
type unreachable struct{}

func (unreachable) Probe(context.Context, note.Service, agreed.Endpoint) failover.Condition {
	return failover.Condition{}
}

func (unreachable) Promote(context.Context, failover.Order) (failover.OrderOutcome, error) {
	return failover.OrderRefused, errors.New("no route to the endpoint")
}

// testHost is one process of a host.
type testHost struct {
	name       string
	domain     string
	peer       *peer.Node
	control    *control.Host // nil without the control role
	subscriber *control.Subscriber
	watcher    *watch.Watcher
	registry   *prometheus.Registry
	view       *view.Publisher
	replaced   chan struct{}
	cancel     context.CancelFunc
	done       chan struct{}
}

// newFleet starts control hosts c0 to c(n-1), which are also entry hosts. Those in
// unreachableFrom cannot reach endpoints.
func newFleet(t testing.TB, n int, unreachableFrom ...string) *fleet {
	return newMeteredFleet(t, n, metering.Config{}, unreachableFrom...)
}

// newMeteredFleet is newFleet with usage reports.
func newMeteredFleet(t testing.TB, n int, cfg metering.Config, unreachableFrom ...string) *fleet {
	f := &fleet{metering: cfg, t: t, net: newNetwork(), dir: t.TempDir(), hosts: map[string]*testHost{}, leaseConfig: lease.DefaultConfig()}
	f.unreachableFrom, f.disks = make(map[string]bool), make(map[string]*disk)
	for _, name := range unreachableFrom {
		f.unreachableFrom[name] = true
	}
	for i := range n {
		f.controls = append(f.controls, config.ControlHost{Host: fmt.Sprintf("c%d", i), Addr: f.freeAddr(), Voter: true})
	}
	for _, c := range f.controls {
		f.disks[c.Host] = &disk{}
		f.start(c.Host)
	}
	return f
}

// freeAddr reserves an address until the end of the test.
func (f *fleet) freeAddr() string {
	r, err := f.net.reserve()
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = r.Listener.Close() })
	return r.Addr().String()
}

// logger returns a logger that discards everything unless GB_TEST_LOG is set.
func logger() *log.Logger {
	if os.Getenv("GB_TEST_LOG") != "" {
		return log.NewWithOptions(os.Stderr, log.Options{Level: log.DebugLevel, ReportTimestamp: true, TimeFormat: "05.000"})
	}
	return log.New(io.Discard)
}

// start starts a new process of a host, with a greater incarnation than any before.
func (f *fleet) start(name string) *testHost {
	f.t.Helper()
	f.lastIncarnation++
	h := &testHost{name: name, domain: "domain of " + name, view: view.NewPublisher(), registry: prometheus.NewRegistry(),
		replaced: make(chan struct{}), done: make(chan struct{})}
	listen, isControl := "127.0.0.1:0", false
	for _, c := range f.controls {
		if c.Host == name {
			listen, isControl = c.Addr, true
		}
	}
	h.peer = peer.NewNode(peer.Options{
		Host: name, Fleet: "fleet", Secret: "a secret of the fleet", Incarnation: f.lastIncarnation,
		Listen: listen, Transport: transport{f.net, name}, Logger: logger().With("host", name),
		OnReplaced: func() { close(h.replaced) }, Registry: h.registry,
	})
	if isControl {
		h.control = control.New(control.Options{
			Fleet: "fleet", DataDir: filepath.Join(f.dir, name), Bootstrap: true, Controls: f.controls,
			Peer: h.peer, Lease: f.leaseConfig, Logger: logger().With("host", name), CompactEvery: 200, Registry: h.registry,
			EndpointManager: f.endpointManager(name), OpenStore: f.disks[name].open, Metering: f.metering,
		})
	}
	h.subscriber = control.NewSubscriber(control.SubscriberOptions{
		Fleet: "fleet", Domain: h.domain, Entry: true, Control: isControl, Controls: f.controls,
		Peer: h.peer, Lease: f.leaseConfig, Logger: logger().With("host", name), View: h.view, Registry: h.registry,
	})
	control.ServeEndpointRequests(h.peer, h.view, watch.NewProber())
	h.watcher = watch.NewWatcher(name, h.domain, h.view, h.subscriber.Observe)
	if err := h.peer.Listen(); err != nil {
		f.t.Fatal(err)
	}
	f.run(h)
	f.hosts[name] = h
	return h
}

func (f *fleet) run(h *testHost) {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	tasks := []func(context.Context) error{h.peer.Run, h.subscriber.Run, h.watcher.Run}
	if h.control != nil {
		tasks = append(tasks, h.control.Run)
	}
	errs := make(chan error, len(tasks))
	for _, task := range tasks {
		go func() { errs <- task(ctx) }()
	}
	go func() {
		defer close(h.done)
		for range tasks {
			if err := <-errs; err != nil && ctx.Err() == nil {
				f.t.Errorf("task of %s: %v", h.name, err)
			}
		}
	}()
	f.t.Cleanup(h.stop)
}

// stop ends the process without leaving the fleet, like a crash.
func (h *testHost) stop() {
	h.cancel()
	<-h.done
}

// waitFor waits until a condition holds and fails the test after waitTimeout.
func waitFor(t testing.TB, what string, cond func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !cond() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// valid reports whether the host's view is valid, so that it may act.
func (h *testHost) valid() bool { return h.view.Current().Valid() }

// metric returns the sum of all series of a metric of the host.
func (h *testHost) metric(t testing.TB, name string) float64 {
	t.Helper()
	families, err := h.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	total := 0.0
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, m := range family.GetMetric() {
			total += m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	return total
}

// leads reports whether the host considers itself the control leader.
func (h *testHost) leads() bool {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	s, err := h.control.LocalStatus(ctx)
	return err == nil && s.Leader == h.name && s.Role == "leader"
}

// noteNumber returns the number of the note in force on the host.
func (h *testHost) noteNumber() uint64 {
	if s := h.view.Current().State; s != nil {
		return s.Catalog.Stamp.Number
	}
	return 0
}

func (f *fleet) waitValid(names ...string) {
	f.t.Helper()
	for _, name := range names {
		waitFor(f.t, name+" to have a valid view", f.hosts[name].valid)
	}
}

// leader waits for the leader among the given hosts.
func (f *fleet) leader(names ...string) string {
	f.t.Helper()
	var leader string
	waitFor(f.t, "a leader", func() bool {
		for _, name := range names {
			if f.hosts[name].leads() {
				leader = name
				return true
			}
		}
		return false
	})
	return leader
}

// testNote returns the command for a note that adds one workspace.
func testNote(number uint64, title string) agreed.Command {
	n := note.Note{Number: number, Title: title}
	n.Added.Workspaces = []note.Workspace{{Name: fmt.Sprintf("w%d", number), Rate: 1, Burst: 1, Class: note.ClassBulk}}
	return agreed.Command{ApplyNote: &agreed.ApplyNote{Note: n}}
}

// propose proposes through a host and fails the test on another result code.
func (f *fleet) propose(name string, c agreed.Command, want result.Code) agreed.Outcome {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	out, err := f.hosts[name].control.Propose(ctx, c)
	if err != nil {
		f.t.Fatalf("propose through %s: %v", name, err)
	}
	if out.Code != want {
		f.t.Fatalf("propose through %s: code %d %s, want %d", name, out.Code, out.Detail, want)
	}
	return out
}

func (f *fleet) waitNote(number uint64, names ...string) {
	f.t.Helper()
	for _, name := range names {
		waitFor(f.t, fmt.Sprintf("note %d on %s", number, name), func() bool { return f.hosts[name].noteNumber() >= number })
	}
}
