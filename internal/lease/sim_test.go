package lease

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// fault is an error planted into the driver of a simulation; zero is none.
type fault int

const (
	// faultRelayAlone: relays answer without asking the leader.
	faultRelayAlone fault = iota + 1
	// faultLeaderAlone: a leader answers without a confirmation of its quorum.
	faultLeaderAlone
	// faultNoWait: a new leader does not wait for unknown leases.
	faultNoWait
	// faultEndWait: a new leader ends its wait for good once all registered
	// hosts were among the counted holders.
	faultEndWait
	// faultSlowClock: the clocks of holders run slower than the drift allows.
	faultSlowClock
)

// params describe a simulation.
type params struct {
	seed     uint64
	hosts    int
	loss     float64
	maxDelay time.Duration
	// change is the mean time between two changes of the leader, zero for none.
	change time.Duration
	// exclusive: a host has one process at a time, and turns to another control
	// host with a release.
	exclusive bool
	fault     fault
}

// simLength is the simulated time of one run.
const simLength = 30 * time.Second

// sim runs holders and brokers in simulated time. The agreement itself is an
// oracle: it knows the true leader and the committed revisions.
type sim struct {
	params
	cfg    Config
	rng    *rand.Rand
	now    time.Duration
	order  int
	events []simEvent

	registry  []map[string]simHost // by revision
	leader    int
	controls  []*simControl
	holders   []*simHolder
	reported  uint64 // the greatest settled revision reported by any leader
	started   uint64 // processes started so far
	acted     int
	violation string
}

type simEvent struct {
	at    time.Duration
	order int
	run   func()
}

// simHost is the registration of a host.
type simHost struct {
	incarnation uint64
	registered  uint64
}

type simControl struct {
	id       int
	rate     float64
	broker   *Broker
	applied  uint64
	leading  bool // believes to lead
	ready    bool // has confirmed its quorum since its election
	believed int  // the leader it knows of
	// isolated is until when no other control host reaches this one; its
	// subscribers still do.
	isolated time.Duration
}

type simHolder struct {
	id      ID
	rate    float64
	lease   *Holder
	applied uint64
	control int
	ended   bool
}

func newSim(p params) *sim {
	s := &sim{params: p, cfg: DefaultConfig(), rng: rand.New(rand.NewPCG(p.seed, 7))}
	s.cfg.ExclusiveIdentity = p.exclusive
	s.registry = []map[string]simHost{{}}
	for i := range 3 {
		s.controls = append(s.controls, &simControl{id: i, rate: s.clockRate(), broker: NewBroker(s.cfg, 0)})
	}
	for i := range p.hosts {
		s.startHolder(fmt.Sprintf("h%d", i))
	}
	s.elect(0)
	s.every(400*time.Millisecond, s.commitSomething)
	s.every(30*time.Millisecond, s.settle)
	if p.change > 0 {
		s.every(p.change, func() { s.elect(s.rng.IntN(len(s.controls))) })
	}
	return s
}

// clockRate draws a rate; two rates differ by less than the drift.
func (s *sim) clockRate() float64 {
	return 1 + (s.rng.Float64()-0.5)*s.cfg.Drift*0.98
}

func (s *sim) local(rate float64) time.Time {
	return time.Unix(0, int64(float64(s.now)*rate))
}

func (s *sim) after(d time.Duration, run func()) {
	s.order++
	e := simEvent{at: s.now + d, order: s.order, run: run}
	i, _ := slices.BinarySearchFunc(s.events, e, func(a, b simEvent) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order))
	})
	s.events = slices.Insert(s.events, i, e)
}

// every runs f at random intervals with the given mean.
func (s *sim) every(mean time.Duration, f func()) {
	s.after(time.Duration((0.5+s.rng.Float64())*float64(mean)), func() {
		f()
		s.every(mean, f)
	})
}

// send delivers a message late, or never.
func (s *sim) send(deliver func()) {
	if s.rng.Float64() < s.loss {
		return
	}
	delay := time.Duration(s.rng.Float64() * float64(s.maxDelay))
	if s.rng.IntN(20) == 0 {
		delay *= 50
	}
	s.after(delay, deliver)
}

func (s *sim) run() {
	for s.now < simLength && s.violation == "" {
		next := s.events[0]
		s.events = s.events[1:]
		s.now = next.at
		next.run()
		s.check()
	}
}

