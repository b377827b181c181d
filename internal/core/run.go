package core

import (
	"time"

	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// defaultRetryAfter is the retry hint for refused callers: about the time that a change
// of the primary's leases takes (a lease round plus round trips).
const defaultRetryAfter = 200 * time.Millisecond

// maxAttempts bounds the attempts of one statement that are sent to an endpoint: one for
// each member of a group, and one for a change of the primary in the meantime.
const maxAttempts = 4

// operation is a statement outside of a transaction, or the begin of a transaction, in
// progress.
type operation struct {
	session *Session
	st      Statement
	route   note.Route
	need    need
	// writes: the statement may change data, so that it is retried only when it
	// provably has not run.
	writes   bool
	deadline time.Time
	attempts int
	// dispatched: at least one attempt was made to send it to an endpoint.
	dispatched bool
	lastErr    *result.Error
}

// writes reports whether a statement may change data. It is false for an Execute of an
// unknown name.
func (s *Session) writes(st Statement) bool {
	return st.Kind == Write || st.Kind == Execute && s.prepared[st.Name].writes
}

// run serves a Read, a Write or an Execute.
func (s *Session) run(st Statement) Reply {
	if st.Kind == Execute {
		if _, ok := s.prepared[st.Name]; !ok {
			return refuse(result.New(result.UnknownStatement, "%q", st.Name))
		}
	}
	if s.state == InTransaction {
		return s.runInTransaction(st)
	}
	writes := s.writes(st)
	a, err := s.authorizeStatement(writes)
	if err != nil {
		return refuse(err)
	}
	if reply, _, ok := s.forward(st, a, writes); ok {
		return reply
	}
	op, err := s.admit(st, a, writes)
	if err != nil {
		return refuse(err)
	}
	return op.runSingle()
}

// asResult returns the result.Error in err, or one with the given code.
func asResult(err error, code result.Code) *result.Error {
	if e, ok := err.(*result.Error); ok {
		return e
	}
	return result.New(code, "%v", err)
}

// restore sets the session values, and the prepared statement that st executes, on the
// connection. It waits for confirmation before anything else is sent.
func (s *Session) restore(co *checkout, st Statement, deadline time.Time) *result.Error {
	var needed *preparedStatement
	if st.Kind == Execute {
		p := s.prepared[st.Name]
		needed = &p
	}
	commands := co.conn.restoreCommands(s.values, needed)
	if len(commands) == 0 {
		return nil
	}
	begun := time.Now()
	answers, _, err := co.conn.Exchange(deadline, commands...)
	if err != nil {
		return s.connectionLost(co, err)
	}
	co.endpoint.observeRoundTrip(time.Since(begun))
	for _, a := range answers {
		if a.Err != nil {
			return result.New(result.EndpointLost, "restoring the session state at %s: %s", co.endpoint.record.ID, a.Err.Detail)
		}
	}
	return nil
}

// connectionLost reports the loss of a connection before a statement was sent and marks
// the endpoint as suspected.
func (s *Session) connectionLost(co *checkout, err error) *result.Error {
	co.endpoint.suspect(s.workspace, err)
	return result.New(result.EndpointLost, "endpoint %s: %v", co.endpoint.record.ID, err)
}

// command returns the statement as it is sent to the endpoint of the checkout. A primary
// holds every position, so none is required of it.
func (s *Session) command(co *checkout, st Statement, after Position) Command {
	if st.Kind == Execute {
		st.Name = co.conn.prepared[s.prepared[st.Name]]
	}
	if co.primary {
		after = Position{}
	}
	return Command{Statement: st, MinPosition: after}
}

// takesSlot reports whether a kind of statement occupies a slot of an endpoint while it
// runs. Only such statements are measured for pacing.
func takesSlot(kind Kind) bool {
	return kind == Read || kind == Write || kind == Execute || kind == Commit
}

// exchange sends a statement, waits for its answer and records the latency and the
// position that the answer carries. The returned bool reports whether any byte may have
// reached the endpoint.
func (s *Session) exchange(co *checkout, route note.Route, c Command) (Answer, bool, error) {
	timeout := time.Duration(route.Timeout) * time.Millisecond
	if s.srv.opts.Meter != nil {
		s.srv.opts.Meter.Begin(s.workspace, MeteredKind{Kind: c.Kind, InTransaction: s.tx != nil})
	}
	at, sentAt := clock.Now(), time.Now()
	answers, sent, err := co.conn.Exchange(s.srv.exchangeDeadline(sentAt, timeout), c)
	took := time.Since(sentAt)
	s.timings.endpoint += took
	s.timings.attempts++
	s.timings.endpointID = co.endpoint.record.ID
	s.srv.metrics.endpoint.WithLabelValues(string(route.Class)).Observe(took.Seconds())
	if err != nil {
		return Answer{}, sent, err
	}
	a := answers[0]
	if a.Err == nil && takesSlot(c.Kind) {
		s.srv.pace(co.endpoint, route, c.Kind, at, sentAt, took)
	}
	s.srv.countCrossing(co, c, a)
	co.endpoint.observePosition(a.Position)
	if co.primary && s.srv.stillValid(co.choice) && (a.Err == nil || a.Err.Code != result.EndpointReadOnly) {
		s.srv.primaryPositions.observe(route.Service, co.term, at, a.Position)
	}
	return a, true, nil
}
