package limits

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/peer"
	"github.com/galenabridge/galenabridge/internal/quota"
	"github.com/galenabridge/galenabridge/internal/rendezvous"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/view"
)

const (
	testTimeout   = 60 * time.Second
	testWorkspace = "crew"
	testRate      = 50
	testBurst     = 10
)

// fleet holds control and entry hosts that follow one state.
type fleet struct {
	t     *testing.T
	state *agreed.State
	hosts map[string]*testHost
}

type testHost struct {
	peers  *peer.Node
	view   *view.Publisher
	holder *Holder
	stop   context.CancelFunc
	done   sync.WaitGroup
}

// noPool is a Pool without connections and slots.
type noPool struct{}

func (noPool) Usage() []Usage { return nil }
func (noPool) Resize()        {}

func newFleet(t *testing.T, controls, entries int) *fleet {
	t.Helper()
	f := &fleet{t: t, state: agreed.New(), hosts: make(map[string]*testHost)}
	f.state.Revision, f.state.OwnersEpoch = 1, 1
	f.state.Hosts = make(map[string]agreed.Host)
	f.state.Catalog.Stamp.Number = 1
	f.state.Catalog.Workspaces = map[string]note.Workspace{
		testWorkspace: {Name: testWorkspace, Rate: testRate, Burst: testBurst},
	}
	for i := range controls {
		f.add(fmt.Sprintf("control-%d", i), true)
	}
	for i := range entries {
		f.add(fmt.Sprintf("entry-%d", i), false)
	}
	f.publish()
	return f
}

