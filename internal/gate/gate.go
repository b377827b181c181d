// Package gate makes requests wait for the slots of endpoints. It drives one admission
// queue of package admit per endpoint, which decides the order, and wakes the requests
// that the queue starts or refuses.
package gate

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/admit"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// SlotRequest is a request for a slot of one endpoint. The fields from Workspace on are
// those of admit.Request.
type SlotRequest struct {
	Endpoint  string
	Service   string
	Workspace string
	Weight    float64
	Class     note.Class
	Deadline  time.Time
	Target    time.Duration
}

// admission returns the request as the queue knows it.
func (r SlotRequest) admission(id uint64) admit.Request {
	return admit.Request{ID: id, Workspace: r.Workspace, Weight: r.Weight, Class: r.Class, Deadline: r.Deadline, Target: r.Target}
}

// Gate holds an admission queue for each endpoint. It is safe for concurrent use.
type Gate struct {
	policy admit.Policy
	slots  func(service, endpoint string) int
	ready  func(endpoint, workspace string) bool
	// onEarly is told of each request that is refused because it could not start in time.
	onEarly func(class note.Class)

	mu        sync.Mutex
	endpoints map[string]*endpointQueue
}

// New returns a Gate. slots returns the number of slots that this host may use at an
// endpoint, which may change over time. ready is admit.Config.Ready for an endpoint, or
// nil.
func New(policy admit.Policy, slots func(service, endpoint string) int, ready func(endpoint, workspace string) bool) *Gate {
	return &Gate{policy: policy, slots: slots, ready: ready, onEarly: func(note.Class) {}, endpoints: make(map[string]*endpointQueue)}
}

// OnEarlyRefusal sets a function that is called for each request that is refused before its
// deadline because it could not start in time. It must be set before the first request.
func (g *Gate) OnEarlyRefusal(f func(class note.Class)) { g.onEarly = f }

// AcquireSlot waits for a slot until ctx ends, and returns a function that frees it. The
// caller must call the function once, when the request has ended. The error is a
// result.Error whose code has NotRun set.
func (g *Gate) AcquireSlot(ctx context.Context, r SlotRequest) (func(), error) {
	return g.queueFor(r).acquire(ctx, r)
}

// TryAcquireSlot takes a slot if one is free and no request waits for a slot of the endpoint.
// The returned function is that of AcquireSlot.
func (g *Gate) TryAcquireSlot(r SlotRequest) (func(), bool) {
	return g.queueFor(r).tryAcquire(r)
}

