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

// fault is the kind of a fault in a random schedule.
type fault string

const (
	faultIsolatePrimary fault = "isolate_primary"
	// faultIsolateReplica isolates any endpoint, which may also be the primary.
	faultIsolateReplica fault = "isolate_replica"
	faultKillEndpoint   fault = "kill_endpoint"
	faultStallPrimary   fault = "stall_primary"
	faultDropAnswers    fault = "drop_answers"
	faultDelayAnswers   fault = "late_answers"
	faultReplayLag      fault = "lag"
	faultIsolateControl fault = "isolate_control"
	faultIsolateEntry   fault = "isolate_entry"
	faultKillHost       fault = "kill_host"
	faultDomainOut      fault = "domain_out"
	faultRotateKey      fault = "rotate_key"
)

var allFaults = []fault{
	faultIsolatePrimary, faultIsolateReplica, faultKillEndpoint, faultStallPrimary, faultDropAnswers,
	faultDelayAnswers, faultReplayLag, faultIsolateControl, faultIsolateEntry, faultKillHost, faultDomainOut, faultRotateKey,
}

// faultStep is one fault of a schedule, injected at the time At from the start of the run and
// removed after Length. Pick selects the target among the possible targets of the fault, modulo
// their number.
type faultStep struct {
	At     time.Duration
	Length time.Duration
	Fault  fault
	Pick   int
}

func (s faultStep) String() string {
	return fmt.Sprintf("%s +%s %s/%d", s.At, s.Length, s.Fault, s.Pick)
}

func describeSteps(steps []faultStep) string {
	lines := make([]string, len(steps))
	for i, s := range steps {
		lines[i] = "  " + s.String()
	}
	return strings.Join(lines, "\n")
}

const (
	minFaultLength = 2 * time.Second
	maxFaultLength = 12 * time.Second
	maxFaultGap    = 4 * time.Second
	// concurrentFaults is the highest number of faults at the same time.
	concurrentFaults = 2
)

// drawSchedule draws faults that end within a run of the length, with at most concurrentFaults at
// the same time. The seed and the length determine the schedule.
func drawSchedule(seed uint64, length time.Duration) []faultStep {
	rng := rand.New(rand.NewPCG(seed, 0))
	var steps []faultStep
	for range concurrentFaults {
		for at := drawDuration(rng, 0, maxFaultGap); ; {
			s := faultStep{At: at, Length: drawDuration(rng, minFaultLength, maxFaultLength), Fault: allFaults[rng.IntN(len(allFaults))], Pick: rng.IntN(1000)}
			if s.At+s.Length > length {
				break
			}
			steps = append(steps, s)
			at = s.At + s.Length + drawDuration(rng, 0, maxFaultGap)
		}
	}
	return steps
}

// drawDuration draws a duration from low to high in steps of 100 ms.
func drawDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return (low + time.Duration(rng.Int64N(int64(high-low)))).Round(100 * time.Millisecond)
}

// shrink removes steps from a failing schedule as long as the remaining steps still fail. It tries
// to remove half of the steps at once, then ever fewer adjacent steps, down to single ones.
func shrink(steps []faultStep, fails func([]faultStep) bool) []faultStep {
	for size := (len(steps) + 1) / 2; size > 0; size /= 2 {
		for i := 0; i+size <= len(steps) && len(steps) > size; {
			rest := append(append([]faultStep(nil), steps[:i]...), steps[i+size:]...)
			if fails(rest) {
				steps = rest
				continue
			}
			i += size
		}
	}
	return steps
}

// Guards against a schedule that depends on more than its seed and length: a failing run could not
// be repeated.
func TestScheduleSameSeedGivesSameSteps(t *testing.T) {
	a, b := drawSchedule(7, time.Minute), drawSchedule(7, time.Minute)
	if len(a) == 0 || !reflect.DeepEqual(a, b) {
		t.Errorf("seed 7 gives %v and %v, want the same steps and at least one", a, b)
	}
	if reflect.DeepEqual(a, drawSchedule(8, time.Minute)) {
		t.Error("seeds 7 and 8 give the same schedule")
	}
}

// Guards against a shrunk schedule that lacks a step needed for the failure or keeps one that is
// not needed. The run in this test fails only with both of two steps.
func TestShrinkKeepsFailingSteps(t *testing.T) {
	steps := drawSchedule(3, 2*time.Minute)
	first, second := steps[1], steps[len(steps)-2]
	got := shrink(steps, func(rest []faultStep) bool {
		found := 0
		for _, s := range rest {
			if s == first || s == second {
				found++
			}
		}
		return found == 2
	})
	if !reflect.DeepEqual(got, []faultStep{first, second}) {
		t.Errorf("want just the two steps that fail together; shrunk to\n%s", describeSteps(got))
	}
}
