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
	written *sentWrite
}

// maxBacklog bounds the requests of a workspace that wait for a caller. Beyond
// it requests count as dropped by the generator.
const maxBacklog = 100_000

// arrivals draws the intended starts of a workspace's requests as a Poisson
// process and queues them for its callers.
type generator struct {
	workspace  Workspace
	services   []string
	rng        *rand.Rand
	loadFactor func() float64
	queue      chan request
	onQueued   func()
	onDropped  func(request)
}

// run queues requests until end.
func (g *generator) run(ctx context.Context, start, end time.Time) {
	next := start
	for {
		rate := g.workspace.Offered * g.loadFactor()
		if rate <= 0 {
			return
		}
		next = next.Add(time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second)))
		if next.After(end) || !sleepUntil(ctx, next) {
			return
		}
		g.enqueue(request{op: g.drawOperation(), service: g.services[g.rng.IntN(len(g.services))], intended: next})
	}
}

func (g *generator) enqueue(r request) {
	if len(g.queue) == cap(g.queue) {
		g.onDropped(r)
		return
	}
	g.onQueued()
	g.queue <- r
}

// draw chooses an operation by the weights of the mix.
func (g *generator) drawOperation() Operation {
	sum := 0.0
	for _, op := range operations {
		sum += g.workspace.Mix[op]
	}
	x := g.rng.Float64() * sum
	for _, op := range operations {
		if x -= g.workspace.Mix[op]; x < 0 {
			return op
		}
	}
	return OpCheck
}
