package core

import (
	"context"
	"time"

	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/gate"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// busyRetry is the time after which a refused caller may come back: about the
// time of a change of the primary's leases (lease round plus round trips).
const busyRetry = 200 * time.Millisecond

// rateShare is the part of a route's timeout that an operation may wait for the
// rate of its workspace; the rest is left to the endpoint. A workspace that is
// over its rate is told so earlier by the limiter.
const rateShare = 0.8

// maxAttempts bounds the attempts of one statement that reach an endpoint: the
// members of a group, and one more for a change of the primary meanwhile.
const maxAttempts = 4

// operation is one statement, or the begin of a transaction, on its way.
type operation struct {
	session *Session
	st      Statement
	route   note.Route
	need    need
	// writes: it may change data, so that it is repeated only when it surely has
	// not run.
	writes   bool
	deadline time.Time
	attempts int
	// offered: an attempt was sent to an endpoint.
	offered bool
	lastErr *result.Error
}

// writes reports whether a statement may change data. Unknown names do not.
func (s *Session) writes(st Statement) bool {
	return st.Kind == Write || st.Kind == Execute && s.prepared[st.Name].writes
}

// run serves a read, a write or an execution.
func (s *Session) run(st Statement) Reply {
	if st.Kind == Execute {
		if _, ok := s.prepared[st.Name]; !ok {
			return refuse(result.New(result.UnknownStatement, "%q", st.Name))
		}
	}
	if s.state == InTransaction {
		return s.runInTransaction(st)
	}
	op, err := s.admitted(st, s.writes(st))
	if err != nil {
		return refuse(err)
	}
	return op.single()
}

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
		if err := s.srv.opts.Limiter.Acquire(ctx, s.workspace); err != nil {
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

// queueWait bounds the wait for a slot and a connection by the target of the
// operation: an endpoint with a longer queue is overloaded, and a request that
// waited for longer is late however it ends.
func queueWait(route note.Route) time.Duration {
	if route.Target <= 0 {
		return time.Duration(route.Timeout) * time.Millisecond
	}
	return time.Duration(route.Target) * time.Millisecond
}

// asResult returns the result.Error in err, or one with the given code.
func asResult(err error, code result.Code) *result.Error {
	if e, ok := err.(*result.Error); ok {
		return e
	}
	return result.New(code, "%v", err)
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
	return s.srv.gate.Enter(ctx, gate.Admission{
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
	leave, err := s.slot(ctx, c, op.route)
	if err != nil {
		return nil, asResult(err, result.DeadlineInQueue)
	}
	held, err := c.endpoint.pool.Acquire(ctx, s.workspace, func(k *conn) bool { return k.user == s.id || k.fits(s.values) })
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

// restore gives the connection the session's values and the shape of a prepared
// statement, and confirms them before anything else is sent.
func (s *Session) restore(l *lease, st Statement, deadline time.Time) *result.Error {
	var needed *shape
	if st.Kind == Execute {
		p := s.prepared[st.Name]
		needed = &p
	}
	commands := l.conn.restore(s.values, needed)
	if len(commands) == 0 {
		return nil
	}
	answers, _, err := l.conn.Exchange(deadline, commands...)
	if err != nil {
		return s.linkLost(l, err)
	}
	for _, a := range answers {
		if a.Err != nil {
			return result.New(result.EndpointLost, "restoring the session at %s: %s", l.endpoint.record.ID, a.Err.Detail)
		}
	}
	return nil
}

// linkLost notes that a connection was lost before a statement was sent.
func (s *Session) linkLost(l *lease, err error) *result.Error {
	l.endpoint.suspect(s.workspace, err)
	return result.New(result.EndpointLost, "endpoint %s: %v", l.endpoint.record.ID, err)
}

// command returns the statement as it goes to the lease's endpoint.
func (s *Session) command(l *lease, st Statement, after Position) Command {
	if st.Kind == Execute {
		st.Name = l.conn.prepared[s.prepared[st.Name]]
	}
	if l.primary {
		after = Position{}
	}
	return Command{Statement: st, After: after}
}

// takesSlot reports whether an endpoint runs a statement in one of its slots.
func takesSlot(kind Kind) bool {
	return kind == Read || kind == Write || kind == Execute || kind == Commit
}

// exchange sends a statement and notes what its answer tells.
func (s *Session) exchange(l *lease, route note.Route, c Command) (Answer, bool, error) {
	timeout := time.Duration(route.Timeout) * time.Millisecond
	at, sentAt := clock.Now(), time.Now()
	answers, sent, err := l.conn.Exchange(sentAt.Add(timeout), c)
	took := time.Since(sentAt)
	s.srv.metrics.backend.WithLabelValues(string(route.Class)).Observe(took.Seconds())
	if err != nil {
		return Answer{}, sent, err
	}
	a := answers[0]
	if a.Err == nil && takesSlot(c.Kind) {
		l.endpoint.took(at, s.srv.excess(route, c.Kind, took))
	}
	l.endpoint.seen(a.Position)
	if l.primary && s.srv.holds(l.choice) && (a.Err == nil || a.Err.Code != result.EndpointReadOnly) {
		s.srv.fresh.observe(route.Service, l.term, at, a.Position)
	}
	return a, true, nil
}
