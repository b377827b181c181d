package core

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenabridge/galenabridge/internal/note"
)

// TestMetricsDocumentedInOperations checks that the operations page lists every metric.
func TestMetricsDocumentedInOperations(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	registry := prometheus.NewRegistry()
	m := newMetrics(registry, nil)
	m.observeReply(Read, 0, "crew", note.ClassBulk, time.Millisecond)
	m.observeWait(note.ClassBulk, waitRate, time.Now())
	m.endpoint.WithLabelValues("bulk").Observe(0)
	m.dials.WithLabelValues("ok").Inc()
	m.reads.WithLabelValues("replica").Inc()
	m.forwarded.WithLabelValues(forwardAnswered).Inc()
	m.crossingStatements.WithLabelValues("logs", "none").Inc()
	m.crossingBytes.WithLabelValues("logs", "none").Inc()
	m.crossingFraction.WithLabelValues("logs").Set(0)
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	if len(families) != 13 {
		t.Errorf("%d metrics gathered, want 13", len(families))
	}
	for _, f := range families {
		if !strings.Contains(string(page), "`"+f.GetName()) {
			t.Errorf("%s is not documented in OPERATIONS.md", f.GetName())
		}
	}
}
