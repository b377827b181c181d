package failover

import (
	"fmt"
	"slices"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
)

// The model runs a Machine against a group with asynchronous replication, entry hosts
// with configuration leases and a control leader that is replaced at random. After
// every step it checks that no acknowledged write is lost and that the rules of a
// choice hold.

const (
	modelStep  = 50 * time.Millisecond
	modelLease = 3 * time.Second
	grantLease = modelLease + modelLease/100 // as counted by the control leader
)

// record is one entry of an endpoint's log. The id is unique, so that two logs
// with the same record at an index agree up to there.
type record struct {
	id       int
	timeline uint32
}

type modelEndpoint struct {
	id              string
	alive           bool
	inRecovery      bool
	upstream        string
	log             []record
	unreachableFrom map[string]bool // hosts, endpoints and "control"
}

func (e *modelEndpoint) timeline() uint32 { return e.log[len(e.log)-1].timeline }

func (e *modelEndpoint) condition() Condition {
	return Condition{Reachable: true, InRecovery: e.inRecovery, Timeline: e.timeline(), Position: uint64(len(e.log))}
}

type modelHost struct {
	id, domain string
	isolated   bool // from the control leader
	group      agreed.Group
	revision   uint64
	leaseEnd   time.Time
	grantEnd   time.Time // as the control leader counts it
	renewed    bool      // with the current leader
}

type pendingWrite struct {
	host     *modelHost
	endpoint *modelEndpoint
	id       int
	index    int // in the log of the endpoint
	term     uint64
	durable  bool
}

type delayed struct {
	at     time.Time
	event  Event
	leader uint64 // the number of the leader that it is for
}

type fault int

const (
	noFault fault = iota
	promoteWithoutMajority
	promoteBeforeSettled
)

type model struct {
	pick       func(n int) int
	fault      fault
	electorate *Electorate
	watchers   map[string][]Watcher
	// skipChoiceRules leaves the rules of a choice unchecked, so that a broken one
	// is detected only by the write that it loses.
	skipChoiceRules bool
	now             time.Time
	revision        uint64
	group           agreed.Group
	machine         *Machine
	leader          uint64 // number of the control leader
	electedAt       time.Time
	hosts           []*modelHost
	endpoints       []*modelEndpoint
	events          []delayed
	commands        []Effect
	promotions      []string // endpoints whose promotion has not been executed yet
	pending         []*pendingWrite
	acked           map[int]bool
	primaries       map[uint64]string // by term
	answered        map[string]bool   // endpoints that answered in the current term
	sealRevision    uint64            // of the last seal
	nextID          int
	faultsEnded     bool
	domainsOut      map[string]bool // failure domains out of use
	checked         [2]uint64       // revision and acknowledged writes at the last check
	failure         string
}

func newModel(pick func(int) int, size int, f fault) *model {
	m := &model{
		pick: pick, fault: f, now: time.Unix(1000, 0), revision: 1,
		acked: map[int]bool{}, primaries: map[uint64]string{}, domainsOut: map[string]bool{}, answered: map[string]bool{},
	}
	for i := range size {
		e := &modelEndpoint{id: fmt.Sprintf("e%d", i), alive: true, inRecovery: i > 0, upstream: "e0", unreachableFrom: map[string]bool{}}
		e.log = []record{{timeline: 1}}
		m.endpoints = append(m.endpoints, e)
		m.group.Members = append(m.group.Members, e.id)
	}
	for i := range 4 {
		m.hosts = append(m.hosts, &modelHost{id: fmt.Sprintf("h%d", i), domain: fmt.Sprintf("d%d", i%3)})
	}
	m.assignWatchers()
	m.group.Service, m.group.Term, m.group.Primary = "s", 1, "e0"
	m.group.Phase, m.group.Timeline, m.group.Changed = agreed.PhaseActive, 1, 1
	m.primaries[1] = "e0"
	m.replaceLeader()
	return m
}

// assignWatchers selects the watchers of each endpoint from the hosts.
func (m *model) assignWatchers() {
	var hosts []Watcher
	for _, h := range m.hosts {
		hosts = append(hosts, Watcher{Host: h.id, Domain: h.domain})
	}
	m.electorate = NewElectorate(hosts)
	m.watchers = map[string][]Watcher{}
	for _, e := range m.endpoints {
		m.watchers[e.id] = m.electorate.Watchers(e.id)
	}
}

// setDomainOut takes a failure domain out of use, or puts it back into use.
func (m *model) setDomainOut(domain string, out bool) {
	m.domainsOut[domain] = out
	m.revision++
	m.step(m.view())
}

// primaryDomain returns the failure domain of the agreed primary.
func (m *model) primaryDomain() string {
	for i, e := range m.endpoints {
		if e.id == m.group.Primary {
			return fmt.Sprintf("d%d", i%3)
		}
	}
	return ""
}

