package agreed

import (
	"bytes"
	"errors"
	"testing"

	"github.com/galenabridge/galenabridge/internal/note"
)

// fuzzState returns a state with a service and a member, on which most commands have an effect.
func fuzzState() *State {
	s := New()
	s.Catalog.Services["s"] = note.Service{Name: "s", Endpoints: note.UnlimitedEndpoints}
	s.Groups["s"] = Group{Service: "s", Members: []string{"e"}, Primary: "e", Phase: PhaseActive, Term: 1}
	s.Endpoints["e"] = Endpoint{ID: "e", Service: "s", Addr: "10.0.0.1:1", Domain: "d"}
	s.Hosts["h"] = Host{ID: "h", PeerAddr: "10.0.0.2:1", Domain: "d", Incarnation: 1}
	s.Usage = Usage{Holder: "h", Incarnation: 1, Fence: 8, Decided: 4, Pending: []UsageWindow{{Window: 4}}}
	return s
}

// FuzzLogEntry decodes entries of the log. An error is of one of the two kinds. What is decoded is
// applied to the same state by two hosts, which can be encoded and decoded.
func FuzzLogEntry(f *testing.F) {
	for _, c := range []Command{
		{PutEndpoint: &PutEndpoint{Endpoint: Endpoint{ID: "i", Service: "s", Addr: "10.0.0.1:2", Domain: "d"}}},
		{PutEndpoint: &PutEndpoint{Endpoint: Endpoint{ID: "i-\xff", Service: "s", Addr: "10.0.0.1:2"}}},
		{SetDomain: &SetDomain{Domain: note.Domain{Name: "d", Out: true}}}, {RetireEndpoint: &RetireEndpoint{ID: "e"}},
		{SealGroup: &SealGroup{Service: "s", Term: 1, Reason: "r"}}, {RemoveHost: &RemoveHost{ID: "h", Incarnation: 1}},
		{MarkAbsent: &MarkAbsent{Processes: map[string]uint64{"h": 1}}}, {RegisterHost: &RegisterHost{Host: Host{ID: "h", Incarnation: 2}}},
		claim("h", 1, 0, 4), decide(8, 5, 4, 1),
	} {
		data, err := c.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xa1, 0x04})
	f.Add([]byte{0x01, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := DecodeCommand(data)
		if err != nil {
			if !errors.Is(err, ErrUnreadable) && !errors.Is(err, ErrNewerVersion) {
				t.Fatalf("error of neither kind: %v", err)
			}
			return
		}
		var states [2][]byte
		for i := range states {
			next, _ := Apply(fuzzState(), 9, c)
			if states[i], err = next.Encode(); err != nil {
				t.Fatal(err)
			}
			if _, err := Decode(states[i]); err != nil {
				t.Fatalf("the state after the command cannot be decoded: %v", err)
			}
		}
		if !bytes.Equal(states[0], states[1]) {
			t.Fatal("two hosts reach different states")
		}
	})
}

// FuzzSnapshot decodes snapshots. What is decoded encodes to a snapshot with the same content, and
// commands can be applied to it.
func FuzzSnapshot(f *testing.F) {
	data, err := fuzzState().Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0xa2, 0x01, 0x01, 0x02, 0xa0})
	f.Add([]byte{0xa2, 0x01, 0x01, 0x02, 0xf6})
	f.Fuzz(func(t *testing.T, data []byte) {
		state, err := Decode(data)
		if err != nil {
			return
		}
		first, err := state.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := Decode(first)
		if err != nil {
			t.Fatalf("cannot be decoded again: %v", err)
		}
		second, err := again.Encode()
		if err != nil || !bytes.Equal(first, second) {
			t.Fatalf("differs after encoding: %v", err)
		}
		for _, c := range []Command{
			{PutEndpoint: &PutEndpoint{Endpoint: Endpoint{ID: "i", Service: "s", Addr: "10.0.0.1:2", Domain: "d"}}},
			{SetDomain: &SetDomain{Domain: note.Domain{Name: "d", Out: true}}}, {RetireEndpoint: &RetireEndpoint{ID: "e"}},
			{PutCatalog: &PutCatalog{Document: Document{Number: 1}}}, {RegisterHost: &RegisterHost{Host: Host{ID: "h", Incarnation: 2}}},
			{RemoveHost: &RemoveHost{ID: "h", Incarnation: 1}}, {MarkAbsent: &MarkAbsent{Processes: map[string]uint64{"h": 1}}},
			claim("h", 1, state.Usage.Fence, 4), decide(state.Usage.Fence, state.Usage.Decided+1, 4, 1),
		} {
			Apply(state, state.Revision+1, c)
		}
	})
}
