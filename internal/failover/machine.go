package failover

import (
	"maps"
	"slices"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
)

// timedCondition is an endpoint's answer with the time of its arrival.
type timedCondition struct {
	condition Condition
	at        time.Time
}

// Machine decides the failover of one group. It is not safe for concurrent
// use. A new control leader starts with a new Machine, sends it the View and
// lets it continue.
type Machine struct {
	cfg     Config
	view    View
	known   bool
	settled uint64
	reports map[reportKey]report
	answers map[string]timedCondition

	// busyUntil is the time until which a proposed command is awaited.
	busyUntil time.Time
	asked     time.Time
	// majorityAt is when a majority first answered in this term.
	majorityAt time.Time
	// candidateAt is when this machine first saw the candidate recorded.
	candidateAt time.Time
	// promoted is when Promote was last emitted, under the fence ordered;
	// accepted is the fence of the last order that was accepted, unanswered that
	// of one that got no answer.
	promoted   time.Time
	ordered    uint64
	accepted   uint64
	unanswered uint64
	// avoid lists candidates of this term that failed to be promoted.
	avoid map[string]bool
	// dueAt is since when the primary has had to leave its place, switched when a
	// planned switchover was last begun.
	dueAt    time.Time
	switched time.Time
	reason   string

	effects []Effect
}

// New returns a Machine that waits for its first View.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:     cfg,
		reports: make(map[reportKey]report),
		answers: make(map[string]timedCondition),
		avoid:   make(map[string]bool),
	}
}

// Step applies one event and returns the effects in order.
func (m *Machine) Step(now time.Time, event Event) []Effect {
	m.effects = nil
	switch ev := event.(type) {
	case View:
		m.setView(now, ev)
	case Observation:
		m.observe(now, ev)
	case Answer:
		m.receive(now, ev)
	case Settled:
		m.settled = max(m.settled, ev.Revision)
	case PromotionResult:
		m.promotionDone(ev)
	case CommandResult:
		m.commandDone(now, ev)
	case Tick:
	}
	if m.known {
		m.advance(now)
	}
	return m.effects
}

func (m *Machine) setView(now time.Time, v View) {
	old := m.view.Group
	first := !m.known
	if !slices.Equal(old.Members, v.Group.Members) {
		m.forgetOthers(v.Group.Members)
	}
	m.view, m.known = v, true
	if first || old.Term != v.Group.Term || old.Phase != v.Group.Phase {
		m.enterPhase()
	}
	if first || old.Candidate != v.Group.Candidate {
		m.candidateAt = now
	}
	if first || old.Changed != v.Group.Changed {
		m.busyUntil = time.Time{}
	}
}

// forgetOthers drops what is known of endpoints that are not members.
func (m *Machine) forgetOthers(members []string) {
	maps.DeleteFunc(m.reports, func(k reportKey, _ report) bool { return !slices.Contains(members, k.endpoint) })
	maps.DeleteFunc(m.answers, func(id string, _ timedCondition) bool { return !slices.Contains(members, id) })
}

// enterPhase forgets what belonged to the former term or phase. Observations
// survive a seal: they tell which endpoints are still suspected.
func (m *Machine) enterPhase() {
	clear(m.answers)
	clear(m.avoid)
	m.busyUntil = time.Time{}
	m.asked = time.Time{}
	m.majorityAt = time.Time{}
	m.dueAt = time.Time{}
	if m.view.Group.Phase == agreed.PhaseActive {
		clear(m.reports)
	}
}

func (m *Machine) receive(now time.Time, a Answer) {
	if !m.known || a.Term != m.view.Group.Term {
		return
	}
	m.answers[a.Endpoint] = timedCondition{condition: a.Condition, at: now}
}

func (m *Machine) promotionDone(r PromotionResult) {
	g := m.view.Group
	if r.Term != g.Term || r.Endpoint != g.Candidate || r.Fence != g.Changed {
		return
	}
	switch r.Outcome {
	case OrderAccepted:
		m.accepted = r.Fence
	case OrderUnknown:
		m.unanswered = r.Fence
	case OrderRefused:
		m.avoid[r.Endpoint] = true
	}
}

func (m *Machine) commandDone(now time.Time, r CommandResult) {
	if !r.Committed {
		m.busyUntil = now.Add(m.cfg.QueryInterval)
	}
}

func (m *Machine) advance(now time.Time) {
	switch m.view.Group.Phase {
	case agreed.PhaseForming:
		m.form(now)
	case agreed.PhaseActive:
		m.watch(now)
	case agreed.PhaseSealed:
		m.resolve(now)
	}
}

// propose emits a command unless an earlier one is still awaited.
func (m *Machine) propose(now time.Time, command Effect) {
	if now.Before(m.busyUntil) {
		return
	}
	m.busyUntil = now.Add(m.cfg.ProposeTimeout)
	m.effects = append(m.effects, command)
}

// ask requests the positions of all members once per AskInterval.
func (m *Machine) ask(now time.Time) {
	if !m.asked.IsZero() && now.Sub(m.asked) < m.cfg.QueryInterval {
		return
	}
	m.asked = now
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

// report emits the reason when it differs from the last one.
func (m *Machine) report(reason string) {
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
