package hedge

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// simRoute is a route whose time-out leaves no time for a sequential second attempt.
var simRoute = Route{Target: 400 * time.Millisecond, Timeout: time.Second}

// simulate plays reads at two endpoints. latency returns the time of an answer, or a negative
// one if the answer is lost. It is the same with and without hedges.
func simulate(reads int, hedged bool, latency func(rng *rand.Rand, read int, endpoint string) time.Duration) (inTime, timedOut, hedges int) {
	p, key := NewPlanner(), Key{Endpoint: "a"}
	for i := range reads {
		plan, ok := p.Plan(simRoute, "s", key)
		rng := rand.New(rand.NewPCG(1, uint64(i)))
		took, second := latency(rng, i, "a"), latency(rng, i, "b")
		if took >= 0 {
			p.Observe(key, took)
		} else {
			took = simRoute.Timeout
		}
		if hedged && ok && took > plan.After && p.Take("s") {
			hedges++
			if second >= 0 {
				took = min(took, plan.After+second)
			}
		}
		if took <= simRoute.Target {
			inTime++
		}
		if took >= simRoute.Timeout {
			timedOut++
		}
	}
	return inTime, timedOut, hedges
}

// TestSimulatedHedges guards against lost answers that time out although another endpoint could
// answer, and against more hedges than a tenth of the reads when all endpoints are slow. Latencies
// are log-normal with a mean of 35 ms.
func TestSimulatedHedges(t *testing.T) {
	const reads = 20000
	for _, load := range []struct {
		name string
		// lost reports whether an answer is lost, slow by how much one is slower.
		lost func(rng *rand.Rand, read int, endpoint string) bool
		slow func(read int) float64
	}{
		{name: "usual"},
		{name: "one answer in 200 lost", lost: func(rng *rand.Rand, _ int, _ string) bool { return rng.IntN(200) == 0 }},
		{name: "one endpoint silent for 10 of 1000 reads", lost: func(_ *rand.Rand, read int, e string) bool { return read%1000 >= 990 && e == "a" }},
		{name: "all slower by 8 in the second half", slow: func(read int) float64 { return 1 + 7*float64(read/(reads/2)) }},
	} {
		latency := func(rng *rand.Rand, read int, endpoint string) time.Duration {
			if load.lost != nil && load.lost(rng, read, endpoint) {
				return -1
			}
			took := 35 * math.Exp(0.7*rng.NormFloat64()-0.245)
			if load.slow != nil {
				took *= load.slow(read)
			}
			return time.Duration(took * float64(time.Millisecond))
		}
		inTime, timedOut, _ := simulate(reads, false, latency)
		hedgedInTime, hedgedTimedOut, hedges := simulate(reads, true, latency)
		t.Logf("%-42s in time %.4f -> %.4f, timed out %d -> %d, hedges %.3f of the reads", load.name,
			float64(inTime)/reads, float64(hedgedInTime)/reads, timedOut, hedgedTimedOut, float64(hedges)/reads)
		if hedges*10 > reads || hedgedInTime < inTime || hedgedTimedOut > timedOut || load.lost != nil && hedgedTimedOut > timedOut/10 {
			t.Errorf("%s: want at most a tenth of hedges, no fewer reads in time, and a tenth of the lost ones timed out", load.name)
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
