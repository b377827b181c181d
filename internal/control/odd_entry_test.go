package control_test

import (
	"bytes"
	"path/filepath"
	"testing"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/consensus"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/store"
)

// oddCommand is a command as builds before the check of names have put it into their logs.
func oddCommand(t *testing.T) []byte {
	t.Helper()
	c := agreed.Command{PutEndpoint: &agreed.PutEndpoint{Endpoint: agreed.Endpoint{
		ID: "i-\x00\xff", Service: "logs", Addr: "10.0.0.1:5432", Domain: "osan",
	}}}
	data, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// appendEntries appends commands to the log in the data folder of a host that is stopped.
func (f *fleet) appendEntries(host string, term uint64, commands ...[]byte) {
	f.t.Helper()
	st, err := store.Open(filepath.Join(f.dir, host), store.Options{})
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = st.Close() }()
	stored, err := st.Load()
	if err != nil {
		f.t.Fatal(err)
	}
	last := stored.Snapshot.Index
	if n := len(stored.Entries); n > 0 {
		last = stored.Entries[n-1].Index
	}
	hard := stored.Hard
	hard.Term, hard.Vote = term, 0
	d := consensus.Durable{Hard: &hard}
	for i, data := range commands {
		d.Entries = append(d.Entries, consensus.Entry{Index: last + uint64(i) + 1, Term: term, Kind: consensus.EntryCommand, Data: data})
	}
	if err := st.Save(d); err != nil {
		f.t.Fatal(err)
	}
}

// TestUnreadableEntryIsSkipped guards against a control plane that an entry in its log stops for
// good: two of three hosts have it at their start, the third gets it from a peer. All skip it, and
// go on in the same state.
func TestUnreadableEntryIsSkipped(t *testing.T) {
	f := newFleet(t, 3)
	f.waitValid("c0", "c1", "c2")
	f.propose("c0", testNote(1, "before"), 0)
	f.waitNote(1, "c0", "c1", "c2")
	for _, name := range []string{"c0", "c1", "c2"} {
		f.hosts[name].stop()
	}
	const term = 100 // above any that the fleet has had
	for _, name := range []string{"c0", "c1"} {
		f.appendEntries(name, term, oddCommand(t), []byte{0x01, 0xff, 0xff}, []byte("\xa1\x04"))
	}
	for _, name := range []string{"c0", "c1", "c2"} {
		f.start(name)
	}
	f.waitValid("c0", "c1", "c2")
	f.propose("c2", testNote(2, "after"), 0)
	f.waitNote(2, "c0", "c1", "c2")
	waitFor(t, "the same state on all hosts", func() bool {
		var first []byte
		for _, name := range []string{"c0", "c1", "c2"} {
			data, err := f.hosts[name].view.Current().State.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if first == nil {
				first = data
			}
			if !bytes.Equal(first, data) {
				return false
			}
		}
		return true
	})
	for _, name := range []string{"c0", "c1", "c2"} {
		if n := f.hosts[name].metric(t, "galenabridge_control_skipped_entries_total"); n != 3 {
			t.Errorf("%s skipped %v entries, want 3", name, n)
		}
	}
}

// TestOddCommandRefused guards against a command that enters the log and cannot be read there: it is
// refused by the leader and by the others, with a code that tells the caller not to repeat it.
func TestOddCommandRefused(t *testing.T) {
	f := newFleet(t, 3)
	f.waitValid("c0", "c1", "c2")
	for _, through := range []string{"c0", "c1", "c2"} {
		for name, c := range map[string]agreed.Command{
			"domain": {SetDomain: &agreed.SetDomain{Domain: note.Domain{Name: "osan\xff", Out: true}}},
			"id":     {RetireEndpoint: &agreed.RetireEndpoint{ID: "i-\x00\xff"}},
			"port":   {PutEndpoint: &agreed.PutEndpoint{Endpoint: agreed.Endpoint{ID: "i", Service: "s", Domain: "d", Addr: "10.0.0.1:70000"}}},
			"text":   {ApplyNote: &agreed.ApplyNote{Note: note.Note{Number: 1, Title: "\xff"}}},
		} {
			if _, err := f.hosts[through].control.Propose(t.Context(), c); result.CodeOf(err) != result.MalformedMessage {
				t.Errorf("%s through %s: got %v, want MalformedMessage", name, through, err)
			}
		}
	}
	f.propose("c1", testNote(1, "after"), 0)
	f.waitNote(1, "c0", "c1", "c2")
}
