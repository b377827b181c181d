package core

import (
	"context"
	"time"

	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/view"
)

// rateWaitShare is the share of a route's timeout that an operation may wait for rate
// tokens; the rest is left for the endpoint. A workspace that exceeds its rate is refused
// by the limiter before this wait ends.
const rateWaitShare = 0.8

// admission is the permission to run one statement outside of a transaction.
type admission struct {
	route note.Route
	// deadline is when the statement must have been sent to an endpoint.
	deadline time.Time
}

// leaseLossPatience is how long after the end of its lease a host lets statements wait for
// the next one. An election of the control leader takes up to 0.6 s; a host that has no lease
// for longer is probably cut off, and its callers are served sooner elsewhere.
const leaseLossPatience = time.Second

// authorizeStatement authorizes the caller for a statement. Without a valid lease the
// statement must not run on this host; another host can run it, which authorizes the caller
// again. During a shutdown it refuses a statement that could not be answered in time.
func (s *Session) authorizeStatement(writes bool) (admission, *result.Error) {
	if err := s.awaitAuthorization(authorizationTimeout); err != nil {
		return admission{}, err
	}
	route, err := s.authorize(s.srv.opts.View.Current())
	if err != nil {
		return admission{}, err
	}
	if s.srv.tooLate(route, writes) {
		return admission{}, errStopping()
	}
	deadline := time.Now().Add(s.statementTimeout(route))
	if last, stopping := s.srv.lastSend(route, writes); stopping && last.Before(deadline) {
		deadline = last
	}
	return admission{route: route, deadline: deadline}, nil
}

// statementTimeout returns the time in which a statement must be sent to an endpoint: the
// timeout of the route, less what it has spent at the host that forwarded it.
func (s *Session) statementTimeout(route note.Route) time.Duration {
	timeout := time.Duration(route.Timeout) * time.Millisecond
	if s.remaining > 0 {
		timeout = min(timeout, s.remaining)
	}
	return timeout
}

// admit waits for a valid lease and takes a rate token of the workspace, for a statement that
// runs on this host.
func (s *Session) admit(st Statement, a admission, writes bool) (*operation, *result.Error) {
	if err := s.awaitLease(a.deadline); err != nil {
		return nil, withRetryAfter(err)
	}
	if s.srv.isBehind(s.srv.opts.View.Current()) {
		route, err := s.awaitDocument(a.deadline)
		if err != nil {
			return nil, withRetryAfter(err)
		}
		a.route = route
	}
	op := &operation{session: s, st: st, route: a.route, writes: writes, deadline: a.deadline}
	ctx, cancel := context.WithTimeout(s.srv.answering, min(rateWait(a.route), time.Until(a.deadline)))
	defer cancel()
	if s.workspace != "" {
		begun := time.Now()
		err := s.srv.opts.Limiter.Acquire(ctx, s.workspace)
		s.timings.rate = s.srv.metrics.observeWait(a.route.Class, waitRate, begun)
		if err != nil {
			return nil, asResult(err, result.RateExceeded)
		}
	}
	op.need = s.statementNeed(a.route, writes)
	if op.need.unpositioned && s.awaitPosition(op.need, a.deadline) {
		op.need = s.statementNeed(a.route, writes)
	}
	if op.need.unpositioned {
		s.srv.metrics.unpositioned.Inc()
	}
	return op, nil
}

// awaitPosition waits for the position that another read asks the primary for, at most
// inquiryWait. It reports false if there is no such read, so that this one should ask.
func (s *Session) awaitPosition(n need, deadline time.Time) bool {
	answered := s.srv.primaryPositions.inquire(n.log, clock.Now())
	if answered == nil {
		return false
	}
	timer := time.NewTimer(min(s.srv.primaryPositions.wait, time.Until(deadline)))
	defer timer.Stop()
	select {
	case <-answered:
	case <-timer.C:
	case <-s.srv.answering.Done():
	}
	return true
}

// awaitLease waits for a valid configuration lease. It runs before a rate token is
// taken, because without a lease the token would be wasted.
func (s *Session) awaitLease(deadline time.Time) *result.Error {
	ctx, cancel := context.WithDeadline(s.srv.answering, deadline)
	defer cancel()
	for {
		changed := s.srv.opts.View.Changed()
		v := s.srv.opts.View.Current()
		if v.Valid() {
			return nil
		}
		if lostLongAgo(v) || pause(ctx, changed) != nil {
			return result.New(result.NoConfigLease, "the host has no configuration lease")
		}
	}
}

// lostLongAgo reports whether the host has had a lease that ended leaseLossPatience ago.
func lostLongAgo(v view.View) bool {
	lost, had := v.LostFor()
	return had && lost > leaseLossPatience
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
