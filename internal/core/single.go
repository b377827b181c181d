package core

import (
	"context"
	"time"

	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/result"
)

// single runs a statement that is an operation of its own, again as long as it
// provably has not run, or only reads.
func (op *operation) single() Reply {
	ctx, cancel := context.WithDeadline(op.session.srv.ctx, op.deadline)
	defer cancel()
	for {
		l, err := op.place(ctx)
		if err != nil {
			op.refund()
			return refuse(err)
		}
		reply, again := op.attempt(l)
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

// attempt sends the statement once and reports whether another attempt may
// follow.
func (op *operation) attempt(l *lease) (Reply, bool) {
	s := op.session
	op.offered = true
	a, sent, err := s.exchange(l, op.route, s.command(l, op.st, op.need.after))
	if err != nil {
		l.release(false)
		return op.lost(l, sent, err)
	}
	l.release(a.State == Idle)
	if a.Err != nil {
		return op.refused(l, a)
	}
	if op.writes {
		s.committed(l.term, a.Position)
	} else {
		s.srv.metrics.replica.WithLabelValues(role(l.primary)).Inc()
	}
	return Reply{Rows: a.Rows, Signature: a.Signature}, false
}

func role(primary bool) string {
	if primary {
		return "primary"
	}
	return "replica"
}

// lost tells what may follow a statement whose connection failed.
func (op *operation) lost(l *lease, sent bool, err error) (Reply, bool) {
	op.need.exclude = append(op.need.exclude, l.endpoint.record.ID)
	timedOut := !time.Now().Before(op.deadline) && isTimeout(err)
	if !timedOut {
		l.endpoint.suspect(op.session.workspace, err)
	}
	switch {
	case !sent || !op.writes && !timedOut:
		return refuse(op.refusal(result.New(result.EndpointLost, "endpoint %s: %v", l.endpoint.record.ID, err))), true
	case !op.writes:
		l.endpoint.suspect(op.session.workspace, err)
		return refuse(result.New(result.StatementTimeout, "endpoint %s did not answer in time", l.endpoint.record.ID)), false
	default:
		l.endpoint.suspect(op.session.workspace, err)
		return refuse(result.New(result.OutcomeUnknown, "endpoint %s: %v", l.endpoint.record.ID, err)), false
	}
}

// isTimeout reports whether an error is the end of a deadline.
func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return asError(err, &t) && t.Timeout()
}

// refused tells what may follow an endpoint's refusal.
func (op *operation) refused(l *lease, a Answer) (Reply, bool) {
	id := l.endpoint.record.ID
	switch a.Err.Code {
	case result.ReplicaBehind:
		l.endpoint.behind(clock.Now())
		op.need.primary = true
		return refuse(a.Err), true
	case result.EndpointReadOnly:
		op.session.srv.opts.Observe(Evidence{Service: op.route.Service, Endpoint: id, ReadOnly: l.primary})
		return refuse(a.Err), true
	case result.EndpointBusy:
		op.need.exclude = append(op.need.exclude, id)
		return refuse(op.refusal(a.Err)), true
	case result.UnknownStatement, result.EndpointMismatch:
		return refuse(a.Err), true // the connection did not hold what it should; another will
	case result.StatementFailed:
		op.need.exclude = append(op.need.exclude, id)
		return refuse(a.Err), !op.writes
	}
	return refuse(a.Err), false
}
