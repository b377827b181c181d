package metering

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	simWindow  = 5 * time.Second
	simStep    = 20 * time.Millisecond
	simTimeout = 500 * time.Millisecond
	// simMargin is the time at both ends of a window without requests: the fleet time differs from
	// the true one by up to half of the longest round trip and the error of the clocks.
	simMargin = 450 * time.Millisecond
)

// simulation is a fleet whose messages are lost, repeated, delayed and reordered.
type simulation struct {
	t        *rapid.T
	rng      *rand.Rand
	now      time.Time // true time
	loss     float64
	controls []*simHost
	entries  []*simHost // all processes
	leader   int        // index of the leader, -1 while none is known
	term     uint64
	queue    []simMessage
	began    []simRequest
}

// simHost is a process of an entry host, which has a counter, or of a control host.
type simHost struct {
	process    Process
	boot, skew time.Duration // of the monotonic clock and the time of day to the true time
	alive      bool
	collector  *Collector
	counter    *Counter
	upstream   int
	killed     time.Time
	safe       time.Time // when the last report that a control host received was built
}

func (h *simHost) mono(now time.Time) time.Time { return now.Add(h.boot) }
func (h *simHost) day(now time.Time) time.Time  { return now.Add(h.skew) }

type simRequest struct {
	at        time.Time
	entry     *simHost
	workspace string
}

// simMessage is a function that runs at a true time.
type simMessage struct {
	at  time.Time
	run func()
}

func (s *simulation) later(d time.Duration, run func()) {
	s.queue = append(s.queue, simMessage{s.now.Add(d), run})
}

// delay is mostly a few milliseconds and sometimes far more, so that later messages overtake.
func (s *simulation) delay() time.Duration {
	if s.rng.Float64() < 0.1 {
		return time.Duration(s.rng.Int64N(int64(400 * time.Millisecond)))
	}
	return time.Duration(1+s.rng.Int64N(4)) * time.Millisecond
}

// call delivers a batch to a control host, sometimes twice, and passes on the outcome.
func (s *simulation) call(from, to *simHost, o Outgoing, answered func(Outgoing, Answer, time.Time), failed func(Outgoing)) {
	built, done := s.now, false
	s.later(simTimeout, func() {
		if !done {
			done = true
			failed(o)
		}
	})
	deliver := func() Answer {
		if !to.alive {
			return Answer{}
		}
		from.safe = built
		return to.collector.Receive(to.mono(s.now), to.day(s.now), from.process, o.Batch)
	}
	if s.rng.Float64() < s.loss {
		return
	}
	s.later(s.delay(), func() {
		a := deliver()
		if to.alive && s.rng.Float64() >= s.loss {
			s.later(s.delay(), func() {
				if !done {
					done = true
					answered(o, a, from.mono(s.now))
				}
			})
		}
	})
	if s.rng.Float64() < 0.1 {
		s.later(simTimeout+2*time.Duration(s.rng.Int64N(int64(time.Second))), func() { deliver() })
	}
}

// start returns a new process of a host.
func (s *simulation) start(kind string, i int) *simHost {
	h := &simHost{
		process: Process{fmt.Sprint(kind, i), uint64(s.now.UnixNano())}, alive: true, upstream: s.rng.IntN(3),
		skew: time.Duration(s.rng.Int64N(20)) * time.Millisecond,
		boot: -time.Duration(s.now.Unix())*time.Second + time.Duration(s.rng.Int64N(int64(time.Hour))),
	}
	h.counter, h.collector = NewCounter(simWindow, h.process), NewCollector(simWindow, h.process)
	return h
}

// register registers the newest process of each host.
func (s *simulation) register() {
	newest := map[string]Member{}
	for _, e := range s.entries {
		newest[e.process.Host] = Member{Process: e.process, Entry: true}
	}
	var members []Member
	for _, m := range newest {
		members = append(members, m)
	}
	for _, c := range s.controls {
		members = append(members, Member{Process: c.process, Control: true})
	}
	for _, c := range s.controls {
		c.collector.SetMembers(c.mono(s.now), members, func(string) bool { return true })
	}
}

