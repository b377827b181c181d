package limits

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/result"
)

// idleWait is the time between two calls of Holder.serve while no request waits, and
// the maximum wait of a request without a deadline.
const idleWait = time.Minute

// minWait is the minimum pause between two attempts to serve waiting requests.
const minWait = time.Millisecond

// overloadMaxWait bounds the wait of a request whose workspace exceeds its rate
// across the fleet. It is half of the shortest latency target of a route (200 ms):
// requests that are served still meet the target, the others are refused early.
const overloadMaxWait = 100 * time.Millisecond

// queue contains the requests of one workspace that wait for tokens, in order of
// arrival. The newest is served first: while requests arrive faster than the rate
// allows, as after an interruption, the newest can still meet their deadlines, and
// the oldest no longer can. Holder.serve removes a queue without waiters.
type queue struct {
	waiters []*waiter
	// overloaded is set while the demand of the fleet persistently exceeds the
	// workspace's rate.
	overloaded bool
	// nextTokenAt is when the next token is expected.
	nextTokenAt time.Time
}

type waiter struct {
	enqueuedAt time.Time
	deadline   time.Time
	// judged is set once it was decided whether the request can be served in time.
	judged bool
	// ready receives nil once a token was taken, or the refusal; buffered.
	ready chan error
}

// Acquire implements entry.Limiter. A request waits for a token until its deadline.
// It is refused early if the workspace exceeds its rate across the fleet: after
// overloadMaxWait, or at once if the waiting requests already fill the time until
// the deadline. It is also refused once the requests that wait in the fleet leave no token for
// it in time (refuseBacklog).
func (h *Holder) Acquire(ctx context.Context, workspace string) error {
	w, err := h.takeOrEnqueue(ctx, workspace)
	if w == nil {
		return err
	}
	timeout := time.NewTimer(w.deadline.Sub(clock.Now()))
	defer timeout.Stop()
	select {
	case err := <-w.ready:
		return err
	case <-ctx.Done():
	case <-timeout.C:
	}
	return h.abandon(workspace, w)
}

// TryAcquire takes a token if the host's share has one at once and no request waits for it.
func (h *Holder) TryAcquire(workspace string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.queues[workspace] != nil {
		return false
	}
	now := clock.Now()
	h.observeLease(now)
	key := rateKey(workspace)
	h.quota.Offer(now, key, 1)
	if h.quota.Take(now, key, 1).Granted {
		return true
	}
	h.quota.Withdraw(key, 1)
	return false
}

