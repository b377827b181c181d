package core

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/gate"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/view"
)

// fakeEndpoints are endpoints in memory. script answers the next commands that
// callers sent; when it is empty they succeed.
type fakeEndpoints struct {
	mu     sync.Mutex
	script []func(id string, c Command) (Answer, bool, error)
	dial   func(id string) error
	ran    []ranCommand
	closed int
}

// ranCommand is a command that reached an endpoint.
type ranCommand struct {
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
	return &fakeLink{e: e, id: ep.ID, number: len(e.ran), workspace: workspace}, nil
}

func (l *fakeLink) Key() string    { return l.workspace }
func (l *fakeLink) Alive() bool    { return true }
func (l *fakeLink) Reusable() bool { return true }

func (l *fakeLink) Close() {
	l.e.mu.Lock()
	defer l.e.mu.Unlock()
	l.e.closed++
}

func (l *fakeLink) Exchange(_ time.Time, commands ...Command) ([]Answer, bool, error) {
	l.e.mu.Lock()
	defer l.e.mu.Unlock()
	var answers []Answer
	for _, c := range commands {
		if c.ID != "" && len(l.e.script) > 0 {
			next := l.e.script[0]
			l.e.script = l.e.script[1:]
			a, sent, err := next(l.id, c)
			if err != nil || a.Err != nil {
				if sent {
					l.e.ran = append(l.e.ran, ranCommand{l.id, l.number, c})
				}
				return append(answers, a), sent, err
			}
		}
		l.e.ran = append(l.e.ran, ranCommand{l.id, l.number, c})
		switch c.Kind {
		case Begin, BeginReadOnly:
			l.state = InTransaction
		case Commit, Rollback:
			l.state = Idle
		}
		answers = append(answers, Answer{Signature: "s", State: l.state, Position: Position{Term: 1, Number: uint64(len(l.e.ran))}})
	}
	return answers, true, nil
}

func (e *fakeEndpoints) count(kind Kind) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, r := range e.ran {
		if r.command.Kind == kind && r.command.ID != "" {
			n++
		}
	}
	return n
}

func (e *fakeEndpoints) last() ranCommand {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran[len(e.ran)-1]
}

// plan makes the next statements of callers end as given.
func (e *fakeEndpoints) plan(outcomes ...func(string, Command) (Answer, bool, error)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.script = outcomes
}

func refused(code result.Code) func(string, Command) (Answer, bool, error) {
	return func(string, Command) (Answer, bool, error) {
		return Answer{Err: result.New(code, "planned")}, false, nil
	}
}

func broken(sent bool) func(string, Command) (Answer, bool, error) {
	return func(string, Command) (Answer, bool, error) { return Answer{}, sent, errors.New("connection lost") }
}

// noLimit has tokens for all and counts them.
type noLimit struct{ taken, refunded *atomic.Int64 }

func (l noLimit) Acquire(context.Context, string) error {
	l.taken.Add(1)
	return nil
}

func (l noLimit) Refund(string) {
	l.refunded.Add(1)
}

type fakeCaller struct{ net.Conn }

func (fakeCaller) IsIdle() bool { return true }
func (fakeCaller) Disconnect()  {}

// rig is a server before three fake endpoints, of which "p" is the primary.
type rig struct {
	t         *testing.T
	endpoints *fakeEndpoints
	server    *Server
	view      *view.Publisher
	state     *agreed.State
	// taken and refunded count tokens of rates.
	taken, refunded atomic.Int64

	mu       sync.Mutex
	evidence []Evidence
}

