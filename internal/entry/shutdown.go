package entry

import (
	"context"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/result"
)

// Drain stops accepting callers and waits until each has ended its request or transaction.
// Idle callers are disconnected with code ShuttingDown.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	_ = s.listener.Close()
	for {
		all := s.activeSessions()
		if len(all) == 0 {
			return nil
		}
		for _, session := range all {
			session.drain()
		}
		if err := pause(ctx, drainGrace); err != nil {
			return errors.Wrapf(err, "%d callers are still connected", len(all))
		}
	}
}

// AbortTransactions makes each session end, which rolls its transaction back, as soon as it has no
// request in progress. It is called late in a shutdown, while Drain runs, since callers decide how
// long their transactions last.
func (s *Server) AbortTransactions() { s.aborting.Store(true) }

// InterruptRequests ends the requests in progress. Their callers are told that the outcome is
// unknown, unless they have not run. It is called at the end of a shutdown, while Drain runs: the
// end of the process would cut the callers off without an answer.
func (s *Server) InterruptRequests() {
	s.aborting.Store(true)
	s.stopAnswering()
	for _, session := range s.activeSessions() {
		session.interruptRequest()
	}
}

// interruptRequest ends the wait or the exchange of the request in progress, if there is one.
func (s *session) interruptRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active != nil {
		s.active.conn.Interrupt()
	}
	if s.cancelWait != nil {
		s.cancelWait()
	}
}

// outlives reports whether the session goes on for now although there is a reason to end it: a
// shutdown waits for transactions and pipelines until AbortTransactions.
func (s *session) outlives(reason error) bool {
	return result.CodeOf(reason) == result.ShuttingDown && s.busy() && !s.srv.aborting.Load()
}
