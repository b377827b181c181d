package core

import (
	"context"
	"time"

	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/gate"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// queueWait returns the longest wait for a slot and a connection: the target latency of
// the route. An endpoint with a longer queue is overloaded, and a request that waited
// longer misses its target in any case.
func queueWait(route note.Route) time.Duration {
	if route.Target <= 0 {
		return time.Duration(route.Timeout) * time.Millisecond
	}
	return time.Duration(route.Target) * time.Millisecond
}

// checkout is a connection of an endpoint's pool that a session has borrowed, and the
// slot in which its statement runs. releaseSlot is nil while it holds no slot.
type checkout struct {
	choice
	conn        *conn
	releaseSlot func()
}

// freeSlot releases the slot, if one is held, and keeps the connection.
func (co *checkout) freeSlot() {
	if co.releaseSlot != nil {
		co.endpoint.endStatement()
		co.releaseSlot()
		co.releaseSlot = nil
	}
}

// release returns a reusable connection to the pool, closes any other, and then frees the
// slot. In this order the next holder of the slot finds the connection in the pool.
func (co *checkout) release(reusable bool) {
	co.conn.trim()
	co.endpoint.pool.Release(co.conn, reusable)
	co.freeSlot()
}

// admissionClass returns the admission class of the route's statements. Reads with
// bounded staleness in the correction class are less urgent and are admitted as bulk.
func admissionClass(route note.Route) note.Class {
	if route.Policy == note.ReadBounded && route.Class == note.ClassCorrection {
		return note.ClassBulk
	}
	return route.Class
}

// acquireSlot waits for a slot of the chosen endpoint and returns the function that
// releases it.
func (s *Session) acquireSlot(ctx context.Context, c choice, route note.Route) (func(), error) {
	deadline, _ := ctx.Deadline()
	return s.srv.gate.AcquireSlot(ctx, s.slotRequest(c, route, deadline))
}

func (s *Session) slotRequest(c choice, route note.Route, deadline time.Time) gate.SlotRequest {
	return gate.SlotRequest{
		Endpoint: c.endpoint.record.ID, Service: c.endpoint.record.Service, Workspace: s.workspace,
		Weight: 1, Class: admissionClass(route), Deadline: deadline, Target: time.Duration(route.Target) * time.Millisecond,
	}
}

// prefersConn returns the preference for a connection that needs no change of its state.
func (s *Session) prefersConn() func(*conn) bool {
	return func(k *conn) bool { return k.lastSession == s.id || k.matches(s.values) }
}

// acquire checks out a connection of a suitable endpoint, with a slot and with the
// session state restored. It retries transient failures until ctx ends.
func (op *operation) acquire(ctx context.Context) (*checkout, *result.Error) {
	for {
		changed := op.session.srv.opts.View.Changed()
		co, err := op.tryAcquire(ctx)
		if err == nil {
			return co, nil
		}
		op.lastErr = err
		if !isTransient(err.Code) || pause(ctx, changed) != nil {
			return nil, withRetryAfter(err)
		}
	}
}

// isTransient reports whether the cause of a refusal may pass within the timeout of a
// statement.
func isTransient(code result.Code) bool {
	switch code {
	case result.NoConfigLease, result.NoPrimary, result.NoEndpoint, result.EndpointMismatch,
		result.TooManyConnections, result.EndpointBusy, result.EndpointLost:
		return true
	}
	return false
}

// withRetryAfter returns the error with a retry hint for the caller.
func withRetryAfter(err *result.Error) *result.Error {
	if err.RetryAfter == 0 {
		err.RetryAfter = defaultRetryAfter
	}
	return err
}

// pause waits for retryDelay or until changed is closed. It returns the error of ctx.
func pause(ctx context.Context, changed <-chan struct{}) error {
	timer := time.NewTimer(retryDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
	case <-timer.C:
	}
	return ctx.Err()
}

// tryAcquire makes one attempt for acquire.
func (op *operation) tryAcquire(ctx context.Context) (*checkout, *result.Error) {
	s := op.session
	c, err := s.srv.pickEndpoint(clock.Now(), op.need)
	if err == nil && !op.need.admits(c) {
		// The service has returned since the requirements were determined.
		exclude := op.need.exclude
		op.need = s.statementNeed(op.route, op.writes)
		op.need.exclude = exclude
		return nil, result.New(result.NoEndpoint, "the log of service %q has changed", op.route.Service)
	}
	if err != nil {
		if len(op.need.exclude) > 0 {
			op.need.exclude = nil // every endpoint was tried: start over
		}
		return nil, asResult(err, result.NoEndpoint)
	}
	ctx, cancel := context.WithTimeout(ctx, queueWait(op.route))
	defer cancel()
	begun := time.Now()
	releaseSlot, err := s.acquireSlot(ctx, c, op.route)
	s.timings.slot += s.srv.metrics.observeWait(op.route.Class, waitSlot, begun)
	if err != nil {
		return nil, asResult(err, result.DeadlineInQueue)
	}
	begun = time.Now()
	borrowed, err := c.endpoint.pool.Acquire(ctx, s.workspace, s.prefersConn())
	s.timings.connection += s.srv.metrics.observeWait(op.route.Class, waitConnection, begun)
	if err != nil {
		releaseSlot()
		return nil, op.connectionFailure(c, ctx, err)
	}
	c.endpoint.beginStatement()
	co := &checkout{choice: c, conn: borrowed, releaseSlot: releaseSlot}
	borrowed.lastSession = s.id
	if err := s.restore(co, op.st, op.deadline); err != nil {
		co.release(false)
		return nil, err
	}
	if s.srv.tooLate(op.route, op.writes) {
		co.release(true)
		return nil, errStopping()
	}
	if !s.srv.stillValid(c) {
		co.release(true)
		return nil, result.New(result.NoPrimary, "the lease or the term of %s ended while waiting", c.endpoint.record.ID)
	}
	return co, nil
}

// connectionFailure returns the error for a connection that could not be checked out. It
// reports an endpoint that could not be reached and excludes the endpoint from the
// next attempts.
func (op *operation) connectionFailure(c choice, ctx context.Context, err error) *result.Error {
	if ctx.Err() != nil {
		return result.New(result.DeadlineInQueue, "waiting for a connection to %s", c.endpoint.record.ID)
	}
	if !isReachable(err) {
		c.endpoint.reportUnreachable(op.session.workspace, err)
	}
	op.need.exclude = append(op.need.exclude, c.endpoint.record.ID)
	return asResult(err, result.EndpointLost)
}
