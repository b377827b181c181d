package capacity

import (
	"io"
	"net/http"
	"syscall"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/pkg/errors"
)

// Names of the metrics that are read from a process.
const (
	metricCPU      = "process_cpu_seconds_total"
	metricMemory   = "process_resident_memory_bytes"
	metricBytes    = "galenabridge_peer_bytes_total"
	metricMessages = "galenabridge_peer_messages_total"
)

const scrapeTimeout = 10 * time.Second

// sample holds the metrics of a process at one time. All but memory are totals since
// its start.
type sample struct {
	at       time.Time
	cpu      float64 // CPU seconds
	memory   float64 // resident bytes
	bytes    float64 // sent to and received from other hosts
	messages float64 // sent to and received from other hosts
}

// scrape reads the metrics of the process with the given admin address (IP:PORT).
func scrape(admin string) (sample, error) {
	client := http.Client{Timeout: scrapeTimeout}
	resp, err := client.Get("http://" + admin + "/metrics")
	if err != nil {
		return sample{}, err
	}
	defer resp.Body.Close()
	families, err := parseMetrics(resp.Body)
	if err != nil {
		return sample{}, errors.Wrapf(err, "metrics of %s", admin)
	}
	return sample{
		at:       time.Now(),
		cpu:      sumFamily(families[metricCPU]),
		memory:   sumFamily(families[metricMemory]),
		bytes:    sumFamily(families[metricBytes]),
		messages: sumFamily(families[metricMessages]),
	}, nil
}

// parseMetrics parses the Prometheus text format.
func parseMetrics(r io.Reader) (map[string]*dto.MetricFamily, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	return parser.TextToMetricFamilies(r)
}

// sumFamily returns the sum of the counters and gauges over all labels of a metric.
// The sum of a missing metric is 0.
func sumFamily(family *dto.MetricFamily) float64 {
	total := 0.0
	for _, m := range family.GetMetric() {
		total += m.GetCounter().GetValue() + m.GetGauge().GetValue()
	}
	return total
}

// rates holds the averages per second of a process's metrics over a window, and its
// memory at the end.
type rates struct {
	cpu      float64 // share of one core
	bytes    float64
	messages float64
	memory   float64 // resident bytes
}

// measureRates scrapes a process before and after a window.
func measureRates(admin string, window time.Duration) (rates, error) {
	before, err := scrape(admin)
	if err != nil {
		return rates{}, err
	}
	time.Sleep(window)
	after, err := scrape(admin)
	if err != nil {
		return rates{}, err
	}
	seconds := after.at.Sub(before.at).Seconds()
	return rates{
		cpu:      (after.cpu - before.cpu) / seconds,
		bytes:    (after.bytes - before.bytes) / seconds,
		messages: (after.messages - before.messages) / seconds,
		memory:   after.memory,
	}, nil
}

// ownCPUSeconds returns the CPU time of this process, in user and system mode.
func ownCPUSeconds() (float64, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, errors.Wrap(err, "read CPU time")
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds(), nil
}
