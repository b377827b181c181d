package failover

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/note"
)

// harness drives one Machine with single events and collects its effects.
type harness struct {
	t       *testing.T
	m       *Machine
	now     time.Time
	view    View
	effects []Effect
}

var threeDomains = []Watcher{{Host: "h1", Domain: "d1"}, {Host: "h2", Domain: "d2"}, {Host: "h3", Domain: "d3"}}

func newHarness(t *testing.T, watchers []Watcher) *harness {
	t.Helper()
	h := &harness{t: t, m: New(DefaultConfig()), now: time.Unix(0, 0)}
	h.view = View{
		Group: agreed.Group{
			Service: "s", Members: []string{"a", "b", "c"}, Term: 1, Primary: "a",
			Phase: agreed.PhaseActive, Timeline: 1, Changed: 10,
		},
		Size:       3,
		Members:    []Member{{Endpoint: "a", Domain: "d1"}, {Endpoint: "b", Domain: "d2"}, {Endpoint: "c", Domain: "d3"}},
		Electorate: NewElectorate(watchers),
	}
	h.send(h.view)
	return h
}

func (h *harness) send(ev Event) { h.effects = append(h.effects, h.m.Step(h.now, ev)...) }

// advance moves the time on and sends a Tick.
func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.send(Tick{})
}

func (h *harness) observe(w Watcher, endpoint string, c Condition) {
	h.send(Observation{Watcher: w.Host, Domain: w.Domain, Endpoint: endpoint, Condition: c})
}

// observeFor repeats an observation by the watchers for the given time, once per
// ProbeInterval.
func (h *harness) observeFor(d time.Duration, c Condition, endpoint string, watchers ...Watcher) {
	for end := h.now.Add(d); !h.now.After(end); h.advance(ProbeInterval) {
		for _, w := range watchers {
			h.observe(w, endpoint, c)
		}
	}
}

// seal sends a view in which the group is sealed in term 2 at revision 11.
func (h *harness) seal() {
	h.view.Group.Term, h.view.Group.Phase, h.view.Group.Changed = 2, agreed.PhaseSealed, 11
	h.send(h.view)
}

func (h *harness) answer(endpoint string, c Condition) {
	h.send(Answer{Term: h.view.Group.Term, Endpoint: endpoint, Condition: c})
}

// commit sends a view in which the proposed choice is recorded.
func (h *harness) commit(c Choose) {
	h.view.Group.Candidate, h.view.Group.ChooserTerm = c.Candidate, c.ChooserTerm
	h.view.Group.Attempt++
	h.view.Group.Changed++
	h.send(h.view)
}

// last returns the latest effect of type E.
func last[E Effect](h *harness) (E, bool) {
	for i := len(h.effects) - 1; i >= 0; i-- {
		if e, ok := h.effects[i].(E); ok {
			return e, true
		}
	}
	var none E
	return none, false
}

func expect[E Effect](h *harness, want E) {
	h.t.Helper()
	if got, ok := last[E](h); !ok || !reflect.DeepEqual(got, want) {
		h.t.Fatalf("got %+v, want %+v; status %q", got, want, h.m.reason)
	}
}

func expectNone[E Effect](h *harness) {
	h.t.Helper()
	if got, ok := last[E](h); ok {
		h.t.Fatalf("unexpected %+v", got)
	}
}

func replica(position uint64) Condition {
	return Condition{Reachable: true, InRecovery: true, Timeline: 1, Position: position}
}

func primary(timeline uint32, position uint64) Condition {
	return Condition{Reachable: true, Timeline: timeline, Position: position}
}

var down = Condition{}

func TestSealNeedsMajorityOfDomains(t *testing.T) {
	h := newHarness(t, threeDomains)
	h.observeFor(5*time.Second, down, "a", threeDomains[0])
	expectNone[Seal](h)
}

func TestSealNeedsMajorityOfHostsInSingleDomain(t *testing.T) {
	hosts := []Watcher{{Host: "h1", Domain: "d1"}, {Host: "h2", Domain: "d1"}}
	h := newHarness(t, hosts)
	h.observeFor(5*time.Second, down, "a", hosts[0])
	expectNone[Seal](h)
	h.observeFor(2*time.Second, down, "a", hosts...)
	if _, ok := last[Seal](h); !ok {
		t.Fatal("the reports of two of two hosts did not cause a seal")
	}
}

func TestSealBySingleHost(t *testing.T) {
	h := newHarness(t, threeDomains[:1])
	h.observeFor(time.Second, down, "a", threeDomains[0])
	if _, ok := last[Seal](h); !ok {
		t.Fatal("the reports of the only host did not cause a seal")
	}
}

