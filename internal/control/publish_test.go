package control

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/consensus"
	"github.com/galenabridge/galenabridge/internal/lease"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/peer"
)

// TestSubscriptionResendsMissedDelta guards against a host that stays behind after it
// lost one push: it cannot apply the later ones, so the pushes must start again at
// its revision within resendDelay even while new pushes follow.
func TestSubscriptionResendsMissedDelta(t *testing.T) {
	now := time.Unix(100, 0)
	sub := &subscription{sent: 4, applied: 4}
	const step = 20 * time.Millisecond
	for i := range uint64(20) {
		sub.recordPush(now, 5+i)
		now = now.Add(step)
		if sub.acknowledge(now, 4) {
			if behind := now.Sub(time.Unix(100, 0)); behind > resendDelay+step {
				t.Errorf("resent after %v, want at most resendDelay and one step", behind)
			}
			if sub.sent != 4 {
				t.Errorf("the next push starts at %d, want 4", sub.sent)
			}
			return
		}
	}
	t.Error("the missed delta was never resent")
}

// TestSubscriptionKeepsPushInFlight checks that pushes to a host that makes progress
// are not repeated while one is in flight.
func TestSubscriptionKeepsPushInFlight(t *testing.T) {
	now := time.Unix(100, 0)
	sub := &subscription{sent: 4, applied: 4}
	for i := range uint64(20) {
		sub.recordPush(now, 6+i)
		now = now.Add(resendDelay / 2)
		if sub.acknowledge(now, 5+i) {
			t.Fatalf("push %d was repeated while one was in flight", i)
		}
	}
}

// newPushHost returns a Host with subscribers that have applied the first revision. Its
// messages are queued for peers that do not exist.
func newPushHost(t *testing.T, subscribers int) *Host {
	t.Helper()
	logger := log.New(io.Discard)
	node := peer.NewNode(peer.Options{Host: "c0", Fleet: "test", Secret: "0123456789abcdef", Incarnation: 1, Registry: prometheus.NewRegistry(), Logger: logger})
	h := &Host{opts: Options{Peer: node}, log: logger, state: agreed.New(), subscribers: make(map[lease.ID]*subscription)}
	h.state.Revision = 1
	h.recent.add(h.state)
	for i := range subscribers {
		h.subscribers[lease.ID{Host: fmt.Sprint("e", i), Incarnation: 1}] = &subscription{addr: "127.0.0.1:1", sent: 1, applied: 1, lastSeen: time.Unix(100, 0)}
	}
	return h
}

// register makes the state name one host more.
func (h *Host) register(id string) {
	next, _ := agreed.Apply(h.state, h.state.Revision+1, agreed.Command{RegisterHost: &agreed.RegisterHost{Host: agreed.Host{ID: id, Incarnation: 1, Entry: true}}})
	h.state = next
	h.recent.add(next)
}

// answerPushes reports for all subscribers that they have applied what they were sent.
func (h *Host) answerPushes(now time.Time) {
	for id, sub := range h.subscribers {
		h.updateSubscriber(now, id, sub.addr, sub.sent)
	}
}

// TestPushesWaitForAnswers plays the registrations of 100 hosts while one subscriber answers, and
// another, behind a thin link, does not. It guards against pushes that fill the link, so that
// the lease of the host ends behind them.
func TestPushesWaitForAnswers(t *testing.T) {
	h := newPushHost(t, 2)
	now := time.Unix(100, 0)
	quick, slow := lease.ID{Host: "e0", Incarnation: 1}, lease.ID{Host: "e1", Incarnation: 1}
	for i := range 100 {
		h.register(fmt.Sprint("new", i))
		h.pushChanges(now)
		now = now.Add(pushInterval)
		h.updateSubscriber(now, quick, h.subscribers[quick].addr, h.subscribers[quick].sent)
	}
	if sub := h.subscribers[quick]; sub.sent != h.state.Revision {
		t.Errorf("the host that answers was sent revision %d, want %d", sub.sent, h.state.Revision)
	}
	sub := h.subscribers[slow]
	if sub.sent != 2 {
		t.Errorf("the host that does not answer was sent revision %d, want the first push alone, 2", sub.sent)
	}
	once := sub.inFlight
	h.updateSubscriber(now, slow, sub.addr, 2)
	if sub.sent != h.state.Revision {
		t.Errorf("once it answers it was sent revision %d, want %d", sub.sent, h.state.Revision)
	}
	if sub.inFlight > 100*once {
		t.Errorf("%d bytes for 99 changes at once, %d for one", sub.inFlight, once)
	}
}

// TestRegistrationStormPushesOncePerInterval plays the registrations of 200 hosts within 200
// ms, as after a loss of power. It guards against a push for each registration to each host:
// their number grows with the square of the hosts.
func TestRegistrationStormPushesOncePerInterval(t *testing.T) {
	h := newPushHost(t, 200)
	now := time.Unix(100, 0)
	pushes := 0
	for i := range 200 {
		h.register(fmt.Sprint("new", i))
		before := h.pushes.pushed
		h.pushChanges(now)
		if now = now.Add(time.Millisecond); h.pushes.pushed != before {
			pushes++
			h.answerPushes(now)
		}
	}
	if pushes < 5 || pushes > 6 {
		t.Errorf("%d pushes in 200 ms, want one per pushInterval", pushes)
	}
	h.pushChanges(now.Add(pushInterval))
	for id, sub := range h.subscribers {
		if sub.sent != h.state.Revision {
			t.Fatalf("%s was sent revision %d, want the last one, %d", id.Host, sub.sent, h.state.Revision)
		}
	}
}

