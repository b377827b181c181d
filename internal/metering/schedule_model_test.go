package metering

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
)

// fault is a fault planted into the model.
type fault int

const (
	noFault        fault = iota
	recount              // the counts of a call are taken anew instead of from the decision
	shareFence           // a successor uses the recorded fence
	claimAtOnce          // a successor does not wait before its claim
	noLeaseCheck         // the permission to send is not checked
	renewedLease         // the permission is checked with the lease at the call, not at the decision
	forgetRefusal        // a refusal counts as an unknown outcome
	keepAllWindows       // undelivered windows are not dropped
)

const (
	modelStep  = 50 * time.Millisecond
	modelLease = 2 * time.Second
)

var (
	modelConfig = Config{Window: 5 * time.Second, Late: 10 * time.Second, Lease: 3 * time.Second}
	modelStart  = time.Unix(1_000_000, 0)
)

// modelHost is a control host. It has a schedule as long as it takes itself for the leader.
type modelHost struct {
	name           string
	incarnation    uint64
	schedule       *Schedule
	applied        agreed.Usage
	quorumAt       time.Time
	leaseUntil     time.Time
	suspendedUntil time.Time
	cutUntil       time.Time // no connection to the other hosts; the platform is reached
	refused        uint64
	lastCall       time.Time
}

// model runs the schedules of some hosts against an agreed state and a platform.
type model struct {
	intN   func(int) int
	fault  fault
	calm   bool // no faults of machines
	now    time.Time
	hosts  []*modelHost
	leader *modelHost // that a majority follows, nil during an election
	state  *agreed.State
	index  uint64
	looks  uint64
	events []func() bool // each is called until it returns true

	downUntil time.Time
	fence     uint64 // highest executed
	refused   map[uint64]bool
	holders   map[uint64]string
	counts    map[int64]string
	callers   []string // that have sent, with the times in callTimes
	callTimes []time.Time
	accepted  int64
	failures  []string
}

func newModel(intN func(int) int, f fault) *model {
	m := &model{intN: intN, fault: f, now: modelStart, state: agreed.New(), index: 1,
		refused: map[uint64]bool{}, holders: map[uint64]string{}, counts: map[int64]string{}}
	for i := range 3 {
		m.hosts = append(m.hosts, &modelHost{name: fmt.Sprint("c", i), incarnation: 1})
	}
	return m
}

func (m *model) chance(oneIn int) bool { return !m.calm && m.intN(oneIn) == 0 }

func (m *model) random(limit time.Duration) time.Duration {
	return time.Duration(m.intN(int(limit/time.Millisecond))) * time.Millisecond
}

func (m *model) after(d time.Duration, do func()) {
	at := m.now.Add(d)
	m.events = append(m.events, func() bool {
		if at.After(m.now) {
			return false
		}
		do()
		return true
	})
}

// FleetTime and Tally implement TallySource. The counts differ at each look.
func (m *model) FleetTime(time.Time) (time.Time, bool) {
	return m.now.Add(-m.random(100 * time.Millisecond)), !m.chance(20)
}

func (m *model) Tally(int64) Tally {
	m.looks++
	t := Tally{Counts: map[string]uint64{"crew": m.looks}}
	if m.chance(2) {
		t.Missing = []string{"e0"}
	}
	return t
}

func (m *model) running(h *modelHost) bool   { return !m.now.Before(h.suspendedUntil) }
func (m *model) connected(h *modelHost) bool { return m.running(h) && !m.now.Before(h.cutUntil) }

// run runs some steps and returns the first violation, empty if there was none.
func (m *model) run(steps int) string {
	for range steps {
		m.now = m.now.Add(modelStep)
		m.disturb()
		m.elect()
		events := m.events
		m.events = nil
		for _, e := range events {
			if !e() {
				m.events = append(m.events, e)
			}
		}
		for _, h := range m.hosts {
			if m.running(h) {
				m.renew(h)
				m.act(h)
			}
		}
		if n := len(m.state.Usage.Pending); n > agreed.MaxUsagePending {
			m.failures = append(m.failures, fmt.Sprint(n, " undelivered windows"))
		}
		if len(m.failures) > 0 {
			return strings.Join(m.failures, "; ")
		}
	}
	return ""
}

