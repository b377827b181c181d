package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/config"
	"github.com/galenabridge/galenabridge/internal/rendezvous"
)

// updateCandidates sets the control hosts that can become the upstream. With open
// membership these are the control hosts of the agreed state, nearest first, and then the
// seeds; otherwise they are the configured control hosts.
func (s *Subscriber) updateCandidates(state *agreed.State) {
	if !s.opts.OpenMembership {
		s.candidates = s.opts.Controls
		return
	}
	candidates := make([]config.ControlHost, 0, len(s.opts.Controls))
	for _, h := range state.Hosts {
		if h.Control {
			candidates = append(candidates, config.ControlHost{Host: h.ID, Addr: h.PeerAddr})
		}
	}
	slices.SortFunc(candidates, func(a, b config.ControlHost) int {
		return cmp.Or(s.distance(state, a.Host)-s.distance(state, b.Host), cmp.Compare(a.Host, b.Host))
	})
	for _, seed := range s.opts.Controls {
		if !slices.ContainsFunc(candidates, func(c config.ControlHost) bool { return c.Host == seed.Host }) {
			candidates = append(candidates, seed)
		}
	}
	s.candidates = candidates
}

// distance returns the rank of a control host in the order of candidates: 0 for this
// host, 1 for others in its failure domain, 2 for all others.
func (s *Subscriber) distance(state *agreed.State, host string) int {
	switch {
	case host == s.opts.Peer.Host():
		return 0
	case state.Hosts[host].Domain == s.opts.Domain:
		return 1
	default:
		return 2
	}
}

// firstUpstream returns this host if it has the control role. Other hosts are spread
// over the candidates by their incarnation.
func (s *Subscriber) firstUpstream() config.ControlHost {
	for _, c := range s.candidates {
		if c.Host == s.opts.Peer.Host() {
			return c
		}
	}
	return s.candidates[s.opts.Peer.Incarnation()%uint64(len(s.candidates))]
}

// nextUpstream returns the candidate after the current upstream, in a cycle.
func (s *Subscriber) nextUpstream() config.ControlHost {
	at := slices.IndexFunc(s.candidates, func(c config.ControlHost) bool { return c.Host == s.upstream().Host })
	return s.candidates[(at+1)%len(s.candidates)]
}

// localUpstream returns a control host in the failure domain of this host, if there
// is one, so that pushes and leases stay inside the domain.
func (s *Subscriber) localUpstream() (config.ControlHost, bool) {
	var local []string
	for _, c := range s.candidates {
		if s.distance(s.state, c.Host) < 2 { // this host or one in its failure domain
			local = append(local, c.Host)
		}
	}
	chosen := rendezvous.Owner(local, s.opts.Peer.Host())
	at := slices.IndexFunc(s.candidates, func(c config.ControlHost) bool { return c.Host == chosen })
	if at < 0 {
		return config.ControlHost{}, false
	}
	return s.candidates[at], true
}

// refusalPacing decides when a host leaves a control host that has no state. It answers the load of
// a fleet that forms or returns slowly: control hosts without a state refuse at once, and hosts
// that switched at each refusal sent hundreds of lease requests and registrations a second.
type refusalPacing struct {
	// switches counts the switches since the last grant, up to the number of candidates.
	switches   int
	switchedAt time.Time
}

// maySwitch reports whether the host may switch to the next candidate now, and records the
// switch. Each candidate is tried once without a pause, since one of them may have a state.
func (p *refusalPacing) maySwitch(now time.Time, candidates int) bool {
	if p.switches >= candidates && now.Sub(p.switchedAt) < initialRenewInterval {
		return false
	}
	p.switches = min(p.switches+1, candidates)
	p.switchedAt = now
	return true
}

// granted records that a control host has granted a lease.
func (p *refusalPacing) granted() { p.switches = 0 }
