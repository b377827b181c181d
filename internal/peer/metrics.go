package peer

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenabridge/galenabridge/internal/result"
)

// Values of the label direction.
const (
	directionIn  = "in"
	directionOut = "out"
)

// metrics holds the metrics of messages and connections between hosts.
type metrics struct {
	messages    *prometheus.CounterVec
	bytes       *prometheus.CounterVec
	dropped     *prometheus.CounterVec
	refused     *prometheus.CounterVec
	misdirected *prometheus.CounterVec
	conns       prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenabridge_peer_messages_total",
			Help: "Messages between hosts by kind and direction.",
		}, []string{"kind", "direction"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenabridge_peer_bytes_total",
			Help: "Encoded bytes of messages between hosts by kind and direction.",
		}, []string{"kind", "direction"}),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenabridge_peer_dropped_total",
			Help: "Messages dropped before they were sent, by kind.",
		}, []string{"kind"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenabridge_peer_refused_total",
			Help: "Peers and messages refused, by result code.",
		}, []string{"code"}),
		misdirected: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenabridge_peer_misdirected_total",
			Help: "Messages that were dropped because they were for or from another process of the host, by kind.",
		}, []string{"kind"}),
		conns: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "galenabridge_peer_connections",
			Help: "Open connections to other hosts.",
		}),
	}
	if reg != nil {
		reg.MustRegister(m.messages, m.bytes, m.dropped, m.refused, m.misdirected, m.conns)
	}
	return m
}

func (m *metrics) count(kind Kind, direction string, size int) {
	m.messages.WithLabelValues(kind.String(), direction).Inc()
	m.bytes.WithLabelValues(kind.String(), direction).Add(float64(size))
}

// count counts a message that was sent or received.
func (n *Node) count(kind Kind, direction string, size int) {
	n.metrics.count(kind, direction, size)
	if n.opts.CountBytes != nil {
		n.opts.CountBytes(size)
	}
}

func (m *metrics) countRefusal(code result.Code) {
	m.refused.WithLabelValues(codeLabel(code)).Inc()
}

func codeLabel(code result.Code) string { return strconv.Itoa(int(code)) }
