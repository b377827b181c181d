package metering

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Parameters of the simulation.
const (
	simWindow = 5 * time.Second
	simStep   = 20 * time.Millisecond
	// simMargin is the time at both ends of a window without requests: the fleet time differs from
	// the true one by up to half of the longest round trip and the error of the clocks.
	simMargin  = 450 * time.Millisecond
	simTimeout = 500 * time.Millisecond
)

// simStart is the true time at which a simulation begins.
var simStart = time.Unix(1_760_000_000, 0)

// simulation is a fleet whose messages are lost, repeated, delayed and reordered.
type simulation struct {
	t        *rapid.T
	rng      *rand.Rand
	now      time.Time // true time
	loss     float64
	controls []*simControl
	entries  []*simEntry
	leader   int // index of the leader, -1 while none is known
	term     uint64
	queue    []simMessage
	began    []simRequest
}

// simHost is what entry and control hosts have in common.
type simHost struct {
	process Process
	boot    time.Duration // offset of the monotonic clock to the true time
	skew    time.Duration // offset of the time of day to the true time
	alive   bool
}

func (h *simHost) mono(true time.Time) time.Time { return true.Add(h.boot) }
func (h *simHost) day(true time.Time) time.Time  { return true.Add(h.skew) }

type simControl struct {
	simHost
	collector *Collector
}

type simEntry struct {
	simHost
	counter  *Counter
	upstream int
	killed   time.Time
	// safe is when the last report that a control host received was built.
	safe time.Time
}

