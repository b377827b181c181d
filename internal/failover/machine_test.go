package failover

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
)

// rig drives one Machine by hand.
type rig struct {
	t       *testing.T
	m       *Machine
	now     time.Time
	view    View
	effects []Effect
}

var threeDomains = []Watcher{{Host: "h1", Domain: "d1"}, {Host: "h2", Domain: "d2"}, {Host: "h3", Domain: "d3"}}

func newRig(t *testing.T, watchers []Watcher) *rig {
	t.Helper()
	r := &rig{t: t, m: New(DefaultConfig()), now: time.Unix(0, 0)}
	r.view = View{
		Group: agreed.Group{
			Service: "s", Members: []string{"a", "b", "c"}, Term: 1, Primary: "a",
			Phase: agreed.PhaseActive, Timeline: 1, Changed: 10,
		},
		Size:       3,
		Members:    []Member{{Endpoint: "a", Domain: "d1"}, {Endpoint: "b", Domain: "d2"}, {Endpoint: "c", Domain: "d3"}},
		Electorate: NewElectorate(watchers),
	}
	r.send(r.view)
	return r
}

func (r *rig) send(ev Event) { r.effects = append(r.effects, r.m.Step(r.now, ev)...) }

func (r *rig) pass(d time.Duration) {
	r.now = r.now.Add(d)
	r.send(Tick{})
}

func (r *rig) see(w Watcher, endpoint string, c Condition) {
	r.send(Observation{Watcher: w.Host, Domain: w.Domain, Endpoint: endpoint, Condition: c})
}

// seeFor repeats an observation by the watchers for the given time.
func (r *rig) seeFor(d time.Duration, c Condition, endpoint string, watchers ...Watcher) {
	for end := r.now.Add(d); !r.now.After(end); r.pass(ProbeInterval) {
		for _, w := range watchers {
			r.see(w, endpoint, c)
		}
	}
}

func (r *rig) sealed() {
	r.view.Group.Term, r.view.Group.Phase, r.view.Group.Changed = 2, agreed.PhaseSealed, 11
	r.send(r.view)
}

func (r *rig) answer(endpoint string, c Condition) {
	r.send(Answer{Term: r.view.Group.Term, Endpoint: endpoint, Condition: c})
}

// commit takes the proposed choice into the view.
func (r *rig) commit(c Choose) {
	r.view.Group.Candidate, r.view.Group.ChooserTerm = c.Candidate, c.Chooser
	r.view.Group.Attempt++
	r.view.Group.Changed++
	r.send(r.view)
}

// last returns the latest effect of type E.
func last[E Effect](r *rig) (E, bool) {
	for i := len(r.effects) - 1; i >= 0; i-- {
		if e, ok := r.effects[i].(E); ok {
			return e, true
		}
	}
	var none E
	return none, false
}

func expect[E Effect](r *rig, want E) {
	r.t.Helper()
	if got, ok := last[E](r); !ok || !reflect.DeepEqual(got, want) {
		r.t.Fatalf("got %+v, want %+v; status %q", got, want, r.m.reason)
	}
}

func expectNone[E Effect](r *rig) {
	r.t.Helper()
	if got, ok := last[E](r); ok {
		r.t.Fatalf("unexpected %+v", got)
	}
}

func replica(position uint64) Condition {
	return Condition{Reachable: true, InRecovery: true, Timeline: 1, Position: position}
}

func primary(timeline uint32, position uint64) Condition {
	return Condition{Reachable: true, Timeline: timeline, Position: position}
}

var down = Condition{}

func TestOneHostIsNotEnough(t *testing.T) {
	r := newRig(t, threeDomains)
	r.seeFor(5*time.Second, down, "a", threeDomains[0])
	expectNone[Seal](r)
}

func TestOneHostOfASoleDomainIsNotEnough(t *testing.T) {
	hosts := []Watcher{{Host: "h1", Domain: "d1"}, {Host: "h2", Domain: "d1"}}
	r := newRig(t, hosts)
	r.seeFor(5*time.Second, down, "a", hosts[0])
	expectNone[Seal](r)
	r.seeFor(2*time.Second, down, "a", hosts...)
	if _, ok := last[Seal](r); !ok {
		t.Fatal("two of two hosts did not lead to a seal")
	}
}