func (m *model) failf(format string, args ...any) {
	if m.failure == "" {
		m.failure = fmt.Sprintf("t=%s %s", m.now.Sub(time.Unix(1000, 0)), fmt.Sprintf(format, args...))
	}
}

func (m *model) endpoint(id string) *modelEndpoint {
	i := slices.IndexFunc(m.endpoints, func(e *modelEndpoint) bool { return e.id == id })
	return m.endpoints[i]
}

// replaceLeader replaces the control leader, whose state in memory is lost.
func (m *model) replaceLeader() {
	m.machine = New(DefaultConfig())
	m.leader++
	m.electedAt = m.now
	m.answered = map[string]bool{}
	m.commands = nil
	for _, h := range m.hosts {
		h.renewed = false
	}
	m.step(m.view())
}

func (m *model) view() View {
	v := View{Group: m.group, Size: len(m.endpoints), Electorate: m.electorate}
	for i, e := range m.endpoints {
		domain := fmt.Sprintf("d%d", i%3)
		v.Members = append(v.Members, Member{Endpoint: e.id, Domain: domain, DomainOut: m.domainsOut[domain]})
	}
	return v
}

// step sends an event to the machine and applies its effects.
func (m *model) step(ev Event) {
	if a, ok := ev.(Answer); ok && a.Reachable && a.Term == m.group.Term {
		m.answered[a.Endpoint] = true
	}
	for _, effect := range m.machine.Step(m.now, ev) {
		m.apply(effect)
	}
}

func (m *model) apply(effect Effect) {
	switch ef := effect.(type) {
	case Seal, Activate:
		m.commands = append(m.commands, ef)
	case Choose:
		m.checkChoice(ef)
		m.commands = append(m.commands, ef)
	case QueryPositions:
		for _, id := range ef.Endpoints {
			m.scheduleAnswer(ef.Term, m.endpoint(id))
		}
	case Promote:
		if m.group.Phase != agreed.PhaseSealed || m.group.Candidate != ef.Endpoint {
			m.failf("promoting %s, which is not the recorded candidate", ef.Endpoint)
		}
		m.promotions = append(m.promotions, ef.Endpoint)
	case Status:
	}
}

// checkChoice checks the rules of a choice against the state of the model: a majority
// has answered, and no host may act in the former term. The candidate recorded in the
// term was chosen from a majority before, so it may be chosen again, for another
// fence, without one.
func (m *model) checkChoice(c Choose) {
	if m.skipChoiceRules {
		return
	}
	g := m.group
	recorded := g.Phase == agreed.PhaseSealed && g.Term == c.Term && g.Candidate == c.Candidate
	if !recorded && len(m.answered) < len(m.endpoints)/2+1 {
		m.failf("candidate chosen from %d answers", len(m.answered))
	}
	for _, h := range m.hosts {
		if m.now.Before(h.leaseEnd) && h.revision < m.sealRevision {
			m.failf("candidate chosen while host %s may act in the former term", h.id)
		}
	}
}

func (m *model) scheduleAnswer(term uint64, e *modelEndpoint) {
	a := Answer{Term: term, Endpoint: e.id}
	if e.alive && !e.unreachableFrom["control"] {
		a.Condition = e.condition()
	}
	m.schedule(a)
}

func (m *model) schedule(ev Event) {
	wait := time.Duration(m.pick(4)) * modelStep
	if m.pick(20) == 0 {
		wait = time.Duration(m.pick(40)) * modelStep
	}
	m.events = append(m.events, delayed{at: m.now.Add(wait), event: ev, leader: m.leader})
}

// commit applies a command to the agreed group when its conditions hold.
func (m *model) commit(command Effect) {
	g := m.group
	switch c := command.(type) {
	case Seal:
		if g.Phase != agreed.PhaseActive || c.Term != g.Term {
			return
		}
		g.Term, g.Phase, g.Candidate = g.Term+1, agreed.PhaseSealed, ""
		m.answered = map[string]bool{}
		m.sealRevision = m.revision + 1
	case Choose:
		if g.Phase != agreed.PhaseSealed || c.Term != g.Term {
			return
		}
		g.Candidate, g.ChooserTerm, g.Attempt = c.Candidate, c.ChooserTerm, c.Attempt
	case Activate:
		if g.Phase != agreed.PhaseSealed || c.Term != g.Term || c.Primary != g.Candidate {
			return
		}
		g.Primary, g.Timeline, g.Phase, g.Candidate = c.Primary, c.Timeline, agreed.PhaseActive, ""
		if p, ok := m.primaries[g.Term]; ok && p != c.Primary {
			m.failf("term %d has primaries %s and %s", g.Term, p, c.Primary)
		}
		m.primaries[g.Term] = c.Primary
	}
	m.revision++
	g.Changed = m.revision
	m.group = g
	m.step(m.view())
}
