package failover

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
)

// The simulation computes the time from a fault to the next active term, with assumed
// times for messages, commands and the promotion itself. It measures the policy, not
// running processes.
const (
	simTick     = 5 * time.Millisecond
	simMessage  = 5 * time.Millisecond   // round trip between hosts
	simCommand  = 10 * time.Millisecond  // propose, sync and apply everywhere
	simPromote  = 150 * time.Millisecond // promotion by the database server
	simTimeout  = 2 * ProbeInterval      // of a probe
	simRenew    = 700 * time.Millisecond
	simElection = time.Second // at most, after the loss of a leader
	simHosts    = 9
)

// scenario is a fault at time zero.
type scenario struct {
	name string
	// refused is set when probes of the primary fail at once, not after a timeout.
	refused bool
	// hostsWithPrimary is the number of hosts that still reach the primary and are
	// isolated from the control leader.
	hostsWithPrimary int
	// leaderLost is set when the control leader is lost at the same time.
	leaderLost bool
	// bound is the longest gap that the simulation may show.
	bound time.Duration
}

var scenarios = []scenario{
	{"primary killed", true, 0, false, 3 * time.Second},
	{"primary isolated", false, 0, false, 3 * time.Second},
	{"primary isolated with one host", false, 1, false, 5 * time.Second},
	{"primary killed, control leader lost", true, 0, true, 5 * time.Second},
	{"primary isolated with one host, control leader lost", false, 1, true, 7 * time.Second},
}

type simulation struct {
	scenario
	rnd       *rand.Rand
	now       time.Time
	machine   *Machine
	group     agreed.Group
	revision  uint64
	leaseEnds []time.Time // of the hosts that still reach the primary
	electedAt time.Time
	probes    []simProbe
	events    []delayed
	promoted  bool
}

// simProbe is a watcher with the time of its next probe.
type simProbe struct {
	watcher Watcher
	at      time.Time
}

var simStart = time.Unix(0, 0)

func newSimulation(s scenario, seed uint64) *simulation {
	sim := &simulation{
		scenario: s, rnd: rand.New(rand.NewPCG(seed, 9)), now: simStart,
		revision: 1, electedAt: simStart,
		group: agreed.Group{Service: "s", Members: []string{"a", "b", "c"}, Term: 1, Primary: "a", Phase: agreed.PhaseActive, Timeline: 1},
	}
	for range s.hostsWithPrimary {
		sim.leaseEnds = append(sim.leaseEnds, simStart.Add(grantLease-sim.upTo(simRenew)))
	}
	for _, w := range sim.view().Electorate.Watchers("a") {
		sim.probes = append(sim.probes, simProbe{watcher: w, at: simStart.Add(sim.upTo(ProbeInterval))})
	}
	if s.leaderLost {
		sim.electedAt = simStart.Add(simElection/2 + sim.upTo(simElection/2))
	}
	return sim
}

// upTo returns a random duration below d.
func (s *simulation) upTo(d time.Duration) time.Duration {
	return time.Duration(s.rnd.Int64N(int64(d)))
}

func (s *simulation) view() View {
	var watchers []Watcher
	for i := range simHosts - s.hostsWithPrimary {
		watchers = append(watchers, Watcher{Host: fmt.Sprintf("h%d", i), Domain: fmt.Sprintf("d%d", i%4)})
	}
	return View{
		Group: s.group, Size: 3, Electorate: NewElectorate(watchers),
		Members: []Member{{Endpoint: "a", Domain: "d0"}, {Endpoint: "b", Domain: "d1"}, {Endpoint: "c", Domain: "d2"}},
	}
}

// run returns the time until a new term is active, at most one minute.
func (s *simulation) run() time.Duration {
	for s.group.Term == 1 || s.group.Phase != agreed.PhaseActive {
		s.now = s.now.Add(simTick)
		if s.now.Sub(simStart) > time.Minute {
			return time.Minute
		}
		if s.machine == nil && !s.now.Before(s.electedAt) {
			s.machine = New(DefaultConfig())
			s.step(s.view())
		}
		s.probe()
		s.deliver()
		if s.machine != nil {
			s.step(Settled{Revision: s.settled()})
			s.step(Tick{})
		}
	}
	return s.now.Sub(simStart)
}

