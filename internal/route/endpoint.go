package route

import (
	"math"
	"time"
)

const (
	// minLatency is the least average latency that enters the load.
	minLatency = 500 * time.Microsecond
	// minRamp is the share of a replica that has just returned.
	minRamp = 0.1
	// maxEjections bounds the exponent of the time of an ejection.
	maxEjections = 16
)

// endpoint is what this host knows of one member of the group.
type endpoint struct {
	member  Member
	status  Status
	seen    time.Time // arrival of the status
	running int

	latency  time.Duration // average, as of measured
	measured time.Time

	failures  int // consecutive
	ejections int // since the last quiet time
	ejected   time.Time
	// returned is when the endpoint last came back into use.
	returned time.Time
	usable   bool
	// freshAt is a time such that the replica holds everything that the
	// primary had written by then.
	freshAt time.Time
}

// load estimates how long a further request would take here.
func (e *endpoint) load(now time.Time, cfg Config) float64 {
	latency := max(e.average(now, cfg), minLatency)
	return latency.Seconds() * float64(e.running+1) / e.ramp(now, cfg)
}

// average returns the latency, which decays while the endpoint is unused, so
// that it is tried again.
func (e *endpoint) average(now time.Time, cfg Config) time.Duration {
	return time.Duration(float64(e.latency) * e.decay(now, cfg))
}

func (e *endpoint) decay(now time.Time, cfg Config) float64 {
	if e.measured.IsZero() {
		return 0
	}
	age := max(now.Sub(e.measured), 0)
	return math.Exp(-age.Seconds() / cfg.LatencyWindow.Seconds())
}

// measure takes a latency into the average.
func (e *endpoint) measure(now time.Time, latency time.Duration, cfg Config) {
	keep := e.decay(now, cfg)
	keep = min(keep, 1-minGain)
	e.latency = time.Duration(keep*float64(e.latency) + (1-keep)*float64(latency))
	e.measured = now
}

// minGain is the least weight of the newest latency in the average.
const minGain = 0.05

// ramp returns the share of the endpoint's capacity in use after a return.
func (e *endpoint) ramp(now time.Time, cfg Config) float64 {
	if e.returned.IsZero() {
		return 1
	}
	share := now.Sub(e.returned).Seconds() / cfg.SlowStart.Seconds()
	return min(max(share, minRamp), 1)
}

// fail counts a failed request and ejects the endpoint when mayEject allows.
func (e *endpoint) fail(now time.Time, cfg Config, mayEject bool) {
	e.failures++
	if e.failures < cfg.EjectAfter || !mayEject {
		return
	}
	wait := cfg.EjectBase << min(e.ejections, maxEjections)
	if wait > cfg.EjectMax {
		wait = cfg.EjectMax
	}
	e.ejections++
	e.failures = 0
	e.ejected = now.Add(wait)
	e.usable = false
}

// succeed ends a row of failures; after a quiet time the next ejection is a
// short one again.
func (e *endpoint) succeed(now time.Time, cfg Config) {
	e.failures = 0
	if now.Sub(e.ejected) > cfg.EjectMax {
		e.ejections = 0
	}
}

func (e *endpoint) isEjected(now time.Time) bool { return now.Before(e.ejected) }

// review notes when the endpoint leaves and comes back into use.
func (e *endpoint) review(now time.Time, cfg Config) {
	if e.seen.IsZero() {
		// Nothing is known yet; what a host finds when it starts is not new.
		e.usable = e.usable && !e.member.Out
		return
	}
	usable := !e.member.Out && !e.isEjected(now) && e.answers(now, cfg)
	if usable && !e.usable {
		e.returned = now
	}
	e.usable = usable
}

// answers reports whether the endpoint's latest status is good and recent.
func (e *endpoint) answers(now time.Time, cfg Config) bool {
	return !e.seen.IsZero() && !e.status.Failed && now.Sub(e.seen) <= cfg.StatusTTL
}
