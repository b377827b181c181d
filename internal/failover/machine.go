package failover

import (
	"maps"
	"slices"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
)

// timedCondition is the condition in an endpoint's answer and its time of arrival.
type timedCondition struct {
	condition Condition
	at        time.Time
}

// Machine decides the failover of one group. It is not safe for concurrent use.
//
// All decisions that must survive a change of the control leader are in the agreed
// state; the fields below may be lost at any time. A new leader starts with a new
// Machine, sends it the View and continues at the recorded step.
//
// A Machine emits no effects before its first View.
type Machine struct {
	cfg     Config
	view    View
	hasView bool
	settled uint64
	reports map[reportKey]report
	answers map[string]timedCondition

	// pendingUntil is the time until which no other command is proposed: the result
	// of the last one is pending, or it has failed and is about to be repeated.
	pendingUntil time.Time
	queriedAt    time.Time
	// majorityAt is when a majority began to answer, zero while none does.
	majorityAt time.Time
	// noPrimaryAt is since when a majority of a forming group answers and none is out of recovery.
	noPrimaryAt time.Time
	// candidateAt is when this machine first saw the recorded candidate, or last chose
	// it again after a failure. CandidateTimeout and PromoteTimeout run from then.
	candidateAt time.Time
	// promoteSentAt is when Promote was last emitted, sentFence its fence.
	// acceptedFence is that of the last order that was accepted, unansweredFence
	// that of the last order without an answer.
	promoteSentAt   time.Time
	sentFence       uint64
	acceptedFence   uint64
	unansweredFence uint64
	// failedCandidates are the candidates of this term whose promotion failed.
	failedCandidates map[string]bool
	// witnessesAt is when hosts were last asked to probe the primary, and witnessRound counts
	// how often.
	witnessesAt  time.Time
	witnessRound int
	// switchoverDueAt is when the planned switchover of the primary became due, zero
	// when none is; lastSwitchoverAt is when one was last begun.
	switchoverDueAt  time.Time
	lastSwitchoverAt time.Time
	reason           string

	effects []Effect
}

// New returns a Machine that emits no effects before its first View.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:              cfg,
		reports:          make(map[reportKey]report),
		answers:          make(map[string]timedCondition),
		failedCandidates: make(map[string]bool),
	}
}

// Step applies one event and returns the effects in order.
func (m *Machine) Step(now time.Time, event Event) []Effect {
	m.effects = nil
	switch ev := event.(type) {
	case View:
		m.setView(now, ev)
	case Observation:
		m.handleObservation(now, ev)
	case Answer:
		m.handleAnswer(now, ev)
	case Settled:
		m.settled = max(m.settled, ev.Revision)
	case PromotionResult:
		m.handlePromotionResult(ev)
	case CommandResult:
		m.handleCommandResult(now, ev)
	case Tick:
	}
	if m.hasView {
		m.advance(now)
	}
	return m.effects
}

func (m *Machine) setView(now time.Time, v View) {
	old := m.view.Group
	first := !m.hasView
	if !slices.Equal(old.Members, v.Group.Members) {
		m.dropNonMembers(v.Group.Members)
	}
	m.view, m.hasView = v, true
	if first || old.Term != v.Group.Term || old.Phase != v.Group.Phase {
		m.enterPhase()
	}
	if first || old.Candidate != v.Group.Candidate {
		m.candidateAt = now
	}
	if first || old.Changed != v.Group.Changed {
		m.pendingUntil = time.Time{}
	}
}

// dropNonMembers discards reports on and answers of endpoints that are not members.
func (m *Machine) dropNonMembers(members []string) {
	maps.DeleteFunc(m.reports, func(k reportKey, _ report) bool { return !slices.Contains(members, k.endpoint) })
	maps.DeleteFunc(m.answers, func(id string, _ timedCondition) bool { return !slices.Contains(members, id) })
}

// enterPhase discards the state of the former term or phase. Reports are kept over
// a seal, since the choice depends on which endpoints are still suspected. They are
// discarded on activation, since they were evaluated for the former primary.
func (m *Machine) enterPhase() {
	clear(m.answers)
	clear(m.failedCandidates)
	m.pendingUntil = time.Time{}
	m.queriedAt = time.Time{}
	m.majorityAt, m.noPrimaryAt = time.Time{}, time.Time{}
	m.switchoverDueAt = time.Time{}
	if m.view.Group.Phase == agreed.PhaseActive {
		clear(m.reports)
	}
}

// handleAnswer stores an answer in the current term. Answers of earlier terms are
// ignored: their positions may have been read before the seal was settled.
func (m *Machine) handleAnswer(now time.Time, a Answer) {
	if !m.hasView || a.Term != m.view.Group.Term {
		return
	}
	m.answers[a.Endpoint] = timedCondition{condition: a.Condition, at: now}
}

// handlePromotionResult stores the outcome of the order for the latest recorded
// choice. Outcomes of earlier orders are ignored.
func (m *Machine) handlePromotionResult(r PromotionResult) {
	g := m.view.Group
	if r.Term != g.Term || r.Endpoint != g.Candidate || r.Fence != g.Changed {
		return
	}
	switch r.Outcome {
	case OrderAccepted:
		m.acceptedFence = r.Fence
	case OrderUnknown:
		m.unansweredFence = r.Fence
	case OrderRefused:
		m.failedCandidates[r.Endpoint] = true
	}
}

// handleCommandResult allows a failed command to be proposed again after
// QueryInterval. A committed one is confirmed by the next View.
func (m *Machine) handleCommandResult(now time.Time, r CommandResult) {
	if !r.Committed {
		m.pendingUntil = now.Add(m.cfg.QueryInterval)
	}
}

// advance performs the next step of the group's phase.
func (m *Machine) advance(now time.Time) {
	switch m.view.Group.Phase {
	case agreed.PhaseForming:
		m.advanceForming(now)
	case agreed.PhaseActive:
		m.advanceActive(now)
	case agreed.PhaseSealed:
		m.advanceSealed(now)
	}
}

// propose emits a command unless the result of an earlier one is pending.
func (m *Machine) propose(now time.Time, command Effect) {
	if now.Before(m.pendingUntil) {
		return
	}
	m.pendingUntil = now.Add(m.cfg.ProposeTimeout)
	m.effects = append(m.effects, command)
}

// queryPositions requests the positions of all members once per QueryInterval.
func (m *Machine) queryPositions(now time.Time) {
	if !m.queriedAt.IsZero() && now.Sub(m.queriedAt) < m.cfg.QueryInterval {
		return
	}
	m.queriedAt = now
	endpoints := make([]string, len(m.view.Members))
	for i, member := range m.view.Members {
		endpoints[i] = member.Endpoint
	}
	m.effects = append(m.effects, QueryPositions{
		Service:   m.view.Group.Service,
		Term:      m.view.Group.Term,
		Endpoints: endpoints,
	})
}

// setStatus emits a Status when the reason differs from the last one.
func (m *Machine) setStatus(reason string) {
	if reason == m.reason {
		return
	}
	m.reason = reason
	m.effects = append(m.effects, Status{Service: m.view.Group.Service, Reason: reason})
}

// member returns the member with the given endpoint id.
func (m *Machine) member(endpoint string) (Member, bool) {
	for _, member := range m.view.Members {
		if member.Endpoint == endpoint {
			return member, true
		}
	}
	return Member{}, false
}
