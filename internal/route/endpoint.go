package route

import (
	"math"
	"time"
)

const (
	// minLatency is the lower bound of the average latency in the load estimate.
	minLatency = 500 * time.Microsecond
	// minRampShare is the share of requests that a replica gets right after its return.
	minRampShare = 0.1
	// maxEjectionDoublings bounds the doublings of the duration of an ejection.
	maxEjectionDoublings = 16
)

// endpoint is the state of one member of the group as observed by this host.
type endpoint struct {
	member   Member
	status   Status
	statusAt time.Time // arrival of the status
	inflight int

	latency    time.Duration // moving average as of measuredAt
	measuredAt time.Time

	failures     int // consecutive failures
	ejections    int // since the last period without failures
	ejectedUntil time.Time
	// returnedAt is when the endpoint last became usable again.
	returnedAt time.Time
	usable     bool
	// freshAt is the latest time for which the replica is known to hold every
	// write that the primary had made by then.
	freshAt time.Time
}

// load estimates how many seconds one more request would take on the endpoint.
func (e *endpoint) load(now time.Time, cfg Config) float64 {
	latency := max(e.decayedLatency(now, cfg), minLatency)
	return latency.Seconds() * float64(e.inflight+1) / e.ramp(now, cfg)
}

// decayedLatency returns the average latency. It decays while the endpoint is
// unused, so that a slow endpoint is tried again.
func (e *endpoint) decayedLatency(now time.Time, cfg Config) time.Duration {
	return time.Duration(float64(e.latency) * e.decayFactor(now, cfg))
}

// decayFactor returns the weight of the average since the last measurement, in [0, 1].
func (e *endpoint) decayFactor(now time.Time, cfg Config) float64 {
	if e.measuredAt.IsZero() {
		return 0
	}
	age := max(now.Sub(e.measuredAt), 0)
	return math.Exp(-age.Seconds() / cfg.LatencyWindow.Seconds())
}

// recordLatency adds a latency to the moving average.
func (e *endpoint) recordLatency(now time.Time, latency time.Duration, cfg Config) {
	weight := e.decayFactor(now, cfg)
	weight = min(weight, 1-minSampleWeight)
	e.latency = time.Duration(weight*float64(e.latency) + (1-weight)*float64(latency))
	e.measuredAt = now
}

// minSampleWeight is the least weight of the newest latency in the average.
const minSampleWeight = 0.05

// ramp returns the share of requests that the endpoint gets in its slow start, from
// minRampShare to 1.
func (e *endpoint) ramp(now time.Time, cfg Config) float64 {
	if e.returnedAt.IsZero() {
		return 1
	}
	share := now.Sub(e.returnedAt).Seconds() / cfg.SlowStart.Seconds()
	return min(max(share, minRampShare), 1)
}

// recordFailure counts a failed request and, if mayEject is set, ejects the endpoint
// after EjectAfter consecutive failures.
func (e *endpoint) recordFailure(now time.Time, cfg Config, mayEject bool) {
	e.failures++
	if e.failures < cfg.EjectAfter || !mayEject {
		return
	}
	duration := cfg.EjectBase << min(e.ejections, maxEjectionDoublings)
	if duration > cfg.EjectMax {
		duration = cfg.EjectMax
	}
	e.ejections++
	e.failures = 0
	e.ejectedUntil = now.Add(duration)
	e.usable = false
}

// recordSuccess resets the count of consecutive failures. EjectMax after the end of
// the last ejection it also resets the duration of the next one.
func (e *endpoint) recordSuccess(now time.Time, cfg Config) {
	e.failures = 0
	if now.Sub(e.ejectedUntil) > cfg.EjectMax {
		e.ejections = 0
	}
}

func (e *endpoint) isEjected(now time.Time) bool { return now.Before(e.ejectedUntil) }

// updateUsable recomputes whether the endpoint is usable. The slow start begins when it has
// become usable again.
func (e *endpoint) updateUsable(now time.Time, cfg Config) {
	if e.statusAt.IsZero() {
		// No status has arrived yet. The members in the first view are not treated
		// as returning, so that they get no slow start.
		e.usable = e.usable && !e.member.OutOfUse
		return
	}
	usable := !e.member.OutOfUse && !e.isEjected(now) && e.hasRecentStatus(now, cfg)
	if usable && !e.usable {
		e.returnedAt = now
	}
	e.usable = usable
}

// hasRecentStatus reports whether the latest status is a success within StatusTTL.
func (e *endpoint) hasRecentStatus(now time.Time, cfg Config) bool {
	return !e.statusAt.IsZero() && !e.status.Failed && now.Sub(e.statusAt) <= cfg.StatusTTL
}
