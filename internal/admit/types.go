// Package admit decides which waiting request gets the next free slot of an
// endpoint. Each endpoint has one Queue: a deterministic state machine that
// takes events with the current time and returns effects. The package performs
// no I/O and reads no clock.
package admit

import (
	"time"

	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// Policy names an order of service.
type Policy string

// Policies.
const (
	// PolicyFair serves classes by precedence and workspaces by weight.
	PolicyFair Policy = "fair"
	// PolicyFIFO serves requests in the order of arrival. It is a baseline for
	// comparison.
	PolicyFIFO Policy = "fifo"
)

// Defaults of Config.
const (
	DefaultQueueLimit      = 1000 // requests per workspace
	DefaultCorrectionFloor = 0.2
	DefaultBulkFloor       = 0.1
	DefaultBulkCap         = 0.6
)

// Config holds the settings of a Queue.
type Config struct {
	Policy Policy
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
	// QueueLimit is the number of requests of one workspace that may wait.
	QueueLimit int
	// CorrectionFloor and BulkFloor are the shares of slot time that a class
	// gets over time while its requests wait, whatever higher classes ask for.
	CorrectionFloor float64
	BulkFloor       float64
	// BulkCap is the share of the slots that bulk requests may hold at once.
	// With more than one slot, one is always left to the other classes. With
	// one slot, a bulk request may run beside one of another class.
	BulkCap float64
	// Ready reports whether a request of a workspace can start without delay, as
	// when a connection of the workspace is free; nil: all can. Within ReadySlack
	// such workspaces go first.
	Ready func(workspace string) bool
}

// ReadySlack is the slot time by which a workspace may be served ahead of its fair
// share because it is ready. It is a few statements: opening a connection takes
// the endpoint the slot time of a third of one.
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
	// ID is unique among the requests of the queue.
	ID        uint64
	Workspace string
	// Weight is the workspace's share relative to others; zero means one.
	Weight float64
	Class  note.Class
	// Deadline ends the wait; the zero time means none.
	Deadline time.Time
}

// Effect is an output of a Queue.
type Effect interface{ isEffect() }

// Start lets a request run. The caller reports its end with Done.
type Start struct{ ID uint64 }

// Refuse ends the wait of a request that was not run.
type Refuse struct {
	ID uint64
	// Code is DeadlineInQueue or QueueFull.
	Code result.Code
}

func (Start) isEffect()  {}
func (Refuse) isEffect() {}

// waiter is a request in the queue.
type waiter struct {
	Request
	arrived   time.Time
	heapIndex int
}

// lateAfter is how long the first request of a workspace may wait while the order
// of arrival holds. A workspace with a longer queue gets more requests than it can
// have served: then the newest go first, which are served in time, and the oldest
// are refused at their deadline.
const lifoAfter = 100 * time.Millisecond

// runner is a request that holds a slot.
type runningRequest struct {
	request Request
	since   time.Time
	// estimate is the slot time that was charged to the workspace on start.
	estimate time.Duration
}

// order decides which waiter is next. An implementation holds the waiters.
type discipline interface {
	push(w *waiter)
	// remove takes a waiter out that is served no more.
	remove(w *waiter)
	// pop takes out the next waiter that may start, or returns nil.
	pop(now time.Time, load load) *waiter
	// charge returns the slot time to charge to a workspace for a request.
	charge(r Request) time.Duration
	// settle corrects the charge once the request has ended.
	settle(r runningRequest, used time.Duration)
}
