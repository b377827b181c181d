package daemon

import (
	"time"

	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/control"
	"github.com/galenabridge/galenabridge/internal/core"
	"github.com/galenabridge/galenabridge/internal/metering"
)

// usageMeter counts the requests of workspaces for usage reports.
type usageMeter struct {
	counter *metering.Counter
}

// Begin implements core.Meter. Requests without a workspace are not counted.
func (m usageMeter) Begin(workspace string, kind core.MeteredKind) {
	if workspace != "" && isCounted(kind) {
		m.counter.Begin(clock.Now(), time.Now(), workspace)
	}
}

// isCounted reports whether a statement counts as a request: single statements and begins of
// transactions do, as for the rate, and statements inside transactions do not.
func isCounted(kind core.MeteredKind) bool { return !kind.InTransaction }

// buildMeter returns the meter of the entry role and creates the task that reports its counts, or
// returns nil if usage reports are disabled.
func (d *Daemon) buildMeter() core.Meter {
	if d.opts.Metering.Window <= 0 {
		return nil
	}
	self := metering.Process{Host: d.peers.Host(), Incarnation: d.peers.Incarnation()}
	counter := metering.NewCounter(d.opts.Metering.Window, self)
	d.usage = control.NewUsageSender(d.peers, d.subscriber, counter, d.log)
	return usageMeter{counter}
}
