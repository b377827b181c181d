package lease

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// fault is a fault injected into the driver of a simulation; zero is none.
type fault int

const (
	// faultRelayWithoutLeader: relays answer without a request to the leader.
	faultRelayWithoutLeader fault = iota + 1
	// faultLeaderWithoutQuorum: a leader answers without a confirmation of its quorum.
	faultLeaderWithoutQuorum
	// faultNoWait: a new leader does not wait for unknown leases.
	faultNoWait
	// faultEndWaitEarly: a new leader ends its wait permanently once all registered
	// hosts were among the counted holders.
	faultEndWaitEarly
	// faultSlowClock: the clocks of holders are slower than the drift allows.
	faultSlowClock
)

// params describe a simulation.
type params struct {
	seed     uint64
	hosts    int
	lossRate float64 // probability that a message is lost
	maxDelay time.Duration
	// leaderChangeInterval is the mean time between two changes of the leader, zero
	// for none.
	leaderChangeInterval time.Duration
	// exclusive is set when a host has one process at a time, which sends a release
	// when it switches to another control host.
	exclusive bool
	fault     fault
}

// simLength is the simulated time of one run.
const simLength = 30 * time.Second

// sim runs holders and brokers in simulated time. Consensus itself is not simulated:
// sim holds the true leader and the committed revisions.
type sim struct {
	params
	cfg    Config
	rng    *rand.Rand
	now    time.Duration
	order  int
	events []simEvent

	registry        []map[string]simHost // by revision
	leader          int
	controls        []*simControl
	holders         []*simHolder
	reportedSettled uint64 // the greatest settled revision reported by any leader
	startCount      uint64 // processes started so far
	actCount        int
	violation       string
}

type simEvent struct {
	at    time.Duration
	order int
	run   func()
}

// simHost is the registration of a host.
type simHost struct {
	incarnation        uint64
	registeredRevision uint64
}

type simControl struct {
	id              int
	clockRate       float64
	broker          *Broker
	applied         uint64
	leading         bool // acts as leader, perhaps after another was elected
	quorumConfirmed bool // since its election
	knownLeader     int  // the leader that it sends requests to
	// isolatedUntil is when other control hosts reach this one again. Its subscribers
	// reach it at all times.
	isolatedUntil time.Duration
}

type simHolder struct {
	id        ID
	clockRate float64
	lease     *Holder
	applied   uint64
	control   int
	stopped   bool
}

func newSim(p params) *sim {
	s := &sim{params: p, cfg: DefaultConfig(), rng: rand.New(rand.NewPCG(p.seed, 7))}
	s.cfg.ExclusiveIdentity = p.exclusive
	s.registry = []map[string]simHost{{}}
	for i := range 3 {
		s.controls = append(s.controls, &simControl{id: i, clockRate: s.clockRate(), broker: NewBroker(s.cfg, 0)})
	}
	for i := range p.hosts {
		s.startHolder(fmt.Sprintf("h%d", i))
	}
	s.elect(0)
	s.repeat(400*time.Millisecond, s.commitRandomChange)
	s.repeat(30*time.Millisecond, s.settleAll)
	if p.leaderChangeInterval > 0 {
		s.repeat(p.leaderChangeInterval, func() { s.elect(s.rng.IntN(len(s.controls))) })
	}
	return s
}

// clockRate returns a random rate; two rates differ by less than the drift.
func (s *sim) clockRate() float64 {
	return 1 + (s.rng.Float64()-0.5)*s.cfg.Drift*0.98
}

// localTime returns the time of a clock with the given rate.
func (s *sim) localTime(rate float64) time.Time {
	return time.Unix(0, int64(float64(s.now)*rate))
}

// after schedules an event.
func (s *sim) after(d time.Duration, run func()) {
	s.order++
	e := simEvent{at: s.now + d, order: s.order, run: run}
	i, _ := slices.BinarySearchFunc(s.events, e, func(a, b simEvent) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order))
	})
	s.events = slices.Insert(s.events, i, e)
}

// repeat runs f at random intervals with the given mean.
func (s *sim) repeat(mean time.Duration, f func()) {
	s.after(time.Duration((0.5+s.rng.Float64())*float64(mean)), func() {
		f()
		s.repeat(mean, f)
	})
}

