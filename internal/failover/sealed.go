package failover

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// resolve brings a sealed group back into use.
func (m *Machine) resolve(now time.Time) {
	if m.view.Group.Candidate != "" {
		m.promote(now)
		return
	}
	if m.settled < m.view.Group.Changed {
		m.report(fmt.Sprintf("sealed: waiting until no host acts on a revision before %d", m.view.Group.Changed))
		return
	}
	m.ask(now)
	if c, ok := m.choose(now); ok {
		m.proposeCandidate(now, c)
	}
}

func (m *Machine) proposeCandidate(now time.Time, endpoint string) {
	m.report("sealed: choosing " + endpoint)
	m.propose(now, Choose{
		Service:   m.view.Group.Service,
		Term:      m.view.Group.Term,
		Candidate: endpoint,
		Chooser:   m.cfg.Chooser,
		Attempt:   m.view.Group.Attempt + 1,
	})
}

// choose returns the best candidate, or reports why there is none yet.
func (m *Machine) choose(now time.Time) (string, bool) {
	all := m.contenders(now)
	if len(all) < m.majority() {
		m.majorityAt = time.Time{}
		m.report(m.noMajority(now, all))
		return "", false
	}
	if m.majorityAt.IsZero() {
		m.majorityAt = now
	}
	if m.mayImprove(now, all) {
		m.report("sealed: waiting for the positions of the other members")
		return "", false
	}
	able := m.untried(m.safe(all))
	if _, planned := m.switchoverCause(); planned && !m.suspected(now, m.view.Group.Primary) {
		able = m.successors(now, all, able)
	}
	if len(able) == 0 {
		m.report("sealed: no member that may be promoted holds all acknowledged writes yet")
		return "", false
	}
	best := slices.MinFunc(able, prefer)
	second := best.suspected || best.member.unwanted()
	if second && len(all) < len(m.view.Members) && now.Sub(m.majorityAt) < m.cfg.FallbackGrace {
		m.report("sealed: only an endpoint that is suspected or out of use qualifies; waiting for others")
		return "", false
	}
	return best.member.Endpoint, true
}

// untried returns the contenders that have not failed in this term, or all of
// them when each has failed once.
func (m *Machine) untried(all []contender) []contender {
	fresh := without(all, func(c contender) bool { return m.avoid[c.member.Endpoint] })
	if len(fresh) == 0 {
		return all
	}
	return fresh
}

// successors narrows the choice of a planned switchover. Until the wait is
// over only a replica in use that holds the primary's last position will do;
// afterwards any replica in use, then any member.
func (m *Machine) successors(now time.Time, all, able []contender) []contender {
	last := slices.IndexFunc(all, func(c contender) bool {
		return c.member.Endpoint == m.view.Group.Primary
	})
	inUse := without(able, func(c contender) bool {
		return c.member.unwanted() || c.member.Endpoint == m.view.Group.Primary
	})
	caughtUp := without(inUse, func(c contender) bool {
		return last >= 0 && c.compare(all[last]) < 0
	})
	waited := now.Sub(m.majorityAt) >= m.cfg.CatchUpTimeout
	switch {
	case len(caughtUp) > 0 && (last >= 0 || waited):
		return caughtUp
	case !waited:
		return nil
	case len(inUse) > 0:
		return inUse
	default:
		return able
	}
}

// noMajority explains which members are missing from the choice.
func (m *Machine) noMajority(now time.Time, all []contender) string {
	var silent, strays []string
	for _, member := range m.view.Members {
		c, ok := m.answer(now, member.Endpoint)
		switch {
		case !ok:
			silent = append(silent, member.Endpoint)
		case !m.counts(member.Endpoint, c):
			strays = append(strays, member.Endpoint)
		}
	}
	reason := fmt.Sprintf("sealed: %d of %d members answer, %d are needed",
		len(all), max(m.view.Size, len(m.view.Members)), m.majority())
	if len(silent) > 0 {
		reason += "; no answer from " + strings.Join(silent, ", ")
	}
	if len(strays) > 0 {
		reason += "; must be rebuilt as replicas: " + strings.Join(strays, ", ")
	}
	return reason
}

// promote drives the recorded candidate, or chooses another when it fails.
// The seal was settled before the first choice, so no further wait is due.
func (m *Machine) promote(now time.Time) {
	m.ask(now)
	g := m.view.Group
	c, answers := m.answer(now, g.Candidate)
	if answers && m.mayActivate(c) && m.ownOrderHolds() {
		m.report("sealed: activating " + g.Candidate)
		m.propose(now, Activate{Service: g.Service, Term: g.Term, Primary: g.Candidate, Timeline: c.Timeline})
		return
	}
	if m.candidateFailed(now) {
		m.avoid[g.Candidate] = true
		m.replaceCandidate(now)
		return
	}
	m.report("sealed: promoting " + g.Candidate)
	if g.ChooserTerm != m.cfg.Chooser || m.orderFailed(now) {
		m.proposeCandidate(now, g.Candidate)
		return
	}
	if m.ordered == g.Changed {
		return
	}
	m.ordered, m.promoted = g.Changed, now
	m.effects = append(m.effects, Promote{Service: g.Service, Term: g.Term, Endpoint: g.Candidate, Fence: g.Changed})
}

// ownOrderHolds reports whether no order that was given in this term can still
// be carried out for another endpoint: the platform has seen the fence of the
// latest choice, which is this leader's.
func (m *Machine) ownOrderHolds() bool {
	g := m.view.Group
	return !m.cfg.Fenced || g.ChooserTerm == m.cfg.Chooser && m.accepted == g.Changed
}

// orderFailed reports whether another order is due: the last one got no answer,
// or has not shown in time.
func (m *Machine) orderFailed(now time.Time) bool {
	if m.ordered != m.view.Group.Changed {
		return false
	}
	wait := m.cfg.ProposeTimeout
	if m.accepted == m.ordered {
		wait = m.cfg.OrderTimeout
	}
	return m.unanswered == m.ordered || now.Sub(m.promoted) >= wait
}

// replaceCandidate chooses again; the same endpoint may get another attempt
// when no other qualifies.
func (m *Machine) replaceCandidate(now time.Time) {
	next, ok := m.choose(now)
	if !ok {
		return
	}
	if next != m.view.Group.Candidate {
		m.proposeCandidate(now, next)
		return
	}
	delete(m.avoid, next)
	m.candidateAt = now
	m.proposeCandidate(now, next)
}

// mayActivate reports whether the candidate is a primary: promoted to a new
// timeline, or the former primary on its own one.
func (m *Machine) mayActivate(c Condition) bool {
	g := m.view.Group
	if c.InRecovery {
		return false
	}
	if c.Timeline > g.Timeline {
		return true
	}
	return g.Candidate == g.Primary && m.onTimeline(c.Timeline)
}

// candidateFailed reports whether another candidate should be chosen.
func (m *Machine) candidateFailed(now time.Time) bool {
	g := m.view.Group
	if _, ok := m.member(g.Candidate); !ok || m.avoid[g.Candidate] {
		return true
	}
	seen := m.candidateAt
	if a, ok := m.answers[g.Candidate]; ok && a.condition.Reachable && a.at.After(seen) {
		seen = a.at
	}
	if now.Sub(seen) >= m.cfg.CandidateTimeout {
		return true
	}
	return now.Sub(m.candidateAt) >= m.cfg.PromoteTimeout
}
