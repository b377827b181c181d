// Package admit implements admission control: it decides which waiting request gets
// the next free slot of an endpoint. Each endpoint has one Queue, a deterministic
// state machine that takes events with the current time and returns effects. The
// package performs no I/O and reads no clock.
package admit

import (
	"time"

	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// Policy is the name of a queueing discipline.
type Policy string

// Policies.
const (
	// PolicyFair serves classes by precedence and workspaces by weight.
	PolicyFair Policy = "fair"
	// PolicyFIFO serves requests in order of arrival. It is a baseline for comparison.
	PolicyFIFO Policy = "fifo"
)

// Defaults of Config.
const (
	DefaultQueueLimit      = 1000 // requests per workspace
	DefaultCorrectionFloor = 0.2  // of the slot time
	DefaultBulkFloor       = 0.1  // of the slot time
	DefaultBulkCap         = 0.6  // of the slots
)

// Config holds the settings of a Queue.
type Config struct {
	Policy Policy
	// Slots is the number of requests that may run on the endpoint at once.
	Slots int
	// QueueLimit is the maximum number of waiting requests of one workspace.
	QueueLimit int
	// CorrectionFloor and BulkFloor are the minimum shares of slot time that a class
	// gets over time while its requests wait, whatever the load of higher classes.
	CorrectionFloor float64
	BulkFloor       float64
	// BulkCap is the maximum share of the slots that bulk requests may hold at once.
	// With more than one slot, one is always left to the other classes. With one
	// slot, a bulk request may run beside one of another class.
	BulkCap float64
	// Ready reports whether a request of a workspace can start without delay, for
	// example because a connection of the workspace is idle. Within ReadySlack such
	// workspaces are served first. If nil, all workspaces are ready.
	Ready func(workspace string) bool
}

// ReadySlack is the slot time by which a workspace may be served ahead of its fair
// share because it is ready. It is the slot time of a few statements; opening a
// connection costs the endpoint the slot time of a third of a statement.
const ReadySlack = 100 * time.Millisecond

// DefaultConfig returns a fair queue for the given number of slots.
func DefaultConfig(slots int) Config {
	return Config{
		Policy:          PolicyFair,
		Slots:           slots,
		QueueLimit:      DefaultQueueLimit,
		CorrectionFloor: DefaultCorrectionFloor,
		BulkFloor:       DefaultBulkFloor,
		BulkCap:         DefaultBulkCap,
	}
}

// Request is a request for one slot.
type Request struct {
	// ID is unique among the waiting and running requests of the queue.
	ID        uint64
	Workspace string
	// Weight is the workspace's share relative to others; zero means one.
	Weight float64
	Class  note.Class
	// Deadline ends the wait; the zero time means none.
	Deadline time.Time
	// Target is the time in which the request should be answered. One that cannot be
	// expected to is refused early; zero means that it waits until its deadline.
	Target time.Duration
}

// Effect is an output of a Queue.
type Effect interface{ isEffect() }

// Start starts a request. The caller must report its completion with Done.
type Start struct{ ID uint64 }

// Refuse refuses a request that has not started.
type Refuse struct {
	ID uint64
	// Code is DeadlineInQueue or QueueFull.
	Code result.Code
	// Early: the request could not be expected to start before its deadline.
	Early bool
	// RetryAfter is when a retry would be served; zero while that is unknown.
	RetryAfter time.Duration
}

func (Start) isEffect()  {}
func (Refuse) isEffect() {}

// waiter is a request in the queue.
type waiter struct {
	Request
	arrived time.Time
	// due is when the request is considered next: at its deadline, or before for an early
	// refusal.
	due       time.Time
	heapIndex int // in Queue.deadlines, or -1
	// ahead is the number of requests that were to be served before it at its arrival, and
	// startsBefore the starts of its class until then.
	ahead        int
	startsBefore int
}

// lifoAfter is the wait of a workspace's oldest request from which on its newest
// request is served first. A workspace with a longer wait sends more requests than can
// be served: the newest are then served before their deadline, and the oldest are
// refused at theirs.
const lifoAfter = 100 * time.Millisecond

// runningRequest is a request that holds a slot.
type runningRequest struct {
	request   Request
	startedAt time.Time
	// estimate is the slot time charged to the workspace at the start.
	estimate time.Duration
}

// discipline is a queueing discipline: it holds the waiters and decides which one
// starts next.
type discipline interface {
	push(w *waiter)
	// remove removes a waiter that was refused or cancelled.
	remove(w *waiter)
	// pop removes and returns the next waiter that may start, or nil.
	pop(now time.Time, load load) *waiter
	// ahead returns how many waiters are served before w if no other request arrives, or
	// false if the discipline does not tell.
	ahead(now time.Time, w *waiter) (int, bool)
	// charge returns the estimated slot time to charge a workspace for a request.
	charge(r Request) time.Duration
	// settle corrects the charge once the request has completed.
	settle(r runningRequest, used time.Duration)
}
