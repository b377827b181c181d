package core

import (
	"context"
	"time"

	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/gate"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// queueWait bounds the wait for a slot and a connection by the target of the
// operation: an endpoint with a longer queue is overloaded, and a request that
// waited for longer is late however it ends.
func queueWait(route note.Route) time.Duration {
	if route.Target <= 0 {
		return time.Duration(route.Timeout) * time.Millisecond
	}
	return time.Duration(route.Target) * time.Millisecond
}

// lease is the right to use a connection to an endpoint, which the session gives
// back.
type lease struct {
	choice
	conn  *conn
	leave func()
}

// free gives the slot back and keeps the connection.
func (l *lease) free() {
	if l.leave != nil {
		l.endpoint.end()
		l.leave()
		l.leave = nil
	}
}

// release gives the connection and the slot back, so that whoever gets the slot
// finds the connection; a doubtful one is closed.
func (l *lease) release(sound bool) {
	l.endpoint.pool.Release(l.conn, sound)
	l.free()
}

// admissionClass returns the class in which the route's statements wait. Reads
// that may be old have more time than others of their class.
func admissionClass(route note.Route) note.Class {
	if route.Policy == note.ReadBounded && route.Class == note.ClassCorrection {
		return note.ClassBulk
	}
	return route.Class
}

// slot waits for a slot of the lease's endpoint.
func (s *Session) slot(ctx context.Context, c choice, route note.Route) (func(), error) {
	deadline, _ := ctx.Deadline()
	return s.srv.gate.AcquireSlot(ctx, gate.SlotRequest{
		Endpoint: c.endpoint.record.ID, Service: c.endpoint.record.Service, Workspace: s.workspace,
		Weight: 1, Class: admissionClass(route), Deadline: deadline,
	})
}

// place finds an endpoint with a slot and a connection, restored for the
// session, waiting until ctx ends.
func (op *operation) place(ctx context.Context) (*lease, *result.Error) {
	for {
		changed := op.session.srv.opts.View.Changed()
		l, err := op.tryPlace(ctx)
		if err == nil {
			return l, nil
		}
		op.lastErr = err
		if !waitable(err.Code) || pause(ctx, changed) != nil {
			return nil, op.refusal(err)
		}
	}
}

// waitable reports whether a refusal may pass within a statement's timeout.
func waitable(code result.Code) bool {
	switch code {
	case result.NoConfigLease, result.NoPrimary, result.NoEndpoint, result.EndpointMismatch,
		result.TooManyConnections, result.EndpointBusy, result.EndpointLost:
		return true
	}
	return false
}

// refusal tells the caller when to come back.
func (op *operation) refusal(err *result.Error) *result.Error {
	if err.RetryAfter == 0 {
		err.RetryAfter = busyRetry
	}
	return err
}

// pause waits a little, or until the agreed state changes.
func pause(ctx context.Context, changed <-chan struct{}) error {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
	case <-timer.C:
	}
	return ctx.Err()
}

func (op *operation) tryPlace(ctx context.Context) (*lease, *result.Error) {
	s := op.session
	c, err := s.srv.pick(clock.Now(), op.need)
	if err != nil {
		if len(op.need.exclude) > 0 {
			op.need.exclude = nil // every other one was tried as well
		}
		return nil, asResult(err, result.NoEndpoint)
	}
	ctx, cancel := context.WithTimeout(ctx, queueWait(op.route))
	defer cancel()
	begun := time.Now()
	leave, err := s.slot(ctx, c, op.route)
	s.spent.slot += s.srv.metrics.waited(op.route.Class, waitSlot, begun)
	if err != nil {
		return nil, asResult(err, result.DeadlineInQueue)
	}
	begun = time.Now()
	held, err := c.endpoint.pool.Acquire(ctx, s.workspace, func(k *conn) bool { return k.user == s.id || k.fits(s.values) })
	s.spent.connection += s.srv.metrics.waited(op.route.Class, waitConnection, begun)
	if err != nil {
		leave()
		return nil, op.noConnection(c, ctx, err)
	}
	c.endpoint.begin()
	l := &lease{choice: c, conn: held, leave: leave}
	held.user = s.id
	if err := s.restore(l, op.st, op.deadline); err != nil {
		l.release(false)
		return nil, err
	}
	if !s.srv.holds(c) {
		l.release(true)
		return nil, result.New(result.NoPrimary, "the lease or the term of %s ended while waiting", c.endpoint.record.ID)
	}
	return l, nil
}

// noConnection tells why an endpoint gave no connection.
func (op *operation) noConnection(c choice, ctx context.Context, err error) *result.Error {
	if ctx.Err() != nil {
		return result.New(result.DeadlineInQueue, "waiting for a connection to %s", c.endpoint.record.ID)
	}
	if !reachable(err) {
		c.endpoint.unreachable(op.session.workspace, err)
	}
	op.need.exclude = append(op.need.exclude, c.endpoint.record.ID)
	return asResult(err, result.EndpointLost)
}