func TestTheOnlyHostIsEnough(t *testing.T) {
	r := newRig(t, threeDomains[:1])
	r.seeFor(time.Second, down, "a", threeDomains[0])
	if _, ok := last[Seal](r); !ok {
		t.Fatal("the only host did not lead to a seal")
	}
}

func TestSuspicionNeedsItsTimeWithoutABreak(t *testing.T) {
	r := newRig(t, threeDomains)
	for range 10 {
		r.seeFor(2*ProbeInterval-1, down, "a", threeDomains[:2]...)
		r.seeFor(0, primary(1, 5), "a", threeDomains[:2]...)
	}
	expectNone[Seal](r)
}

func TestPrimaryInRecoveryOrOnOldTimelineIsSealed(t *testing.T) {
	for name, c := range map[string]Condition{"recovery": replica(9), "timeline": primary(7, 9)} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, threeDomains)
			r.seeFor(time.Second, c, "a", threeDomains[1:]...)
			if s, ok := last[Seal](r); !ok || s.Term != 1 {
				t.Fatalf("no seal of term 1: %+v", s)
			}
		})
	}
}

func TestNoPositionsBeforeTheSealIsSettled(t *testing.T) {
	r := newRig(t, threeDomains)
	r.sealed()
	r.send(Settled{Revision: 10})
	r.pass(10 * time.Second)
	expectNone[QueryPositions](r)
	r.send(Settled{Revision: 11})
	expect(r, QueryPositions{Service: "s", Term: 2, Endpoints: []string{"a", "b", "c"}})
}

func TestFailoverChoosesPromotesVerifiesActivates(t *testing.T) {
	r := newRig(t, threeDomains)
	r.sealed()
	r.send(Settled{Revision: 11})
	r.answer("b", replica(100))
	expectNone[Choose](r)
	r.answer("c", replica(120))
	expect(r, Choose{Service: "s", Term: 2, Candidate: "c", Attempt: 1})
	expectNone[Promote](r)
	r.commit(Choose{Candidate: "c"})
	expect(r, Promote{Service: "s", Term: 2, Endpoint: "c", Fence: 12})
	r.send(PromotionResult{Term: 2, Endpoint: "c", Fence: 12, Outcome: OrderAccepted})
	r.answer("c", replica(120))
	expectNone[Activate](r)
	r.answer("c", primary(2, 121))
	expect(r, Activate{Service: "s", Term: 2, Primary: "c", Timeline: 2})
}

func TestTwoOfThreeGoneWaitsAndSaysSo(t *testing.T) {
	r := newRig(t, threeDomains)
	r.sealed()
	r.send(Settled{Revision: 11})
	for range 100 {
		r.answer("b", replica(100))
		r.answer("c", down)
		r.pass(100 * time.Millisecond)
	}
	expectNone[Choose](r)
	if !strings.Contains(r.m.reason, "1 of 3 members answer, 2 are needed; no answer from a, c") {
		t.Fatalf("status %q", r.m.reason)
	}
}

func TestStrayPrimaryIsNotCounted(t *testing.T) {
	r := newRig(t, threeDomains)
	r.view.Group.Timeline = 3
	r.sealed()
	r.send(Settled{Revision: 11})
	r.answer("b", replica(100))
	r.answer("c", primary(2, 900)) // a former primary that came back
	r.answer("a", primary(2, 900)) // the primary restored to an old timeline
	expectNone[Choose](r)
	if !strings.Contains(r.m.reason, "must be rebuilt as replicas: a, c") {
		t.Fatalf("status %q", r.m.reason)
	}
}

func TestFormerPrimaryMayBeChosenByPosition(t *testing.T) {
	r := newRig(t, threeDomains)
	r.sealed()
	r.send(Settled{Revision: 11})
	r.answer("a", primary(1, 130))
	r.answer("b", replica(100))
	expect(r, Choose{Service: "s", Term: 2, Candidate: "a", Attempt: 1})
	r.commit(Choose{Candidate: "a"})
	r.answer("a", primary(1, 130))
	expect(r, Activate{Service: "s", Term: 2, Primary: "a", Timeline: 1})
}

