package core

import (
	"context"
	"io"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/budget"
	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/gate"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/view"
)

// fakeEndpoints is a Dialer for in-memory endpoints. Each entry of script answers one
// command with a request ID; when script is empty, commands succeed.
type fakeEndpoints struct {
	mu       sync.Mutex
	script   []func(id string, c Command) (Answer, bool, error)
	dial     func(id string) error
	received []receivedCommand
	closed   int
	// lastDeadline is the deadline of the last exchange.
	lastDeadline time.Time
	// startPosition is the position in the answer to the start of a session.
	startPosition Position
}

// receivedCommand is a command that an endpoint received.
type receivedCommand struct {
	endpoint string
	link     int
	command  Command
}

type fakeLink struct {
	e         *fakeEndpoints
	id        string
	number    int
	workspace string
	state     State
}

func (e *fakeEndpoints) Dial(_ context.Context, ep agreed.Endpoint, workspace string) (Link, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dial != nil {
		if err := e.dial(ep.ID); err != nil {
			return nil, err
		}
	}
	return &fakeLink{e: e, id: ep.ID, number: len(e.received), workspace: workspace}, nil
}

func (l *fakeLink) Key() string    { return l.workspace }
func (l *fakeLink) Alive() bool    { return true }
func (l *fakeLink) Reusable() bool { return true }

func (l *fakeLink) StartPosition() Position { return l.e.startPosition }

func (l *fakeLink) Close() {
	l.e.mu.Lock()
	defer l.e.mu.Unlock()
	l.e.closed++
}

func (l *fakeLink) Exchange(deadline time.Time, commands ...Command) ([]Answer, bool, error) {
	l.e.mu.Lock()
	defer l.e.mu.Unlock()
	l.e.lastDeadline = deadline
	var answers []Answer
	for _, c := range commands {
		if c.ID != "" && len(l.e.script) > 0 {
			next := l.e.script[0]
			l.e.script = l.e.script[1:]
			a, sent, err := next(l.id, c)
			if err != nil || a.Err != nil {
				if sent {
					l.e.received = append(l.e.received, receivedCommand{l.id, l.number, c})
				}
				return append(answers, a), sent, err
			}
		}
		l.e.received = append(l.e.received, receivedCommand{l.id, l.number, c})
		switch c.Kind {
		case Begin, BeginReadOnly:
			l.state = InTransaction
		case Commit, Rollback:
			l.state = Idle
		}
		answers = append(answers, Answer{Signature: "s", State: l.state, Position: Position{Term: 1, Number: uint64(len(l.e.received))}})
	}
	return answers, true, nil
}

func (e *fakeEndpoints) count(kind Kind) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, r := range e.received {
		if r.command.Kind == kind && r.command.ID != "" {
			n++
		}
	}
	return n
}

func (e *fakeEndpoints) last() receivedCommand {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.received[len(e.received)-1]
}

// plan sets the outcomes of the next statements from callers.
func (e *fakeEndpoints) plan(outcomes ...func(string, Command) (Answer, bool, error)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.script = outcomes
}

func refusal(code result.Code) func(string, Command) (Answer, bool, error) {
	return func(string, Command) (Answer, bool, error) {
		return Answer{Err: result.New(code, "planned")}, false, nil
	}
}

func lostConnection(sent bool) func(string, Command) (Answer, bool, error) {
	return func(string, Command) (Answer, bool, error) { return Answer{}, sent, errors.New("connection lost") }
}

// countingLimiter grants every request and counts tokens.
type countingLimiter struct{ taken, refunded *atomic.Int64 }

func (l countingLimiter) TryAcquire(workspace string) bool {
	return l.Acquire(context.Background(), workspace) == nil
}

func (l countingLimiter) Acquire(context.Context, string) error {
	l.taken.Add(1)
	return nil
}

func (l countingLimiter) Refund(string) {
	l.refunded.Add(1)
}

type fakeCaller struct{ net.Conn }

func (fakeCaller) IsIdle() bool { return true }
func (fakeCaller) Disconnect()  {}

func (fakeCaller) Account() *budget.Account { return nil }

// fixture is a server with three fake endpoints, of which "p" is the primary.
type fixture struct {
	t         *testing.T
	endpoints *fakeEndpoints
	server    *Server
	view      *view.Publisher
	state     *agreed.State
	// taken and refunded count rate tokens.
	taken, refunded atomic.Int64

	mu       sync.Mutex
	evidence []Evidence
}