func TestSuspicionNeedsUnbrokenLoss(t *testing.T) {
	h := newHarness(t, threeDomains)
	for range 10 {
		h.observeFor(2*ProbeInterval-1, down, "a", threeDomains[:2]...)
		h.observeFor(0, primary(1, 5), "a", threeDomains[:2]...)
	}
	expectNone[Seal](h)
}

func TestSealPrimaryInRecoveryOrOnOtherTimeline(t *testing.T) {
	for name, c := range map[string]Condition{"recovery": replica(9), "timeline": primary(7, 9)} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, threeDomains)
			h.observeFor(time.Second, c, "a", threeDomains[1:]...)
			if s, ok := last[Seal](h); !ok || s.Term != 1 {
				t.Fatalf("no seal of term 1: %+v", s)
			}
		})
	}
}

func TestQueryPositionsOnlyAfterSealIsSettled(t *testing.T) {
	h := newHarness(t, threeDomains)
	h.seal()
	h.send(Settled{Revision: 10})
	h.advance(10 * time.Second)
	expectNone[QueryPositions](h)
	h.send(Settled{Revision: 11})
	expect(h, QueryPositions{Service: "s", Term: 2, Endpoints: []string{"a", "b", "c"}})
}

func TestFailoverSequence(t *testing.T) {
	h := newHarness(t, threeDomains)
	h.seal()
	h.send(Settled{Revision: 11})
	h.answer("b", replica(100))
	expectNone[Choose](h)
	h.answer("c", replica(120))
	expect(h, Choose{Service: "s", Term: 2, Candidate: "c", Attempt: 1})
	expectNone[Promote](h)
	h.commit(Choose{Candidate: "c"})
	expect(h, Promote{Service: "s", Term: 2, Endpoint: "c", Fence: 12})
	h.send(PromotionResult{Term: 2, Endpoint: "c", Fence: 12, Outcome: OrderAccepted})
	h.answer("c", replica(120))
	expectNone[Activate](h)
	h.answer("c", primary(2, 121))
	expect(h, Activate{Service: "s", Term: 2, Primary: "c", Timeline: 2})
}

func TestChooseReportsMissingMajority(t *testing.T) {
	h := newHarness(t, threeDomains)
	h.seal()
	h.send(Settled{Revision: 11})
	for range 100 {
		h.answer("b", replica(100))
		h.answer("c", down)
		h.advance(100 * time.Millisecond)
	}
	expectNone[Choose](h)
	if !strings.Contains(h.m.reason, "1 of 3 members answer, 2 are needed; no answer from a, c") {
		t.Fatalf("status %q", h.m.reason)
	}
}

func TestChooseIgnoresDivergedPrimary(t *testing.T) {
	h := newHarness(t, threeDomains)
	h.view.Group.Timeline = 3
	h.seal()
	h.send(Settled{Revision: 11})
	h.answer("b", replica(100))
	h.answer("c", primary(2, 900)) // a former primary of an older term
	h.answer("a", primary(2, 900)) // the primary restored to an old timeline
	expectNone[Choose](h)
	if !strings.Contains(h.m.reason, "must be rebuilt as replicas: a, c") {
		t.Fatalf("status %q", h.m.reason)
	}
}

func TestChooseFormerPrimaryByPosition(t *testing.T) {
	h := newHarness(t, threeDomains)
	h.seal()
	h.send(Settled{Revision: 11})
	h.answer("a", primary(1, 130))
	h.answer("b", replica(100))
	expect(h, Choose{Service: "s", Term: 2, Candidate: "a", Attempt: 1})
	h.commit(Choose{Candidate: "a"})
	h.answer("a", primary(1, 130))
	expect(h, Activate{Service: "s", Term: 2, Primary: "a", Timeline: 1})
}

func TestChooseCompleteReplicaOverSuspectedPrimary(t *testing.T) {
	h := newHarness(t, threeDomains)
	h.observeFor(time.Second, down, "a", threeDomains[1:]...)
	h.seal()
	h.send(Settled{Revision: 11})
	h.answer("a", primary(1, 130)) // reachable only from the control leader
	h.answer("b", replica(100))
	expectNone[Choose](h)
	h.answer("c", replica(90))
	expect(h, Choose{Service: "s", Term: 2, Candidate: "b", Attempt: 1})
}

func TestChooseReplacesFailedCandidate(t *testing.T) {
	h := newHarness(t, threeDomains)
	h.seal()
	h.send(Settled{Revision: 11})
	h.answer("b", replica(100))
	h.answer("c", replica(120))
	h.commit(Choose{Candidate: "c"})
	for range 20 {
		h.answer("a", replica(125)) // restarted as a replica
		h.answer("b", replica(100))
		h.advance(100 * time.Millisecond)
	}
	expect(h, Choose{Service: "s", Term: 2, Candidate: "a", Attempt: 2})
	expectNone[Activate](h)
}

