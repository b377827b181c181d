package consensus

import (
	"slices"

	"github.com/pkg/errors"
)

// snapshotTransfer is the transfer of a snapshot to a follower, one chunk at a
// time. offset is the position of the next chunk in the data, in bytes.
type snapshotTransfer struct {
	snap   Snapshot
	offset uint64
}

// incomingSnapshot is a partly received snapshot from the leader.
type incomingSnapshot struct {
	index uint64
	term  uint64
	data  []byte
}

// Compact replaces the entries up to an applied index, except for the last
// Config.TrailingEntries of them and Config.TrailingBytes, by the application state at that index. The next
// Ready contains the snapshot to save.
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
	}, n.cfg.TrailingEntries, n.cfg.TrailingBytes)
	return nil
}

func (n *Node) startSnapshotTransfer(p *progress) {
	p.snapshot = &snapshotTransfer{snap: n.log.snap}
	p.appendPending, p.inflight = false, nil
	n.sendSnapshotChunk(p)
}

func (n *Node) sendSnapshotChunk(p *progress) {
	t := p.snapshot
	total := uint64(len(t.snap.Data))
	end := min(total, t.offset+uint64(n.cfg.ChunkBytes))
	n.send(p.member, Message{
		Kind: KindSnapshot, Index: t.snap.Index, LogTerm: t.snap.Term, Members: t.snap.Members,
		Offset: t.offset, Total: total, Chunk: t.snap.Data[t.offset:end],
	})
}

// resendSnapshotChunk repeats a chunk that may have been lost, or starts over when
// a newer snapshot was taken in the meantime.
func (n *Node) resendSnapshotChunk(p *progress) {
	if p.snapshot.snap.Index != n.log.snap.Index {
		n.startSnapshotTransfer(p)
		return
	}
	n.sendSnapshotChunk(p)
}

func (n *Node) handleSnapshotResponse(p *progress, m *Message) {
	t := p.snapshot
	if t == nil || m.Index != t.snap.Index || m.Offset == t.offset || m.Offset > uint64(len(t.snap.Data)) {
		return
	}
	t.offset = m.Offset
	n.sendSnapshotChunk(p)
}

// finishSnapshot ends the transfer once the follower's log reaches the snapshot.
func (p *progress) finishSnapshot(match uint64) {
	if p.snapshot != nil && match >= p.snapshot.snap.Index {
		p.snapshot = nil
	}
}

func (n *Node) handleSnapshot(m *Message) {
	if m.Index <= n.log.commit {
		n.respondAppend(m, n.log.commit)
		return
	}
	if term, known := n.log.term(m.Index); known && term == m.LogTerm {
		n.log.commitTo(m.Index)
		n.respondAppend(m, m.Index)
		return
	}
	a := n.incoming
	if a == nil || a.index != m.Index || a.term != m.LogTerm {
		a = &incomingSnapshot{index: m.Index, term: m.LogTerm}
		n.incoming = a
	}
	if m.Offset == uint64(len(a.data)) {
		a.data = append(a.data, m.Chunk...)
	}
	if uint64(len(a.data)) < m.Total {
		n.respond(m, Message{Kind: KindSnapshotResponse, Index: m.Index, Offset: uint64(len(a.data)), Last: n.log.last()})
		return
	}
	n.incoming = nil
	if check := n.cfg.CheckSnapshot; check != nil && check(a.data) != nil {
		return // the leader sends it again
	}
	n.log.restore(Snapshot{Index: m.Index, Term: m.LogTerm, Members: slices.Clone(m.Members), Data: a.data})
	n.members = n.log.members()
	n.respondAppend(m, m.Index)
}
