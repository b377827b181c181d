// Package pacing bounds how many statements a host has in progress at an
// endpoint at once. The hosts of a fleet do not know each other's load; each
// sees it in the time that its own statements take. While they take much longer
// than usual, the endpoint has a queue, in which nothing can be put first or given
// up: the host then lets fewer statements go there at once, and the others wait in
// its own queue. The package performs no I/O and reads no clock.
package pacing

import "time"

// Config holds the settings of a Limit.
type Config struct {
	// High and Low bound the mean time beyond the usual that statements spend at
	// the endpoint: above High fewer are let go, below Low one more.
	High time.Duration
	Low  time.Duration
	// Samples and Interval are the least number of statements and the least time
	// between two changes.
	Samples  int
	Interval time.Duration
}

// DefaultConfig returns bounds for statements of some 10 to 100 ms whose callers
// expect an answer within 200 ms: a queue of one or two statements is left to the
// endpoint, so that its slots never fall idle.
func DefaultConfig() Config {
	return Config{High: 50 * time.Millisecond, Low: 20 * time.Millisecond, Samples: 8, Interval: 100 * time.Millisecond}
}

// decrease is the part of the limit that is left by a reduction.
const decreaseFactor = 0.75

// Limit is the number of statements in progress at one endpoint. It is not safe
// for concurrent use. The zero value with a Config has no bound yet.
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

// Allowed returns how many statements may be in progress, of most that the host
// may have for other reasons. It is at least one if most is.
func (l *Limit) Allowed(most int) int {
	if !l.bounded || int(l.limit) >= most {
		return most
	}
	return min(max(int(l.limit), 1), most)
}

// Observe notes by how much a statement took longer than usual, of most that may
// be in progress.
func (l *Limit) Observe(now time.Time, excess time.Duration, most int) {
	l.sum += excess
	l.count++
	if l.count < l.cfg.Samples || now.Sub(l.changedAt) < l.cfg.Interval {
		return
	}
	mean := l.sum / time.Duration(l.count)
	l.sum, l.count, l.changedAt = 0, 0, now
	switch {
	case mean > l.cfg.High:
		l.limit = max(1, float64(l.Allowed(most))*decreaseFactor)
		l.bounded = true
	case mean < l.cfg.Low && l.bounded:
		l.limit++
		l.bounded = int(l.limit) < most
	}
}
