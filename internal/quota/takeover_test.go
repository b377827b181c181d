package quota

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOwnerTakeoverGrantsOnceAllLeasesReported moves a key to a new owner while
// every holder is reachable. It guards against a new owner that waits until unknown
// leases have expired although all holders have reported theirs.
func TestOwnerTakeoverGrantsOnceAllLeasesReported(t *testing.T) {
	f := newFleet(1, 2, 3, map[string]Limit{"k": {Rate: 100, Burst: 100}})
	f.step(time.Millisecond)
	f.take(f.entries[0], "k")
	for range 20 {
		f.step(50 * time.Millisecond)
	}
	former := f.controls[0]
	if former.owner.keys["k"] == nil {
		former = f.controls[1]
	}
	var remaining []string
	for _, c := range f.controls {
		if c != former {
			remaining = append(remaining, c.name)
		}
	}
	f.changeOwners(remaining)
	f.propagateEpoch()
	granted := 0
	for range 40 { // two seconds, less than the default of Config.OwnerLease alone
		f.step(50 * time.Millisecond)
		f.take(f.entries[1], "k") // had no share under the former owner
	}
	for _, e := range f.entries {
		if e.holder.Rate(e.clock(f.now), "k") > 0 {
			granted++
		}
	}
	if granted == 0 || f.entries[1].holder.Rate(f.entries[1].clock(f.now), "k") == 0 {
		t.Error("new holder got no share within two seconds")
	}
	if v := f.violation(); v != "" {
		t.Error(v)
	}
}

// TestOwnerTakeoverIsolatedHolderStaysWithinLimit isolates a holder with a lease
// while the owner changes. The holder keeps spending under its lease, so the new
// owner must not grant that share to others before the lease has expired.
func TestOwnerTakeoverIsolatedHolderStaysWithinLimit(t *testing.T) {
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
		f.propagateEpoch()
		for range 200 {
			f.step(50 * time.Millisecond)
			f.take(f.entries[0], "k") // keeps spending under its lease
			f.take(f.entries[1], "k")
			f.take(f.entries[2], "k")
		}
		if v := f.violation(); v != "" {
			t.Error(v)
		}
	})
}

// TestFleetRestartBucketsRefillWhileDown restarts every process, lets a second pass
// without spending, and then requests the tokens accrued meanwhile. It guards
// against buckets that start empty after a restart of the whole fleet.
func TestFleetRestartBucketsRefillWhileDown(t *testing.T) {
	f := newFleet(1, 2, 3, map[string]Limit{"k": {Rate: 100, Burst: 100}})
	for range 200 {
		f.take(f.entries[0], "k")
		f.step(10 * time.Millisecond)
	}
	f.net = nil
	for _, e := range f.entries {
		f.startHolder(e)
	}
	for _, c := range f.controls {
		f.startOwner(c)
	}
	const down = time.Second
	f.loss = 1 // hosts cannot reach each other yet
	for range 20 {
		f.step(down / 20)
	}
	f.loss = 0
	for range 4 {
		f.step(50 * time.Millisecond)
	}
	offered, waiting := 0, 0
	for range 20 { // a second
		for _, e := range f.entries {
			for range 4 {
				f.take(e, "k")
				offered++
			}
		}
		f.step(50 * time.Millisecond)
		for _, e := range f.entries {
			e.waiting = slices.DeleteFunc(e.waiting, func(key string) bool { return f.retry(e, key) })
		}
	}
	for _, e := range f.entries {
		waiting += len(e.waiting)
	}
	if served := offered - waiting; served < 150 { // three quarters
		t.Errorf("served %d of about 200 requests after an idle second, want at least 150", served)
	}
	if v := f.violation(); v != "" {
		t.Error(v)
	}
}

// TestOwnerAcceptsLeaseReportBeforeRegistration reports all leases of a process to
// an owner that is informed of the process only afterwards. The report must still
// end the quarantine.
func TestOwnerAcceptsLeaseReportBeforeRegistration(t *testing.T) {
	now := start
	o := NewOwner(Config{}, "c", 1, now)
	o.SetEpoch(now, 1, []string{"c"})
	o.SetHolders(now, []HolderID{{"h", 1}})
	o.SetOwnerLease(now.Add(time.Minute))
	o.SetLimit(now, "k", Limit{Rate: 10, Burst: 10}, false)
	o.Handle(now, Request{Host: "h", Incarnation: 2, Epoch: 1, OwnerIncarnation: 1, Seq: 1, Complete: true})
	o.SetHolders(now, []HolderID{{"h", 2}})
	reply := o.Handle(now, Request{Host: "h", Incarnation: 2, Epoch: 1, OwnerIncarnation: 1, Seq: 2, Keys: []KeyRequest{{Key: "k", Demand: 1}}})
	if len(reply.Grants) != 1 || reply.Grants[0].Share.Rate == 0 {
		t.Errorf("grants %+v, want one with a rate", reply.Grants)
	}
}
