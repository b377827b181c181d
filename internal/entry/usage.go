package entry

import (
	"time"

	"github.com/galenabridge/galenabridge/internal/limits"
)

// Usage implements limits.Pool.
func (s *Server) Usage() []limits.Usage {
	var all []limits.Usage
	for _, use := range s.backends.poolUse() {
		// The monitor has a connection of its own.
		u := limits.Usage{
			Service:           use.service,
			Endpoint:          use.endpoint,
			Connections:       use.open + 1,
			WantedConnections: use.peak + 1,
		}
		if gate, ok := s.gate.(*QueueGate); ok {
			u.Slots, u.WantedSlots = gate.use(use.endpoint)
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

// use returns the requests that run on an endpoint, and the greatest number
// that ran or waited at once since the last call.
func (g *QueueGate) use(endpoint string) (running, peak int) {
	g.mu.Lock()
	e, ok := g.gates[endpoint]
	g.mu.Unlock()
	if !ok {
		return 0, 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	peak = max(e.peak, e.queue.Running()+e.queue.Waiting())
	e.peak = 0
	return e.queue.Running(), peak
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
