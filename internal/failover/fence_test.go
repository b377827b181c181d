package failover

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/note"
)

// delayedOrder is an order to promote that the platform executes at a later time.
type delayedOrder struct {
	endpoint string
	fence    uint64
	at       time.Time
}

// delayingPlatform simulates a platform and one group. It may execute orders seconds
// late, or never answer them, and checks the fence when it executes an order.
type delayingPlatform struct {
	t     *rapid.T
	rng   *rand.Rand
	m     *Machine
	now   time.Time
	group agreed.Group

	primary      string // the endpoint out of recovery on the highest timeline
	timeline     uint32
	highestFence uint64 // of the executed orders
	pending      []delayedOrder
	fences       map[uint64]string // leader and endpoint of each used fence
	chooserTerm  uint64
	// active is the primary that hosts write to, empty while the group is sealed.
	active string
}

func newDelayingPlatform(t *rapid.T, seed uint64) *delayingPlatform {
	p := &delayingPlatform{
		t: t, rng: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(0, 0),
		primary: "a", timeline: 1, fences: map[uint64]string{},
		group: agreed.Group{
			Service: "s", Members: []string{"a", "b", "c"}, Term: 2, Primary: "a",
			Phase: agreed.PhaseSealed, Timeline: 1, Changed: 20,
		},
	}
	p.startLeader()
	return p
}

// startLeader starts a new control leader, which has only the agreed state.
func (p *delayingPlatform) startLeader() {
	p.chooserTerm++
	cfg := DefaultConfig()
	cfg.Fenced, cfg.ChooserTerm = true, p.chooserTerm
	p.m = New(cfg)
	p.step(Settled{Revision: p.group.Changed})
	p.sendView()
}

// sendView sends the agreed state of the group to the machine.
func (p *delayingPlatform) sendView() {
	v := View{Group: p.group, Ack: note.AckReplicas, Electorate: NewElectorate(threeDomains)}
	for _, id := range p.group.Members {
		v.Members = append(v.Members, Member{Endpoint: id, Domain: "d-" + id})
	}
	p.step(v)
}

func (p *delayingPlatform) step(ev Event) {
	for _, effect := range p.m.Step(p.now, ev) {
		p.apply(effect)
	}
}

func (p *delayingPlatform) apply(effect Effect) {
	switch e := effect.(type) {
	case QueryPositions:
		for _, id := range e.Endpoints {
			if id == "a" && p.primary == "a" {
				continue // the lost primary
			}
			c := Condition{Reachable: p.rng.IntN(4) > 0, InRecovery: id != p.primary, Timeline: 1, Position: 100}
			if id == p.primary {
				c.Timeline = p.timeline
			}
			p.step(Answer{Term: e.Term, Endpoint: id, Condition: c})
		}
	case Choose:
		p.commit(func(g *agreed.Group) { g.Candidate, g.ChooserTerm, g.Attempt = e.Candidate, e.ChooserTerm, e.Attempt })
	case Activate:
		p.commit(func(g *agreed.Group) { g.Phase, g.Primary = agreed.PhaseActive, e.Primary })
		p.active = e.Primary
	case Promote:
		p.order(e)
	}
}

// commit applies a change to the agreed state of the group.
func (p *delayingPlatform) commit(change func(g *agreed.Group)) {
	change(&p.group)
	p.group.Changed++
	p.sendView()
}

// order executes an order at once and answers it, or executes it later without an
// answer, or drops it.
func (p *delayingPlatform) order(e Promote) {
	owner := fmt.Sprint(p.chooserTerm, e.Endpoint)
	if former, used := p.fences[e.Fence]; used {
		p.t.Fatalf("fence %d used by %s and again by %s", e.Fence, former, owner)
	}
	p.fences[e.Fence] = owner
	outcome := OrderUnknown
	switch p.rng.IntN(4) {
	case 0:
		p.pending = append(p.pending, delayedOrder{e.Endpoint, e.Fence, p.now.Add(time.Duration(2+p.rng.IntN(10)) * time.Second)})
	case 1:
	default:
		if p.execute(delayedOrder{endpoint: e.Endpoint, fence: e.Fence}) {
			outcome = OrderAccepted
		}
	}
	p.step(PromotionResult{Term: e.Term, Endpoint: e.Endpoint, Fence: e.Fence, Outcome: outcome})
}

