package entry

import (
	"time"

	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/view"
)

// drainGrace is how long an idle session waits for a request that its caller
// may have sent before the shutdown reaches it.
const drainGrace = 100 * time.Millisecond

// hold makes a lease known to cancel requests and to changes of the state.
func (s *session) hold(l *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = l
}

func (s *session) unhold(l *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held == l {
		s.held = nil
	}
}

// setTransaction records whether the endpoint reports a transaction.
func (s *session) setTransaction(l *lease, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.transaction = on
}

// stopReason returns why the session must end, or nil.
func (s *session) stopReason() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reason
}

// drain asks the session to end once its caller is idle.
func (s *session) drain() {
	s.mu.Lock()
	if s.reason == nil {
		s.reason = result.New(result.ShuttingDown, "the host is shutting down")
	}
	s.mu.Unlock()
	s.conn.Interrupt(drainGrace)
}

// review applies a change of the agreed state. It is called by the server's
// task, not by the session's own.
func (s *session) review(v view.View) {
	if err := s.who.check(v); err != nil {
		s.withdraw(err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.held; l != nil && l.primary && v.State != nil && !sameTerm(v, l) {
		l.conn.Interrupt()
	}
}

// sameTerm reports whether the lease's term is still the group's.
func sameTerm(v view.View, l *lease) bool {
	return termHolds(view.View{State: v.State, ValidUntil: farFuture}, l)
}

var farFuture = time.Unix(1<<40, 0)

// withdraw ends the session at the next statement boundary and cancels a
// transaction in progress.
func (s *session) withdraw(reason error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reason = reason
	s.conn.Interrupt(0)
	if s.held == nil || !s.held.transaction {
		return
	}
	s.held.conn.Interrupt()
	s.held.conn.MarkCancelled()
	s.srv.cancelOn(s.held.conn)
}

// cancel cancels the request in progress.
func (s *session) cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.held != nil:
		s.held.conn.MarkCancelled()
		s.srv.cancelOn(s.held.conn)
	case s.stopped != nil:
		s.stopped()
	}
}

// kill ends the session at once.
func (s *session) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held != nil {
		s.held.conn.Interrupt()
	}
	if s.stopped != nil {
		s.stopped()
	}
	_ = s.conn.Close()
}
