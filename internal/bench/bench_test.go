package bench

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/history"
	"github.com/galenabridge/galenabridge/internal/note"
)

// loadProfiles returns the profiles that the repository ships.
func loadProfiles(t *testing.T) []*Profile {
	t.Helper()
	paths, err := filepath.Glob("../../profiles/*.json")
	if err != nil || len(paths) < 2 {
		t.Fatalf("found profiles %v (error %v), want at least 2", paths, err)
	}
	var out []*Profile
	for _, path := range paths {
		p, err := LoadProfile(path)
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		out = append(out, p)
	}
	return out
}

func TestParseProfileAcceptsShippedRejectsInvalid(t *testing.T) {
	loadProfiles(t)
	for _, bad := range []string{
		`{}`, `{"name":"x","unknown":1}`,
		`{"name":"x","hosts":1,"domains":[{"name":"d","region":"r"}],
		  "services":[{"name":"s","endpoints":1,"slots":1,"connections":1}],
		  "workspaces":[{"name":"w","class":"bulk","rate":1,"burst":1,"callers":1,"mix":{"nothing":1}}]}`,
	} {
		if _, err := ParseProfile([]byte(bad)); err == nil {
			t.Errorf("accepted an invalid profile: %s", bad)
		}
	}
}

func TestRunDirectHasNoViolations(t *testing.T) {
	p := loadProfiles(t)[0]
	p.Faults = nil
	direct, err := NewDirect(p, 0)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- direct.Run(ctx) }()
	res, err := Run(ctx, Options{Profile: p, Target: direct.Target(), Duration: 2 * time.Second, Seed: 1})
	cancel()
	<-done
	if err != nil {
		t.Fatal(err)
	}
	if !res.Checked || res.Violations.Total() != 0 || len(res.Workspaces) != len(p.Workspaces) {
		t.Errorf("checked %v, violations %+v, %d workspaces; want a completed check, no violations and all workspaces",
			res.Checked, res.Violations, len(res.Workspaces))
	}
	for class, f := range res.Classes {
		if f.Served == 0 || f.P50 <= 0 {
			t.Errorf("class %s: %+v, want served requests and a positive p50", class, f)
		}
	}
	dir := t.TempDir()
	if err := res.SavePlots(dir); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"latency.png", "share.png", "replicas.png", "refusals.png"} {
		if info, err := os.Stat(filepath.Join(dir, name)); err != nil || info.Size() == 0 {
			t.Errorf("plot %s is missing or empty: %v", name, err)
		}
	}
}

// Guards against a final check that misses lost writes, doubled writes or writes
// stored although they were reported as not run.
func TestCheckStoredCountsEachKindOfViolation(t *testing.T) {
	sent := []*sentWrite{
		{id: "kept", outcome: history.Acked}, {id: "lost", outcome: history.Acked}, {id: "twice", outcome: history.Acked},
		{id: "refused", outcome: history.NotRun}, {id: "ran", outcome: history.NotRun},
		{id: "open", outcome: history.Unknown}, {id: "open twice", outcome: history.Unknown},
	}
	stored := map[string]int{"kept": 1, "twice": 2, "ran": 1, "open twice": 2}
	var v Violations
	v.checkStored("correction", sent, stored)
	if v.Lost != 1 || v.Doubled != 2 || v.RanAnyway != 1 {
		t.Errorf("%+v", v)
	}
}

func TestCompareCountsExceededBounds(t *testing.T) {
	base := func() *Result {
		return &Result{
			Classes:      map[note.Class]Stats{note.ClassInteractive: {P50: 1, P99: 10}},
			ReplicaShare: 0.95, WorstShare: 1, LongestWriteGaps: map[string]float64{"ledger": 1}, Checked: true,
		}
	}
	worse := map[string]func(*Result){
		"p50":      func(r *Result) { r.Classes[note.ClassInteractive] = Stats{P50: 2, P99: 10} },
		"p99":      func(r *Result) { r.Classes[note.ClassInteractive] = Stats{P50: 1, P99: 20} },
		"replicas": func(r *Result) { r.ReplicaShare = 0.5 },
		"worst":    func(r *Result) { r.WorstShare = 0.5 },
		"gap":      func(r *Result) { r.LongestWriteGaps["ledger"] = 3 },
		"lost":     func(r *Result) { r.Violations.Lost = 1 },
		"check":    func(r *Result) { r.Checked = false },
	}
	var out bytes.Buffer
	if n := Compare(&out, base(), base(), DefaultBounds); n != 0 {
		t.Errorf("equal results exceed %d bounds:\n%s", n, out.String())
	}
	for name, change := range worse {
		r := base()
		change(r)
		if n := Compare(&out, base(), r, DefaultBounds); n != 1 {
			t.Errorf("%s: %d bounds exceeded, want 1", name, n)
		}
	}
}
