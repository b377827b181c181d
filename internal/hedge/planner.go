package hedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// ratio is the number of hedges that each read adds to the budget of its service.
	ratio = 0.1
	// maxTokens is the largest number of hedges that a budget holds. When an endpoint stops
	// answering, a host has about as many reads in progress there (4 to 9).
	maxTokens = 10
	// quantile is the percentile of the latencies of a key that counts as usual. If
	// latencies do not change, one read in twenty is late.
	quantile = 95
	// firstSamples is the number of reads after which the usual latency is known, windowSize
	// the number after which it is computed again, from the reads since.
	firstSamples = 32
	windowSize   = 128
	// maxKeys bounds the memory for latencies, at about 2.5 KB a key. A host is home to a
	// few services, with a few routes and three endpoints each.
	maxKeys = 1024
)

// Units of the histograms: a tenth of a millisecond, up to a minute.
const (
	unit     = 100 * time.Microsecond
	maxUnits = int64(time.Minute / unit)
)

// Key identifies the reads that have a usual latency in common.
type Key struct {
	Database string
	Kind     string
	Endpoint string
}

// Planner learns the usual latency of reads by route and endpoint, and holds the budget for
// hedges of each service. It is not safe for concurrent use.
type Planner struct {
	latencies map[Key]*latency
	tokens    map[string]float64
}

// latency holds the usual latency of a key and the samples since it was computed.
type latency struct {
	usual   time.Duration
	samples *hdrhistogram.Histogram
}

// NewPlanner returns a Planner that knows no latency and has empty budgets.
func NewPlanner() *Planner {
	return &Planner{latencies: make(map[Key]*latency), tokens: make(map[string]float64)}
}

// Plan credits the budget of the service for a first attempt of a read, and returns when a
// hedge is considered. It reports false if the read must not be hedged.
func (p *Planner) Plan(r Route, service string, k Key) (Plan, bool) {
	p.tokens[service] = min(p.tokens[service]+ratio, maxTokens)
	var usual time.Duration
	if l := p.latencies[k]; l != nil {
		usual = l.usual
	}
	return r.plan(usual)
}

// Take takes the budget of a service for one hedge, and reports false if there is none.
// All budgets begin empty, so that the hedges never exceed a tenth of the reads.
func (p *Planner) Take(service string) bool {
	if p.tokens[service] < 1 {
		return false
	}
	p.tokens[service]--
	return true
}

// GiveBack returns the budget of a hedge that was not sent.
func (p *Planner) GiveBack(service string) { p.tokens[service]++ }

// Observe records the latency of a read that was answered.
func (p *Planner) Observe(k Key, took time.Duration) {
	l := p.latencies[k]
	if l == nil {
		if len(p.latencies) >= maxKeys {
			clear(p.latencies)
		}
		l = &latency{samples: hdrhistogram.New(1, maxUnits, 1)}
		p.latencies[k] = l
	}
	// The value is inside the bounds of the histogram, the only cause of an error.
	_ = l.samples.RecordValue(min(max(int64(took/unit), 1), maxUnits))
	n := l.samples.TotalCount()
	if n >= windowSize || l.usual == 0 && n >= firstSamples {
		l.usual = time.Duration(l.samples.ValueAtQuantile(quantile)) * unit
	}
	if n >= windowSize {
		l.samples.Reset()
	}
}
