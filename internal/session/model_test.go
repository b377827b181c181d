package session

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The model runs a PositionTracker on each of several hosts that crash, restart and
// freeze, under configuration leases, with lost and delayed messages. It checks
// that each resolved position covers all writes of the workspace that were
// acknowledged before the read started.

const (
	modelTick = time.Millisecond
	// holderLease is the lease as the host counts it. grantorLease is the same lease as its
	// grantor counts it; it ends later, so that a host is removed only after it has stopped.
	holderLease  = 60 * time.Millisecond
	grantorLease = 61 * time.Millisecond
)

// process is one process of a host.
type process struct {
	host        string
	incarnation uint64
	// registeredRevision is the revision at which the process was registered.
	registeredRevision uint64
	alive              bool
	frozen             bool
	tracker            *PositionTracker
	// appliedRevision, members, lastRemovalRevision and settledRevision are the agreed state
	// that the process received with its last lease.
	appliedRevision     uint64
	members             map[string]uint64
	lastRemovalRevision uint64
	settledRevision     uint64
	holderLeaseEnd      time.Time
	grantorLeaseEnd     time.Time
}

func (p *process) isRunning() bool { return p.alive && !p.frozen }

func (p *process) canServe(now time.Time) bool {
	return p.isRunning() && now.Before(p.holderLeaseEnd) && p.settledRevision >= p.registeredRevision && p.appliedRevision >= p.registeredRevision
}

// modelRead is a read in progress and the LSN that its position must include.
type modelRead struct {
	process  *process
	required uint64
}

// message is a message in transit, delivered at the time due.
type message struct {
	due     time.Time
	deliver func()
}

// model is the agreed state, its processes and the messages in transit.
type model struct {
	rnd *rand.Rand
	// injectFault changes a tracker after each of its steps; nil injects no fault.
	injectFault         func(*PositionTracker)
	now                 time.Time
	revision            uint64
	lastRemovalRevision uint64
	// members holds the incarnations of the registered hosts.
	members map[string]uint64
	// processes holds every process ever started, also replaced ones.
	processes      []*process
	messages       []message
	lastWrittenLSN uint64
	// acked holds the LSN of the last acknowledged write by workspace.
	acked map[string]uint64
	// reads holds the reads in progress by ID.
	reads              map[uint64]modelRead
	nextRead           uint64
	resolved           int
	hostEventsDisabled bool
	// failure describes the first violation; empty when there is none.
	failure string
}

var modelHosts = []string{"h1", "h2", "h3"}

func newModel(seed uint64, injectFault func(*PositionTracker)) *model {
	m := &model{
		rnd: rand.New(rand.NewPCG(seed, 3)), injectFault: injectFault, now: time.Unix(50, 0),
		members: map[string]uint64{}, acked: map[string]uint64{}, reads: map[uint64]modelRead{},
	}
	for _, host := range modelHosts {
		m.start(host)
	}
	return m
}

// start registers a new process of the host, which replaces the former one.
func (m *model) start(host string) {
	m.revision++
	p := &process{host: host, incarnation: uint64(len(m.processes) + 1), registeredRevision: m.revision, alive: true, tracker: NewPositionTracker(DefaultConfig())}
	m.members = cloneMembers(m.members)
	if _, ok := m.members[host]; ok {
		m.lastRemovalRevision = m.revision
	}
	m.members[host] = p.incarnation
	m.processes = append(m.processes, p)
}

func cloneMembers(members map[string]uint64) map[string]uint64 {
	next := make(map[string]uint64, len(members))
	for host, incarnation := range members {
		next[host] = incarnation
	}
	return next
}

func (m *model) run(ticks int) string {
	for range ticks {
		m.now = m.now.Add(modelTick)
		if !m.hostEventsDisabled && m.rnd.IntN(15) == 0 {
			m.injectHostEvent()
		}
		m.renew()
		m.deliver()
		m.issueOperation()
		for _, p := range m.processes {
			if p.isRunning() {
				m.step(p, Tick{})
			}
		}
		if m.failure != "" {
			return m.failure
		}
	}
	return ""
}

