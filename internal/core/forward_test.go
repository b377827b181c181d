package core

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"pgregory.net/rapid"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/view"
)

// delivery is what a fakeForwarder does with one request.
type delivery int

const (
	delivered    delivery = iota
	notDelivered          // fails as not run
	requestLost           // fails, and the request does not arrive
	answerLost            // fails after the statement ran
)

var errLost = errors.New("connection lost")

// fakeForwarder passes requests to servers in this process. Each entry of script decides
// about one request; when script is empty, requests are delivered.
type fakeForwarder struct {
	origin Origin
	hosts  map[string]*Server
	route  []string

	mu     sync.Mutex
	script []delivery
	asked  []string
}

func (f *fakeForwarder) Route(_, _ string, unable bool) []string {
	if unable && len(f.route) == 0 {
		return []string{"home1"} // this host is the first home host
	}
	return slices.Clone(f.route)
}

func (f *fakeForwarder) Forward(_ context.Context, host string, r RemoteRequest) (RemoteResponse, error) {
	f.mu.Lock()
	f.asked = append(f.asked, host)
	d := delivered
	if len(f.script) > 0 {
		d, f.script = f.script[0], f.script[1:]
	}
	f.mu.Unlock()
	switch d {
	case notDelivered:
		return RemoteResponse{}, fmt.Errorf("%w: %w", ErrNotRun, errLost)
	case requestLost:
		return RemoteResponse{}, errLost
	}
	response := f.hosts[host].RunRemote(f.origin, r)
	if d == answerLost {
		return RemoteResponse{}, errLost
	}
	return response, nil
}

func (f *fakeForwarder) EndTransaction(host string, session uint64) {
	f.hosts[host].EndRemoteTransaction(f.origin, session)
}

func (f *fakeForwarder) plan(deliveries ...delivery) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.script = deliveries
}

// setRoute sets the hosts that should run the next statements.
func (f *fakeForwarder) setRoute(hosts ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.route = hosts
}

// takeAsked returns the hosts that got a request since the last call.
func (f *fakeForwarder) takeAsked() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	asked := f.asked
	f.asked = nil
	return asked
}

// forwardFixture is a fixture whose server forwards to the servers "home1" and "home2". All
// three use the same endpoints.
type forwardFixture struct {
	*fixture
	forwarder    *fakeForwarder
	home1, home2 *Server
	homeView     *view.Publisher // of both home hosts
}

// publish gives the current state to all three servers.
func (f *forwardFixture) publish(lease time.Duration) {
	f.fixture.publish(lease)
	f.homeView.Publish(f.view.Current())
}

func newForwardFixture(t *testing.T) *forwardFixture {
	t.Helper()
	f := &forwardFixture{fixture: newFixture(t), homeView: view.NewPublisher()}
	f.state.Hosts = map[string]agreed.Host{"h": {ID: "h", Incarnation: 1, Entry: true}}
	f.publish(time.Hour)
	f.forwarder = &fakeForwarder{origin: Origin{Host: "h", Incarnation: 1}, route: []string{"home1", "home2"}}
	f.home1, f.home2 = f.startServer(t, "home1"), f.startServer(t, "home2")
	f.forwarder.hosts = map[string]*Server{"home1": f.home1, "home2": f.home2}
	f.server.opts.Forwarder = f.forwarder
	return f
}

func (f *forwardFixture) startServer(t *testing.T, host string) *Server {
	t.Helper()
	s := NewServer(Options{
		View: f.homeView, Host: host, Domain: "d", Dialer: f.endpoints, Limiter: countingLimiter{&f.taken, &f.refunded},
		Connections: func(string, string) int { return 4 }, Observe: f.observe, Log: log.New(io.Discard),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return s
}

// awaitNoRemoteWork waits until a server has no statement or transaction of other hosts.
func awaitNoRemoteWork(t *testing.T, s *Server) {
	t.Helper()
	for end := time.Now().Add(time.Minute); s.remoteWork() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d statements or transactions of other hosts remain", s.remoteWork())
		}
	}
}

