package core

import (
	"time"

	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// busyRetry is the time after which a refused caller may come back: about the
// time of a change of the primary's leases (lease round plus round trips).
const busyRetry = 200 * time.Millisecond

// maxAttempts bounds the attempts of one statement that reach an endpoint: the
// members of a group, and one more for a change of the primary meanwhile.
const maxAttempts = 4

// operation is one statement, or the begin of a transaction, on its way.
type operation struct {
	session *Session
	st      Statement
	route   note.Route
	need    need
	// writes: it may change data, so that it is repeated only when it surely has
	// not run.
	writes   bool
	deadline time.Time
	attempts int
	// offered: an attempt was sent to an endpoint.
	offered bool
	lastErr *result.Error
}

// writes reports whether a statement may change data. Unknown names do not.
func (s *Session) writes(st Statement) bool {
	return st.Kind == Write || st.Kind == Execute && s.prepared[st.Name].writes
}

// run serves a read, a write or an execution.
func (s *Session) run(st Statement) Reply {
	if st.Kind == Execute {
		if _, ok := s.prepared[st.Name]; !ok {
			return refuse(result.New(result.UnknownStatement, "%q", st.Name))
		}
	}
	if s.state == InTransaction {
		return s.runInTransaction(st)
	}
	op, err := s.admitted(st, s.writes(st))
	if err != nil {
		return refuse(err)
	}
	return op.single()
}

// asResult returns the result.Error in err, or one with the given code.
func asResult(err error, code result.Code) *result.Error {
	if e, ok := err.(*result.Error); ok {
		return e
	}
	return result.New(code, "%v", err)
}

// restore gives the connection the session's values and the shape of a prepared
// statement, and confirms them before anything else is sent.
func (s *Session) restore(l *lease, st Statement, deadline time.Time) *result.Error {
	var needed *shape
	if st.Kind == Execute {
		p := s.prepared[st.Name]
		needed = &p
	}
	commands := l.conn.restore(s.values, needed)
	if len(commands) == 0 {
		return nil
	}
	answers, _, err := l.conn.Exchange(deadline, commands...)
	if err != nil {
		return s.linkLost(l, err)
	}
	for _, a := range answers {
		if a.Err != nil {
			return result.New(result.EndpointLost, "restoring the session at %s: %s", l.endpoint.record.ID, a.Err.Detail)
		}
	}
	return nil
}

// linkLost notes that a connection was lost before a statement was sent.
func (s *Session) linkLost(l *lease, err error) *result.Error {
	l.endpoint.suspect(s.workspace, err)
	return result.New(result.EndpointLost, "endpoint %s: %v", l.endpoint.record.ID, err)
}

// command returns the statement as it goes to the lease's endpoint.
func (s *Session) command(l *lease, st Statement, after Position) Command {
	if st.Kind == Execute {
		st.Name = l.conn.prepared[s.prepared[st.Name]]
	}
	if l.primary {
		after = Position{}
	}
	return Command{Statement: st, After: after}
}

// takesSlot reports whether an endpoint runs a statement in one of its slots.
func takesSlot(kind Kind) bool {
	return kind == Read || kind == Write || kind == Execute || kind == Commit
}

// exchange sends a statement and notes what its answer tells.
func (s *Session) exchange(l *lease, route note.Route, c Command) (Answer, bool, error) {
	timeout := time.Duration(route.Timeout) * time.Millisecond
	at, sentAt := clock.Now(), time.Now()
	answers, sent, err := l.conn.Exchange(sentAt.Add(timeout), c)
	took := time.Since(sentAt)
	s.spent.endpoint += took
	s.spent.attempts++
	s.spent.at = l.endpoint.record.ID
	s.srv.metrics.backend.WithLabelValues(string(route.Class)).Observe(took.Seconds())
	if err != nil {
		return Answer{}, sent, err
	}
	a := answers[0]
	if a.Err == nil && takesSlot(c.Kind) {
		l.endpoint.took(at, s.srv.excess(route, c.Kind, took))
	}
	l.endpoint.seen(a.Position)
	if l.primary && s.srv.holds(l.choice) && (a.Err == nil || a.Err.Code != result.EndpointReadOnly) {
		s.srv.fresh.observe(route.Service, l.term, at, a.Position)
	}
	return a, true, nil
}