func TestSuspectedPrimaryIsPassedOverForAnAcknowledgedMajority(t *testing.T) {
	r := newRig(t, threeDomains)
	r.seeFor(time.Second, down, "a", threeDomains[1:]...)
	r.sealed()
	r.send(Settled{Revision: 11})
	r.answer("a", primary(1, 130)) // only the control leader reaches it
	r.answer("b", replica(100))
	expectNone[Choose](r)
	r.answer("c", replica(90))
	expect(r, Choose{Service: "s", Term: 2, Candidate: "b", Attempt: 1})
}

func TestCandidateThatDiesIsReplaced(t *testing.T) {
	r := newRig(t, threeDomains)
	r.sealed()
	r.send(Settled{Revision: 11})
	r.answer("b", replica(100))
	r.answer("c", replica(120))
	r.commit(Choose{Candidate: "c"})
	for range 20 {
		r.answer("a", replica(125)) // restarted as a replica
		r.answer("b", replica(100))
		r.pass(100 * time.Millisecond)
	}
	expect(r, Choose{Service: "s", Term: 2, Candidate: "a", Attempt: 2})
	expectNone[Activate](r)
}

func TestNewLeaderContinuesWithTheRecordedCandidate(t *testing.T) {
	r := newRig(t, threeDomains)
	r.view.Group.Candidate = "c"
	r.sealed()
	r.m = New(DefaultConfig()) // settled is unknown to the new leader
	r.effects = nil
	r.send(r.view)
	expect(r, Promote{Service: "s", Term: 2, Endpoint: "c", Fence: 11})
	r.answer("c", primary(2, 121))
	expect(r, Activate{Service: "s", Term: 2, Primary: "c", Timeline: 2})
}

func TestFailedCommandIsProposedAgain(t *testing.T) {
	r := newRig(t, threeDomains)
	r.seeFor(time.Second, down, "a", threeDomains...)
	r.effects = nil
	r.send(CommandResult{Committed: false})
	r.seeFor(2*ProbeInterval, down, "a", threeDomains...)
	if _, ok := last[Seal](r); !ok {
		t.Fatal("the seal was not proposed again")
	}
}

func TestSwitchoverWaitsForTheLastPosition(t *testing.T) {
	r := newRig(t, threeDomains)
	r.view.Members[0].DomainOut = true
	r.send(r.view)
	expectNone[Seal](r)
	for _, e := range []string{"b", "c"} {
		r.seeFor(0, replica(1), e, threeDomains...)
	}
	if s, ok := last[Seal](r); !ok || !strings.Contains(s.Reason, "switchover: failure domain d1") {
		t.Fatalf("no seal for the switchover: %+v", s)
	}
	r.sealed()
	r.send(Settled{Revision: 11})
	r.answer("a", primary(1, 130))
	r.answer("b", replica(129))
	r.answer("c", replica(100))
	expectNone[Choose](r)
	r.answer("b", replica(130))
	expect(r, Choose{Service: "s", Term: 2, Candidate: "b", Attempt: 1})
}

// TestSwitchoverWaitsForRequestsInProgress takes the primary's failure domain out
// while its hosts have writes on their way.
func TestSwitchoverWaitsForRequestsInProgress(t *testing.T) {
	r := newRig(t, threeDomains)
	for _, e := range []string{"b", "c"} {
		r.seeFor(0, replica(1), e, threeDomains...)
	}
	r.view.Members[0].DomainOut = true
	r.send(r.view)
	r.pass(DefaultConfig().DrainTime / 2)
	expectNone[Seal](r)
	r.pass(DefaultConfig().DrainTime)
	if _, ok := last[Seal](r); !ok {
		t.Error("no seal for the switchover")
	}
	r = newRig(t, threeDomains)
	r.view.Members[0].DomainOut = true
	r.seeFor(time.Second, down, "a", threeDomains...)
	if s, ok := last[Seal](r); !ok || !strings.Contains(s.Reason, "lost") {
		t.Errorf("a lost primary is not replaced at once: %+v", s)
	}
}

