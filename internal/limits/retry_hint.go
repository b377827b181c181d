package limits

import "time"

// Bounds and parts of retry hints.
const (
	minRetryHint = 100 * time.Millisecond
	maxRetryHint = 5 * time.Second
	// overloadRetryHint is the hint while a workspace exceeds its rate and the host has no
	// share of it, so that it does not know how fast the requests that wait are served.
	overloadRetryHint = time.Second
	// takeoverRetryHint is the hint while the rate has no owner that answers: about the time
	// until another one has heard all holders.
	takeoverRetryHint = 500 * time.Millisecond
	// retrySpread is the largest part by which a hint is extended at random, so that the
	// callers that were refused together do not return together.
	retrySpread = 0.5
)

// refusal is what a host knows about a rate when it refuses a request for a token of it.
type refusal struct {
	// overloaded is set if the workspace exceeds its rate. Otherwise requests wait in the fleet
	// for the time of backlog, or the rate has no owner that answers.
	overloaded bool
	backlog    time.Duration
	// waiting is the number of requests that wait for tokens of the rate on this host.
	waiting int
	// rate is that of the host's share in tokens per second, zero if it has none.
	rate float64
	// nextToken is the time until the next token.
	nextToken time.Duration
}

// retryAfter returns when the caller of a refused request should come back: when the requests
// that wait now have been served, or when the rate should have an owner again. random is a
// number in [0, 1).
func (r refusal) retryAfter(random float64) time.Duration {
	hint := takeoverRetryHint
	switch {
	case r.overloaded && r.rate > 0:
		hint = max(r.nextToken, 0) + time.Duration(float64(r.waiting+1)/r.rate*float64(time.Second))
	case r.overloaded:
		hint = overloadRetryHint
	case r.backlog > 0:
		hint = r.backlog
	}
	hint = min(max(hint, minRetryHint), maxRetryHint)
	return hint + time.Duration(random*retrySpread*float64(hint))
}
