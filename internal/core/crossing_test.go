package core

import (
	"bytes"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/crossing"
)

// place puts endpoints into failure domains; the host is in "d".
func (f *fixture) place(domains map[string]string) {
	for id, domain := range domains {
		e := f.state.Endpoints[id]
		e.Domain = domain
		f.state.Endpoints[id] = e
	}
	f.publish(time.Hour)
}

// setLoad sets what the host knows about an endpoint of the fixture.
func (f *fixture) setLoad(id string, inflight int, suspected bool) {
	e := f.server.endpoint(f.state.Endpoints[id])
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inflight, e.suspected = inflight, suspected
}

// setPlan replaces the plan for the service. The server makes a new one within crossing.Interval.
func (f *fixture) setPlan(p crossing.Plan) {
	f.server.crossings.mu.Lock()
	defer f.server.crossings.mu.Unlock()
	f.server.crossings.services["logs"].plan = p
}

func (f *fixture) pickRead() choice {
	f.t.Helper()
	c, err := f.server.pickEndpoint(clock.Now(), need{service: "logs", workspace: "crew", target: 200 * time.Millisecond, timeout: time.Second})
	if err != nil {
		f.t.Fatal(err)
	}
	return c
}

// TestSingleDomainChoosesAsBefore guards against a change of the choice, or any state about crossing,
// in fleets whose endpoints are in one failure domain: that of the host or another one.
func TestSingleDomainChoosesAsBefore(t *testing.T) {
	for _, domain := range []string{"d", "e"} {
		f := newFixtureWith(t, new(float64))
		f.place(map[string]string{"p": domain, "r1": domain, "r2": domain})
		preferred := f.server.preferredReplica(f.view.Current(), f.state.Groups["logs"])
		rng := rand.New(rand.NewPCG(1, 1))
		for range 2000 {
			costs, least := map[string]float64{}, math.Inf(1)
			for _, id := range []string{"p", "r1", "r2"} {
				inflight, suspected := rng.IntN(4), rng.IntN(8) == 0
				f.setLoad(id, inflight, suspected)
				cost := float64(inflight) + 2.0 // no connection is idle
				if id == "p" {
					cost += 1.6
				}
				if id != preferred {
					cost += 0.8
				}
				if suspected {
					cost += 100
				}
				costs[id], least = cost, min(least, cost)
			}
			if c := f.pickRead(); costs[c.endpoint.record.ID] >= least+0.1 || c.cause != "" {
				t.Fatalf("chose %s for cause %q with costs %v", c.endpoint.record.ID, c.cause, costs)
			}
		}
		f.server.stepCrossings(clock.Now())
		f.server.crossings.mu.Lock()
		if n := len(f.server.crossings.services); n != 0 {
			t.Errorf("%d decisions about crossing, want none", n)
		}
		f.server.crossings.mu.Unlock()
	}
}

// TestWithoutPriceChoosesAsBefore guards against a change of the choice, or any state about crossing,
// in fleets whose operators have set no price of it: a remote replica costs as much as one and a half
// statements in progress.
func TestWithoutPriceChoosesAsBefore(t *testing.T) {
	f := newFixture(t)
	f.place(map[string]string{"p": "e", "r1": "d", "r2": "e"})
	for inflight, want := range []string{"r1", "r1", "r1", "r2", "r2"} { // 1.5 for the domain, 0.8 for the preferred replica
		f.setLoad("r1", inflight, false)
		if c := f.pickRead(); c.endpoint.record.ID != want || c.cause != "" {
			t.Errorf("%d in progress: chose %s for cause %q, want %s", inflight, c.endpoint.record.ID, c.cause, want)
		}
	}
	f.server.stepCrossings(clock.Now())
	if n := len(f.server.crossings.services); n != 0 {
		t.Errorf("%d decisions about crossing, want none", n)
	}
}

