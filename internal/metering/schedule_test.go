package metering

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	disturbedSteps = 3000 // 150 s
	calmSteps      = 1200 // 60 s
)

// TestScheduleKeepsRules runs random schedules of kills, suspensions, partitions, changes of the
// leader, lost answers, calls that are executed late and outages of the platform. No rule of the
// model may be broken, and once the faults have ended the windows must be reported in time.
func TestScheduleKeepsRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)).IntN, noFault)
		if failure := m.run(disturbedSteps); failure != "" {
			t.Fatal(failure)
		}
		m.calm, m.downUntil = true, time.Time{}
		if failure := m.run(calmSteps); failure != "" {
			t.Fatal("after the faults: ", failure)
		}
		due := m.now.Add(-modelConfig.Late).UnixNano()/int64(modelConfig.Window) - 1
		if m.accepted < due {
			t.Fatalf("window %d is due and the last accepted one is %d: %+v", due, m.accepted, m.state.Usage)
		}
	})
}

// TestModelDetectsInjectedFaults checks that each rule of the model fails on a fault of its own.
func TestModelDetectsInjectedFaults(t *testing.T) {
	const schedules = 300
	for _, c := range []struct {
		name  string
		fault fault
		want  string
	}{
		{"counts taken anew", recount, "a window is reported with two counts"},
		{"successor uses the recorded fence", shareFence, "a fence is used by two hosts"},
		{"claim without a delay", claimAtOnce, "a host acts before and after another"},
		{"claim without a delay, by the former holder", claimAtOnce, "sends after its successor"},
		{"permission not checked", noLeaseCheck, "a host sends without a lease"},
		{"permission of a renewed lease", renewedLease, "sends after its successor"},
		{"refusal forgotten", forgetRefusal, "a refused fence is used again"},
		{"windows kept", keepAllWindows, "undelivered windows"},
	} {
		t.Run(c.name, func(t *testing.T) {
			detected := 0
			for seed := range uint64(schedules) {
				m := newModel(rand.New(rand.NewPCG(seed, 1)).IntN, c.fault)
				if strings.Contains(m.run(disturbedSteps), c.want) {
					detected++
				}
			}
			t.Logf("detected in %d of %d schedules", detected, schedules)
			if detected == 0 {
				t.Fatalf("the model did not detect the fault in %d schedules", schedules)
			}
		})
	}
}
