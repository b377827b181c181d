package core

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/hedge"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// silentEndpoints are endpoints of which some do not answer until told to. An exchange without
// an answer ends at its deadline.
type silentEndpoints struct {
	fakeEndpoints
	silent map[string]bool
	// answer is closed to let the silent endpoints answer what they have received.
	answer chan struct{}
	// asked counts the statements of callers by endpoint.
	asked map[string][]Command
	dials int
	open  map[*silentLink]bool
}

type silentLink struct {
	*fakeLink
	s *silentEndpoints
}

func (s *silentEndpoints) Dial(ctx context.Context, ep agreed.Endpoint, workspace string) (Link, error) {
	l, err := s.fakeEndpoints.Dial(ctx, ep, workspace)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dials++
	link := &silentLink{l.(*fakeLink), s}
	s.open[link] = true
	return link, nil
}

func (l *silentLink) Close() {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	delete(l.s.open, l)
}

func (l *silentLink) Exchange(deadline time.Time, commands ...Command) ([]Answer, bool, error) {
	l.s.mu.Lock()
	held := l.s.silent[l.id] && commands[0].ID != ""
	for _, c := range commands {
		if c.ID != "" {
			l.s.asked[l.id] = append(l.s.asked[l.id], c)
		}
	}
	l.s.mu.Unlock()
	if held {
		select {
		case <-l.s.answer:
		case <-time.After(time.Until(deadline)):
			return nil, true, os.ErrDeadlineExceeded
		}
	}
	return l.fakeLink.Exchange(deadline, commands...)
}

// statements returns how many statements of callers the endpoints have received.
func (s *silentEndpoints) statements() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, all := range s.asked {
		n += len(all)
	}
	return n
}

// newHedgeFixture returns a server whose session "hedged" reads at any endpoint and is hedged,
// with an idle connection to each endpoint, a budget, and the endpoint r1 as the first choice.
func newHedgeFixture(t *testing.T, timeout int64) (*fixture, *silentEndpoints) {
	t.Helper()
	f := newFixture(t)
	e := &silentEndpoints{silent: map[string]bool{}, answer: make(chan struct{}), asked: map[string][]Command{}, open: map[*silentLink]bool{}}
	f.server.opts.Dialer = e
	f.state.Catalog.Routes["hedged"] = note.Route{
		Database: "hedged", Service: "logs", Policy: note.ReadBounded, MaxStaleness: 5000, Timeout: timeout, Target: timeout * 2 / 5, Class: note.ClassInteractive,
	}
	for _, id := range []string{"p", "r2"} {
		ep := f.state.Endpoints[id]
		ep.Domain = "remote"
		f.state.Endpoints[id] = ep
	}
	f.publish(time.Hour)
	for _, id := range []string{"p", "r1", "r2"} {
		f.addIdle(id)
	}
	f.expect(f.open("launch"), Statement{Kind: Read, Text: "x"}, 0, Idle) // learns a position of the primary
	e.asked = map[string][]Command{}
	for range 20 {
		_, _ = f.server.hedges.plan(hedgeRoute(f.state.Catalog.Routes["hedged"]), "logs", hedge.Key{Endpoint: "r1"})
	}
	return f, e
}