// Waiting returns the number of requests that wait for a slot of an endpoint.
func (g *Gate) Waiting(endpoint string) int {
	g.mu.Lock()
	e, ok := g.endpoints[endpoint]
	g.mu.Unlock()
	if !ok {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queue.Waiting()
}

// queueFor returns the queue of the endpoint and creates it on first use.
func (g *Gate) queueFor(r SlotRequest) *endpointQueue {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.endpoints[r.Endpoint]
	if !ok {
		slots := func() int { return g.slots(r.Service, r.Endpoint) }
		cfg := admit.DefaultConfig(slots())
		cfg.Policy = g.policy
		if g.ready != nil {
			cfg.Ready = func(workspace string) bool { return g.ready(r.Endpoint, workspace) }
		}
		e = &endpointQueue{queue: admit.New(cfg), slots: slots, waiting: make(map[uint64]chan error), onEarly: g.onEarly}
		g.endpoints[r.Endpoint] = e
	}
	return e
}

// endpointQueue drives the admission queue of one endpoint.
type endpointQueue struct {
	slots func() int

	mu    sync.Mutex
	queue *admit.Queue
	// peak is the greatest number of requests that ran or waited at once since the
	// last call of TakeUsage.
	peak int
	// currentSlots is the number of slots that resize last passed to the queue.
	currentSlots int
	lastID       uint64
	// waiting holds the channel of each waiting request by its ID in the queue. It
	// receives nil when the request starts and an error when it is refused.
	waiting    map[uint64]chan error
	onEarly    func(class note.Class)
	timer      *time.Timer
	timerArmed bool
}

// acquire queues a request and waits until it is started or refused, or until ctx ends.
func (e *endpointQueue) acquire(ctx context.Context, r SlotRequest) (func(), error) {
	decision := make(chan error, 1)
	e.mu.Lock()
	now := time.Now()
	e.resize(now)
	e.lastID++
	id := e.lastID
	e.waiting[id] = decision
	e.apply(e.queue.Arrive(now, r.admission(id)))
	e.peak = max(e.peak, e.queue.Running()+e.queue.Waiting())
	e.mu.Unlock()
	select {
	case err := <-decision:
		return e.finishWait(id, r, err)
	case <-ctx.Done():
	}
	if !e.cancel(id) {
		return e.finishWait(id, r, <-decision)
	}
	return nil, result.New(result.DeadlineInQueue, "waiting for a slot of endpoint %s", r.Endpoint)
}

// tryAcquire starts a request at once, or not at all.
func (e *endpointQueue) tryAcquire(r SlotRequest) (func(), bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.resize(now)
	if e.queue.Waiting() > 0 {
		return nil, false
	}
	decision := make(chan error, 1)
	e.lastID++
	id := e.lastID
	e.waiting[id] = decision
	e.apply(e.queue.Arrive(now, r.admission(id)))
	select {
	case err := <-decision:
		return func() { e.release(id) }, err == nil
	default:
	}
	waiting, effects := e.queue.Cancel(now, id)
	if waiting {
		delete(e.waiting, id)
	}
	e.apply(effects)
	return nil, false
}

// refusal is the decision of a queue to refuse a request.
type refusal struct{ admit.Refuse }

// Error implements error.
func (r *refusal) Error() string { return "refused" }

// finishWait returns the function that frees the slot, or the error of a refusal.
func (e *endpointQueue) finishWait(id uint64, r SlotRequest, decision error) (func(), error) {
	var refused *refusal
	if !errors.As(decision, &refused) {
		return func() { e.release(id) }, nil
	}
	err := result.New(refused.Code, "waiting for a slot of endpoint %s", r.Endpoint)
	if refused.Early {
		err.Detail = "no slot of endpoint " + r.Endpoint + " would come free in time"
		e.onEarly(r.Class)
	}
	err.RetryAfter = refused.RetryAfter
	return nil, err
}

func (e *endpointQueue) release(id uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.resize(now)
	e.apply(e.queue.Done(now, id))
}

// cancel withdraws a request and reports whether it was still waiting.
func (e *endpointQueue) cancel(id uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	waiting, effects := e.queue.Cancel(time.Now(), id)
	if waiting {
		delete(e.waiting, id)
	}
	e.apply(effects)
	return waiting
}

// resize passes a changed number of slots to the queue. The caller holds e.mu.
func (e *endpointQueue) resize(now time.Time) {
	if slots := e.slots(); slots != e.currentSlots {
		e.currentSlots = slots
		e.apply(e.queue.SetSlots(now, slots))
	}
}

// apply notifies waiting requests of the decisions of the queue, and sets the timer. The
// caller holds e.mu.
func (e *endpointQueue) apply(effects []admit.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case admit.Start:
			e.notify(effect.ID, nil)
		case admit.Refuse:
			e.notify(effect.ID, &refusal{effect})
		}
	}
	e.schedule()
}

func (e *endpointQueue) notify(id uint64, err error) {
	if decision, ok := e.waiting[id]; ok {
		delete(e.waiting, id)
		decision <- err
	}
}

// schedule sets the timer for the next deadline of the queue. The contexts of waiting
// requests end at their deadlines too, so a late timer delays no request.
func (e *endpointQueue) schedule() {
	next, ok := e.queue.NextDeadline()
	switch {
	case !ok && e.timerArmed:
		e.timerArmed = false
		e.timer.Stop()
	case !ok:
	case e.timer == nil:
		e.timerArmed = true
		e.timer = time.AfterFunc(time.Until(next), e.tick)
	default:
		e.timerArmed = true
		e.timer.Reset(time.Until(next))
	}
}

func (e *endpointQueue) tick() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.apply(e.queue.Tick(time.Now()))
}

// TakeUsage returns the number of requests that run on an endpoint, and the greatest
// number that ran or waited at once since the last call, which it resets.
func (g *Gate) TakeUsage(endpoint string) (running, peak int) {
	g.mu.Lock()
	e, ok := g.endpoints[endpoint]
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

// Resize applies changed numbers of slots to all endpoints.
func (g *Gate) Resize() {
	g.mu.Lock()
	endpoints := make([]*endpointQueue, 0, len(g.endpoints))
	for _, e := range g.endpoints {
		endpoints = append(endpoints, e)
	}
	g.mu.Unlock()
	for _, e := range endpoints {
		e.mu.Lock()
		e.resize(time.Now())
		e.mu.Unlock()
	}
}
