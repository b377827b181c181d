package session

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The model runs a Service on each of some hosts that are lost, restarted and
// frozen, under configuration leases, with messages that are lost and late. It
// checks each answer against all writes acknowledged before the read began.

const (
	modelTick  = time.Millisecond
	modelLease = 60 * time.Millisecond
	grantLease = 61 * time.Millisecond
)

// process is one run of a host.
type process struct {
	host        string
	incarnation uint64
	registered  uint64
	alive       bool
	frozen      bool
	service     *Service
	revision    uint64 // applied
	members     map[string]uint64
	departed    uint64
	settled     uint64
	leaseEnd    time.Time
	grantEnd    time.Time
}

func (p *process) runs() bool { return p.alive && !p.frozen }

func (p *process) serves(now time.Time) bool {
	return p.runs() && now.Before(p.leaseEnd) && p.settled >= p.registered && p.revision >= p.registered
}

type modelRead struct {
	process  *process
	required uint64
}

type message struct {
	due     time.Time
	deliver func()
}

type model struct {
	rnd      *rand.Rand
	plant    func(*Service)
	now      time.Time
	revision uint64
	departed uint64
	members  map[string]uint64 // registered hosts with their incarnation
	all      []*process
	messages []message
	written  uint64
	acked    map[string]uint64
	reads    map[uint64]modelRead
	nextRead uint64
	resolved int
	calm     bool
	failure  string
}

var modelHosts = []string{"h1", "h2", "h3"}

func newModel(seed uint64, plant func(*Service)) *model {
	m := &model{
		rnd: rand.New(rand.NewPCG(seed, 3)), plant: plant, now: time.Unix(50, 0),
		members: map[string]uint64{}, acked: map[string]uint64{}, reads: map[uint64]modelRead{},
	}
	for _, host := range modelHosts {
		m.start(host)
	}
	return m
}

// start registers a new process of the host, which replaces its former one.
func (m *model) start(host string) {
	m.revision++
	p := &process{host: host, incarnation: uint64(len(m.all) + 1), registered: m.revision, alive: true, service: NewService(DefaultConfig())}
	m.members = cloneMembers(m.members)
	if _, ok := m.members[host]; ok {
		m.departed = m.revision
	}
	m.members[host] = p.incarnation
	m.all = append(m.all, p)
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
		if !m.calm && m.rnd.IntN(15) == 0 {
			m.disturb()
		}
		m.renew()
		m.deliver()
		m.load()
		for _, p := range m.all {
			if p.runs() {
				m.step(p, Tick{})
			}
		}
		if m.failure != "" {
			return m.failure
		}
	}
	return ""
}

func (m *model) disturb() {
	p := m.all[m.rnd.IntN(len(m.all))]
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
		m.expel(p)
	}
}

// expel removes a host whose lease has run out.
func (m *model) expel(p *process) {
	if m.members[p.host] != p.incarnation || m.now.Before(p.grantEnd) {
		return
	}
	m.members = cloneMembers(m.members)
	delete(m.members, p.host)
	m.revision++
	m.departed = m.revision
}

func (m *model) renew() {
	for _, p := range m.all {
		if !p.runs() || m.members[p.host] != p.incarnation || m.rnd.IntN(10) != 0 {
			continue
		}
		p.revision, p.members, p.departed = m.revision, m.members, m.departed
		p.leaseEnd, p.grantEnd = m.now.Add(modelLease), m.now.Add(grantLease)
		p.settled = m.settled()
		m.step(p, p.view())
	}
}

// settled is the least revision that a holder of a lease has applied.
func (m *model) settled() uint64 {
	least := m.revision
	for _, p := range m.all {
		if m.now.Before(p.grantEnd) {
			least = min(least, p.revision)
		}
	}
	return least
}

func (p *process) view() View {
	v := View{Departed: p.departed, Settled: p.settled, Term: 1}
	for host, incarnation := range p.members {
		if host != p.host {
			v.Peers = append(v.Peers, Peer{Host: host, Incarnation: incarnation})
		}
	}
	return v
}

