package limits

import (
	"context"
	"time"

	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/result"
)

// idleWait is the pause of the holder's task when no request waits.
const idleWait = time.Minute

// minWait is the least pause between two attempts to serve a request.
const minWait = time.Millisecond

// overPatience bounds the wait of a request whose workspace is over its rate
// across the fleet: half of the shortest target of a route (200 ms). Those that
// are served are then served in time, and the others told early.
const overPatience = 100 * time.Millisecond

// queue holds the requests of one workspace that wait for tokens, in order of
// arrival. The last is served first: while more arrive than the rate allows, as
// after an interruption, those can still be in time, and the others are late
// already.
type queue struct {
	waiters []*waiter
	// over tells that the demand of the fleet has been above the workspace's rate
	// for long.
	over bool
	// next is when the next token is expected.
	next time.Time
}

type waiter struct {
	deadline time.Time
	ready    chan error // buffered
}

// Acquire implements entry.Limiter. A request waits for tokens until its
// deadline. It is refused early only when the workspace is over its rate across
// the fleet and the requests ahead already fill the time until the deadline.
func (h *Holder) Acquire(ctx context.Context, workspace string) error {
	w, err := h.offer(ctx, workspace)
	if w == nil {
		return err
	}
	patience := time.NewTimer(w.deadline.Sub(clock.Now()))
	defer patience.Stop()
	select {
	case err := <-w.ready:
		return err
	case <-ctx.Done():
	case <-patience.C:
	}
	return h.abandon(workspace, w)
}

// offer takes a token, or returns the waiter that stands for the request.
func (h *Holder) offer(ctx context.Context, workspace string) (*waiter, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Now()
	key := rateKey(workspace)
	q, floor := h.queues[workspace], h.rates[workspace]
	if q == nil && floor.takeSurplus(now) {
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
		q = &queue{over: decision.Overloaded, next: now.Add(min(decision.Wait, floor.wait()))}
		h.queues[workspace] = q
	}
	deadline := now.Add(idleWait)
	if end, ok := ctx.Deadline(); ok {
		deadline = clock.Deadline(end)
	}
	if q.over {
		deadline = earlier(deadline, now.Add(overPatience))
	}
	if wait, hopeless := h.hopeless(now, workspace, q, deadline); hopeless {
		h.quota.Withdraw(key, 1)
		return nil, rateExceeded(workspace, wait)
	}
	w := &waiter{deadline: deadline, ready: make(chan error, 1)}
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

// hopeless reports whether a new request cannot be served before its deadline,
// and how long it would have to wait.
func (h *Holder) hopeless(now time.Time, workspace string, q *queue, deadline time.Time) (time.Duration, bool) {
	if !q.over {
		return 0, false
	}
	rate := h.quota.Rate(now, rateKey(workspace))
	if rate <= 0 {
		return 0, false
	}
	wait := max(q.next.Sub(now), 0) + time.Duration(float64(len(q.waiters))/rate*float64(time.Second))
	return wait, now.Add(wait).After(deadline)
}

// abandon ends the wait of a request whose context has ended.
func (h *Holder) abandon(workspace string, w *waiter) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	q := h.queues[workspace]
	if q == nil || !q.remove(w) {
		return <-w.ready // served meanwhile
	}
	h.quota.Withdraw(rateKey(workspace), 1)
	over := q.over
	if len(q.waiters) == 0 {
		delete(h.queues, workspace)
	}
	if over {
		return rateExceeded(workspace, time.Second)
	}
	return result.New(result.DeadlineInQueue, "waiting for the rate of workspace %q", workspace)
}

// Refund gives back the token of an operation that was offered to no endpoint.
func (h *Holder) Refund(workspace string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.quota.Refund(clock.Now(), rateKey(workspace), 1)
	h.notify()
}

func (q *queue) remove(w *waiter) bool {
	for i, other := range q.waiters {
		if other == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			return true
		}
	}
	return false
}

func rateExceeded(workspace string, wait time.Duration) error {
	err := result.New(result.RateExceeded, "workspace %q is over its rate; retry after %d ms", workspace, wait.Milliseconds())
	err.RetryAfter = wait
	return err
}

// serve gives tokens to waiting requests and returns the time until the next
// attempt.
func (h *Holder) serve(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := idleWait
	for workspace, q := range h.queues {
		next = min(next, h.serveQueue(now, workspace, q))
		if len(q.waiters) == 0 {
			delete(h.queues, workspace)
		}
	}
	return max(next, minWait)
}

func (h *Holder) serveQueue(now time.Time, workspace string, q *queue) time.Duration {
	floor := h.rates[workspace]
	for len(q.waiters) > 0 {
		decision := h.quota.Take(now, rateKey(workspace), 1)
		q.over = decision.Overloaded
		if !decision.Granted {
			if !floor.take(now) {
				wait := min(decision.Wait, floor.wait())
				q.next = now.Add(wait)
				return wait
			}
			h.quota.Withdraw(rateKey(workspace), 1)
		}
		last := len(q.waiters) - 1
		q.waiters[last].ready <- nil
		q.waiters = q.waiters[:last]
	}
	return idleWait
}
