package bench

import (
	"context"
	"math/rand/v2"
	"time"
)

// request is one operation with its intended start.
type request struct {
	op       Operation
	service  string
	intended time.Time
	// entry is the entry that a follow-up check reads.
	entry *entry
}

// maxBacklog bounds the requests of a workspace that wait for a caller. Beyond
// it requests count as dropped by the generator.
const maxBacklog = 100_000

// arrivals draws the intended starts of a workspace's requests as a Poisson
// process and queues them for its callers.
type arrivals struct {
	workspace Workspace
	services  []string
	rng       *rand.Rand
	factor    func() float64
	queue     chan request
	accepted  func()
	dropped   func(request)
}

// run queues requests until end.
func (a *arrivals) run(ctx context.Context, start, end time.Time) {
	next := start
	for {
		rate := a.workspace.Offered * a.factor()
		if rate <= 0 {
			return
		}
		next = next.Add(time.Duration(a.rng.ExpFloat64() / rate * float64(time.Second)))
		if next.After(end) || !sleepUntil(ctx, next) {
			return
		}
		a.offer(request{op: a.draw(), service: a.services[a.rng.IntN(len(a.services))], intended: next})
	}
}

func (a *arrivals) offer(r request) {
	if len(a.queue) == cap(a.queue) {
		a.dropped(r)
		return
	}
	a.accepted()
	a.queue <- r
}

// draw chooses an operation by the weights of the mix.
func (a *arrivals) draw() Operation {
	sum := 0.0
	for _, op := range operations {
		sum += a.workspace.Mix[op]
	}
	x := a.rng.Float64() * sum
	for _, op := range operations {
		if x -= a.workspace.Mix[op]; x < 0 {
			return op
		}
	}
	return OpCheck
}