// step advances the fleet by simStep.
func (s *simulation) step(requests bool) {
	s.now = s.now.Add(simStep)
	slices.SortStableFunc(s.queue, func(a, b simMessage) int { return a.at.Compare(b.at) })
	for len(s.queue) > 0 && !s.queue[0].at.After(s.now) {
		run := s.queue[0].run
		s.queue = s.queue[1:]
		run()
	}
	for i, c := range s.controls {
		if !c.alive {
			continue
		}
		role, target := Role{Leading: i == s.leader, Term: s.term}, s.leader
		if role.Leading {
			target = (i + 1) % len(s.controls)
		}
		if s.leader >= 0 {
			role.Leader, role.Target = s.controls[s.leader].process.Host, s.controls[target].process.Host
		}
		c.collector.SetRole(role)
		c.collector.Tick(c.mono(s.now), c.day(s.now))
		if o, ok := c.collector.Batch(c.mono(s.now), c.day(s.now)); ok {
			to := s.controls[slices.IndexFunc(s.controls, func(h *simHost) bool { return h.process.Host == o.Target })]
			s.call(c, to, o, c.collector.Answered, c.collector.Failed)
		}
	}
	for _, e := range s.entries {
		if e.alive {
			s.stepEntry(e, requests)
		}
	}
}

func (s *simulation) stepEntry(e *simHost, requests bool) {
	into := time.Duration(s.now.UnixNano() % int64(simWindow))
	if requests && into >= simMargin && into < simWindow-simMargin && s.rng.Float64() < 0.3 {
		r := simRequest{s.now, e, fmt.Sprint("w", s.rng.IntN(3))}
		s.began = append(s.began, r)
		e.counter.Begin(e.mono(s.now), e.day(s.now), r.workspace)
	}
	if o, ok := e.counter.Report(e.mono(s.now), e.day(s.now)); ok {
		s.call(e, s.controls[e.upstream], o, e.counter.Answered, e.counter.Failed)
	}
}

// check compares the tally of a control host with the requests for which counted is true.
func (s *simulation) check(c *simHost, counted func(simRequest) bool, wrong func(tally, truth uint64) error) {
	truth := map[int64]map[string]uint64{}
	for _, r := range s.began {
		window := windowOf(r.at, simWindow)
		if truth[window] == nil {
			truth[window] = map[string]uint64{}
		}
		if counted(r) {
			truth[window][r.workspace]++
		}
	}
	for window := range truth {
		for _, w := range []string{"w0", "w1", "w2"} {
			if err := wrong(c.collector.Tally(window).Counts[w], truth[window][w]); err != nil {
				s.t.Fatalf("%s, %s in window %d: %v", c.process.Host, w, window, err)
			}
		}
	}
}

// checkUpper checks that no tally exceeds the truth.
func (s *simulation) checkUpper() {
	for _, c := range s.controls {
		s.check(c, func(simRequest) bool { return true }, func(tally, truth uint64) error {
			if tally > truth {
				return fmt.Errorf("counted %d requests of %d", tally, truth)
			}
			return nil
		})
	}
}

// checkLower checks that the leader knows all requests but those that a killed process began after
// its last report that was received. Without losses that is at most 200 ms before the kill.
func (s *simulation) checkLower() {
	s.check(s.controls[s.leader], func(r simRequest) bool {
		safe := r.entry.safe
		if limit := r.entry.killed.Add(-200*time.Millisecond - simStep); s.loss == 0 && limit.After(safe) {
			safe = limit
		}
		return r.entry.alive || !r.at.After(safe)
	}, func(tally, truth uint64) error {
		if tally < truth {
			return fmt.Errorf("counted %d requests, at least %d are known", tally, truth)
		}
		return nil
	})
}

// timeKnown reports whether all hosts know the fleet time. They hold their counts back until then.
func (s *simulation) timeKnown() bool {
	unknown := func(h *simHost) bool { return !h.counter.fleet.known && !h.collector.fleet.known }
	return !slices.ContainsFunc(s.controls, unknown) && !slices.ContainsFunc(s.entries, unknown)
}