// TestReadAcrossDomains guards the use of the decision: where reads go and for which cause.
func TestReadAcrossDomains(t *testing.T) {
	half := crossing.Plan{Fraction: 0.5, Cause: crossing.CauseShort, Weights: map[string]float64{"r2": 1}}
	for _, c := range []struct {
		name    string
		domains map[string]string
		plan    crossing.Plan
		busy    string // the endpoint with 50 statements in progress
		lost    string // the endpoint that is suspected
		want    map[string]float64
		cause   crossing.Cause
	}{
		{"target met", map[string]string{"p": "e", "r2": "f"}, crossing.Plan{Cause: crossing.CauseNone}, "r1", "", map[string]float64{"r1": 1}, crossing.CauseNone},
		{"half leaves", map[string]string{"p": "e", "r2": "f"}, half, "r2", "", map[string]float64{"r1": 0.5, "r2": 0.5}, crossing.CauseShort},
		{"local replica lost", map[string]string{"p": "e", "r2": "f"}, crossing.Plan{Cause: crossing.CauseNone}, "", "r1", map[string]float64{"r2": 1}, causeUnhealthy},
		{"remote replica lost", map[string]string{"p": "e", "r2": "f"}, half, "", "r2", map[string]float64{"r1": 1}, crossing.CauseNone},
		{"only the primary", map[string]string{"r1": "e", "r2": "e"}, crossing.Plan{Cause: crossing.CauseNone}, "r1", "", map[string]float64{"r2": 1}, crossing.CauseNoReplica},
		{"no endpoint", map[string]string{"p": "e", "r1": "e", "r2": "f"}, crossing.Plan{Cause: crossing.CauseNoReplica, Fraction: 1, Weights: map[string]float64{"r2": 1}}, "", "", map[string]float64{"r2": 1}, crossing.CauseNoReplica},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixtureWith(t, new(float64))
			f.place(c.domains)
			f.pickRead()
			for _, id := range []string{"p", "r1", "r2"} {
				inflight := 0
				if id == c.busy {
					inflight = 50
				}
				f.setLoad(id, inflight, id == c.lost)
			}
			const n = 2000
			got := map[string]float64{}
			for range n {
				f.setPlan(c.plan)
				choice := f.pickRead()
				got[choice.endpoint.record.ID] += 1. / n
				want := c.cause
				if choice.endpoint.record.Domain == "d" {
					want = crossing.CauseNone
				}
				if choice.cause != want {
					t.Fatalf("cause %q of a read at %s, want %q", choice.cause, choice.endpoint.record.ID, want)
				}
			}
			for id, share := range got {
				if math.Abs(share-c.want[id]) > 0.1 {
					t.Errorf("the shares are %v, want %v", got, c.want)
				}
			}
		})
	}
}

// TestCrossingFollowsLoad guards the inputs of the decision and the volume of its log: a local replica
// that is slow for 20 s and fast for 20 s, in turn.
func TestCrossingFollowsLoad(t *testing.T) {
	f := newFixtureWith(t, new(float64))
	var lines bytes.Buffer
	f.server.opts.Log = log.New(&lines)
	f.place(map[string]string{"p": "e", "r2": "f"})
	local, remote := f.server.endpoint(f.state.Endpoints["r1"]), f.server.endpoint(f.state.Endpoints["r2"])
	begun := clock.Now()
	now := begun
	observe := func(e *endpoint, took time.Duration) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.latency.Observe(now, took)
	}
	const steps = 1600
	highest := 0.0
	for step := range steps {
		now = now.Add(crossing.Interval)
		slow := step%160 >= 80
		for range 5 {
			f.pickRead()
			took := 20 * time.Millisecond
			observe(remote, took)
			if slow {
				took = time.Second
			}
			observe(local, took)
		}
		f.server.stepCrossings(now)
		f.server.crossings.mu.Lock()
		fraction := f.server.crossings.services["logs"].plan.Fraction
		f.server.crossings.mu.Unlock()
		if step < 80 && fraction != 0 {
			t.Fatalf("step %d: %.3f of the reads leave while the target is met", step, fraction)
		}
		highest = max(highest, fraction)
	}
	if highest < 0.5 {
		t.Errorf("at most %.3f of the reads leave while the local replica is slow, want at least 0.5", highest)
	}
	if n, most := bytes.Count(lines.Bytes(), []byte("crossing_changed")), int(now.Sub(begun)/crossingLogSpacing)+1; n < 2 || n > most {
		t.Errorf("%d lines, want 2 to %d:\n%s", n, most, lines.String())
	}
}
