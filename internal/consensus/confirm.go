package consensus

import "slices"

// confirmQueue holds the ConfirmQuorum calls of a leader. Calls made while a
// heartbeat round is in progress share the next round.
type confirmQueue struct {
	round   uint64           // last round started
	acked   uint64           // last round acknowledged by a majority of voters
	queued  []uint64         // calls not yet in a round
	pending []pendingConfirm // calls in a round, in the order of their rounds
}

// pendingConfirm is a call that completes once its round is acknowledged.
type pendingConfirm struct {
	id    uint64
	round uint64
}

// ConfirmQuorum requests proof that this node is still the leader. The call
// completes in Ready.Confirmed once a majority of voters has acknowledged a
// heartbeat round begun after the call and the leader has committed an entry of
// its own term, or in Ready.Dropped when the node loses the leadership.
func (n *Node) ConfirmQuorum(id uint64) error {
	if n.role != Leader {
		return n.checkLeader()
	}
	n.leaderState.confirmQueue.queued = append(n.leaderState.confirmQueue.queued, id)
	return nil
}

// beginRoundIfQueued begins a round for queued calls unless one is in progress.
func (n *Node) beginRoundIfQueued() {
	if n.role != Leader {
		return
	}
	c := &n.leaderState.confirmQueue
	if len(c.queued) > 0 && c.acked == c.round {
		n.beginHeartbeatRound()
	}
}

// beginHeartbeatRound sends a heartbeat to every follower and adds the queued
// calls to the round.
func (n *Node) beginHeartbeatRound() {
	n.leaderState.heartbeatElapsed = 0
	c := &n.leaderState.confirmQueue
	c.round++
	for _, id := range c.queued {
		c.pending = append(c.pending, pendingConfirm{id: id, round: c.round})
	}
	c.queued = nil
	n.forEachFollower(func(p *progress) {
		n.send(p.member, Message{Kind: KindHeartbeat, Round: c.round, Commit: min(n.log.commit, p.match)})
	})
	n.completeConfirms()
}

// completeConfirms completes the calls whose round a majority has acknowledged.
// Before the leader has committed an entry of its own term its commit index may
// be older than that of the previous leader, so no call completes until then.
func (n *Node) completeConfirms() {
	c := &n.leaderState.confirmQueue
	c.acked = n.quorumAckedRound()
	if n.log.commit < n.leaderState.termStartIndex {
		return
	}
	done := 0
	for done < len(c.pending) && c.pending[done].round <= c.acked {
		n.confirmed = append(n.confirmed, Confirmation{
			ID: c.pending[done].id, Index: n.log.commit, Term: n.hard.Term,
		})
		done++
	}
	c.pending = c.pending[done:]
}

// quorumAckedRound returns the highest round that a majority of voters has
// acknowledged.
func (n *Node) quorumAckedRound() uint64 {
	var rounds []uint64
	for _, m := range n.members {
		switch {
		case !m.Voter:
		case m.Disk == n.disk:
			rounds = append(rounds, n.leaderState.confirmQueue.round)
		default:
			rounds = append(rounds, n.leaderState.progress[m.Disk].ackedRound)
		}
	}
	slices.Sort(rounds)
	return rounds[len(rounds)-n.quorum()]
}

func (l *leaderState) pendingConfirmIDs() []uint64 {
	ids := slices.Clone(l.confirmQueue.queued)
	for _, c := range l.confirmQueue.pending {
		ids = append(ids, c.id)
	}
	return ids
}
