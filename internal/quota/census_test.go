package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestANewOwnerNeedNotWaitForHoldersThatHaveToldAll takes a key over from an
// owner while every holder can be reached: the rest of the limit is granted
// long before unknown leases would have run out.
func TestANewOwnerNeedNotWaitForHoldersThatHaveToldAll(t *testing.T) {
	f := newFleet(1, 2, 3, map[string]Limit{"k": {Rate: 100, Burst: 100}})
	f.step(time.Millisecond)
	f.take(f.entries[0], "k")
	for range 20 {
		f.step(50 * time.Millisecond)
	}
	was := f.controls[0]
	if was.owner.keys["k"] == nil {
		was = f.controls[1]
	}
	var rest []string
	for _, c := range f.controls {
		if c != was {
			rest = append(rest, c.name)
		}
	}
	f.changeOwners(rest)
	f.learnAll()
	granted := 0
	for range 40 { // two seconds, below the time of authority alone
		f.step(50 * time.Millisecond)
		f.take(f.entries[1], "k") // had no share before
	}
	for _, e := range f.entries {
		if e.holder.Rate(e.clock(f.now), "k") > 0 {
			granted++
		}
	}
	if granted == 0 || f.entries[1].holder.Rate(f.entries[1].clock(f.now), "k") == 0 {
		t.Error("the new holder got no share within two seconds")
	}
	if v := f.violation(); v != "" {
		t.Error(v)
	}
}

// TestASilentHolderIsWaitedFor isolates a holder with a lease while the owner
// changes.
func TestASilentHolderIsWaitedFor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 2, 3, map[string]Limit{"k": {Rate: 20, Burst: 20}})
		f.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		f.step(time.Millisecond)
		for range 20 {
			f.take(f.entries[0], "k")
			f.step(50 * time.Millisecond)
		}
		f.entries[0].isolated = true
		f.changeOwners([]string{f.controls[rapid.IntRange(0, 1).Draw(t, "owner")].name})
		f.learnAll()
		for range 200 {
			f.step(50 * time.Millisecond)
			f.take(f.entries[0], "k") // goes on under its lease
			f.take(f.entries[1], "k")
			f.take(f.entries[2], "k")
		}
		if v := f.violation(); v != "" {
			t.Error(v)
		}
	})
}
