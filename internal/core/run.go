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
		if err := s.reserveCopies(st, 1); err != nil {
			return refuse(err)
		}
		return s.runInTransaction(st)
	}
	writes := s.writes(st)
	if err := s.reserveCopies(st, 1); err != nil {
		return refuse(err)
	}
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

// neededPrepared returns the prepared statement that st executes, or nil.
func (s *Session) neededPrepared(st Statement) *preparedStatement {
	if st.Kind != Execute {
		return nil
	}
	p := s.prepared[st.Name]
	return &p
}

// restore sets the session values, and the prepared statement that st executes, on the
// connection. It waits for confirmation before anything else is sent.
func (s *Session) restore(co *checkout, st Statement, deadline time.Time) *result.Error {
	refused, err := co.restore(s.values, s.neededPrepared(st), deadline)
	if err != nil {
		return s.connectionLost(co, err)
	}
	return refused
}

// restore sets session values and a prepared statement, unless it is nil, on the connection.
// It returns the refusal of the endpoint, or an error after which the state of the connection
// is unknown. After either one the connection must be closed.
func (co *checkout) restore(values map[string]string, needed *preparedStatement, deadline time.Time) (*result.Error, error) {
	commands := co.conn.restoreCommands(values, needed)
	if len(commands) == 0 {
		return nil, nil
	}
	begun := time.Now()
	answers, _, err := co.conn.Exchange(deadline, commands...)
	if err != nil {
		return nil, err
	}
	co.endpoint.observeRoundTrip(time.Since(begun))
	for _, a := range answers {
		if a.Err != nil {
			return result.New(result.EndpointLost, "restoring the session state at %s: %s", co.endpoint.record.ID, a.Err.Detail), nil
		}
	}
	return nil, nil
}

// connectionLost reports the loss of a connection before a statement was sent and marks
// the endpoint as suspected.
func (s *Session) connectionLost(co *checkout, err error) *result.Error {
	co.endpoint.suspect(s.workspace, err)
	return result.New(result.EndpointLost, "endpoint %s: %v", co.endpoint.record.ID, err)
}

// command returns the statement as it is sent to the endpoint of the checkout. A primary
// holds every position, so none is required of it.
func (s *Session) command(co *checkout, st Statement, after LogPosition) Command {
	c := co.command(st, s.neededPrepared(st), after)
	c.Account = s.account
	return c
}

// command is Session.command with the prepared statement that st executes, or nil.
func (co *checkout) command(st Statement, needed *preparedStatement, after LogPosition) Command {
	if needed != nil {
		st.Name = co.conn.prepared[*needed]
	}
	c := Command{Statement: st}
	if !co.primary {
		// The endpoint was chosen for the position (need.admits).
		c.MinPosition, _ = after.requiredAt(co.log)
	}
	return c
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
	s.srv.countBegun(s.workspace, MeteredKind{Kind: c.Kind, InTransaction: s.tx != nil})
	sentAt := time.Now()
	r := s.srv.exchange(co, route, c, s.srv.exchangeDeadline(sentAt, time.Duration(route.Timeout)*time.Millisecond))
	s.recordAttempt(co, time.Since(sentAt))
	return r.answer, r.sent, r.err
}

// countBegun tells the meter, if there is one, of a statement that is about to be sent.
func (s *Server) countBegun(workspace string, kind MeteredKind) {
	if s.opts.Meter != nil {
		s.opts.Meter.Begin(workspace, kind)
	}
}

// recordAttempt adds a statement that was sent to the endpoint of a checkout to the timings.
func (s *Session) recordAttempt(co *checkout, took time.Duration) {
	s.timings.endpoint += took
	s.timings.attempts++
	s.timings.endpointID = co.endpoint.record.ID
}

// exchanged is the outcome of sending a statement to an endpoint. sent reports whether any
// byte may have reached the endpoint.
type exchanged struct {
	answer Answer
	sent   bool
	err    error
	took   time.Duration
}

// exchange sends a statement and waits for its answer until the deadline. It records what the
// answer tells about the endpoint, and does not use the session.
func (s *Server) exchange(co *checkout, route note.Route, c Command, deadline time.Time) exchanged {
	at, sentAt := clock.Now(), time.Now()
	answers, sent, err := co.conn.Exchange(deadline, c)
	took := time.Since(sentAt)
	s.metrics.endpoint.WithLabelValues(string(route.Class)).Observe(took.Seconds())
	if err != nil {
		return exchanged{sent: sent, err: err, took: took}
	}
	a := answers[0]
	if a.Err == nil && takesSlot(c.Kind) {
		s.pace(co.endpoint, route, c.Kind, at, sentAt, took)
	}
	s.countCrossing(co, c, a)
	co.endpoint.observePosition(co.log, a.Position)
	if co.primary && s.stillValid(co.choice) && (a.Err == nil || a.Err.Code != result.EndpointReadOnly) {
		s.primaryPositions.observe(co.log, at, a.Position)
	}
	return exchanged{answer: a, sent: true, took: took}
}
