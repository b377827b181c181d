package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/consensus"
)

// usageEntries returns the log entries of a claim and of decisions of the windows 10 and later.
func usageEntries(t *testing.T, first uint64, decisions int) []consensus.Entry {
	t.Helper()
	commands := []agreed.Command{{ClaimUsage: &agreed.ClaimUsage{Host: "c0", Incarnation: 1, Window: 10}}}
	for i := range decisions {
		commands = append(commands, agreed.Command{DecideUsage: &agreed.DecideUsage{Fence: first, Window: 10 + int64(i)}})
	}
	var entries []consensus.Entry
	for i, c := range commands {
		data, err := c.EncodeReadable()
		if err != nil {
			t.Fatal(err)
		}
		entries = append(entries, consensus.Entry{Index: first + uint64(i), Term: 1, Kind: consensus.EntryCommand, Data: data})
	}
	return entries
}

// TestUsageCommandsChangeStateWithoutRevision guards against an applied usage command that is lost,
// because a state with an equal revision is taken for an old one, and against pushes to subscribers
// that have nothing to receive. The state is what the next snapshot of the control host holds.
func TestUsageCommandsChangeStateWithoutRevision(t *testing.T) {
	h := newPushHost(t, 2)
	now := time.Unix(100, 0)
	if err := h.applyEntries(now, usageEntries(t, 7, 3)); err != nil {
		t.Fatal(err)
	}
	if u := h.state.Usage; u.Fence != 7 || u.Decided != 12 || h.state.Revision != 1 {
		t.Errorf("usage %+v at revision %d, want fence 7 and window 12 at revision 1", u, h.state.Revision)
	}
	for id, sub := range h.subscribers {
		if sub.sent != 1 || !h.pushes.next.IsZero() {
			t.Errorf("%s was sent revision %d, next push %v; want no push", id.Host, sub.sent, h.pushes.next)
		}
	}
	// A snapshot of the leader that differs in the usage reports only.
	later := h.state
	for i := range uint64(4) {
		later, _ = agreed.Apply(later, 20+i, agreed.Command{DecideUsage: &agreed.DecideUsage{Fence: 7, Window: 20 + int64(i)}})
	}
	data, err := later.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if err := h.installSnapshot(&consensus.Snapshot{Index: 23, Term: 1, Data: data}); err != nil {
		t.Fatal(err)
	}
	if got := fmt.Sprint(h.state.Usage); got != fmt.Sprint(later.Usage) {
		t.Errorf("after the snapshot: usage %s, want %s", got, fmt.Sprint(later.Usage))
	}
	// A later change for subscribers starts at the revision that they have, and keeps the usage.
	h.register("e9")
	h.pushChanges(now)
	for id, sub := range h.subscribers {
		if sub.sent != 2 {
			t.Errorf("%s was sent revision %d, want 2", id.Host, sub.sent)
		}
	}
	if h.state.Usage.Decided != 23 {
		t.Errorf("decided window %d after another command, want 23", h.state.Usage.Decided)
	}
}
