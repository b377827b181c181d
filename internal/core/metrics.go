package core

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenabridge/galenabridge/internal/activity"
	"github.com/galenabridge/galenabridge/internal/linkuse"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// latencyBuckets are in seconds, from a local round trip to the longest timeout.
var latencyBuckets = prometheus.ExponentialBuckets(0.001, 2, 14)

// metrics holds the Prometheus metrics of served statements.
type metrics struct {
	results  *prometheus.CounterVec
	duration *prometheus.HistogramVec
	endpoint *prometheus.HistogramVec
	waits    *prometheus.HistogramVec
	dials    *prometheus.CounterVec
	retries  prometheus.Counter
	reads    *prometheus.CounterVec
	// unpositioned counts the reads of routes with a staleness bound that required the
	// primary, because no recent position of it was known.
	unpositioned prometheus.Counter
	// pacingIgnored counts the latencies that did not pace an endpoint, because the host's own
	// link was saturated.
	pacingIgnored prometheus.Counter
	// early counts the statements refused because no slot would have come free in time.
	early *prometheus.CounterVec
	// hedges counts hedged reads by what became of them.
	hedges    *prometheus.CounterVec
	sessions  prometheus.Gauge
	forwarded *prometheus.CounterVec
	// crossingStatements and crossingBytes count the statements of services with members in several
	// failure domains by the cause for which they left this host's; none: they stayed.
	crossingStatements, crossingBytes *prometheus.CounterVec
	crossingFraction                  *prometheus.GaugeVec
}

// newMetrics returns the metrics. Those of the link are registered only if it is measured.
func newMetrics(reg prometheus.Registerer, traffic *linkuse.Meter) *metrics {
	m := &metrics{
		results: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenabridge_statements_total", Help: "Statements answered, by kind and result code; 0 is success.",
		}, []string{"kind", "code"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "galenabridge_statement_seconds", Help: "Time from reading a statement to its answer.", Buckets: latencyBuckets,
		}, []string{"workspace", "class"}),
		endpoint: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "galenabridge_statement_endpoint_seconds", Help: "Time that a statement spent at its endpoint.", Buckets: latencyBuckets,
		}, []string{"class"}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "galenabridge_statement_wait_seconds", Help: "Time that an operation waited, by what for.", Buckets: latencyBuckets,
		}, []string{"class", "for"}),
		dials: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenabridge_endpoint_dials_total", Help: "Connections opened to endpoints, by outcome.",
		}, []string{"outcome"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenabridge_statement_retries_total", Help: "Statements sent again after an attempt that did not run.",
		}),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenabridge_reads_total", Help: "Reads outside of plain transactions, by the role of the endpoint.",
		}, []string{"role"}),
		unpositioned: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenabridge_reads_without_position_total", Help: "Reads that required the primary because no recent position of it was known.",
		}),
		early: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenabridge_early_refusals_total", Help: "Statements refused before their wait ended, because no slot would have come free in time.",
		}, []string{"class"}),
		hedges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenabridge_hedged_reads_total", Help: "Reads sent once more to another endpoint because their answer was late, by outcome.",
		}, []string{"outcome"}),
		forwarded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenabridge_statements_forwarded_total", Help: "Statements offered to other hosts, by outcome.",
		}, []string{"outcome"}),
		pacingIgnored: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenabridge_pacing_ignored_total", Help: "Latencies that did not pace an endpoint, because the host's own link was saturated.",
		}),
		crossingStatements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenabridge_crossing_statements_total", Help: "Statements by the cause for which they left the failure domain; none: they stayed.",
		}, []string{"service", "cause"}),
		crossingBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenabridge_crossing_bytes_total", Help: "Bytes of statements and answers by the cause for which they left the failure domain.",
		}, []string{"service", "cause"}),
		crossingFraction: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenabridge_crossing_fraction", Help: "Fraction of the reads of a service that is to leave the failure domain.",
		}, []string{"service"}),
		sessions: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "galenabridge_sessions", Help: "Open sessions of callers.",
		}),
	}
	if reg != nil {
		reg.MustRegister(m.results, m.duration, m.endpoint, m.waits, m.dials, m.retries, m.reads, m.unpositioned, m.early, m.hedges, m.forwarded, m.sessions,
			m.crossingStatements, m.crossingBytes, m.crossingFraction)
	}
	if reg != nil && traffic != nil {
		reg.MustRegister(m.pacingIgnored, prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "galenabridge_link_bytes_total", Help: "Bytes that were sent to or received from callers, endpoints and other hosts.",
		}, func() float64 { return float64(traffic.Total()) }))
	}
	return m
}

// activity lists the counters that are reported in the log.
func (m *metrics) activity() []activity.Counter {
	return []activity.Counter{
		{Name: "statements", Collector: m.results, Label: "code"},
		{Name: "wait_s", Collector: m.waits, Label: "for"},
		{Name: "dials", Collector: m.dials, Label: "outcome"},
		{Name: "retries", Collector: m.retries},
		{Name: "reads", Collector: m.reads, Label: "role"},
		{Name: "reads_without_position", Collector: m.unpositioned},
		{Name: "refused_early", Collector: m.early, Label: "class"},
		{Name: "hedged_reads", Collector: m.hedges, Label: "outcome"},
		{Name: "forwarded", Collector: m.forwarded, Label: "outcome"},
		{Name: "pacing_ignored", Collector: m.pacingIgnored},
		{Name: "crossing", Collector: m.crossingStatements, Label: "cause"},
		{Name: "crossing_bytes", Collector: m.crossingBytes, Label: "cause"},
	}
}

// Values of the label "for": what an operation waits for.
const (
	waitRate       = "rate"
	waitSlot       = "slot"
	waitConnection = "connection"
)

// observeWait records a wait that began at the given time and returns its duration.
func (m *metrics) observeWait(class note.Class, waitedFor string, since time.Time) time.Duration {
	took := time.Since(since)
	m.waits.WithLabelValues(string(class), waitedFor).Observe(took.Seconds())
	return took
}

// observeReply counts a reply and records its latency. Code 0 is success.
func (m *metrics) observeReply(kind Kind, code result.Code, workspace string, class note.Class, took time.Duration) {
	m.results.WithLabelValues(kind.String(), strconv.Itoa(int(code))).Inc()
	m.duration.WithLabelValues(workspace, string(class)).Observe(took.Seconds())
}
