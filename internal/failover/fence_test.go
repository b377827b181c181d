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

// lateOrder is an order to promote that the platform carries out at a time.
type lateOrder struct {
	endpoint string
	fence    uint64
	at       time.Time
}

// latePlatform is a group whose orders may be carried out seconds late, or be
// answered never. It checks fences when it carries an order out.
type latePlatform struct {
	t     *rapid.T
	rng   *rand.Rand
	m     *Machine
	now   time.Time
	group agreed.Group

	leads    string // the endpoint that leads
	timeline uint32
	seen     uint64 // the highest fence carried out
	pending  []lateOrder
	fences   map[uint64]string // each fence with the leader that used it
	chooser  uint64
	// active is the primary that hosts write to, empty while the group is sealed.
	active string
}

func newLatePlatform(t *rapid.T, seed uint64) *latePlatform {
	p := &latePlatform{
		t: t, rng: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(0, 0),
		leads: "a", timeline: 1, fences: map[uint64]string{},
		group: agreed.Group{
			Service: "s", Members: []string{"a", "b", "c"}, Term: 2, Primary: "a",
			Phase: agreed.PhaseSealed, Timeline: 1, Changed: 20,
		},
	}
	p.lead()
	return p
}

// lead starts a new control leader, which knows nothing but the agreed state.
func (p *latePlatform) lead() {
	p.chooser++
	cfg := DefaultConfig()
	cfg.Fenced, cfg.Chooser = true, p.chooser
	p.m = New(cfg)
	p.step(Settled{Revision: p.group.Changed})
	p.show()
}

func (p *latePlatform) show() {
	v := View{Group: p.group, Ack: note.AckReplicas, Electorate: NewElectorate(threeDomains)}
	for _, id := range p.group.Members {
		v.Members = append(v.Members, Member{Endpoint: id, Domain: "d-" + id})
	}
	p.step(v)
}

func (p *latePlatform) step(ev Event) {
	for _, effect := range p.m.Step(p.now, ev) {
		p.apply(effect)
	}
}

func (p *latePlatform) apply(effect Effect) {
	switch e := effect.(type) {
	case QueryPositions:
		for _, id := range e.Endpoints {
			if id == "a" && p.leads == "a" {
				continue // the lost primary
			}
			c := Condition{Reachable: p.rng.IntN(4) > 0, InRecovery: id != p.leads, Timeline: 1, Position: 100}
			if id == p.leads {
				c.Timeline = p.timeline
			}
			p.step(Answer{Term: e.Term, Endpoint: id, Condition: c})
		}
	case Choose:
		p.commit(func(g *agreed.Group) { g.Candidate, g.ChooserTerm, g.Attempt = e.Candidate, e.Chooser, e.Attempt })
	case Activate:
		p.commit(func(g *agreed.Group) { g.Phase, g.Primary = agreed.PhaseActive, e.Primary })
		p.active = e.Primary
	case Promote:
		p.order(e)
	}
}

func (p *latePlatform) commit(change func(g *agreed.Group)) {
	change(&p.group)
	p.group.Changed++
	p.show()
}

// order takes an order: it is carried out and answered, or answered never and
// carried out later, or lost.
func (p *latePlatform) order(e Promote) {
	user := fmt.Sprint(p.chooser, e.Endpoint)
	if was, used := p.fences[e.Fence]; used {
		p.t.Fatalf("fence %d used by %s and again by %s", e.Fence, was, user)
	}
	p.fences[e.Fence] = user
	outcome := OrderUnknown
	switch p.rng.IntN(4) {
	case 0:
		p.pending = append(p.pending, lateOrder{e.Endpoint, e.Fence, p.now.Add(time.Duration(2+p.rng.IntN(10)) * time.Second)})
	case 1:
	default:
		if p.carryOut(lateOrder{endpoint: e.Endpoint, fence: e.Fence}) {
			outcome = OrderAccepted
		}
	}
	p.step(PromotionResult{Term: e.Term, Endpoint: e.Endpoint, Fence: e.Fence, Outcome: outcome})
}

func (p *latePlatform) carryOut(o lateOrder) bool {
	if o.fence < p.seen {
		return false
	}
	p.seen = o.fence
	if p.leads != o.endpoint {
		p.leads = o.endpoint
		p.timeline++
	}
	if p.active != "" && p.leads != p.active {
		p.t.Fatalf("%s was promoted by a late order while %s was active", p.leads, p.active)
	}
	return true
}

func (p *latePlatform) pass(d time.Duration) {
	p.now = p.now.Add(d)
	for i := 0; i < len(p.pending); i++ {
		if o := p.pending[i]; !p.now.Before(o.at) {
			p.pending = append(p.pending[:i:i], p.pending[i+1:]...)
			i--
			p.carryOut(o)
		}
	}
	p.step(Tick{})
}

// TestLateOrdersPromoteNobodyBehindAnActiveGroup runs sealed groups over
// platforms that lose, delay and answer orders at random, with new control
// leaders in between.
func TestLateOrdersPromoteNobodyBehindAnActiveGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newLatePlatform(t, rapid.Uint64().Draw(t, "seed"))
		for range 600 {
			if p.active == "" && p.rng.IntN(60) == 0 {
				p.lead()
			}
			p.pass(100 * time.Millisecond)
		}
		if p.active == "" {
			t.Fatalf("the group never came back: %+v, %s", p.group, p.m.reason)
		}
	})
}

func TestTheHighestPositionIsChosenAmongReplicas(t *testing.T) {
	r := newRig(t, threeDomains)
	r.view.Ack = note.AckReplicas
	r.sealed()
	r.send(Settled{Revision: 11})
	r.answer("b", replica(100))
	expectNone[Choose](r) // another may hold more
	r.answer("c", replica(120))
	r.pass(DefaultConfig().PositionGrace)
	expect(r, Choose{Service: "s", Term: 2, Candidate: "c", Attempt: 1})
}

func TestOneReplicaWillDoAfterTheGrace(t *testing.T) {
	r := newRig(t, threeDomains)
	r.view.Ack = note.AckReplicas
	r.sealed()
	r.send(Settled{Revision: 11})
	r.answer("b", replica(100))
	r.pass(DefaultConfig().PositionGrace)
	expect(r, Choose{Service: "s", Term: 2, Candidate: "b", Attempt: 1})
}

func TestASynchronousCommitMayBeOnAnyReplica(t *testing.T) {
	r := newRig(t, threeDomains)
	r.view.Ack, r.view.SyncReplicas = note.AckReplicas, 1
	r.sealed()
	r.send(Settled{Revision: 11})
	for range 30 {
		r.answer("b", replica(100))
		r.pass(100 * time.Millisecond)
	}
	expectNone[Choose](r) // c may hold an acknowledged commit that b lacks
	r.answer("b", replica(100))
	r.answer("c", replica(120))
	r.pass(DefaultConfig().PositionGrace)
	expect(r, Choose{Service: "s", Term: 2, Candidate: "c", Attempt: 1})
}

func TestNobodyWaitsForASuspectedMember(t *testing.T) {
	r := newRig(t, threeDomains)
	r.view.Ack = note.AckReplicas
	r.seeFor(time.Second, down, "a", threeDomains...)
	r.sealed()
	r.send(Settled{Revision: 11})
	r.answer("b", replica(100))
	r.answer("c", replica(120))
	expect(r, Choose{Service: "s", Term: 2, Candidate: "c", Attempt: 1})
}