func (m *model) injectHostEvent() {
	p := m.processes[m.rnd.IntN(len(m.processes))]
	switch m.rnd.IntN(6) {
	case 0:
		p.alive = false
	case 1:
		p.frozen = true
	case 2, 3:
		p.frozen = false
	case 4:
		m.start(modelHosts[m.rnd.IntN(len(modelHosts))])
	case 5:
		m.removeHost(p)
	}
}

// removeHost removes a host from the members once its lease has expired.
func (m *model) removeHost(p *process) {
	if m.members[p.host] != p.incarnation || m.now.Before(p.grantorLeaseEnd) {
		return
	}
	m.members = cloneMembers(m.members)
	delete(m.members, p.host)
	m.revision++
	m.lastRemovalRevision = m.revision
}

func (m *model) renew() {
	for _, p := range m.processes {
		if !p.isRunning() || m.members[p.host] != p.incarnation || m.rnd.IntN(10) != 0 {
			continue
		}
		p.appliedRevision, p.members, p.lastRemovalRevision = m.revision, m.members, m.lastRemovalRevision
		p.holderLeaseEnd, p.grantorLeaseEnd = m.now.Add(holderLease), m.now.Add(grantorLease)
		p.settledRevision = m.settled()
		m.step(p, p.view())
	}
}

// settled returns the least revision that any holder of a lease has applied.
func (m *model) settled() uint64 {
	least := m.revision
	for _, p := range m.processes {
		if m.now.Before(p.grantorLeaseEnd) {
			least = min(least, p.appliedRevision)
		}
	}
	return least
}

func (p *process) view() View {
	v := View{LastRemovalRevision: p.lastRemovalRevision, Settled: p.settledRevision, Term: 1}
	for host, incarnation := range p.members {
		if host != p.host {
			v.Peers = append(v.Peers, Peer{Host: host, Incarnation: incarnation})
		}
	}
	return v
}

// issueOperation starts a write, a read or a replay report on a host that may serve.
func (m *model) issueOperation() {
	p := m.processes[m.rnd.IntN(len(m.processes))]
	if !p.canServe(m.now) {
		return
	}
	workspace := []string{"a", "b"}[m.rnd.IntN(2)]
	switch m.rnd.IntN(3) {
	case 0:
		m.lastWrittenLSN++
		lsn := m.lastWrittenLSN
		m.sendDelayed(5, func() { m.acknowledge(p, workspace, lsn) })
	case 1:
		m.nextRead++
		m.reads[m.nextRead] = modelRead{process: p, required: m.acked[workspace]}
		m.step(p, Read{ID: m.nextRead, Workspace: workspace})
	case 2:
		m.step(p, Replayed{Position{Term: 1, LSN: uint64(m.rnd.Int64N(int64(m.lastWrittenLSN) + 1))}})
	}
}

func (m *model) acknowledge(p *process, workspace string, lsn uint64) {
	if !p.isRunning() || !m.now.Before(p.holderLeaseEnd) {
		return
	}
	m.step(p, Acked{Workspace: workspace, Position: Position{Term: 1, LSN: lsn}})
	m.acked[workspace] = max(m.acked[workspace], lsn)
}

// sendDelayed delivers a message within the given number of ticks, or in 1 of 30 cases
// 20 times later.
func (m *model) sendDelayed(ticks int, deliver func()) {
	delayTicks := 1 + m.rnd.IntN(ticks)
	if m.rnd.IntN(30) == 0 {
		delayTicks *= 20
	}
	m.messages = append(m.messages, message{due: m.now.Add(time.Duration(delayTicks) * modelTick), deliver: deliver})
}