// awaitRolledBack waits until an endpoint has received n rollbacks.
func (f *forwardFixture) awaitRolledBack(n int) {
	f.t.Helper()
	count := func() int {
		f.endpoints.mu.Lock()
		defer f.endpoints.mu.Unlock()
		rollbacks := 0
		for _, r := range f.endpoints.received {
			if r.command.Kind == Rollback {
				rollbacks++
			}
		}
		return rollbacks
	}
	for end := time.Now().Add(time.Minute); count() < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("%d rollbacks, want %d", count(), n)
		}
	}
}

// TestForwardedStatementOutcome guards against a forwarded write that runs twice, and
// against a wrong result code, when hosts are lost.
func TestForwardedStatementOutcome(t *testing.T) {
	cases := map[string]struct {
		kind  Kind
		plan  []delivery
		code  result.Code
		ran   int
		asked []string
	}{
		"write":                        {Write, nil, 0, 1, []string{"home1"}},
		"write not delivered":          {Write, []delivery{notDelivered}, 0, 1, []string{"home1", "home2"}},
		"write not delivered anywhere": {Write, []delivery{notDelivered, notDelivered, notDelivered}, 0, 1, []string{"home1", "home2", "home1"}},
		"write lost":                   {Write, []delivery{requestLost}, result.OutcomeUnknown, 0, []string{"home1"}},
		"answer to a write lost":       {Write, []delivery{answerLost}, result.OutcomeUnknown, 1, []string{"home1"}},
		"read lost":                    {Read, []delivery{requestLost}, 0, 1, []string{"home1", "home2"}},
		"answer to a read lost":        {Read, []delivery{answerLost}, 0, 2, []string{"home1", "home2"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newForwardFixture(t)
			s := f.open("launch")
			f.forwarder.plan(c.plan...)
			f.expect(s, Statement{Kind: c.kind, Text: "x"}, c.code, Idle)
			if got := f.endpoints.count(c.kind); got != c.ran {
				t.Errorf("reached an endpoint %d times, want %d", got, c.ran)
			}
			if asked := f.forwarder.takeAsked(); !slices.Equal(asked, c.asked) {
				t.Errorf("asked %v, want %v", asked, c.asked)
			}
		})
	}
}

// TestForwardedTransactionOutcome guards against a transaction that is reported as rolled
// back and may be committed, and against one that is left open at its host.
func TestForwardedTransactionOutcome(t *testing.T) {
	cases := map[string]struct {
		kind      Kind // of the statement before the commit
		statement delivery
		commit    delivery
		code      result.Code // of the commit
		committed int
		rollbacks int
	}{
		"committed":             {Write, delivered, delivered, 0, 1, 0},
		"commit not delivered":  {Write, delivered, notDelivered, result.TransactionAborted, 0, 1},
		"commit lost":           {Write, delivered, requestLost, result.OutcomeUnknown, 0, 0},
		"answer lost":           {Write, delivered, answerLost, result.OutcomeUnknown, 1, 0},
		"answer lost, no write": {Read, delivered, answerLost, result.TransactionAborted, 1, 0},
		"write lost":            {Write, requestLost, delivered, result.TransactionAborted, 0, 1},
		"answer to write lost":  {Write, answerLost, delivered, result.TransactionAborted, 0, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newForwardFixture(t)
			s := f.open("launch")
			f.expect(s, Statement{Kind: Begin}, 0, InTransaction)
			f.forwarder.plan(c.statement)
			if c.statement == delivered {
				f.expect(s, Statement{Kind: c.kind, Text: "x"}, 0, InTransaction)
			} else {
				f.expect(s, Statement{Kind: c.kind, Text: "x"}, result.TransactionAborted, Failed)
			}
			f.forwarder.plan(c.commit)
			f.expect(s, Statement{Kind: Commit}, c.code, Idle)
			if n := f.endpoints.count(Commit); n != c.committed {
				t.Errorf("%d commits reached an endpoint, want %d", n, c.committed)
			}
			f.awaitRolledBack(c.rollbacks)
			if c.commit == requestLost {
				f.home1.EndRemoteTransactions(f.forwarder.origin) // as when the connection is lost
			}
			awaitNoRemoteWork(t, f.home1)
		})
	}
}

