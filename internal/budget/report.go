package budget

import (
	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
)

// Names of the limits in metrics and logs.
const (
	// ConnectionShed: a connection was closed for its use of memory.
	ConnectionShed = "connection_shed"
	// MemoryRefused: a message or an answer was refused for lack of memory.
	MemoryRefused = "memory"
	// WorkspaceRefused: the sessions of a workspace keep as much as they may.
	WorkspaceRefused = "workspace_kept"
	// SessionKept: a session keeps as much as it may.
	SessionKept = "session_kept"
	// MessageSize: a message exceeded the largest size.
	MessageSize = "message_size"
	// MessageRate: a message arrived too slowly.
	MessageRate = "message_rate"
	// SessionStart: a session was not started in time.
	SessionStart = "session_start"
	// AnswerRate: an answer was read too slowly.
	AnswerRate = "answer_rate"
	// ConnectionCount: a connection was closed or refused because there are too many.
	ConnectionCount = "connections"
)

// reporter counts and logs the limits that take effect.
type reporter struct {
	hits *prometheus.CounterVec
	log  *log.Logger
}

func newReporter(b *Budget, reg prometheus.Registerer, logger *log.Logger) *reporter {
	r := &reporter{log: logger, hits: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "galenabridge_client_limits_total", Help: "Clients that were refused or disconnected by a limit, by the limit.",
	}, []string{"limit"})}
	if reg == nil {
		return r
	}
	reg.MustRegister(r.hits, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "galenabridge_client_memory_bytes", Help: "Memory reserved for what callers make the host hold.",
	}, func() float64 { return float64(b.Used()) }))
	return r
}

// Limited counts and logs that a limit took effect, with key-value pairs for the log. The volume of
// the log is bounded by package eventlog.
func (b *Budget) Limited(limit string, fields ...any) {
	if b == nil {
		return
	}
	b.report.hits.WithLabelValues(limit).Inc()
	if b.report.log != nil {
		b.report.log.Warn("client_limited", append([]any{"limit", limit}, fields...)...)
	}
}
