package control

import (
	"reflect"
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/consensus"
	"github.com/galenabridge/galenabridge/internal/lease"
	"github.com/galenabridge/galenabridge/internal/view"
)

// TestUsageCommandsChangeStateWithoutRevision guards against an applied usage command that is lost,
// because a state with an equal revision is taken for an old one, and against pushes to subscribers
// that have nothing to receive. The state is what the next snapshot of the control host holds.
func TestUsageCommandsChangeStateWithoutRevision(t *testing.T) {
	h := newPushHost(t, 2)
	now := time.Unix(100, 0)
	var entries []consensus.Entry
	for i, c := range []agreed.Command{
		{ClaimUsage: &agreed.ClaimUsage{Host: "c0", Incarnation: 1, Window: 10}},
		{DecideUsage: &agreed.DecideUsage{Fence: 7, Window: 10}}, {DecideUsage: &agreed.DecideUsage{Fence: 7, Window: 12}},
	} {
		data, err := c.EncodeReadable()
		if err != nil {
			t.Fatal(err)
		}
		entries = append(entries, consensus.Entry{Index: 7 + uint64(i), Term: 1, Kind: consensus.EntryCommand, Data: data})
	}
	if err := h.applyEntries(now, entries); err != nil {
		t.Fatal(err)
	}
	if u := h.state.Usage; u.Fence != 7 || u.Decided != 12 || h.state.Revision != 1 || !h.pushes.next.IsZero() {
		t.Errorf("usage %+v at revision %d, pushed %t; want fence 7, window 12, revision 1 and no push", u, h.state.Revision, !h.pushes.next.IsZero())
	}
	// A snapshot of the leader that differs in the usage reports only.
	later, _ := agreed.Apply(h.state, 20, agreed.Command{DecideUsage: &agreed.DecideUsage{Fence: 7, Window: 23}})
	data, err := later.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if err := h.installSnapshot(&consensus.Snapshot{Index: 23, Term: 1, Data: data}); err != nil {
		t.Fatal(err)
	}
	// A later change for subscribers starts at the revision that they have, and keeps the usage.
	h.register("e9")
	h.pushChanges(now)
	for id, sub := range h.subscribers {
		if sub.sent != 2 {
			t.Errorf("%s was sent revision %d, want 2", id.Host, sub.sent)
		}
	}
	if !reflect.DeepEqual(h.state.Usage, later.Usage) {
		t.Errorf("usage %+v after the snapshot, want %+v", h.state.Usage, later.Usage)
	}
}

// TestUsagePermission checks that a leader may send only with both a lease and a recent confirmation
// of its quorum: the lease may have been renewed through a successor.
func TestUsagePermission(t *testing.T) {
	now := clock.Now()
	for _, c := range []struct{ confirmed, leaseEnd, want time.Duration }{
		{0, 2 * time.Second, time.Second}, {0, 500 * time.Millisecond, 500 * time.Millisecond}, {-3 * time.Second, 2 * time.Second, -2 * time.Second},
	} {
		v := view.NewPublisher()
		v.Publish(view.View{State: agreed.New(), ValidUntil: now.Add(c.leaseEnd)})
		h := &Host{opts: Options{View: v, Lease: lease.Config{Duration: 2 * time.Second}}, quorumAt: now.Add(c.confirmed)}
		if got := (&usageDriver{host: h}).mayActUntil().Sub(now); got != c.want {
			t.Errorf("confirmed at %v, lease until %v: may act until %v, want %v", c.confirmed, c.leaseEnd, got, c.want)
		}
	}
}