func (f *fixture) observe(e Evidence) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evidence = append(f.evidence, e)
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return newFixtureWith(t, nil)
}

// newFixtureWith is newFixture with a price of crossing failure domains.
func newFixtureWith(t *testing.T, crossingMSPerKB *float64) *fixture {
	t.Helper()
	f := &fixture{t: t, endpoints: &fakeEndpoints{}, view: view.NewPublisher(), state: agreed.New()}
	f.state.Revision = 1
	f.state.Catalog.Stamp.Number = 1
	f.state.Catalog.Services["logs"] = note.Service{Name: "logs", Ack: note.AckReplicas}
	f.state.Catalog.Workspaces["crew"] = note.Workspace{Name: "crew", Rate: 1, Burst: 1}
	f.state.Catalog.Keys["k"] = note.Key{ID: "k", Workspace: "crew"}
	f.state.Catalog.Routes = map[string]note.Route{
		"launch": {Database: "launch", Service: "logs", Policy: note.ReadPrimary, Timeout: 2000, Class: note.ClassInteractive},
		"brief":  {Database: "brief", Service: "logs", Policy: note.ReadPrimary, Timeout: 50, Class: note.ClassInteractive},
		"own":    {Database: "own", Service: "logs", Policy: note.ReadOwnWrites, MaxStaleness: 5000, Timeout: 2000, Class: note.ClassBulk},
	}
	members := []string{"p", "r1", "r2"}
	for _, id := range members {
		f.state.Endpoints[id] = agreed.Endpoint{ID: id, Service: "logs", Addr: id + ":1", Domain: "d"}
	}
	f.state.Groups["logs"] = agreed.Group{Service: "logs", Members: members, Term: 1, Primary: "p", Phase: agreed.PhaseActive, Timeline: 1}
	f.publish(time.Hour)
	f.server = NewServer(Options{
		View: f.view, Host: "h", Domain: "d", Dialer: f.endpoints, Limiter: countingLimiter{&f.taken, &f.refunded},
		Connections: func(string, string) int { return 4 }, Observe: f.observe, Log: log.New(io.Discard),
		CrossingMSPerKB: crossingMSPerKB,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.server.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return f
}

func (f *fixture) publish(lease time.Duration) {
	next := *f.state
	f.view.Publish(view.View{State: &next, Settled: 1, ValidUntil: clock.Now().Add(lease)})
}

func (f *fixture) open(database string) *Session {
	f.t.Helper()
	s, err := f.server.Open(database, "k", fakeCaller{})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(s.Close)
	return s
}

func (f *fixture) expect(s *Session, st Statement, code result.Code, state State) Reply {
	f.t.Helper()
	st.ID = "id"
	reply := s.Do(st)
	var got result.Code
	if reply.Err != nil {
		got = reply.Err.Code
	}
	if got != code || reply.State != state {
		f.t.Fatalf("%s: got %v in state %d, want code %d in state %d", st.Kind, reply.Err, reply.State, code, state)
	}
	return reply
}

// TestStatementRetryAfterFailure guards against a write that runs twice and against a
// wrong result code: it checks the code that the caller receives and how often the
// statement reached an endpoint after its first attempt failed.
func TestStatementRetryAfterFailure(t *testing.T) {
	cases := map[string]struct {
		kind Kind
		plan []func(string, Command) (Answer, bool, error)
		code result.Code
		ran  int
	}{
		"write not sent":          {Write, []func(string, Command) (Answer, bool, error){lostConnection(false)}, 0, 1},
		"write sent and lost":     {Write, []func(string, Command) (Answer, bool, error){lostConnection(true)}, result.OutcomeUnknown, 1},
		"read sent and lost":      {Read, []func(string, Command) (Answer, bool, error){lostConnection(true)}, 0, 2},
		"write refused as busy":   {Write, []func(string, Command) (Answer, bool, error){refusal(result.EndpointBusy)}, 0, 1},
		"write at a replica":      {Write, []func(string, Command) (Answer, bool, error){refusal(result.EndpointReadOnly)}, 0, 1},
		"write ran and failed":    {Write, []func(string, Command) (Answer, bool, error){refusal(result.StatementFailed)}, result.StatementFailed, 0},
		"write timed out":         {Write, []func(string, Command) (Answer, bool, error){refusal(result.StatementTimeout)}, result.StatementTimeout, 0},
		"read fails once":         {Read, []func(string, Command) (Answer, bool, error){refusal(result.StatementFailed)}, 0, 1},
		"read at lagging replica": {Read, []func(string, Command) (Answer, bool, error){refusal(result.ReplicaBehind)}, 0, 1},
		"statement not prepared":  {Write, []func(string, Command) (Answer, bool, error){refusal(result.UnknownStatement)}, 0, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			s := f.open("launch")
			f.endpoints.plan(c.plan...)
			f.expect(s, Statement{Kind: c.kind, Text: "x"}, c.code, Idle)
			if got := f.endpoints.count(c.kind); got != c.ran {
				t.Errorf("reached an endpoint %d times, want %d", got, c.ran)
			}
		})
	}
}

// TestCommitConnectionLostOutcome guards against reporting a commit as rolled back that may
// have been applied: the connection is lost when the commit is sent.
func TestCommitConnectionLostOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		writes bool
		sent   bool
		code   result.Code
	}{
		"sent after a write":     {true, true, result.OutcomeUnknown},
		"not sent after a write": {true, false, result.TransactionAborted},
		"sent after reads":       {false, true, result.TransactionAborted},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			s := f.open("launch")
			f.expect(s, Statement{Kind: Begin}, 0, InTransaction)
			kind := Read
			if c.writes {
				kind = Write
			}
			f.expect(s, Statement{Kind: kind, Text: "x"}, 0, InTransaction)
			f.endpoints.plan(lostConnection(c.sent))
			f.expect(s, Statement{Kind: Commit}, c.code, Idle)
		})
	}
}

