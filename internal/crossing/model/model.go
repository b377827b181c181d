// Package model simulates hosts that read from replicas in several failure domains, to compare ways
// of choosing the replica. It has no I/O and its own time; a seed determines all results.
package model

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/galenabridge/galenabridge/internal/crossing"
)

// Config describes a fleet with one replica in each failure domain, and as many hosts in each.
type Config struct {
	Seed  uint64
	Hosts int
	// Slots of the replica in each failure domain; zero: the domain has none.
	Slots []int
	// Load is the arrival rate in each domain, in reads a second.
	Load []float64
	// LoadAt returns a factor of the load of a domain at a time; nil: constant.
	LoadAt func(domain int, now time.Duration) float64
	// Work is the mean time that a read occupies a slot, exponentially distributed.
	Work   time.Duration
	Target time.Duration
	// RoundTrip is the time that crossing adds.
	RoundTrip time.Duration
	// Bytes of a read and its answer.
	Bytes int
	// Decide: hosts use crossing.Decider; otherwise the fixed cost of 1.5 statements in progress.
	Decide bool
	// Delay is the number of steps by which the information of the hosts is late.
	Delay int
	// BlindFrom is the time from which no answer of another domain is observed; zero: never.
	BlindFrom time.Duration
}

// Totals is what callers got.
type Totals struct {
	Reads, Late, Refused, Crossed int
	CrossedBytes                  int
}

// LateShare returns the part of the reads that was answered after the target.
func (t Totals) LateShare() float64 { return share(t.Late, t.Reads) }

// RefusedShare returns the part of the reads that was refused.
func (t Totals) RefusedShare() float64 { return share(t.Refused, t.Reads) }

// CrossedShare returns the part of the reads that was sent to another domain.
func (t Totals) CrossedShare() float64 { return share(t.Crossed, t.Reads) }

func share(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

const (
	// remoteCost and jitter are the costs of the choice by a fixed cost.
	remoteCost = 1.5
	jitter     = 0.1
	// hostLimit is the number of statements that a host may have in progress at a replica.
	hostLimit = 8
)

// Sim is a simulation in progress.
type Sim struct {
	cfg      Config
	rng      *rand.Rand
	now      time.Duration
	events   events
	order    int
	replicas []*replica
	hosts    []*host
	// ByDomain holds the totals by the domain of the host.
	ByDomain []Totals
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// replica runs reads in its slots and queues the others in order of arrival.
type replica struct {
	domain, slots, running int
	queue                  []func()
}

// read is a read of a host.
type read struct {
	host    *host
	arrived time.Duration
}

// way is what a host knows about a replica.
type way struct {
	replica    *replica
	local      bool
	inProgress int
	waiting    []*read
	latency    crossing.Latency
}

type host struct {
	domain  int
	ways    []*way
	decider *crossing.Decider
	plan    crossing.Plan
	arrived int
	delayed []crossing.Input
}

// New returns a simulation at time zero.
func New(cfg Config) *Sim {
	s := &Sim{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), ByDomain: make([]Totals, len(cfg.Slots))}
	for domain, slots := range cfg.Slots {
		if slots > 0 {
			s.replicas = append(s.replicas, &replica{domain: domain, slots: slots})
		}
	}
	for i := range cfg.Hosts {
		h := &host{domain: i % len(cfg.Slots), decider: crossing.NewDecider("host-"+strconv.Itoa(i), "service")}
		for _, r := range s.replicas {
			h.ways = append(h.ways, &way{replica: r, local: r.domain == h.domain})
		}
		s.hosts = append(s.hosts, h)
		s.arrive(h)
		s.after(time.Duration(s.rng.Float64()*float64(crossing.Interval)), func() { s.decide(h) })
	}
	return s
}

// Run simulates until a time.
func (s *Sim) Run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = until
}

// Reset sets the totals to zero.
func (s *Sim) Reset() { clear(s.ByDomain) }

// Total returns the totals of all domains.
func (s *Sim) Total() Totals {
	var all Totals
	for _, t := range s.ByDomain {
		all.Reads += t.Reads
		all.Late += t.Late
		all.Refused += t.Refused
		all.Crossed += t.Crossed
		all.CrossedBytes += t.CrossedBytes
	}
	return all
}

// Fraction returns the mean fraction that the hosts of a domain let cross.
func (s *Sim) Fraction(domain int) float64 {
	sum, n := 0.0, 0
	for _, h := range s.hosts {
		if h.domain == domain {
			sum += h.plan.Fraction
			n++
		}
	}
	return sum / float64(max(n, 1))
}

func (s *Sim) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, event{at: s.now + d, order: s.order, run: run})
}

