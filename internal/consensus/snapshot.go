package consensus

import (
	"slices"

	"github.com/pkg/errors"
)

// transfer is a snapshot on its way to a follower, one chunk at a time.
type transfer struct {
	snap   Snapshot
	offset uint64
}

// assembly is a snapshot that arrives from the leader.
type assembly struct {
	index uint64
	term  uint64
	data  []byte
}

// Compact replaces the entries up to an applied index by the application state
// at that index. Ready.Snapshot then asks to save it.
func (n *Node) Compact(index uint64, data []byte) error {
	if index > n.log.applied {
		return errors.Errorf("consensus: entry %d is not applied", index)
	}
	if index <= n.log.snap.Index {
		return nil
	}
	term, _ := n.log.term(index)
	n.log.compact(Snapshot{
		Index: index, Term: term, Members: n.log.membersAt(index), Data: data,
	}, n.cfg.TrailingEntries)
	return nil
}

func (n *Node) startTransfer(p *progress) {
	p.snapshot = &transfer{snap: n.log.snap}
	p.waiting, p.inflight = false, nil
	n.sendChunk(p)
}

func (n *Node) sendChunk(p *progress) {
	t := p.snapshot
	total := uint64(len(t.snap.Data))
	end := min(total, t.offset+uint64(n.cfg.ChunkBytes))
	n.send(p.member, Message{
		Kind: KindSnapshot, Index: t.snap.Index, LogTerm: t.snap.Term, Members: t.snap.Members,
		Offset: t.offset, Total: total, Chunk: t.snap.Data[t.offset:end],
	})
}

// resendChunk repeats the chunk that may have been lost, or starts over when a
// newer snapshot was taken meanwhile.
func (n *Node) resendChunk(p *progress) {
	if p.snapshot.snap.Index != n.log.snap.Index {
		n.startTransfer(p)
		return
	}
	n.sendChunk(p)
}

func (n *Node) handleSnapshotAnswer(p *progress, m *Message) {
	t := p.snapshot
	if t == nil || m.Index != t.snap.Index || m.Offset == t.offset || m.Offset > uint64(len(t.snap.Data)) {
		return
	}
	t.offset = m.Offset
	n.sendChunk(p)
}

// snapshotDone ends the transfer once the follower's log reaches the snapshot.
func (p *progress) snapshotDone(match uint64) {
	if p.snapshot != nil && match >= p.snapshot.snap.Index {
		p.snapshot = nil
	}
}

func (n *Node) handleSnapshot(m *Message) {
	if m.Index <= n.log.commit {
		n.answerAppend(m, n.log.commit)
		return
	}
	if term, known := n.log.term(m.Index); known && term == m.LogTerm {
		n.log.commitTo(m.Index)
		n.answerAppend(m, m.Index)
		return
	}
	a := n.incoming
	if a == nil || a.index != m.Index || a.term != m.LogTerm {
		a = &assembly{index: m.Index, term: m.LogTerm}
		n.incoming = a
	}
	if m.Offset == uint64(len(a.data)) {
		a.data = append(a.data, m.Chunk...)
	}
	if uint64(len(a.data)) < m.Total {
		n.answer(m, Message{Kind: KindSnapshotResponse, Index: m.Index, Offset: uint64(len(a.data)), Last: n.log.last()})
		return
	}
	n.incoming = nil
	n.log.restore(Snapshot{Index: m.Index, Term: m.LogTerm, Members: slices.Clone(m.Members), Data: a.data})
	n.members = n.log.members()
	n.answerAppend(m, m.Index)
}