// execute carries an order out unless a higher fence was executed before.
func (p *delayingPlatform) execute(o delayedOrder) bool {
	if o.fence < p.highestFence {
		return false
	}
	p.highestFence = o.fence
	if p.primary != o.endpoint {
		p.primary = o.endpoint
		p.timeline++
	}
	if p.active != "" && p.primary != p.active {
		p.t.Fatalf("%s was promoted by a delayed order while %s was active", p.primary, p.active)
	}
	return true
}

// advance moves the time on, executes the delayed orders that are due and sends a
// Tick.
func (p *delayingPlatform) advance(d time.Duration) {
	p.now = p.now.Add(d)
	for i := 0; i < len(p.pending); i++ {
		if o := p.pending[i]; !p.now.Before(o.at) {
			p.pending = append(p.pending[:i:i], p.pending[i+1:]...)
			i--
			p.execute(o)
		}
	}
	p.step(Tick{})
}

// TestDelayedOrdersNeverReplaceActivePrimary guards against a promotion order that
// is executed late, after another primary was activated. The platform drops, delays
// and answers orders at random while the control leader changes.
func TestDelayedOrdersNeverReplaceActivePrimary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newDelayingPlatform(t, rapid.Uint64().Draw(t, "seed"))
		for range 600 {
			if p.active == "" && p.rng.IntN(60) == 0 {
				p.startLeader()
			}
			p.advance(100 * time.Millisecond)
		}
		if p.active == "" {
			t.Fatalf("the group did not become active: %+v, %s", p.group, p.m.reason)
		}
	})
}

func TestChooseHighestPositionAmongReplicas(t *testing.T) {
	h := newHarness(t, threeDomains)
	h.view.Ack = note.AckReplicas
	h.seal()
	h.send(Settled{Revision: 11})
	h.answer("b", replica(100))
	expectNone[Choose](h) // another member may hold more
	h.answer("c", replica(120))
	h.advance(DefaultConfig().PositionGrace)
	expect(h, Choose{Service: "s", Term: 2, Candidate: "c", Attempt: 1})
}

func TestChooseSingleReplicaAfterPositionGrace(t *testing.T) {
	h := newHarness(t, threeDomains)
	h.view.Ack = note.AckReplicas
	h.seal()
	h.send(Settled{Revision: 11})
	h.answer("b", replica(100))
	h.advance(DefaultConfig().PositionGrace)
	expect(h, Choose{Service: "s", Term: 2, Candidate: "b", Attempt: 1})
}

// TestChooseWaitsForSynchronousReplicas guards against the loss of a commit that one
// synchronous replica acknowledged: any replica may be the one that holds it.
func TestChooseWaitsForSynchronousReplicas(t *testing.T) {
	h := newHarness(t, threeDomains)
	h.view.Ack, h.view.SyncReplicas = note.AckReplicas, 1
	h.seal()
	h.send(Settled{Revision: 11})
	for range 30 {
		h.answer("b", replica(100))
		h.advance(100 * time.Millisecond)
	}
	expectNone[Choose](h) // c may hold an acknowledged commit that b lacks
	h.answer("b", replica(100))
	h.answer("c", replica(120))
	h.advance(DefaultConfig().PositionGrace)
	expect(h, Choose{Service: "s", Term: 2, Candidate: "c", Attempt: 1})
}

func TestChooseDoesNotWaitForSuspectedMember(t *testing.T) {
	h := newHarness(t, threeDomains)
	h.view.Ack = note.AckReplicas
	h.observeFor(time.Second, down, "a", threeDomains...)
	h.seal()
	h.send(Settled{Revision: 11})
	h.answer("b", replica(100))
	h.answer("c", replica(120))
	expect(h, Choose{Service: "s", Term: 2, Candidate: "c", Attempt: 1})
}
