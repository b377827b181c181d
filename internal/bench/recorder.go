package bench

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/galenabridge/galenabridge/internal/history"
	"github.com/galenabridge/galenabridge/internal/note"
)

// Range of the latency histograms in microseconds, and their precision in
// significant decimal digits.
const (
	lowestLatency  = 1
	highestLatency = 120_000_000
	latencyDigits  = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
}

// sample is the measurement of one finished or dropped request.
type sample struct {
	workspace string
	class     note.Class
	op        Operation
	service   string
	intended  time.Time
	finished  time.Time
	outcome   history.Outcome
	cause     string
	replica   bool
}

// counters counts the requests of one workspace, class or operation. latency
// covers the served ones only.
type counters struct {
	latency  *hdrhistogram.Histogram
	offered  int
	served   int
	refusals map[string]int
}

func newCounters() *counters {
	return &counters{latency: newHistogram(), refusals: make(map[string]int)}
}

func (c *counters) add(s sample) {
	c.offered++
	if s.outcome != history.Acked {
		c.refusals[s.cause]++
		return
	}
	c.served++
	// The value is within the histogram's range, so that recording does not fail.
	_ = c.latency.RecordValue(min(s.finished.Sub(s.intended).Microseconds()+1, highestLatency))
}

// secondCounters counts the requests that finished within one second of the run.
type secondCounters struct {
	classes  map[note.Class]*counters
	refusals map[string]int
}

// recorder collects the samples of a run. It is safe for concurrent use.
type recorder struct {
	mu         sync.Mutex
	start      time.Time
	workspaces map[string]*counters
	classes    map[note.Class]*counters
	ops        map[Operation]*counters
	// seconds holds the counters of each second since start.
	seconds []*secondCounters
	// reads counts the served reads, replicaReads those that a replica served.
	reads        int
	replicaReads int
	// lastWrite and longestGaps hold, by service, the last acknowledged write and the
	// longest time without one. The first gap starts with the run; the time after
	// the last acknowledged write is not counted, so that a service that never
	// accepts a write again has no gap for it.
	lastWrite   map[string]time.Time
	longestGaps map[string]time.Duration
	violations  Violations
	faults      []FaultEvent
}

func newRecorder(start time.Time) *recorder {
	return &recorder{
		start: start, workspaces: make(map[string]*counters), classes: make(map[note.Class]*counters),
		ops: make(map[Operation]*counters), lastWrite: make(map[string]time.Time),
		longestGaps: make(map[string]time.Duration),
	}
}

// countersOf returns the counters of key and creates them if needed.
func countersOf[K comparable](m map[K]*counters, key K) *counters {
	c, ok := m[key]
	if !ok {
		c = newCounters()
		m[key] = c
	}
	return c
}

// recordRequest counts a finished or dropped request.
func (r *recorder) recordRequest(s sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	countersOf(r.workspaces, s.workspace).add(s)
	countersOf(r.classes, s.class).add(s)
	countersOf(r.ops, s.op).add(s)
	sec := r.secondAt(s.finished)
	countersOf(sec.classes, s.class).add(s)
	if s.outcome != history.Acked {
		sec.refusals[s.cause]++
		return
	}
	switch s.op {
	case OpFile, OpCorrect:
		r.recordWrite(s)
	default:
		r.reads++
		if s.replica {
			r.replicaReads++
		}
	}
}

// recordWrite updates the longest write gap. The caller must hold r.mu.
func (r *recorder) recordWrite(s sample) {
	last, ok := r.lastWrite[s.service]
	if !ok {
		last = r.start
	}
	r.longestGaps[s.service] = max(r.longestGaps[s.service], s.finished.Sub(last))
	r.lastWrite[s.service] = s.finished
}

// secondAt returns the counters of the second that contains at. Times before the
// start belong to the first second. The caller must hold r.mu.
func (r *recorder) secondAt(at time.Time) *secondCounters {
	i := max(int(at.Sub(r.start)/time.Second), 0)
	for len(r.seconds) <= i {
		r.seconds = append(r.seconds, &secondCounters{classes: make(map[note.Class]*counters), refusals: make(map[string]int)})
	}
	return r.seconds[i]
}

// recordViolation applies a change to the violations under the lock.
func (r *recorder) recordViolation(change func(*Violations)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.violations)
}

func (r *recorder) recordFault(e FaultEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, e)
}

// progress returns the totals for the progress line.
func (r *recorder) progress() (served, refused, violations int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.classes {
		served += c.served
		refused += c.offered - c.served
	}
	return served, refused, r.violations.Total()
}
