package control

import (
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/metering"
)

// Outcomes of a window in the status, in logs and in metrics.
const (
	usageDecided  = "decided"
	usageAccepted = "accepted"
	usageDropped  = "dropped"
	usageSkipped  = "skipped"
)

// updateWindows adds the windows of a changed state to the history, and marks those that were
// dropped because too many were pending.
func (d *usageDriver) updateWindows() {
	u := d.host.state.Usage
	for _, w := range undelivered(u, d.schedule.Accepted()) {
		if !slices.ContainsFunc(d.windows, func(s UsageWindowStatus) bool { return s.Window == w.Window }) {
			d.addWindow(w, u.Fence)
		}
	}
	if len(u.Pending) == 0 {
		return
	}
	for i := range d.windows {
		if w := &d.windows[i]; w.Outcome == usageDecided && w.Window < u.Pending[0].Window {
			w.Outcome = usageDropped
			d.host.metrics.usage.windows.WithLabelValues(usageDropped).Inc()
			d.logWindow(*w)
		}
	}
}

// addWindow adds a window to the history. If this leader has decided it, the tally of the decision
// is known.
func (d *usageDriver) addWindow(w agreed.UsageWindow, fence uint64) {
	s := UsageWindowStatus{Window: w.Window, Outcome: usageDecided, Counts: w.Counts, Fence: fence, Inherited: true}
	if a := d.decision; a.Kind == metering.Decide && a.Window == w.Window && a.Fence == fence {
		s.Inherited, s.Heard, s.Missing = false, a.Tally.Heard, a.Tally.Missing
		if a.Skipped > 0 {
			d.host.metrics.usage.windows.WithLabelValues(usageSkipped).Add(float64(a.Skipped))
			d.host.log.Warn("usage_windows_skipped", "from", a.Window-a.Skipped, "to", a.Window-1, "cause", "older than can be reported")
		}
	}
	d.windows = append(d.windows, s)
	if len(d.windows) > maxUsageHistory {
		d.windows = slices.Delete(d.windows, 0, len(d.windows)-maxUsageHistory)
	}
}

// recordCall adds a call to the history.
func (d *usageDriver) recordCall(now time.Time, e usageCallEvent) {
	d.host.metrics.usage.calls.WithLabelValues(e.outcome.String()).Inc()
	if e.outcome != metering.CallAccepted && e.err != nil {
		d.host.log.Warn("usage_call_failed", "window", e.window, "fence", e.fence, "outcome", e.outcome.String(), "err", e.err.Error())
	}
	i := slices.IndexFunc(d.windows, func(s UsageWindowStatus) bool { return s.Window == e.window })
	if i < 0 {
		return
	}
	w := &d.windows[i]
	w.Attempts++
	w.Fence = e.fence
	if e.outcome != metering.CallAccepted {
		if e.err != nil {
			w.LastError = e.err.Error()
		}
		return
	}
	if fleetTime, ok := d.host.opts.UsageSource.FleetTime(now); ok {
		d.host.metrics.usage.delay.Set(fleetTime.Sub(d.schedule.WindowEnd(e.window)).Seconds())
	}
	w.Outcome, w.LastError = usageAccepted, ""
	d.host.metrics.usage.windows.WithLabelValues(usageAccepted).Inc()
	if len(w.Missing) > 0 {
		d.host.metrics.usage.incomplete.Inc()
	}
	d.logWindow(*w)
}

// logWindow logs the outcome of a window.
func (d *usageDriver) logWindow(w UsageWindowStatus) {
	fields := []any{"window", w.Window, "outcome", w.Outcome, "holder", d.host.opts.Peer.Host(), "fence", w.Fence, "attempts", w.Attempts,
		"requests", w.Requests(), "workspaces", len(w.Counts)}
	if w.Inherited {
		fields = append(fields, "inherited", true)
	} else {
		fields = append(fields, "heard", w.Heard, "missing_hosts", len(w.Missing), "missing", w.Missing[:min(len(w.Missing), maxLoggedMissing)])
	}
	d.host.log.Info("usage_window", append(fields, "counts", FormatUsageCounts(w.Counts, maxLoggedCounts))...)
}

// maxLoggedMissing is the number of missing hosts that a log line names.
const maxLoggedMissing = 8

// usageMetrics are the metrics of the usage reports.
type usageMetrics struct {
	windows    *prometheus.CounterVec
	calls      *prometheus.CounterVec
	incomplete prometheus.Counter
	pending    prometheus.Gauge
	delay      prometheus.Gauge
}

// newUsageMetrics returns the metrics. They are registered only if there are usage reports.
func newUsageMetrics(reg prometheus.Registerer, active bool) *usageMetrics {
	m := &usageMetrics{
		windows: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenabridge_usage_windows_total", Help: "Windows by outcome: accepted, dropped while undelivered, skipped as too old.",
		}, []string{"outcome"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenabridge_usage_calls_total", Help: "Calls that report a window, by outcome.",
		}, []string{"outcome"}),
		incomplete: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenabridge_usage_incomplete_windows_total", Help: "Accepted windows that were decided without the reports of some hosts.",
		}),
		pending: newGauge("galenabridge_usage_pending_windows", "Decided windows not known to be accepted."),
		delay:   newGauge("galenabridge_usage_report_delay_seconds", "Time from the end of the last accepted window to its acceptance."),
	}
	if reg != nil && active {
		reg.MustRegister(m.windows, m.calls, m.incomplete, m.pending, m.delay)
	}
	return m
}
