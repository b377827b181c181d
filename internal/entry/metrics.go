package entry

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// timing holds the times of one request: its start, its sending to the endpoint and the
// end of the endpoint's answer. Times that were not reached are zero.
type timing struct {
	started  time.Time
	sent     time.Time
	answered time.Time
}

type metrics struct {
	wait     *prometheus.HistogramVec
	endpoint *prometheus.HistogramVec
	total    *prometheus.HistogramVec
	results  *prometheus.CounterVec
	reads    *prometheus.CounterVec
	sessions prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	histogram := func(name, help string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "galenabridge", Subsystem: "entry", Name: name, Help: help,
			Buckets: prometheus.ExponentialBuckets(0.00025, 2, 17), // 0.25 ms to 16 s
		}, []string{"workspace", "class"})
	}
	m := &metrics{
		wait:     histogram("queue_wait_seconds", "Time from the request to its sending."),
		endpoint: histogram("endpoint_seconds", "Time from the sending to the endpoint's whole answer."),
		total:    histogram("total_seconds", "Time from the request to the end of its answer."),
		results: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "galenabridge", Subsystem: "entry", Name: "results_total",
			Help: "Requests and logins refused or failed, by result code.",
		}, []string{"code", "name"}),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "galenabridge", Subsystem: "entry", Name: "reads_total",
			Help: "Reads that a replica may serve, by the role of the endpoint that served them.",
		}, []string{"role"}),
		sessions: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "galenabridge", Subsystem: "entry", Name: "sessions",
			Help: "Callers connected.",
		}),
	}
	if reg != nil {
		reg.MustRegister(m.wait, m.endpoint, m.total, m.results, m.reads, m.sessions)
	}
	return m
}

// observe records the durations of a request. One that was never sent is not recorded.
func (m *metrics) observe(workspace string, c note.Class, t *timing) {
	if t.sent.IsZero() {
		return
	}
	m.wait.WithLabelValues(workspace, string(c)).Observe(t.sent.Sub(t.started).Seconds())
	if !t.answered.IsZero() {
		m.endpoint.WithLabelValues(workspace, string(c)).Observe(t.answered.Sub(t.sent).Seconds())
	}
	m.total.WithLabelValues(workspace, string(c)).Observe(time.Since(t.started).Seconds())
}

// countError counts a refused or failed request or login by its result code.
func (m *metrics) countError(err error) {
	code := result.CodeOf(err)
	m.results.WithLabelValues(strconv.Itoa(int(code)), result.Lookup(code).Name).Inc()
}