// load writes and reads at hosts that may serve.
func (m *model) load() {
	p := m.all[m.rnd.IntN(len(m.all))]
	if !p.serves(m.now) {
		return
	}
	workspace := []string{"a", "b"}[m.rnd.IntN(2)]
	switch m.rnd.IntN(3) {
	case 0:
		m.written++
		lsn := m.written
		m.later(5, func() { m.acknowledge(p, workspace, lsn) })
	case 1:
		m.nextRead++
		m.reads[m.nextRead] = modelRead{process: p, required: m.acked[workspace]}
		m.step(p, Read{ID: m.nextRead, Workspace: workspace})
	case 2:
		m.step(p, Replayed{Position{Term: 1, LSN: uint64(m.rnd.Int64N(int64(m.written) + 1))}})
	}
}

func (m *model) acknowledge(p *process, workspace string, lsn uint64) {
	if !p.runs() || !m.now.Before(p.leaseEnd) {
		return
	}
	m.step(p, Acked{Workspace: workspace, Position: Position{Term: 1, LSN: lsn}})
	m.acked[workspace] = max(m.acked[workspace], lsn)
}

// later delivers a message within the given number of ticks, or much later.
func (m *model) later(ticks int, deliver func()) {
	wait := 1 + m.rnd.IntN(ticks)
	if m.rnd.IntN(30) == 0 {
		wait *= 20
	}
	m.messages = append(m.messages, message{due: m.now.Add(time.Duration(wait) * modelTick), deliver: deliver})
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
	effects := p.service.Step(m.now, ev)
	if m.plant != nil {
		m.plant(p.service)
		effects = p.service.effects
	}
	for _, effect := range effects {
		m.apply(p, effect)
	}
}

func (m *model) apply(p *process, effect Effect) {
	switch ef := effect.(type) {
	case RequestTables:
		for _, host := range ef.Hosts {
			m.later(3, func() { m.answer(p, ef.Round, host) })
		}
	case RequestPrimaryPosition:
		m.later(3, func() {
			position := Position{Term: 1, LSN: m.written}
			m.later(3, func() {
				if p.runs() {
					m.step(p, PrimaryPosition{Round: ef.Round, OK: m.now.Before(p.leaseEnd), Position: position})
				}
			})
		})
	case Resolve:
		m.check(ef)
	case Fail:
		delete(m.reads, ef.ID)
	}
}

// answer is handled by the running process of the host, whichever it is.
func (m *model) answer(to *process, round uint64, host string) {
	for _, q := range m.all {
		if q.host != host || !q.runs() || m.rnd.IntN(40) == 0 {
			continue
		}
		reply := Reply{Round: round, Host: host, Incarnation: q.incarnation, Table: q.service.Snapshot()}
		m.later(3, func() {
			if to.runs() {
				m.step(to, reply)
			}
		})
	}
}

func (m *model) check(r Resolve) {
	read := m.reads[r.ID]
	delete(m.reads, r.ID)
	if !m.now.Before(read.process.leaseEnd) {
		return // the entry refuses the read
	}
	m.resolved++
	if r.Position.LSN < read.required && m.failure == "" {
		m.failure = fmt.Sprintf("read at %s must see %d, was told %d", read.process.host, read.required, r.Position.LSN)
	}
}

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

func TestModelNoticesFaults(t *testing.T) {
	plants := map[string]func(*Service){
		"no floor after a lost process": func(s *Service) { s.change = 0 },
		"reads join a round that runs": func(s *Service) {
			if s.round != nil {
				s.round.reads = append(s.round.reads, s.pending...)
				s.pending = nil
			}
		},
		"a silent host counts as empty": func(s *Service) {
			for _, p := range s.peers {
				if p.silent && s.round != nil && len(s.round.missing) > 0 {
					s.round.missing = map[string]bool{}
					s.round.gathering = true
					s.finishGather()
				}
			}
		},
	}
	const schedules = 50
	for name, plant := range plants {
		t.Run(name, func(t *testing.T) {
			noticed := 0
			for seed := range uint64(schedules) {
				if newModel(seed, plant).run(3000) != "" {
					noticed++
				}
			}
			t.Logf("noticed in %d of %d schedules", noticed, schedules)
			if noticed == 0 {
				t.Fatalf("the model did not notice the fault in %d schedules", schedules)
			}
		})
	}
}