// disturb kills, suspends and isolates hosts, and stops the platform.
func (m *model) disturb() {
	h := m.hosts[m.intN(len(m.hosts))]
	switch {
	case m.chance(150):
		h.suspendedUntil = m.now.Add(m.random(6 * time.Second))
	case m.chance(150):
		h.cutUntil = m.now.Add(m.random(6 * time.Second))
	case m.chance(200): // kill and restart
		*h = modelHost{name: h.name, incarnation: h.incarnation + 1, suspendedUntil: m.now.Add(time.Second)}
	case m.chance(200): // the leader loses an election although it runs
		m.leader = nil
	case m.chance(800):
		m.downUntil = m.now.Add(m.random(90 * time.Second))
	case m.chance(800): // a holder outside of the fleet
		m.fence = m.index + uint64(m.intN(4))
	}
}

// elect elects a leader unless a majority follows one.
func (m *model) elect() {
	if m.leader != nil && m.connected(m.leader) && m.leader.schedule != nil {
		return
	}
	m.leader = nil
	h := m.hosts[m.intN(len(m.hosts))]
	majority := slices.ContainsFunc(m.hosts, func(o *modelHost) bool { return o != h && m.connected(o) })
	if !m.connected(h) || !majority || m.intN(8) > 0 {
		return
	}
	opts := ScheduleOptions{Config: modelConfig, Host: h.name, Incarnation: h.incarnation, LeadingSince: m.now, ActFor: modelLease}
	if m.fault == claimAtOnce {
		opts.Config.Lease, opts.ActFor = 0, 0
	}
	m.leader, h.schedule, h.quorumAt = h, NewSchedule(opts), m.now
}

// renew renews the lease of a host, and tells a former leader of its successor. It may get a lease
// through the successor before that.
func (m *model) renew(h *modelHost) {
	if m.leader == nil || !m.connected(h) || m.intN(4) > 0 {
		return
	}
	h.leaseUntil = m.now.Add(modelLease)
	switch {
	case h == m.leader:
		h.quorumAt = m.now
	case m.intN(8) == 0:
		h.schedule = nil
	}
}

func (m *model) mayActUntil(h *modelHost) time.Time {
	switch until := h.quorumAt.Add(modelLease / 2); {
	case m.fault == noLeaseCheck:
		return m.now.Add(time.Hour)
	case m.fault == renewedLease, h.leaseUntil.Before(until):
		return h.leaseUntil
	default:
		return until
	}
}

// act carries out the actions of a host that takes itself for the leader.
func (m *model) act(h *modelHost) {
	if h == m.leader {
		h.applied = m.state.Usage
	}
	for s := h.schedule; s != nil; {
		u := h.applied
		if m.fault == shareFence && u.Fence > 0 {
			u.Holder, u.Incarnation = h.name, h.incarnation
		}
		until := m.mayActUntil(h)
		switch a := s.Next(ScheduleInput{Now: m.now, Usage: u, MayAct: m.now.Before(until), Refused: h.refused, Source: m}); a.Kind {
		case Claim:
			m.propose(h, s, agreed.Command{ClaimUsage: &agreed.ClaimUsage{Host: h.name, Incarnation: h.incarnation, Previous: a.Fence, Window: a.Window}})
		case Decide:
			m.propose(h, s, agreed.Command{DecideUsage: &agreed.DecideUsage{Fence: a.Fence, Window: a.Window, Counts: a.Tally.Counts, Accepted: a.Accepted}})
		case Send:
			m.after(m.random(60*time.Millisecond), func() { m.send(h, s, a, until) })
		default:
			return
		}
	}
}

