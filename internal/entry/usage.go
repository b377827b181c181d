package entry

import (
	"time"

	"github.com/galenabridge/galenabridge/internal/limits"
)

// Usage implements limits.Pool.
func (s *Server) Usage() []limits.Usage {
	var all []limits.Usage
	for endpoint, stats := range s.backends.stats() {
		// The monitor has a connection of its own.
		u := limits.Usage{
			Endpoint:          endpoint,
			Connections:       stats.Open + 1,
			WantedConnections: stats.Open - stats.Idle + stats.Waiting + 1,
		}
		if gate, ok := s.gate.(*QueueGate); ok {
			running, waiting := gate.load(endpoint)
			u.Slots, u.WantedSlots = running, running+waiting
		}
		all = append(all, u)
	}
	return all
}

// Resize implements limits.Pool.
func (s *Server) Resize() {
	s.backends.resize()
	if gate, ok := s.gate.(*QueueGate); ok {
		gate.resize()
	}
}

// load returns the requests that run on an endpoint and those that wait for its
// slots.
func (g *QueueGate) load(endpoint string) (running, waiting int) {
	g.mu.Lock()
	e, ok := g.gates[endpoint]
	g.mu.Unlock()
	if !ok {
		return 0, 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queue.Running(), e.queue.Waiting()
}

// resize follows changed numbers of slots.
func (g *QueueGate) resize() {
	g.mu.Lock()
	gates := make([]*endpointGate, 0, len(g.gates))
	for _, e := range g.gates {
		gates = append(gates, e)
	}
	g.mu.Unlock()
	for _, e := range gates {
		e.mu.Lock()
		e.resize(time.Now())
		e.mu.Unlock()
	}
}