func TestStatementRefusedWithoutLease(t *testing.T) {
	f := newFixture(t)
	s := f.open("launch")
	f.publish(-time.Second)
	f.expect(s, Statement{Kind: Write, Text: "x"}, result.NoConfigLease, Idle)
	if n := f.endpoints.count(Write); n != 0 {
		t.Errorf("%d writes were sent without a lease, want 0", n)
	}
}

// TestLeaseLostLongAgoRefusesAtOnce guards against callers that are held until their deadline
// at a host that is cut off. The route's timeout is above the test's.
func TestLeaseLostLongAgoRefusesAtOnce(t *testing.T) {
	f := newFixture(t)
	route := f.state.Catalog.Routes["launch"]
	route.Timeout = time.Hour.Milliseconds()
	f.state.Catalog.Routes["launch"] = route
	s := f.open("launch")
	f.publish(-2 * leaseLossPatience)
	reply := f.expect(s, Statement{Kind: Write, Text: "x"}, result.NoConfigLease, Idle)
	if reply.Err.RetryAfter == 0 {
		t.Error("the refusal does not tell when to retry")
	}
}

// TestCutOffHostClosesSessions guards against callers that repeat their statements at a host
// that is cut off while others could serve them. A session whose statement another host has run
// stays open.
func TestCutOffHostClosesSessions(t *testing.T) {
	f := newForwardFixture(t)
	s := f.open("launch")
	f.fixture.publish(-2 * leaseLossPatience)
	f.expect(s, Statement{Kind: Write, Text: "x"}, 0, Idle)
	if s.ShouldClose() {
		t.Error("closes a session that is served through another host")
	}
	f.forwarder.plan(notDelivered, notDelivered, notDelivered)
	f.expect(s, Statement{Kind: Write, Text: "x"}, result.NoConfigLease, Idle)
	if !s.ShouldClose() {
		t.Error("keeps a session that no host serves")
	}
	f.fixture.publish(time.Hour)
	f.expect(s, Statement{Kind: Write, Text: "x"}, 0, Idle)
	if s.ShouldClose() {
		t.Error("closes a session of a host that has a lease again")
	}
}

// TestTransactionAbortedOnTermChange guards against a commit that is sent to a primary whose
// term ended during the transaction.
func TestTransactionAbortedOnTermChange(t *testing.T) {
	f := newFixture(t)
	s := f.open("launch")
	f.expect(s, Statement{Kind: Begin}, 0, InTransaction)
	f.expect(s, Statement{Kind: Write, Text: "x"}, 0, InTransaction)
	g := f.state.Groups["logs"]
	f.state.Groups = map[string]agreed.Group{"logs": {
		Service: "logs", Members: g.Members, Term: 2, Primary: "p", Phase: agreed.PhaseSealed,
	}}
	f.publish(time.Hour)
	f.expect(s, Statement{Kind: Commit}, result.TransactionAborted, Idle)
	if n := f.endpoints.count(Commit); n != 0 {
		t.Errorf("%d commits were sent under the former term, want 0", n)
	}
}

