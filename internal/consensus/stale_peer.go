package consensus

// checkSender compares a message with the record of its sender, and updates the
// record. It returns false, and requests that the sender rejoin, when the
// sender's data folder is older than one that it used before.
func (n *Node) checkSender(m *Message) bool {
	previous := n.peerRecords[m.FromDisk]
	term, known := m.senderTerm()
	if m.Boots < previous.Boots || m.Boots > previous.Boots && known && term < previous.Term {
		n.sendRejoin(m)
		return false
	}
	updated := PeerRecord{Disk: m.FromDisk, Boots: m.Boots, Term: previous.Term}
	if known {
		updated.Term = max(previous.Term, term)
	}
	n.peerRecords[m.FromDisk] = updated
	n.peerBootUnsaved = n.peerBootUnsaved || updated.Boots != previous.Boots
	return true
}

// memberRecords returns the records of the members' data folders.
func (n *Node) memberRecords() []PeerRecord {
	var all []PeerRecord
	for _, m := range n.members {
		if s, ok := n.peerRecords[m.Disk]; ok {
			all = append(all, s)
		}
	}
	return all
}

// senderTerm returns the sender's own term, and false when the message does not
// carry it.
func (m *Message) senderTerm() (uint64, bool) {
	switch {
	case m.Kind == KindPreVote:
		return m.Term - 1, true
	case m.Kind == KindPreVoteResponse && !m.Reject:
		return 0, false
	}
	return m.Term, true
}

// followerRegressed reports whether a restarted follower lacks entries that it
// had acknowledged to this leader, and requests that it rejoin.
func (n *Node) followerRegressed(p *progress, m *Message) bool {
	if m.Boots <= p.boots {
		return false
	}
	if m.Last < p.match {
		n.sendRejoin(m)
		return true
	}
	p.boots = m.Boots
	p.next = p.match + 1
	p.probing, p.appendPending, p.inflight, p.snapshot = true, false, nil, nil
	return false
}

// sendRejoinIfRemoved requests a node that was removed from the group to rejoin. A
// sender with a newer term may have a newer membership and is ignored.
func (n *Node) sendRejoinIfRemoved(m *Message) {
	_, member := n.member(m.FromDisk)
	term, known := m.senderTerm()
	if member || !known || term > n.hard.Term || n.log.commit < n.leaderState.termStartIndex || !n.changeCommitted() {
		return
	}
	n.sendRejoin(m)
}

func (n *Node) sendRejoin(m *Message) {
	n.respond(m, Message{Kind: KindRejoin, Boots: m.Boots})
}

// handleRejoin handles a request to rejoin. It ignores one that was sent to an
// earlier process with the same data folder, as its start count shows.
func (n *Node) handleRejoin(m *Message) {
	if m.Boots == n.boots {
		n.bootstrap.leader = m.From // a member, which the log may not list
		n.requireRejoin()
	}
}

// requireRejoin stops the node until its driver starts a new one with an empty
// data folder.
func (n *Node) requireRejoin() {
	n.becomeFollower(n.hard.Term, Member{})
	n.rejoin = true
}
