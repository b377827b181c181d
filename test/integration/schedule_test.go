//go:build fleet

package integration

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"
)

// fault names a fault of the random schedules.
type fault string

const (
	faultIsolatePrimary fault = "isolate_primary"
	faultIsolateReplica fault = "isolate_replica"
	faultKillEndpoint   fault = "kill_endpoint"
	faultStallPrimary   fault = "stall_primary"
	faultDropAnswers    fault = "drop_answers"
	faultLateAnswers    fault = "late_answers"
	faultLag            fault = "lag"
	faultIsolateControl fault = "isolate_control"
	faultIsolateEntry   fault = "isolate_entry"
	faultKillHost       fault = "kill_host"
	faultDomainOut      fault = "domain_out"
	faultRotateKey      fault = "rotate_key"
)

var faults = []fault{
	faultIsolatePrimary, faultIsolateReplica, faultKillEndpoint, faultStallPrimary, faultDropAnswers,
	faultLateAnswers, faultLag, faultIsolateControl, faultIsolateEntry, faultKillHost, faultDomainOut, faultRotateKey,
}

// step is one fault of a schedule with its time and length. Pick chooses the
// target among those that the fault may have.
type step struct {
	At     time.Duration
	Length time.Duration
	Fault  fault
	Pick   int
}

func (s step) String() string {
	return fmt.Sprintf("%s +%s %s/%d", s.At, s.Length, s.Fault, s.Pick)
}

func describe(steps []step) string {
	lines := make([]string, len(steps))
	for i, s := range steps {
		lines[i] = "  " + s.String()
	}
	return strings.Join(lines, "\n")
}

const (
	minFault = 2 * time.Second
	maxFault = 12 * time.Second
	maxPause = 4 * time.Second
	// lanes is the number of faults at once.
	lanes = 2
)

// drawSchedule draws faults up to the end of a run, two at once.
func drawSchedule(seed uint64, length time.Duration) []step {
	rng := rand.New(rand.NewPCG(seed, 0))
	var steps []step
	for range lanes {
		for at := drawDuration(rng, 0, maxPause); ; {
			s := step{At: at, Length: drawDuration(rng, minFault, maxFault), Fault: faults[rng.IntN(len(faults))], Pick: rng.IntN(1000)}
			if s.At+s.Length > length {
				break
			}
			steps = append(steps, s)
			at = s.At + s.Length + drawDuration(rng, 0, maxPause)
		}
	}
	return steps
}

func drawDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return (low + time.Duration(rng.Int64N(int64(high-low)))).Round(100 * time.Millisecond)
}

// shrink removes steps as long as the rest still fails.
func shrink(steps []step, fails func([]step) bool) []step {
	for size := (len(steps) + 1) / 2; size > 0; size /= 2 {
		for i := 0; i+size <= len(steps) && len(steps) > size; {
			rest := append(append([]step(nil), steps[:i]...), steps[i+size:]...)
			if fails(rest) {
				steps = rest
				continue
			}
			i += size
		}
	}
	return steps
}

func TestScheduleDependsOnSeedAlone(t *testing.T) {
	a, b := drawSchedule(7, time.Minute), drawSchedule(7, time.Minute)
	if len(a) == 0 || !reflect.DeepEqual(a, b) {
		t.Errorf("seed 7 gives %v and %v", a, b)
	}
	if reflect.DeepEqual(a, drawSchedule(8, time.Minute)) {
		t.Error("seeds 7 and 8 give one schedule")
	}
}

func TestShrinkKeepsWhatFails(t *testing.T) {
	steps := drawSchedule(3, 2*time.Minute)
	first, second := steps[1], steps[len(steps)-2]
	got := shrink(steps, func(rest []step) bool {
		found := 0
		for _, s := range rest {
			if s == first || s == second {
				found++
			}
		}
		return found == 2
	})
	if !reflect.DeepEqual(got, []step{first, second}) {
		t.Errorf("shrunk to\n%s", describe(got))
	}
}