// TestForwardedBeginRetriedElsewhere guards against a transaction that stays open at a host
// whose answer to its begin was lost.
func TestForwardedBeginRetriedElsewhere(t *testing.T) {
	f := newForwardFixture(t)
	s := f.open("launch")
	f.forwarder.plan(answerLost)
	f.expect(s, Statement{Kind: Begin}, 0, InTransaction)
	awaitNoRemoteWork(t, f.home1)
	if asked := f.forwarder.takeAsked(); !slices.Equal(asked, []string{"home1", "home2"}) {
		t.Errorf("asked %v, want home1 and then home2", asked)
	}
	f.expect(s, Statement{Kind: Write, Text: "x"}, 0, InTransaction)
	f.expect(s, Statement{Kind: Commit}, 0, Idle)
	if asked := f.forwarder.takeAsked(); !slices.Equal(asked, []string{"home2", "home2"}) {
		t.Errorf("asked %v, want home2 for the whole transaction", asked)
	}
}

// TestRemoteTransactionEndBeforeBeginEnds guards against a transaction that is left open
// because its end arrived while its begin was in progress.
func TestRemoteTransactionEndBeforeBeginEnds(t *testing.T) {
	f := newForwardFixture(t)
	began, proceed := make(chan struct{}), make(chan struct{})
	f.endpoints.dial = func(string) error {
		close(began)
		<-proceed
		return nil
	}
	done := make(chan RemoteResponse)
	go func() {
		done <- f.home1.RunRemote(f.forwarder.origin, RemoteRequest{
			Session: 7, Database: "launch", Key: "k", Statement: Statement{ID: "id", Kind: Begin}, Remaining: time.Minute,
		})
	}()
	<-began
	f.home1.EndRemoteTransaction(f.forwarder.origin, 7)
	close(proceed)
	if r := <-done; r.Err != nil {
		t.Fatal(r.Err)
	}
	f.awaitRolledBack(1)
	awaitNoRemoteWork(t, f.home1)
}

// TestRemoteTransactionEndsWithItsHost checks that the transactions of a host are rolled
// back when its process is replaced.
func TestRemoteTransactionEndsWithItsHost(t *testing.T) {
	f := newForwardFixture(t)
	f.expect(f.open("launch"), Statement{Kind: Begin}, 0, InTransaction)
	f.state.Hosts = map[string]agreed.Host{"h": {ID: "h", Incarnation: 2, Entry: true}}
	f.publish(time.Hour)
	f.awaitRolledBack(1)
	awaitNoRemoteWork(t, f.home1)
}

// TestForwardedIdleTransactionExpires checks that both hosts end an idle transaction.
func TestForwardedIdleTransactionExpires(t *testing.T) {
	for name, expire := range map[string]func(*forwardFixture, *Session){
		"at the host of the caller": func(_ *forwardFixture, s *Session) { s.expireTransaction(clock.Now().Add(time.Hour), time.Minute) },
		"at the home host": func(f *forwardFixture, _ *Session) {
			f.home1.expireRemoteTransactions(clock.Now().Add(time.Hour), time.Minute)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newForwardFixture(t)
			s := f.open("launch")
			f.expect(s, Statement{Kind: Begin}, 0, InTransaction)
			expire(f, s)
			f.awaitRolledBack(1)
			f.expect(s, Statement{Kind: Write, Text: "x"}, result.TransactionAborted, Failed)
			f.expect(s, Statement{Kind: Commit}, result.TransactionAborted, Idle)
			awaitNoRemoteWork(t, f.home1)
		})
	}
}

