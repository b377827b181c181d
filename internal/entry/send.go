package entry

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/retry"
)

// verdict tells what follows an attempt to run a unit.
type verdict int

const (
	// doneHere means that the caller has its answer.
	doneHere verdict = iota
	// retryPrimary means that the unit provably has not run and goes to the
	// primary.
	retryPrimary
	// retryOther means that the unit had no effect and goes to another
	// endpoint.
	retryOther
)

// writeAside is the size in bytes from which a unit is written while answers
// are read, so that neither side waits for the other.
const writeAside = 32 << 10

// send runs the unit on the session's lease.
func (s *session) send(ctx context.Context, u *unit, p purpose, timing *timing, m *marker) (verdict, error) {
	if m != nil {
		return s.sendMarked(ctx, u, p, timing, m)
	}
	return s.sendUnit(u, p, timing, nil)
}

// sendUnit writes the unit and relays its answer. A unit with a marker runs in
// the transaction that holds the marker.
func (s *session) sendUnit(u *unit, p purpose, timing *timing, m *marker) (verdict, error) {
	l := s.lease
	plan, err := u.planFor(&l.conn.Session)
	if err != nil {
		return doneHere, s.refuse(err, u.sync)
	}
	if p.dirty {
		l.conn.Session.Dirty = true
	}
	r := &relay{s: s, l: l, u: u, p: p, plan: plan, marker: m, within: l.transaction}
	r.request = retry.Request{
		ReadOnly:      l.readOnly || p.kind == kindRead && !l.primary,
		InTransaction: r.within || !u.sync,
		Streamed:      s.conn.Queued() > 0,
		HasID:         m != nil,
	}
	if timing.sent.IsZero() {
		timing.sent = time.Now()
	}
	r.sent = time.Now()
	if s.param.deadline > 0 && !l.transaction {
		s.limit(l, timing.started.Add(s.param.deadline))
	}
	if err := r.write(); err != nil {
		return r.lost(err)
	}
	again, err := r.run()
	timing.answered = time.Now()
	if l.latency == 0 {
		l.latency = timing.answered.Sub(r.sent)
	}
	return again, err
}

// limit bounds the wait for an answer, unless the lease was interrupted.
func (s *session) limit(l *lease, deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reason == nil {
		l.conn.SetDeadline(deadline)
	}
}

// write sends the encoded unit; a large one is written while answers are read.
func (r *relay) write() error {
	if len(r.plan.encoded) < writeAside {
		n, err := r.l.conn.Write(r.plan.encoded)
		if n > 0 {
			r.request.Apply(retry.BytesSent)
		}
		return err
	}
	r.request.Apply(retry.BytesSent)
	r.writer = make(chan error, 1)
	conn, encoded := r.l.conn, r.plan.encoded
	go func() {
		_, err := conn.Write(encoded)
		r.writer <- err
	}()
	return nil
}

// lost answers a unit whose endpoint connection failed before its answer was
// complete, or makes it run again when that is safe.
func (r *relay) lost(cause error) (verdict, error) {
	s := r.s
	if err := s.stopReason(); err != nil && result.CodeOf(err) != result.ShuttingDown {
		return doneHere, err
	}
	r.l.lost = true
	r.request.Apply(retry.ConnectionLost)
	switch r.request.Next() {
	case retry.RetryElsewhere, retry.LookUpMarker:
		if s.srv.mayRetry(s.who.workspace, r.l.endpoint) {
			s.conn.Truncate(0)
			s.abandon()
			return retryOther, nil
		}
	}
	s.conn.Truncate(r.keep())
	s.stopLate(r.l, cause)
	err := r.lostError(cause)
	if result.CodeOf(err) == result.OutcomeUnknown {
		s.setTransaction(r.l, false)
	}
	return doneHere, s.refuse(err, r.u.sync)
}

// stopLate cancels a request whose answer did not arrive in time.
func (s *session) stopLate(l *lease, cause error) {
	var netErr net.Error
	if errors.As(cause, &netErr) && netErr.Timeout() {
		s.srv.cancelOn(l.conn)
	}
}

// lostError is the numbered result for a lost answer.
func (r *relay) lostError(cause error) error {
	if r.request.Outcome() == retry.NotSent && !r.within {
		return result.New(result.RetryBudgetSpent, "endpoint %s: %v", r.l.endpoint, errors.Cause(cause))
	}
	if r.within && r.p.kind != kindCommit && !r.mayEnd() {
		return result.New(result.EndpointLost, "endpoint %s: %v; the transaction was rolled back", r.l.endpoint, errors.Cause(cause))
	}
	return result.New(result.OutcomeUnknown, "endpoint %s: %v", r.l.endpoint, errors.Cause(cause))
}

// mayEnd reports whether the unit may have ended the transaction.
func (r *relay) mayEnd() bool {
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

// acknowledge waits until what the unit wrote is safe. The connection has been
// returned already.
func (r *relay) acknowledge() error {
	s := r.s
	ctx, cancel := context.WithTimeout(context.Background(), s.deadline())
	defer cancel()
	position, err := s.srv.durability.Wait(ctx, r.l.service, r.l.term)
	if err != nil {
		return result.New(result.OutcomeUnknown, "waiting for a majority of the group: %v", errors.Cause(err))
	}
	if !termHolds(s.srv.opts.View.Current(), r.l) {
		return r.termEnded()
	}
	s.srv.positions.RecordAcked(r.l.service, s.who.workspace, position)
	return nil
}

func (r *relay) termEnded() error {
	return result.New(result.OutcomeUnknown, "term %d of service %s ended before the answer arrived", r.l.term, r.l.service)
}