// TestNewSubscribersShareSnapshot subscribes hosts while the state changes. Each must get a
// recent snapshot and the changes since, from one encoding.
func TestNewSubscribersShareSnapshot(t *testing.T) {
	h := newPushHost(t, 0)
	now := time.Unix(100, 0)
	h.pushChanges(now)
	for i := range 50 {
		h.register(fmt.Sprint("new", i))
		now = now.Add(10 * time.Millisecond)
		h.pushChanges(now)
		h.updateSubscriber(now, lease.ID{Host: fmt.Sprint("e", i), Incarnation: 1}, "127.0.0.1:1", 0)
		if sub := h.subscribers[lease.ID{Host: fmt.Sprint("e", i), Incarnation: 1}]; sub.sent != h.state.Revision {
			t.Fatalf("a new subscriber was sent revision %d, want %d", sub.sent, h.state.Revision)
		}
	}
	if at := h.pushes.snapshotAt; now.Sub(at) < 400*time.Millisecond {
		t.Errorf("the snapshot was encoded again %v before the end, want once within %v", now.Sub(at), snapshotReuse)
	}
}

// TestSnapshotOverThinLinkSentOnce subscribes a host without state, which asks each 100 ms while a
// large snapshot is on its way. It guards against a snapshot for each question: the links of a
// fleet that comes back would carry nothing else.
func TestSnapshotOverThinLinkSentOnce(t *testing.T) {
	const size = 200_000 // bytes, 0.8 s over 2 Mbit/s
	sub := &subscription{}
	now := time.Unix(100, 0)
	sends := 0
	for range 20 { // two seconds
		if sub.acknowledge(now, 0) {
			sends++
			sub.recordPush(now, 9)
			sub.inFlight += size
		}
		now = now.Add(100 * time.Millisecond)
	}
	if sends != 1 {
		t.Errorf("%d snapshots sent in two seconds, want one", sends)
	}
	for range 100 {
		if now = now.Add(100 * time.Millisecond); sub.acknowledge(now, 0) {
			return
		}
	}
	t.Error("a snapshot that was lost is not repeated")
}

// TestRecentStatesAreThosePushed plays a storm of changes. It guards against a copy of the maps of
// a large fleet for each of hundreds of revisions, of which subscribers have few.
func TestRecentStatesAreThosePushed(t *testing.T) {
	h := newPushHost(t, 1)
	now := time.Unix(100, 0)
	for i := range 1000 {
		next, _ := agreed.Apply(h.state, h.state.Revision+1, agreed.Command{RegisterHost: &agreed.RegisterHost{Host: agreed.Host{ID: fmt.Sprint("new", i%50), Incarnation: uint64(i + 1), Entry: true}}})
		h.state = next
		h.pushChanges(now)
		now = now.Add(time.Millisecond)
	}
	if n := len(h.recent.states); n > 1000/int(pushInterval/time.Millisecond)+2 {
		t.Errorf("%d states kept after a second of changes, want one for each push", n)
	}
}

// TestSnapshotCompressed checks that a snapshot of many hosts leads to the same state in a third of
// its size, and that one that is cut short is refused.
func TestSnapshotCompressed(t *testing.T) {
	h := newPushHost(t, 0)
	for i := range 200 {
		h.register(fmt.Sprintf("10.1.0.%d:7400", i))
	}
	plain, err := h.state.Encode()
	if err != nil {
		t.Fatal(err)
	}
	push, err := newSnapshotPush(h.state)
	if err != nil {
		t.Fatal(err)
	}
	if len(push.Packed)*3 > len(plain) {
		t.Errorf("%d bytes of %d, want a third at most", len(push.Packed), len(plain))
	}
	state, err := push.state()
	if err != nil || len(state.Hosts) != 200 || state.Revision != h.state.Revision {
		t.Errorf("got %d hosts at revision %d, error %v", len(state.Hosts), state.Revision, err)
	}
	if _, err := (snapshotPush{Packed: push.Packed[:len(push.Packed)/2]}).state(); err == nil {
		t.Error("a snapshot that is cut short is accepted")
	}
}