// TestForwardedSessionState checks that values, prepared statements and the position of the
// last commit follow the session to whichever host runs its statements.
func TestForwardedSessionState(t *testing.T) {
	f := newForwardFixture(t)
	s := f.open("own")
	f.expect(s, Statement{Kind: SetValue, Name: "tz", Text: "kst"}, 0, Idle)
	f.expect(s, Statement{Kind: Prepare, Name: "s1", Text: "shape", Writes: true}, 0, Idle)
	f.expect(s, Statement{Kind: Execute, Name: "s1", Text: "x 1"}, 0, Idle)
	written := f.endpoints.last()
	last := s.commits.byService["logs"]
	if written.command.Kind != Execute || last.Position == (Position{}) || last.Log != (Log{Service: "logs", Term: 1}) {
		t.Fatalf("ran %v, the last commit is %v of log %v; want that of the write", written.command, last.Position, last.Log)
	}
	f.forwarder.route = []string{"home2"}
	f.home2.primaryPositions.observe(Log{Service: "logs", Term: 1}, clock.Now(), Position{Term: 1, Number: 1})
	for range 10 { // makes the primary busy, so that a replica is cheaper
		f.home2.endpoint(f.state.Endpoints["p"]).beginStatement()
	}
	f.expect(s, Statement{Kind: Read, Text: "x"}, 0, Idle)
	if got := f.endpoints.last(); got.endpoint == "p" || got.command.MinPosition.Compare(last.Position) < 0 {
		t.Errorf("read at %s requires position %v, want at least the session's last commit %v", got.endpoint, got.command.MinPosition, last.Position)
	}
	f.endpoints.mu.Lock()
	defer f.endpoints.mu.Unlock()
	set := 0
	for _, r := range f.endpoints.received {
		if r.command.Kind == SetValue && r.command.Text == "kst" {
			set++
		}
	}
	if set < 2 {
		t.Errorf("the session's value was set on %d connections, want on those of both hosts", set)
	}
}