// arrive schedules the next read of a host.
func (s *Sim) arrive(h *host) {
	rate := s.cfg.Load[h.domain] * float64(len(s.cfg.Slots)) / float64(s.cfg.Hosts)
	if s.cfg.LoadAt != nil {
		rate *= s.cfg.LoadAt(h.domain, s.now)
	}
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		s.arrive(h)
		h.arrived++
		s.ByDomain[h.domain].Reads++
		w := s.choose(h)
		r := &read{host: h, arrived: s.now}
		if !w.local {
			s.ByDomain[h.domain].Crossed++
			s.ByDomain[h.domain].CrossedBytes += s.cfg.Bytes
		}
		w.waiting = append(w.waiting, r)
		s.after(s.cfg.Target, func() { s.refuse(w, r) })
		s.send(w)
	})
}

// refuse ends the wait of a read whose target has passed in the queue of its host.
func (s *Sim) refuse(w *way, r *read) {
	for i, waiting := range w.waiting {
		if waiting == r {
			w.waiting = append(w.waiting[:i], w.waiting[i+1:]...)
			s.ByDomain[r.host.domain].Refused++
			return
		}
	}
}

// send sends the reads that wait for a replica, as far as the host may.
func (s *Sim) send(w *way) {
	for len(w.waiting) > 0 && w.inProgress < hostLimit {
		r := w.waiting[0]
		w.waiting = w.waiting[1:]
		w.inProgress++
		sent, half := s.now, time.Duration(0)
		if !w.local {
			half = s.cfg.RoundTrip / 2
		}
		s.after(half, func() {
			s.begin(w.replica, func() { s.after(half, func() { s.answer(w, r, sent) }) })
		})
	}
}

// begin runs a read at the replica and calls done at its end.
func (s *Sim) begin(p *replica, done func()) {
	if p.running == p.slots {
		p.queue = append(p.queue, done)
		return
	}
	p.running++
	s.after(time.Duration(s.rng.ExpFloat64()*float64(s.cfg.Work)), func() {
		p.running--
		done()
		if len(p.queue) > 0 {
			next := p.queue[0]
			p.queue = p.queue[1:]
			s.begin(p, next)
		}
	})
}

// answer ends a read at its host.
func (s *Sim) answer(w *way, r *read, sent time.Duration) {
	w.inProgress--
	if s.now-r.arrived > s.cfg.Target {
		s.ByDomain[r.host.domain].Late++
	}
	if w.local || s.cfg.BlindFrom == 0 || s.now < s.cfg.BlindFrom {
		w.latency.Observe(time.Unix(0, int64(s.now)), s.now-sent)
	}
	s.send(w)
}

// choose returns the replica for a read.
func (s *Sim) choose(h *host) *way {
	var side []*way
	if s.cfg.Decide {
		if s.rng.Float64() < h.plan.Fraction {
			if w := s.drawn(h); w != nil {
				return w
			}
		} else {
			for _, w := range h.ways {
				if w.local {
					side = append(side, w)
				}
			}
		}
	}
	if len(side) == 0 {
		side = h.ways
	}
	var best *way
	lowest := 0.0
	for _, w := range side {
		cost := float64(w.inProgress) + jitter*s.rng.Float64()
		if !w.local && !s.cfg.Decide {
			cost += remoteCost
		}
		if best == nil || cost < lowest {
			best, lowest = w, cost
		}
	}
	return best
}

// drawn returns a replica of another domain by the weights of the plan.
func (s *Sim) drawn(h *host) *way {
	u := s.rng.Float64()
	for _, w := range h.ways {
		u -= h.plan.Weights[id(w)]
		if u < 0 {
			return w
		}
	}
	return nil
}

func id(w *way) string { return strconv.Itoa(w.replica.domain) }

// decide runs a step of a host's decision.
func (s *Sim) decide(h *host) {
	s.after(crossing.Interval, func() { s.decide(h) })
	in := crossing.Input{Target: s.cfg.Target, Timeout: 2 * s.cfg.Target, Reads: float64(h.arrived) / crossing.Interval.Seconds()}
	h.arrived = 0
	for _, w := range h.ways {
		e := crossing.Endpoint{ID: id(w), Local: w.local, Free: hostLimit - w.inProgress}
		w.latency.Into(&e, time.Unix(0, int64(s.now)))
		e.RoundTrip = time.Millisecond
		if !w.local {
			e.RoundTrip += s.cfg.RoundTrip
		}
		e.Wait = time.Duration(len(w.waiting)) * e.Latency / hostLimit
		in.Endpoints = append(in.Endpoints, e)
	}
	h.delayed = append(h.delayed, in)
	if len(h.delayed) > s.cfg.Delay {
		h.plan = h.decider.Step(h.delayed[0])
		h.delayed = h.delayed[1:]
	}
}
