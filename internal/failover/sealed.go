package failover

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// advanceSealed chooses a candidate once the seal is settled, and promotes a
// candidate that is recorded.
func (m *Machine) advanceSealed(now time.Time) {
	if m.view.Group.Candidate != "" {
		m.advanceCandidate(now)
		return
	}
	if m.settled < m.view.Group.Changed {
		m.setStatus(fmt.Sprintf("sealed: waiting until no host may act on a revision before %d", m.view.Group.Changed))
		return
	}
	m.queryPositions(now)
	if c, ok := m.choose(now); ok {
		m.proposeCandidate(now, c)
	}
}

// proposeCandidate proposes to record a choice. A repeated choice of the recorded
// candidate gives the next order a new fence.
func (m *Machine) proposeCandidate(now time.Time, endpoint string) {
	m.setStatus("sealed: choosing " + endpoint)
	m.propose(now, Choose{
		Service:     m.view.Group.Service,
		Term:        m.view.Group.Term,
		Candidate:   endpoint,
		ChooserTerm: m.cfg.ChooserTerm,
		Attempt:     m.view.Group.Attempt + 1,
	})
}

// choose returns the best candidate, or sets the status to the reason why there is
// none yet.
func (m *Machine) choose(now time.Time) (string, bool) {
	all := m.contenders(now)
	if len(all) < m.majority() {
		m.majorityAt = time.Time{}
		m.setStatus(m.noMajorityReason(now, all))
		return "", false
	}
	if m.majorityAt.IsZero() {
		m.majorityAt = now
	}
	if m.awaitsPositions(now, all) {
		m.setStatus("sealed: waiting for the positions of the other members")
		return "", false
	}
	eligible := m.withoutFailed(m.holdingAcknowledged(all))
	if _, planned := m.switchoverCause(); planned && !m.suspected(now, m.view.Group.Primary) {
		eligible = m.switchoverCandidates(now, all, eligible)
	}
	if len(eligible) == 0 {
		m.setStatus("sealed: no member that may be promoted holds all acknowledged writes yet")
		return "", false
	}
	best := slices.MinFunc(eligible, comparePreference)
	fallback := best.suspected || best.member.outOfUse()
	if fallback && len(all) < len(m.view.Members) && now.Sub(m.majorityAt) < m.cfg.FallbackGrace {
		m.setStatus("sealed: only an endpoint that is suspected or out of use qualifies; waiting for others")
		return "", false
	}
	return best.member.Endpoint, true
}

// withoutFailed returns the contenders whose promotion has not failed in this term, or
// all of them if each has failed.
func (m *Machine) withoutFailed(all []contender) []contender {
	remaining := exclude(all, func(c contender) bool { return m.failedCandidates[c.member.Endpoint] })
	if len(remaining) == 0 {
		return all
	}
	return remaining
}

// switchoverCandidates narrows the choice of a planned switchover. Until
// CatchUpTimeout only a replica in use that holds the primary's last position
// qualifies; afterwards any replica in use, then any eligible member.
func (m *Machine) switchoverCandidates(now time.Time, all, eligible []contender) []contender {
	primary := slices.IndexFunc(all, func(c contender) bool {
		return c.member.Endpoint == m.view.Group.Primary
	})
	inUse := exclude(eligible, func(c contender) bool {
		return c.member.outOfUse() || c.member.Endpoint == m.view.Group.Primary
	})
	caughtUp := exclude(inUse, func(c contender) bool {
		return primary >= 0 && c.compare(all[primary]) < 0
	})
	waited := now.Sub(m.majorityAt) >= m.cfg.CatchUpTimeout
	switch {
	case len(caughtUp) > 0 && (primary >= 0 || waited):
		return caughtUp
	case !waited:
		return nil
	case len(inUse) > 0:
		return inUse
	default:
		return eligible
	}
}

// noMajorityReason describes which members are missing from the choice, and why.
func (m *Machine) noMajorityReason(now time.Time, all []contender) string {
	var silent, diverged []string
	for _, member := range m.view.Members {
		c, ok := m.answer(now, member.Endpoint)
		switch {
		case !ok:
			silent = append(silent, member.Endpoint)
		case !m.countsForChoice(member.Endpoint, c):
			diverged = append(diverged, member.Endpoint)
		}
	}
	reason := fmt.Sprintf("sealed: %d of %d members answer, %d are needed",
		len(all), max(m.view.Size, len(m.view.Members)), m.majority())
	if len(silent) > 0 {
		reason += "; no answer from " + strings.Join(silent, ", ")
	}
	if len(diverged) > 0 {
		reason += "; must be rebuilt as replicas: " + strings.Join(diverged, ", ")
	}
	return reason
}

