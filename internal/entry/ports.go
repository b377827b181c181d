// Package entry serves callers: it owns their sessions, sends each request to
// an endpoint and passes the answer back. Limits, admission, routing and
// session positions are decided behind the small interfaces of this file.
package entry

import (
	"context"
	"time"

	"github.com/galenabridge/galenabridge/internal/gate"
)

// Position is a log position of a service's database group.
type Position struct {
	// Term is the group's term in which the position was written.
	Term uint64
	// LSN is the log position in bytes.
	LSN uint64
}

// Limiter enforces the rate and burst of workspaces across the fleet.
type Limiter interface {
	// Acquire takes tokens for one statement, waiting until ctx ends. It
	// returns a result.Error with code RateExceeded when the workspace is over
	// its rate, or DeadlineInQueue when ctx ends first.
	Acquire(ctx context.Context, workspace string) error
}

// Gate admits requests to the slots of endpoints.
type Gate interface {
	// AcquireSlot waits for a slot. The caller must call leave once the request has
	// ended. It returns a result.Error with a code for which NotRun holds.
	AcquireSlot(ctx context.Context, a gate.SlotRequest) (leave func(), err error)
}

// Need describes the endpoint that a request may run on.
type Need struct {
	Service  string
	ReadOnly bool
	// Min is the position that a replica must have replayed.
	Min Position
	// MaxStaleness allows replicas that lag by at most this time, whatever Min
	// says. Zero asks for Min.
	MaxStaleness time.Duration
	// Exclude lists endpoints that this request has already tried.
	Exclude []string
}

// Report tells the router how a request on an endpoint ended.
type Report struct {
	Endpoint string
	// Began tells that Begin was called for the request.
	Began bool
	// Failed tells that the endpoint could not be reached or was lost.
	Failed bool
	// Latency is the time of the first answer.
	Latency time.Duration
}

// Router chooses endpoints.
type Router interface {
	// Pick returns an endpoint, or a result.Error with code NoEndpoint or
	// NoPrimary when none can serve the need now.
	Pick(now time.Time, need Need) (endpoint string, err error)
	// Begin and End count the requests in progress on an endpoint.
	Begin(endpoint string)
	End(r Report)
}

// Positions tracks the log positions that callers must be able to read.
type Positions interface {
	// Required returns the position that a read of the workspace must see. It
	// falls back to the primary's current position when it cannot know better.
	Required(ctx context.Context, service, workspace string) (Position, error)
	// RecordAcked records a write that is about to be acknowledged to its caller.
	RecordAcked(service, workspace string, p Position)
}
