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
func (s *session) setActive(co *checkout) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = co
}

func (s *session) clearActive(co *checkout) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active == co {
		s.active = nil
	}
}

// setTransaction records whether the endpoint reports a transaction.
func (s *session) setTransaction(co *checkout, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	co.transaction = on
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
func (s *session) applyView(v view.View) {
	if err := s.identity.check(v); err != nil {
		s.terminate(err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if co := s.active; co != nil && co.primary && v.State != nil && !sameTerm(v, co) {
		co.conn.Interrupt()
	}
}

// sameTerm reports whether the lease's term is still the group's.
func sameTerm(v view.View, co *checkout) bool {
	return termHolds(view.View{State: v.State, ValidUntil: farFuture}, co)
}

var farFuture = time.Unix(1<<40, 0)

// withdraw ends the session at the next statement boundary and cancels a
// transaction in progress.
func (s *session) terminate(reason error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reason = reason
	s.conn.Interrupt(0)
	if s.active == nil || !s.active.transaction {
		return
	}
	s.active.conn.Interrupt()
	s.active.conn.MarkCancelled()
	s.srv.cancelOn(s.active.conn)
}

// cancel cancels the request in progress.
func (s *session) cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.active != nil:
		s.active.conn.MarkCancelled()
		s.srv.cancelOn(s.active.conn)
	case s.cancelWait != nil:
		s.cancelWait()
	}
}

// kill ends the session at once.
func (s *session) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active != nil {
		s.active.conn.Interrupt()
	}
	if s.cancelWait != nil {
		s.cancelWait()
	}
	_ = s.conn.Close()
}