// takeOrEnqueue takes a token, or returns the waiter for the request. It returns nil
// and no error if the token was taken, and an error if the request is refused.
func (h *Holder) takeOrEnqueue(ctx context.Context, workspace string) (*waiter, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Now()
	h.observeLease(now)
	key := rateKey(workspace)
	q, floor := h.queues[workspace], h.rateFloors[workspace]
	if q == nil && floor.takeIfFull(now) {
		return nil, nil
	}
	h.quota.Offer(now, key, 1)
	if q == nil {
		decision := h.quota.Take(now, key, 1)
		if decision.Granted {
			return nil, nil
		}
		if floor.take(now) {
			h.quota.Withdraw(key, 1)
			return nil, nil
		}
		q = &queue{overloaded: decision.Overloaded, nextTokenAt: now.Add(min(decision.Wait, floor.maxWait()))}
		h.queues[workspace] = q
	}
	deadline := now.Add(idleWait)
	if end, ok := ctx.Deadline(); ok {
		deadline = clock.Deadline(end)
	}
	if q.overloaded {
		deadline = earlier(deadline, now.Add(overloadMaxWait))
	}
	if h.exceedsDeadline(now, workspace, q, deadline) {
		h.quota.Withdraw(key, 1)
		return nil, h.refuse(now, workspace, q)
	}
	w := &waiter{enqueuedAt: now, deadline: deadline, ready: make(chan error, 1)}
	q.waiters = append(q.waiters, w)
	h.notify()
	return w, nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// exceedsDeadline estimates how long a new request would wait if all waiting requests
// were served before it, and reports whether that exceeds its deadline. It reports
// false unless the workspace is overloaded and the host has a share.
func (h *Holder) exceedsDeadline(now time.Time, workspace string, q *queue, deadline time.Time) bool {
	if !q.overloaded {
		return false
	}
	rate := h.quota.Rate(now, rateKey(workspace))
	if rate <= 0 {
		return false
	}
	wait := max(q.nextTokenAt.Sub(now), 0) + time.Duration(float64(len(q.waiters))/rate*float64(time.Second))
	return now.Add(wait).After(deadline)
}

// refuse returns the refusal of a request for a token. It says whether the workspace is over
// its rate, and when the caller should come back.
func (h *Holder) refuse(now time.Time, workspace string, q *queue) error {
	known := refusal{
		overloaded: q.overloaded, waiting: len(q.waiters), rate: h.quota.Rate(now, rateKey(workspace)), nextToken: q.nextTokenAt.Sub(now),
		backlog: h.quota.Backlog(now, rateKey(workspace)),
	}
	err := result.New(result.DeadlineInQueue, "waiting for the rate of workspace %q", workspace)
	if q.overloaded {
		err = result.New(result.RateExceeded, "workspace %q is over its rate", workspace)
	}
	err.RetryAfter = known.retryAfter(rand.Float64())
	return err
}

// abandon ends the wait of a request whose context or timeout has ended.
func (h *Holder) abandon(workspace string, w *waiter) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	q := h.queues[workspace]
	if q == nil || !q.remove(w) {
		return <-w.ready // served in the meantime
	}
	h.quota.Withdraw(rateKey(workspace), 1)
	if len(q.waiters) == 0 {
		delete(h.queues, workspace)
	}
	return h.refuse(clock.Now(), workspace, q)
}

// Refund returns the token of an operation that was not sent to any endpoint.
func (h *Holder) Refund(workspace string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.quota.Refund(clock.Now(), rateKey(workspace), 1)
	h.notify()
}

// remove removes a waiter and reports whether it was still in the queue.
func (q *queue) remove(w *waiter) bool {
	for i, other := range q.waiters {
		if other == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// serve gives tokens to waiting requests and returns the time until the next
// attempt.
func (h *Holder) serve(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observeLease(now)
	next := idleWait
	for workspace, q := range h.queues {
		next = min(next, h.serveQueue(now, workspace, q))
		if len(q.waiters) == 0 {
			delete(h.queues, workspace)
		}
	}
	return max(next, minWait)
}

// serveQueue serves one queue and returns the time until the next attempt.
func (h *Holder) serveQueue(now time.Time, workspace string, q *queue) time.Duration {
	floor := h.rateFloors[workspace]
	for len(q.waiters) > 0 {
		decision := h.quota.Take(now, rateKey(workspace), 1)
		q.overloaded = decision.Overloaded
		if !decision.Granted {
			if !floor.take(now) && !h.takeReserve(now, workspace, q) {
				wait := min(decision.Wait, floor.maxWait())
				q.nextTokenAt = now.Add(wait)
				h.refuseBacklog(now, workspace, q)
				return h.waitForReserve(now, workspace, wait)
			}
			h.quota.Withdraw(rateKey(workspace), 1)
		}
		last := len(q.waiters) - 1
		q.waiters[last].ready <- nil
		q.waiters = q.waiters[:last]
	}
	return idleWait
}

// takeReserve spends a token of the reserve if the owner of the rate is unknown and the
// workspace was within its rate.
func (h *Holder) takeReserve(now time.Time, workspace string, q *queue) bool {
	if q.overloaded || h.quota.UnknownIn(now, rateKey(workspace)) > 0 {
		return false
	}
	return h.reserves[workspace].take(now)
}

// waitForReserve returns the time until the next attempt to serve a queue, which is at most
// wait: the reserve can be used as soon as the owner counts as unknown.
func (h *Holder) waitForReserve(now time.Time, workspace string, wait time.Duration) time.Duration {
	if unknown := h.quota.UnknownIn(now, rateKey(workspace)); unknown > 0 && h.reserves[workspace] != nil {
		return min(wait, unknown)
	}
	return wait
}
