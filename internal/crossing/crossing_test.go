package crossing

import (
	"testing"
	"time"
)

// fleet returns the state of a host that has one replica beside it, with a queue of 1 s, and one in
// each of two other domains with room, the second with a third of it.
func fleet() Input {
	ep := func(id string, local bool, free int) Endpoint {
		return Endpoint{ID: id, Local: local, Latency: 50 * time.Millisecond, Floor: 50 * time.Millisecond, Free: free}
	}
	in := Input{Target: 200 * time.Millisecond, Timeout: time.Second, Reads: 100, Endpoints: []Endpoint{ep("l", true, 0), ep("a", false, 6), ep("b", false, 2)}}
	in.Endpoints[0].Wait = time.Second
	return in
}

// steps returns the plan after n steps with the same input.
func steps(d *Decider, in Input, n int) Plan {
	var p Plan
	for range n {
		p = d.Step(in)
	}
	return p
}

// TestStepRules guards single rules: what leaves, and whereto, in a state that lasts.
func TestStepRules(t *testing.T) {
	for _, c := range []struct {
		name  string
		set   func(*Input)
		cause Cause
		// low and high bound the fraction after 200 steps.
		low, high float64
	}{
		{"short", func(*Input) {}, CauseShort, 0.5, most},
		{"target met", func(in *Input) { in.Endpoints[0].Wait = 10 * time.Millisecond }, CauseNone, 0, 0},
		{"no target", func(in *Input) { in.Target = 0 }, CauseNone, 0, 0},
		{"price above the wait", func(in *Input) { in.Price = 2 * time.Second }, CauseNone, 0, 0},
		{"others loaded", func(in *Input) {
			in.Endpoints[1].Latency, in.Endpoints[2].Latency = 150*time.Millisecond, 150*time.Millisecond
		}, CauseNone, 0, 0},
		{"others unknown", func(in *Input) { in.Endpoints[1].Age, in.Endpoints[2].Age = time.Minute, time.Minute }, CauseProbe, probeShare, probeShare},
		{"others cut", func(in *Input) { in.Endpoints = in.Endpoints[:1] }, CauseNone, 0, 0},
		{"no replica", func(in *Input) { in.Endpoints = in.Endpoints[1:] }, CauseNoReplica, 1, 1},
		{"only the primary, others loaded", func(in *Input) {
			in.Endpoints[0].Primary, in.Endpoints[0].Wait = true, 0
			in.Endpoints[1].Free, in.Endpoints[2].Free = 0, 0
		}, CauseNoReplica, 0, 0},
		{"only the primary, all loaded", func(in *Input) {
			in.Endpoints[0].Primary = true
			in.Endpoints[1].Free, in.Endpoints[2].Free = 0, 0
		}, CauseNoReplica, 0.66, 0.67},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, in := NewDecider("h", "s"), fleet()
			c.set(&in)
			if p := steps(d, in, 200); p.Cause != c.cause || p.Fraction < c.low || p.Fraction > c.high {
				t.Errorf("got cause %s and fraction %.3f, want %s and between %.3f and %.3f", p.Cause, p.Fraction, c.cause, c.low, c.high)
			}
		})
	}
}

// TestSpreadByRoomAndReturn guards the division over the endpoints, the retreat within 2 s from
// domains that have become loaded, and the return to a local replica that has recovered.
func TestSpreadByRoomAndReturn(t *testing.T) {
	d, in := NewDecider("h", "s"), fleet()
	p := steps(d, in, 200)
	if a, b := p.Weights["a"], p.Weights["b"]; a < 2.9*b || a > 3.1*b {
		t.Errorf("weights %v, want three times as much for a", p.Weights)
	}
	loaded := fleet()
	loaded.Endpoints[1].Free, loaded.Endpoints[2].Free = 0, 0
	if p := steps(d, loaded, 8); p.Fraction > 0.2 {
		t.Errorf("the fraction is %.3f 2 s after the others became loaded, want at most 0.2", p.Fraction)
	}
	steps(d, in, 200)
	in.Endpoints[0].Wait = 0
	lost := fleet()
	lost.Endpoints = lost.Endpoints[1:]
	if p := d.Step(lost); p.Fraction != 1 {
		t.Errorf("the fraction is %.3f without a replica, want 1", p.Fraction)
	}
	if p := steps(d, in, 400); p.Fraction != 0 {
		t.Errorf("the fraction is %.3f 100 s after the local replica recovered, want 0", p.Fraction)
	}
}
