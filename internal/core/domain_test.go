package core

import (
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// takeDomainOut takes the failure domain of all endpoints out of use. The group stays as it is, as
// when no other endpoint can be promoted.
func (f *fixture) takeDomainOut(publish func(time.Duration)) {
	f.state.Catalog.Domains = map[string]note.Domain{"d": {Name: "d", Out: true}}
	publish(time.Hour)
}

func (f *fixture) receivedCount() int {
	f.endpoints.mu.Lock()
	defer f.endpoints.mu.Unlock()
	return len(f.endpoints.received)
}

// TestTransactionEndsWhenDomainIsOut guards against a transaction, read-only or not, that goes on at
// an endpoint whose failure domain was taken out of use. Nothing more is sent there, not even a
// rollback.
func TestTransactionEndsWhenDomainIsOut(t *testing.T) {
	for name, begin := range map[string]Kind{"read-only": BeginReadOnly, "read-write": Begin} {
		for _, next := range []Kind{Read, Commit} {
			t.Run(name+" "+next.String(), func(t *testing.T) {
				f := newFixture(t)
				s := f.open("launch")
				f.expect(s, Statement{Kind: begin}, 0, InTransaction)
				f.expect(s, Statement{Kind: Read, Text: "x"}, 0, InTransaction)
				sent := f.receivedCount()
				f.takeDomainOut(f.publish)
				state := Failed
				if next == Commit {
					state = Idle
				}
				f.expect(s, Statement{Kind: next, Text: "x"}, result.TransactionAborted, state)
				if n := f.receivedCount() - sent; n != 0 {
					t.Errorf("%d commands were sent to the endpoint, want 0", n)
				}
			})
		}
	}
}

// TestIdleTransactionLeavesDomainOut guards against a connection that an idle transaction keeps open
// at an endpoint which the operator may switch off.
func TestIdleTransactionLeavesDomainOut(t *testing.T) {
	f := newFixture(t)
	s := f.open("launch")
	f.expect(s, Statement{Kind: BeginReadOnly}, 0, InTransaction)
	f.takeDomainOut(f.publish)
	f.awaitClosed(1)
	f.expect(s, Statement{Kind: Read, Text: "x"}, result.TransactionAborted, Failed)
}

// TestRemoteTransactionLeavesDomainOut guards against the same at the host that runs the transaction
// for another host.
func TestRemoteTransactionLeavesDomainOut(t *testing.T) {
	f := newForwardFixture(t)
	s := f.open("launch")
	f.expect(s, Statement{Kind: BeginReadOnly}, 0, InTransaction)
	sent := f.receivedCount()
	f.takeDomainOut(f.publish)
	awaitNoRemoteWork(t, f.home1)
	f.awaitClosed(1)
	f.expect(s, Statement{Kind: Read, Text: "x"}, result.TransactionAborted, Failed)
	if n := f.receivedCount() - sent; n != 0 {
		t.Errorf("%d commands were sent to the endpoint, want 0", n)
	}
}

// TestStatementNotSentWhenDomainGoesOutMeanwhile guards against a statement that waited for a
// connection while the failure domain of its endpoint was taken out of use.
func TestStatementNotSentWhenDomainGoesOutMeanwhile(t *testing.T) {
	f := newFixture(t)
	s := f.open("brief")
	f.endpoints.dial = func(string) error {
		f.takeDomainOut(f.publish)
		return nil
	}
	f.expect(s, Statement{Kind: Read, Text: "x"}, result.NoPrimary, Idle)
	if n := f.endpoints.count(Read); n != 0 {
		t.Errorf("%d reads were sent, want 0", n)
	}
}

// awaitClosed waits until n connections to endpoints were closed.
func (f *fixture) awaitClosed(n int) {
	f.t.Helper()
	closed := func() int {
		f.endpoints.mu.Lock()
		defer f.endpoints.mu.Unlock()
		return f.endpoints.closed
	}
	for end := time.Now().Add(time.Minute); closed() < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("%d connections were closed, want %d", closed(), n)
		}
	}
}
