package consensus

// sendAppend sends the follower the entries that it lacks, within MaxInflight.
// With always set, it sends an append even without entries. It sends nothing
// while a snapshot is in transfer, or while a probing append is unacknowledged.
func (n *Node) sendAppend(p *progress, always bool) {
	if p.snapshot != nil || p.probing && p.appendPending {
		return
	}
	for first := true; first || p.next <= n.log.last(); first = false {
		if len(p.inflight) >= n.cfg.MaxInflight {
			return
		}
		prevTerm, known := n.log.term(p.next - 1)
		if !known {
			n.startSnapshotTransfer(p)
			return
		}
		entries := n.log.sliceLimited(p.next, n.cfg.MaxAppendBytes)
		if len(entries) == 0 && !always && !p.probing {
			return
		}
		n.send(p.member, Message{
			Kind: KindAppend, Index: p.next - 1, LogTerm: prevTerm,
			Entries: entries, Commit: n.log.commit,
		})
		if p.probing {
			p.appendPending = true
			return
		}
		if len(entries) > 0 {
			p.next += uint64(len(entries))
			p.inflight = append(p.inflight, p.next-1)
		}
	}
}

func (n *Node) handleAppend(m *Message) {
	if m.Index < n.log.commit {
		if m.Index+uint64(len(m.Entries)) <= n.log.commit {
			n.respondAppend(m, n.log.commit)
			return
		}
		skip := n.log.commit - m.Index
		m.Entries = m.Entries[skip:]
		m.Index = n.log.commit
		m.LogTerm, _ = n.log.term(n.log.commit)
	}
	term, known := n.log.term(m.Index)
	if !known || term != m.LogTerm {
		n.respond(m, Message{
			Kind: KindAppendResponse, Reject: true, Index: m.Index,
			Hint: n.matchHint(m.Index), Last: n.log.last(),
		})
		return
	}
	if !n.log.merge(m.Entries) {
		return
	}
	n.members = n.log.members()
	last := m.Index + uint64(len(m.Entries))
	n.log.commitTo(min(m.Commit, last))
	n.respondAppend(m, last)
}

func (n *Node) respondAppend(m *Message, match uint64) {
	n.respond(m, Message{Kind: KindAppendResponse, Index: match, Last: n.log.last()})
}

// matchHint returns the last index before prev at which this log may match that
// of the leader. It skips all entries of the conflicting entry's term.
func (n *Node) matchHint(prev uint64) uint64 {
	if prev > n.log.last() {
		return n.log.last()
	}
	conflict, known := n.log.term(prev)
	hint := prev - 1
	for known && hint > n.log.commit {
		term, ok := n.log.term(hint)
		if !ok || term != conflict {
			break
		}
		hint--
	}
	return max(hint, n.log.commit)
}

// handleHeartbeat responds to a heartbeat. The leader sends a commit index that
// this node has acknowledged in this term, so a shorter log has lost synced
// entries and the node must rejoin.
func (n *Node) handleHeartbeat(m *Message) {
	if m.Commit > n.log.last() {
		n.requireRejoin()
		return
	}
	n.log.commitTo(m.Commit)
	n.respond(m, Message{Kind: KindHeartbeatResponse, Round: m.Round, Last: n.log.last()})
}

// handleFollowerResponse handles the responses to a leader's messages.
func (n *Node) handleFollowerResponse(m *Message) {
	p := n.leaderState.progress[m.FromDisk]
	if p == nil {
		n.sendRejoinIfRemoved(m)
		return
	}
	if n.followerRegressed(p, m) {
		return
	}
	p.active, p.responded, p.lastResponse = true, true, n.ticks
	switch m.Kind {
	case KindAppendResponse:
		n.handleAppendResponse(p, m)
	case KindHeartbeatResponse:
		n.handleHeartbeatResponse(p, m)
	case KindSnapshotResponse:
		n.handleSnapshotResponse(p, m)
	}
}

// A follower cannot match beyond the leader's log; such a response is ignored.
func (n *Node) handleAppendResponse(p *progress, m *Message) {
	if m.Reject {
		n.handleAppendReject(p, m)
		return
	}
	if m.Index > n.log.last() {
		return
	}
	p.finishSnapshot(m.Index)
	if m.Index < p.match {
		return
	}
	p.recordMatch(m.Index)
	n.advanceCommit()
	if n.role != Leader {
		return
	}
	n.sendAppend(p, false)
	n.continueTransfer(p)
}

// recordMatch records that the follower's log matches up to index.
func (p *progress) recordMatch(index uint64) {
	p.match = index
	p.next = max(p.next, index+1)
	p.probing, p.appendPending = false, false
	free := 0
	for free < len(p.inflight) && p.inflight[free] <= index {
		free++
	}
	p.inflight = p.inflight[free:]
}

// handleAppendReject moves next back to where the logs may match. It ignores an
// outdated rejection: one of an index that has matched since, one of an append
// before the present probe, or one that arrives during a snapshot transfer.
func (n *Node) handleAppendReject(p *progress, m *Message) {
	if m.Index <= p.match && p.match > 0 || m.Index > n.log.last() || p.snapshot != nil {
		return
	}
	if p.probing && m.Index != p.next-1 {
		return
	}
	p.next = max(p.match, min(m.Hint, max(m.Index, 1)-1)) + 1
	p.probing, p.appendPending, p.inflight = true, false, nil
	n.sendAppend(p, false)
}

// handleHeartbeatResponse repairs the loss of messages. It repeats the snapshot chunk
// or the probe, or sends an append that the follower rejects when an earlier one was
// lost. When MaxInflight is reached it also discards the oldest append in flight,
// whose acknowledgement may be lost.
func (n *Node) handleHeartbeatResponse(p *progress, m *Message) {
	p.ackedRound = max(p.ackedRound, m.Round)
	n.completeConfirms()
	p.appendPending = false
	if len(p.inflight) >= n.cfg.MaxInflight {
		p.inflight = p.inflight[1:]
	}
	if p.snapshot != nil {
		n.resendSnapshotChunk(p)
		return
	}
	if p.match < n.log.last() {
		n.sendAppend(p, true)
	}
}
