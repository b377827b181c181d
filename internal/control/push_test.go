package control

import (
	"bytes"
	"testing"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/peer"
)

// FuzzPush decodes what control hosts push to subscribers, and relays to each other. What is decoded
// and fits the state leads two hosts to the same state, which can be encoded and decoded.
func FuzzPush(f *testing.F) {
	from := agreed.New()
	to, _ := agreed.Apply(from, 1, agreed.Command{SetDomain: &agreed.SetDomain{Domain: note.Domain{Name: "d", Out: true}}})
	delta, err := newDeltaPush(agreed.Diff(from, to))
	if err != nil {
		f.Fatal(err)
	}
	snapshot, err := newSnapshotPush(to)
	if err != nil {
		f.Fatal(err)
	}
	for _, push := range []any{delta, snapshot, settledPush{Settled: 7}, proposal{Command: []byte{0xa1, 0x04}}} {
		data, err := peer.Marshal(push)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var d deltaPush
		if peer.Unmarshal(data, &d) == nil {
			if delta, err := d.delta(); err == nil {
				checkPatch(t, delta)
			}
		}
		var s snapshotPush
		if peer.Unmarshal(data, &s) == nil {
			if state, err := s.state(); err == nil {
				checkEncodes(t, state)
				state.ForSubscriber()
			}
		}
	})
}

func checkPatch(t *testing.T, d agreed.Delta) {
	t.Helper()
	var states [2][]byte
	for i := range states {
		next, err := agreed.Patch(agreed.New(), d)
		if err != nil {
			return
		}
		states[i] = checkEncodes(t, next)
	}
	if !bytes.Equal(states[0], states[1]) {
		t.Fatal("two hosts reach different states")
	}
}

func checkEncodes(t *testing.T, state *agreed.State) []byte {
	t.Helper()
	data, err := state.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := agreed.Decode(data); err != nil {
		t.Fatalf("the state cannot be decoded: %v", err)
	}
	return data
}
