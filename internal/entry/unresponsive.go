package entry

import (
	"sync"
	"time"

	"github.com/galenabridge/galenabridge/internal/pgback"
)

// unresponsiveTimeout is how long an endpoint may fail to answer its monitor before the
// requests in progress on it are interrupted. This applies to replicas only: a primary is
// replaced by a failover.
const unresponsiveTimeout = 3 * time.Second

// unresponsiveDetector detects endpoints that have stopped answering their monitor. It is an
// Observer.
type unresponsiveDetector struct {
	onUnresponsive func(endpoint string)

	mu sync.Mutex
	// failingSince holds, for each endpoint that does not answer, the time of the first
	// status request without an answer.
	failingSince map[string]time.Time
}

func newUnresponsiveDetector(onUnresponsive func(endpoint string)) *unresponsiveDetector {
	return &unresponsiveDetector{onUnresponsive: onUnresponsive, failingSince: make(map[string]time.Time)}
}

// Observe implements Observer.
func (d *unresponsiveDetector) Observe(_ string, status pgback.Status) {
	if d.timedOut(status, time.Now()) {
		d.onUnresponsive(status.Endpoint)
	}
}

// timedOut records a status and reports whether the endpoint has exceeded the timeout.
func (d *unresponsiveDetector) timedOut(status pgback.Status, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if status.Err == nil {
		delete(d.failingSince, status.Endpoint)
		return false
	}
	first, ok := d.failingSince[status.Endpoint]
	if !ok {
		d.failingSince[status.Endpoint] = status.QueriedAt
		first = status.QueriedAt
	}
	return now.Sub(first) >= unresponsiveTimeout
}

// interruptReplica interrupts the requests in progress on a replica. Those that had no
// effect are retried on another endpoint.
func (s *Server) interruptReplica(endpoint string) {
	for _, session := range s.activeSessions() {
		session.interruptReplica(endpoint)
	}
}

// interruptReplica interrupts the session's request if it runs on the replica.
func (s *session) interruptReplica(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active != nil && s.active.endpoint == endpoint && !s.active.primary {
		s.active.conn.Interrupt()
	}
}
