package entry

import (
	"time"

	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/view"
)

// drainGrace is how long an idle session waits during a shutdown for a request that its
// caller may already have sent.
const drainGrace = 100 * time.Millisecond

// setActive makes a checkout accessible to cancel requests and to changes of the agreed
// state.
func (s *session) setActive(co *checkout) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = co
}

// clearActive must precede the return of the connection, which another session may then use.
func (s *session) clearActive(co *checkout) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active == co {
		s.active = nil
	}
}

// setTransaction records whether the endpoint reports a transaction in progress.
func (s *session) setTransaction(co *checkout, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	co.inTransaction = on
}

// stopReason returns the reason why the session must end, or nil.
func (s *session) stopReason() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopErr
}

// drain makes the session end once its caller is idle. It does not replace another reason.
func (s *session) drain() {
	s.mu.Lock()
	if s.stopErr == nil {
		s.stopErr = result.New(result.ShuttingDown, "the host is shutting down")
	}
	s.mu.Unlock()
	s.conn.Interrupt(drainGrace)
}

// applyView applies a change of the agreed state: it terminates the session when its
// identity is no longer valid, and interrupts a request on a primary whose term has ended.
// It runs on the server's goroutine.
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

// sameTerm reports whether the checkout's term and primary are still the group's, whether
// or not the configuration lease is valid.
func sameTerm(v view.View, co *checkout) bool {
	return termHolds(view.View{State: v.State, ValidUntil: farFuture}, co)
}

// farFuture is an end of the configuration lease that is never reached.
var farFuture = time.Unix(1<<40, 0)

// terminate ends the session at the next statement boundary and cancels a transaction in
// progress.
func (s *session) terminate(reason error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopErr = reason
	s.conn.Interrupt(0)
	if s.active == nil || !s.active.inTransaction {
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

// kill ends the session at once and closes the caller's connection.
func (s *session) kill() {
	s.interruptRequest()
	_ = s.conn.Close()
}
