package core

import (
	"context"
	"time"

	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// rateWaitShare is the share of a route's timeout that an operation may wait for rate
// tokens; the rest is left for the endpoint. A workspace that exceeds its rate is refused
// by the limiter before this wait ends.
const rateWaitShare = 0.8

// admit authorizes the caller, waits for a valid lease and takes a rate token of the
// workspace.
func (s *Session) admit(st Statement, writes bool) (*operation, *result.Error) {
	if err := s.awaitAuthorization(authorizationTimeout); err != nil {
		return nil, err
	}
	route, err := s.authorize(s.srv.opts.View.Current())
	if err != nil {
		return nil, err
	}
	op := &operation{
		session: s, st: st, route: route, writes: writes,
		deadline: time.Now().Add(time.Duration(route.Timeout) * time.Millisecond),
	}
	if err := s.awaitLease(op.deadline); err != nil {
		return nil, op.withRetryAfter(err)
	}
	ctx, cancel := context.WithTimeout(s.srv.ctx, rateWait(route))
	defer cancel()
	if s.workspace != "" {
		begun := time.Now()
		err := s.srv.opts.Limiter.Acquire(ctx, s.workspace)
		s.timings.rate = s.srv.metrics.observeWait(route.Class, waitRate, begun)
		if err != nil {
			return nil, asResult(err, result.RateExceeded)
		}
	}
	op.need = s.statementNeed(route, writes)
	return op, nil
}

// awaitLease waits for a valid configuration lease. It runs before a rate token is
// taken, because without a lease the token would be wasted.
func (s *Session) awaitLease(deadline time.Time) *result.Error {
	ctx, cancel := context.WithDeadline(s.srv.ctx, deadline)
	defer cancel()
	for {
		changed := s.srv.opts.View.Changed()
		if s.srv.opts.View.Current().Valid() {
			return nil
		}
		if pause(ctx, changed) != nil {
			return result.New(result.NoConfigLease, "the host has no configuration lease")
		}
	}
}

// refund returns the rate token of an operation that was not sent to any endpoint.
func (op *operation) refund() {
	if workspace := op.session.workspace; workspace != "" && !op.dispatched {
		op.session.srv.opts.Limiter.Refund(workspace)
	}
}

// rateWait returns the longest wait for a rate token of the workspace.
func rateWait(route note.Route) time.Duration {
	return time.Duration(rateWaitShare * float64(route.Timeout) * float64(time.Millisecond))
}
