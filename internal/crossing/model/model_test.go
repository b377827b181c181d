package model

import (
	"flag"
	"testing"
	"time"
)

var seed = flag.Uint64("seed", 1, "seed of the simulations")

// base returns a fleet of 100 hosts over three domains, each with a replica that serves 240 reads a
// second and is half loaded.
func base() Config {
	return Config{
		Seed: *seed, Hosts: 100, Slots: []int{24, 24, 24}, Load: []float64{120, 120, 120}, Work: 100 * time.Millisecond,
		Target: time.Second, RoundTrip: 6 * time.Millisecond, Bytes: 960,
	}
}

// TestScenarios compares what callers get with the fixed cost and with the decision, 30 to 90 s
// after the start. Bounds are parts of the reads of the first domain; of reads within the target 0.99
// are expected, in the other domains always.
func TestScenarios(t *testing.T) {
	const missed = 0.01
	const unserved = 2 // no bound: what the domain alone cannot serve is not served in time
	third := 1.0 / 3   // of the reads of a domain that is short by a half cannot be served there
	for _, c := range []struct {
		name string
		set  func(*Config)
		// missed is the greatest part late or refused, crossed the greatest part that crosses. Zero: not
		// above what the fixed cost gives, in all domains, with 0.01 for chance where reads are missed.
		missed, crossed float64
	}{
		{"calm", func(*Config) {}, missed, 0.001},
		{"short by 10%", func(c *Config) { c.Load = []float64{264, 72, 72} }, missed, 1},
		{"short by 50%", func(c *Config) { c.Load = []float64{360, 72, 72} }, missed, 1},
		{"short by 100%", func(c *Config) { c.Load = []float64{480, 72, 72} }, missed, 1},
		{"all short", func(c *Config) { c.Load = []float64{360, 360, 360} }, 0, 0},
		{"all short after calm", func(c *Config) {
			c.Load = []float64{360, 360, 360}
			c.LoadAt = func(_ int, now time.Duration) float64 {
				if now < 20*time.Second {
					return 1. / 3
				}
				return 1
			}
		}, 0, 0},
		{"short by 50%, slow link", func(c *Config) { c.Load[0], c.RoundTrip = 360, 900*time.Millisecond }, third, 1},
		{"short by 50%, link beyond the timeout", func(c *Config) { c.Load[0], c.RoundTrip = 360, 3*time.Second }, unserved, 0.06},
		{"short by 50%, information 2 s late", func(c *Config) { c.Load[0], c.Delay = 360, 8 }, third, 1},
		{"short by 50%, no information from 20 s", func(c *Config) { c.Load[0], c.BlindFrom = 360, 20*time.Second }, unserved, 0.06},
		{"no replica", func(c *Config) { c.Slots[0] = 0 }, missed, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := base()
			c.set(&cfg)
			var fixed Totals
			for _, cfg.Decide = range []bool{false, true} {
				s := New(cfg)
				s.Run(30 * time.Second)
				s.Reset()
				s.Run(90 * time.Second)
				first, all := s.ByDomain[0], s.Total()
				t.Logf("decision %t: first domain late %.4f refused %.4f crossed %.3f; all late %.4f refused %.4f, %d bytes crossed",
					cfg.Decide, first.LateShare(), first.RefusedShare(), first.CrossedShare(), all.LateShare(), all.RefusedShare(), all.CrossedBytes)
				if !cfg.Decide {
					fixed = all
					continue
				}
				if m := first.missedShare(); c.missed > 0 && m > c.missed {
					t.Errorf("%.4f of the reads are late or refused, want at most %.4f", m, c.missed)
				}
				if c.crossed > 0 && first.CrossedShare() > c.crossed {
					t.Errorf("%.4f of the reads cross, want at most %.4f", first.CrossedShare(), c.crossed)
				}
				if c.crossed == 0 && all.CrossedShare() > fixed.CrossedShare() {
					t.Errorf("%.4f of the reads cross, want at most %.4f as with the fixed cost", all.CrossedShare(), fixed.CrossedShare())
				}
				if m := all.missedShare() - fixed.missedShare(); c.missed == 0 && m > 0.01 {
					t.Errorf("%.4f more of the reads are late or refused than with the fixed cost, want at most 0.01", m)
				}
				for d, other := range s.ByDomain[1:] {
					if m := other.missedShare(); c.missed > 0 && m > missed {
						t.Errorf("domain %d, which had room: %.4f of the reads are late or refused, want at most %.2f", d+1, m, missed)
					}
				}
			}
		})
	}
}

// TestOscillation guards against hosts that swing together: over 10,000 steps, after 240 for the
// start, a domain short by a half lets between half of the third that must leave and two thirds
// cross, of which the others have no more room.
func TestOscillation(t *testing.T) {
	cfg := base()
	cfg.Decide, cfg.Load[0] = true, 360
	s := New(cfg)
	s.Run(time.Minute)
	s.Reset()
	low, high := 1.0, 0.0
	for range 10_000 {
		s.Run(s.now + 250*time.Millisecond)
		low, high = min(low, s.Fraction(0)), max(high, s.Fraction(0))
	}
	first := s.ByDomain[0]
	t.Logf("fraction %.3f to %.3f, late %.4f refused %.4f crossed %.3f", low, high, first.LateShare(), first.RefusedShare(), first.CrossedShare())
	if low < 1./6 || high > 2./3 {
		t.Errorf("the fraction is between %.3f and %.3f, want between 0.167 and 0.667", low, high)
	}
	if m := first.missedShare(); m > 0.01 {
		t.Errorf("%.4f of the reads are late or refused, want at most 0.01", m)
	}
}

// missedShare returns the part of the reads that were late or refused.
func (t Totals) missedShare() float64 { return t.LateShare() + t.RefusedShare() }
