package control

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// hostMetrics are the metrics of the control role.
type hostMetrics struct {
	revision         prometheus.Gauge
	settled          prometheus.Gauge
	leading          prometheus.Gauge
	subscribers      prometheus.Gauge
	voters           prometheus.Gauge
	skipped          prometheus.Counter
	snapshotsRefused prometheus.Counter
	usage            *usageMetrics
}

func newHostMetrics(reg prometheus.Registerer) *hostMetrics {
	m := &hostMetrics{
		revision:    newGauge("galenabridge_control_revision", "Revision of the agreed state on this control host."),
		settled:     newGauge("galenabridge_control_settled_revision", "Revision known to be applied by every holder of a lease."),
		leading:     newGauge("galenabridge_control_leading", "1 while this host leads the control hosts."),
		subscribers: newGauge("galenabridge_control_subscribers", "Hosts that follow the agreed state through this one."),
		voters:      newGauge("galenabridge_control_voters", "Voters of the control hosts as this one knows them; more than run means that some are gone."),
		skipped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenabridge_control_skipped_entries_total",
			Help: "Log entries that were skipped because they cannot be decoded or applied.",
		}),
		snapshotsRefused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenabridge_control_refused_snapshots_total",
			Help: "Snapshots of other control hosts that were refused because they cannot be decoded.",
		}),
	}
	if reg != nil {
		reg.MustRegister(m.revision, m.settled, m.leading, m.subscribers, m.voters, m.skipped, m.snapshotsRefused)
	}
	return m
}

// update sets the metrics to the state of the host.
func (m *hostMetrics) update(h *Host) {
	m.revision.Set(float64(h.state.Revision))
	m.settled.Set(float64(h.broker.Settled()))
	m.leading.Set(boolValue(h.leading))
	m.subscribers.Set(float64(len(h.subscribers)))
	m.voters.Set(float64(h.node.Voters()))
}

// subscriberMetrics are the metrics of a Subscriber.
type subscriberMetrics struct {
	applied          prometheus.Gauge
	valid            prometheus.Gauge
	upstreamSwitches prometheus.Counter
}

func newSubscriberMetrics(reg prometheus.Registerer) *subscriberMetrics {
	m := &subscriberMetrics{
		applied: newGauge("galenabridge_applied_revision", "Revision of the agreed state that this host has applied."),
		valid:   newGauge("galenabridge_lease_valid", "1 while this host may act on the agreed state."),
		upstreamSwitches: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenabridge_control_host_silent_total",
			Help: "Times that this host turned to another control host.",
		}),
	}
	if reg != nil {
		reg.MustRegister(m.applied, m.valid, m.upstreamSwitches)
	}
	return m
}

// update sets the metrics to the state of the subscriber.
func (m *subscriberMetrics) update(s *Subscriber, now time.Time) {
	m.applied.Set(float64(s.state.Revision))
	m.valid.Set(boolValue(s.opts.View.Current().Valid()))
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