func (r *rig) observe(e Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence = append(r.evidence, e)
}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{t: t, endpoints: &fakeEndpoints{}, view: view.NewPublisher(), state: agreed.New()}
	r.state.Revision = 1
	r.state.Catalog.Stamp.Number = 1
	r.state.Catalog.Services["logs"] = note.Service{Name: "logs", Ack: note.AckReplicas}
	r.state.Catalog.Workspaces["crew"] = note.Workspace{Name: "crew", Rate: 1, Burst: 1}
	r.state.Catalog.Keys["k"] = note.Key{ID: "k", Workspace: "crew"}
	r.state.Catalog.Routes = map[string]note.Route{
		"launch": {Database: "launch", Service: "logs", Policy: note.ReadPrimary, Timeout: 2000, Class: note.ClassInteractive},
		"brief":  {Database: "brief", Service: "logs", Policy: note.ReadPrimary, Timeout: 50, Class: note.ClassInteractive},
		"own":    {Database: "own", Service: "logs", Policy: note.ReadOwnWrites, MaxStaleness: 5000, Timeout: 2000, Class: note.ClassBulk},
	}
	members := []string{"p", "r1", "r2"}
	for _, id := range members {
		r.state.Endpoints[id] = agreed.Endpoint{ID: id, Service: "logs", Addr: id + ":1", Domain: "d"}
	}
	r.state.Groups["logs"] = agreed.Group{Service: "logs", Members: members, Term: 1, Primary: "p", Phase: agreed.PhaseActive, Timeline: 1}
	r.publish(time.Hour)
	r.server = NewServer(Options{
		View: r.view, Host: "h", Domain: "d", Dialer: r.endpoints, Limiter: noLimit{&r.taken, &r.refunded},
		Connections: func(string, string) int { return 4 }, Observe: r.observe, Log: log.New(io.Discard),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.server.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return r
}

func (r *rig) publish(lease time.Duration) {
	next := *r.state
	r.view.Publish(view.View{State: &next, Settled: 1, ValidUntil: clock.Now().Add(lease)})
}

func (r *rig) open(database string) *Session {
	r.t.Helper()
	s, err := r.server.Open(database, "k", fakeCaller{})
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(s.Close)
	return s
}

func (r *rig) want(s *Session, st Statement, code result.Code, state State) Reply {
	r.t.Helper()
	st.ID = "id"
	reply := s.Do(st)
	var got result.Code
	if reply.Err != nil {
		got = reply.Err.Code
	}
	if got != code || reply.State != state {
		r.t.Fatalf("%s: got %v in state %d, want code %d in state %d", st.Kind, reply.Err, reply.State, code, state)
	}
	return reply
}

// TestWhatMayFollowALostStatement checks the outcome that a caller is told, and
// how often the statement reached an endpoint.
func TestWhatMayFollowALostStatement(t *testing.T) {
	cases := map[string]struct {
		kind Kind
		plan []func(string, Command) (Answer, bool, error)
		code result.Code
		ran  int
	}{
		"write not sent":          {Write, []func(string, Command) (Answer, bool, error){broken(false)}, 0, 1},
		"write sent and lost":     {Write, []func(string, Command) (Answer, bool, error){broken(true)}, result.OutcomeUnknown, 1},
		"read sent and lost":      {Read, []func(string, Command) (Answer, bool, error){broken(true)}, 0, 2},
		"write refused as busy":   {Write, []func(string, Command) (Answer, bool, error){refused(result.EndpointBusy)}, 0, 1},
		"write at a replica":      {Write, []func(string, Command) (Answer, bool, error){refused(result.EndpointReadOnly)}, 0, 1},
		"write ran and failed":    {Write, []func(string, Command) (Answer, bool, error){refused(result.StatementFailed)}, result.StatementFailed, 0},
		"write timed out":         {Write, []func(string, Command) (Answer, bool, error){refused(result.StatementTimeout)}, result.StatementTimeout, 0},
		"read fails once":         {Read, []func(string, Command) (Answer, bool, error){refused(result.StatementFailed)}, 0, 1},
		"read behind":             {Read, []func(string, Command) (Answer, bool, error){refused(result.ReplicaBehind)}, 0, 1},
		"name lost at connection": {Write, []func(string, Command) (Answer, bool, error){refused(result.UnknownStatement)}, 0, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			s := r.open("launch")
			r.endpoints.plan(c.plan...)
			r.want(s, Statement{Kind: c.kind, Text: "x"}, c.code, Idle)
			if got := r.endpoints.count(c.kind); got != c.ran {
				t.Errorf("reached an endpoint %d times, want %d", got, c.ran)
			}
		})
	}
}

func TestACommitThatMayHaveRunIsInDoubt(t *testing.T) {
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
			r := newRig(t)
			s := r.open("launch")
			r.want(s, Statement{Kind: Begin}, 0, InTransaction)
			kind := Read
			if c.writes {
				kind = Write
			}
			r.want(s, Statement{Kind: kind, Text: "x"}, 0, InTransaction)
			r.endpoints.plan(broken(c.sent))
			r.want(s, Statement{Kind: Commit}, c.code, Idle)
		})
	}
}

func TestNothingIsSentWithoutALease(t *testing.T) {
	r := newRig(t)
	s := r.open("launch")
	r.publish(-time.Second)
	r.want(s, Statement{Kind: Write, Text: "x"}, result.NoConfigLease, Idle)
	if n := r.endpoints.count(Write); n != 0 {
		t.Errorf("%d writes were sent", n)
	}
}

func TestATransactionEndsWithItsTerm(t *testing.T) {
	r := newRig(t)
	s := r.open("launch")
	r.want(s, Statement{Kind: Begin}, 0, InTransaction)
	r.want(s, Statement{Kind: Write, Text: "x"}, 0, InTransaction)
	g := r.state.Groups["logs"]
	r.state.Groups = map[string]agreed.Group{"logs": {
		Service: "logs", Members: g.Members, Term: 2, Primary: "p", Phase: agreed.PhaseSealed,
	}}
	r.publish(time.Hour)
	r.want(s, Statement{Kind: Commit}, result.TransactionAborted, Idle)
	if n := r.endpoints.count(Commit); n != 0 {
		t.Errorf("%d commits were sent under the former term", n)
	}
}

