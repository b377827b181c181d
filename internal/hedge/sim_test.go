package hedge

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// simRoute is a route whose time-out leaves no time for a sequential second attempt.
var simRoute = Route{Target: 400 * time.Millisecond, Timeout: time.Second}

// outcome counts the reads of a simulation.
type outcome struct{ reads, inTime, timedOut, hedges int }

// simulate plays reads at two endpoints. latency returns the time of an answer, or a negative
// one if the answer is lost. It is the same with and without hedges.
func simulate(seed uint64, reads int, hedged bool, latency func(rng *rand.Rand, read int, endpoint string) time.Duration) outcome {
	p := NewPlanner()
	o := outcome{reads: reads}
	for i := range reads {
		plan, ok := p.Plan(simRoute, "s", Key{Endpoint: "a"})
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		took, second := latency(rng, i, "a"), latency(rng, i, "b")
		if took >= 0 {
			p.Observe(Key{Endpoint: "a"}, took)
		} else {
			took = simRoute.Timeout
		}
		if hedged && ok && took > plan.After && p.Take("s") {
			o.hedges++
			if second >= 0 {
				took = min(took, plan.After+second)
			}
		}
		if took <= simRoute.Target {
			o.inTime++
		}
		if took >= simRoute.Timeout {
			o.timedOut++
		}
	}
	return o
}

// draw returns a log-normal latency with a mean of 35 ms.
func draw(rng *rand.Rand) time.Duration {
	return time.Duration(float64(35*time.Millisecond) * math.Exp(0.7*rng.NormFloat64()-0.245))
}

// TestSimulatedHedges guards against lost answers that time out although another endpoint could
// answer, and against more hedges than a tenth of the reads when all endpoints are slow.
func TestSimulatedHedges(t *testing.T) {
	const reads = 20000
	loads := map[string]struct {
		lost    bool // answers of single endpoints are lost
		latency func(rng *rand.Rand, read int, endpoint string) time.Duration
	}{
		"usual": {false, func(rng *rand.Rand, _ int, _ string) time.Duration { return draw(rng) }},
		"one answer in 200 lost": {true, func(rng *rand.Rand, _ int, _ string) time.Duration {
			if rng.IntN(200) == 0 {
				return -1
			}
			return draw(rng)
		}},
		"one endpoint silent for 10 of 1000 reads": {true, func(rng *rand.Rand, read int, endpoint string) time.Duration {
			if read%1000 >= 990 && endpoint == "a" {
				return -1
			}
			return draw(rng)
		}},
		"all slower by 8 in the second half": {false, func(rng *rand.Rand, read int, _ string) time.Duration {
			if read > reads/2 {
				return 8 * draw(rng)
			}
			return draw(rng)
		}},
	}
	for name, load := range loads {
		before, after := simulate(1, reads, false, load.latency), simulate(1, reads, true, load.latency)
		t.Logf("%-42s in time %.4f -> %.4f, timed out %d -> %d, hedges %.3f of the reads", name,
			float64(before.inTime)/reads, float64(after.inTime)/reads, before.timedOut, after.timedOut, float64(after.hedges)/reads)
		if after.hedges*10 > reads {
			t.Errorf("%s: %d hedges for %d reads, want at most a tenth", name, after.hedges, reads)
		}
		allowed := before.timedOut
		if load.lost {
			allowed /= 10
		}
		if after.inTime < before.inTime || after.timedOut > allowed {
			t.Errorf("%s: %d in time and %d timed out without hedges, %d and %d with; want at most %d timed out", name, before.inTime, before.timedOut, after.inTime, after.timedOut, allowed)
		}
	}
}

// TestActiveRoutes checks that only routes without time for a sequential second attempt are
// hedged, and that both attempts end before the time-out.
func TestActiveRoutes(t *testing.T) {
	for _, c := range []struct {
		target, timeout time.Duration
		active          bool
	}{{400, 1000, true}, {2000, 5000, true}, {250, 1000, false}, {200, 2000, false}, {0, 1000, false}, {1000, 1000, true}} {
		r := Route{Target: c.target * time.Millisecond, Timeout: c.timeout * time.Millisecond}
		for _, usual := range []time.Duration{0, 10 * time.Millisecond, r.Timeout / 3, r.Timeout} {
			plan, ok := r.plan(usual)
			if ok && !c.active || !ok && c.active && usual < r.Timeout/2 {
				t.Errorf("%+v with the usual latency %v: hedged %v", r, usual, ok)
			}
			if ok && (plan.After < usual || plan.After < r.Target/floorDivisor || plan.Lost < plan.After || plan.Lost+plan.After > r.Timeout) {
				t.Errorf("%+v with the usual latency %v: plan %+v", r, usual, plan)
			}
		}
	}
}