// TestTallies guards against counts that are reported twice or lost: in random schedules of lost,
// repeated and reordered messages, kills of an entry host and a control host, changes of control
// hosts and the leader, and clock steps of a minority, tallies never exceed the truth and miss at
// most the last 200 ms of a killed host.
func TestTallies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{
			t: t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), now: time.Unix(1_760_000_000, 0), term: 1,
			loss: rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss"),
		}
		for i := range 3 {
			s.controls = append(s.controls, s.start("c", i))
		}
		for i := range rapid.IntRange(2, 6).Draw(t, "entries") {
			s.entries = append(s.entries, s.start("e", i))
		}
		hosts := len(s.entries)
		minority := min(hosts, (hosts+len(s.controls)-1)/2)
		s.register()
		for !s.timeKnown() {
			s.step(false)
		}
		// The kills are two seconds apart: what one host stores is then stored by another.
		entryKill, controlKill := rapid.IntRange(0, 800).Draw(t, "entryKill"), rapid.IntRange(0, 800).Draw(t, "controlKill")
		if d := controlKill - entryKill; d > -100 && d < 100 {
			controlKill = entryKill + 100
		}
		for i := range 1000 {
			switch event := s.rng.Float64(); {
			case i == entryKill:
				s.killEntry(s.rng.IntN(hosts))
			case i == controlKill:
				s.killControl(s.rng.IntN(len(s.controls)))
			case event < 0.005:
				s.changeLeader()
			case event < 0.015:
				s.changeUpstream(s.entries[s.rng.IntN(hosts)])
			case event < 0.035:
				s.entries[s.rng.IntN(minority)].skew = time.Duration(s.rng.Int64N(int64(20*time.Second))) - 10*time.Second
			}
			s.step(true)
			if i%100 == 0 {
				s.checkUpper()
			}
		}
		s.loss = min(s.loss, 0.02)
		for range 300 {
			s.step(false)
		}
		s.checkUpper()
		s.checkLower()
		last := windowOf(s.now.Add(-3*time.Second), simWindow) - 1
		if tally := s.controls[s.leader].collector.Tally(last); len(tally.Missing) > 0 || tally.Heard != hosts {
			t.Fatalf("window %d has %d final reports and lacks those of %v", last, tally.Heard, tally.Missing)
		}
	})
}

// killEntry kills an entry host, which starts again after a second.
func (s *simulation) killEntry(i int) {
	s.entries[i].alive, s.entries[i].killed = false, s.now
	s.later(time.Second, func() {
		s.entries = append(s.entries, s.start("e", i))
		s.register()
	})
}

// killControl kills a control host, which starts again after two seconds with nothing stored. The
// entry hosts use another one after 700 ms.
func (s *simulation) killControl(i int) {
	s.controls[i].alive = false
	if s.leader == i {
		s.changeLeader()
	}
	s.later(700*time.Millisecond, func() {
		for _, e := range s.entries {
			if e.upstream == i {
				s.changeUpstream(e)
			}
		}
	})
	s.later(2*time.Second, func() {
		s.controls[i] = s.start("c", i)
		s.register()
	})
}

// changeLeader elects another control host after 300 ms.
func (s *simulation) changeLeader() {
	former := s.leader
	if former < 0 {
		return
	}
	s.leader = -1
	s.later(300*time.Millisecond, func() {
		s.term++
		s.leader = (former + 1 + s.rng.IntN(2)) % 3
		if !s.controls[s.leader].alive {
			s.leader = 3 - former - s.leader
		}
		if !s.controls[s.leader].alive {
			s.leader = former
		}
	})
}

func (s *simulation) changeUpstream(e *simHost) {
	e.upstream = (e.upstream + 1) % 3
	if !s.controls[e.upstream].alive {
		e.upstream = (e.upstream + 1) % 3
	}
	e.counter.ResendAll()
}
