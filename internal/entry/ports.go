// Package entry serves callers that speak the PostgreSQL wire protocol: it owns their
// sessions, sends each request to an endpoint and relays the answer. Limits, admission,
// routing and session positions are decided by the implementations of the interfaces in
// this file.
package entry

import (
	"context"
	"time"

	"github.com/galenabridge/galenabridge/internal/gate"
)

// Position is a log position in the database group of a service.
type Position struct {
	// Term is the group's term in which the position was written.
	Term uint64
	// LSN is the log position in bytes.
	LSN uint64
	// Life is agreed.Group.Life of the service.
	Life uint64
}

// Limiter enforces the rate and burst of workspaces across the fleet.
type Limiter interface {
	// Acquire takes the tokens for one statement and waits for them until ctx ends. It
	// returns a result.Error with code RateExceeded when the workspace is over its rate,
	// or DeadlineInQueue when ctx ends first.
	Acquire(ctx context.Context, workspace string) error
}

// Gate admits requests to the slots of endpoints.
type Gate interface {
	// AcquireSlot waits for a slot. The caller must call releaseSlot once the request has
	// ended. Errors are a result.Error with a code for which NotRun holds.
	AcquireSlot(ctx context.Context, a gate.SlotRequest) (releaseSlot func(), err error)
}

// Need describes the endpoint that a request may run on.
type Need struct {
	Service  string
	ReadOnly bool
	// MinPosition is the position that a replica must have replayed.
	MinPosition Position
	// MaxStaleness, when positive, replaces MinPosition: a replica may lag by at most this
	// time.
	MaxStaleness time.Duration
	// Exclude lists endpoints that this request has already tried.
	Exclude []string
}

// Report is the result of a request on an endpoint, for the router.
type Report struct {
	Endpoint string
	// Began: Begin was called for the request.
	Began bool
	// Failed: the endpoint could not be reached or its connection was lost.
	Failed bool
	// Latency is the time from sending the first unit to the end of its answer; zero when
	// there was none.
	Latency time.Duration
}

// Router chooses endpoints.
type Router interface {
	// Pick returns an endpoint, or a result.Error with code NoEndpoint or NoPrimary when
	// none can serve the need now.
	Pick(now time.Time, need Need) (endpoint string, err error)
	// Begin and End count the requests in progress on an endpoint.
	Begin(endpoint string)
	End(r Report)
}

// Positions tracks the log positions that callers must be able to read.
type Positions interface {
	// Required returns the position that a read of the workspace must include. It falls
	// back to the primary's current position when it cannot determine an earlier one.
	Required(ctx context.Context, service, workspace string) (Position, error)
	// RecordAcked records a write that is about to be acknowledged to its caller. It must
	// return before the acknowledgement is sent.
	RecordAcked(service, workspace string, p Position)
}
