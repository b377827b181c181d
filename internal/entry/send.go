package entry

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/retry"
)

// attemptOutcome is the outcome of an attempt to run a unit.
type attemptOutcome int

const (
	// outcomeAnswered: the caller has its answer.
	outcomeAnswered attemptOutcome = iota
	// outcomeRetryPrimary: the unit has certainly not run; it is sent to the primary.
	outcomeRetryPrimary
	// outcomeRetryElsewhere: the unit had no effect, or its marker will show whether it had; it
	// is sent to another endpoint.
	outcomeRetryElsewhere
)

// concurrentWriteBytes is the size from which a unit is written while answers are read.
// Otherwise both sides could block on full send buffers.
const concurrentWriteBytes = 32 << 10

// send runs the unit on the session's checkout.
func (s *session) send(ctx context.Context, u *unit, uc unitClass, timing *timing, m *marker) (attemptOutcome, error) {
	if m != nil {
		return s.sendWithMarker(ctx, u, uc, timing, m)
	}
	return s.sendUnit(u, uc, timing, nil)
}

// sendUnit writes the unit and relays its answer. A unit with a marker runs in the
// transaction that wrote the marker.
func (s *session) sendUnit(u *unit, uc unitClass, timing *timing, m *marker) (attemptOutcome, error) {
	co := s.checkout
	plan, err := u.planFor(&co.conn.Session)
	if err != nil {
		return outcomeAnswered, s.refuse(err, u.sync)
	}
	if uc.dirty {
		co.conn.Session.Dirty = true
	}
	r := &relay{s: s, co: co, u: u, class: uc, plan: plan, marker: m, inTransaction: co.inTransaction, mayHaveWritten: co.unsyncedWrite}
	r.request = retry.Request{
		ReadOnly:      co.readOnly || uc.kind == kindRead && !co.primary,
		InTransaction: r.inTransaction || !u.sync,
		Streamed:      s.conn.Queued() > 0,
		HasID:         m != nil,
	}
	if timing.sent.IsZero() {
		timing.sent = time.Now()
	}
	r.sent = time.Now()
	if s.params.deadline > 0 && !co.inTransaction {
		s.setAnswerDeadline(co, timing.started.Add(s.params.deadline))
	}
	if err := r.write(); err != nil {
		return r.connectionLost(err)
	}
	outcome, err := r.run()
	timing.answered = time.Now()
	if co.latency == 0 {
		co.latency = timing.answered.Sub(r.sent)
	}
	return outcome, err
}

// setAnswerDeadline bounds the wait for an answer. It does nothing when the session must
// end, because it would undo the interruption of the connection.
func (s *session) setAnswerDeadline(co *checkout, deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopErr == nil {
		co.conn.SetDeadline(deadline)
	}
}

// write sends the encoded unit. A large one is written by a goroutine while answers are
// read.
func (r *relay) write() error {
	if len(r.plan.encoded) < concurrentWriteBytes {
		n, err := r.co.conn.Write(r.plan.encoded)
		if n > 0 {
			r.request.Apply(retry.BytesSent)
		}
		return err
	}
	r.request.Apply(retry.BytesSent)
	r.writeResult = make(chan error, 1)
	conn, encoded := r.co.conn, r.plan.encoded
	go func() {
		_, err := conn.Write(encoded)
		r.writeResult <- err
	}()
	return nil
}

// connectionLost handles a unit whose endpoint connection failed before its answer was
// complete. The unit is retried when that is safe and the retry budget allows it; otherwise
// the caller receives an error.
func (r *relay) connectionLost(cause error) (attemptOutcome, error) {
	s := r.s
	if err := s.stopReason(); err != nil && result.CodeOf(err) != result.ShuttingDown {
		return outcomeAnswered, err
	}
	r.co.lost = true
	r.request.Apply(retry.ConnectionLost)
	switch r.request.Next() {
	case retry.RetryElsewhere, retry.LookUpMarker:
		if s.srv.allowRetry(s.identity.workspace, r.co.endpoint) {
			s.conn.Truncate(0)
			s.discardConnection()
			return outcomeRetryElsewhere, nil
		}
	}
	s.conn.Truncate(r.safeLength())
	s.cancelOnTimeout(r.co, cause)
	err := r.connectionLostError(cause)
	if result.CodeOf(err) == result.OutcomeUnknown {
		s.setTransaction(r.co, false)
	}
	return outcomeAnswered, s.refuse(err, r.u.sync)
}

// cancelOnTimeout cancels a request on the endpoint when its answer timed out.
func (s *session) cancelOnTimeout(co *checkout, cause error) {
	var netErr net.Error
	if errors.As(cause, &netErr) && netErr.Timeout() {
		s.srv.cancelOn(co.conn)
	}
}

// connectionLostError returns the result for a lost answer: nothing was sent, the
// transaction was rolled back, or the outcome is unknown.
func (r *relay) connectionLostError(cause error) error {
	if r.request.Outcome() == retry.NotSent && !r.inTransaction {
		return result.New(result.RetryBudgetSpent, "endpoint %s: %v", r.co.endpoint, errors.Cause(cause))
	}
	if r.inTransaction && r.class.kind != kindCommit && !r.mayEndTransaction() {
		return result.New(result.EndpointLost, "endpoint %s: %v; the transaction was rolled back", r.co.endpoint, errors.Cause(cause))
	}
	return result.New(result.OutcomeUnknown, "endpoint %s: %v", r.co.endpoint, errors.Cause(cause))
}

// mayEndTransaction reports whether the unit may have ended the transaction.
func (r *relay) mayEndTransaction() bool {
	if r.u.simple {
		return r.u.class.multi
	}
	for _, o := range r.u.ops {
		if o.stmt == nil && o.kind == opExecute || o.stmt != nil && (o.stmt.class.kind == kindCommit || o.stmt.class.multi) {
			return true
		}
	}
	return false
}

// acknowledge waits until the unit's writes are durable and records their position. It
// returns an error with code OutcomeUnknown when that fails or the term has ended by then.
// It does not use the checkout's connection.
func (r *relay) acknowledge() error {
	s := r.s
	ctx, cancel := context.WithTimeout(s.srv.answering, s.deadline())
	defer cancel()
	position, err := s.srv.durability.Wait(ctx, r.co.service, r.co.life, r.co.term)
	if err != nil {
		return result.New(result.OutcomeUnknown, "waiting for a majority of the group: %v", errors.Cause(err))
	}
	if !termHolds(s.srv.opts.View.Current(), r.co) {
		return r.termEnded()
	}
	s.srv.positions.RecordAcked(r.co.service, s.identity.workspace, position)
	return nil
}

// termEnded returns the error for a write whose term has ended before its acknowledgement.
func (r *relay) termEnded() error {
	return result.New(result.OutcomeUnknown, "term %d of service %s ended before the answer arrived", r.co.term, r.co.service)
}
