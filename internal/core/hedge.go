package core

import (
	"context"
	"maps"
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/hedge"
	"github.com/galenabridge/galenabridge/internal/supervise"
)

// A read whose answer is late is sent once more to another endpoint, where the route leaves no
// time for a sequential second attempt (package hedge, docs/design/017-hedged-reads.md). Each of
// the two attempts has a task of its own, which reads the answer to the end and then releases the
// connection and the slot, also if the other attempt has answered the caller meanwhile. The
// tasks do not use the session, which may serve its next statement by then.

// hedgedRead is an attempt of a read that may be sent to a second endpoint.
type hedgedRead struct {
	op   *operation
	co   *checkout
	plan hedge.Plan
	key  hedge.Key
	// workspace is that of the session, which its next statement may change.
	workspace string
	// sentAt is when the first attempt began, due when both must have been answered.
	sentAt, due time.Time
	// noBudget: the refusal by the budget was counted.
	noBudget bool
}

// attemptResult is the outcome of one of the two attempts. The checkout is nil if there was
// no connection.
type attemptResult struct {
	checkout *checkout
	exchanged
}

// errNotSent is the outcome of an attempt that was not sent.
var errNotSent = errors.New("the read was not sent")

// planHedge returns the plan to send a read a second time, and false if that is not allowed:
// the statement may write, the route leaves time for sequential attempts, only the primary
// qualifies, or an attempt has failed before. A read is thus hedged at most once.
func (op *operation) planHedge(co *checkout) (*hedgedRead, bool) {
	s := op.session
	route := hedgeRoute(op.route)
	if op.writes || op.st.Kind != Read && op.st.Kind != Execute || op.need.primary || op.attempts > 0 || !route.Active() {
		return nil, false
	}
	key := hedge.Key{Database: op.route.Database, Kind: op.st.Kind.String(), Endpoint: co.endpoint.record.ID}
	plan, ok := s.srv.hedges.plan(route, op.route.Service, key)
	if !ok {
		return nil, false
	}
	sentAt := time.Now()
	return &hedgedRead{op: op, co: co, plan: plan, key: key, workspace: s.workspace, sentAt: sentAt, due: s.srv.exchangeDeadline(sentAt, route.Timeout)}, true
}

// run sends the read, once more if its answer is late, and returns the reply and whether
// another attempt may follow.
func (h *hedgedRead) run(c Command) (Reply, bool) {
	reply, again := h.await(c)
	size := int64(0)
	for _, row := range reply.Rows {
		size += int64(len(row))
	}
	if h.op.session.account.Reserve(size) != nil {
		return answerDropped(h.op.writes), false
	}
	return reply, again
}

// await sends the read, once more if its answer is late, and returns as run does.
func (h *hedgedRead) await(c Command) (Reply, bool) {
	s := h.op.session
	first := make(chan attemptResult, 1)
	s.srv.attemptInBackground(first, func() attemptResult {
		r := h.send(h.co, h.key, c)
		if r.err != nil {
			h.co.endpoint.suspect(h.workspace, r.err)
		}
		return r
	})
	var second *secondAttempt
	var answers chan attemptResult
	check := time.NewTimer(h.plan.After)
	defer check.Stop()
	for {
		select {
		case r := <-first:
			reply, again := h.op.conclude(h.co, r.exchanged)
			if answers != nil {
				second.cancel()
			}
			if answers != nil && (again || r.err != nil) {
				// The hedge is the next attempt, if it was sent. It ends by the same time.
				if r := <-answers; second.succeeded(r) {
					return second.conclude(r), false
				}
			}
			s.recordAttempt(h.co, time.Since(h.sentAt))
			return reply, again
		case r := <-answers:
			if second.succeeded(r) {
				return second.conclude(r), false
			}
			answers = nil
		case <-check.C:
			if second = h.trySecond(); second != nil {
				answers = second.result
				continue
			}
			if next, ok := h.plan.Next(time.Since(h.sentAt)); ok {
				check.Reset(time.Until(h.sentAt.Add(next)))
			}
		}
	}
}

// attemptInBackground runs an attempt in a task and sends its outcome to the channel, which must
// be buffered.
func (s *Server) attemptInBackground(outcome chan<- attemptResult, attempt func() attemptResult) {
	go func() {
		defer supervise.Recover(s.opts.Log, "core/read")
		r := attemptResult{exchanged: exchanged{sent: true, err: errors.New("the read ended by an unexpected error")}}
		defer func() { outcome <- r }()
		r = attempt()
	}()
}

// send sends the read, waits for its answer and releases the connection and the slot.
func (h *hedgedRead) send(co *checkout, key hedge.Key, c Command) attemptResult {
	reusable := false
	defer func() { co.release(reusable) }()
	srv := h.op.session.srv
	// The account of the session is for its goroutine only, and may be closed before the answer.
	c.Account = srv.opts.Budget.Open(nil)
	c.Account.SetWorkspace(h.workspace)
	defer c.Account.Close()
	srv.countBegun(h.workspace, MeteredKind{Kind: c.Kind})
	r := srv.exchange(co, h.op.route, c, h.due)
	reusable = r.err == nil && r.answer.State == Idle
	if r.err == nil && r.answer.Err == nil {
		srv.hedges.observe(key, r.took)
	}
	return attemptResult{checkout: co, exchanged: r}
}

