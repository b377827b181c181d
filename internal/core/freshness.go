package core

import (
	"sync"
	"time"
)

const (
	// sampleSpacing bounds the samples that are kept: one for each interval.
	sampleSpacing = 50 * time.Millisecond
	// sampleMemory is how long samples are kept, twice the longest age that a
	// route of the sites allows (2.5 s). A read that allows more asks for the
	// oldest sample kept, which is stricter than it needs.
	sampleMemory = 5 * time.Second
	// stalenessMargin is taken off the age that a route allows, for the time from
	// the caller's first byte until the read is looked at.
	stalenessMargin = 50 * time.Millisecond
)

// sample is a position of a primary: whatever was acknowledged before at lies
// at or below it.
type sample struct {
	at       time.Time
	position Position
}

// freshness keeps the positions that primaries have shown, by service. Every
// answer of a primary carries one, so that they cost nothing. It is safe for
// concurrent use.
type freshness struct {
	mu       sync.Mutex
	services map[string]*samples
}

// samples are those of one service under one term of the group.
type samples struct {
	term uint64
	list []sample // oldest first
}

func newFreshness() *freshness {
	return &freshness{services: make(map[string]*samples)}
}

// observe notes the position in an answer of the primary of a term to a
// statement that was sent at the given time.
func (f *freshness) observe(service string, term uint64, at time.Time, p Position) {
	if p == (Position{}) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[service]
	if s == nil || s.term < term {
		s = &samples{term: term}
		f.services[service] = s
	}
	if s.term > term {
		return // an answer that outlived its term
	}
	if n := len(s.list); n > 0 && at.Sub(s.list[n-1].at) < sampleSpacing {
		return
	}
	s.list = append(s.list, sample{at: at, position: p})
	old := 0
	for old < len(s.list)-1 && at.Sub(s.list[old].at) > sampleMemory {
		old++
	}
	s.list = append(s.list[:0:0], s.list[old:]...)
}

// bound returns the least position known to include everything acknowledged
// longer ago than the age. It reports false when no sample is recent enough.
func (f *freshness) bound(service string, term uint64, now time.Time, age time.Duration) (Position, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[service]
	if s == nil || s.term != term {
		return Position{}, false
	}
	since := now.Add(stalenessMargin - age)
	for _, sample := range s.list {
		if !sample.at.Before(since) {
			return sample.position, true
		}
	}
	return Position{}, false
}
