package limits

import (
	"math/rand/v2"
	"slices"
	"time"
)

// backlogAge is how long a request waits before it counts as part of the backlog of its rate. A
// newer one is served first.
const backlogAge = 100 * time.Millisecond

// refuseUnservable removes the requests from a queue that will not have a token before their
// deadlines, and returns them. backlog is the time in which the owner expects to have served all
// requests that wait in the fleet; the place of each in it is unknown and taken at random, and
// each is judged once. It answers the load after an interruption: the tokens go to the newest
// requests, and the others would wait for their deadlines in vain.
func (q *queue) refuseUnservable(now time.Time, backlog time.Duration, random func() float64) []*waiter {
	var refused []*waiter
	q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool {
		if w.judged || now.Sub(w.enqueuedAt) < backlogAge {
			return false
		}
		w.judged = true
		served := now.Add(time.Duration(random() * float64(backlog)))
		if served.After(w.deadline) {
			refused = append(refused, w)
			return true
		}
		return false
	})
	return refused
}

// refuseBacklog refuses the requests of a queue that cannot be served in time, with the time
// until the backlog is served. The caller holds h.mu.
func (h *Holder) refuseBacklog(now time.Time, workspace string, q *queue) {
	backlog := h.quota.Backlog(now, rateKey(workspace))
	if backlog == 0 || q.overloaded {
		return
	}
	for _, w := range q.refuseUnservable(now, backlog, rand.Float64) {
		h.quota.Withdraw(rateKey(workspace), 1)
		w.ready <- h.refuse(now, workspace, q)
	}
}
