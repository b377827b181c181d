// Package hedge decides when a read whose answer is late is sent once more, to another
// endpoint (a hedged read). It answers single answers that are lost or much later than
// usual while the other endpoints have capacity. It is no remedy for overload: the extra
// statements are at most a tenth of the reads, and the caller of this package sends one only
// while the second endpoint has a free slot. The package performs no I/O and reads no clock.
package hedge

import "time"

const (
	// sequentialFactor is the multiple of the target that the time-out of a route must have
	// for a sequential second attempt. An answer is not given up before twice the target,
	// since answers after the target are common under load, and the second attempt may take
	// as long.
	sequentialFactor = 4
	// floorDivisor is the divisor of the target that gives the least delay. An answer after
	// a quarter of the target is in time, and a hedge before would save nothing that callers
	// need.
	floorDivisor = 4
	// unknownDivisor is the divisor of the target that gives the delay until the usual
	// latency is known. It leaves half of the target to the second attempt.
	unknownDivisor = 2
	// lostFactor is the multiple of the usual latency after which an answer counts as lost.
	lostFactor = 4
)

// Route holds the times of a route from which the delay of a hedge is derived.
type Route struct {
	// Target is the time in which callers expect an answer; zero means none.
	Target time.Duration
	// Timeout bounds one statement at an endpoint.
	Timeout time.Duration
}

// Active reports whether reads of the route may be hedged: the route has a target, and its
// time-out leaves no time for a second attempt after the first was given up.
func (r Route) Active() bool {
	return r.Target > 0 && r.Timeout > 0 && r.Timeout < sequentialFactor*r.Target
}

// Plan holds the times, counted from sending the first attempt, at which a hedge is
// considered.
type Plan struct {
	// After is the delay of the first check, and the time between two checks.
	After time.Duration
	// Lost is when the answer counts as lost, so that a hedge may open a connection. It is
	// the last check.
	Lost time.Duration
}

// plan returns the plan for a route and the usual latency of its reads at the endpoint of the
// first attempt; zero means unknown. It reports false if the route is not hedged, or if a
// second attempt at the first check would not end before the time-out.
func (r Route) plan(usual time.Duration) (Plan, bool) {
	if !r.Active() {
		return Plan{}, false
	}
	after := r.Target / unknownDivisor
	if usual > 0 {
		after = max(usual, r.Target/floorDivisor)
	}
	last := r.Timeout - after
	if after > last {
		return Plan{}, false
	}
	return Plan{After: after, Lost: min(max(lostFactor*after, r.Target), last)}, true
}

// Next returns the time of the check after the one at elapsed, and false after the last.
func (p Plan) Next(elapsed time.Duration) (time.Duration, bool) {
	if elapsed >= p.Lost {
		return 0, false
	}
	return min(elapsed+p.After, p.Lost), true
}

// IsLost reports whether an answer that has not arrived after elapsed counts as lost.
func (p Plan) IsLost(elapsed time.Duration) bool { return elapsed >= p.Lost }