// TestReplicaReadRequiresPosition guards against a stale read from a replica before a position
// of the primary was observed, and against one that omits the session's own last write.
func TestReplicaReadRequiresPosition(t *testing.T) {
	f := newFixture(t)
	s := f.open("own")
	f.expect(s, Statement{Kind: Read, Text: "x"}, 0, Idle)
	if got := f.endpoints.last(); got.endpoint != "p" {
		t.Errorf("the first read went to %s, although no position of the primary was known", got.endpoint)
	}
	f.expect(s, Statement{Kind: Write, Text: "x 1"}, 0, Idle)
	lastCommit := s.commits.byService["logs"].Position
	for range 10 { // makes the primary busy, so that a replica is cheaper
		f.server.endpoint(f.state.Endpoints["p"]).beginStatement()
	}
	f.expect(s, Statement{Kind: Read, Text: "x"}, 0, Idle)
	if got := f.endpoints.last(); got.endpoint == "p" || got.command.MinPosition.Compare(lastCommit) < 0 {
		t.Errorf("read at %s requires position %v, the session's last commit is %v", got.endpoint, got.command.MinPosition, lastCommit)
	}
}

// TestClosedSessionRefusesStatements guards against running a request that was read just as a
// shutdown closed the idle session.
func TestClosedSessionRefusesStatements(t *testing.T) {
	f := newFixture(t)
	s := f.open("launch")
	s.lastReplyAt = clock.Now().Add(-2 * minIdleBeforeClose)
	s.closeIfIdle()
	f.expect(s, Statement{Kind: Write, Text: "x"}, result.ShuttingDown, Idle)
	if n := f.endpoints.count(Write); n != 0 {
		t.Errorf("%d writes were sent for a disconnected caller, want 0", n)
	}
}

// TestRefuseNewEndsAcceptance guards against a statement that begins just before the process
// ends and is cut off without an answer. A transaction in progress may still end.
func TestRefuseNewEndsAcceptance(t *testing.T) {
	f := newFixture(t)
	idle, busy := f.open("launch"), f.open("launch")
	f.expect(busy, Statement{Kind: Begin}, 0, InTransaction)
	f.server.RefuseNew()
	if _, err := f.server.Open("launch", idle.key, idle.caller); err == nil || err.Code != result.ShuttingDown {
		t.Errorf("a session is opened with error %v, want ShuttingDown", err)
	}
	f.expect(idle, Statement{Kind: Write, Text: "x"}, result.ShuttingDown, Idle)
	if n := f.endpoints.count(Write); n != 0 {
		t.Errorf("%d writes were sent, want 0", n)
	}
	f.expect(busy, Statement{Kind: Write, Text: "x"}, 0, InTransaction)
	f.expect(busy, Statement{Kind: Commit}, 0, Idle)
}

func TestIdleTransactionExpires(t *testing.T) {
	f := newFixture(t)
	s := f.open("launch")
	f.expect(s, Statement{Kind: Begin}, 0, InTransaction)
	s.expireTransaction(clock.Now().Add(time.Hour), time.Minute)
	f.expect(s, Statement{Kind: Write, Text: "x"}, result.TransactionAborted, Failed)
	f.expect(s, Statement{Kind: Commit}, result.TransactionAborted, Idle)
}

// TestRateTokenRefundedWhenNotDispatched guards against charging a workspace for statements
// that were not sent to an endpoint: one is refused before a token is taken, two after.
func TestRateTokenRefundedWhenNotDispatched(t *testing.T) {
	f := newFixture(t)
	s := f.open("brief")
	f.publish(-time.Hour)
	f.expect(s, Statement{Kind: Write, Text: "x"}, result.NoConfigLease, Idle)
	if n := f.taken.Load(); n != 0 {
		t.Errorf("%d tokens taken without a lease, want 0", n)
	}
	sealed := f.state.Groups["logs"]
	sealed.Phase = agreed.PhaseSealed
	f.state.Groups["logs"] = sealed
	f.publish(time.Hour)
	f.expect(s, Statement{Kind: Write, Text: "x"}, result.NoPrimary, Idle)
	f.expect(s, Statement{Kind: Begin}, result.NoPrimary, Idle)
	if taken, refunded := f.taken.Load(), f.refunded.Load(); taken != 2 || refunded != 2 {
		t.Errorf("%d tokens taken and %d refunded, want 2 and 2", taken, refunded)
	}
}

