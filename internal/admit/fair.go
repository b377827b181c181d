package admit

import (
	"math"
	"slices"
	"time"

	"github.com/galenabridge/galenabridge/internal/note"
)

const (
	// initialCost is the assumed slot time of a workspace's first request.
	initialCost = 5 * time.Millisecond
	// minCost is the least slot time that a request is charged.
	minCharge = 50 * time.Microsecond
	// costGain is the weight of the newest request in the average slot time.
	costGain = 0.2
	// maxIdleFlows is the number of workspaces without waiting requests whose
	// accounts are kept before they are examined for removal.
	maxIdleFlows = 256
)

// precedence lists the classes from the highest to the lowest.
var precedence = []note.Class{note.ClassInteractive, note.ClassCorrection, note.ClassBulk}

// flow is the account of one workspace in one class. Tags are virtual times in
// seconds of slot time per unit of weight.
type flow struct {
	workspace string
	waiters   []*waiter
	// finish is the tag at which the flow has paid for all it was charged.
	finish float64
	// start is the tag of the first waiter.
	start float64
	// cost is the moving average of the slot time of its requests.
	cost time.Duration
	// running counts the requests that hold a slot.
	running int
}

// classQueue is a start-time fair queue over the workspaces of one class.
type classQueue struct {
	flows map[string]*flow
	// active lists the flows with waiters.
	active []*flow
	// now is the virtual time: the lowest start tag when a request was last served.
	virtualTime float64
}

func newClassQueue() *classQueue {
	return &classQueue{flows: make(map[string]*flow)}
}

func (c *classQueue) push(w *waiter) {
	f := c.flows[w.Workspace]
	if f == nil {
		c.prune()
		f = &flow{workspace: w.Workspace, cost: initialCost, finish: c.virtualTime}
		c.flows[w.Workspace] = f
	}
	if len(f.waiters) == 0 {
		f.start = max(c.virtualTime, f.finish)
		c.active = append(c.active, f)
	}
	f.waiters = append(f.waiters, w)
}

func (c *classQueue) remove(w *waiter) {
	f := c.flows[w.Workspace]
	i := slices.Index(f.waiters, w)
	f.waiters = slices.Delete(f.waiters, i, i+1)
	c.deactivate(f)
}

// deactivate takes a flow without waiters off the active list.
func (c *classQueue) deactivate(f *flow) {
	if len(f.waiters) > 0 {
		return
	}
	f.waiters = nil
	i := slices.Index(c.active, f)
	c.active = slices.Delete(c.active, i, i+1)
}

// pop serves the flow with the lowest start tag, or a ready one that is little
// behind it; ties go to the name.
func (c *classQueue) pop(now time.Time, ready func(workspace string) bool) *waiter {
	if len(c.active) == 0 {
		return nil
	}
	next := c.lowestTag(nil, math.Inf(1))
	// The virtual time is that of the flow whose turn it is: one that is passed
	// over must not lose its place.
	c.virtualTime = max(c.virtualTime, next.start)
	if ready != nil && !ready(next.workspace) {
		if f := c.lowestTag(ready, next.start+ReadySlack.Seconds()); f != nil {
			next = f
		}
	}
	w := next.take(now)
	next.finish = next.start + next.cost.Seconds()/w.Weight
	next.start = next.finish
	next.running++
	c.deactivate(next)
	return w
}

// take removes the first waiter, or the newest while the first is late.
func (f *flow) take(now time.Time) *waiter {
	at := 0
	if now.Sub(f.waiters[0].arrived) >= lifoAfter {
		at = len(f.waiters) - 1
	}
	w := f.waiters[at]
	f.waiters = slices.Delete(f.waiters, at, at+1)
	return w
}

// first returns the flow with the lowest start tag below most, of those that are
// ready if that matters, or nil.
func (c *classQueue) lowestTag(ready func(workspace string) bool, most float64) *flow {
	var next *flow
	for _, f := range c.active {
		if f.start > most || next != nil && (f.start > next.start || f.start == next.start && f.workspace > next.workspace) {
			continue
		}
		if ready == nil || ready(f.workspace) {
			next = f
		}
	}
	return next
}

func (c *classQueue) charge(r Request) time.Duration { return c.flows[r.Workspace].cost }

// settle replaces the charged slot time by the time that was used.
func (c *classQueue) settle(r runningRequest, used time.Duration) {
	f := c.flows[r.request.Workspace]
	f.running--
	used = max(used, minCharge)
	correction := (used - r.estimate).Seconds() / r.request.Weight
	f.finish += correction
	f.start = max(f.start+correction, c.virtualTime)
	f.cost += time.Duration(costGain * float64(used-f.cost))
}

// prune forgets idle flows that owe nothing.
func (c *classQueue) prune() {
	if len(c.flows)-len(c.active) < maxIdleFlows {
		return
	}
	for name, f := range c.flows {
		if len(f.waiters) == 0 && f.running == 0 && f.finish <= c.virtualTime {
			delete(c.flows, name)
		}
	}
}

// fair serves classes by precedence with floors and the cap for bulk, and the
// workspaces of a class by weight.
type fair struct {
	cfg     Config
	classes map[note.Class]*classQueue
	floors  []*floor
}

func newFair(cfg Config) *fair {
	f := &fair{cfg: cfg, classes: make(map[note.Class]*classQueue)}
	for _, class := range precedence {
		f.classes[class] = newClassQueue()
	}
	f.floors = []*floor{
		{class: note.ClassCorrection, share: cfg.CorrectionFloor},
		{class: note.ClassBulk, share: cfg.BulkFloor},
	}
	return f
}

func (f *fair) push(w *waiter)   { f.classes[w.Class].push(w) }
func (f *fair) remove(w *waiter) { f.classes[w.Class].remove(w) }

func (f *fair) charge(r Request) time.Duration { return f.classes[r.Class].charge(r) }

func (f *fair) settle(r runningRequest, used time.Duration) {
	f.classes[r.request.Class].settle(r, used)
	for _, fl := range f.floors {
		if fl.class == r.request.Class {
			fl.spend(used)
		}
	}
}

func (f *fair) pop(now time.Time, l load) *waiter {
	for _, fl := range f.floors {
		fl.accrue(now, l, len(f.classes[fl.class].active) > 0)
	}
	for _, fl := range f.floors {
		if fl.entitled(l) && f.canStart(fl.class, l) {
			return f.classes[fl.class].pop(now, f.cfg.Ready)
		}
	}
	for _, class := range precedence {
		if f.canStart(class, l) {
			return f.classes[class].pop(now, f.cfg.Ready)
		}
	}
	return nil
}

// mayStart reports whether the class has a waiter and a slot that it may use.
func (f *fair) canStart(class note.Class, l load) bool {
	bulk := l.running[note.ClassBulk]
	switch {
	case len(f.classes[class].active) == 0 || l.slots <= 0:
		return false
	case l.slots > 1 && l.total >= l.slots:
		return false
	case class == note.ClassBulk:
		return bulk < f.bulkSlots(l.slots)
	default:
		return l.total-bulk < l.slots
	}
}

// bulkSlots returns the number of bulk requests that may run at once. A single
// slot is shared: a bulk request may run beside one of another class, which
// would else wait for the whole of a long read.
func (f *fair) bulkSlots(slots int) int {
	if slots <= 1 {
		return slots
	}
	n := int(f.cfg.BulkCap * float64(slots))
	return min(max(n, 1), slots-1)
}