// TestStoppingHostDeclines checks that a host that stops serves the open transactions of
// other hosts to their end, declines other statements, and drains when there are none.
func TestStoppingHostDeclines(t *testing.T) {
	f := newForwardFixture(t)
	inTransaction, other := f.open("launch"), f.open("launch")
	f.expect(inTransaction, Statement{Kind: Begin}, 0, InTransaction)
	f.home1.StopRemote()
	f.forwarder.takeAsked()
	f.expect(other, Statement{Kind: Write, Text: "x"}, 0, Idle)
	if asked := f.forwarder.takeAsked(); !slices.Equal(asked, []string{"home1", "home2"}) {
		t.Errorf("asked %v, want home2 after home1 declined", asked)
	}
	drained := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	go func() { drained <- f.home1.Drain(ctx) }()
	f.expect(inTransaction, Statement{Kind: Write, Text: "x"}, 0, InTransaction)
	select {
	case err := <-drained:
		t.Fatalf("drained with an open transaction, error %v", err)
	default:
	}
	f.expect(inTransaction, Statement{Kind: Commit}, 0, Idle)
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// TestHostWithoutLeaseForwards checks that a host that is cut off from the control hosts, but
// not from the home hosts, serves its callers through them, also where it is at home itself
// and in transactions.
func TestHostWithoutLeaseForwards(t *testing.T) {
	for name, route := range map[string][]string{"elsewhere": {"home1"}, "at home": nil} {
		t.Run(name, func(t *testing.T) {
			f := newForwardFixture(t)
			f.forwarder.route = route
			s := f.open("launch")
			f.fixture.publish(-time.Hour)
			f.expect(s, Statement{Kind: Write, Text: "x"}, 0, Idle)
			f.expect(s, Statement{Kind: Begin}, 0, InTransaction)
			f.expect(s, Statement{Kind: Write, Text: "x"}, 0, InTransaction)
			f.expect(s, Statement{Kind: Commit}, 0, Idle)
		})
	}
}

// TestNewProcessWaitsForFirstLease starts a host that has followed the state and has no lease
// yet, as all hosts of a fleet that comes back. It guards against statements that are offered to
// all home hosts before any of them can take one. The home host waits for its lease as well.
func TestNewProcessWaitsForFirstLease(t *testing.T) {
	f := newForwardFixture(t)
	next := *f.state
	start := func(host string) (*Server, *view.Publisher) {
		f.homeView = view.NewPublisher()
		f.homeView.Publish(view.View{State: &next})
		return f.startServer(t, host), f.homeView
	}
	home, homeView := start("home1")
	f.forwarder.hosts["home1"] = home
	entry, entryView := start("h")
	entry.opts.Forwarder = f.forwarder
	s, refusal := entry.Open("launch", "k", fakeCaller{})
	if refusal != nil {
		t.Fatal(refusal)
	}
	defer s.Close()
	replies := make(chan Reply)
	go func() { replies <- s.Do(Statement{ID: "id", Kind: Write, Text: "x"}) }()
	time.Sleep(2 * retryDelay)
	if asked := f.forwarder.takeAsked(); len(asked) > 0 {
		t.Errorf("asked %v without a lease, want no host", asked)
	}
	lease := func(p *view.Publisher) {
		p.Publish(view.View{State: &next, Settled: 1, ValidUntil: clock.Now().Add(time.Hour)})
	}
	lease(entryView)
	for len(f.forwarder.takeAsked()) == 0 {
		time.Sleep(time.Millisecond)
	}
	lease(homeView)
	if reply := <-replies; reply.Err != nil {
		t.Errorf("got %v, want the statement served", reply.Err)
	}
	if n := f.endpoints.count(Write); n != 1 {
		t.Errorf("%d writes, want 1", n)
	}
}

// TestHostWithoutLeaseDoesNotAuthorize guards against a key that is still valid in the state
// of a host without a lease and was withdrawn since.
func TestHostWithoutLeaseDoesNotAuthorize(t *testing.T) {
	f := newForwardFixture(t)
	s := f.open("launch")
	f.fixture.publish(-time.Hour)
	f.state.Catalog.Keys = map[string]note.Key{}
	next := *f.state
	f.homeView.Publish(view.View{State: &next, Settled: 1, ValidUntil: clock.Now().Add(time.Hour)})
	f.expect(s, Statement{Kind: Write, Text: "x"}, result.BadKey, Idle)
	if n := f.endpoints.count(Write); n != 0 {
		t.Errorf("%d writes were sent with a withdrawn key, want 0", n)
	}
}

// TestHostBehindDeclines guards against a statement that runs under an earlier revision than
// the one under which its caller was admitted.
func TestHostBehindDeclines(t *testing.T) {
	f := newForwardFixture(t)
	r := f.home1.RunRemote(f.forwarder.origin, RemoteRequest{
		Database: "launch", Key: "k", Statement: Statement{ID: "id", Kind: Write, Text: "x"}, Remaining: time.Minute, Revision: f.state.Revision + 1,
	})
	if !r.Declined || !r.Unavailable || f.endpoints.count(Write) != 0 {
		t.Errorf("got %+v, want the statement declined", r)
	}
}

// TestForwardedWriteAvoidsHostWithoutPrimary checks that a write goes to the host that can
// reach the primary, and waits at the first one when none can.
func TestForwardedWriteAvoidsHostWithoutPrimary(t *testing.T) {
	f := newForwardFixture(t)
	suspect := func(s *Server) {
		e := s.endpoint(f.state.Endpoints["p"])
		e.mu.Lock()
		defer e.mu.Unlock()
		e.suspected = true
	}
	s := f.open("launch")
	suspect(f.home1)
	f.expect(s, Statement{Kind: Write, Text: "x"}, 0, Idle)
	suspect(f.home2)
	f.expect(s, Statement{Kind: Write, Text: "x"}, 0, Idle)
	want := []string{"home1", "home2", "home1", "home2", "home1"}
	if asked := f.forwarder.takeAsked(); !slices.Equal(asked, want) {
		t.Errorf("asked %v, want %v", asked, want)
	}
}

// TestForwardedOutcomesUnderRandomFaults plays random statements of a session with random
// losses between hosts. No write may run more than once or be reported wrongly, and no
// transaction may stay open.
func TestForwardedOutcomesUnderRandomFaults(t *testing.T) {
	f := newForwardFixture(t)
	serial := 0
	rapid.Check(t, func(t *rapid.T) {
		s, refusal := f.server.Open("launch", "k", fakeCaller{})
		if refusal != nil {
			t.Fatal(refusal)
		}
		fault := rapid.SampledFrom([]delivery{delivered, delivered, delivered, notDelivered, requestLost, answerLost})
		var open []string // writes of the transaction in progress
		for range rapid.IntRange(1, 20).Draw(t, "statements") {
			kind := rapid.SampledFrom([]Kind{Read, Write, Write, Begin, Commit, Rollback}).Draw(t, "kind")
			f.forwarder.plan(rapid.SliceOfN(fault, 0, 3).Draw(t, "faults")...)
			serial++
			id := fmt.Sprintf("w%d", serial)
			before := s.state
			reply := s.Do(Statement{ID: id, Kind: kind, Text: "x"})
			f.checkOutcome(t, kind, before, id, &open, reply)
		}
		s.Close()
		for _, home := range []*Server{f.home1, f.home2} {
			home.EndRemoteTransactions(f.forwarder.origin)
		}
		for end := time.Now().Add(time.Minute); f.home1.remoteWork()+f.home2.remoteWork() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("a transaction stays open")
			}
		}
	})
}

