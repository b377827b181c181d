package admit

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/note"
)

// The simulations below run a queue under open-loop load in simulated time. They
// simulate the policy and do not measure processes. Latency is counted from arrival,
// so that a slow server does not hide the wait (coordinated omission).

// stream is the load of one workspace.
type stream struct {
	workspace string
	class     note.Class
	// rate is the number of requests per second; arrivals are random.
	rate float64
	// service is the mean slot time of a request, exponentially distributed.
	service time.Duration
	until   time.Duration // when the arrivals end, simDuration if zero
}

// outcome holds the results of the requests of one stream.
type outcome struct {
	arrived int
	served  int
	latency []time.Duration
	held    []time.Duration // waits of the refused requests
	// retried counts the refused requests that came back when they were told to.
	retried, retriesInTime int
}

func (o outcome) share() float64 { return float64(o.served) / float64(o.arrived) }

func (o outcome) p99() time.Duration {
	slices.Sort(o.latency)
	return o.latency[len(o.latency)*99/100]
}

type simRequest struct {
	stream  int
	retry   bool
	arrived time.Time
	service time.Duration
}

type simEvent struct {
	at     time.Time
	stream int // of an arrival, or -1
	retry  bool
	id     uint64
}

type simEvents []simEvent

func (h simEvents) Len() int           { return len(h) }
func (h simEvents) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h simEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)        { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// simulator runs a queue of one endpoint.
type simulator struct {
	queue    *Queue
	rnd      *rand.Rand
	streams  []stream
	outcomes []outcome
	requests map[uint64]simRequest
	events   simEvents
	now      time.Time
	nextID   uint64
	deadline time.Duration
	target   time.Duration // of the requests, or zero
	// cutOff: only what ends before the arrivals do is counted. retries: a refused request
	// comes back once, at the time that it was told.
	cutOff, retries bool
}

const (
	simSlots    = 5
	simDuration = 60 * time.Second
	simDeadline = 2 * time.Second
)

func simulate(policy Policy, seed uint64, slots int, streams []stream) []outcome {
	return newSimulator(policy, seed, slots, streams).run()
}

func newSimulator(policy Policy, seed uint64, slots int, streams []stream) *simulator {
	cfg := DefaultConfig(slots)
	cfg.Policy = policy
	return &simulator{
		queue: New(cfg), rnd: rand.New(rand.NewPCG(seed, 5)), streams: streams,
		outcomes: make([]outcome, len(streams)), requests: map[uint64]simRequest{},
		now: epoch, deadline: simDeadline,
	}
}

func (s *simulator) run() []outcome {
	for i := range s.streams {
		s.scheduleArrival(i)
	}
	for len(s.events) > 0 {
		for next, ok := s.queue.NextDeadline(); ok && next.Before(s.events[0].at); next, ok = s.queue.NextDeadline() {
			s.now = next
			s.take(s.queue.Tick(s.now))
		}
		ev := heap.Pop(&s.events).(simEvent)
		s.now = ev.at
		if ev.stream >= 0 {
			s.arrive(ev.stream, ev.retry)
		} else {
			s.finish(ev.id)
		}
	}
	return s.outcomes
}

func (s *simulator) scheduleArrival(i int) {
	gap := time.Duration(s.rnd.ExpFloat64() / s.streams[i].rate * float64(time.Second))
	until := cmp.Or(s.streams[i].until, simDuration)
	if at := s.now.Add(gap); at.Sub(epoch) < until {
		heap.Push(&s.events, simEvent{at: at, stream: i})
	}
}

func (s *simulator) arrive(i int, retry bool) {
	if retry {
		s.outcomes[i].retried++
	} else {
		s.scheduleArrival(i)
		s.outcomes[i].arrived++
	}
	st := s.streams[i]
	s.nextID++
	s.requests[s.nextID] = simRequest{
		stream: i, arrived: s.now, retry: retry,
		service: time.Duration(s.rnd.ExpFloat64() * float64(st.service)),
	}
	s.take(s.queue.Arrive(s.now, Request{
		ID: s.nextID, Workspace: st.workspace, Class: st.class, Deadline: s.now.Add(s.deadline), Target: s.target,
	}))
}

func (s *simulator) finish(id uint64) {
	r := s.requests[id]
	delete(s.requests, id)
	if r.retry {
		if s.now.Sub(r.arrived) <= s.deadline {
			s.outcomes[r.stream].retriesInTime++
		}
	} else if !s.cutOff || s.now.Sub(epoch) < simDuration {
		s.outcomes[r.stream].served++
		s.outcomes[r.stream].latency = append(s.outcomes[r.stream].latency, s.now.Sub(r.arrived))
	}
	s.take(s.queue.Done(s.now, id))
}

func (s *simulator) take(effects []Effect) {
	for _, e := range effects {
		switch ef := e.(type) {
		case Start:
			heap.Push(&s.events, simEvent{at: s.now.Add(s.requests[ef.ID].service), stream: -1, id: ef.ID})
		case Refuse:
			r := s.requests[ef.ID]
			if s.retries && ef.RetryAfter > 0 && !r.retry {
				heap.Push(&s.events, simEvent{at: s.now.Add(ef.RetryAfter), stream: r.stream, retry: true})
			}
			s.outcomes[r.stream].held = append(s.outcomes[r.stream].held, s.now.Sub(r.arrived))
			delete(s.requests, ef.ID)
		}
	}
}

// eightWorkspaces returns the streams of eight workspaces at 70% of the capacity of
// 1,000 requests per second. The first sends factor times its rate.
func eightWorkspaces(factor float64) []stream {
	var streams []stream
	for i := range 8 {
		st := stream{fmt.Sprintf("w%d", i), note.ClassInteractive, 87.5, 5 * time.Millisecond, 0}
		if i == 0 {
			st.rate *= factor
		}
		streams = append(streams, st)
	}
	return streams
}

// worstOfOthers returns the lowest share and the highest p99 of all but the first
// stream.
func worstOfOthers(outcomes []outcome) (float64, time.Duration) {
	rest := outcomes[1:]
	share := slices.MinFunc(rest, func(a, b outcome) int { return cmp.Compare(a.share(), b.share()) })
	p99 := slices.MaxFunc(rest, func(a, b outcome) int { return cmp.Compare(a.p99(), b.p99()) })
	return share.share(), p99.p99()
}

func TestSimulatedWorstServedWorkspace(t *testing.T) {
	var table strings.Builder
	fmt.Fprintf(&table, "\n%-6s %-22s %-14s %-14s %s", "policy", "one workspace sends", "least share", "greatest p99", "p99 against alone")
	alone := simulate(PolicyFair, 1, simSlots, eightWorkspaces(1)[1:2])[0].p99()
	for _, policy := range []Policy{PolicyFIFO, PolicyFair} {
		for _, factor := range []float64{1, 5, 20} {
			share, p99 := worstOfOthers(simulate(policy, 1, simSlots, eightWorkspaces(factor)))
			ratio := p99.Seconds() / alone.Seconds()
			fmt.Fprintf(&table, "\n%-6s %3.0fx its rate %8s %-14.3f %-14s %.2f", policy, factor, "", share, p99.Round(100*time.Microsecond), ratio)
			if policy == PolicyFair && (share < 0.9 || ratio > 2) {
				t.Errorf("%.0fx: share %.3f (at least 0.9), p99 %.2f times that alone (at most 2)", factor, share, ratio)
			}
		}
	}
	t.Log(table.String())
}

func TestSimulatedInteractiveBesideBulk(t *testing.T) {
	var table strings.Builder
	for _, slots := range []int{simSlots, 1} {
		// The crew needs 20% of the slots, the audit 160%.
		crew := stream{"crew", note.ClassInteractive, 40 * float64(slots), 5 * time.Millisecond, 0}
		audit := stream{"audit", note.ClassBulk, 8 * float64(slots), 200 * time.Millisecond, 0}
		alone := simulate(PolicyFair, 2, slots, []stream{crew})[0].p99()
		fmt.Fprintf(&table, "\n%d slots: interactive p99 alone %s", slots, alone.Round(100*time.Microsecond))
		for _, policy := range []Policy{PolicyFIFO, PolicyFair} {
			out := simulate(policy, 2, slots, []stream{crew, audit})
			slotTime := float64(out[1].served) * audit.service.Seconds() / (float64(slots) * simDuration.Seconds())
			fmt.Fprintf(&table, "\n  %-5s beside saturating bulk: served %.3f, p99 %s; bulk gets %.2f of the slot time",
				policy, out[0].share(), out[0].p99().Round(100*time.Microsecond), slotTime)
			if policy == PolicyFIFO {
				continue
			}
			if out[0].share() < 0.999 || out[0].p99() > 2*alone {
				t.Errorf("served %.3f, p99 %s against %s alone", out[0].share(), out[0].p99(), alone)
			}
			if slotTime < DefaultBulkFloor {
				t.Errorf("bulk got %.3f of the slot time, its floor is %.2f", slotTime, DefaultBulkFloor)
			}
		}
	}
	t.Log(table.String())
}
