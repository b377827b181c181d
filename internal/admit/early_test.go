package admit

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// earlyTarget is the target of the simulated requests, a usual one of the deployments.
const earlyTarget = 800 * time.Millisecond

// mixedLoad returns the streams of twelve workspaces in three classes, two of which send more
// than half of the requests, at a multiple of the capacity of the slots.
func mixedLoad(load float64, slots int) []stream {
	const service = 35 * time.Millisecond
	var streams []stream
	for i, share := range []float64{0.275, 0.275, 0.045, 0.045, 0.045, 0.045, 0.045, 0.045, 0.045, 0.045, 0.045, 0.045} {
		rate := load * share * float64(slots) / service.Seconds()
		streams = append(streams, stream{workspace: fmt.Sprintf("w%d", i), class: precedence[i%3], rate: rate, service: service})
	}
	return streams
}

// total adds up the results of simulations.
type total struct {
	arrived, served, inTime, retried, retriesInTime int
	held                                            []time.Duration
}

// add runs a simulation and adds its results.
func (t *total) add(streams []stream, slots int, early, retries bool, seed uint64) {
	s := newSimulator(PolicyFair, seed, slots, streams)
	s.deadline, s.cutOff, s.retries = earlyTarget, true, retries
	if early {
		s.target = earlyTarget
	}
	for _, o := range s.run() {
		t.arrived += o.arrived
		t.served += o.served
		t.retried += o.retried
		t.retriesInTime += o.retriesInTime
		t.held = append(t.held, o.held...)
		for _, l := range o.latency {
			if l <= earlyTarget {
				t.inTime++
			}
		}
	}
	slices.Sort(t.held)
}

// heldAt returns a percentile of the waits of the refused requests.
func (t *total) heldAt(percent int) time.Duration {
	return append(t.held, 0)[len(t.held)*percent/100].Round(time.Millisecond)
}

// TestSimulatedEarlyRefusal guards against requests that are held until their deadline although
// they could not be served, and against refusals of what would have been served.
func TestSimulatedEarlyRefusal(t *testing.T) {
	for _, slots := range []int{5, 1} {
		for _, load := range []float64{0.7, 1, 1.5, 3} {
			var results [2]total // without and with early refusals
			for i := range results {
				x := &results[i]
				for seed := range uint64(4) {
					x.add(mixedLoad(load, slots), slots, i == 1, false, seed)
				}
				within, _ := slices.BinarySearch(x.held, earlyTarget/4)
				t.Logf("%d slots, load %.1f: served %.3f, in time %.3f; %6d refused, held %5s (median) %5s (p90), %.2f of them at most a quarter of the target",
					slots, load, float64(x.served)/float64(x.arrived), float64(x.inTime)/float64(x.arrived), len(x.held), x.heldAt(50), x.heldAt(90), float64(within)/float64(max(len(x.held), 1)))
			}
			if before, after := &results[0], &results[1]; float64(after.inTime) < 0.99*float64(before.inTime) || float64(after.served) < 0.99*float64(before.served) ||
				slots == 5 && load >= 1.5 && after.heldAt(50) > earlyTarget/4 {
				t.Errorf("%d slots, load %.1f: want 0.99 of those served and of those in time, and half of the refused ones held for at most a quarter of the target", slots, load)
			}
		}
	}
}

// TestSimulatedRetryAfter guards against retry times at which the requests would be refused
// again: the load is three times the capacity for 2 s, and half of it afterwards.
func TestSimulatedRetryAfter(t *testing.T) {
	streams := mixedLoad(0.5, simSlots)
	for _, burst := range mixedLoad(2.5, simSlots) {
		burst.until = 2 * time.Second
		streams = append(streams, burst)
	}
	for seed := range uint64(4) {
		var x total
		x.add(streams, simSlots, true, true, seed)
		t.Logf("seed %d: %d refused requests came back, %.3f of them were served in time", seed, x.retried, float64(x.retriesInTime)/float64(x.retried))
		if x.retried == 0 || 2*x.retriesInTime < x.retried {
			t.Errorf("seed %d: %d of %d retries served in time, want half", seed, x.retriesInTime, x.retried)
		}
	}
}