func (s *simulation) settled() uint64 {
	for _, end := range s.leaseEnds {
		if s.now.Before(end) {
			return 1
		}
	}
	if s.leaderLost && s.hostsWithPrimary > 0 && s.now.Before(s.electedAt.Add(grantLease)) {
		return 1
	}
	return s.revision
}

// probe schedules the observations of the watchers whose probe is due.
func (s *simulation) probe() {
	for i := range s.probes {
		p := &s.probes[i]
		if s.now.Before(p.at) {
			continue
		}
		wait := simMessage
		if !s.refused {
			wait += simTimeout
		}
		p.at = p.at.Add(max(ProbeInterval, wait))
		s.schedule(wait, Observation{Watcher: p.watcher.Host, Domain: p.watcher.Domain, Endpoint: "a"})
	}
}

func (s *simulation) schedule(wait time.Duration, ev Event) {
	s.events = append(s.events, delayed{at: s.now.Add(wait), event: ev})
}

func (s *simulation) deliver() {
	due := s.events
	s.events = nil
	for _, d := range due {
		switch {
		case d.at.After(s.now):
			s.events = append(s.events, d)
		case s.machine != nil:
			s.step(d.event)
		}
	}
}

func (s *simulation) step(ev Event) {
	switch e := ev.(type) {
	case commitEvent:
		e.apply(s)
		s.revision++
		s.group.Changed = s.revision
		ev = s.view()
	case PromotionResult:
		s.promoted = true
	}
	for _, effect := range s.machine.Step(s.now, ev) {
		s.apply(effect)
	}
}

// commitEvent carries a command that is about to be applied.
type commitEvent struct{ command Effect }

func (commitEvent) isEvent() {}

func (c commitEvent) apply(s *simulation) {
	switch e := c.command.(type) {
	case Seal:
		s.group.Term, s.group.Phase = e.Term+1, agreed.PhaseSealed
	case Choose:
		s.group.Candidate, s.group.ChooserTerm, s.group.Attempt = e.Candidate, e.ChooserTerm, e.Attempt
	case Activate:
		s.group.Phase, s.group.Primary, s.group.Candidate = agreed.PhaseActive, e.Primary, ""
	}
}

func (s *simulation) apply(effect Effect) {
	switch e := effect.(type) {
	case Seal, Choose, Activate:
		s.schedule(simCommand, commitEvent{command: e})
	case QueryPositions:
		for _, id := range e.Endpoints {
			if id == "a" {
				continue
			}
			c := Condition{Reachable: true, InRecovery: true, Timeline: 1, Position: 100}
			if s.promoted && id == s.group.Candidate {
				c.InRecovery, c.Timeline = false, 2
			}
			s.schedule(simMessage, Answer{Term: e.Term, Endpoint: id, Condition: c})
		}
	case Promote:
		s.schedule(simPromote, PromotionResult{Term: e.Term, Endpoint: e.Endpoint, Fence: e.Fence, Outcome: OrderAccepted})
	}
}

// TestSimulatedFailoverGap bounds the time without a primary in each scenario.
func TestSimulatedFailoverGap(t *testing.T) {
	const runs = 20
	var table strings.Builder
	for _, s := range scenarios {
		var gaps []time.Duration
		for seed := range uint64(runs) {
			gaps = append(gaps, newSimulation(s, seed).run())
		}
		slices.Sort(gaps)
		worst := gaps[runs-1]
		fmt.Fprintf(&table, "\n%-55s p50 %4d ms  worst %4d ms  (%d ticks of 100 ms)", s.name,
			gaps[runs/2].Milliseconds(), worst.Milliseconds(), worst.Milliseconds()/100)
		if worst > s.bound {
			t.Errorf("%s: worst gap %s, bound %s", s.name, worst, s.bound)
		}
	}
	t.Log(table.String())
}
