package consensus

// departure is the state of a node whose process is about to stop.
type departure struct {
	requested bool
	// left is set once a leader has confirmed that the node is no member.
	left bool
}

// Leave announces that the process is about to stop, so that a group with open membership that has
// more voters than it needs can go on without this one at once. A stopped voter is otherwise found
// silent only after replaceAfterTicks, and until then the group tolerates one failure less. The
// driver keeps the node running until MayStop, for a limited time: a leader of an earlier version
// ignores the announcement.
func (n *Node) Leave() {
	n.departure.requested = true
	n.announceDeparture()
}

// MayStop reports whether the group counts on no vote of this node, or needs all of its voters and
// keeps this one for when its process starts again.
func (n *Node) MayStop() bool {
	return n.departure.left || n.rejoin || n.changeCommitted() && (!n.isVoter() || n.voterCount() <= n.minVoters())
}

// tickDeparture repeats the announcement, which may be lost.
func (n *Node) tickDeparture() {
	if n.departure.requested && n.ticks%joinRequestInterval == 0 {
		n.announceDeparture()
	}
}

func (n *Node) announceDeparture() {
	if n.role != Leader && n.leader.Disk != 0 && !n.MayStop() {
		n.send(n.leader, Message{Kind: KindLeave})
	}
}

// handleLeave records that a member is about to stop, or confirms that it is a member no more.
func (n *Node) handleLeave(m *Message) {
	if n.role != Leader {
		return
	}
	if p := n.leaderState.progress[m.FromDisk]; p != nil {
		p.leaving, p.leavingBoots = n.ticks, m.Boots
		return
	}
	if n.log.commit >= n.leaderState.termStartIndex && n.changeCommitted() {
		n.respond(m, Message{Kind: KindLeft})
	}
}

// isLeaving reports whether the member has announced that it is about to stop and has not started
// again since.
func (n *Node) isLeaving(m Member) bool {
	if m.Disk == n.disk {
		return n.departure.requested
	}
	p := n.leaderState.progress[m.Disk]
	return p.leaving != 0 && p.boots <= p.leavingBoots
}
