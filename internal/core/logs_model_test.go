package core

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// logGroup is the endpoints of a service. Its log is a list of the texts that were written; each replica
// holds a prefix of it.
type logGroup struct {
	// term is that of the next positions; positions and texts belong to the commits of the log.
	term      uint64
	positions []Position
	texts     []string
	members   []string
	primary   string
	applied   map[string]int
	startedMS uint64
}

func newLogGroup(service string, startedMS uint64) *logGroup {
	g := &logGroup{term: 1, members: []string{service + "-1", service + "-2", service + "-3"}, applied: map[string]int{}, startedMS: startedMS}
	g.primary = g.members[0]
	return g
}

func (g *logGroup) held(endpoint string) int {
	if endpoint == g.primary {
		return len(g.texts)
	}
	return g.applied[endpoint]
}

// promote makes a replica the primary, which leads the next term with what it holds.
func (g *logGroup) promote(endpoint string) {
	kept := g.held(endpoint)
	g.positions, g.texts = g.positions[:kept:kept], g.texts[:kept:kept]
	for id, n := range g.applied {
		g.applied[id] = min(n, kept)
	}
	g.applied[g.primary] = kept
	g.primary = endpoint
	g.term++
}

// logWorld is the endpoints of all services. It implements Dialer.
type logWorld struct {
	mu     sync.Mutex
	groups map[string]*logGroup
	// unreported: answers to commits carry no position.
	unreported bool
	// replicaReads counts the reads that ran on replicas.
	replicaReads int
}

type logLink struct {
	world             *logWorld
	service, endpoint string
	workspace         string
	state             State
	buffered          []string
	prepared          map[string]bool
}

func (w *logWorld) Dial(_ context.Context, e agreed.Endpoint, workspace string) (Link, error) {
	return &logLink{world: w, service: e.Service, endpoint: e.ID, workspace: workspace, prepared: map[string]bool{}}, nil
}

func (l *logLink) Key() string             { return l.workspace }
func (l *logLink) Alive() bool             { return true }
func (l *logLink) Reusable() bool          { return true }
func (l *logLink) StartPosition() Position { return Position{} }
func (l *logLink) Close()                  {}

func (l *logLink) Exchange(_ time.Time, commands ...Command) (answers []Answer, sent bool, err error) {
	l.world.mu.Lock()
	defer l.world.mu.Unlock()
	for _, c := range commands {
		answers = append(answers, l.run(c))
	}
	return answers, true, nil
}

func (l *logLink) run(c Command) Answer {
	g := l.world.groups[l.service]
	held := g.held(l.endpoint)
	position := func() Position {
		if n := g.held(l.endpoint); n > 0 {
			return g.positions[n-1]
		}
		return Position{Term: g.term}
	}
	if c.MinPosition.Compare(position()) > 0 {
		return Answer{Err: result.New(result.ReplicaBehind, "at %v", position()), State: l.state, Position: position()}
	}
	a := Answer{Signature: "s"}
	writes := c.Kind == Write || c.Kind == Execute && l.prepared[c.Name]
	switch {
	case writes && l.endpoint != g.primary:
		return Answer{Err: result.New(result.EndpointReadOnly, ""), State: l.state}
	case writes && l.state == InTransaction:
		l.buffered = append(l.buffered, c.Text)
	case writes:
		l.commit(g, c.Text)
	case c.Kind == Read:
		if l.endpoint != g.primary {
			l.world.replicaReads++
		}
		a.Rows = append([]string{l.service}, g.texts[:held]...)
	case c.Kind == Prepare:
		l.prepared[c.Name] = c.Writes
	case c.Kind == Begin, c.Kind == BeginReadOnly:
		l.state, l.buffered = InTransaction, nil
	case c.Kind == Commit:
		l.commit(g, l.buffered...)
		l.state, l.buffered = Idle, nil
	case c.Kind == Rollback:
		l.state, l.buffered = Idle, nil
	}
	a.State, a.Position = l.state, position()
	if l.world.unreported && (writes || c.Kind == Commit) {
		a.Position = Position{}
	}
	return a
}

func (l *logLink) commit(g *logGroup, texts ...string) {
	for _, text := range texts {
		g.texts = append(g.texts, text)
		g.positions = append(g.positions, Position{Term: g.term, Number: uint64(len(g.texts))})
	}
}

// modelT is the part of testing.T and rapid.T that a logModel uses.
type modelT interface {
	Fatalf(format string, args ...any)
	Helper()
}

// logModel plays a session whose route moves between services, with changes of terms, services that are
// withdrawn and return, and statements that run on one of three hosts.
type logModel struct {
	modelT
	f        *forwardFixture
	world    *logWorld
	session  *Session
	services []string
	present  map[string]bool
	route    string
	index    uint64
	written  int
	// acked holds the texts of the session that were acknowledged and not lost since, by service.
	acked map[string][]string
}

