// Package pacing limits how many statements a host has in progress at an endpoint
// at once (adaptive concurrency limit). The hosts of a fleet have no information
// about each other's load; each infers it from the latency of its own statements.
// If that is far above the baseline, statements queue at the endpoint, where they
// can be neither prioritized nor withdrawn. The host then sends fewer statements at
// once, and the others wait in its own queue. The package performs no I/O and reads
// no clock.
package pacing

import "time"

// Config holds the settings of a Limit.
type Config struct {
	// High and Low are bounds of the mean excess latency, the time above the baseline.
	// Above High the limit is reduced by a factor, below Low it is raised by one.
	High time.Duration
	Low  time.Duration
	// Samples and Interval are the minimum number of statements and the minimum time
	// between two changes of the limit.
	Samples  int
	Interval time.Duration
}

// DefaultConfig returns settings for statements of about 10 to 100 ms whose callers
// expect a reply within 200 ms. They leave a queue of one or two statements at the
// endpoint, so that its slots are never idle.
func DefaultConfig() Config {
	return Config{High: 50 * time.Millisecond, Low: 20 * time.Millisecond, Samples: 8, Interval: 100 * time.Millisecond}
}

// decreaseFactor is the factor by which the limit is multiplied in a reduction.
const decreaseFactor = 0.75

// Limit bounds the number of statements in progress at one endpoint. There is no
// bound until the excess latency first exceeds Config.High, and none again once the
// limit has risen to the host's maximum. It is not safe for concurrent use.
type Limit struct {
	cfg       Config
	bounded   bool
	limit     float64
	sum       time.Duration
	count     int
	changedAt time.Time
}

// NewLimit returns a Limit without a bound.
func NewLimit(cfg Config) *Limit { return &Limit{cfg: cfg} }

// Allowed returns how many statements may be in progress, given the maximum that
// other limits of the host allow. It is at least one if the maximum is.
func (l *Limit) Allowed(maximum int) int {
	if !l.bounded || int(l.limit) >= maximum {
		return maximum
	}
	return min(max(int(l.limit), 1), maximum)
}

// Observe records the excess latency of a completed statement and adjusts the limit.
// The maximum is the same as for Allowed.
func (l *Limit) Observe(now time.Time, excess time.Duration, maximum int) {
	l.sum += excess
	l.count++
	if l.count < l.cfg.Samples || now.Sub(l.changedAt) < l.cfg.Interval {
		return
	}
	mean := l.sum / time.Duration(l.count)
	l.sum, l.count, l.changedAt = 0, 0, now
	switch {
	case mean > l.cfg.High:
		l.limit = max(1, float64(l.Allowed(maximum))*decreaseFactor)
		l.bounded = true
	case mean < l.cfg.Low && l.bounded:
		l.limit++
		l.bounded = int(l.limit) < maximum
	}
}
