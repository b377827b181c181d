// Package pacing limits how many statements a host has in progress at an endpoint
// at once (adaptive concurrency limit). The hosts of a fleet have no information
// about each other's load; each infers it from the latency of its own statements.
// If that latency is far above the baseline, statements queue at the endpoint, where
// they can be neither prioritized nor withdrawn. The host then sends fewer statements at
// once, and the others wait in its own queue. The package performs no I/O and reads
// no clock.
package pacing

import "time"

// Config holds the settings of a Limit.
type Config struct {
	// If the mean excess latency (time above the baseline) is more than DecreaseAbove,
	// the limit is multiplied by decreaseFactor. If it is less than IncreaseBelow, the
	// limit is raised by one.
	DecreaseAbove time.Duration
	IncreaseBelow time.Duration
	// MinSamples and MinInterval are the minimum number of statements and the minimum
	// time between two adjustments of the limit.
	MinSamples  int
	MinInterval time.Duration
}

// DefaultConfig returns settings for statements of about 10 to 100 ms whose callers
// expect a reply within 200 ms. They leave a queue of one or two statements at the
// endpoint, so that its slots are never idle.
func DefaultConfig() Config {
	return Config{DecreaseAbove: 50 * time.Millisecond, IncreaseBelow: 20 * time.Millisecond, MinSamples: 8, MinInterval: 100 * time.Millisecond}
}

// decreaseFactor is the factor by which the limit is multiplied in a reduction.
const decreaseFactor = 0.75

// Limit bounds the number of statements in progress at one endpoint. It begins at a number
// of statements and rises, until there is no bound once it has reached the host's maximum. There
// is one again when the mean excess latency exceeds Config.DecreaseAbove. It is not safe for
// concurrent use.
type Limit struct {
	cfg       Config
	bounded   bool
	limit     float64
	sum       time.Duration
	count     int
	changedAt time.Time
}

// NewLimit returns a Limit that begins at a number of statements (StartOf).
func NewLimit(cfg Config, start int) *Limit {
	return &Limit{cfg: cfg, bounded: true, limit: float64(start)}
}

// queueFactor is how many statements all hosts together begin to send, for each slot of an
// endpoint: as many wait there as run, so that no slot is idle.
const queueFactor = 2

// StartOf returns the number of statements that a host begins to send to an endpoint with the
// given slots, which so many hosts use. It answers the load of a fleet that comes back: the
// statements of all callers wait at the hosts, and no host has seen a latency yet. An endpoint
// refuses what does not fit into its queue.
func StartOf(slots, hosts int) int {
	hosts = max(hosts, 1)
	return max((queueFactor*slots+hosts-1)/hosts, minStart)
}

// minStart is the least number of statements to begin with.
const minStart = 2

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
	if l.count < l.cfg.MinSamples || now.Sub(l.changedAt) < l.cfg.MinInterval {
		return
	}
	mean := l.sum / time.Duration(l.count)
	l.sum, l.count, l.changedAt = 0, 0, now
	switch {
	case mean > l.cfg.DecreaseAbove:
		l.limit = max(1, float64(l.Allowed(maximum))*decreaseFactor)
		l.bounded = true
	case mean < l.cfg.IncreaseBelow && l.bounded:
		l.limit++
		l.bounded = int(l.limit) < maximum
	}
}
