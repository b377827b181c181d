package core

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/crossing"
	"github.com/galenabridge/galenabridge/internal/rendezvous"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/view"
)

// Costs of choosing an endpoint for a read. The unit is one statement in progress there.
const (
	// remoteCost: traffic between failure domains is expensive, and the answer takes a
	// longer round trip. It applies where no price of crossing is set.
	remoteCost = 1.5
	// primaryCost reserves the primary for the statements that only it can run.
	primaryCost = 1.6
	// dialCost: no connection of the workspace is idle. Opening one occupies a slot for
	// 12 ms, which is four round trips between failure domains.
	dialCost = 2.0
	// nonPreferredCost concentrates a host's reads on one replica, where its few
	// connections then serve most workspaces.
	nonPreferredCost = 0.8
	// unhealthyCost makes reads avoid an endpoint that is suspected or behind while
	// there is another one.
	unhealthyCost = 100
)

// need is what a statement requires of an endpoint.
type need struct {
	service   string
	workspace string
	// primary: only the primary qualifies.
	primary bool
	// after is the position that a replica must have applied.
	after LogPosition
	// unpositioned: a replica would qualify if a position of the primary in the log were known.
	unpositioned bool
	log          Log
	// target and timeout are those of the route.
	target, timeout time.Duration
	// exclude lists the endpoints at which this statement has failed.
	exclude []string
}

// choice is an endpoint with the log of the group under which it was chosen.
type choice struct {
	endpoint *endpoint
	primary  bool
	log      Log
	// cause is why the endpoint is in another failure domain. It is empty if all members of the
	// service are in one domain.
	cause crossing.Cause
}

// admits reports whether the requirements hold for the log under which an endpoint was chosen.
func (n need) admits(c choice) bool {
	_, ok := n.after.requiredAt(c.log)
	return c.primary || ok
}

// pickEndpoint chooses an endpoint under the current view: the primary, or the member
// with the lowest cost for a read, within the failure domain that package crossing decides. It needs a
// valid configuration lease.
func (s *Server) pickEndpoint(now time.Time, n need) (choice, error) {
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
	candidates := make([]candidate, 0, len(g.Members))
	preferredReplica := s.preferredReplica(v, g)
	for _, id := range g.Members {
		e, ok := s.usable(v, id)
		if !ok || slices.Contains(n.exclude, id) {
			continue
		}
		c := choice{endpoint: e, primary: g.Phase == agreed.PhaseActive && id == g.Primary, log: logOf(v.State, n.service)}
		cost := s.cost(now, c, n)
		if id != preferredReplica {
			cost += nonPreferredCost
		}
		candidates = append(candidates, candidate{choice: c, cost: cost, local: e.record.Domain == s.opts.Domain})
	}
	var best candidate
	if s.decidesCrossing(v, g) {
		best, ok = chooseAcrossDomains(candidates, s.crossings.read(s.opts.Host, n))
	} else {
		best, ok = cheapest(candidates, func(candidate) bool { return true })
	}
	if !ok {
		return choice{}, result.New(result.NoEndpoint, "no endpoint of service %q is in use", n.service)
	}
	return best.choice, nil
}

// pickHedge chooses the endpoint for a second attempt of a read: the member with the lowest
// cost among those other than the first, that have not failed for this statement, and that are
// neither suspected nor known to lack the position. Unless mayDial, a connection of the
// workspace must be idle.
func (s *Server) pickHedge(now time.Time, n need, first string, mayDial bool) (choice, bool) {
	v := s.opts.View.Current()
	if !v.Valid() {
		return choice{}, false
	}
	g := v.State.Groups[n.service]
	var best choice
	lowest := 0.0
	for _, id := range g.Members {
		e, ok := s.usable(v, id)
		if !ok || id == first || slices.Contains(n.exclude, id) || !mayDial && !e.pool.HasIdle(n.workspace) {
			continue
		}
		c := choice{endpoint: e, primary: g.Phase == agreed.PhaseActive && id == g.Primary, log: logOf(v.State, n.service)}
		cost := s.cost(now, c, n)
		if n.admits(c) && cost < unhealthyCost && (best.endpoint == nil || cost < lowest) {
			best, lowest = c, cost
		}
	}
	return best, best.endpoint != nil
}

// pickPrimary returns the active primary of the group. It fails with NoPrimary when there
// is none or it must not get new work.
func (s *Server) pickPrimary(v view.View, g agreed.Group, n need) (choice, error) {
	if g.Phase != agreed.PhaseActive {
		return choice{}, result.New(result.NoPrimary, "service %q is %s: %s", n.service, g.Phase, g.Reason)
	}
	e, ok := s.usable(v, g.Primary)
	if !ok {
		return choice{}, result.New(result.NoPrimary, "the primary %s of service %q is not in use", g.Primary, n.service)
	}
	c := choice{endpoint: e, primary: true, log: logOf(v.State, n.service)}
	if s.decidesCrossing(v, g) {
		c.cause = crossing.CauseNone
		if e.record.Domain != s.opts.Domain {
			c.cause = causePrimary
		}
	}
	return c, nil
}

// preferredReplica returns the replica on which this host concentrates its reads: one in
// its own failure domain if there is any. Rendezvous hashing spreads hosts over replicas.
func (s *Server) preferredReplica(v view.View, g agreed.Group) string {
	var local, all []string
	for _, id := range g.Members {
		e := v.State.Endpoints[id]
		if id == g.Primary || e.Leaving || v.State.DomainOut(e.Domain) {
			continue
		}
		all = append(all, id)
		if e.Domain == s.opts.Domain {
			local = append(local, id)
		}
	}
	if len(local) > 0 {
		all = local
	}
	return rendezvous.Owner(all, s.opts.Host)
}

// usable returns the endpoint with the ID, or false when it must not get new work: it is
// unknown or leaving, its failure domain is out, or the server has stopped.
func (s *Server) usable(v view.View, id string) (*endpoint, bool) {
	record, ok := v.State.Endpoints[id]
	if !ok || record.Leaving || v.State.DomainOut(record.Domain) {
		return nil, false
	}
	e := s.endpoint(record)
	return e, e != nil
}

// cost returns the cost of an endpoint for a read. A random part below 0.1 spreads reads
// over endpoints of equal cost.
func (s *Server) cost(now time.Time, c choice, n need) float64 {
	l := c.endpoint.load(now)
	cost := float64(l.inflight) + rand.Float64()/10
	if s.opts.CrossingMSPerKB == nil && c.endpoint.record.Domain != s.opts.Domain {
		cost += remoteCost
	}
	if c.primary {
		cost += primaryCost
	}
	if !c.endpoint.pool.HasIdle(n.workspace) {
		cost += dialCost
	}
	if l.suspected || !c.primary && l.lacks(n.after) {
		cost += unhealthyCost
	}
	return cost
}

// stillValid reports whether a choice may still be used: the lease is valid, the failure domain of
// the endpoint is in use, and a chosen primary is still the active primary in the same term.
func (s *Server) stillValid(c choice) bool {
	v := s.opts.View.Current()
	if !v.Valid() || v.State.DomainOut(c.endpoint.record.Domain) {
		return false
	}
	if !c.primary {
		return true
	}
	g := v.State.Groups[c.endpoint.record.Service]
	return g.Phase == agreed.PhaseActive && logOf(v.State, c.endpoint.record.Service) == c.log && g.Primary == c.endpoint.record.ID
}
