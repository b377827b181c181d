package route

import (
	"slices"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/rendezvous"
)

// HomeTable holds the home hosts of the services that are in use. It computes them on
// first use and keeps them until the entry hosts or the domains of the endpoints change. It
// is not safe for concurrent use.
type HomeTable struct {
	state *agreed.State
	// endpointDomains are the failure domains of the endpoints by service, in sorted order.
	endpointDomains map[string][]string
	byDomain        map[string][]string // entry hosts by failure domain
	hosts           int
	byService       map[string][]string
	// firstHomes are the results of FirstHomes by workspace, for the services in
	// firstHomesOf.
	firstHomes   map[string][]string
	firstHomesOf []string
}

// Update applies a state.
func (t *HomeTable) Update(state *agreed.State) {
	if state == t.state {
		return
	}
	unchanged := t.state != nil && state.HostsChanged == t.state.HostsChanged
	t.state = state
	t.updateEndpointDomains()
	if unchanged {
		return
	}
	t.byDomain, t.hosts, t.byService, t.firstHomes = map[string][]string{}, 0, map[string][]string{}, map[string][]string{}
	for id, host := range state.Hosts {
		if host.Entry {
			t.byDomain[host.Domain] = append(t.byDomain[host.Domain], id)
			t.hosts++
		}
	}
}

// updateEndpointDomains forgets the home hosts of the services whose endpoints have come to
// other domains or left some.
func (t *HomeTable) updateEndpointDomains() {
	domains := make(map[string][]string)
	for _, e := range t.state.Endpoints {
		domains[e.Service] = append(domains[e.Service], e.Domain)
	}
	for service, names := range domains {
		slices.Sort(names)
		domains[service] = slices.Compact(names)
		if !slices.Equal(domains[service], t.endpointDomains[service]) {
			delete(t.byService, service)
			clear(t.firstHomes)
		}
	}
	t.endpointDomains = domains
}

// IsHome reports whether a host is a home host of a service.
func (t *HomeTable) IsHome(host, service string) bool {
	return slices.Contains(t.homeHosts(service), host)
}

// homeHosts returns the home hosts of a service.
func (t *HomeTable) homeHosts(service string) []string {
	home, ok := t.byService[service]
	if !ok && t.hosts > 0 {
		home = HomeHosts(service, t.byDomain, t.endpointDomains[service])
		t.byService[service] = home
	}
	return home
}

// Preferred returns the home hosts that should run a workspace's statements on a service
// rather than the given host, in order of preference. There are none in a fleet where all
// hosts are home hosts of all services.
func (t *HomeTable) Preferred(self, service, workspace string) []string {
	if AllAtHome(t.hosts) {
		return nil
	}
	ranked := RankHomeHosts(t.homeHosts(service), service, workspace)
	if at := slices.Index(ranked, self); at >= 0 {
		ranked = ranked[:at]
	}
	return ranked
}

// maxOtherHosts is the number of hosts up to which a host without a lease asks all others, not
// only home hosts.
const maxOtherHosts = 16

// Others returns the hosts that can run a workspace's statements on a service in place of the
// given host, which is unable to, in order of preference: the home hosts, and in a fleet of up to
// maxOtherHosts hosts the others after them. It answers the loss of the lease on this host while
// others have theirs, as after a cut between it and the control hosts.
func (t *HomeTable) Others(self, service, workspace string) []string {
	ranked := RankHomeHosts(t.homeHosts(service), service, workspace)
	if t.hosts <= maxOtherHosts {
		var rest []string
		for _, names := range t.byDomain {
			for _, host := range names {
				if !slices.Contains(ranked, host) {
					rest = append(rest, host)
				}
			}
		}
		ranked = append(ranked, RankHomeHosts(rest, service, workspace)...)
	}
	return slices.DeleteFunc(ranked, func(host string) bool { return host == self })
}

// FirstHomes returns the hosts that are the first home host of a workspace on one of the
// services, in sorted order. The services must be sorted.
func (t *HomeTable) FirstHomes(services []string, workspace string) []string {
	if !slices.Equal(services, t.firstHomesOf) {
		t.firstHomes, t.firstHomesOf = map[string][]string{}, services
	}
	if first, ok := t.firstHomes[workspace]; ok {
		return first
	}
	var first []string
	for _, service := range services {
		if home := t.homeHosts(service); len(home) > 0 {
			first = append(first, rendezvous.Owner(home, workspaceKey(service, workspace)))
		}
	}
	slices.Sort(first)
	first = slices.Compact(first)
	t.firstHomes[workspace] = first
	return first
}