func TestSwitchoverWaitIsBounded(t *testing.T) {
	r := newRig(t, threeDomains)
	r.view.Members[0].DomainOut = true
	r.sealed()
	r.send(Settled{Revision: 11})
	for range 40 {
		r.answer("a", primary(1, 130))
		r.answer("b", replica(129))
		r.answer("c", replica(100))
		r.pass(100 * time.Millisecond)
	}
	expect(r, Choose{Service: "s", Term: 2, Candidate: "b", Attempt: 1})
}

func TestFormingNeedsOnePrimary(t *testing.T) {
	r := newRig(t, threeDomains)
	r.view.Group = agreed.Group{Service: "s", Members: []string{"a", "b", "c"}, Phase: agreed.PhaseForming}
	r.send(r.view)
	r.answer("a", primary(4, 10))
	r.answer("b", primary(4, 10))
	r.answer("c", replica(10))
	expectNone[Activate](r)
	r.answer("b", replica(10))
	expect(r, Activate{Service: "s", Term: 1, Primary: "a", Timeline: 4})
}

func TestWatchersAreOnePerDomain(t *testing.T) {
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

func TestEndpointOnASecondHistoryIsNotCounted(t *testing.T) {
	r := newRig(t, threeDomains)
	r.view.Group.Timeline = 2
	r.sealed()
	r.send(Settled{Revision: 11})
	b := replica(100)
	b.Timeline = 2
	r.answer("b", b)
	r.answer("c", primary(2, 900)) // promoted once, but never activated
	expectNone[Choose](r)
}

func TestLaterTimelineGoesBeforePosition(t *testing.T) {
	r := newRig(t, threeDomains)
	r.view.Group.Timeline = 2
	r.sealed()
	r.send(Settled{Revision: 11})
	c := replica(100)
	c.Timeline = 2
	r.answer("b", replica(500)) // a tail of timeline 1 that was never agreed
	r.answer("c", c)
	expect(r, Choose{Service: "s", Term: 2, Candidate: "c", Attempt: 1})
}

func TestAnswersOfAnotherTermAreIgnored(t *testing.T) {
	r := newRig(t, threeDomains)
	r.sealed()
	r.send(Settled{Revision: 11})
	for _, endpoint := range []string{"a", "b", "c"} {
		r.send(Answer{Term: 1, Endpoint: endpoint, Condition: replica(100)})
	}
	expectNone[Choose](r)
}

func TestLostPrimaryInADomainThatIsOutIsReplacedAtOnce(t *testing.T) {
	r := newRig(t, threeDomains)
	r.view.Members[0].DomainOut = true
	r.view.Members[1].DomainOut = true
	r.send(r.view)
	r.seeFor(time.Second, down, "a", threeDomains...)
	r.sealed()
	r.send(Settled{Revision: 11})
	r.answer("b", replica(130))
	expectNone[Choose](r)
	r.answer("c", replica(130))
	expect(r, Choose{Service: "s", Term: 2, Candidate: "c", Attempt: 1})
}

func TestDomainInUseGoesBeforeAnUnacknowledgedTail(t *testing.T) {
	r := newRig(t, threeDomains)
	r.view.Members[1].DomainOut = true
	r.sealed()
	r.send(Settled{Revision: 11})
	r.answer("a", replica(100)) // restarted as a replica
	r.answer("b", replica(120))
	expectNone[Choose](r)
	r.answer("c", replica(110))
	expect(r, Choose{Service: "s", Term: 2, Candidate: "c", Attempt: 1})
}

func TestFormerMembersAreForgotten(t *testing.T) {
	r := newRig(t, threeDomains)
	r.seeFor(time.Second, replica(1), "c", threeDomains...)
	r.view.Group.Members = []string{"a", "b"}
	r.view.Members = r.view.Members[:2]
	r.send(r.view)
	for key := range r.m.reports {
		t.Errorf("kept %+v", key)
	}
}
