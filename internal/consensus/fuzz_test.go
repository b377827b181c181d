package consensus

import (
	"math/rand/v2"
	"testing"

	"github.com/galenabridge/galenabridge/internal/codec"
)

// FuzzStep decodes messages of peers and handles them, as a follower and as a leader. None may
// panic.
func FuzzStep(f *testing.F) {
	enc := codec.Deterministic()
	members := []Member{{Host: "a", Disk: 1, Voter: true}, {Host: "b", Disk: 2, Voter: true}, {Host: "c", Disk: 3, Voter: true}}
	for _, m := range []Message{
		{Kind: KindAppend, Term: 3, Index: 7, LogTerm: 2, Commit: 8, Entries: []Entry{{Index: 8, Term: 3, Kind: EntryCommand, Data: []byte("x")}}},
		{Kind: KindAppend, Term: 3, Index: 7, LogTerm: 2, Entries: []Entry{{Index: 12, Term: 3}, {Index: 3, Term: 9}}},
		{Kind: KindAppend, Term: 3, Index: 8, LogTerm: 2, Commit: 1 << 62},
		{Kind: KindHeartbeat, Term: 4, Commit: 1 << 62, Round: 1}, {Kind: KindVote, Term: 5, Index: 9, LogTerm: 3}, {Kind: KindPreVote, Term: 9},
		{Kind: KindSnapshot, Term: 4, Index: 20, LogTerm: 4, Total: 1, Chunk: []byte("s"), Members: members},
		{Kind: KindSnapshot, Term: 4, Index: 20, LogTerm: 4, Offset: 1 << 63, Total: 1 << 63, Chunk: []byte("s")},
		{Kind: KindAppendResponse, Term: 3, Index: 1 << 62}, {Kind: KindJoinRequest}, {Kind: KindRejoin, Boots: 9}, {Kind: KindTimeoutNow, Term: 3},
	} {
		m.From, m.FromDisk, m.To, m.ToDisk, m.Fleet = "b", 2, "a", 1, 7
		data, err := enc.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, data)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		for _, leads := range []bool{false, true} {
			stepAll(t, leads, members, first, second)
		}
	})
}

// stepAll handles encoded messages at a follower or a leader with entries 6 to 8 in its log.
func stepAll(t *testing.T, leads bool, members []Member, messages ...[]byte) {
	t.Helper()
	dec := codec.Strict(1 << 10)
	n, err := New(Config{Host: "a", Peers: []string{"b", "c"}, Rand: rand.New(rand.NewPCG(1, 2))}, Stored{
		Disk: 1, Boots: 1, Hard: HardState{Term: 3, Fleet: 7}, Snapshot: Snapshot{Index: 5, Term: 2, Members: members},
		Entries: []Entry{{Index: 6, Term: 2, Kind: EntryCommand}, {Index: 7, Term: 2, Kind: EntryCommand}, {Index: 8, Term: 3, Kind: EntryCommand}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for n.role != Leader && leads {
		n.Tick()
		for _, kind := range []MessageKind{KindPreVoteResponse, KindVoteResponse} {
			term := n.hard.Term
			if kind == KindPreVoteResponse {
				term++
			}
			_ = n.Step(Message{Kind: kind, From: "b", FromDisk: 2, To: "a", ToDisk: 1, Fleet: 7, Term: term})
		}
	}
	for _, data := range messages {
		var m Message
		if dec.Unmarshal(data, &m) != nil {
			continue
		}
		_ = n.Step(m)
		for n.HasReady() {
			rd := n.Ready()
			if rd.Rejoin {
				return
			}
			n.Advance(rd)
		}
		n.Tick()
	}
}