func TestNewLeaderPromotesRecordedCandidate(t *testing.T) {
	h := newHarness(t, threeDomains)
	h.view.Group.Candidate = "c"
	h.seal()
	h.m = New(DefaultConfig()) // the new leader has no settled revision yet
	h.effects = nil
	h.send(h.view)
	expect(h, Promote{Service: "s", Term: 2, Endpoint: "c", Fence: 11})
	h.answer("c", primary(2, 121))
	expect(h, Activate{Service: "s", Term: 2, Primary: "c", Timeline: 2})
}

func TestProposeRepeatsFailedCommand(t *testing.T) {
	h := newHarness(t, threeDomains)
	h.observeFor(time.Second, down, "a", threeDomains...)
	h.effects = nil
	h.send(CommandResult{Committed: false})
	h.observeFor(2*ProbeInterval, down, "a", threeDomains...)
	if _, ok := last[Seal](h); !ok {
		t.Fatal("the seal was not proposed again")
	}
}

func TestSwitchoverWaitsForLastPosition(t *testing.T) {
	h := newHarness(t, threeDomains)
	h.view.Members[0].DomainOut = true
	h.send(h.view)
	expectNone[Seal](h)
	for _, e := range []string{"b", "c"} {
		h.observeFor(0, replica(1), e, threeDomains...)
	}
	if s, ok := last[Seal](h); !ok || !strings.Contains(s.Reason, "switchover: failure domain d1") {
		t.Fatalf("no seal for the switchover: %+v", s)
	}
	h.seal()
	h.send(Settled{Revision: 11})
	h.answer("a", primary(1, 130))
	h.answer("b", replica(129))
	h.answer("c", replica(100))
	expectNone[Choose](h)
	h.answer("b", replica(130))
	expect(h, Choose{Service: "s", Term: 2, Candidate: "b", Attempt: 1})
}

// TestSwitchoverWaitsForRequestsInProgress guards against a planned switchover that
// seals the term while hosts still have writes in progress, whose acknowledgements
// would be lost. A lost primary must be sealed without that wait.
func TestSwitchoverWaitsForRequestsInProgress(t *testing.T) {
	h := newHarness(t, threeDomains)
	for _, e := range []string{"b", "c"} {
		h.observeFor(0, replica(1), e, threeDomains...)
	}
	h.view.Members[0].DomainOut = true
	h.send(h.view)
	h.advance(DefaultConfig().DrainTime / 2)
	expectNone[Seal](h)
	h.advance(DefaultConfig().DrainTime)
	if _, ok := last[Seal](h); !ok {
		t.Error("no seal for the switchover")
	}
	h = newHarness(t, threeDomains)
	h.view.Members[0].DomainOut = true
	h.observeFor(time.Second, down, "a", threeDomains...)
	if s, ok := last[Seal](h); !ok || !strings.Contains(s.Reason, "lost") {
		t.Errorf("no immediate seal of a lost primary: %+v", s)
	}
}

func TestSwitchoverWaitIsBounded(t *testing.T) {
	h := newHarness(t, threeDomains)
	h.view.Members[0].DomainOut = true
	h.seal()
	h.send(Settled{Revision: 11})
	for range 40 {
		h.answer("a", primary(1, 130))
		h.answer("b", replica(129))
		h.answer("c", replica(100))
		h.advance(100 * time.Millisecond)
	}
	expect(h, Choose{Service: "s", Term: 2, Candidate: "b", Attempt: 1})
}

func TestFormingNeedsSinglePrimary(t *testing.T) {
	h := newHarness(t, threeDomains)
	h.view.Group = agreed.Group{Service: "s", Members: []string{"a", "b", "c"}, Phase: agreed.PhaseForming}
	h.send(h.view)
	h.answer("a", primary(4, 10))
	h.answer("b", primary(4, 10))
	h.answer("c", replica(10))
	expectNone[Activate](h)
	h.answer("b", replica(10))
	expect(h, Activate{Service: "s", Term: 1, Primary: "a", Timeline: 4})
}

func TestElectorateSelectsOneWatcherPerDomain(t *testing.T) {
	e := NewElectorate([]Watcher{{Host: "h1", Domain: "d1"}, {Host: "h2", Domain: "d1"}, {Host: "h3", Domain: "d2"}, {Host: "h4", Domain: "d2"}})
	spread := map[string]bool{}
	for _, endpoint := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		chosen := e.Watchers(endpoint)
		if len(chosen) != 2 || chosen[0].Domain == chosen[1].Domain {
			t.Fatalf("watchers of %s: %v", endpoint, chosen)
		}
		spread[chosen[0].Host] = true
	}
	if len(spread) != 2 {
		t.Fatalf("all endpoints are watched by the same host: %v", spread)
	}
}

