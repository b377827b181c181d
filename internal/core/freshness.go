package core

import (
	"sync"
	"time"
)

const (
	// sampleSpacing is the least time between two samples that are kept.
	sampleSpacing = 50 * time.Millisecond
	// sampleRetention is how long samples are kept: twice the longest staleness that a
	// route of the deployed sites allows (2.5 s). A read that allows more uses the oldest
	// sample, which is stricter than required.
	sampleRetention = 5 * time.Second
	// stalenessMargin is subtracted from the staleness that a route allows. It covers the
	// time from the first byte of the caller's request until the read is routed.
	stalenessMargin = 50 * time.Millisecond
	// inquiryWait bounds the wait for the position that another read asks the primary for: half
	// of the shortest latency target of a route (200 ms).
	inquiryWait = 100 * time.Millisecond
)

// sample is an observed position of a primary: every write acknowledged before at is
// included in it.
type sample struct {
	at       time.Time
	position Position
}

// freshness keeps the recent positions of primaries by service. Every answer of a
// primary carries its position, so sampling needs no extra requests. It is safe for
// concurrent use.
type freshness struct {
	// wait bounds the wait for the answer to an inquiry; it is inquiryWait outside of tests.
	wait time.Duration

	mu        sync.Mutex
	services  map[string]*samples
	inquiries map[string]inquiry
}

// inquiry is a read that goes to the primary of a service since no position is known, and
// learns one for the reads that follow.
type inquiry struct {
	term  uint64
	begun time.Time
	// answered is closed when a position has become known.
	answered chan struct{}
}

// samples holds the samples of one service in one term of the group. A later term
// replaces them.
type samples struct {
	term uint64
	list []sample // oldest first
}

func newFreshness() *freshness {
	return &freshness{wait: inquiryWait, services: make(map[string]*samples), inquiries: make(map[string]inquiry)}
}

// observe records the position in an answer from the primary of a term. at is the time at
// which the statement was sent, so that the position covers all writes acknowledged
// before. A zero position is ignored.
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
		return // a late answer from a former term
	}
	if n := len(s.list); n > 0 && at.Sub(s.list[n-1].at) < sampleSpacing {
		return
	}
	s.list = append(s.list, sample{at: at, position: p})
	expired := 0
	for expired < len(s.list)-1 && at.Sub(s.list[expired].at) > sampleRetention {
		expired++
	}
	s.list = append(s.list[:0:0], s.list[expired:]...)
	if q, ok := f.inquiries[service]; ok && q.term <= term {
		delete(f.inquiries, service)
		close(q.answered)
	}
}

// inquire begins an inquiry for a read that lacks a position, and returns nil. If one has begun
// less than f.wait ago, it returns the channel that is closed with the answer. It answers
// the load after a fleet was lost: the reads of all callers come together, no host knows a
// position, and the primary alone cannot run them.
func (f *freshness) inquire(service string, term uint64, now time.Time) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	q, ok := f.inquiries[service]
	if ok && q.term == term && now.Sub(q.begun) < f.wait {
		return q.answered
	}
	f.inquiries[service] = inquiry{term: term, begun: now, answered: make(chan struct{})}
	return nil
}

// bound returns the lowest recorded position that includes every write acknowledged more
// than age ago. It reports false when no sample of the term is recent enough.
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
