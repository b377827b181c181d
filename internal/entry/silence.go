package entry

import (
	"sync"
	"time"

	"github.com/galenabridge/galenabridge/internal/pgback"
)

// silenceLimit is how long an endpoint may leave its monitor without an answer
// before the requests in progress on it are given up. Only replicas are
// concerned: a primary is replaced by a failover.
const silenceLimit = 3 * time.Second

// silence notices endpoints that have stopped answering. It is an Observer.
type silence struct {
	give func(endpoint string)

	mu sync.Mutex
	// since holds, for each endpoint without an answer, when it was first
	// asked in vain.
	since map[string]time.Time
}

func newSilence(give func(endpoint string)) *silence {
	return &silence{give: give, since: make(map[string]time.Time)}
}

// Observe implements Observer.
func (s *silence) Observe(_ string, status pgback.Status) {
	if s.tooLong(status, time.Now()) {
		s.give(status.Endpoint)
	}
}

func (s *silence) tooLong(status pgback.Status, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if status.Err == nil {
		delete(s.since, status.Endpoint)
		return false
	}
	first, ok := s.since[status.Endpoint]
	if !ok {
		s.since[status.Endpoint] = status.Asked
		first = status.Asked
	}
	return now.Sub(first) >= silenceLimit
}

// giveUpOn interrupts the requests in progress on a replica. Those that had no
// effect move to another endpoint.
func (s *Server) giveUpOn(endpoint string) {
	for _, session := range s.list() {
		session.giveUpOn(endpoint)
	}
}

func (s *session) giveUpOn(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held != nil && s.held.endpoint == endpoint && !s.held.primary {
		s.held.conn.Interrupt()
	}
}
