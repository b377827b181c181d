package core

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/rendezvous"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/view"
)

// Costs of choosing an endpoint for a read, in statements in progress there.
const (
	// remoteCost: bytes between failure domains are dear and the answer takes a
	// round trip more.
	remoteCost = 1.5
	// primaryCost leaves the primary to the statements that only it can run.
	primaryCost = 0.6
	// strangerCost: no connection of the workspace is open. Opening one takes a
	// slot for 12 ms, four round trips between failure domains.
	strangerCost = 2.0
	// awayCost gathers a host's reads at one replica, where its few connections
	// then serve most workspaces.
	awayCost = 0.8
	// troubleCost keeps reads off an endpoint that is suspected or behind while
	// there is another.
	troubleCost = 100
)

// need is what a statement asks of an endpoint.
type need struct {
	service   string
	workspace string
	// primary: only the primary will do.
	primary bool
	// after is the position that a replica must have.
	after Position
	// exclude are the endpoints that this statement has tried in vain.
	exclude []string
}

// choice is an endpoint with the group's term under which it was chosen.
type choice struct {
	endpoint *endpoint
	primary  bool
	term     uint64
}

// pick chooses an endpoint under the present view.
func (s *Server) pick(now time.Time, n need) (choice, error) {
	v := s.opts.View.Current()
	if !v.Valid() {
		return choice{}, result.New(result.NoConfigLease, "the configuration lease ended")
	}
	g, ok := v.State.Groups[n.service]
	if !ok {
		return choice{}, result.New(result.UnknownService, "%q", n.service)
	}
	if n.primary {
		return s.pickPrimary(v, g, n)
	}
	var best choice
	lowest := 0.0
	home := s.home(v, g)
	for _, id := range g.Members {
		e, ok := s.usable(v, id)
		if !ok || slices.Contains(n.exclude, id) {
			continue
		}
		c := choice{endpoint: e, primary: g.Phase == agreed.PhaseActive && id == g.Primary, term: g.Term}
		cost := s.cost(now, c, n)
		if id != home {
			cost += awayCost
		}
		if best.endpoint == nil || cost < lowest {
			best, lowest = c, cost
		}
	}
	if best.endpoint == nil {
		return best, result.New(result.NoEndpoint, "no endpoint of service %q is in use", n.service)
	}
	return best, nil
}

func (s *Server) pickPrimary(v view.View, g agreed.Group, n need) (choice, error) {
	if g.Phase != agreed.PhaseActive {
		return choice{}, result.New(result.NoPrimary, "service %q is %s: %s", n.service, g.Phase, g.Reason)
	}
	e, ok := s.usable(v, g.Primary)
	if !ok {
		return choice{}, result.New(result.NoPrimary, "the primary %s of service %q is not in use", g.Primary, n.service)
	}
	return choice{endpoint: e, primary: true, term: g.Term}, nil
}

// home returns the replica at which this host's reads gather: one of its own
// failure domain if there is any.
func (s *Server) home(v view.View, g agreed.Group) string {
	var near, all []string
	for _, id := range g.Members {
		e := v.State.Endpoints[id]
		if id == g.Primary || e.Leaving || v.State.Catalog.Domains[e.Domain].Out {
			continue
		}
		all = append(all, id)
		if e.Domain == s.opts.Domain {
			near = append(near, id)
		}
	}
	if len(near) > 0 {
		all = near
	}
	return rendezvous.Owner(all, s.opts.Host)
}

// usable returns an endpoint that takes new work.
func (s *Server) usable(v view.View, id string) (*endpoint, bool) {
	record, ok := v.State.Endpoints[id]
	if !ok || record.Leaving || v.State.Catalog.Domains[record.Domain].Out {
		return nil, false
	}
	e := s.endpoint(record)
	return e, e != nil
}

// cost weighs an endpoint for a read; a little noise spreads equal choices.
func (s *Server) cost(now time.Time, c choice, n need) float64 {
	l := c.endpoint.load(now)
	cost := float64(l.inflight) + rand.Float64()/10
	if c.endpoint.record.Domain != s.opts.Domain {
		cost += remoteCost
	}
	if c.primary {
		cost += primaryCost
	}
	if !c.endpoint.pool.HasIdle(n.workspace) {
		cost += strangerCost
	}
	if l.suspected || !c.primary && l.behind && l.position.Compare(n.after) < 0 {
		cost += troubleCost
	}
	return cost
}

// holds reports whether a choice is still good: the lease is valid, and a
// primary leads the same term.
func (s *Server) holds(c choice) bool {
	v := s.opts.View.Current()
	if !v.Valid() {
		return false
	}
	if !c.primary {
		return true
	}
	g := v.State.Groups[c.endpoint.record.Service]
	return g.Phase == agreed.PhaseActive && g.Term == c.term && g.Primary == c.endpoint.record.ID
}
