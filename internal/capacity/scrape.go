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

// Metrics that are read from a process.
const (
	metricCPU      = "process_cpu_seconds_total"
	metricMemory   = "process_resident_memory_bytes"
	metricBytes    = "galenabridge_peer_bytes_total"
	metricMessages = "galenabridge_peer_messages_total"
)

const scrapeTimeout = 10 * time.Second

// sample is the state of a process at one time.
type sample struct {
	at       time.Time
	cpu      float64 // seconds of processor time
	memory   float64 // resident bytes
	bytes    float64 // sent and received between hosts
	messages float64
}

// scrape reads the metrics of the process with the given admin address.
func scrape(admin string) (sample, error) {
	client := http.Client{Timeout: scrapeTimeout}
	resp, err := client.Get("http://" + admin + "/metrics")
	if err != nil {
		return sample{}, err
	}
	defer resp.Body.Close()
	families, err := parse(resp.Body)
	if err != nil {
		return sample{}, errors.Wrapf(err, "metrics of %s", admin)
	}
	return sample{
		at:       time.Now(),
		cpu:      sum(families[metricCPU]),
		memory:   sum(families[metricMemory]),
		bytes:    sum(families[metricBytes]),
		messages: sum(families[metricMessages]),
	}, nil
}

func parse(r io.Reader) (map[string]*dto.MetricFamily, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	return parser.TextToMetricFamilies(r)
}

func sum(family *dto.MetricFamily) float64 {
	total := 0.0
	for _, m := range family.GetMetric() {
		total += m.GetCounter().GetValue() + m.GetGauge().GetValue()
	}
	return total
}

// rates are the costs of a process per second over a window.
type rates struct {
	cpu      float64 // share of one core
	bytes    float64
	messages float64
	memory   float64 // resident bytes at the end of the window
}

// observe measures a process over a window.
func observe(admin string, window time.Duration) (rates, error) {
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

// ownCPU returns the processor time of this process, in seconds.
func ownCPU() (float64, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, errors.Wrap(err, "processor time")
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds(), nil
}
