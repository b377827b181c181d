package consensus

func (n *Node) resetElection() {
	n.electionElapsed = 0
	n.electionTimeout = n.cfg.ElectionTicks + n.cfg.Rand.IntN(n.cfg.ElectionTicks)
}

// resetFirstElection sets the timeout of a node that has just started. It may be
// short: voters that hear a leader refuse the poll, and after a restart of all
// nobody is heard.
func (n *Node) resetFirstElection() {
	n.electionElapsed = 0
	n.electionTimeout = n.cfg.HeartbeatTicks + n.cfg.Rand.IntN(n.cfg.ElectionTicks)
}

// hearsLeader reports whether a leader was heard within the least election
// timeout. Such a node supports no other candidate.
func (n *Node) hearsLeader() bool {
	return n.leader.Disk != 0 && n.electionElapsed < n.cfg.ElectionTicks
}

func (n *Node) becomeFollower(term uint64, leader Member) {
	if n.role == Leader {
		n.dropped = append(n.dropped, n.lead.pendingIDs()...)
		n.lead = nil
	}
	if term > n.hard.Term {
		n.hard.Term, n.hard.Vote = term, 0
	}
	n.role, n.leader, n.votes, n.forced = Follower, leader, nil, false
	n.resetElection()
}

// heardLeader notes a message from the leader of the node's own term.
func (n *Node) heardLeader(m *Message) {
	from := Member{Host: m.From, Disk: m.FromDisk}
	if n.role != Follower || n.leader != from {
		n.becomeFollower(m.Term, from)
	}
	n.electionElapsed = 0
}

// campaign starts a poll (PreCandidate) or an election (Candidate).
func (n *Node) campaign(role Role) {
	n.resetElection()
	n.role, n.leader = role, Member{}
	n.forced = n.forced && role == Candidate
	n.votes = map[uint64]bool{n.disk: true}
	kind, term := KindPreVote, n.hard.Term+1
	if role == Candidate {
		kind = KindVote
		n.hard.Term, n.hard.Vote = term, n.disk
	}
	if n.countVotes(true) >= n.quorum() {
		n.wonVotes()
		return
	}
	for _, m := range n.members {
		if !m.Voter || m.Disk == n.disk {
			continue
		}
		n.send(m, Message{
			Kind: kind, Term: term, Force: n.forced,
			Index: n.log.last(), LogTerm: n.log.lastTerm(),
		})
	}
}

// wonVotes continues after a majority has granted its votes.
func (n *Node) wonVotes() {
	if n.role == PreCandidate {
		n.campaign(Candidate)
		return
	}
	n.becomeLeader()
}

// countVotes counts the voters that granted, or refused, their votes.
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

// handleVote answers KindPreVote and KindVote. A node votes for any candidate
// that counts its disk identity, even one that its own log does not name yet.
func (n *Node) handleVote(m *Message) {
	kind := KindVoteResponse
	free := n.hard.Vote == m.FromDisk || n.hard.Vote == 0 && n.leader.Disk == 0
	if m.Kind == KindPreVote {
		kind = KindPreVoteResponse
		free = m.Term > n.hard.Term && !n.hearsLeader() && n.role != Leader
		if n.role == Leader {
			n.dismissStranger(m)
		}
	}
	if !free || !n.log.upToDate(m.Index, m.LogTerm) {
		n.answer(m, Message{Kind: kind, Reject: true})
		return
	}
	if m.Kind == KindVote {
		n.hard.Vote = m.FromDisk
		n.electionElapsed = 0
	}
	if m.Kind == KindPreVote && n.role == PreCandidate && m.FromDisk > n.disk {
		// Of two polls at once one gives way: where every voter that is left is
		// needed, both candidates would fail.
		n.becomeFollower(n.hard.Term, Member{})
	}
	n.answer(m, Message{Kind: kind, Term: m.Term})
}

func (n *Node) handleVoteAnswer(m *Message) {
	asked := n.role == PreCandidate && m.Kind == KindPreVoteResponse ||
		n.role == Candidate && m.Kind == KindVoteResponse
	if !asked {
		return
	}
	if m.Kind == KindPreVoteResponse && !m.Reject && m.Term != n.hard.Term+1 {
		return
	}
	n.votes[m.FromDisk] = !m.Reject
	switch quorum := n.quorum(); {
	case n.countVotes(true) >= quorum:
		n.wonVotes()
	case n.countVotes(false) >= quorum:
		n.becomeFollower(n.hard.Term, Member{})
	}
}