// check verifies that nobody acts on a revision below the reported one.
func (s *sim) check() {
	for _, h := range s.holders {
		if !s.acts(h) {
			continue
		}
		s.acted++
		if h.applied < s.reported {
			s.violation = fmt.Sprintf("at %v host %v acts on revision %d, settled is %d", s.now, h.id, h.applied, s.reported)
		}
	}
}

func (s *sim) acts(h *simHolder) bool {
	if !s.local(h.rate).Before(h.lease.ValidUntil(h.applied)) {
		return false
	}
	reg, ok := s.registry[h.applied][h.id.Host]
	return ok && reg.incarnation == h.id.Incarnation && h.lease.Settled() >= reg.registered
}

func (s *sim) revision() uint64 { return uint64(len(s.registry) - 1) }

// commit commits a change of the registrations by the true leader.
func (s *sim) commit(change func(map[string]simHost)) {
	next := map[string]simHost{}
	for name, h := range s.registry[s.revision()] {
		next[name] = h
	}
	change(next)
	s.registry = append(s.registry, next)
	s.controls[s.leader].applied = s.revision()
	revision := s.revision()
	for _, c := range s.controls {
		s.send(func() { s.apply(c, revision) })
	}
}

// apply delivers a committed revision to a control host. One that believes to
// lead learns from it that another host does.
func (s *sim) apply(c *simControl, revision uint64) {
	if s.now < c.isolated {
		return
	}
	if c.leading && c.id != s.leader {
		c.leading, c.believed = false, s.leader
		c.broker.AbortRound()
		c.broker.StepDown()
	}
	c.applied = max(c.applied, revision)
	for name, reg := range s.registry[c.applied] {
		c.broker.Supersede(ID{name, reg.incarnation})
	}
	for _, h := range s.holders {
		if h.control == c.id {
			applied := c.applied
			s.send(func() { s.applyHolder(h, applied) })
		}
	}
}

func (s *sim) applyHolder(h *simHolder, revision uint64) {
	if revision <= h.applied {
		return
	}
	h.applied = revision
	s.renew(h)
}

// commitSomething commits a registration, a removal or another change.
func (s *sim) commitSomething() {
	lead := s.controls[s.leader]
	host := s.holders[s.rng.IntN(len(s.holders))].id.Host
	reg, ok := s.registry[s.revision()][host]
	switch s.rng.IntN(8) {
	case 0:
		if ok && lead.ready && !s.held(lead, ID{host, reg.incarnation}) {
			s.commit(func(m map[string]simHost) { delete(m, host) })
			return
		}
	case 1:
		s.startHolder(host)
		return
	}
	s.commit(func(map[string]simHost) {})
}

func (s *sim) held(c *simControl, id ID) bool {
	return c.broker.PossibleHolders(s.local(c.rate), []ID{id})[id]
}

// startHolder starts a process and registers it. An older process of the same
// host, if any, goes on running, unless hosts have one process at a time.
func (s *sim) startHolder(host string) {
	s.started++
	incarnation := s.started
	h := &simHolder{id: ID{host, incarnation}, rate: s.clockRate(), lease: NewHolder(s.cfg, 0), control: s.rng.IntN(len(s.controls))}
	if s.fault == faultSlowClock {
		h.rate = 0.5
	}
	if s.exclusive {
		s.holders = slices.DeleteFunc(s.holders, func(old *simHolder) bool {
			old.ended = old.ended || old.id.Host == host
			return old.ended
		})
	}
	s.holders = append(s.holders, h)
	s.commit(func(m map[string]simHost) { m[host] = simHost{incarnation, s.revision() + 1} })
	s.every(s.cfg.RenewInterval, func() { s.renew(h) })
	s.every(5*time.Second, func() { s.turn(h) })
}

// turn lets a holder ask another control host. It gives up what is on its way, and
// keeps a valid lease.
func (s *sim) turn(h *simHolder) {
	former := s.controls[h.control]
	h.control = s.rng.IntN(len(s.controls))
	if h.ended || !s.exclusive {
		return
	}
	r := h.lease.Release(s.acts(h))
	s.send(func() { s.receive(former, h.id, r) })
}