// TestUnreachableEndpointReportedImmediately guards against a slow failover: when a
// statement finds the primary unreachable, the evidence must be reported before the
// endpoint is probed again.
func TestUnreachableEndpointReportedImmediately(t *testing.T) {
	f := newFixture(t)
	f.endpoints.dial = func(id string) error {
		if id == "p" {
			return errors.New("connection refused")
		}
		return nil
	}
	s := f.open("brief")
	f.expect(s, Statement{Kind: Write, Text: "x"}, result.EndpointLost, Idle)
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.evidence) == 0 || f.evidence[0] != (Evidence{Service: "logs", Endpoint: "p", Unreachable: true}) {
		t.Errorf("evidence %+v, want p reported as unreachable first", f.evidence)
	}
}

// TestTransactionStatementBypassesFullSlots guards against a deadlock of transactions that
// hold a connection and wait for a slot: all slots of the primary are taken, and the
// statements of an open transaction must still run.
func TestTransactionStatementBypassesFullSlots(t *testing.T) {
	f := newFixture(t)
	s := f.open("launch")
	f.expect(s, Statement{Kind: Begin}, 0, InTransaction)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for range f.server.slots("logs", "p") {
		releaseSlot, err := f.server.gate.AcquireSlot(ctx, gate.SlotRequest{Endpoint: "p", Service: "logs", Workspace: "crew", Class: note.ClassInteractive})
		if err != nil {
			t.Fatal(err)
		}
		defer releaseSlot()
	}
	f.expect(s, Statement{Kind: Write, Text: "x"}, 0, InTransaction)
	f.expect(s, Statement{Kind: Commit}, 0, Idle)
}

// A commit that fails is a rollback, which reverts the values that were set in its transaction. The
// connection's record was kept, and the connection served sessions whose values seemed to match.
func TestFailedCommitLeavesNoValuesOnConnection(t *testing.T) {
	for _, code := range []result.Code{result.StatementFailed, result.EndpointReadOnly} {
		f := newFixture(t)
		setter, other := f.open("launch"), f.open("launch")
		f.expect(other, Statement{Kind: SetValue, Name: "mode", Text: "strict"}, 0, Idle)
		f.expect(setter, Statement{Kind: Begin}, 0, InTransaction)
		f.expect(setter, Statement{Kind: SetValue, Name: "mode", Text: "strict"}, 0, InTransaction)
		f.expect(setter, Statement{Kind: Write, Text: "x"}, 0, InTransaction)
		f.endpoints.plan(func(string, Command) (Answer, bool, error) {
			return Answer{Err: result.New(code, "planned"), State: Idle}, true, nil
		})
		f.expect(setter, Statement{Kind: Commit}, code, Idle)
		f.expect(other, Statement{Kind: Read, Text: "x"}, 0, Idle)
		f.expect(setter, Statement{Kind: Read, Text: "x"}, 0, Idle)
		f.endpoints.requireValues(t, map[string]string{"mode": "strict"})
	}
}

// requireValues replays what the endpoints received, with a commit that was refused, and requires the
// values with which each read ran on its connection.
func (e *fakeEndpoints) requireValues(t *testing.T, want map[string]string) {
	t.Helper()
	values, before := map[int]map[string]string{}, map[int]map[string]string{}
	for _, r := range e.received {
		if values[r.link] == nil {
			values[r.link] = map[string]string{}
		}
		switch r.command.Kind {
		case SetValue:
			values[r.link][r.command.Name] = r.command.Text
		case Discard:
			clear(values[r.link])
		case Begin:
			before[r.link] = maps.Clone(values[r.link])
		case Commit:
			values[r.link] = before[r.link]
		case Read:
			if !maps.Equal(values[r.link], want) {
				t.Errorf("a read ran with the values %v, want %v", values[r.link], want)
			}
		}
	}
}
