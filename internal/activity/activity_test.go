package activity

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
)

func TestReportIncreaseByLabel(t *testing.T) {
	results := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "results"}, []string{"kind", "code"})
	waits := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "waits"}, []string{"class", "for"})
	dials := prometheus.NewCounter(prometheus.CounterOpts{Name: "dials"})
	var out bytes.Buffer
	r := &Reporter{
		Interval: 5 * time.Second,
		Counters: []Counter{
			{Name: "statements", Collector: results, Label: "code"},
			{Name: "wait_s", Collector: waits, Label: "for"},
			{Name: "dials", Collector: dials},
		},
		Log: log.NewWithOptions(&out, log.Options{Formatter: log.LogfmtFormatter}),
	}
	results.WithLabelValues("read", "0").Add(7)
	r.previous = r.totals()

	results.WithLabelValues("read", "0").Add(2)
	results.WithLabelValues("write", "0").Inc()
	results.WithLabelValues("read", "2003").Inc()
	waits.WithLabelValues("bulk", "rate").Observe(0.25)
	waits.WithLabelValues("interactive", "rate").Observe(0.5)
	r.report()
	const want = "interval_ms=5000 statements_0=3 statements_2003=1 wait_s_rate=0.75\n"
	if line := out.String(); !strings.HasSuffix(line, want) || !strings.Contains(line, "msg=activity") {
		t.Errorf("logged %q, want an event activity that ends in %q", line, want)
	}

	out.Reset()
	r.report()
	if out.Len() > 0 {
		t.Errorf("logged %q for an interval without any increase, want nothing", out.String())
	}

	results.WithLabelValues("read", "0").Inc()
	results.WithLabelValues("write", "0").Add(4)
	r.Counters[0].Only = prometheus.Labels{"kind": "write"}
	r.previous = map[string]float64{"statements_0": 1}
	r.report()
	if line := out.String(); !strings.Contains(line, " statements_0=4 ") {
		t.Errorf("logged %q, want only the statements of the selected kind", line)
	}

	out.Reset()
	dials.Inc()
	r.report()
	if line := out.String(); !strings.HasSuffix(line, "interval_ms=5000 dials=1\n") {
		t.Errorf("logged %q, want only the counter that has increased", line)
	}

	out.Reset()
	dials.Add(5404815)
	r.report()
	if line := out.String(); !strings.HasSuffix(line, "interval_ms=5000 dials=5404815\n") {
		t.Errorf("logged %q, want all digits of a large number", line)
	}
}