type simRequest struct {
	at        time.Time
	entry     *simEntry
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

// delay returns the time that a message takes: mostly a few milliseconds, sometimes far more, so
// that later messages overtake it.
func (s *simulation) delay() time.Duration {
	if s.rng.Float64() < 0.1 {
		return time.Duration(s.rng.Int64N(int64(400 * time.Millisecond)))
	}
	return time.Duration(1+s.rng.Int64N(4)) * time.Millisecond
}

// call delivers a batch to a control host and passes on the outcome. received runs on delivery.
func (s *simulation) call(from Process, to *simControl, o Outgoing, received func(), outcome func(Answer, error)) {
	done := false
	finish := func(a Answer, err error) {
		if !done {
			done = true
			outcome(a, err)
		}
	}
	s.later(simTimeout, func() { finish(Answer{}, fmt.Errorf("time-out")) })
	process := to.process
	deliver := func(first bool) {
		if !to.alive || to.process != process {
			return
		}
		a := to.collector.Receive(to.mono(s.now), to.day(s.now), from, o.Batch)
		if !first {
			return
		}
		received()
		if s.rng.Float64() >= s.loss {
			s.later(s.delay(), func() { finish(a, nil) })
		}
	}
	if s.rng.Float64() >= s.loss {
		s.later(s.delay(), func() { deliver(true) })
		if s.rng.Float64() < 0.1 {
			s.later(2*time.Duration(s.rng.Int64N(int64(time.Second))), func() { deliver(false) })
		}
	}
}

func (s *simulation) newProcess(host string) simHost {
	return simHost{
		process: Process{host, uint64(s.now.UnixNano())}, alive: true, skew: time.Duration(s.rng.Int64N(20)) * time.Millisecond,
		boot: -time.Duration(s.now.Unix())*time.Second + time.Duration(s.rng.Int64N(int64(time.Hour))),
	}
}

func (s *simulation) startControl(i int) {
	c := &simControl{simHost: s.newProcess(fmt.Sprintf("c%d", i))}
	c.collector = NewCollector(simWindow, c.process)
	s.controls[i] = c
	s.updateMembers()
}

func (s *simulation) startEntry(i int) *simEntry {
	e := &simEntry{simHost: s.newProcess(fmt.Sprintf("e%d", i)), upstream: s.rng.IntN(len(s.controls))}
	e.counter = NewCounter(simWindow, e.process)
	return e
}

// updateMembers registers the newest process of each host.
func (s *simulation) updateMembers() {
	newest := map[string]Member{}
	for _, c := range s.controls {
		newest[c.process.Host] = Member{Process: c.process, Control: true}
	}
	for _, e := range s.entries {
		newest[e.process.Host] = Member{Process: e.process, Entry: true}
	}
	members := []Member{}
	for _, m := range newest {
		members = append(members, m)
	}
	for _, c := range s.controls {
		c.collector.SetMembers(c.mono(s.now), members, func(w string) bool { return w != "unknown" })
	}
}

// step advances the fleet by simStep.
func (s *simulation) step(requests bool) {
	s.now = s.now.Add(simStep)
	slices.SortStableFunc(s.queue, func(a, b simMessage) int { return a.at.Compare(b.at) })
	for len(s.queue) > 0 && !s.queue[0].at.After(s.now) {
		m := s.queue[0]
		s.queue = s.queue[1:]
		m.run()
	}
	for i, c := range s.controls {
		if !c.alive {
			continue
		}
		role := Role{Leading: i == s.leader, Term: s.term}
		if s.leader >= 0 {
			role.Leader = s.controls[s.leader].process.Host
			role.Target = role.Leader
		}
		if second := s.controls[(i+1)%len(s.controls)]; role.Leading {
			if role.Target = ""; second.alive {
				role.Target = second.process.Host
			}
		}
		c.collector.SetRole(role)
		c.collector.Tick(c.mono(s.now), c.day(s.now))
		if o, ok := c.collector.Batch(c.mono(s.now), c.day(s.now)); ok {
			for _, to := range s.controls {
				if to.process.Host == o.Target {
					s.call(c.process, to, o, func() {}, s.batchOutcome(c, o))
				}
			}
		}
	}
	for _, e := range s.entries {
		if e.alive {
			s.stepEntry(e, requests)
		}
	}
}

func (s *simulation) batchOutcome(c *simControl, o Outgoing) func(Answer, error) {
	return func(a Answer, err error) {
		if err != nil {
			c.collector.Failed(o)
		} else {
			c.collector.Answered(o, a, c.mono(s.now))
		}
	}
}

func (s *simulation) stepEntry(e *simEntry, requests bool) {
	into := time.Duration(s.now.UnixNano() % int64(simWindow))
	if requests && into >= simMargin && into < simWindow-simMargin && s.rng.Float64() < 0.3 {
		r := simRequest{s.now, e, fmt.Sprintf("w%d", s.rng.IntN(3))}
		s.began = append(s.began, r)
		e.counter.Begin(e.mono(s.now), e.day(s.now), r.workspace)
	}
	o, ok := e.counter.Report(e.mono(s.now), e.day(s.now))
	if !ok {
		return
	}
	built := s.now
	s.call(e.process, s.controls[e.upstream], o, func() { e.safe = built }, func(a Answer, err error) {
		if err != nil {
			e.counter.Failed(o)
		} else {
			e.counter.Answered(o, a, e.mono(s.now))
		}
	})
}

// truth returns the counts of all windows, without the requests of killed processes that may be
// lost.
func (s *simulation) truth(mayBeLost func(simRequest) bool) map[int64]map[string]uint64 {
	all := map[int64]map[string]uint64{}
	for _, r := range s.began {
		window := windowOf(r.at, simWindow)
		if all[window] == nil {
			all[window] = map[string]uint64{}
		}
		if !mayBeLost(r) {
			all[window][r.workspace]++
		}
	}
	return all
}

// checkUpper checks that no tally exceeds the truth.
func (s *simulation) checkUpper() {
	truth := s.truth(func(simRequest) bool { return false })
	for _, c := range s.controls {
		for window := range truth {
			for workspace, n := range c.collector.Tally(window).Counts {
				if n > truth[window][workspace] {
					s.t.Fatalf("%s counts %d requests of %s in window %d, the truth is %d", c.process.Host, n, workspace, window, truth[window][workspace])
				}
			}
		}
	}
}

// checkLower checks that the leader misses nothing but what killed processes may lose: the
// requests after the last report that a control host received. Without losses that report is at
// most ReportInterval older than the kill.
func (s *simulation) checkLower() {
	truth := s.truth(func(r simRequest) bool {
		e := r.entry
		safe := e.safe
		if limit := e.killed.Add(-200*time.Millisecond - simStep); s.loss == 0 && limit.After(safe) {
			safe = limit
		}
		return !e.alive && r.at.After(safe)
	})
	leader := s.controls[s.leader].collector
	for window, counts := range truth {
		tally := leader.Tally(window)
		for workspace, n := range counts {
			if tally.Counts[workspace] < n {
				s.t.Fatalf("the leader counts %d requests of %s in window %d, it must know %d", tally.Counts[workspace], workspace, window, n)
			}
		}
	}
}

// TestTallies guards against counts that are reported twice or lost: in random schedules of lost,
// repeated and reordered messages, kills of an entry host and a control host, changes of control
// hosts and the leader, and clock steps of a minority, tallies never exceed the truth and miss at
// most the last 200 ms of a killed host.
func TestTallies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{
			t: t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), now: simStart, term: 1,
			loss: rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss"), controls: make([]*simControl, 3),
		}
		for i := range s.controls {
			s.controls[i] = &simControl{simHost: s.newProcess(fmt.Sprintf("c%d", i))}
			s.controls[i].collector = NewCollector(simWindow, s.controls[i].process)
		}
		for i := range rapid.IntRange(2, 6).Draw(t, "entries") {
			s.entries = append(s.entries, s.startEntry(i))
		}
		s.updateMembers()
		minority := (len(s.entries) + len(s.controls) - 1) / 2
		for !s.timeKnown() { // a host holds its counts back until then
			s.step(false)
		}
		// One entry host and, at another time, one control host are killed.
		entryKill, controlKill := rapid.IntRange(0, 800).Draw(t, "entryKill"), rapid.IntRange(0, 800).Draw(t, "controlKill")
		if d := controlKill - entryKill; d > -100 && d < 100 {
			controlKill = entryKill + 100
		}
		for i := range 1000 {
			switch {
			case i == entryKill:
				s.killEntry()
			case i == controlKill:
				s.killControl()
			case s.rng.Float64() < 0.005:
				s.changeLeader()
			case s.rng.Float64() < 0.01:
				s.changeUpstream(s.entries[s.rng.IntN(len(s.entries))])
			case s.rng.Float64() < 0.02:
				s.entries[s.rng.IntN(min(minority, len(s.entries)))].skew = time.Duration(s.rng.Int64N(int64(20*time.Second))) - 10*time.Second
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
		if tally := s.controls[s.leader].collector.Tally(last); len(tally.Missing) > 0 || tally.Heard != len(entryHosts(s)) {
			t.Fatalf("window %d lacks the final reports of %v", last, tally.Missing)
		}
	})
}

