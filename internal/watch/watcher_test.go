package watch

import (
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/failover"
)

func TestMustReportLossAtEveryProbe(t *testing.T) {
	now := time.Unix(1000, 0)
	primary := probeTarget{primary: true, timeline: 3}
	well := failover.Condition{Reachable: true, Timeline: 3, Position: 7}
	recovering := failover.Condition{Reachable: true, InRecovery: true, Timeline: 3}
	later := well
	later.Position++
	for _, c := range []struct {
		name   string
		target probeTarget
		seen   failover.Condition
		after  time.Duration
		want   bool
	}{
		{"well again", primary, later, time.Second, false},
		{"well after the interval", primary, later, failover.ReportInterval, true},
		{"lost", primary, failover.Condition{}, 0, true},
		{"primary in recovery", primary, recovering, 0, true},
		{"primary on another timeline", primary, failover.Condition{Reachable: true, Timeline: 4}, 0, true},
		{"replica changed", probeTarget{}, recovering, 0, true},
	} {
		last := lastReport{at: now, condition: well}
		if got := last.mustReport(now.Add(c.after), c.target, c.seen); got != c.want {
			t.Errorf("%s: due=%t", c.name, got)
		}
	}
	for _, against := range []failover.Condition{{}, recovering} {
		last := lastReport{at: now, condition: against}
		if !last.mustReport(now, primary, against) {
			t.Errorf("an unchanged condition against the primary is not repeated: %+v", against)
		}
	}
}
