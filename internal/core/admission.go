package core

import (
	"context"
	"time"

	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// rateShare is the part of a route's timeout that an operation may wait for the
// rate of its workspace; the rest is left to the endpoint. A workspace that is
// over its rate is told so earlier by the limiter.
const rateShare = 0.8

// admitted checks what the caller may do now and takes a token of its rate.
func (s *Session) admitted(st Statement, writes bool) (*operation, *result.Error) {
	if err := s.await(openTimeout); err != nil {
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
		return nil, op.refusal(err)
	}
	ctx, cancel := context.WithTimeout(s.srv.ctx, rateWait(route))
	defer cancel()
	if s.workspace != "" {
		begun := time.Now()
		err := s.srv.opts.Limiter.Acquire(ctx, s.workspace)
		s.spent.rate = s.srv.metrics.waited(route.Class, waitRate, begun)
		if err != nil {
			return nil, asResult(err, result.RateExceeded)
		}
	}
	op.need = s.statementNeed(route, writes)
	return op, nil
}

// awaitLease waits until the host may act on the agreed state: tokens that are
// taken before would be spent in vain.
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

// refund gives the token of an operation back that was offered to no endpoint.
func (op *operation) refund() {
	if workspace := op.session.workspace; workspace != "" && !op.offered {
		op.session.srv.opts.Limiter.Refund(workspace)
	}
}

// rateWait bounds the wait for the workspace's rate.
func rateWait(route note.Route) time.Duration {
	return time.Duration(rateShare * float64(route.Timeout) * float64(time.Millisecond))
}
