package control

import (
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/consensus"
)

// TestEntryOfNewerVersionIsAnError guards against a host that skips a command which the hosts of a
// newer version apply.
func TestEntryOfNewerVersionIsAnError(t *testing.T) {
	h := &Host{log: log.New(io.Discard), metrics: newHostMetrics(nil), state: agreed.New()}
	for name, data := range map[string][]byte{
		"unknown command":       {0xa1, 0x18, 0x63, 0xa1, 0x01, 0x61, 'x'}, // {99: {1: "x"}}
		"field of another type": {0xa1, 0x04, 0x61, 'x'},                   // {4: "x"}
	} {
		_, _, err := h.applyEntry(h.state, consensus.Entry{Index: 7, Kind: consensus.EntryCommand, Data: data})
		if !errors.Is(err, agreed.ErrNewerVersion) {
			t.Errorf("%s: got %v, want ErrNewerVersion", name, err)
		}
	}
}

// TestPanickingEntryIsSkipped guards against a task that restarts for ever on an entry whose
// application panics.
func TestPanickingEntryIsSkipped(t *testing.T) {
	h := &Host{log: log.New(io.Discard), metrics: newHostMetrics(nil), state: agreed.New()}
	data, err := (agreed.Command{NameFleet: &agreed.NameFleet{Fleet: "f"}}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	next, out, err := h.applyEntry(nil, consensus.Entry{Index: 7, Kind: consensus.EntryCommand, Data: data}) // no state: Apply panics
	if err != nil || next != nil || out.Code == 0 {
		t.Errorf("got state %v, outcome %+v, error %v; want the entry skipped", next, out, err)
	}
}

// TestUnreadableSnapshotRefused guards against a snapshot of another host that replaces the state
// and cannot be decoded, then or at the next start.
func TestUnreadableSnapshotRefused(t *testing.T) {
	h := &Host{log: log.New(io.Discard), metrics: newHostMetrics(nil)}
	h.opts.Fleet = "fleet"
	if err := h.checkSnapshot([]byte{0xff}); err == nil {
		t.Error("accepted a snapshot that cannot be decoded")
	}
	foreign := agreed.New()
	foreign.Fleet = "another"
	for name, c := range map[string]struct {
		state *agreed.State
		ok    bool
	}{"own": {agreed.New(), true}, "foreign": {foreign, false}} {
		data, err := c.state.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if err := h.checkSnapshot(data); (err == nil) != c.ok {
			t.Errorf("%s: got %v", name, err)
		}
	}
}
