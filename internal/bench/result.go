package bench

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/note"
)

// Stats are the measurements of a group of requests.
type Stats struct {
	Offered  int            `json:"offered"`
	Served   int            `json:"served"`
	Refusals map[string]int `json:"refusals,omitempty"`
	// Latencies are in milliseconds from the intended start.
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
	// Share is served / offered, where offered is capped by what the rate and
	// burst of the workspace allow. It is set for workspaces alone.
	Share float64 `json:"share,omitempty"`
}

// SecondStats holds the figures of one second.
type SecondStats struct {
	Classes  map[note.Class]Stats `json:"classes"`
	Refusals map[string]int       `json:"refusals,omitempty"`
}

// FaultEvent is a fault as it was caused.
type FaultEvent struct {
	At     float64 `json:"at_s"`
	Action Action  `json:"action"`
	Target string  `json:"target,omitempty"`
	Error  string  `json:"error,omitempty"`
}

// Result is the outcome of a run.
type Result struct {
	Profile      string               `json:"profile"`
	Policy       string               `json:"policy"`
	Version      string               `json:"version"`
	Seed         uint64               `json:"seed"`
	Duration     float64              `json:"duration_s"`
	Workspaces   map[string]Stats     `json:"workspaces"`
	Classes      map[note.Class]Stats `json:"classes"`
	Operations   map[Operation]Stats  `json:"operations"`
	ReplicaShare float64              `json:"replica_share"`
	// WorstShare is the lowest share of a workspace.
	WorstShare       float64            `json:"worst_share"`
	LongestWriteGaps map[string]float64 `json:"longest_write_gap_s"`
	Violations       Violations         `json:"violations"`
	Faults           []FaultEvent       `json:"faults,omitempty"`
	Seconds          []SecondStats      `json:"seconds"`
	// Checked reports that the final comparison with the stored records ran.
	Checked bool `json:"checked"`
}

const microsecondsPerMillisecond = 1000

func (t *tally) figures() Stats {
	ms := func(us int64) float64 { return float64(us) / microsecondsPerMillisecond }
	return Stats{
		Offered: t.offered, Served: t.served, Refusals: t.refusals,
		P50: ms(t.latency.ValueAtQuantile(50)), P99: ms(t.latency.ValueAtQuantile(99)), Max: ms(t.latency.Max()),
	}
}

func figuresOf[K comparable](m map[K]*tally) map[K]Stats {
	out := make(map[K]Stats, len(m))
	for key, t := range m {
		out[key] = t.figures()
	}
	return out
}

// result summarizes the run.
func (r *recorder) result(p *Profile, duration float64) *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	res := &Result{
		Profile: p.Name, Duration: duration, Workspaces: figuresOf(r.workspaces), Classes: figuresOf(r.classes),
		Operations: figuresOf(r.ops), LongestWriteGaps: make(map[string]float64), Violations: r.violations, Faults: r.faults,
		WorstShare: 1,
	}
	for _, w := range p.Workspaces {
		f, ok := res.Workspaces[w.Name]
		if !ok {
			continue
		}
		f.Share = share(w, f, duration)
		res.Workspaces[w.Name] = f
		res.WorstShare = min(res.WorstShare, f.Share)
	}
	if r.reads > 0 {
		res.ReplicaShare = float64(r.replicas) / float64(r.reads)
	}
	for service, gap := range r.gaps {
		res.LongestWriteGaps[service] = gap.Seconds()
	}
	for _, s := range r.seconds {
		res.Seconds = append(res.Seconds, SecondStats{Classes: figuresOf(s.classes), Refusals: s.refusals})
	}
	return res
}

// share returns the part of the requests within the workspace's rate and burst
// that were served.
func share(w Workspace, f Stats, duration float64) float64 {
	allowed := min(float64(f.Offered), w.Rate*duration+w.Burst)
	if allowed <= 0 {
		return 1
	}
	return min(float64(f.Served)/allowed, 1)
}

// Save writes the result as JSON.
func (r *Result) Save(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode result")
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "write result")
}

// LoadResult reads a result.
func LoadResult(path string) (*Result, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read result")
	}
	var r Result
	return &r, errors.Wrapf(json.Unmarshal(data, &r), "result %s", path)
}
