package admit

import (
	"container/heap"
	"slices"
	"time"

	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// load is the current use of an endpoint's slots.
type load struct {
	slots   int
	total   int                // running requests
	running map[note.Class]int // running requests by class
}

// Queue admits requests to the slots of one endpoint. Each request gets exactly one
// Start or Refuse unless it is cancelled while it waits. Queue is not safe for
// concurrent use.
type Queue struct {
	cfg                Config
	discipline         discipline
	waiting            map[uint64]*waiter
	running            map[uint64]runningRequest
	runningByClass     map[note.Class]int
	waitingByWorkspace map[string]int // waiting requests by workspace
	classes            map[note.Class]*classState
	deadlines          deadlineHeap
	effects            []Effect
}

// New returns an empty Queue.
func New(cfg Config) *Queue {
	q := &Queue{
		cfg:                cfg,
		waiting:            make(map[uint64]*waiter),
		running:            make(map[uint64]runningRequest),
		runningByClass:     make(map[note.Class]int),
		waitingByWorkspace: make(map[string]int),
		classes:            make(map[note.Class]*classState),
	}
	for _, class := range precedence {
		q.classes[class] = &classState{}
	}
	if cfg.Policy == PolicyFIFO {
		q.discipline = &fifo{}
	} else {
		q.discipline = newFair(cfg)
	}
	return q
}

// Arrive adds a request, which is started, queued or refused. A request of an
// unknown class is served as bulk.
func (q *Queue) Arrive(now time.Time, r Request) []Effect {
	q.expireDeadlines(now)
	if r.Weight <= 0 {
		r.Weight = 1
	}
	if !slices.Contains(precedence, r.Class) {
		r.Class = note.ClassBulk
	}
	switch {
	case !r.Deadline.IsZero() && !now.Before(r.Deadline):
		q.refuse(r.ID, result.DeadlineInQueue)
	case q.waitingByWorkspace[r.Workspace] >= q.cfg.QueueLimit:
		q.refuse(r.ID, result.QueueFull)
	default:
		q.enqueue(now, r)
	}
	q.dispatch(now)
	if w := q.waiting[r.ID]; w != nil {
		q.judgeArrival(now, w)
		q.recordWaiting(now)
	}
	return q.effects
}

// Done frees the slot of a started request. It ignores an unknown ID.
func (q *Queue) Done(now time.Time, id uint64) []Effect {
	q.expireDeadlines(now)
	if r, ok := q.running[id]; ok {
		delete(q.running, id)
		q.runningByClass[r.request.Class]--
		q.discipline.settle(r, now.Sub(r.startedAt))
	}
	return q.dispatch(now)
}

// Cancel removes a waiting request without an effect for it. It reports whether the
// request was still waiting: a request whose deadline has passed is refused instead.
func (q *Queue) Cancel(now time.Time, id uint64) (bool, []Effect) {
	q.expireDeadlines(now)
	w, ok := q.waiting[id]
	if ok {
		q.discipline.remove(w)
		q.removeWaiter(w)
	}
	return ok, q.dispatch(now)
}

// SetSlots changes the number of slots. If more requests are running, they continue.
func (q *Queue) SetSlots(now time.Time, slots int) []Effect {
	q.expireDeadlines(now)
	q.cfg.Slots = slots
	return q.dispatch(now)
}

// Tick refuses waiting requests whose deadline has passed, and those that cannot be expected
// to start in time.
func (q *Queue) Tick(now time.Time) []Effect {
	q.expireDeadlines(now)
	return q.dispatch(now)
}

// NextDeadline returns the time at which Tick is due, for a deadline or a decision about an
// early refusal, or false if no waiting request has a deadline.
func (q *Queue) NextDeadline() (time.Time, bool) {
	if len(q.deadlines) == 0 {
		return time.Time{}, false
	}
	return q.deadlines[0].due, true
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Running returns the number of requests that hold a slot.
func (q *Queue) Running() int { return len(q.running) }

// expireDeadlines clears the effects and refuses requests whose deadline has passed.
// Each event starts with it, so that no request starts after its deadline.
func (q *Queue) expireDeadlines(now time.Time) {
	q.effects = nil
	for len(q.deadlines) > 0 && !now.Before(q.deadlines[0].due) {
		w := q.deadlines[0]
		if now.Before(w.Deadline) {
			q.judge(now, w)
			continue
		}
		q.refuseWaiter(now, w, false)
	}
}

// refuseWaiter refuses a waiting request because of its deadline. One with a target is told when
// to come back.
func (q *Queue) refuseWaiter(now time.Time, w *waiter, early bool) {
	var retryAfter time.Duration
	if w.Target > 0 {
		retryAfter = q.classes[w.Class].meter.RetryAfter(now)
	}
	q.discipline.remove(w)
	q.removeWaiter(w)
	q.effects = append(q.effects, Refuse{ID: w.ID, Code: result.DeadlineInQueue, Early: early, RetryAfter: retryAfter})
}

func (q *Queue) refuse(id uint64, code result.Code) {
	q.effects = append(q.effects, Refuse{ID: id, Code: code})
}

func (q *Queue) enqueue(now time.Time, r Request) {
	w := &waiter{Request: r, arrived: now, due: r.Deadline, heapIndex: -1}
	q.waiting[r.ID] = w
	q.classes[r.Class].arrive(now)
	q.waitingByWorkspace[r.Workspace]++
	if !r.Deadline.IsZero() {
		heap.Push(&q.deadlines, w)
	}
	q.discipline.push(w)
}

// removeWaiter removes a waiter from all indexes. The discipline must no longer hold
// it.
func (q *Queue) removeWaiter(w *waiter) {
	delete(q.waiting, w.ID)
	q.classes[w.Class].waiting--
	q.waitingByWorkspace[w.Workspace]--
	if q.waitingByWorkspace[w.Workspace] == 0 {
		delete(q.waitingByWorkspace, w.Workspace)
	}
	if w.heapIndex >= 0 {
		heap.Remove(&q.deadlines, w.heapIndex)
	}
}

// dispatch starts waiting requests until the discipline returns none.
func (q *Queue) dispatch(now time.Time) []Effect {
	for {
		w := q.discipline.pop(now, load{slots: q.cfg.Slots, total: len(q.running), running: q.runningByClass})
		if w == nil {
			break
		}
		q.removeWaiter(w)
		q.running[w.ID] = runningRequest{request: w.Request, startedAt: now, estimate: q.discipline.charge(w.Request)}
		q.runningByClass[w.Class]++
		q.classes[w.Class].start(now)
		q.effects = append(q.effects, Start{ID: w.ID})
	}
	q.recordWaiting(now)
	return q.effects
}

// deadlineHeap orders waiters by the time at which they are considered next.
type deadlineHeap []*waiter

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].due.Before(h[j].due) }

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	w := x.(*waiter)
	w.heapIndex = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	w.heapIndex = -1
	*h = old[:len(old)-1]
	return w
}
