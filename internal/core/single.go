package core

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/budget"
	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/result"
)

// runSingle runs a statement outside of a transaction. It retries while the statement
// provably has not run or only reads, up to maxAttempts and the deadline.
func (op *operation) runSingle() Reply {
	ctx, cancel := context.WithDeadline(op.session.srv.answering, op.deadline)
	defer cancel()
	for {
		co, err := op.acquire(ctx)
		if err != nil {
			op.refund()
			return refuse(err)
		}
		reply, again := op.attempt(co)
		if !again {
			return reply
		}
		op.attempts++
		if op.attempts >= maxAttempts || pause(ctx, nil) != nil {
			return reply
		}
		op.session.srv.metrics.retries.Inc()
	}
}

// attempt sends the statement once, or a read that is late a second time (see hedge.go),
// releases the connection and reports whether another attempt may follow.
func (op *operation) attempt(co *checkout) (Reply, bool) {
	s := op.session
	op.dispatched = true
	c := s.command(co, op.st, op.need.after)
	if h, ok := op.planHedge(co); ok {
		return h.run(c)
	}
	a, sent, err := s.exchange(co, op.route, c)
	co.release(err == nil && a.State == Idle)
	return op.conclude(co, exchanged{answer: a, sent: sent, err: err})
}

// conclude returns the reply for the outcome of an attempt, and whether another one may
// follow. The connection has been released.
func (op *operation) conclude(co *checkout, r exchanged) (Reply, bool) {
	a := r.answer
	if r.err != nil {
		return op.afterConnectionLost(co, r.sent, r.err)
	}
	if a.Err != nil {
		return op.afterRefusal(co, a)
	}
	if op.writes {
		op.session.recordCommit(co.log, a.Position)
	} else {
		op.session.srv.metrics.reads.WithLabelValues(role(co.primary)).Inc()
	}
	return Reply{Rows: a.Rows, Signature: a.Signature}, false
}

func role(primary bool) string {
	if primary {
		return "primary"
	}
	return "replica"
}

// afterConnectionLost returns the reply for a statement whose connection failed, and
// whether it may be retried: a write only if no byte of it was sent, a read also after
// it was sent unless the deadline has passed.
func (op *operation) afterConnectionLost(co *checkout, sent bool, err error) (Reply, bool) {
	if errors.Is(err, budget.ErrFull) {
		return answerDropped(op.writes), false
	}
	op.need.exclude = append(op.need.exclude, co.endpoint.record.ID)
	timedOut := !time.Now().Before(op.deadline) && isTimeout(err)
	if !timedOut {
		co.endpoint.suspect(op.session.workspace, err)
	}
	switch {
	case !sent || !op.writes && !timedOut:
		return refuse(withRetryAfter(result.New(result.EndpointLost, "endpoint %s: %v", co.endpoint.record.ID, err))), true
	case !op.writes:
		co.endpoint.suspect(op.session.workspace, err)
		return refuse(result.New(result.StatementTimeout, "endpoint %s did not answer in time", co.endpoint.record.ID)), false
	default:
		co.endpoint.suspect(op.session.workspace, err)
		return refuse(result.New(result.OutcomeUnknown, "endpoint %s: %v", co.endpoint.record.ID, err)), false
	}
}

// isTimeout reports whether an error is an expired deadline.
func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return asError(err, &t) && t.Timeout()
}

// afterRefusal returns the reply for a statement that the endpoint refused, and whether it
// may be retried. It adapts the requirements for the next attempt.
func (op *operation) afterRefusal(co *checkout, a Answer) (Reply, bool) {
	id := co.endpoint.record.ID
	switch a.Err.Code {
	case result.ReplicaBehind:
		co.endpoint.markBehind(clock.Now())
		op.need.primary = true
		return refuse(a.Err), true
	case result.EndpointReadOnly:
		op.session.srv.opts.Observe(Evidence{Service: op.route.Service, Endpoint: id, ReadOnly: co.primary})
		return refuse(a.Err), true
	case result.EndpointBusy:
		op.need.exclude = append(op.need.exclude, id)
		return refuse(withRetryAfter(a.Err)), true
	case result.UnknownStatement, result.EndpointMismatch:
		return refuse(a.Err), true // the state of this connection was wrong: retry on another
	case result.StatementFailed:
		op.need.exclude = append(op.need.exclude, id)
		return refuse(a.Err), !op.writes
	}
	return refuse(a.Err), false
}
