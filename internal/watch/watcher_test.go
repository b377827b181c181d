package watch

import (
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/failover"
)

// TestMustReportLossAtEveryProbe guards against votes that expire because an unchanged
// loss is reported only once per ReportInterval.
func TestMustReportLossAtEveryProbe(t *testing.T) {
	now := time.Unix(1000, 0)
	primary := probeTarget{primary: true, timeline: 3}
	healthy := failover.Condition{Reachable: true, Timeline: 3, Position: 7}
	recovering := failover.Condition{Reachable: true, InRecovery: true, Timeline: 3}
	later := healthy
	later.Position++
	for _, c := range []struct {
		name      string
		target    probeTarget
		condition failover.Condition
		after     time.Duration
		want      bool
	}{
		{"healthy, position changed", primary, later, time.Second, false},
		{"healthy after the interval", primary, later, failover.ReportInterval, true},
		{"lost", primary, failover.Condition{}, 0, true},
		{"primary in recovery", primary, recovering, 0, true},
		{"primary on another timeline", primary, failover.Condition{Reachable: true, Timeline: 4}, 0, true},
		{"replica changed", probeTarget{}, recovering, 0, true},
	} {
		last := lastReport{at: now, condition: healthy}
		if got := last.mustReport(now.Add(c.after), c.target, c.condition); got != c.want {
			t.Errorf("%s: unexpected result %t of mustReport", c.name, got)
		}
	}
	for _, loss := range []failover.Condition{{}, recovering} {
		last := lastReport{at: now, condition: loss}
		if !last.mustReport(now, primary, loss) {
			t.Errorf("an unchanged loss of the primary is not reported again: %+v", loss)
		}
	}
}
