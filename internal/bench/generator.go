package bench

import (
	"context"
	"math/rand/v2"
	"time"
)

// request is one operation to perform at its intended start.
type request struct {
	op       Operation
	service  string
	intended time.Time
	// written is the acknowledged write that this request reads back. If it is
	// nil, an OpCheck request reads a random acknowledged write.
	written *sentWrite
}

// maxBacklog bounds the requests of a workspace that wait for a caller. Further
// requests are dropped and counted under causeGeneratorOverrun.
const maxBacklog = 100_000

// generator draws the intended starts of a workspace's requests from a Poisson
// process and queues each request at its start for the workspace's callers,
// whether or not earlier requests have finished.
type generator struct {
	workspace  Workspace
	services   []string
	rng        *rand.Rand
	loadFactor func() float64
	queue      chan request
	// onQueued is called before a request enters the queue, so that a caller
	// cannot finish it before it is counted as pending.
	onQueued  func()
	onDropped func(request)
}

// run queues requests from start to end. The time of the next request is drawn in
// advance, so that a change of the load factor takes effect after it. A workspace
// without offered load gets no requests.
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

// enqueue queues a request without waiting, or drops it if the queue is full.
func (g *generator) enqueue(r request) {
	if len(g.queue) == cap(g.queue) {
		g.onDropped(r)
		return
	}
	g.onQueued()
	g.queue <- r
}

// drawOperation draws an operation with a probability proportional to its weight
// in the mix.
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
