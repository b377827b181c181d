package limits

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/result"
)

// TestBacklogRefusesWhatCannotBeServed plays the requests that wait at 500 hosts after an
// interruption, one or two at each, for a rate that needs two seconds for all of them. Those that
// may wait 0.8 s have tokens for four in ten: the others are refused at once, and none twice.
func TestBacklogRefusesWhatCannotBeServed(t *testing.T) {
	const hosts, backlog, patience = 500, 2 * time.Second, 800 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	waiting, refused, newRefused := 0, 0, 0
	for i := range hosts {
		q := &queue{}
		for range 1 + i%2 {
			q.waiters = append(q.waiters, &waiter{enqueuedAt: now.Add(-backlogAge), deadline: now.Add(patience)})
			waiting++
		}
		q.waiters = append(q.waiters, &waiter{enqueuedAt: now, deadline: now.Add(patience)})
		for _, w := range q.refuseUnservable(now, backlog, rng.Float64) {
			if w.enqueuedAt.Equal(now) {
				newRefused++
			}
			refused++
		}
		again := q.refuseUnservable(now.Add(backlogAge/2), backlog, rng.Float64)
		if len(again) > 0 {
			t.Fatal("a request that was judged is refused later")
		}
	}
	if newRefused > 0 {
		t.Errorf("%d requests that have just arrived were refused, want none: they are served first", newRefused)
	}
	if share := float64(refused) / float64(waiting); share < 0.55 || share > 0.65 {
		t.Errorf("%.2f of the waiting requests refused at once, want about 0.6", share)
	}
}

// TestBacklogRefusalTellsWhenToReturn checks that a request that is refused for the backlog learns
// how long that takes, and that its place in the queue is given up.
func TestBacklogRefusalTellsWhenToReturn(t *testing.T) {
	hint := refusal{backlog: 3 * time.Second}.retryAfter(0)
	if hint != 3*time.Second {
		t.Errorf("retry after %v, want the time of the backlog", hint)
	}
	f := newFleet(t, 0, 1)
	h := f.hosts["entry-0"].holder
	now := clock.Now()
	h.mu.Lock()
	q := &queue{}
	for range 3 {
		q.waiters = append(q.waiters, &waiter{enqueuedAt: now.Add(-backlogAge), deadline: now, ready: make(chan error, 1)})
	}
	refused := q.refuseUnservable(now, time.Hour, func() float64 { return 0.5 })
	h.mu.Unlock()
	if len(refused) != 3 || len(q.waiters) != 0 {
		t.Fatalf("%d refused and %d left, want 3 and 0", len(refused), len(q.waiters))
	}
	if err := h.refuse(now, testWorkspace, &queue{}); result.CodeOf(err) != result.DeadlineInQueue {
		t.Errorf("got %v, want a refusal as not run", err)
	}
}
