package consensus

// sendAppend sends the follower what it lacks, as far as flow control allows.
// With always set, an append without entries is sent as well.
func (n *Node) sendAppend(p *progress, always bool) {
	if p.snapshot != nil || p.probing && p.waiting {
		return
	}
	for first := true; first || p.next <= n.log.last(); first = false {
		if len(p.inflight) >= n.cfg.MaxInflight {
			return
		}
		prevTerm, known := n.log.term(p.next - 1)
		if !known {
			n.startTransfer(p)
			return
		}
		entries := n.log.limited(p.next, n.cfg.MaxAppendBytes)
		if len(entries) == 0 && !always && !p.probing {
			return
		}
		n.send(p.member, Message{
			Kind: KindAppend, Index: p.next - 1, LogTerm: prevTerm,
			Entries: entries, Commit: n.log.commit,
		})
		if p.probing {
			p.waiting = true
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
			n.answerAppend(m, n.log.commit)
			return
		}
		skip := n.log.commit - m.Index
		m.Entries = m.Entries[skip:]
		m.Index = n.log.commit
		m.LogTerm, _ = n.log.term(n.log.commit)
	}
	term, known := n.log.term(m.Index)
	if !known || term != m.LogTerm {
		n.answer(m, Message{
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
	n.answerAppend(m, last)
}

func (n *Node) answerAppend(m *Message, match uint64) {
	n.answer(m, Message{Kind: KindAppendResponse, Index: match, Last: n.log.last()})
}

// matchHint returns the last index before prev at which this log may match
// that of the leader: it skips the whole term of a conflicting entry.
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

// handleHeartbeat answers a heartbeat. Its commit index never passes what this
// node has acknowledged in this term, so a shorter log has lost synced entries.
func (n *Node) handleHeartbeat(m *Message) {
	if m.Commit > n.log.last() {
		n.abandon()
		return
	}
	n.log.commitTo(m.Commit)
	n.answer(m, Message{Kind: KindHeartbeatResponse, Round: m.Round, Last: n.log.last()})
}

// handleFollowerAnswer handles the answers to a leader's messages.
func (n *Node) handleFollowerAnswer(m *Message) {
	p := n.lead.progress[m.FromDisk]
	if p == nil {
		n.dismissStranger(m)
		return
	}
	if n.regressed(p, m) {
		return
	}
	p.active, p.heard, p.answered = true, true, n.ticks
	switch m.Kind {
	case KindAppendResponse:
		n.handleAppendAnswer(p, m)
	case KindHeartbeatResponse:
		n.handleHeartbeatAnswer(p, m)
	case KindSnapshotResponse:
		n.handleSnapshotAnswer(p, m)
	}
}

func (n *Node) handleAppendAnswer(p *progress, m *Message) {
	if m.Reject {
		n.handleReject(p, m)
		return
	}
	p.snapshotDone(m.Index)
	if m.Index < p.match {
		return
	}
	p.acked(m.Index)
	n.advanceCommit()
	if n.role != Leader {
		return
	}
	n.sendAppend(p, false)
	n.tryTransfer(p)
}

// acked notes that the follower's log matches up to index.
func (p *progress) acked(index uint64) {
	p.match = index
	p.next = max(p.next, index+1)
	p.probing, p.waiting = false, false
	free := 0
	for free < len(p.inflight) && p.inflight[free] <= index {
		free++
	}
	p.inflight = p.inflight[free:]
}

// handleReject steps back to where the logs may match. A reordered rejection
// of an index that is known to match is ignored.
func (n *Node) handleReject(p *progress, m *Message) {
	if m.Index <= p.match && p.match > 0 || p.snapshot != nil {
		return
	}
	if p.probing && m.Index != p.next-1 {
		return
	}
	p.next = max(p.match, min(m.Hint, m.Index-1)) + 1
	p.probing, p.waiting, p.inflight = true, false, nil
	n.sendAppend(p, false)
}

func (n *Node) handleHeartbeatAnswer(p *progress, m *Message) {
	p.round = max(p.round, m.Round)
	n.answerConfirms()
	p.waiting = false
	if len(p.inflight) >= n.cfg.MaxInflight {
		p.inflight = p.inflight[1:]
	}
	if p.snapshot != nil {
		n.resendChunk(p)
		return
	}
	if p.match < n.log.last() {
		n.sendAppend(p, true)
	}
}
