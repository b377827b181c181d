package entry

import (
	"sync"
	"time"

	"github.com/galenabridge/galenabridge/internal/pgback"
)

// silenceLimit is how long an endpoint may leave its monitor without an answer
// before the requests in progress on it are given up. Only replicas are
// concerned: a primary is replaced by a failover.
const unresponsiveTimeout = 3 * time.Second

// silence notices endpoints that have stopped answering. It is an Observer.
type unresponsiveDetector struct {
	onUnresponsive func(endpoint string)

	mu sync.Mutex
	// since holds, for each endpoint without an answer, when it was first
	// asked in vain.
	failingSince map[string]time.Time
}

func newUnresponsiveDetector(onUnresponsive func(endpoint string)) *unresponsiveDetector {
	return &unresponsiveDetector{onUnresponsive: onUnresponsive, failingSince: make(map[string]time.Time)}
}

// Observe implements Observer.
func (s *unresponsiveDetector) Observe(_ string, status pgback.Status) {
	if s.timedOut(status, time.Now()) {
		s.onUnresponsive(status.Endpoint)
	}
}

func (s *unresponsiveDetector) timedOut(status pgback.Status, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if status.Err == nil {
		delete(s.failingSince, status.Endpoint)
		return false
	}
	first, ok := s.failingSince[status.Endpoint]
	if !ok {
		s.failingSince[status.Endpoint] = status.Asked
		first = status.Asked
	}
	return now.Sub(first) >= unresponsiveTimeout
}

// giveUpOn interrupts the requests in progress on a replica. Those that had no
// effect move to another endpoint.
func (s *Server) interruptReplica(endpoint string) {
	for _, session := range s.activeSessions() {
		session.interruptReplica(endpoint)
	}
}

func (s *session) interruptReplica(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active != nil && s.active.endpoint == endpoint && !s.active.primary {
		s.active.conn.Interrupt()
	}
}
