package core

import (
	"context"
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/result"
)

// writeDuring runs a write, calls a function while the write is in progress at its endpoint, and
// returns the reply to the write.
func (f *fixture) writeDuring(s *Session, during func()) Reply {
	began, proceed := make(chan struct{}), make(chan struct{})
	f.endpoints.plan(func(string, Command) (Answer, bool, error) {
		close(began)
		<-proceed
		return Answer{}, true, nil
	})
	done := make(chan Reply)
	go func() { done <- s.Do(Statement{ID: "id", Kind: Write, Text: "x"}) }()
	<-began
	during()
	close(proceed)
	return <-done
}

// TestTransactionInStatementEndsAtShutdown guards against a transaction that outlives
// AbortTransactions because a statement of it was in progress, so that the end of the process
// cuts off its commit. The statement itself is answered.
func TestTransactionInStatementEndsAtShutdown(t *testing.T) {
	f := newFixture(t)
	s := f.open("launch")
	f.expect(s, Statement{Kind: Begin}, 0, InTransaction)
	if reply := f.writeDuring(s, f.server.AbortTransactions); reply.Err != nil || reply.Signature == "" {
		t.Errorf("the statement in progress got %+v, want its answer", reply)
	}
	f.expect(s, Statement{Kind: Commit}, result.TransactionAborted, Idle)
	if n := f.endpoints.count(Commit); n != 0 {
		t.Errorf("%d commits were sent, want 0", n)
	}
}

// TestRemoteTransactionInStatementEndsAtShutdown guards against the same at the host that runs the
// transaction for another host.
func TestRemoteTransactionInStatementEndsAtShutdown(t *testing.T) {
	f := newForwardFixture(t)
	s := f.open("launch")
	f.expect(s, Statement{Kind: Begin}, 0, InTransaction)
	reply := f.writeDuring(s, func() {
		f.home1.StopRemote()
		f.home1.AbortTransactions()
	})
	if reply.Err != nil {
		t.Errorf("the statement in progress got %v, want its answer", reply.Err)
	}
	awaitNoRemoteWork(t, f.home1)
	f.expect(s, Statement{Kind: Commit}, result.TransactionAborted, Idle)
	if n := f.endpoints.count(Commit); n != 0 {
		t.Errorf("%d commits were sent, want 0", n)
	}
}

// TestBeginRefusedOnceTransactionsAreAborted guards against a transaction that begins when it
// would be rolled back at once.
func TestBeginRefusedOnceTransactionsAreAborted(t *testing.T) {
	for name, kind := range map[string]Kind{"read-write": Begin, "read-only": BeginReadOnly} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			s := f.open("launch")
			f.server.AbortTransactions()
			if reply := f.expect(s, Statement{Kind: kind}, result.ShuttingDown, Idle); reply.Err.RetryAfter == 0 {
				t.Error("the refusal does not tell when to retry")
			}
			f.expect(s, Statement{Kind: Write, Text: "x"}, 0, Idle)
		})
	}
}

// TestWriteNotSentThatMayOutliveProcess guards against a write whose answer may be due only after
// the end of the process. A read may run again elsewhere, so it is still sent.
func TestWriteNotSentThatMayOutliveProcess(t *testing.T) {
	f := newFixture(t)
	s := f.open("launch") // its timeout is 2 s
	f.server.AnswerBy(time.Now().Add(1500 * time.Millisecond))
	f.expect(s, Statement{Kind: Write, Text: "x"}, result.ShuttingDown, Idle)
	f.expect(s, Statement{Kind: Begin}, result.ShuttingDown, Idle)
	if n := f.endpoints.count(Write) + f.endpoints.count(Begin); n != 0 {
		t.Errorf("%d statements were sent, want 0", n)
	}
	end := *f.server.answerBy.Load()
	f.expect(s, Statement{Kind: Read, Text: "x"}, 0, Idle)
	f.endpoints.mu.Lock()
	defer f.endpoints.mu.Unlock()
	if d := f.endpoints.lastDeadline; d.After(end) {
		t.Errorf("the answer of the endpoint is awaited until %v after the last answer to callers", d.Sub(end))
	}
}

// silentForwarder sends statements to a host that never answers.
type silentForwarder struct{ forwarded chan struct{} }

func (silentForwarder) Route(string, string, bool) []string { return []string{"home1", "home2"} }
func (silentForwarder) EndTransaction(string, uint64)       {}

func (f silentForwarder) Forward(ctx context.Context, _ string, _ RemoteRequest) (RemoteResponse, error) {
	f.forwarded <- struct{}{}
	<-ctx.Done()
	return RemoteResponse{}, ctx.Err()
}

// TestForwardedStatementAnsweredBeforeProcessEnds guards against a caller whose statement is in
// progress at another host, and whose connection ends with the process without an answer.
func TestForwardedStatementAnsweredBeforeProcessEnds(t *testing.T) {
	for name, c := range map[string]struct {
		kind Kind
		code result.Code
	}{
		"a write has an unknown outcome": {Write, result.OutcomeUnknown},
		"a read can run again":           {Read, result.ShuttingDown},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			route := f.state.Catalog.Routes["launch"]
			route.Timeout = time.Hour.Milliseconds()
			f.state.Catalog.Routes["launch"] = route
			f.publish(2 * time.Hour)
			forwarder := silentForwarder{forwarded: make(chan struct{}, 4)}
			f.server.opts.Forwarder = forwarder
			s := f.open("launch")
			done := make(chan Reply)
			go func() { done <- s.Do(Statement{ID: "id", Kind: c.kind, Text: "x"}) }()
			<-forwarder.forwarded
			f.server.AnswerBy(time.Now())
			reply := <-done
			if reply.Err == nil || reply.Err.Code != c.code {
				t.Errorf("got %v, want code %d", reply.Err, c.code)
			}
		})
	}
}
