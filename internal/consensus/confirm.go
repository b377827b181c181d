package consensus

import "slices"

// confirms are the ConfirmQuorum calls of a leader. Calls made while a round
// is unanswered share the next one.
type confirms struct {
	round    uint64
	answered uint64
	waiting  []uint64 // calls not yet in a round
	started  []confirm
}

type confirm struct {
	id    uint64
	round uint64
}

// ConfirmQuorum asks for a proof that this node is still the leader. It is
// answered in Ready.Confirmed once a majority of voters has answered a
// heartbeat round begun after the call, and the leader has committed an entry
// of its own term; or in Ready.Dropped when the node ceases to lead.
func (n *Node) ConfirmQuorum(id uint64) error {
	if n.role != Leader {
		return n.checkLeader()
	}
	n.lead.confirms.waiting = append(n.lead.confirms.waiting, id)
	return nil
}

// startRound begins a round for waiting calls unless one is in progress.
func (n *Node) startRound() {
	if n.role != Leader {
		return
	}
	c := &n.lead.confirms
	if len(c.waiting) > 0 && c.answered == c.round {
		n.beginRound()
	}
}

// beginRound sends a heartbeat to every follower and attaches waiting calls.
func (n *Node) beginRound() {
	n.lead.heartbeatElapsed = 0
	c := &n.lead.confirms
	c.round++
	for _, id := range c.waiting {
		c.started = append(c.started, confirm{id: id, round: c.round})
	}
	c.waiting = nil
	n.each(func(p *progress) {
		n.send(p.member, Message{Kind: KindHeartbeat, Round: c.round, Commit: min(n.log.commit, p.match)})
	})
	n.answerConfirms()
}

// answerConfirms answers the calls whose round a majority has answered.
func (n *Node) answerConfirms() {
	c := &n.lead.confirms
	c.answered = n.quorumRound()
	if n.log.commit < n.lead.firstOwn {
		return
	}
	done := 0
	for done < len(c.started) && c.started[done].round <= c.answered {
		n.confirmed = append(n.confirmed, Confirmation{
			ID: c.started[done].id, Index: n.log.commit, Term: n.hard.Term,
		})
		done++
	}
	c.started = c.started[done:]
}

// quorumRound returns the greatest round that a majority of voters answered.
func (n *Node) quorumRound() uint64 {
	var rounds []uint64
	for _, m := range n.members {
		switch {
		case !m.Voter:
		case m.Disk == n.disk:
			rounds = append(rounds, n.lead.confirms.round)
		default:
			rounds = append(rounds, n.lead.progress[m.Disk].round)
		}
	}
	slices.Sort(rounds)
	return rounds[len(rounds)-n.quorum()]
}

func (l *leadership) pendingIDs() []uint64 {
	ids := slices.Clone(l.confirms.waiting)
	for _, c := range l.confirms.started {
		ids = append(ids, c.id)
	}
	return ids
}