// newLogModel returns a model of one service for each length of a log.
func newLogModel(t *testing.T, mt modelT, lengths ...int) *logModel {
	m := &logModel{
		modelT: mt, f: newForwardFixture(t), world: &logWorld{groups: map[string]*logGroup{}},
		present: map[string]bool{}, acked: map[string][]string{}, index: 10,
	}
	for i, length := range lengths {
		service := fmt.Sprintf("logs%d", i+1)
		m.services, m.present[service] = append(m.services, service), true
		m.world.groups[service] = newLogGroup(service, 1)
		for range length {
			(&logLink{}).commit(m.world.groups[service], "old")
		}
	}
	for _, s := range []*Server{m.f.server, m.f.home1, m.f.home2} {
		s.opts.Dialer = m.world
		s.primaryPositions.wait = 0
	}
	m.route = m.services[0]
	m.publish()
	m.session = m.f.open("own")
	return m
}

// publish puts the present services and the route into force through the agreed state.
func (m *logModel) publish() {
	m.index++
	c := note.Catalog{
		Workspaces: m.f.state.Catalog.Workspaces, Keys: m.f.state.Catalog.Keys, Services: map[string]note.Service{},
		Routes: map[string]note.Route{"own": {Database: "own", Service: m.route, Policy: note.ReadOwnWrites, MaxStaleness: 5000, Timeout: 2000, Class: note.ClassBulk}},
	}
	for service, present := range m.present {
		if present {
			c.Services[service] = note.Service{Name: service, Ack: note.AckReplicas}
		}
	}
	next, _ := agreed.Apply(m.f.state, m.index, agreed.Command{PutCatalog: &agreed.PutCatalog{Document: agreed.Document{Number: m.index}, Catalog: c}})
	state := *next
	state.Groups, state.Endpoints = maps.Clone(state.Groups), maps.Clone(state.Endpoints)
	for service := range c.Services {
		w, g := m.world.groups[service], state.Groups[service]
		if g.Phase == agreed.PhaseForming {
			g.Term = 0
		}
		if g.Primary != w.primary || g.Term == 0 {
			g.Term++
		}
		g.Members, g.Primary, g.Phase = w.members, w.primary, agreed.PhaseActive
		state.Groups[service] = g
		for _, id := range w.members {
			state.Endpoints[id] = agreed.Endpoint{ID: id, Service: service, Addr: id + ":1", Domain: "d", StartedMS: w.startedMS}
		}
	}
	m.f.state = &state
	m.f.publish(time.Hour)
}

// preferReplicas makes the primaries look busy, so that reads go to replicas that may run them.
func (m *logModel) preferReplicas() {
	for _, s := range []*Server{m.f.server, m.f.home1, m.f.home2} {
		for service, present := range m.present {
			for _, id := range m.world.groups[service].members {
				if record, ok := m.f.state.Endpoints[id]; ok && present {
					e := s.endpoint(record)
					e.mu.Lock()
					e.inflight, e.behindUntil = 0, time.Time{}
					if id == m.world.groups[service].primary {
						e.inflight = 10
					}
					e.mu.Unlock()
				}
			}
		}
	}
}

func (m *logModel) do(st Statement) Reply {
	st.ID = "id"
	return m.session.Do(st)
}

// write has the session write a text by a statement, and records it as acknowledged on the service that
// holds it then. between is called after a Write.
func (m *logModel) write(between func(), statements ...Statement) {
	m.written++
	text := fmt.Sprintf("w%d", m.written)
	for i, st := range statements {
		if st.Kind == Write || st.Kind == Execute {
			st.Text = text
		}
		if r := m.do(st); r.Err != nil {
			m.Fatalf("statement %d of the write %s: %v", i, text, r.Err)
		}
		if st.Kind == Write {
			between()
		}
	}
	for service, g := range m.world.groups {
		if slices.Contains(g.texts, text) {
			m.acked[service] = append(m.acked[service], text)
		}
	}
}

func (m *logModel) moveTo(service string) {
	m.route = service
	m.publish()
}

func (m *logModel) presentServices() []string {
	var present []string
	for _, service := range m.services {
		if m.present[service] {
			present = append(present, service)
		}
	}
	return present
}

// read has the session read, and checks that it sees what it had acknowledged in the service.
func (m *logModel) read(statements ...Statement) {
	m.preferReplicas()
	for _, st := range statements {
		r := m.do(st)
		if r.Err != nil {
			m.Fatalf("%s: %v", st.Kind, r.Err)
		}
		if st.Kind != Read {
			continue
		}
		service := r.Rows[0]
		for _, text := range m.acked[service] {
			if !slices.Contains(r.Rows, text) {
				m.Fatalf("a read on %s sees %v without %s, which the session wrote there", service, strings.Join(r.Rows[1:], " "), text)
			}
		}
	}
}

func (m *logModel) failOver(service, next string) {
	g := m.world.groups[service]
	g.promote(next)
	m.acked[service] = slices.DeleteFunc(m.acked[service], func(text string) bool { return !slices.Contains(g.texts, text) })
	if m.present[service] {
		m.publish()
	}
}

// withdraw takes a service other than that of the route out of the catalog.
func (m *logModel) withdraw(service string) {
	if service != m.route {
		m.present[service] = false
		m.publish()
	}
}

