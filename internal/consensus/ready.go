package consensus

import "slices"

// HasReady reports whether Ready would return any work.
func (n *Node) HasReady() bool {
	n.beginRoundIfQueued()
	return n.hardStateChanged() || n.log.snapshotUnsaved || n.log.installPending ||
		n.log.stable < n.log.last() || n.log.applied < n.log.commit ||
		len(n.msgs) > 0 || len(n.confirmed) > 0 || len(n.failedConfirms) > 0 ||
		len(n.joinRequests) > 0 || n.rejoin
}

// Ready returns the pending work. It returns the same work again until Advance is
// called.
func (n *Node) Ready() Ready {
	n.beginRoundIfQueued()
	rd := Ready{
		Durable:        n.durable(),
		Messages:       n.msgs,
		Committed:      n.log.slice(n.log.applied+1, n.log.commit),
		Confirmed:      n.confirmed,
		FailedConfirms: n.failedConfirms,
		JoinRequests:   n.joinRequests,
		Rejoin:         n.rejoin,
	}
	if n.log.installPending {
		snap := n.log.snap
		rd.Install = &snap
	}
	return rd
}

// hardStateChanged reports a change that must be synced. A change of the commit
// index alone need not be.
func (n *Node) hardStateChanged() bool {
	current, saved := n.hard, n.savedHard
	return current.Term != saved.Term || current.Vote != saved.Vote || current.Fleet != saved.Fleet || n.peerBootUnsaved
}

func (n *Node) durable() Durable {
	var d Durable
	if n.log.snapshotUnsaved {
		snap := n.log.snap
		d.Snapshot = &snap
		d.FirstIndex = n.log.prevIndex + 1
		d.ResetLog = n.log.resetStored
	}
	d.Entries = n.log.slice(n.log.stable+1, n.log.last())
	if n.hardStateChanged() || !d.Empty() {
		hard := n.hard
		hard.Commit = n.log.commit
		hard.PeerRecords = n.memberRecords()
		d.Hard = &hard
	}
	return d
}

// Advance confirms that all work of rd is done: Durable is synced, Messages are
// sent, Committed is applied.
func (n *Node) Advance(rd Ready) {
	if rd.Hard != nil {
		n.savedHard = *rd.Hard
		n.peerBootUnsaved = false
	}
	if rd.Snapshot != nil {
		n.log.snapshotUnsaved, n.log.resetStored = false, false
	}
	if rd.Install != nil {
		n.log.installPending = false
	}
	if len(rd.Committed) > 0 {
		n.log.applied = rd.Committed[len(rd.Committed)-1].Index
	}
	n.msgs, n.confirmed, n.failedConfirms, n.joinRequests = nil, nil, nil, nil
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
		s.Followers = n.leaderState.status(n.disk)
	}
	return s
}
