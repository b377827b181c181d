package bench

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/galenabridge/galenabridge/internal/history"
	"github.com/galenabridge/galenabridge/internal/note"
)

// Range and precision of histograms, in microseconds.
const (
	lowestLatency  = 1
	highestLatency = 120_000_000
	latencyDigits  = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
}

// sample is one finished request.
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

// tally counts the requests of one workspace, class or operation.
type tally struct {
	latency  *hdrhistogram.Histogram
	offered  int
	served   int
	refusals map[string]int
}

func newTally() *tally {
	return &tally{latency: newHistogram(), refusals: make(map[string]int)}
}

func (t *tally) add(s sample) {
	t.offered++
	if s.outcome != history.Acked {
		t.refusals[s.cause]++
		return
	}
	t.served++
	_ = t.latency.RecordValue(min(s.finished.Sub(s.intended).Microseconds()+1, highestLatency)) // in range
}

// second holds the requests that finished within one second of the run.
type second struct {
	classes  map[note.Class]*tally
	refusals map[string]int
}

// recorder collects the samples of a run. It is safe for concurrent use.
type recorder struct {
	mu         sync.Mutex
	start      time.Time
	workspaces map[string]*tally
	classes    map[note.Class]*tally
	ops        map[Operation]*tally
	seconds    []*second
	reads      int
	replicas   int
	// lastWrite and gaps follow the longest time without an acknowledged write,
	// by service.
	lastWrite  map[string]time.Time
	gaps       map[string]time.Duration
	violations Violations
	faults     []FaultEvent
}

func newRecorder(start time.Time) *recorder {
	return &recorder{
		start: start, workspaces: make(map[string]*tally), classes: make(map[note.Class]*tally),
		ops: make(map[Operation]*tally), lastWrite: make(map[string]time.Time), gaps: make(map[string]time.Duration),
	}
}

func tallyOf[K comparable](m map[K]*tally, key K) *tally {
	t, ok := m[key]
	if !ok {
		t = newTally()
		m[key] = t
	}
	return t
}

func (r *recorder) done(s sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tallyOf(r.workspaces, s.workspace).add(s)
	tallyOf(r.classes, s.class).add(s)
	tallyOf(r.ops, s.op).add(s)
	sec := r.secondOf(s.finished)
	tallyOf(sec.classes, s.class).add(s)
	if s.outcome != history.Acked {
		sec.refusals[s.cause]++
		return
	}
	switch s.op {
	case OpFile, OpCorrect:
		r.noteWrite(s)
	default:
		r.reads++
		if s.replica {
			r.replicas++
		}
	}
}

func (r *recorder) noteWrite(s sample) {
	last, ok := r.lastWrite[s.service]
	if !ok {
		last = r.start
	}
	r.gaps[s.service] = max(r.gaps[s.service], s.finished.Sub(last))
	r.lastWrite[s.service] = s.finished
}

func (r *recorder) secondOf(at time.Time) *second {
	i := max(int(at.Sub(r.start)/time.Second), 0)
	for len(r.seconds) <= i {
		r.seconds = append(r.seconds, &second{classes: make(map[note.Class]*tally), refusals: make(map[string]int)})
	}
	return r.seconds[i]
}

func (r *recorder) violation(change func(*Violations)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.violations)
}

func (r *recorder) fault(e FaultEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, e)
}

// progress returns the figures of the progress line.
func (r *recorder) progress() (served, refused, violations int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.classes {
		served += t.served
		refused += t.offered - t.served
	}
	return served, refused, r.violations.Total()
}