func TestReadsGoToReplicasOnlyWithAPosition(t *testing.T) {
	r := newRig(t)
	s := r.open("own")
	r.want(s, Statement{Kind: Read, Text: "x"}, 0, Idle)
	if got := r.endpoints.last(); got.endpoint != "p" {
		t.Errorf("the first read went to %s: nothing tells what it must see", got.endpoint)
	}
	r.want(s, Statement{Kind: Write, Text: "x 1"}, 0, Idle)
	own := s.own
	for range 10 { // a busy primary
		r.server.endpoint(r.state.Endpoints["p"]).begin()
	}
	r.want(s, Statement{Kind: Read, Text: "x"}, 0, Idle)
	if got := r.endpoints.last(); got.endpoint == "p" || got.command.After.Compare(own) < 0 {
		t.Errorf("read at %s after %v, the session wrote up to %v", got.endpoint, got.command.After, own)
	}
}

func TestASessionThatWasClosedRunsNothing(t *testing.T) {
	r := newRig(t)
	s := r.open("launch")
	s.since = clock.Now().Add(-2 * restBeforeClose)
	s.closeIfIdle()
	r.want(s, Statement{Kind: Write, Text: "x"}, result.ShuttingDown, Idle)
	if n := r.endpoints.count(Write); n != 0 {
		t.Errorf("%d writes were sent for a caller that is gone", n)
	}
}

func TestAnIdleTransactionIsEnded(t *testing.T) {
	r := newRig(t)
	s := r.open("launch")
	r.want(s, Statement{Kind: Begin}, 0, InTransaction)
	s.expire(clock.Now().Add(time.Hour), time.Minute)
	r.want(s, Statement{Kind: Write, Text: "x"}, result.TransactionAborted, Failed)
	r.want(s, Statement{Kind: Commit}, result.TransactionAborted, Idle)
}

// TestATokenIsSpentOnlyOnWhatIsOffered refuses statements before and after the
// rate was asked.
func TestATokenIsSpentOnlyOnWhatIsOffered(t *testing.T) {
	r := newRig(t)
	s := r.open("brief")
	r.publish(-time.Hour)
	r.want(s, Statement{Kind: Write, Text: "x"}, result.NoConfigLease, Idle)
	if n := r.taken.Load(); n != 0 {
		t.Errorf("%d tokens taken without a lease", n)
	}
	sealed := r.state.Groups["logs"]
	sealed.Phase = agreed.PhaseSealed
	r.state.Groups["logs"] = sealed
	r.publish(time.Hour)
	r.want(s, Statement{Kind: Write, Text: "x"}, result.NoPrimary, Idle)
	r.want(s, Statement{Kind: Begin}, result.NoPrimary, Idle)
	if taken, refunded := r.taken.Load(), r.refunded.Load(); taken != 2 || refunded != 2 {
		t.Errorf("%d tokens taken, %d given back", taken, refunded)
	}
}

// TestARefusedConnectionIsToldAtOnce loses the primary: what a statement found out
// is told before any further attempt to reach it.
func TestARefusedConnectionIsToldAtOnce(t *testing.T) {
	r := newRig(t)
	r.endpoints.dial = func(id string) error {
		if id == "p" {
			return errors.New("connection refused")
		}
		return nil
	}
	s := r.open("brief")
	r.want(s, Statement{Kind: Write, Text: "x"}, result.EndpointLost, Idle)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.evidence) == 0 || r.evidence[0] != (Evidence{Service: "logs", Endpoint: "p", Lost: true}) {
		t.Errorf("evidence %+v", r.evidence)
	}
}

// TestATransactionGoesOnWhileOthersWait takes all slots of the primary and runs a
// statement of a transaction that has its connection.
func TestATransactionGoesOnWhileOthersWait(t *testing.T) {
	r := newRig(t)
	s := r.open("launch")
	r.want(s, Statement{Kind: Begin}, 0, InTransaction)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for range r.server.slots("logs", "p") {
		leave, err := r.server.gate.AcquireSlot(ctx, gate.SlotRequest{Endpoint: "p", Service: "logs", Workspace: "crew", Class: note.ClassInteractive})
		if err != nil {
			t.Fatal(err)
		}
		defer leave()
	}
	r.want(s, Statement{Kind: Write, Text: "x"}, 0, InTransaction)
	r.want(s, Statement{Kind: Commit}, 0, Idle)
}