// TestSubscriberOfAnotherControlHostGetsNewerSnapshot subscribes a host that got its revision
// from another control host, which had pushed it, while this one has not. It guards against
// a shared snapshot that is older than what the host has applied: the host ignores it, cannot
// apply the delta after it, and delays the settled revision of the fleet for snapshotReuse.
func TestSubscriberOfAnotherControlHostGetsNewerSnapshot(t *testing.T) {
	h := newPushHost(t, 0)
	now := time.Unix(100, 0)
	h.pushChanges(now)
	newcomer := func(id string, applied uint64) *subscription {
		h.updateSubscriber(now, lease.ID{Host: id, Incarnation: 1}, "127.0.0.1:1", applied)
		return h.subscribers[lease.ID{Host: id, Incarnation: 1}]
	}
	newcomer("first", 0) // the snapshot is encoded for it
	for i := range 4 {
		now = now.Add(pushInterval)
		// Two registrations are pushed at once, so that the revision between them is not.
		for part := range 2 {
			next, _ := agreed.Apply(h.state, h.state.Revision+1, agreed.Command{RegisterHost: &agreed.RegisterHost{
				Host: agreed.Host{ID: fmt.Sprint("new", i, part), Incarnation: 1, Entry: true},
			}})
			h.state = next
		}
		h.pushChanges(now)
	}
	for _, applied := range []uint64{h.state.Revision - 1, h.state.Revision - 3} {
		if h.recent.at(applied) != nil {
			t.Fatalf("revision %d was pushed", applied)
		}
		sub := newcomer(fmt.Sprint("from", applied), applied)
		if sub.sent != h.state.Revision {
			t.Errorf("a host at revision %d was sent %d, want %d", applied, sub.sent, h.state.Revision)
		}
		if h.pushes.snapshotRevision <= applied {
			t.Errorf("a host at revision %d was sent the snapshot of %d, which it ignores", applied, h.pushes.snapshotRevision)
		}
	}
}

// TestNewCatalogPushedAtOnce guards against a change of the catalog that stays in force for most of a
// pushInterval after its withdrawal was acknowledged, with registrations before it.
func TestNewCatalogPushedAtOnce(t *testing.T) {
	h := newPushHost(t, 2)
	now := time.Unix(100, 0)
	h.register("new")
	h.pushChanges(now)
	for number := range uint64(3) {
		now = now.Add(time.Millisecond)
		h.answerPushes(now)
		next, _ := agreed.Apply(h.state, h.state.Revision+1, agreed.Command{PutCatalog: &agreed.PutCatalog{Document: agreed.Document{Number: number + 1}}})
		h.state = next
		h.pushChanges(now)
		if h.pushes.pushed != next.Revision {
			t.Fatalf("catalog %d waits for the next push", number+1)
		}
		h.register(fmt.Sprint("other", number))
		h.pushChanges(now)
		if h.pushes.pushed != next.Revision {
			t.Fatal("a registration was pushed before pushInterval was over")
		}
	}
}

// TestRecentStatesBoundedBySize plays 80 changes of a catalog with 10,000 routes. It guards against control
// hosts that keep a copy of it for each and pass their memory.
func TestRecentStatesBoundedBySize(t *testing.T) {
	const routes, routeBytes = 10_000, 320
	h := newPushHost(t, 1)
	now := time.Unix(100, 0)
	for number := range uint64(80) {
		c := note.Catalog{Routes: make(map[string]note.Route, routes)}
		for i := range routes {
			name := fmt.Sprint("r", i)
			c.Routes[name] = note.Route{Name: name, Database: name, Service: "logs", Timeout: int64(number + 1)}
		}
		document := agreed.Document{Number: number + 1, Source: []byte("text")}
		h.state, _ = agreed.Apply(h.state, h.state.Revision+1, agreed.Command{PutCatalog: &agreed.PutCatalog{Document: document, Catalog: c}})
		now = now.Add(pushInterval)
		h.pushChanges(now)
		h.answerPushes(now)
	}
	if kept := len(h.recent.states); kept > maxRecentBytes/(routes*routeBytes)+1 || kept < 2 {
		t.Errorf("%d states of some %d MB are kept, want at most %d MB beside the last", kept, routes*routeBytes>>20, maxRecentBytes>>20)
	}
	for _, s := range h.recent.states {
		if s.Document.Source != nil {
			t.Fatal("a kept state has the source of its document")
		}
	}
}

// TestAcknowledgementsHeldAtFirstStartOnly guards against orders that are held back for voters that a fleet
// does not have, after elections later than the first.
func TestAcknowledgementsHeldAtFirstStartOnly(t *testing.T) {
	node, err := consensus.New(consensus.Config{Host: "c0", Rand: rand.New(rand.NewPCG(1, 1))}, consensus.Stored{Disk: 1})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(100, 0)
	for name, c := range map[string]struct {
		empty       bool
		loaded, led time.Duration // before now
		held        bool
	}{
		"first leader of a new group":          {true, time.Second, 500 * time.Millisecond, true},
		"and after the grace":                  {true, 5 * time.Second, firstVotersGrace, false},
		"leader of a group that was there":     {false, time.Second, 500 * time.Millisecond, false},
		"another host of the new group, later": {true, time.Minute, 500 * time.Millisecond, false},
	} {
		h := newPushHost(t, 0)
		h.opts.OpenMembership, h.node = true, node
		h.startedEmpty, h.loadedAt, h.firstLedAt = c.empty, now.Add(-c.loaded), now.Add(-c.led)
		if held := !h.mayAcknowledge(now); held != c.held {
			t.Errorf("%s: held %t, want %t", name, held, c.held)
		}
	}
}
