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
	log   Log
	begun time.Time
	// answered is closed when a position has become known.
	answered chan struct{}
}

// samples holds the samples of one log. Those of another log of the service replace them.
type samples struct {
	log  Log
	list []sample // oldest first
}

func newFreshness() *freshness {
	return &freshness{wait: inquiryWait, services: make(map[string]*samples), inquiries: make(map[string]inquiry)}
}

// observe records the position in an answer from the primary of a log. at is the time at
// which the statement was sent, so that the position covers all writes acknowledged
// before. A zero position is ignored.
func (f *freshness) observe(log Log, at time.Time, p Position) {
	if p == (Position{}) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[log.Service]
	if s != nil && log.precedes(s.log) {
		return // a late answer from a former term
	}
	if s == nil || s.log != log {
		s = &samples{log: log}
		f.services[log.Service] = s
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
	if q, ok := f.inquiries[log.Service]; ok && !log.precedes(q.log) {
		delete(f.inquiries, log.Service)
		close(q.answered)
	}
}

// inquire begins an inquiry for a read that lacks a position, and returns nil. If one has begun
// less than f.wait ago, it returns the channel that is closed with the answer. It answers
// the load after a fleet was lost: the reads of all callers come together, no host knows a
// position, and the primary alone cannot run them.
func (f *freshness) inquire(log Log, now time.Time) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	q, ok := f.inquiries[log.Service]
	if ok && q.log == log && now.Sub(q.begun) < f.wait {
		return q.answered
	}
	f.inquiries[log.Service] = inquiry{log: log, begun: now, answered: make(chan struct{})}
	return nil
}

// bound returns the lowest recorded position that includes every write acknowledged more
// than age ago. It reports false when no sample of the log is recent enough.
func (f *freshness) bound(log Log, now time.Time, age time.Duration) (LogPosition, bool) {
	return f.since(log, now.Add(stalenessMargin-age))
}

// since returns the lowest recorded position of the log that was observed at a time or later.
func (f *freshness) since(log Log, at time.Time) (LogPosition, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[log.Service]
	if s == nil || s.log != log {
		return LogPosition{}, false
	}
	for _, sample := range s.list {
		if !sample.at.Before(at) {
			return LogPosition{log: log, position: sample.position}, true
		}
	}
	return LogPosition{}, false
}