// addIdle opens an idle connection of the workspace to an endpoint.
func (f *fixture) addIdle(id string) {
	f.t.Helper()
	e := f.server.endpoint(f.state.Endpoints[id])
	k, err := e.pool.Acquire(context.Background(), "crew", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	e.pool.Release(k, true)
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// atRest reports whether no slot is taken and no connection is checked out.
func (f *fixture) atRest() bool {
	for _, e := range f.server.endpointsInUse() {
		running, _ := f.server.gate.TakeUsage(e.record.ID)
		if s := e.pool.Stats(); running != 0 || s.Open != s.Idle || e.load(time.Time{}).inflight != 0 {
			return false
		}
	}
	return true
}

// TestLateReadHedged guards against a lost answer that costs the caller the whole time-out, and
// against a loser that keeps its slot or returns a connection with an unread answer. A prepared
// read with a session value is used: both must be set on the second connection first, and it
// must require the same position.
func TestLateReadHedged(t *testing.T) {
	f, e := newHedgeFixture(t, time.Minute.Milliseconds()/100)
	e.silent["r1"] = true
	s := f.open("hedged")
	f.expect(s, Statement{Kind: SetValue, Name: "v", Text: "1"}, 0, Idle)
	f.expect(s, Statement{Kind: Prepare, Name: "q", Text: "select"}, 0, Idle)
	f.expect(s, Statement{Kind: Execute, Name: "q", Text: "a"}, 0, Idle)
	second := e.last()
	if len(e.asked["r1"]) != 1 || e.statements() != 2 || second.endpoint == "r1" {
		t.Fatalf("received %v, want one read at r1 and one at another endpoint", e.asked)
	}
	prepared := map[string]bool{}
	valued := false
	for _, r := range e.received {
		if r.endpoint == second.endpoint && r.link == second.link {
			prepared[r.command.Name] = prepared[r.command.Name] || r.command.Kind == Prepare
			valued = valued || r.command.Kind == SetValue && r.command.Name == "v"
		}
	}
	first := e.asked["r1"][0]
	if !prepared[second.command.Name] || !valued || second.command.Text != first.Text {
		t.Errorf("the second connection received %v without the session state, or another text", second.command)
	}
	if first.MinPosition == (Position{}) || second.endpoint != "p" && second.command.MinPosition != first.MinPosition {
		t.Errorf("positions %v and %v required, want the same", first.MinPosition, second.command.MinPosition)
	}
	if f.atRest() {
		t.Error("the first connection was returned before its answer")
	}
	close(e.answer)
	eventually(t, "a slot or a connection was not returned", f.atRest)
	if len(e.open) != e.dials || f.taken.Load() != 2 {
		t.Errorf("%d of %d connections open, %d rate tokens taken; want all, and 2", len(e.open), e.dials, f.taken.Load())
	}
}

// TestLoserWithoutAnswerClosed guards against a connection that is used again although its
// answer may still come.
func TestLoserWithoutAnswerClosed(t *testing.T) {
	f, e := newHedgeFixture(t, 100)
	e.silent["r1"] = true
	f.expect(f.open("hedged"), Statement{Kind: Read, Text: "x"}, 0, Idle)
	eventually(t, "the first connection is still open", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		for l := range e.open {
			if l.id == "r1" {
				return false
			}
		}
		return true
	})
	eventually(t, "a slot or a connection was not returned", f.atRest)
}

// TestNothingElseSentTwice guards against a second copy of a statement that may write, that
// belongs to a transaction, that only the primary may run, or whose route leaves time for
// sequential attempts. All endpoints are silent until the statement times out.
func TestNothingElseSentTwice(t *testing.T) {
	const timeout = 60
	for name, c := range map[string]struct {
		before []Statement
		st     Statement
		change func(*note.Route)
	}{
		"write":                  {nil, Statement{Kind: Write, Text: "x"}, nil},
		"prepared write":         {[]Statement{{Kind: Prepare, Name: "q", Text: "x", Writes: true}}, Statement{Kind: Execute, Name: "q"}, nil},
		"read in a transaction":  {[]Statement{{Kind: BeginReadOnly}}, Statement{Kind: Read, Text: "x"}, nil},
		"commit":                 {[]Statement{{Kind: Begin}}, Statement{Kind: Commit}, nil},
		"read at the primary":    {nil, Statement{Kind: Read, Text: "x"}, func(r *note.Route) { r.Policy = note.ReadPrimary }},
		"time for a second one":  {nil, Statement{Kind: Read, Text: "x"}, func(r *note.Route) { r.Target = timeout / 4 }},
		"no target":              {nil, Statement{Kind: Read, Text: "x"}, func(r *note.Route) { r.Target = 0 }},
		"no budget":              {nil, Statement{Kind: Read, Text: "x"}, nil},
		"no free slot elsewhere": {nil, Statement{Kind: Read, Text: "x"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			f, e := newHedgeFixture(t, timeout)
			r := f.state.Catalog.Routes["hedged"]
			if c.change != nil {
				c.change(&r)
			}
			f.state.Catalog.Routes["hedged"] = r
			f.publish(time.Hour)
			switch name {
			case "no budget":
				for f.server.hedges.take("logs") {
				}
			case "no free slot elsewhere":
				f.occupy("p")
				f.occupy("r2")
			}
			s := f.open("hedged")
			for _, st := range c.before {
				st.ID = "id"
				s.Do(st)
			}
			e.mu.Lock()
			e.silent, e.asked = map[string]bool{"p": true, "r1": true, "r2": true}, map[string][]Command{}
			e.mu.Unlock()
			c.st.ID = "id"
			if reply := s.Do(c.st); reply.Err == nil {
				t.Fatal("answered by a silent endpoint")
			}
			if n := e.statements(); n != 1 {
				t.Errorf("sent %d times, want once", n)
			}
		})
	}
}

// occupy takes all slots of an endpoint.
func (f *fixture) occupy(id string) {
	c := choice{endpoint: f.server.endpoint(f.state.Endpoints[id])}
	s := &Session{srv: f.server, workspace: "crew"}
	for {
		release, ok := f.server.gate.TryAcquireSlot(s.slotRequest(c, note.Route{Class: note.ClassInteractive}, time.Time{}))
		if !ok {
			return
		}
		f.t.Cleanup(release)
	}
}

// TestHedgeOpensConnectionOnlyForLostAnswer guards against hedges that open connections, which
// is expensive, before the answer counts as lost.
func TestHedgeOpensConnectionOnlyForLostAnswer(t *testing.T) {
	f, e := newHedgeFixture(t, 500)
	for _, id := range []string{"p", "r2"} {
		f.server.endpoint(f.state.Endpoints[id]).pool.Sweep(time.Now().Add(time.Hour))
	}
	e.silent["r1"] = true
	dials := e.dials
	s := f.open("hedged")
	sentAt := time.Now()
	f.expect(s, Statement{Kind: Read, Text: "x"}, 0, Idle)
	if took := time.Since(sentAt); e.dials != dials+1 || took < 200*time.Millisecond {
		t.Errorf("%d connections opened, answered after %v; want one, not before the target of the route", e.dials-dials, took)
	}
}

// TestFirstAnswerRefused checks that a read whose first attempt fails while the hedge is in
// progress is answered by the hedge.
func TestFirstAnswerRefused(t *testing.T) {
	f, e := newHedgeFixture(t, time.Minute.Milliseconds()/100)
	e.silent["r1"], e.silent["r2"], e.silent["p"] = true, true, true
	s := f.open("hedged")
	e.plan(refusal(result.StatementFailed))
	reply := make(chan Reply, 1)
	go func() { reply <- s.Do(Statement{ID: "id", Kind: Read, Text: "x"}) }()
	eventually(t, "not hedged", func() bool { return e.statements() == 2 })
	close(e.answer)
	if r := <-reply; r.Err != nil {
		t.Error(r.Err)
	}
	if n := e.statements(); n != 2 {
		t.Errorf("sent %d times, want 2", n)
	}
	eventually(t, "a slot or a connection was not returned", f.atRest)
}
