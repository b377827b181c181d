package limits

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestRetryHintFollowsCause(t *testing.T) {
	for name, tc := range map[string]struct {
		refusal refusal
		want    time.Duration
	}{
		"no owner answers":            {refusal{waiting: 50}, takeoverRetryHint},
		"over the rate, no share":     {refusal{overloaded: true, waiting: 50}, overloadRetryHint},
		"over the rate, short queue":  {refusal{overloaded: true, waiting: 3, rate: 10, nextToken: 50 * time.Millisecond}, 450 * time.Millisecond},
		"over the rate, next is due":  {refusal{overloaded: true, rate: 100, nextToken: -time.Second}, minRetryHint},
		"over the rate, endless wait": {refusal{overloaded: true, waiting: 1000, rate: 1}, maxRetryHint},
	} {
		if got := tc.refusal.retryAfter(0); got != tc.want {
			t.Errorf("%s: %v, want %v", name, got, tc.want)
		}
	}
}

// TestRetryHintsSpreadRefusedCallers refuses the requests of an outage at once, the load of
// an election while the owner of a rate is lost. It guards against callers that all return in
// the same moment.
func TestRetryHintsSpreadRefusedCallers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		r := refusal{
			overloaded: rapid.Bool().Draw(t, "overloaded"), waiting: rapid.IntRange(0, 1000).Draw(t, "waiting"),
			rate: rapid.Float64Range(0, 500).Draw(t, "rate"), nextToken: time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "next_ms")) * time.Millisecond,
		}
		const callers = 400
		var returns []time.Duration
		for range callers {
			returns = append(returns, r.retryAfter(rng.Float64()))
		}
		first, last := slices.Min(returns), slices.Max(returns)
		if first < minRetryHint || last > maxRetryHint+time.Duration(retrySpread*float64(maxRetryHint)) {
			t.Fatalf("hints from %v to %v, want them within the bounds", first, last)
		}
		tenth := (last - first) / 10
		for i := range 10 {
			from := first + time.Duration(i)*tenth
			n := 0
			for _, at := range returns {
				if at >= from && at < from+tenth {
					n++
				}
			}
			if n > callers/5 {
				t.Errorf("%d of %d callers return in a tenth of the time, want at most a fifth", n, callers)
			}
		}
	})
}
