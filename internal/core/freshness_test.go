package core

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestFreshnessBoundIncludesOlderAcknowledgements guards against a staleness bound that
// omits a write acknowledged longer ago than the allowed age. Writes and answers of the
// primary come at random times.
func TestFreshnessBoundIncludesOlderAcknowledgements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFreshness()
		now := time.Unix(100, 0)
		var acked []sample
		number := uint64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				number++
				acked = append(acked, sample{at: now, position: Position{Term: 3, Number: number}})
			case 1:
				f.observe("s", 1, now, Position{Term: 3, Number: number})
			default:
				age := time.Duration(rapid.IntRange(100, 3000).Draw(t, "age")) * time.Millisecond
				p, ok := f.bound("s", 1, now, age)
				for _, a := range acked {
					if ok && a.at.Before(now.Add(-age)) && p.Compare(a.position) < 0 {
						t.Fatalf("bound %v does not include %v, acknowledged %v before", p, a.position, now.Sub(a.at))
					}
				}
			}
		}
	})
}

func TestFreshnessDropsSamplesOfFormerTerm(t *testing.T) {
	f := newFreshness()
	now := time.Unix(100, 0)
	f.observe("s", 1, now, Position{Term: 3, Number: 9})
	if _, ok := f.bound("s", 2, now, time.Second); ok {
		t.Error("a sample of the former term was used")
	}
	f.observe("s", 2, now, Position{Term: 4, Number: 7})
	f.observe("s", 1, now.Add(time.Second), Position{Term: 3, Number: 12})
	if p, ok := f.bound("s", 2, now, time.Second); !ok || p.Number != 7 {
		t.Errorf("bound %v %v, want the position 7 of the current term", p, ok)
	}
}
