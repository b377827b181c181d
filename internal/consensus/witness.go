package consensus

// witness checks a message against what the node remembers of its sender. It
// returns false, and tells the sender to rejoin, when the sender's data folder
// is older than one that it sent from before.
func (n *Node) witness(m *Message) bool {
	was := n.seen[m.FromDisk]
	term, known := m.senderTerm()
	if m.Boots < was.Boots || m.Boots > was.Boots && known && term < was.Term {
		n.tellRejoin(m)
		return false
	}
	now := PeerRecord{Disk: m.FromDisk, Boots: m.Boots, Term: was.Term}
	if known {
		now.Term = max(was.Term, term)
	}
	n.seen[m.FromDisk] = now
	n.seenBoot = n.seenBoot || now.Boots != was.Boots
	return true
}

// seenPeers returns the memory of the members' data folders.
func (n *Node) seenPeers() []PeerRecord {
	var all []PeerRecord
	for _, m := range n.members {
		if s, ok := n.seen[m.Disk]; ok {
			all = append(all, s)
		}
	}
	return all
}

// senderTerm returns the sender's own term, if the message tells it.
func (m *Message) senderTerm() (uint64, bool) {
	switch {
	case m.Kind == KindPreVote:
		return m.Term - 1, true
	case m.Kind == KindPreVoteResponse && !m.Reject:
		return 0, false
	}
	return m.Term, true
}

// regressed reports whether a restarted follower lacks entries that it had
// acknowledged to this leader, and tells it to rejoin.
func (n *Node) regressed(p *progress, m *Message) bool {
	if m.Boots <= p.boots {
		return false
	}
	if m.Last < p.match {
		n.tellRejoin(m)
		return true
	}
	p.boots = m.Boots
	p.next = p.match + 1
	p.probing, p.waiting, p.inflight, p.snapshot = true, false, nil, nil
	return false
}

// dismissStranger tells a node that was removed from the group to rejoin. A
// sender with a newer term may know a newer membership and is left alone.
func (n *Node) dismissStranger(m *Message) {
	_, member := n.member(m.FromDisk)
	term, known := m.senderTerm()
	if member || !known || term > n.hard.Term || n.log.commit < n.lead.firstOwn || !n.changeCommitted() {
		return
	}
	n.tellRejoin(m)
}

func (n *Node) tellRejoin(m *Message) {
	n.answer(m, Message{Kind: KindRejoin, Boots: m.Boots})
}

// handleRejoin obeys only when the message speaks of the present start: an
// answer to an earlier process with the same data folder is of no concern.
func (n *Node) handleRejoin(m *Message) {
	if m.Boots == n.boots {
		n.abandon()
	}
}

// abandon makes the node inert until its driver starts it anew with an empty
// data folder.
func (n *Node) abandon() {
	n.becomeFollower(n.hard.Term, Member{})
	n.rejoin = true
}
