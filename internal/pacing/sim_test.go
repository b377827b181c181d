package pacing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// sim simulates hosts in front of one endpoint that has slots and a FIFO queue.
type sim struct {
	rng    *rand.Rand
	now    time.Duration
	events []simEvent
	order  int

	slots         int
	running       int
	queue         []job
	hosts         []*simHost
	maxInProgress int

	// atEndpoint and atHost are the total times that statements waited in the queues.
	atEndpoint, atHost time.Duration
	served             int
	busy               time.Duration
}

type simEvent struct {
	at    time.Duration
	order int
	run   func()
}

type simHost struct {
	rate     float64 // statements a second
	limit    *Limit
	baseline *Baseline
	waiting  []time.Duration // arrivals
	running  int
	link     *simLink // that answers pass; nil: at once
}

type job struct {
	host *simHost
	sent time.Duration
	work time.Duration
}

const (
	simSlots = 5
	// simWork is the mean time of a statement, and simExpected the longest one that is expected
	// before a latency was seen.
	simWork     = 35 * time.Millisecond
	simExpected = 100 * time.Millisecond
)

func newSim(seed uint64, load float64, rates []float64) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), slots: simSlots, maxInProgress: 9}
	total := 0.0
	for _, r := range rates {
		total += r
	}
	for _, r := range rates {
		h := &simHost{rate: load * simSlots / simWork.Seconds() * r / total, limit: NewLimit(DefaultConfig(), StartOf(simSlots, len(rates))), baseline: NewBaseline()}
		s.hosts = append(s.hosts, h)
		for range 2 * batchSize { // initial baseline
			h.baseline.Excess("read", s.draw(), simExpected)
		}
		s.arrive(h)
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.order++
	e := simEvent{at: s.now + d, order: s.order, run: run}
	i, _ := slices.BinarySearchFunc(s.events, e, func(a, b simEvent) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order))
	})
	s.events = slices.Insert(s.events, i, e)
}

// draw returns a log-normal service time with a sigma of 0.7.
func (s *sim) draw() time.Duration {
	return time.Duration(float64(simWork) * math.Exp(0.7*s.rng.NormFloat64()-0.245))
}

func (s *sim) arrive(h *simHost) {
	s.after(time.Duration(s.rng.ExpFloat64()/h.rate*float64(time.Second)), func() {
		h.waiting = append(h.waiting, s.now)
		if len(h.waiting) > 50 {
			h.waiting = h.waiting[1:] // the oldest is withdrawn
		}
		s.pump(h)
		s.arrive(h)
	})
}

// pump sends waiting statements of a host up to its limit.
func (s *sim) pump(h *simHost) {
	for len(h.waiting) > 0 && h.running < h.limit.Allowed(s.maxInProgress) {
		s.atHost += s.now - h.waiting[0]
		h.waiting = h.waiting[1:]
		h.running++
		s.queue = append(s.queue, job{host: h, sent: s.now, work: s.draw()})
	}
	s.start()
}

// start starts queued statements while the endpoint has free slots.
func (s *sim) start() {
	for len(s.queue) > 0 && s.running < s.slots {
		j := s.queue[0]
		s.queue = s.queue[1:]
		s.running++
		s.atEndpoint += s.now - j.sent
		s.busy += j.work
		s.after(j.work, func() {
			s.running--
			s.served++
			s.start()
			if j.host.link == nil {
				s.answer(j)
				return
			}
			j.host.link.pass(simAnswerBytes, func() { s.answer(j) })
		})
	}
}

// answer delivers the answer to a statement at its host.
func (s *sim) answer(j job) {
	j.host.running--
	took := s.now - j.sent
	if !j.host.link.saturatedSince(j.sent) {
		j.host.limit.Observe(time.Unix(0, int64(s.now)), j.host.baseline.Excess("read", took, simExpected), s.maxInProgress)
	}
	s.pump(j.host)
}

func (s *sim) run(d time.Duration) {
	for s.now < d {
		next := s.events[0]
		s.events = s.events[1:]
		s.now = next.at
		next.run()
	}
}

// unevenRates are the relative loads of nine hosts.
var unevenRates = []float64{1, 1, 2, 3, 1, 2, 1, 4, 2}

// TestLimitOverloadQueuesAtHosts applies 1.5 times the load that the endpoint can
// serve. It guards against a queue at the endpoint and against idle slots.
func TestLimitOverloadQueuesAtHosts(t *testing.T) {
	const length = 20 * time.Second
	for seed := range uint64(5) {
		s := newSim(seed, 1.5, unevenRates)
		s.run(length)
		wait := s.atEndpoint / time.Duration(s.served)
		used := s.busy.Seconds() / (simSlots * length.Seconds())
		if wait > 2*DefaultConfig().DecreaseAbove || used < 0.95 {
			t.Errorf("seed %d: mean wait in the endpoint's queue %v, want at most twice DecreaseAbove; %.2f of its slots used, want at least 0.95", seed, wait, used)
		}
	}
}

// TestLimitNormalLoadDoesNotWait applies 0.7 of the load that the endpoint can serve.
// It guards against a limit that delays statements without need.
func TestLimitNormalLoadDoesNotWait(t *testing.T) {
	for seed := range uint64(5) {
		s := newSim(seed, 0.7, unevenRates)
		s.run(20 * time.Second)
		if wait := s.atHost / time.Duration(s.served); wait > 20*time.Millisecond {
			t.Errorf("seed %d: mean wait in the hosts' queues %v, want at most 20ms", seed, wait)
		}
	}
}

// TestLimitBoundLiftedAfterOverload reduces the load from 1.5 to 0.5 of what the
// endpoint can serve. It guards against a limit that stays low after an overload.
func TestLimitBoundLiftedAfterOverload(t *testing.T) {
	s := newSim(1, 1.5, unevenRates)
	s.run(10 * time.Second)
	for _, h := range s.hosts {
		h.rate /= 3
	}
	s.run(25 * time.Second)
	for i, h := range s.hosts {
		if n := h.limit.Allowed(s.maxInProgress); n < s.maxInProgress/2 {
			t.Errorf("host %d is still limited to %d statements in progress, want at least half of maxInProgress", i, n)
		}
	}
}

// TestReturningFleetQueuesAtHosts plays the statements of all callers of a fleet that comes
// back: four hosts that have seen no latency, each with as many as arrive in two seconds. It
// guards against hosts that send them all at once, of which the endpoint refuses most.
func TestReturningFleetQueuesAtHosts(t *testing.T) {
	const hosts, backlog, endpointQueue = 4, 60, 40
	for seed := range uint64(5) {
		s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), slots: simSlots, maxInProgress: 18}
		for range hosts {
			h := &simHost{limit: NewLimit(DefaultConfig(), StartOf(simSlots, hosts)), baseline: NewBaseline()}
			h.waiting = make([]time.Duration, backlog)
			s.hosts = append(s.hosts, h)
		}
		for _, h := range s.hosts {
			s.pump(h)
		}
		longest := len(s.queue)
		for len(s.events) > 0 {
			next := s.events[0]
			s.events = s.events[1:]
			s.now = next.at
			next.run()
			longest = max(longest, len(s.queue))
		}
		if longest > endpointQueue {
			t.Errorf("seed %d: %d statements in the endpoint's queue, of which it refuses those beyond %d", seed, longest, endpointQueue)
		}
		if used := s.busy.Seconds() / (simSlots * s.now.Seconds()); s.served != hosts*backlog || used < 0.9 {
			t.Errorf("seed %d: %d of %d served, %.2f of the slots used; want all and at least 0.9", seed, s.served, hosts*backlog, used)
		}
	}
}
