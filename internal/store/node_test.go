package store

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"

	"github.com/galenabridge/galenabridge/internal/consensus"
)

// counter is a state machine that sums the commands applied to it.
type counter struct {
	sum   uint64
	index uint64
}

func (c *counter) restore(snap consensus.Snapshot) {
	c.index, c.sum = snap.Index, 0
	if len(snap.Data) > 0 {
		c.sum = binary.BigEndian.Uint64(snap.Data)
	}
}

func startNode(t *testing.T, s *Store) (*consensus.Node, *counter) {
	t.Helper()
	st := mustLoad(t, s)
	node, err := consensus.New(consensus.Config{
		Host: "a", InitialVoters: []string{"a"}, Rand: rand.New(rand.NewPCG(1, 1)), TrailingEntries: 8,
	}, st)
	if err != nil {
		t.Fatal(err)
	}
	c := &counter{}
	c.restore(st.Snapshot)
	return node, c
}

// processReady saves and applies the node's pending work.
func processReady(t *testing.T, s *Store, node *consensus.Node, c *counter) {
	t.Helper()
	for node.HasReady() {
		rd := node.Ready()
		mustSave(t, s, rd.Durable)
		if rd.Install != nil {
			c.restore(*rd.Install)
		}
		for _, e := range rd.Committed {
			c.index = e.Index
			if e.Kind == consensus.EntryCommand {
				c.sum += binary.BigEndian.Uint64(e.Data)
			}
		}
		node.Advance(rd)
	}
}

// tickUntilLeader ticks the node until it is the leader.
func tickUntilLeader(t *testing.T, s *Store, node *consensus.Node, c *counter) {
	t.Helper()
	for node.Status().Role != consensus.Leader {
		node.Tick()
		processReady(t, s, node, c)
	}
}

// A node restarts from its folder after 1,000 commands and several snapshots. It
// must reach the state from before the restart, and compaction must have removed
// the older entries.
func TestNodeRestartRestoresState(t *testing.T) {
	const commands, snapshotEvery = 1000, 150
	dir := t.TempDir()
	s := mustOpen(t, dir)
	node, c := startNode(t, s)
	tickUntilLeader(t, s, node, c)
	for i := uint64(1); i <= commands; i++ {
		if _, err := node.Propose(binary.BigEndian.AppendUint64(nil, i)); err != nil {
			t.Fatal(err)
		}
		processReady(t, s, node, c)
		if i%snapshotEvery != 0 {
			continue
		}
		if err := node.Compact(c.index, binary.BigEndian.AppendUint64(nil, c.sum)); err != nil {
			t.Fatal(err)
		}
		processReady(t, s, node, c)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = mustOpen(t, dir)
	node, c = startNode(t, s)
	tickUntilLeader(t, s, node, c)
	if want := uint64(commands * (commands + 1) / 2); c.sum != want {
		t.Fatalf("sum %d after the restart, want %d", c.sum, want)
	}
	if n := len(mustLoad(t, s).Entries); n > snapshotEvery+20 {
		t.Fatalf("%d entries kept after compaction, want at most 170", n)
	}
}