// propose commits a command if the host still leads by then. The answer may be lost.
func (m *model) propose(h *modelHost, s *Schedule, c agreed.Command) {
	m.after(m.random(200*time.Millisecond), func() {
		committed := h == m.leader && h.schedule == s
		if committed {
			m.index += uint64(1 + m.intN(3))
			former := m.state.Usage.Pending
			next, out := agreed.Apply(m.state, m.index, c)
			m.state, committed = next, out.Code == 0
			if m.fault == keepAllWindows && committed && c.DecideUsage != nil {
				m.state.Usage.Pending = append(former[:len(former):len(former)], agreed.UsageWindow{Window: c.DecideUsage.Window, Counts: c.DecideUsage.Counts})
			}
			h.applied = m.state.Usage
		}
		s.CommandDone(m.now, committed && !m.chance(10))
	})
}

// send checks the permission and sends a call, once the process runs.
func (m *model) send(h *modelHost, s *Schedule, a Action, until time.Time) {
	if h.schedule != s {
		return // killed, or the driver was stopped
	}
	if !m.running(h) {
		m.after(modelStep, func() { m.send(h, s, a, until) })
		return
	}
	if m.fault == renewedLease {
		until = h.leaseUntil
	}
	if !m.now.Before(until) {
		s.CallDone(m.now, a.Fence, a.Window, CallNotSent)
		return
	}
	counts := maps.Clone(a.Counts)
	if m.fault == recount {
		counts = m.Tally(a.Window).Counts
	}
	m.arrive(h, a, fmt.Sprint(counts))
	outcome, answered := CallUnknown, m.random(900*time.Millisecond)
	switch {
	case m.now.Before(m.downUntil) || m.chance(20): // lost, or executed late without an answer
		answered = CallTimeout
		if m.chance(2) {
			m.after(m.random(5*time.Second), func() { m.execute(a) })
		}
	default:
		if outcome = m.execute(a); outcome == CallRefused {
			m.refused[a.Fence] = true
		}
		if m.fault == forgetRefusal && outcome == CallRefused {
			outcome = CallUnknown
		}
	}
	incarnation := h.incarnation
	m.after(answered, func() {
		if outcome == CallRefused && h.incarnation == incarnation {
			h.refused = max(h.refused, a.Fence) // also if the leadership has ended
		}
		s.CallDone(m.now, a.Fence, a.Window, outcome)
	})
}

// arrive checks a call that was sent against the rules.
func (m *model) arrive(h *modelHost, a Action, counts string) {
	holder, used := m.holders[a.Fence]
	former, reported := m.counts[a.Window]
	returned, other := false, false
	for i := len(m.callers) - 1; i >= 0 && m.now.Sub(m.callTimes[i]) < modelConfig.Lease; i-- {
		returned = returned || other && m.callers[i] == h.name
		other = other || m.callers[i] != h.name
	}
	for rule, broken := range map[string]bool{
		"a fence is used by two hosts":                       used && holder != h.name,
		"a refused fence is used again":                      m.refused[a.Fence],
		"a window is reported with two counts":               reported && former != counts,
		"a host sends without a lease":                       !m.now.Before(h.leaseUntil),
		"a host sends after its successor has claimed":       a.Fence != m.state.Usage.Fence,
		"a host sends too soon after its last call":          m.now.Sub(h.lastCall) < callGap,
		"a host acts before and after another in lease time": returned,
	} {
		if broken {
			m.failures = append(m.failures, fmt.Sprintf("%v: %s: %s, fence %d, window %d", m.now.Sub(modelStart), rule, h.name, a.Fence, a.Window))
		}
	}
	m.holders[a.Fence], m.counts[a.Window], h.lastCall = h.name, counts, m.now
	m.callers, m.callTimes = append(m.callers, h.name), append(m.callTimes, m.now)
}

// execute executes a call at the platform.
func (m *model) execute(a Action) CallOutcome {
	if a.Fence < m.fence {
		return CallRefused
	}
	m.fence, m.accepted = a.Fence, max(m.accepted, a.Window)
	return CallAccepted
}