func (m *model) deliver() {
	var due []message
	m.messages = slices.DeleteFunc(m.messages, func(x message) bool {
		if x.due.After(m.now) {
			return false
		}
		due = append(due, x)
		return true
	})
	for _, x := range due {
		x.deliver()
	}
}

func (m *model) step(p *process, ev Event) {
	effects := p.tracker.Step(m.now, ev)
	if m.injectFault != nil {
		m.injectFault(p.tracker)
		effects = p.tracker.effects
	}
	for _, effect := range effects {
		m.apply(p, effect)
	}
}

func (m *model) apply(p *process, effect Effect) {
	switch ef := effect.(type) {
	case RequestTables:
		for _, host := range ef.Hosts {
			m.sendDelayed(3, func() { m.answer(p, ef.Round, host) })
		}
	case RequestPrimaryPosition:
		m.sendDelayed(3, func() {
			position := Position{Term: 1, LSN: m.lastWrittenLSN}
			m.sendDelayed(3, func() {
				if p.isRunning() {
					m.step(p, PrimaryPosition{Round: ef.Round, OK: m.now.Before(p.holderLeaseEnd), Position: position})
				}
			})
		})
	case Resolve:
		m.check(ef)
	case Fail:
		delete(m.reads, ef.ID)
	}
}

// answer sends the table of every running process of the host, also of replaced ones.
func (m *model) answer(to *process, round uint64, host string) {
	for _, q := range m.processes {
		if q.host != host || !q.isRunning() || m.rnd.IntN(40) == 0 {
			continue
		}
		reply := Reply{Round: round, Host: host, Incarnation: q.incarnation, Table: q.tracker.Snapshot()}
		m.sendDelayed(3, func() {
			if to.isRunning() {
				m.step(to, reply)
			}
		})
	}
}

func (m *model) check(r Resolve) {
	read := m.reads[r.ID]
	delete(m.reads, r.ID)
	if !m.now.Before(read.process.holderLeaseEnd) {
		return // the entry host refuses the read without a valid lease
	}
	m.resolved++
	if r.Position.LSN < read.required && m.failure == "" {
		m.failure = fmt.Sprintf("read at %s must include %d, resolved to %d", read.process.host, read.required, r.Position.LSN)
	}
}

// TestReadsSeeAcknowledgedWrites guards against a resolved position that omits a write
// acknowledged before the read, under lost hosts and lost, delayed messages.
func TestReadsSeeAcknowledgedWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Uint64().Draw(t, "seed"), nil)
		if failure := m.run(3000); failure != "" {
			t.Fatal(failure)
		}
		if m.resolved == 0 {
			t.Fatal("no read was resolved")
		}
	})
}

// TestModelDetectsInjectedFaults checks that the model is strict enough: each fault breaks a
// rule of the tracker and must lead to a stale read in at least one schedule.
func TestModelDetectsInjectedFaults(t *testing.T) {
	faults := map[string]func(*PositionTracker){
		"no new floor after a removed process": func(s *PositionTracker) { s.floorRevision = 0 },
		"reads join a round in progress": func(s *PositionTracker) {
			if s.round != nil {
				s.round.reads = append(s.round.reads, s.pending...)
				s.pending = nil
			}
		},
		"the table of an unresponsive host counts as empty": func(s *PositionTracker) {
			for _, p := range s.peers {
				if p.unresponsive && s.round != nil && len(s.round.awaited) > 0 {
					s.round.awaited = map[string]bool{}
					s.round.gathering = true
					s.finishGather()
				}
			}
		},
	}
	const schedules = 50
	for name, injectFault := range faults {
		t.Run(name, func(t *testing.T) {
			detected := 0
			for seed := range uint64(schedules) {
				if newModel(seed, injectFault).run(3000) != "" {
					detected++
				}
			}
			t.Logf("detected in %d of %d schedules", detected, schedules)
			if detected == 0 {
				t.Fatalf("the model did not detect the fault in %d schedules", schedules)
			}
		})
	}
}