func (f *fleet) add(id string, control bool) {
	logger := log.New(io.Discard)
	h := &testHost{view: view.NewPublisher()}
	h.peers = peer.NewNode(peer.Options{
		Host: id, Fleet: "test", Secret: "0123456789abcdef", Incarnation: 1,
		Listen: "127.0.0.1:0", Registry: prometheus.NewRegistry(), Logger: logger,
	})
	if err := h.peers.Listen(); err != nil {
		f.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	if control {
		owner := NewOwner(h.peers, h.view, DefaultConfig(), logger)
		h.done.Go(func() { _ = owner.Run(ctx) })
	} else {
		h.holder = NewHolder(h.peers, h.view, DefaultConfig(), logger)
		h.holder.SetPool(noPool{})
		h.done.Go(func() { _ = h.holder.Run(ctx) })
	}
	h.done.Go(func() { _ = h.peers.Run(ctx) })
	f.hosts[id] = h
	f.state.Hosts[id] = agreed.Host{
		ID: id, PeerAddr: h.peers.Addr(), Incarnation: 1, Control: control, Entry: !control,
	}
	f.t.Cleanup(func() { f.kill(id) })
}

func (f *fleet) kill(id string) {
	f.hosts[id].stop()
	f.hosts[id].done.Wait()
}

// publish gives all hosts the current state with a lease that outlasts the test.
func (f *fleet) publish() {
	for _, h := range f.hosts {
		h.view.Publish(view.View{State: f.state, ValidUntil: clock.Now().Add(testTimeout)})
	}
}

// remove removes a control host from the agreed state.
func (f *fleet) remove(id string) {
	next := *f.state
	next.Hosts = make(map[string]agreed.Host)
	for name, h := range f.state.Hosts {
		if name != id {
			next.Hosts[name] = h
		}
	}
	next.Revision++
	next.OwnersEpoch++
	f.state = &next
	f.publish()
}

// TestFleetStaysWithinRate has callers on three hosts acquire tokens as fast as they
// can.
func TestFleetStaysWithinRate(t *testing.T) {
	f := newFleet(t, 2, 3)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var granted atomic.Int64
	start := time.Now()
	var callers sync.WaitGroup
	for i := range 3 {
		holder := f.hosts[fmt.Sprintf("entry-%d", i)].holder
		for range 4 {
			callers.Go(func() {
				for granted.Load() < 3*testRate && ctx.Err() == nil {
					if holder.Acquire(ctx, testWorkspace) == nil {
						granted.Add(1)
					}
				}
			})
		}
	}
	callers.Wait()
	elapsed := time.Since(start).Seconds()
	if allowed := testRate*elapsed + testBurst; float64(granted.Load()) > allowed {
		t.Errorf("%d grants in %.2f s, want at most %.0f", granted.Load(), elapsed, allowed)
	}
	if granted.Load() < 3*testRate {
		t.Errorf("%d grants before the timeout, want 3*testRate", granted.Load())
	}
}

// TestAcquireDuringOwnerReplacement kills the owner of the workspace's rate and then
// removes it from the agreed state. Callers that can wait must be served throughout.
func TestAcquireDuringOwnerReplacement(t *testing.T) {
	f := newFleet(t, 2, 2)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	acquire := func(n int) {
		t.Helper()
		for i := range n {
			holder := f.hosts[fmt.Sprintf("entry-%d", i%2)].holder
			if err := holder.Acquire(ctx, testWorkspace); err != nil {
				t.Fatal(err)
			}
		}
	}
	acquire(20)
	owner := ownerOf(f.state, rateKey(testWorkspace))
	f.kill(owner)
	acquire(20)
	f.remove(owner)
	acquire(20)
}

// TestAcquireRefusesEarlyWhenDeadlineUnreachable overloads a workspace until a request
// is refused. A request that cannot be served in time must not wait for its deadline.
func TestAcquireRefusesEarlyWhenDeadlineUnreachable(t *testing.T) {
	f := newFleet(t, 1, 1)
	holder := f.hosts["entry-0"].holder
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var refused atomic.Int64
	var callers sync.WaitGroup
	for range 4 * testRate {
		callers.Go(func() {
			for refused.Load() == 0 && ctx.Err() == nil {
				callCtx, done := context.WithTimeout(ctx, time.Second)
				err := holder.Acquire(callCtx, testWorkspace)
				early := callCtx.Err() == nil
				done()
				if result.CodeOf(err) == result.RateExceeded && early {
					refused.Add(1)
				}
			}
		})
	}
	callers.Wait()
	if refused.Load() == 0 {
		t.Error("no request was refused before its deadline at several times the rate")
	}
}

// ownerOf returns the owner of a key in a state.
func ownerOf(state *agreed.State, key string) string {
	return rendezvous.Owner(state.QuotaOwners(), key)
}

// TestConnectionFloorsAndLeasesFitEndpoint checks that the connections of all hosts,
// with and without leases, leave those for probes free.
func TestConnectionFloorsAndLeasesFitEndpoint(t *testing.T) {
	for connections := 1; connections <= 60; connections++ {
		for hosts := 1; hosts <= 20; hosts++ {
			size := fleetSize{cfg: DefaultConfig(), entryHosts: hosts, domains: min(hosts, 4)}
			floors := size.connectionFloor(connections) * hosts
			leased := size.leasedConnections(connections)
			if leased < 0 || floors+leased > max(connections-size.domains-1, 1) {
				t.Errorf("%d connections, %d hosts: floors %d, leased %d, want connections left for probes", connections, hosts, floors, leased)
			}
		}
	}
}

// TestHolderFloorsWithoutLease checks that a host that has no reply from an owner may
// use the floors of connections and slots.
func TestHolderFloorsWithoutLease(t *testing.T) {
	f := newFleet(t, 0, 2)
	f.state.Catalog.Services = map[string]note.Service{"s": {Name: "s", Connections: 30, Slots: 5}}
	holder := f.hosts["entry-0"].holder
	holder.mu.Lock()
	holder.applyState(f.state)
	holder.mu.Unlock()
	if n := holder.Connections("s", "e"); n != DefaultConfig().FloorConnections {
		t.Errorf("%d connections without a lease, want FloorConnections", n)
	}
	if n := holder.Slots("s", "e"); n != floorSlots {
		t.Errorf("%d slots without a lease, want floorSlots", n)
	}
}

// TestQueueServesNewestRequestFirst has two requests wait for one token. Under
// overload only the newest can still meet its deadline.
func TestQueueServesNewestRequestFirst(t *testing.T) {
	f := newFleet(t, 0, 1) // no owner replies
	h := f.hosts["entry-0"].holder
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	first, err := h.takeOrEnqueue(ctx, testWorkspace)
	if err != nil {
		t.Fatal(err)
	}
	second, err := h.takeOrEnqueue(ctx, testWorkspace)
	if err != nil {
		t.Fatal(err)
	}
	now := clock.Now()
	h.mu.Lock()
	h.rateFloors[testWorkspace] = &floorBucket{bucket: rate.NewLimiter(1, 1)}
	h.mu.Unlock()
	h.serve(now)
	if len(first.ready) != 0 || len(second.ready) != 1 {
		t.Errorf("served: first %v, second %v; want only the second", len(first.ready) == 1, len(second.ready) == 1)
	}
}

// TestHeadroomLeftWhenConnectionsSuffice checks that the hosts together leave unused
// connections wherever the endpoint has enough for the floors and the headroom.
func TestHeadroomLeftWhenConnectionsSuffice(t *testing.T) {
	cfg := DefaultConfig()
	cfg.FloorConnections, cfg.ProbeConnections, cfg.HeadroomConnections = 1, 2, 1
	for connections := 1; connections <= 60; connections++ {
		for hosts := 1; hosts <= 20; hosts++ {
			size := fleetSize{cfg: cfg, entryHosts: hosts, domains: min(hosts, 4)}
			used := size.connectionFloor(connections)*hosts + size.leasedConnections(connections)
			left := max(connections-cfg.ProbeConnections, 1) - used
			if left < 0 || left == 0 && connections-cfg.ProbeConnections >= 2*hosts {
				t.Errorf("%d connections, %d hosts: %d left unused, want headroom", connections, hosts, left)
			}
		}
	}
}

// TestNewProcessIdleSinceItsStart follows the state a second after the start of a process, as
// when a fleet has lost power. It guards against a rate that accrues nothing until then: the
// former process of the host ended before.
func TestNewProcessIdleSinceItsStart(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Lease.ExclusiveIdentity = true
	node := peer.NewNode(peer.Options{Host: "entry", Registry: prometheus.NewRegistry(), Logger: log.New(io.Discard)})
	h := NewHolder(node, view.NewPublisher(), cfg, log.New(io.Discard))
	h.quota.SetEpoch(1, []string{"control"})
	h.quota.ObserveOwner("control", 1)
	batches := h.quota.Requests(clock.Now().Add(time.Second))
	if len(batches) != 1 {
		t.Fatalf("%d reports of the leases, want one", len(batches))
	}
	if r := batches[0].Request; r.IdleMS < 1000 || !r.New {
		t.Errorf("idle for %d ms, new %t; want at least 1000 ms of a new process", r.IdleMS, r.New)
	}
}

// TestRestartedOwnerUnderFirstCatalog guards against an owner that starts again under the first catalog
// and grants a rate that the holders still have of its former process.
func TestRestartedOwnerUnderFirstCatalog(t *testing.T) {
	f := newFleet(t, 1, 1)
	fresh := func() *Owner {
		cfg := DefaultConfig()
		return &Owner{
			view: f.hosts["control-0"].view, cfg: cfg, limits: map[string]quota.Limit{}, startedAt: clock.Now(),
			quota: quota.NewOwner(quotaConfig(cfg.Lease), "control-0", 2, clock.Now()),
		}
	}
	tokens := func(o *Owner) float64 {
		now, key := clock.Now(), rateKey(testWorkspace)
		o.applyState(now)
		o.quota.SetOwnerLease(now.Add(time.Minute))
		o.quota.Handle(now, quota.Request{Host: "entry-0", Incarnation: 1, Epoch: 1, OwnerIncarnation: 2, Seq: 1, Keys: []quota.KeyRequest{{Key: key, Demand: 1}}})
		s, _ := o.quota.Status(key)
		return s.Pool + s.Leased
	}
	if n := tokens(fresh()); n > 0 {
		t.Errorf("an owner that starts under the first catalog grants %.0f tokens", n)
	}
	first := fresh()
	first.state = agreed.New() // it has seen the fleet without a catalog
	if n := tokens(first); n < testBurst/2 {
		t.Errorf("an owner that has seen the fleet without a catalog grants %.0f tokens, want most of %d", n, testBurst)
	}
}