// advanceCandidate promotes and activates the recorded candidate, or chooses another
// one when it fails. It does not wait for the seal to settle, since that came before the
// first choice of the term. Before each further order it repeats the choice, since each
// order needs a new fence.
func (m *Machine) advanceCandidate(now time.Time) {
	m.queryPositions(now)
	g := m.view.Group
	c, answered := m.answer(now, g.Candidate)
	if answered && m.canActivate(c) && m.ownOrderIsLatest() {
		m.setStatus("sealed: activating " + g.Candidate)
		m.propose(now, Activate{Service: g.Service, Term: g.Term, Primary: g.Candidate, Timeline: c.Timeline})
		return
	}
	if m.candidateFailed(now) {
		m.failedCandidates[g.Candidate] = true
		m.replaceCandidate(now)
		return
	}
	m.setStatus("sealed: promoting " + g.Candidate)
	if g.ChooserTerm != m.cfg.ChooserTerm || m.orderExpired(now) {
		m.proposeCandidate(now, g.Candidate)
		return
	}
	if m.sentFence == g.Changed {
		return
	}
	m.sentFence, m.promoteSentAt = g.Changed, now
	m.effects = append(m.effects, Promote{Service: g.Service, Term: g.Term, Endpoint: g.Candidate, Fence: g.Changed})
}

// ownOrderIsLatest reports whether no order of this term can still be executed for
// another endpoint: the platform has accepted the fence of the latest choice, which
// is this leader's, and rejects all lower ones. It is always true unless Fenced is set.
func (m *Machine) ownOrderIsLatest() bool {
	g := m.view.Group
	return !m.cfg.Fenced || g.ChooserTerm == m.cfg.ChooserTerm && m.acceptedFence == g.Changed
}

// orderExpired reports whether another order is due: the last one got no answer, or
// the candidate was not seen as primary in time.
func (m *Machine) orderExpired(now time.Time) bool {
	if m.sentFence != m.view.Group.Changed {
		return false
	}
	wait := m.cfg.ProposeTimeout
	if m.acceptedFence == m.sentFence {
		wait = m.cfg.OrderTimeout
	}
	return m.unansweredFence == m.sentFence || now.Sub(m.promoteSentAt) >= wait
}

// replaceCandidate chooses again. If no other endpoint qualifies, the same one is chosen
// with new timeouts.
func (m *Machine) replaceCandidate(now time.Time) {
	next, ok := m.choose(now)
	if !ok {
		return
	}
	if next != m.view.Group.Candidate {
		m.proposeCandidate(now, next)
		return
	}
	delete(m.failedCandidates, next)
	m.candidateAt = now
	m.proposeCandidate(now, next)
}

// canActivate reports whether the candidate is a primary: promoted to a later
// timeline, or the former primary on the group's timeline.
func (m *Machine) canActivate(c Condition) bool {
	g := m.view.Group
	if c.InRecovery {
		return false
	}
	if c.Timeline > g.Timeline {
		return true
	}
	return g.Candidate == g.Primary && m.onTimeline(c.Timeline)
}

// candidateFailed reports whether another candidate should be chosen: the candidate
// is no member, its order was refused, it was not reachable for CandidateTimeout, or
// PromoteTimeout has passed since candidateAt.
func (m *Machine) candidateFailed(now time.Time) bool {
	g := m.view.Group
	if _, ok := m.member(g.Candidate); !ok || m.failedCandidates[g.Candidate] {
		return true
	}
	reachedAt := m.candidateAt
	if a, ok := m.answers[g.Candidate]; ok && a.condition.Reachable && a.at.After(reachedAt) {
		reachedAt = a.at
	}
	if now.Sub(reachedAt) >= m.cfg.CandidateTimeout {
		return true
	}
	return now.Sub(m.candidateAt) >= m.cfg.PromoteTimeout
}