// timeKnown reports whether all hosts know the fleet time.
func (s *simulation) timeKnown() bool {
	for _, c := range s.controls {
		if !c.collector.fleet.known {
			return false
		}
	}
	return !slices.ContainsFunc(s.entries, func(e *simEntry) bool { return !e.counter.fleet.known })
}

// entryHosts returns the names of the entry hosts.
func entryHosts(s *simulation) map[string]bool {
	all := map[string]bool{}
	for _, e := range s.entries {
		all[e.process.Host] = true
	}
	return all
}

func (s *simulation) killEntry() {
	i := s.rng.IntN(len(s.entries))
	e := s.entries[i]
	e.alive, e.killed = false, s.now
	s.later(time.Second, func() {
		s.entries = append(s.entries, s.startEntry(i))
		s.updateMembers()
	})
}

// killControl kills a control host. Its process is replaced after two seconds, and the entry hosts
// use another one after 700 ms.
func (s *simulation) killControl() {
	i := s.rng.IntN(len(s.controls))
	s.controls[i].alive = false
	if s.leader == i {
		s.leader = -1
		s.later(400*time.Millisecond, func() { s.electOther(i) })
	}
	s.later(700*time.Millisecond, func() {
		for _, e := range s.entries {
			if e.upstream == i {
				s.changeUpstream(e)
			}
		}
	})
	s.later(2*time.Second, func() { s.startControl(i) })
}

func (s *simulation) electOther(former int) {
	s.term++
	for s.leader = s.rng.IntN(len(s.controls)); s.leader == former || !s.controls[s.leader].alive; {
		s.leader = (s.leader + 1) % len(s.controls)
	}
}

func (s *simulation) changeLeader() {
	former := s.leader
	if former < 0 || !s.allAlive() {
		return
	}
	s.leader = -1
	s.later(300*time.Millisecond, func() { s.electOther(former) })
}

func (s *simulation) allAlive() bool {
	for _, c := range s.controls {
		if !c.alive {
			return false
		}
	}
	return true
}

func (s *simulation) changeUpstream(e *simEntry) {
	e.upstream = (e.upstream + 1) % len(s.controls)
	if !s.controls[e.upstream].alive {
		e.upstream = (e.upstream + 1) % len(s.controls)
	}
	e.counter.ResendAll()
}
