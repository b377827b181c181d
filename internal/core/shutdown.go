package core

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// A shutdown must not end the connection of a caller whose request was passed on. AnswerBy sets
// the time of the last answer: a statement that may change data is not sent if its endpoint might
// need longer, and whatever is still in progress then is answered without its outcome.
// AbortTransactions ends transactions at the end of their statement in progress, since their
// callers decide how long they last.

// AnswerBy sets the time by which all callers are answered. It is called once, when a shutdown
// begins.
func (s *Server) AnswerBy(end time.Time) {
	s.answerBy.Store(&end)
	s.spawn(func(ctx context.Context) {
		timer := time.NewTimer(time.Until(end))
		defer timer.Stop()
		select {
		case <-timer.C:
			s.stopAnswering()
		case <-ctx.Done():
		}
	})
}

// lastSend returns until when a statement of a route may be sent to an endpoint, and false unless a
// shutdown has begun. A write is sent only if its answer is due before the last one to callers,
// since its outcome would be unknown otherwise. A read can run again.
func (s *Server) lastSend(route note.Route, writes bool) (time.Time, bool) {
	end := s.answerBy.Load()
	switch {
	case end == nil:
		return time.Time{}, false
	case writes:
		return end.Add(-time.Duration(route.Timeout) * time.Millisecond), true
	}
	return *end, true
}

// tooLate reports whether a statement of a route may not be sent any more.
func (s *Server) tooLate(route note.Route, writes bool) bool {
	last, stopping := s.lastSend(route, writes)
	return stopping && !time.Now().Before(last)
}

// exchangeDeadline returns when an answer of an endpoint is due that may take the timeout.
func (s *Server) exchangeDeadline(sentAt time.Time, timeout time.Duration) time.Time {
	due := sentAt.Add(timeout)
	if end := s.answerBy.Load(); end != nil && end.Before(due) {
		return *end
	}
	return due
}

// pastAnswers reports whether all callers should have been answered by now.
func (s *Server) pastAnswers() bool {
	end := s.answerBy.Load()
	return end != nil && !time.Now().Before(*end)
}

// errStopping returns the refusal of a statement that could not be answered in time.
func errStopping() *result.Error {
	return withRetryAfter(result.New(result.ShuttingDown, "the host is stopping"))
}

// Drain declines new statements of other hosts and closes each session as soon as it has no
// transaction and no statement in progress. It returns when all sessions are closed and the
// work for other hosts has ended, or with an error when ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.StopRemote()
	for {
		all := s.openSessions()
		if len(all) == 0 && s.remoteWork() == 0 {
			return nil
		}
		for _, session := range all {
			session.closeIfIdle()
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d sessions are still open, %d statements or transactions of other hosts", len(all), s.remoteWork())
		case <-time.After(retryDelay):
		}
	}
}

// AbortTransactions rolls back every transaction, one with a statement in progress when that has
// been answered, and refuses to begin others. It is used late in a shutdown, after Drain was given
// time.
func (s *Server) AbortTransactions() {
	s.aborting.Store(true)
	for _, session := range s.openSessions() {
		session.expireTransaction(clock.Now(), 0)
	}
	s.expireRemoteTransactions(clock.Now(), 0)
}

// abortIfStopping rolls back the transaction once AbortTransactions was called. The caller holds
// s.mu and has served a statement. The reply to the next one reports the abort.
func (s *Session) abortIfStopping() {
	if s.srv.aborting.Load() && s.state == InTransaction && (s.tx != nil || s.remote != nil) {
		s.srv.opts.Log.Info("transaction_stopped", "database", s.database, "workspace", s.workspace)
		s.endTransaction()
	}
}

// RefuseNew refuses new sessions and new statements outside of transactions. It is called at
// the end of a shutdown, when no caller should come any more: a statement that began now
// would be cut off by the end of the process.
func (s *Server) RefuseNew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing.Store(true)
}