// send delivers a message after a random delay, or loses it.
func (s *sim) send(deliver func()) {
	if s.rng.Float64() < s.lossRate {
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

// check records a violation when a process may act on a revision below the greatest
// reported settled revision.
func (s *sim) check() {
	for _, h := range s.holders {
		if !s.mayAct(h) {
			continue
		}
		s.actCount++
		if h.applied < s.reportedSettled {
			s.violation = fmt.Sprintf("at %v host %v acts on revision %d, settled is %d", s.now, h.id, h.applied, s.reportedSettled)
		}
	}
}

// mayAct reports whether a process has a valid lease for its revision, in which it is
// registered.
func (s *sim) mayAct(h *simHolder) bool {
	if !s.localTime(h.clockRate).Before(h.lease.ValidUntil(h.applied)) {
		return false
	}
	reg, ok := s.registry[h.applied][h.id.Host]
	return ok && reg.incarnation == h.id.Incarnation && h.lease.Settled() >= reg.registeredRevision
}

func (s *sim) revision() uint64 { return uint64(len(s.registry) - 1) }

// commit commits a change of the registrations through the true leader.
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

// apply delivers a committed revision to a control host. A former leader that receives
// one steps down.
func (s *sim) apply(c *simControl, revision uint64) {
	if s.now < c.isolatedUntil {
		return
	}
	if c.leading && c.id != s.leader {
		c.leading, c.knownLeader = false, s.leader
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

// commitRandomChange commits a registration, a removal or another change.
func (s *sim) commitRandomChange() {
	leader := s.controls[s.leader]
	host := s.holders[s.rng.IntN(len(s.holders))].id.Host
	reg, ok := s.registry[s.revision()][host]
	switch s.rng.IntN(8) {
	case 0:
		if ok && leader.quorumConfirmed && !s.mayHoldLease(leader, ID{host, reg.incarnation}) {
			s.commit(func(m map[string]simHost) { delete(m, host) })
			return
		}
	case 1:
		s.startHolder(host)
		return
	}
	s.commit(func(map[string]simHost) {})
}

// mayHoldLease reports whether a control host considers that a process may hold a lease.
func (s *sim) mayHoldLease(c *simControl, id ID) bool {
	return c.broker.PossibleHolders(s.localTime(c.clockRate), []ID{id})[id]
}

// startHolder starts a process and registers it. An older process of the same host
// continues to run unless identities are exclusive.
func (s *sim) startHolder(host string) {
	s.startCount++
	incarnation := s.startCount
	h := &simHolder{id: ID{host, incarnation}, clockRate: s.clockRate(), lease: NewHolder(s.cfg, 0), control: s.rng.IntN(len(s.controls))}
	if s.fault == faultSlowClock {
		h.clockRate = 0.5
	}
	if s.exclusive {
		s.holders = slices.DeleteFunc(s.holders, func(old *simHolder) bool {
			old.stopped = old.stopped || old.id.Host == host
			return old.stopped
		})
	}
	s.holders = append(s.holders, h)
	s.commit(func(m map[string]simHost) { m[host] = simHost{incarnation, s.revision() + 1} })
	s.repeat(s.cfg.RenewInterval, func() { s.renew(h) })
	s.repeat(5*time.Second, func() { s.switchControl(h) })
}

// switchControl makes a holder send its requests to another control host. With
// exclusive identities it releases its outstanding requests and keeps a valid lease.
func (s *sim) switchControl(h *simHolder) {
	former := s.controls[h.control]
	h.control = s.rng.IntN(len(s.controls))
	if h.stopped || !s.exclusive {
		return
	}
	r := h.lease.Release(s.mayAct(h))
	s.send(func() { s.receive(former, h.id, r) })
}

func (s *sim) renew(h *simHolder) {
	if h.stopped {
		return
	}
	r := h.lease.Renew(s.localTime(h.clockRate), h.applied)
	c := s.controls[h.control]
	s.send(func() { s.receive(c, h.id, r) })
	applied := c.applied
	s.send(func() { s.applyHolder(h, applied) })
}

func (s *sim) receive(c *simControl, from ID, r Renew) {
	if r.Relay && !c.leading {
		return
	}
	c.broker.Receive(s.localTime(c.clockRate), from, r)
	s.startRound(c)
}

// startRound starts a round on a control host if one is due, and aborts it if it is not
// finished within half a second.
func (s *sim) startRound(c *simControl) {
	round, ok := c.broker.BeginRound(s.localTime(c.clockRate))
	if !ok {
		return
	}
	switch {
	case c.leading:
		s.confirm(c, round)
	case s.fault == faultRelayWithoutLeader:
		s.finish(c, round.ID, c.applied, c.broker.Settled())
		return
	default:
		s.requestFromLeader(c, round)
	}
	s.after(500*time.Millisecond, func() {
		if c.broker.round == round.ID {
			c.broker.AbortRound()
			s.startRound(c)
		}
	})
}

// confirm finishes a round that the leader's quorum confirms. It succeeds when c is the
// true leader at its start: the heartbeats of the round may reach the others before they
// elect another leader.
func (s *sim) confirm(c *simControl, round Round) {
	if s.leader != c.id && s.fault != faultLeaderWithoutQuorum {
		return
	}
	s.send(func() {
		if s.leader == c.id {
			c.applied = s.revision()
		}
		c.quorumConfirmed = true
		s.settle(c)
		s.finish(c, round.ID, c.applied, c.broker.Settled())
	})
}

// requestFromLeader sends the request of a relay to the leader that it knows.
func (s *sim) requestFromLeader(c *simControl, round Round) {
	leader := s.controls[c.knownLeader]
	r := Renew{Seq: round.ID, Applied: round.Applied, Relay: true, Holders: round.Holders, Base: round.Base}
	if s.now < leader.isolatedUntil {
		return
	}
	s.send(func() { s.receive(leader, ID{fmt.Sprintf("c%d", c.id), 1}, r) })
}

func (s *sim) finish(c *simControl, id, revision, settled uint64) {
	for _, a := range c.broker.FinishRound(id, revision, settled) {
		s.send(func() { s.deliverAnswer(a) })
	}
	s.startRound(c)
}

// deliverAnswer passes an answer to the relay or the holder to which it is addressed.
func (s *sim) deliverAnswer(a Answer) {
	for _, c := range s.controls {
		if a.To.Host == fmt.Sprintf("c%d", c.id) {
			s.finish(c, a.OK.Seq, a.OK.Revision, a.OK.Settled)
		}
	}
	for _, h := range s.holders {
		if h.id == a.To {
			h.lease.HandleRenewOK(a.OK)
		}
	}
}

// elect makes a control host the leader. The others are notified later; until then the
// former leader acts as leader.
func (s *sim) elect(id int) {
	if id == s.leader && s.controls[id].leading {
		return
	}
	c := s.controls[id]
	s.leader = id
	c.applied = s.revision()
	c.leading, c.quorumConfirmed, c.knownLeader = true, false, id
	c.broker.AbortRound()
	if s.fault != faultNoWait {
		c.broker.BecomeLeader(s.localTime(c.clockRate))
	}
	s.startRound(c)
	for _, other := range s.controls {
		if other == c {
			continue
		}
		notifyDelay := time.Duration(s.rng.Float64() * float64(time.Second))
		if other.leading && s.rng.IntN(2) == 0 {
			notifyDelay = time.Duration(s.rng.Float64() * float64(12*time.Second))
			other.isolatedUntil = s.now + notifyDelay
		}
		s.after(notifyDelay, func() {
			if s.leader == id {
				other.leading, other.knownLeader = false, id
				other.broker.AbortRound()
				other.broker.StepDown()
			}
		})
	}
}

// settleAll reports the settled revision of every host that acts as leader.
func (s *sim) settleAll() {
	for _, c := range s.controls {
		s.settle(c)
	}
}

// settle reports the settled revision of a host that acts as leader and was
// confirmed by its quorum.
func (s *sim) settle(c *simControl) {
	if !c.leading || !c.quorumConfirmed {
		return
	}
	var registered Registrations
	for name, reg := range s.registry[c.applied] {
		registered.Holders = append(registered.Holders, ID{name, reg.incarnation})
	}
	for revision := c.applied; revision > 0 && registered.Changed == 0; revision-- {
		if !maps.Equal(s.registry[revision], s.registry[revision-1]) {
			registered.Changed = revision
		}
	}
	s.reportedSettled = max(s.reportedSettled, c.broker.Settle(s.localTime(c.clockRate), c.applied, registered))
	if s.fault == faultEndWaitEarly && c.broker.allRegisteredCounted(registered) {
		c.broker.unknownLeasesUntil = time.Time{}
	}
}
