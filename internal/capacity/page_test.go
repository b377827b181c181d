package capacity

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
)

func loadJSON[T any](t *testing.T, path string) T {
	t.Helper()
	var v T
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(data, &v); err != nil {
		t.Fatal(err)
	}
	return v
}

// TestPageMatchesCommittedPage guards against a docs/CAPACITY.md that was not
// regenerated after a change of the model, the target or the measurements.
func TestPageMatchesCommittedPage(t *testing.T) {
	goal := loadJSON[Goal](t, "../../docs/capacity/target.json")
	measured := loadJSON[Measurements](t, "../../docs/capacity/slopes.json")
	sweep := loadJSON[Sweep](t, "../../docs/capacity/sweep.json")
	page, err := Page(goal, measured, sweep)
	if err != nil {
		t.Fatal(err)
	}
	committed, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != string(committed) {
		t.Error("docs/CAPACITY.md is out of date: run make capacity")
	}
}

func TestFitCollinearPointsIsExact(t *testing.T) {
	s := Fit("x", "n", "B", []Point{{0, 5}, {10, 25}, {20, 45}})
	if s.PerUnit != 2 || s.Base != 5 || s.R2 != 1 {
		t.Errorf("got %+v, want a slope of 2, a base of 5 and an R2 of 1", s)
	}
}

// TestPageMissingSlopeReturnsError guards against a page that counts the cost of a
// missing slope as zero.
func TestPageMissingSlopeReturnsError(t *testing.T) {
	goal := loadJSON[Goal](t, "../../docs/capacity/target.json")
	if _, err := Page(goal, Measurements{}, Sweep{}); err == nil || !strings.Contains(err.Error(), "no measurement") {
		t.Errorf("got %v, want an error with \"no measurement\"", err)
	}
}

// TestPageIncompleteSweepReturnsError guards against columns of a sweep that are shifted by a
// missing figure, and checks the verdict on what a row comes to at the target.
func TestPageIncompleteSweepReturnsError(t *testing.T) {
	goal := loadJSON[Goal](t, "../../docs/capacity/target.json")
	measured := loadJSON[Measurements](t, "../../docs/capacity/slopes.json")
	sweep := Sweep{Machines: []int{30, 100}, Served: []float64{1, 1}, Rows: []SweepRow{{What: "memory", Values: []float64{1}}}}
	if _, err := Page(goal, measured, sweep); err == nil || !strings.Contains(err.Error(), "memory") {
		t.Errorf("got %v, want an error that names the row", err)
	}
	for want, row := range map[string]SweepRow{
		"no bound": {AtTarget: 9}, "**misses** (bound 5)": {AtTarget: 9, Bound: 5}, "within half of the bound (bound 50)": {AtTarget: 9, Bound: 50},
	} {
		if got := row.Verdict(); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
