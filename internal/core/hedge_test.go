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

// silentEndpoints are endpoints of which some do not answer callers until answer is closed. An
// exchange without an answer ends at its deadline.
type silentEndpoints struct {
	fakeEndpoints
	silent map[string]bool
	answer chan struct{}
	asked  []receivedCommand // statements of callers
	dials  int
}

type silentLink struct {
	*fakeLink
	s *silentEndpoints
}

func (s *silentEndpoints) Dial(ctx context.Context, ep agreed.Endpoint, workspace string) (Link, error) {
	l, err := s.fakeEndpoints.Dial(ctx, ep, workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dials++
	return &silentLink{l.(*fakeLink), s}, err
}

func (l *silentLink) Exchange(deadline time.Time, commands ...Command) ([]Answer, bool, error) {
	l.s.mu.Lock()
	held := commands[0].ID != "" && l.s.silent[l.id]
	if commands[0].ID != "" {
		l.s.asked = append(l.s.asked, receivedCommand{l.id, l.number, commands[0]})
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
	return len(s.asked)
}

// newHedgeFixture returns a server whose session "hedged" reads at any endpoint and is hedged,
// with an idle connection to each endpoint, a budget, and the endpoint r1 as the first choice.
func newHedgeFixture(t *testing.T, timeout int64) (*fixture, *silentEndpoints) {
	f := newFixture(t)
	e := &silentEndpoints{silent: map[string]bool{}, answer: make(chan struct{})}
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
		pool := f.server.endpoint(f.state.Endpoints[id]).pool
		k, err := pool.Acquire(context.Background(), "crew", nil)
		if err != nil {
			t.Fatal(err)
		}
		pool.Release(k, true)
	}
	f.expect(f.open("launch"), Statement{Kind: Read, Text: "x"}, 0, Idle) // learns a position of the primary
	e.asked = nil
	for range 20 {
		_, _ = f.server.hedges.plan(hedgeRoute(f.state.Catalog.Routes["hedged"]), "logs", hedge.Key{Endpoint: "r1"})
	}
	return f, e
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, ok func() bool) {
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
	f, e := newHedgeFixture(t, 4000)
	e.silent["r1"] = true
	s := f.open("hedged")
	f.expect(s, Statement{Kind: SetValue, Name: "v", Text: "1"}, 0, Idle)
	f.expect(s, Statement{Kind: Prepare, Name: "q", Text: "select"}, 0, Idle)
	f.expect(s, Statement{Kind: Execute, Name: "q", Text: "a"}, 0, Idle)
	if e.statements() != 2 || e.asked[0].endpoint != "r1" || e.asked[1].endpoint == "r1" {
		t.Fatalf("received %v, want one read at r1 and one at another endpoint", e.asked)
	}
	first, second := e.asked[0].command, e.asked[1]
	restored := map[Kind]string{}
	for _, r := range e.received {
		if r.endpoint == second.endpoint && r.link == second.link {
			restored[r.command.Kind] = r.command.Name
		}
	}
	if restored[Prepare] != second.command.Name || restored[SetValue] != "v" || second.command.Text != first.Text {
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
	if e.closed != 0 || f.taken.Load() != 3 {
		t.Errorf("%d connections closed, %d rate tokens taken; want none, and 3: one for each read and one for the hedge", e.closed, f.taken.Load())
	}
}

// TestLoserWithoutAnswerClosed guards against a connection that is used again although its
// answer may still come.
func TestLoserWithoutAnswerClosed(t *testing.T) {
	f, e := newHedgeFixture(t, 1000)
	e.silent["r1"] = true
	f.expect(f.open("hedged"), Statement{Kind: Read, Text: "x"}, 0, Idle)
	eventually(t, "the first connection is still open, or a slot was not returned", func() bool {
		return f.server.endpoint(f.state.Endpoints["r1"]).pool.Stats().Open == 0 && f.atRest()
	})
}

// TestNothingElseSentTwice guards against a second copy of a statement that may write, that
// belongs to a transaction, that only the primary may run, whose route leaves time for
// sequential attempts, or for which there is no budget, token or slot. All endpoints are silent until
// the statement times out.
func TestNothingElseSentTwice(t *testing.T) {
	const timeout = 300
	read := Statement{ID: "id", Kind: Read, Text: "x"}
	route := func(policy note.ReadPolicy, target int64) func(*fixture) {
		return func(f *fixture) {
			r := f.state.Catalog.Routes["hedged"]
			r.Policy, r.Target = policy, target
			f.state.Catalog.Routes["hedged"] = r
			f.publish(time.Hour)
		}
	}
	for name, c := range map[string]struct {
		before, st Statement
		prepare    func(*fixture)
	}{
		"write":                 {st: Statement{ID: "id", Kind: Write, Text: "x"}},
		"prepared write":        {before: Statement{Kind: Prepare, Name: "q", Text: "x", Writes: true}, st: Statement{ID: "id", Kind: Execute, Name: "q"}},
		"read in a transaction": {before: Statement{Kind: BeginReadOnly}, st: read},
		"commit":                {before: Statement{Kind: Begin}, st: Statement{ID: "id", Kind: Commit}},
		"read at the primary":   {st: read, prepare: route(note.ReadPrimary, timeout*2/5)},
		"time for a second one": {st: read, prepare: route(note.ReadBounded, timeout/4)},
		"no target":             {st: read, prepare: route(note.ReadBounded, 0)},
		"no budget":             {st: read, prepare: func(f *fixture) { f.server.hedges = newHedges() }},
		"rate spent":            {st: read, prepare: func(f *fixture) { f.server.opts.Limiter = noSpareTokens{f.server.opts.Limiter} }},
		"no free slot elsewhere": {st: read, prepare: func(f *fixture) {
			s := &Session{srv: f.server, workspace: "crew"}
			for _, id := range []string{"p", "p", "p", "p", "r2", "r2", "r2", "r2"} {
				slot := s.slotRequest(choice{endpoint: f.server.endpoint(f.state.Endpoints[id])}, note.Route{Class: note.ClassInteractive}, time.Time{})
				_, _ = f.server.gate.TryAcquireSlot(slot)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, e := newHedgeFixture(t, timeout)
			if c.prepare != nil {
				c.prepare(f)
			}
			s := f.open("hedged")
			if c.before.Kind != 0 {
				s.Do(c.before)
			}
			e.mu.Lock()
			e.silent, e.asked = map[string]bool{"p": true, "r1": true, "r2": true}, nil
			e.mu.Unlock()
			if reply := s.Do(c.st); reply.Err == nil {
				t.Fatal("answered by a silent endpoint")
			}
			if n := e.statements(); n != 1 {
				t.Errorf("sent %d times, want once", n)
			}
		})
	}
}

// TestHedgeOpensConnectionOnlyForLostAnswer guards against hedges that open connections, which
// is expensive, before the answer counts as lost, at the target of the route.
func TestHedgeOpensConnectionOnlyForLostAnswer(t *testing.T) {
	f, e := newHedgeFixture(t, 1000)
	for _, id := range []string{"p", "r2"} {
		f.server.endpoint(f.state.Endpoints[id]).pool.Sweep(time.Now().Add(time.Hour))
	}
	e.silent["r1"] = true
	dials, sentAt := e.dials, time.Now()
	f.expect(f.open("hedged"), Statement{Kind: Read, Text: "x"}, 0, Idle)
	if took := time.Since(sentAt); e.dials != dials+1 || took < 400*time.Millisecond {
		t.Errorf("%d connections opened, answered after %v; want one, not before the target of the route", e.dials-dials, took)
	}
}

// TestFirstAnswerRefused checks that a read whose first attempt fails while the hedge is in
// progress is answered by the hedge.
func TestFirstAnswerRefused(t *testing.T) {
	f, e := newHedgeFixture(t, 4000)
	e.silent = map[string]bool{"p": true, "r1": true, "r2": true}
	e.plan(refusal(result.StatementFailed))
	s, reply := f.open("hedged"), make(chan Reply, 1)
	go func() { reply <- s.Do(Statement{ID: "id", Kind: Read, Text: "x"}) }()
	eventually(t, "not hedged", func() bool { return e.statements() == 2 })
	close(e.answer)
	if r := <-reply; r.Err != nil || e.statements() != 2 {
		t.Errorf("%v, sent %d times; want an answer and 2", r.Err, e.statements())
	}
	eventually(t, "a slot or a connection was not returned", f.atRest)
}

// noSpareTokens has no token for a second attempt.
type noSpareTokens struct{ Limiter }

func (noSpareTokens) TryAcquire(string) bool { return false }
