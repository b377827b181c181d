package admit

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/note"
)

// earlyTarget is the target of the simulated requests, a usual one of the deployments.
const earlyTarget = 800 * time.Millisecond

// mixedLoad returns the streams of twelve workspaces in three classes, two of which send more
// than half of the requests, at a multiple of the capacity of the slots.
func mixedLoad(load float64, slots int) []stream {
	const service = 35 * time.Millisecond
	classes := []note.Class{note.ClassInteractive, note.ClassCorrection, note.ClassBulk}
	var streams []stream
	for i := range 12 {
		share := 0.045
		if i < 2 {
			share = 0.275
		}
		streams = append(streams, stream{workspace: fmt.Sprintf("w%d", i), class: classes[i%3], rate: load * share * float64(slots) / service.Seconds(), service: service})
	}
	return streams
}

// total adds up the results of all streams.
type total struct {
	arrived, served, inTime, retried, retriesInTime int
	held                                            []time.Duration
}

func simulateEarly(streams []stream, slots int, early, retries bool, seed uint64) (t total) {
	s := newSimulator(PolicyFair, seed, slots, streams)
	s.deadline, s.cutOff, s.retries = earlyTarget, true, retries
	if early {
		s.target = earlyTarget
	}
	for _, o := range s.run() {
		t.arrived += o.arrived
		t.served += o.served
		t.held = append(t.held, o.held...)
		t.retried += o.retried
		t.retriesInTime += o.retriesInTime
		for _, l := range o.latency {
			if l <= earlyTarget {
				t.inTime++
			}
		}
	}
	slices.Sort(t.held)
	return t
}

func (t total) heldAt(percent int) time.Duration {
	if len(t.held) == 0 {
		return 0
	}
	return t.held[len(t.held)*percent/100].Round(time.Millisecond)
}

// TestSimulatedEarlyRefusal guards against requests that are held until their deadline although
// they could not be served, and against refusals of what would have been served.
func TestSimulatedEarlyRefusal(t *testing.T) {
	var table strings.Builder
	for _, slots := range []int{5, 1} {
		for _, load := range []float64{0.7, 1, 1.5, 3} {
			var sums [2]total
			for seed := range uint64(4) {
				for i := range sums {
					x := simulateEarly(mixedLoad(load, slots), slots, i == 1, false, seed)
					sums[i].arrived += x.arrived
					sums[i].served += x.served
					sums[i].inTime += x.inTime
					sums[i].held = append(sums[i].held, x.held...)
				}
			}
			before, after := sums[0], sums[1]
			for _, x := range sums {
				slices.Sort(x.held)
				within, _ := slices.BinarySearch(x.held, earlyTarget/4)
				fmt.Fprintf(&table, "\n%d slots, load %.1f: served %.3f, in time %.3f; %6d refused, held %5s (median) %5s (p90), %.2f of them at most a quarter of the target",
					slots, load, float64(x.served)/float64(x.arrived), float64(x.inTime)/float64(x.arrived), len(x.held), x.heldAt(50), x.heldAt(90), float64(within)/float64(max(len(x.held), 1)))
			}
			if float64(after.inTime) < 0.99*float64(before.inTime) {
				t.Errorf("%d slots, load %.1f: %d in time, %d without early refusals", slots, load, after.inTime, before.inTime)
			}
			if slots == 5 && load >= 1.5 && after.heldAt(50) > earlyTarget/4 {
				t.Errorf("load %.1f: half of the refused requests were held for more than %v", load, after.heldAt(50))
			}
		}
	}
	t.Log(table.String())
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
		x := simulateEarly(streams, simSlots, true, true, seed)
		share := float64(x.retriesInTime) / float64(x.retried)
		t.Logf("seed %d: %d refused requests came back, %.3f of them were served in time", seed, x.retried, share)
		if x.retried == 0 || share < 0.5 {
			t.Errorf("seed %d: %d of %d retries served in time, want half", seed, x.retriesInTime, x.retried)
		}
	}
}
