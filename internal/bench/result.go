package bench

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/note"
)

// Stats holds the counts and latencies of a group of requests. Offered includes
// requests that the generator dropped.
type Stats struct {
	Offered int `json:"offered"`
	Served  int `json:"served"`
	// Refusals counts, by cause, all requests that were not served, including
	// those whose outcome is unknown.
	Refusals map[string]int `json:"refusals,omitempty"`
	// P50, P99 and Max are latencies of the served requests in milliseconds,
	// counted from the intended start.
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
	// Share is served / offered, where offered is capped by the rate and burst of
	// the workspace. It is set for workspaces only.
	Share float64 `json:"share,omitempty"`
}

// SecondStats holds the measurements of one second of the run.
type SecondStats struct {
	Classes map[note.Class]Stats `json:"classes"`
	// Refusals counts the requests of all classes that were not served, by cause.
	Refusals map[string]int `json:"refusals,omitempty"`
}

// FaultEvent is an injected fault.
type FaultEvent struct {
	// At is the time since the start of the load in seconds.
	At     float64 `json:"at_s"`
	Action Action  `json:"action"`
	Target string  `json:"target,omitempty"`
	// Error is the reason why the injection failed, or empty.
	Error string `json:"error,omitempty"`
}

// Result holds the measurements of a run and the violations that it found.
type Result struct {
	Profile    string               `json:"profile"`
	Policy     string               `json:"policy"`
	Version    string               `json:"version"`
	Seed       uint64               `json:"seed"`
	Duration   float64              `json:"duration_s"`
	Workspaces map[string]Stats     `json:"workspaces"`
	Classes    map[note.Class]Stats `json:"classes"`
	Operations map[Operation]Stats  `json:"operations"`
	// ReplicaShare is the fraction of the served reads that replicas served.
	ReplicaShare float64 `json:"replica_share"`
	// WorstShare is the lowest share of any workspace.
	WorstShare float64 `json:"worst_share"`
	// LongestWriteGaps holds the longest time without an acknowledged write in
	// seconds, by service.
	LongestWriteGaps map[string]float64 `json:"longest_write_gap_s"`
	Violations       Violations         `json:"violations"`
	Faults           []FaultEvent       `json:"faults,omitempty"`
	Seconds          []SecondStats      `json:"seconds"`
	// Checked reports that the comparison with the stored rows was completed.
	Checked bool `json:"checked"`
}

const microsecondsPerMillisecond = 1000

// stats returns the counts, and the latencies in milliseconds.
func (c *counters) stats() Stats {
	ms := func(us int64) float64 { return float64(us) / microsecondsPerMillisecond }
	return Stats{
		Offered: c.offered, Served: c.served, Refusals: c.refusals,
		P50: ms(c.latency.ValueAtQuantile(50)), P99: ms(c.latency.ValueAtQuantile(99)), Max: ms(c.latency.Max()),
	}
}

func statsOf[K comparable](m map[K]*counters) map[K]Stats {
	out := make(map[K]Stats, len(m))
	for key, c := range m {
		out[key] = c.stats()
	}
	return out
}

// result returns the result of the run, whose duration is in seconds, before the
// comparison with the stored rows.
func (r *recorder) result(p *Profile, duration float64) *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	res := &Result{
		Profile: p.Name, Duration: duration, Workspaces: statsOf(r.workspaces), Classes: statsOf(r.classes),
		Operations: statsOf(r.ops), LongestWriteGaps: make(map[string]float64), Violations: r.violations, Faults: r.faults,
		WorstShare: 1,
	}
	for _, w := range p.Workspaces {
		stats, ok := res.Workspaces[w.Name]
		if !ok {
			continue
		}
		stats.Share = share(w, stats, duration)
		res.Workspaces[w.Name] = stats
		res.WorstShare = min(res.WorstShare, stats.Share)
	}
	if r.reads > 0 {
		res.ReplicaShare = float64(r.replicaReads) / float64(r.reads)
	}
	for service, gap := range r.longestGaps {
		res.LongestWriteGaps[service] = gap.Seconds()
	}
	for _, s := range r.seconds {
		res.Seconds = append(res.Seconds, SecondStats{Classes: statsOf(s.classes), Refusals: s.refusals})
	}
	return res
}

// share returns the served fraction of the requests that the workspace's rate and
// burst allow, between 0 and 1. It is 1 if none are allowed or offered.
func share(w Workspace, f Stats, duration float64) float64 {
	allowed := min(float64(f.Offered), w.Rate*duration+w.Burst)
	if allowed <= 0 {
		return 1
	}
	return min(float64(f.Served)/allowed, 1)
}

// Save writes the result as JSON to path.
func (r *Result) Save(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode result")
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "write result")
}

// LoadResult reads a result that Save has written.
func LoadResult(path string) (*Result, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read result")
	}
	var r Result
	return &r, errors.Wrapf(json.Unmarshal(data, &r), "decode result %s", path)
}
