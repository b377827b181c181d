package consensus

import "slices"

// HasReady reports whether Ready would return any work.
func (n *Node) HasReady() bool {
	n.startRound()
	return n.hardChanged() || n.log.saveSnap || n.log.install ||
		n.log.stable < n.log.last() || n.log.applied < n.log.commit ||
		len(n.msgs) > 0 || len(n.confirmed) > 0 || len(n.dropped) > 0 ||
		len(n.joining) > 0 || n.rejoin
}

// Ready returns the pending work. The same work is returned again until
// Advance is called.
func (n *Node) Ready() Ready {
	n.startRound()
	rd := Ready{
		Durable:      n.durable(),
		Messages:     n.msgs,
		Committed:    n.log.slice(n.log.applied+1, n.log.commit),
		Confirmed:    n.confirmed,
		Dropped:      n.dropped,
		JoinRequests: n.joining,
		Rejoin:       n.rejoin,
	}
	if n.log.install {
		snap := n.log.snap
		rd.Install = &snap
	}
	return rd
}

// hardChanged reports a change that must be synced. Commit alone need not be.
func (n *Node) hardChanged() bool {
	now, was := n.hard, n.saved
	return now.Term != was.Term || now.Vote != was.Vote || now.Fleet != was.Fleet || n.seenBoot
}

func (n *Node) durable() Durable {
	var d Durable
	if n.log.saveSnap {
		snap := n.log.snap
		d.Snapshot = &snap
		d.First = n.log.prevIndex + 1
		d.Reset = n.log.resetLog
	}
	d.Entries = n.log.slice(n.log.stable+1, n.log.last())
	if n.hardChanged() || !d.Empty() {
		hard := n.hard
		hard.Commit = n.log.commit
		hard.PeerRecords = n.seenPeers()
		d.Hard = &hard
	}
	return d
}

// Advance tells the node that all work of rd is done: Durable is synced,
// Messages are sent, Committed is applied.
func (n *Node) Advance(rd Ready) {
	if rd.Hard != nil {
		n.saved = *rd.Hard
		n.seenBoot = false
	}
	if rd.Snapshot != nil {
		n.log.saveSnap, n.log.resetLog = false, false
	}
	if rd.Install != nil {
		n.log.install = false
	}
	if len(rd.Committed) > 0 {
		n.log.applied = rd.Committed[len(rd.Committed)-1].Index
	}
	n.msgs, n.confirmed, n.dropped, n.joining = nil, nil, nil, nil
	if len(rd.Entries) > 0 {
		n.log.stable = rd.Entries[len(rd.Entries)-1].Index
		if n.role == Leader {
			n.advanceCommit()
		}
	}
}

// Status describes the node.
func (n *Node) Status() Status {
	s := Status{
		Host: n.cfg.Host, Disk: n.disk, Fleet: n.hard.Fleet, Role: n.role,
		Term: n.hard.Term, Leader: n.leader.Host,
		First: n.log.prevIndex + 1, Last: n.log.last(),
		Commit: n.log.commit, Applied: n.log.applied, Snapshot: n.log.snap.Index,
		Members: slices.Clone(n.log.membersAt(n.log.commit)), Voter: n.isVoter(), Rejoin: n.rejoin,
	}
	if n.role == Leader {
		s.Followers = n.lead.status(n.disk)
	}
	return s
}