func TestChooseIgnoresPromotionNeverActivated(t *testing.T) {
	h := newHarness(t, threeDomains)
	h.view.Group.Timeline = 2
	h.seal()
	h.send(Settled{Revision: 11})
	b := replica(100)
	b.Timeline = 2
	h.answer("b", b)
	h.answer("c", primary(2, 900)) // promoted earlier, but never activated
	expectNone[Choose](h)
}

func TestChooseComparesTimelineBeforePosition(t *testing.T) {
	h := newHarness(t, threeDomains)
	h.view.Group.Timeline = 2
	h.seal()
	h.send(Settled{Revision: 11})
	c := replica(100)
	c.Timeline = 2
	h.answer("b", replica(500)) // a tail of timeline 1 that was never agreed
	h.answer("c", c)
	expect(h, Choose{Service: "s", Term: 2, Candidate: "c", Attempt: 1})
}

func TestAnswerOfOtherTermIsIgnored(t *testing.T) {
	h := newHarness(t, threeDomains)
	h.seal()
	h.send(Settled{Revision: 11})
	for _, endpoint := range []string{"a", "b", "c"} {
		h.send(Answer{Term: 1, Endpoint: endpoint, Condition: replica(100)})
	}
	expectNone[Choose](h)
}

func TestSealLostPrimaryInDomainOutOfUse(t *testing.T) {
	h := newHarness(t, threeDomains)
	h.view.Members[0].DomainOut = true
	h.view.Members[1].DomainOut = true
	h.send(h.view)
	h.observeFor(time.Second, down, "a", threeDomains...)
	h.seal()
	h.send(Settled{Revision: 11})
	h.answer("b", replica(130))
	expectNone[Choose](h)
	h.answer("c", replica(130))
	expect(h, Choose{Service: "s", Term: 2, Candidate: "c", Attempt: 1})
}

func TestChoosePrefersDomainInUseOverUnacknowledgedTail(t *testing.T) {
	h := newHarness(t, threeDomains)
	h.view.Members[1].DomainOut = true
	h.seal()
	h.send(Settled{Revision: 11})
	h.answer("a", replica(100)) // restarted as a replica
	h.answer("b", replica(120))
	expectNone[Choose](h)
	h.answer("c", replica(110))
	expect(h, Choose{Service: "s", Term: 2, Candidate: "c", Attempt: 1})
}

func TestViewDropsReportsOnFormerMembers(t *testing.T) {
	h := newHarness(t, threeDomains)
	h.observeFor(time.Second, replica(1), "c", threeDomains...)
	h.view.Group.Members = []string{"a", "b"}
	h.view.Members = h.view.Members[:2]
	h.send(h.view)
	for key := range h.m.reports {
		t.Errorf("report of a former member was kept: %+v", key)
	}
}

// TestFormingGroupWithoutPrimary guards against a service that is never served, since its primary was lost
// before its group was first active (review/14).
func TestFormingGroupWithoutPrimary(t *testing.T) {
	for name, c := range map[string]struct {
		ack     note.AckPolicy
		primary bool // one answers out of recovery halfway
		sealed  bool
	}{
		"lost":                            {note.AckReplicas, false, true},
		"late":                            {note.AckReplicas, true, false},
		"endpoints that do not roll back": {"", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, threeDomains)
			h.view.Group = agreed.Group{Service: "s", Members: []string{"a", "b", "c"}, Phase: agreed.PhaseForming, Changed: 10}
			h.view.Ack = c.ack
			h.send(h.view)
			h.effects = nil
			sealed, activated := false, false
			for elapsed := time.Duration(0); elapsed < 2*h.m.cfg.FormingGrace && !sealed && !activated; elapsed += 200 * time.Millisecond {
				if elapsed < h.m.cfg.FormingGrace && sealed {
					t.Error("sealed before FormingGrace")
				}
				h.answer("b", Condition{Reachable: true, InRecovery: true, Timeline: 3, Position: 7})
				h.answer("c", Condition{Reachable: true, InRecovery: true, Timeline: 3, Position: 9})
				if c.primary && elapsed > h.m.cfg.FormingGrace/2 {
					h.answer("a", Condition{Reachable: true, Timeline: 3, Position: 9})
				}
				h.advance(200 * time.Millisecond)
				for _, e := range h.effects {
					switch e := e.(type) {
					case Seal:
						sealed = true
						if e.Term != 0 {
							t.Errorf("sealed in term %d", e.Term)
						}
					case Activate:
						activated = true
					}
				}
			}
			if sealed != c.sealed || activated != c.primary {
				t.Errorf("sealed %t, activated %t; want sealed %t, activated %t", sealed, activated, c.sealed, c.primary)
			}
		})
	}
}
