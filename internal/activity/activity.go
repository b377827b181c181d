// Package activity logs what a host has done in each interval: the increase of selected
// counters since the last line. It makes rates available to a reader who has the logs of a
// host but not its metrics.
package activity

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
)

// Counter selects a counter or a histogram. Its children are added up by the value of one
// label. Of a histogram, the sum of the observations is used.
type Counter struct {
	// Name is the prefix of the field in the log line.
	Name      string
	Collector prometheus.Collector
	// Label is the name of the label. If it is empty, all children are added up.
	Label string
	// Only restricts the children to those with all of these labels.
	Only prometheus.Labels
}

// Reporter is a task that logs the event "activity" at the end of each interval.
type Reporter struct {
	Interval time.Duration
	Counters []Counter
	Log      *log.Logger

	previous map[string]float64
}

// Run logs until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	r.previous = r.totals()
	ticker := time.NewTicker(r.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			r.report()
		}
	}
}

// report logs the increase of each counter since the last call. An interval in which no
// counter has increased leaves no line.
func (r *Reporter) report() {
	totals := r.totals()
	fields := []any{"interval_ms", r.Interval.Milliseconds()}
	for _, name := range slices.Sorted(maps.Keys(totals)) {
		if increase := totals[name] - r.previous[name]; increase > 0 {
			fields = append(fields, name, format(increase))
		}
	}
	r.previous = totals
	if len(fields) > 2 {
		r.Log.Info("activity", fields...)
	}
}

// format returns a value in milli-units without an exponent, which readers of logs take for the
// end of the number.
func format(v float64) string {
	return strconv.FormatFloat(float64(int64(v*1000+0.5))/1000, 'f', -1, 64)
}

// totals returns the current value of each field.
func (r *Reporter) totals() map[string]float64 {
	totals := make(map[string]float64)
	for _, c := range r.Counters {
		c.addTo(totals)
	}
	return totals
}

// addTo adds the current values of the counter's children to totals.
func (c Counter) addTo(totals map[string]float64) {
	children := make(chan prometheus.Metric)
	go func() {
		defer close(children)
		c.Collector.Collect(children)
	}()
	for child := range children {
		var m dto.Metric
		if err := child.Write(&m); err != nil {
			continue // the child reports the error to scrapers
		}
		if !c.selects(m.GetLabel()) {
			continue
		}
		totals[c.field(m.GetLabel())] += m.GetCounter().GetValue() + m.GetHistogram().GetSampleSum()
	}
}

// selects reports whether a child has all labels of Only.
func (c Counter) selects(labels []*dto.LabelPair) bool {
	matching := 0
	for _, l := range labels {
		if value, ok := c.Only[l.GetName()]; ok && value == l.GetValue() {
			matching++
		}
	}
	return matching == len(c.Only)
}

// field returns the name of the field to which a child with the given labels is added.
func (c Counter) field(labels []*dto.LabelPair) string {
	for _, l := range labels {
		if l.GetName() == c.Label {
			return c.Name + "_" + l.GetValue()
		}
	}
	return c.Name
}