func (s *sim) renew(h *simHolder) {
	if h.ended {
		return
	}
	r := h.lease.Renew(s.local(h.rate), h.applied)
	c := s.controls[h.control]
	s.send(func() { s.receive(c, h.id, r) })
	applied := c.applied
	s.send(func() { s.applyHolder(h, applied) })
}

func (s *sim) receive(c *simControl, from ID, r Renew) {
	if r.Relay && !c.leading {
		return
	}
	c.broker.Receive(s.local(c.rate), from, r)
	s.pump(c)
}

// pump starts a round on a control host.
func (s *sim) pump(c *simControl) {
	round, ok := c.broker.BeginRound(s.local(c.rate))
	if !ok {
		return
	}
	switch {
	case c.leading:
		s.confirm(c, round)
	case s.fault == faultRelayAlone:
		s.finish(c, round.ID, c.applied, c.broker.Settled())
		return
	default:
		s.ask(c, round)
	}
	s.after(500*time.Millisecond, func() {
		if c.broker.round == round.ID {
			c.broker.AbortRound()
			s.pump(c)
		}
	})
}

// confirm succeeds when c leads at its start, as the heartbeats of the round
// may reach the others before they elect another leader.
func (s *sim) confirm(c *simControl, round Round) {
	if s.leader != c.id && s.fault != faultLeaderAlone {
		return
	}
	s.send(func() {
		if s.leader == c.id {
			c.applied = s.revision()
		}
		c.ready = true
		s.settleOne(c)
		s.finish(c, round.ID, c.applied, c.broker.Settled())
	})
}

// ask sends the request of a relay to the leader that it knows of.
func (s *sim) ask(c *simControl, round Round) {
	up := s.controls[c.believed]
	r := Renew{Seq: round.ID, Applied: round.Applied, Relay: true, Holders: round.Holders, Base: round.Base}
	if s.now < up.isolated {
		return
	}
	s.send(func() { s.receive(up, ID{fmt.Sprintf("c%d", c.id), 1}, r) })
}

func (s *sim) finish(c *simControl, id, revision, settled uint64) {
	for _, a := range c.broker.FinishRound(id, revision, settled) {
		s.send(func() { s.answer(a) })
	}
	s.pump(c)
}

func (s *sim) answer(a Answer) {
	for _, c := range s.controls {
		if a.To.Host == fmt.Sprintf("c%d", c.id) {
			s.finish(c, a.OK.Seq, a.OK.Revision, a.OK.Settled)
		}
	}
	for _, h := range s.holders {
		if h.id == a.To {
			h.lease.Granted(a.OK)
		}
	}
}

// elect makes a control host the leader. The others learn of it later; the
// former leader goes on believing that it leads.
func (s *sim) elect(id int) {
	if id == s.leader && s.controls[id].leading {
		return
	}
	c := s.controls[id]
	s.leader = id
	c.applied = s.revision()
	c.leading, c.ready, c.believed = true, false, id
	c.broker.AbortRound()
	if s.fault != faultNoWait {
		c.broker.BecomeLeader(s.local(c.rate))
	}
	s.pump(c)
	for _, other := range s.controls {
		if other == c {
			continue
		}
		unaware := time.Duration(s.rng.Float64() * float64(time.Second))
		if other.leading && s.rng.IntN(2) == 0 {
			unaware = time.Duration(s.rng.Float64() * float64(12*time.Second))
			other.isolated = s.now + unaware
		}
		s.after(unaware, func() {
			if s.leader == id {
				other.leading, other.believed = false, id
				other.broker.AbortRound()
				other.broker.StepDown()
			}
		})
	}
}

// settle lets every host that believes to lead report what is settled.
func (s *sim) settle() {
	for _, c := range s.controls {
		s.settleOne(c)
	}
}

func (s *sim) settleOne(c *simControl) {
	if !c.leading || !c.ready {
		return
	}
	var e Registrations
	for name, reg := range s.registry[c.applied] {
		e.Holders = append(e.Holders, ID{name, reg.incarnation})
	}
	for revision := c.applied; revision > 0 && e.Changed == 0; revision-- {
		if !maps.Equal(s.registry[revision], s.registry[revision-1]) {
			e.Changed = revision
		}
	}
	s.reported = max(s.reported, c.broker.Settle(s.local(c.rate), c.applied, e))
	if s.fault == faultEndWait && c.broker.allPresent(e) {
		c.broker.assumeUntil = time.Time{}
	}
}
