// Package gate lets requests wait for the slots of endpoints. The order is that
// of package admit; the package feeds one queue per endpoint with events and
// wakes the requests that it starts or refuses.
package gate

import (
	"context"
	"sync"
	"time"

	"github.com/galenabridge/galenabridge/internal/admit"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// SlotRequest is a request for a slot of one endpoint.
type SlotRequest struct {
	Endpoint  string
	Service   string
	Workspace string
	Weight    float64
	Class     note.Class
	Deadline  time.Time
}

// Gate has an admission queue for each endpoint.
type Gate struct {
	policy admit.Policy
	slots  func(service, endpoint string) int
	ready  func(endpoint, workspace string) bool

	mu    sync.Mutex
	gates map[string]*endpointGate
}

// New returns a gate. The slots of this host at an endpoint may change
// over time. Ready reports whether a request of a workspace could start there
// without delay; nil if that does not matter.
func New(policy admit.Policy, slots func(service, endpoint string) int, ready func(endpoint, workspace string) bool) *Gate {
	return &Gate{policy: policy, slots: slots, ready: ready, gates: make(map[string]*endpointGate)}
}

// AcquireSlot waits for a slot until ctx ends. The caller must call leave once the
// request has ended. It returns a result.Error with a code for which NotRun holds.
func (g *Gate) AcquireSlot(ctx context.Context, a SlotRequest) (func(), error) {
	return g.gate(a).enter(ctx, a)
}

// Waiting returns the number of requests that wait for an endpoint's slots.
func (g *Gate) Waiting(endpoint string) int {
	g.mu.Lock()
	e, ok := g.gates[endpoint]
	g.mu.Unlock()
	if !ok {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queue.Waiting()
}

func (g *Gate) gate(a SlotRequest) *endpointGate {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.gates[a.Endpoint]
	if !ok {
		slots := func() int { return g.slots(a.Service, a.Endpoint) }
		cfg := admit.DefaultConfig(slots())
		cfg.Policy = g.policy
		if g.ready != nil {
			cfg.Ready = func(workspace string) bool { return g.ready(a.Endpoint, workspace) }
		}
		e = &endpointGate{queue: admit.New(cfg), slots: slots, waiting: make(map[uint64]chan error)}
		g.gates[a.Endpoint] = e
	}
	return e
}

// endpointGate feeds the queue of one endpoint.
type endpointGate struct {
	slots func() int

	mu    sync.Mutex
	queue *admit.Queue
	// peak is the greatest number of requests that ran or waited at once since
	// use was last called.
	peak    int
	current int
	lastID  uint64
	waiting map[uint64]chan error
	timer   *time.Timer
	// armed tells that the timer runs.
	armed bool
}

func (e *endpointGate) enter(ctx context.Context, a SlotRequest) (func(), error) {
	turn := make(chan error, 1)
	e.mu.Lock()
	now := time.Now()
	e.resize(now)
	e.lastID++
	id := e.lastID
	e.waiting[id] = turn
	e.apply(e.queue.Arrive(now, admit.Request{
		ID: id, Workspace: a.Workspace, Weight: a.Weight, Class: a.Class, Deadline: a.Deadline,
	}))
	e.peak = max(e.peak, e.queue.Running()+e.queue.Waiting())
	e.mu.Unlock()
	select {
	case err := <-turn:
		return e.exit(id, a, err)
	case <-ctx.Done():
	}
	if !e.cancel(id) {
		return e.exit(id, a, <-turn)
	}
	return nil, result.New(result.DeadlineInQueue, "waiting for a slot of endpoint %s", a.Endpoint)
}

// exit returns the function that frees the slot.
func (e *endpointGate) exit(id uint64, a SlotRequest, err error) (func(), error) {
	if code := result.CodeOf(err); code != 0 {
		return nil, result.New(code, "waiting for a slot of endpoint %s", a.Endpoint)
	}
	return func() { e.done(id) }, nil
}

func (e *endpointGate) done(id uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.resize(now)
	e.apply(e.queue.Done(now, id))
}

// cancel reports whether the request was still waiting.
func (e *endpointGate) cancel(id uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	waiting, effects := e.queue.Cancel(time.Now(), id)
	if waiting {
		delete(e.waiting, id)
	}
	e.apply(effects)
	return waiting
}

// resize follows a change of the number of slots.
func (e *endpointGate) resize(now time.Time) {
	if slots := e.slots(); slots != e.current {
		e.current = slots
		e.apply(e.queue.SetSlots(now, slots))
	}
}

// apply tells waiters what the queue decided.
func (e *endpointGate) apply(effects []admit.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case admit.Start:
			e.tell(effect.ID, nil)
		case admit.Refuse:
			e.tell(effect.ID, &result.Error{Code: effect.Code})
		}
	}
	e.schedule()
}

func (e *endpointGate) tell(id uint64, err error) {
	if turn, ok := e.waiting[id]; ok {
		delete(e.waiting, id)
		turn <- err
	}
}

// schedule calls the queue at its next deadline. Waiters have contexts that
// end then as well, so that a late call delays nobody.
func (e *endpointGate) schedule() {
	next, ok := e.queue.NextDeadline()
	switch {
	case !ok && e.armed:
		e.armed = false
		e.timer.Stop()
	case !ok:
	case e.timer == nil:
		e.armed = true
		e.timer = time.AfterFunc(time.Until(next), e.tick)
	default:
		e.armed = true
		e.timer.Reset(time.Until(next))
	}
}

func (e *endpointGate) tick() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.apply(e.queue.Tick(time.Now()))
}

// TakeUsage returns the requests that run on an endpoint, and the greatest number
// that ran or waited at once since the last call.
func (g *Gate) TakeUsage(endpoint string) (running, peak int) {
	g.mu.Lock()
	e, ok := g.gates[endpoint]
	g.mu.Unlock()
	if !ok {
		return 0, 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	peak = max(e.peak, e.queue.Running()+e.queue.Waiting())
	e.peak = 0
	return e.queue.Running(), peak
}

// Resize follows changed numbers of slots.
func (g *Gate) Resize() {
	g.mu.Lock()
	gates := make([]*endpointGate, 0, len(g.gates))
	for _, e := range g.gates {
		gates = append(gates, e)
	}
	g.mu.Unlock()
	for _, e := range gates {
		e.mu.Lock()
		e.resize(time.Now())
		e.mu.Unlock()
	}
}
