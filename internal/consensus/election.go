package consensus

func (n *Node) resetElectionTimer() {
	n.electionElapsed = 0
	n.electionTimeout = n.cfg.ElectionTicks + n.cfg.Rand.IntN(n.cfg.ElectionTicks)
}

// resetInitialElectionTimer sets the timeout of a node that has just started. It
// may be short: voters with a live leader reject the pre-vote, and after a
// restart of all nodes there is no leader to wait for.
func (n *Node) resetInitialElectionTimer() {
	n.electionElapsed = 0
	n.electionTimeout = n.cfg.HeartbeatTicks + n.cfg.Rand.IntN(n.cfg.ElectionTicks)
}

// hasRecentLeader reports whether the leader sent a message within the minimum
// election timeout. Such a node grants no pre-vote and ignores vote requests of
// newer terms, except during a leadership transfer.
func (n *Node) hasRecentLeader() bool {
	return n.leader.Disk != 0 && n.electionElapsed < n.cfg.ElectionTicks
}

func (n *Node) becomeFollower(term uint64, leader Member) {
	if n.role == Leader {
		n.failedConfirms = append(n.failedConfirms, n.leaderState.pendingConfirmIDs()...)
		n.leaderState = nil
	}
	if term > n.hard.Term {
		n.hard.Term, n.hard.Vote = term, 0
	}
	n.role, n.leader, n.votes, n.transferElection = Follower, leader, nil, false
	n.resetElectionTimer()
}

// recordLeaderContact records a message from the leader of the node's own term.
func (n *Node) recordLeaderContact(m *Message) {
	from := Member{Host: m.From, Disk: m.FromDisk}
	if n.role != Follower || n.leader != from {
		n.becomeFollower(m.Term, from)
	}
	n.electionElapsed = 0
	n.leaderContact = n.ticks
}

// campaign starts a pre-vote (PreCandidate) or an election (Candidate). A
// pre-vote leaves the node's term and vote unchanged.
func (n *Node) campaign(role Role) {
	n.resetElectionTimer()
	n.role, n.leader = role, Member{}
	n.transferElection = n.transferElection && role == Candidate
	n.votes = map[uint64]bool{n.disk: true}
	kind, term := KindPreVote, n.hard.Term+1
	if role == Candidate {
		kind = KindVote
		n.hard.Term, n.hard.Vote = term, n.disk
	}
	if n.countVotes(true) >= n.quorum() {
		n.handleVoteMajority()
		return
	}
	for _, m := range n.members {
		if !m.Voter || m.Disk == n.disk {
			continue
		}
		n.send(m, Message{
			Kind: kind, Term: term, Force: n.transferElection,
			Index: n.log.last(), LogTerm: n.log.lastTerm(),
		})
	}
}

// handleVoteMajority starts the election after a won pre-vote, and takes the
// leadership after a won election.
func (n *Node) handleVoteMajority() {
	if n.role == PreCandidate {
		n.campaign(Candidate)
		return
	}
	n.becomeLeader()
}

// countVotes counts the voters that granted, or rejected, the vote.
func (n *Node) countVotes(granted bool) int {
	count := 0
	for _, m := range n.members {
		vote, answered := n.votes[m.Disk]
		if m.Voter && answered && vote == granted {
			count++
		}
	}
	return count
}

// handleVote responds to KindPreVote and KindVote. The candidate need not be a
// member by this node's log, which may lack the latest membership.
func (n *Node) handleVote(m *Message) {
	kind := KindVoteResponse
	mayGrant := n.hard.Vote == m.FromDisk || n.hard.Vote == 0 && n.leader.Disk == 0
	if m.Kind == KindPreVote {
		kind = KindPreVoteResponse
		mayGrant = m.Term > n.hard.Term && !n.hasRecentLeader() && n.role != Leader
		if n.role == Leader {
			n.sendRejoinIfRemoved(m)
		}
	}
	if !mayGrant || !n.log.upToDate(m.Index, m.LogTerm) {
		n.respond(m, Message{Kind: kind, Reject: true})
		return
	}
	if m.Kind == KindVote {
		n.hard.Vote = m.FromDisk
		n.electionElapsed = 0
	}
	if m.Kind == KindPreVote && n.role == PreCandidate && m.FromDisk > n.disk {
		// Of two concurrent pre-votes the one with the lower disk identity yields:
		// when every remaining voter is needed for a quorum, both would fail.
		n.becomeFollower(n.hard.Term, Member{})
	}
	n.respond(m, Message{Kind: kind, Term: m.Term})
}

func (n *Node) handleVoteResponse(m *Message) {
	expected := n.role == PreCandidate && m.Kind == KindPreVoteResponse ||
		n.role == Candidate && m.Kind == KindVoteResponse
	if !expected {
		return
	}
	if m.Kind == KindPreVoteResponse && !m.Reject && m.Term != n.hard.Term+1 {
		return
	}
	n.votes[m.FromDisk] = !m.Reject
	switch quorum := n.quorum(); {
	case n.countVotes(true) >= quorum:
		n.handleVoteMajority()
	case n.countVotes(false) >= quorum:
		n.becomeFollower(n.hard.Term, Member{})
	}
}