// checkOutcome compares the reply to a statement with what reached an endpoint. open lists
// the writes of the transaction in progress.
func (f *forwardFixture) checkOutcome(t *rapid.T, kind Kind, before State, id string, open *[]string, reply Reply) {
	runs := f.runs(id)
	var code result.Code
	if reply.Err != nil {
		code = reply.Err.Code
	}
	switch {
	case kind == Write && runs > 1:
		t.Fatalf("write %s ran %d times", id, runs)
	case kind == Write && code == 0 && runs != 1:
		t.Fatalf("write %s was reported as a success and ran %d times", id, runs)
	case kind == Write && before == Idle && code != 0 && result.Lookup(code).NotRun && runs != 0:
		t.Fatalf("write %s was reported with code %d and ran", id, code)
	case kind == Commit && code == result.TransactionAborted && len(*open) > 0 && f.runs(id) > 0:
		t.Fatalf("commit %s was reported as rolled back and reached an endpoint", id)
	case kind == Commit && code == 0 && before == InTransaction && runs != 1:
		t.Fatalf("commit %s was reported as a success and ran %d times", id, runs)
	}
	switch {
	case reply.State != InTransaction:
		*open = nil
	case kind == Write:
		*open = append(*open, id)
	}
}

// runs returns how often a statement reached an endpoint.
func (f *forwardFixture) runs(id string) int {
	f.endpoints.mu.Lock()
	defer f.endpoints.mu.Unlock()
	n := 0
	for _, r := range f.endpoints.received {
		if r.command.ID == id {
			n++
		}
	}
	return n
}

// A host that had forwarded a statement to a host with a newer document went on to run others under
// its older one. They wait for the newer one, or are refused, which promises that nothing ran.
func TestStatementRunsUnderNoOlderDocumentThanSeen(t *testing.T) {
	f := newForwardFixture(t)
	var told atomic.Int32
	f.server.opts.Behind = func() { told.Add(1) }
	s := f.open("launch")
	older := f.view.Current()
	f.state.Catalog.Stamp.Number++
	f.publish(time.Hour)
	newer := f.view.Current()
	f.view.Publish(older)

	f.expect(s, Statement{Kind: Read, Text: "x"}, 0, Idle) // at home1, which has the newer document
	if told.Load() == 0 {
		t.Error("nobody was told that the host lacks a document")
	}
	f.forwarder.setRoute()
	f.expect(s, Statement{Kind: Read, Text: "x"}, result.NoConfigLease, Idle)
	f.expect(s, Statement{Kind: Begin}, result.NoConfigLease, Idle)
	ran := f.endpoints.count(Read)

	f.forwarder.setRoute("home1")
	f.expect(s, Statement{Kind: Read, Text: "x"}, 0, Idle) // a host with the newer document still takes it
	if got := f.endpoints.count(Read); got != ran+1 {
		t.Errorf("%d reads ran, want %d", got, ran+1)
	}
	f.forwarder.setRoute()
	go f.view.Publish(newer)
	f.expect(s, Statement{Kind: Read, Text: "x"}, 0, Idle)
}

// A home host declines a statement whose sender knows a newer document, and a session is not refused
// by a document that is known to be out of date.
func TestOlderDocumentDecidesNothing(t *testing.T) {
	f := newForwardFixture(t)
	response := f.home1.RunRemote(Origin{Host: "h", Incarnation: 1}, RemoteRequest{
		Database: "launch", Key: "k", Statement: Statement{Kind: Read, ID: "id", Text: "x"}, Remaining: time.Second,
		Document: f.state.Catalog.Stamp.Number + 1,
	})
	if !response.Declined {
		t.Fatalf("response %+v, want a refusal to run", response)
	}
	f.server.observeDocument(f.state.Catalog.Stamp.Number + 1)
	f.state.Catalog.Stamp.Number++
	f.state.Catalog.Keys["added"] = note.Key{ID: "added", Workspace: "crew"}
	go f.publish(time.Hour)
	s, err := f.server.Open("launch", "added", fakeCaller{})
	if err != nil {
		t.Fatalf("a session with a key of the newer document: %v", err)
	}
	s.Close()
}
