package core

import (
	"errors"
	"testing"
	"time"
)

// TestWitnessReportsWhatItObserves asks a host to probe an endpoint that it does not use: first one
// that cannot be reached, which it probes until it can, then one that answers.
func TestWitnessReportsWhatItObserves(t *testing.T) {
	f := newFixture(t)
	down := make(chan bool, 100)
	f.endpoints.dial = func(string) error {
		select {
		case <-down:
			return errors.New("no route")
		default:
			return nil
		}
	}
	down <- true
	down <- true
	f.server.Witness("p")
	f.server.Witness("p") // it is probed already
	f.waitEvidence(3)
	f.mu.Lock()
	got := f.evidence
	f.mu.Unlock()
	for i, e := range got {
		if want := i < 2; e.Unreachable != want || e.Endpoint != "p" || e.Service != "logs" {
			t.Errorf("report %d is %+v, want an endpoint of logs that is unreachable: %v", i, e, want)
		}
	}
	f.server.Witness("unknown")
	f.publish(-time.Second)
	f.server.Witness("r1")
	f.server.mu.Lock()
	defer f.server.mu.Unlock()
	if f.server.witnessed["r1"] || f.server.witnessed["unknown"] {
		t.Error("an unknown endpoint is probed, or one without a lease")
	}
}

// waitEvidence waits for the number of reports.
func (f *fixture) waitEvidence(n int) {
	f.t.Helper()
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(time.Millisecond) {
		f.mu.Lock()
		reports := len(f.evidence)
		f.mu.Unlock()
		switch {
		case reports >= n:
			return
		case time.Now().After(end):
			f.t.Fatalf("%d reports, want %d", reports, n)
		}
	}
}
