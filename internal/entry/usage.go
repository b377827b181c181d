package entry

import (
	"github.com/galenabridge/galenabridge/internal/gate"
	"github.com/galenabridge/galenabridge/internal/limits"
)

// Usage implements limits.Pool. It resets the peaks that it returns.
func (s *Server) Usage() []limits.Usage {
	var all []limits.Usage
	for _, use := range s.backends.poolUsage() {
		// The monitor's own connection is not part of the pool.
		u := limits.Usage{
			Service:          use.service,
			Endpoint:         use.endpoint,
			Connections:      use.open + 1,
			ConnectionDemand: use.peak + 1,
		}
		if g, ok := s.gate.(*gate.Gate); ok {
			u.Slots, u.SlotDemand = g.TakeUsage(use.endpoint)
		}
		all = append(all, u)
	}
	return all
}

// Resize implements limits.Pool.
func (s *Server) Resize() {
	s.backends.resize()
	if g, ok := s.gate.(*gate.Gate); ok {
		g.Resize()
	}
}