// returnServices puts withdrawn services back, with their endpoints as they were or, for those that are
// empty, with new ones.
func (m *logModel) returnServices(empty func() bool) {
	for _, service := range m.services {
		if m.present[service] {
			continue
		}
		m.present[service] = true
		if empty() {
			m.world.groups[service] = newLogGroup(service, m.index)
			m.acked[service] = nil
		}
	}
	m.publish()
}

// replicate lets each replica apply the log up to a position that is chosen for it.
func (m *logModel) replicate(choose func(applied, length int) int) {
	for _, service := range m.services {
		g := m.world.groups[service]
		for _, id := range g.members {
			g.applied[id] = choose(g.applied[id], len(g.texts))
		}
	}
}

// TestSessionReadsItsWritesOnEachService guards against a session that does not see its own acknowledged
// writes on a service after its route has led elsewhere, or after the service had another term or life.
func TestSessionReadsItsWritesOnEachService(t *testing.T) {
	replicaReads := 0
	rapid.Check(t, func(rt *rapid.T) {
		anyOf := func(label string, all []string) string { return rapid.SampledFrom(all).Draw(rt, label) }
		some := func(label string) func() bool { return func() bool { return rapid.Bool().Draw(rt, label) } }
		// Logs of different lengths: the position of one service is then ahead of the others.
		m := newLogModel(t, rt, rapid.SliceOfN(rapid.IntRange(0, 8), 2, 3).Draw(rt, "lengths")...)
		if r := m.do(Statement{Kind: Prepare, Name: "put", Text: "shape", Writes: true}); r.Err != nil {
			rt.Fatal(r.Err)
		}
		move := func() { m.moveTo(anyOf("service", m.presentServices())) }
		for range rapid.IntRange(5, 40).Draw(rt, "steps") {
			m.f.forwarder.setRoute(rapid.SampledFrom([][]string{nil, {"home1", "home2"}, {"home2", "home1"}}).Draw(rt, "hosts")...)
			m.world.unreported = rapid.IntRange(0, 9).Draw(rt, "unreported") == 0
			switch rapid.IntRange(0, 11).Draw(rt, "step") {
			case 0, 1:
				m.write(func() {}, Statement{Kind: Write})
			case 2:
				m.write(func() {}, Statement{Kind: Execute, Name: "put"})
			case 3:
				m.write(move, Statement{Kind: Begin}, Statement{Kind: Write}, Statement{Kind: Commit})
			case 4, 5:
				m.read(Statement{Kind: Read})
			case 6:
				m.read(Statement{Kind: BeginReadOnly}, Statement{Kind: Read}, Statement{Kind: Commit})
			case 7, 8:
				move()
			case 9:
				service := anyOf("failed service", m.services)
				m.failOver(service, anyOf("next primary", m.world.groups[service].members[1:]))
			case 10:
				m.withdraw(anyOf("withdrawn", m.services))
				if some("back at once")() {
					m.returnServices(some("empty"))
				}
			case 11:
				m.returnServices(some("empty"))
			}
			m.replicate(func(applied, length int) int { return rapid.IntRange(applied, length).Draw(rt, "applied") })
		}
		m.session.Close()
		replicaReads += m.world.replicaReads
	})
	if replicaReads == 0 {
		t.Error("no read ran on a replica")
	}
	t.Logf("%d reads ran on replicas", replicaReads)
}

// TestOwnWriteReadAfterRouteReturns guards against a read of a session that requires the position of its
// write on another service, to which its route led in between (review/12).
func TestOwnWriteReadAfterRouteReturns(t *testing.T) {
	for name, hosts := range map[string][]string{"local": nil, "forwarded": {"home1", "home2"}} {
		t.Run(name, func(t *testing.T) {
			m := newLogModel(t, t, 5, 0)
			m.f.forwarder.setRoute(hosts...)
			m.write(func() {}, Statement{Kind: Write})
			m.replicate(func(_, length int) int { return length })
			m.write(func() {}, Statement{Kind: Write}) // the replicas do not apply it
			m.moveTo("logs2")
			m.write(func() {}, Statement{Kind: Write})
			m.moveTo("logs1")
			m.read(Statement{Kind: Read})
		})
	}
}

// TestReturnedServiceReadsFromReplicas guards against a service whose reads all go to the primary after
// it was withdrawn in a later term than that in which it has returned.
func TestReturnedServiceReadsFromReplicas(t *testing.T) {
	m := newLogModel(t, t, 5, 0)
	all := func(_, length int) int { return length }
	m.replicate(all)
	m.failOver("logs1", "logs1-2")
	m.write(func() {}, Statement{Kind: Write})
	m.moveTo("logs2")
	m.withdraw("logs1")
	m.returnServices(func() bool { return false })
	m.moveTo("logs1")
	for range 3 {
		m.read(Statement{Kind: Read})
		m.replicate(all)
	}
	if m.world.replicaReads == 0 {
		t.Error("no read ran on a replica")
	}
}
