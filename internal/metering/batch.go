package metering

import (
	"cmp"
	"slices"
	"time"
)

const (
	// BatchInterval is the minimum time between two batches to another control host. The time grows
	// by batchSpacing for each process in the last batch, up to maxBatchInterval: counts are
	// cumulative, so that fewer batches of a large fleet carry fewer bytes. At some 70 bytes a
	// process that is 7 KB/s up to 50 processes. The final reports, built 300 ms after the end of a
	// window, still reach the leader within a second.
	BatchInterval    = 100 * time.Millisecond
	batchSpacing     = 10 * time.Millisecond
	maxBatchInterval = 500 * time.Millisecond
	// syncInterval is the time without an answer of the leader after which a control host sends a
	// batch without counts, so that both know each other's time.
	syncInterval = 5 * time.Second
	// batchTimeout is the time after which a batch counts as failed although that was not reported.
	// It is longer than the time limit of the call.
	batchTimeout = 2 * time.Second
)

func compareProcesses(a, b Process) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Batch returns a batch for Role.Target if one is due. One at a time waits for its answer.
func (c *Collector) Batch(now, day time.Time) (Outgoing, bool) {
	if c.inFlight && now.Sub(c.lastBatch) >= batchTimeout {
		c.inFlight = false
		c.retry()
	}
	if c.role.Target == "" || c.inFlight || now.Before(c.nextBatch) {
		return Outgoing{}, false
	}
	processes := c.pendingProcesses(now)
	unsent := slices.ContainsFunc(processes, func(p Process) bool { return c.stored[p].unsent() })
	if !unsent && (c.role.Leading || c.fleet.known && now.Sub(c.lastAnswered) < syncInterval) {
		return Outgoing{}, false
	}
	c.inFlight, c.lastBatch = true, now
	budget := maxMessageEntries
	reports := []Report{{Process: c.self, DayNS: day.UnixNano()}}
	for _, p := range processes {
		if budget <= 0 {
			break
		}
		windows := c.stored[p].pending(&budget)
		if !c.stored[p].isOpen() {
			delete(c.open, p)
		}
		if p == c.self {
			reports[0].Windows = windows
		} else if len(windows) > 0 {
			reports = append(reports, c.report(now, p, windows))
		}
	}
	if !c.fleet.known {
		reports = append(reports, c.idleReports(now)...)
	}
	c.nextBatch = now.Add(min(max(BatchInterval, time.Duration(len(reports))*batchSpacing), maxBatchInterval))
	return Outgoing{Batch: Batch{MonoNS: now.UnixNano(), Reports: reports}, Target: c.role.Target, epoch: c.epoch, sent: now}, true
}

// report returns the report of a process. Its time of day is set if this host hears it itself.
func (c *Collector) report(now time.Time, p Process, windows []WindowCounts) Report {
	r := Report{Process: p, Windows: windows}
	if sample, ok := c.samples[p]; ok && c.isDirect(now, p) {
		r.DayNS = now.Add(sample.offset).UnixNano()
	}
	return r
}

// idleReports returns the times of day of the processes without pending counts that this host
// hears itself. Without them a leader of hosts that do not know the fleet time, and therefore hold
// their counts back, would hear too few hosts to tell it.
func (c *Collector) idleReports(now time.Time) []Report {
	var reports []Report
	for p := range c.direct {
		if _, ok := c.open[p]; !ok && p != c.self {
			reports = append(reports, c.report(now, p, nil))
		}
	}
	return reports
}

// Answered handles the answer to a batch, received at a monotonic time.
func (c *Collector) Answered(o Outgoing, a Answer, received time.Time) {
	c.inFlight = false
	if o.epoch != c.epoch {
		return
	}
	c.lastAnswered = received
	if !c.role.Leading && a.FleetNS != 0 {
		c.fleet.observe(o.sent, received, time.Unix(0, a.FleetNS))
	}
	c.setTargetStore(a.Store.Process)
	for _, r := range o.Batch.Reports {
		if s := c.stored[r.Process]; s != nil && !slices.Contains(a.Refused, r.Process) {
			s.ack(r.Windows)
		}
	}
}

// Failed handles a batch without an answer.
func (c *Collector) Failed(o Outgoing) {
	c.inFlight = false
	if o.epoch == c.epoch {
		c.retry()
	}
}

// retry makes pending again what was sent and not acknowledged.
func (c *Collector) retry() {
	for p := range c.open {
		c.stored[p].retry()
	}
}
