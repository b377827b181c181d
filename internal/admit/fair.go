package admit

import (
	"math"
	"slices"
	"time"

	"github.com/galenabridge/galenabridge/internal/note"
)

const (
	// initialCost is the estimated slot time of a workspace's first request.
	initialCost = 5 * time.Millisecond
	// minCharge is the minimum slot time that a request is charged.
	minCharge = 50 * time.Microsecond
	// costGain is the weight of the newest request in the moving average of slot time.
	costGain = 0.2
	// maxIdleFlows is the number of flows without waiting requests from which on idle
	// flows are pruned.
	maxIdleFlows = 256
)

// precedence lists the classes from the highest to the lowest.
var precedence = []note.Class{note.ClassInteractive, note.ClassCorrection, note.ClassBulk}

// flow is the state of one workspace in one class. Tags are virtual times in
// seconds of slot time per unit of weight.
type flow struct {
	workspace string
	waiters   []*waiter
	// finish is the finish tag: the virtual time at which all charged slot time is
	// accounted for.
	finish float64
	// start is the start tag of the first waiter.
	start float64
	// cost is the moving average of the slot time of its requests.
	cost time.Duration
	// running counts the requests that hold a slot.
	running int
}

// classQueue is a start-time fair queue (SFQ) over the workspaces of one class.
// active contains exactly the flows that have waiters, in no particular order.
type classQueue struct {
	flows  map[string]*flow
	active []*flow
	// virtualTime is the lowest start tag at the time of the latest pop. It never
	// decreases.
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

// deactivate removes a flow from the active list if it has no waiters.
func (c *classQueue) deactivate(f *flow) {
	if len(f.waiters) > 0 {
		return
	}
	f.waiters = nil
	i := slices.Index(c.active, f)
	c.active = slices.Delete(c.active, i, i+1)
}

// pop takes the next waiter from the flow with the lowest start tag, or from a ready
// flow whose tag is at most ReadySlack above it. Ties are broken by name.
func (c *classQueue) pop(now time.Time, ready func(workspace string) bool) *waiter {
	if len(c.active) == 0 {
		return nil
	}
	next := c.lowestTag(nil, math.Inf(1))
	// The virtual time advances to the lowest start tag even if another flow is
	// served: a flow that is passed over must not lose its precedence.
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

// take removes and returns the first waiter, or the newest if the first has waited for
// lifoAfter.
func (f *flow) take(now time.Time) *waiter {
	at := 0
	if now.Sub(f.waiters[0].arrived) >= lifoAfter {
		at = len(f.waiters) - 1
	}
	w := f.waiters[at]
	f.waiters = slices.Delete(f.waiters, at, at+1)
	return w
}

// lowestTag returns the flow with the lowest start tag, or nil if none is at most
// maxTag. If ready is not nil, only ready flows are considered.
func (c *classQueue) lowestTag(ready func(workspace string) bool, maxTag float64) *flow {
	var next *flow
	for _, f := range c.active {
		if f.start > maxTag || next != nil && (f.start > next.start || f.start == next.start && f.workspace > next.workspace) {
			continue
		}
		if ready == nil || ready(f.workspace) {
			next = f
		}
	}
	return next
}

// ahead returns how many waiters of the class are served before w if no other request arrives,
// by the start tags that they would have.
func (c *classQueue) ahead(now time.Time, w *waiter) int {
	f := c.flows[w.Workspace]
	n := slices.Index(f.waiters, w)
	if now.Sub(f.waiters[0].arrived) >= lifoAfter {
		n = len(f.waiters) - 1 - n
	}
	tag := f.start + float64(n)*f.cost.Seconds()/w.Weight
	for _, other := range c.active {
		if other == f || other.start > tag {
			continue
		}
		step := max(other.cost, minCharge).Seconds() / other.waiters[0].Weight
		n += min(len(other.waiters), int((tag-other.start)/step)+1)
	}
	return n
}

// charge returns the estimated slot time of a request of the workspace.
func (c *classQueue) charge(r Request) time.Duration { return c.flows[r.Workspace].cost }

// settle replaces the estimated charge by the slot time that was used. The flow still
// exists, because prune keeps flows with running requests.
func (c *classQueue) settle(r runningRequest, used time.Duration) {
	f := c.flows[r.request.Workspace]
	f.running--
	used = max(used, minCharge)
	correction := (used - r.estimate).Seconds() / r.request.Weight
	f.finish += correction
	f.start = max(f.start+correction, c.virtualTime)
	f.cost += time.Duration(costGain * float64(used-f.cost))
}

// prune removes idle flows whose finish tag is not ahead of the virtual time. A later
// request of such a workspace gets the same start tag in a new flow. Only the estimate of
// its cost is reset.
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

// fair serves classes by precedence, subject to the floors and the cap for bulk, and
// the workspaces of a class by weight.
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

func (f *fair) ahead(now time.Time, w *waiter) (int, bool) {
	return f.classes[w.Class].ahead(now, w), true
}

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

// canStart reports whether the class has a waiter and there is a slot that it may
// use.
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
// would otherwise wait until a long read has ended.
func (f *fair) bulkSlots(slots int) int {
	if slots <= 1 {
		return slots
	}
	n := int(f.cfg.BulkCap * float64(slots))
	return min(max(n, 1), slots-1)
}