// secondAttempt is a hedge in progress.
type secondAttempt struct {
	hedged    *hedgedRead
	startedAt time.Time
	result    chan attemptResult
	// cancel prevents that the hedge is sent, if it has not been yet.
	cancel context.CancelFunc
}

// trySecond starts the hedge, and returns nil if that is not possible now: no other suitable
// endpoint has a free slot and an idle connection of the workspace, statements wait for its
// slots, or the budget or the workspace's rate is spent. For an answer that counts as lost a connection may be opened.
func (h *hedgedRead) trySecond() *secondAttempt {
	op, srv := h.op, h.op.session.srv
	lost := h.plan.IsLost(time.Since(h.sentAt))
	if srv.tooLate(op.route, op.writes) {
		return nil
	}
	c, ok := srv.pickHedge(clock.Now(), op.need, h.co.endpoint.record.ID, lost)
	if !ok {
		return nil
	}
	if !srv.hedges.take(op.route.Service) {
		if !h.noBudget {
			srv.metrics.hedges.WithLabelValues(hedgeNoBudget).Inc()
		}
		h.noBudget = true
		return nil
	}
	co, ok := op.checkOutHedge(c, lost)
	if !ok {
		srv.hedges.giveBack(op.route.Service)
		return nil
	}
	if !srv.takeToken(h.workspace) {
		co.abandon()
		srv.hedges.giveBack(op.route.Service)
		return nil
	}
	ctx, cancel := context.WithDeadline(srv.answering, h.due)
	second := &secondAttempt{hedged: h, startedAt: time.Now(), result: make(chan attemptResult, 1), cancel: cancel}
	op.session.srv.attemptInBackground(second.result, h.secondTask(ctx, cancel, co))
	return second
}

// takeToken takes a token of the rate for a hedge, which reaches an endpoint as one more request:
// hedges must not carry a workspace beyond its rate.
func (s *Server) takeToken(workspace string) bool {
	return workspace == "" || s.opts.Limiter.TryAcquire(workspace)
}

// abandon gives back a checkout of a hedge that is not sent.
func (co *checkout) abandon() {
	if co.conn != nil {
		co.endpoint.pool.Release(co.conn, true)
	}
	co.freeSlot()
}

// checkOutHedge takes a slot, and an idle connection if there is one. The connection of the
// checkout is nil if it has to be opened, which mayDial allows.
func (op *operation) checkOutHedge(c choice, mayDial bool) (*checkout, bool) {
	s := op.session
	releaseSlot, ok := s.srv.gate.TryAcquireSlot(s.slotRequest(c, op.route, op.deadline))
	if !ok {
		return nil, false
	}
	k, idle := c.endpoint.pool.TryAcquire(s.workspace, s.prefersConn())
	if !idle && !mayDial {
		releaseSlot()
		return nil, false
	}
	c.endpoint.beginStatement()
	if idle {
		k.lastSession = s.id
	}
	return &checkout{choice: c, conn: k, releaseSlot: releaseSlot}, true
}

// secondTask returns the task of the hedge. It copies what it needs of the session.
func (h *hedgedRead) secondTask(ctx context.Context, cancel context.CancelFunc, co *checkout) func() attemptResult {
	op, s := h.op, h.op.session
	st, needed, values := op.st, s.neededPrepared(op.st), maps.Clone(s.values)
	service, after := op.route.Service, op.need.after
	key := h.key
	key.Endpoint = co.endpoint.record.ID
	return func() attemptResult {
		defer cancel()
		sent := false
		defer func() {
			if !sent {
				s.srv.hedges.giveBack(service)
				if h.workspace != "" {
					s.srv.opts.Limiter.Refund(h.workspace)
				}
			}
		}()
		if co.conn == nil {
			k, err := co.endpoint.pool.Acquire(ctx, h.workspace, func(k *conn) bool { return k.matches(values) })
			if err != nil {
				co.freeSlot()
				return notSent(err)
			}
			co.conn = k
		}
		if refused, err := co.restore(values, needed, h.due); err != nil || refused != nil {
			co.release(false)
			if err != nil {
				co.endpoint.suspect(h.workspace, err)
			}
			return notSent(errNotSent)
		}
		if ctx.Err() != nil || !s.srv.stillValid(co.choice) {
			co.release(true)
			return notSent(errNotSent)
		}
		sent = true
		s.srv.metrics.hedges.WithLabelValues(hedgeSent).Inc()
		r := h.send(co, key, co.command(st, needed, after))
		// The time until the deadline of the first attempt proves nothing about the endpoint.
		if r.err != nil && !isTimeout(r.err) {
			co.endpoint.suspect(h.workspace, r.err)
		}
		return r
	}
}

func notSent(err error) attemptResult { return attemptResult{exchanged: exchanged{err: err}} }
