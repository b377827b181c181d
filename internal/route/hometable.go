package route

import (
	"reflect"
	"slices"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/note"
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
	// links are the links of the entry hosts that have declared one, in bytes a second.
	links map[string]int64
	// placement is set while links are thin. Its home hosts replace byService.
	placement *Placement
	moved     int
}

// Update applies a state. It reports whether the placement was computed anew or has ended.
func (t *HomeTable) Update(state *agreed.State) bool {
	if state == t.state {
		return false
	}
	former := t.state
	t.state = state
	domainsChanged := t.updateEndpointDomains()
	hostsChanged := former == nil || state.HostsChanged != former.HostsChanged
	if hostsChanged {
		t.updateHosts()
	}
	if len(t.links) == 0 && t.placement == nil {
		return false
	}
	if hostsChanged || domainsChanged || !sameDemand(state.Catalog, former.Catalog) {
		return t.updatePlacement()
	}
	return false
}

// updateHosts applies changed hosts.
func (t *HomeTable) updateHosts() {
	t.byDomain, t.hosts, t.byService, t.firstHomes = map[string][]string{}, 0, map[string][]string{}, map[string][]string{}
	t.links = map[string]int64{}
	for id, host := range t.state.Hosts {
		if !host.Entry {
			continue
		}
		t.byDomain[host.Domain] = append(t.byDomain[host.Domain], id)
		t.hosts++
		if host.Link > 0 {
			t.links[id] = host.Link
		}
	}
}

// sameDemand reports whether two catalogs share the workspaces and services, which are replaced
// when they change.
func sameDemand(a, b note.Catalog) bool {
	return reflect.ValueOf(a.Workspaces).Pointer() == reflect.ValueOf(b.Workspaces).Pointer() &&
		reflect.ValueOf(a.Services).Pointer() == reflect.ValueOf(b.Services).Pointer()
}

// updatePlacement computes the placement, and counts what it moves. It reports whether there is
// or was one.
func (t *HomeTable) updatePlacement() bool {
	former := t.placement
	t.placement = nil
	if !AllAtHome(t.hosts) {
		hosts := make(map[string][]string, len(t.byDomain))
		for domain, names := range t.byDomain {
			hosts[domain] = slices.Sorted(slices.Values(names))
		}
		t.placement = newPlacement(placementInput{
			hosts: hosts, links: t.links, endpointDomains: t.endpointDomains,
			services: sortedNames(t.state.Catalog.Services), workspaces: t.state.Catalog.Workspaces,
		})
	}
	if t.placement == nil && former == nil {
		return false
	}
	t.byService, t.firstHomes = map[string][]string{}, map[string][]string{}
	t.moved += t.placement.movedFrom(former)
	return true
}

// updateEndpointDomains forgets the home hosts of the services whose endpoints have come to
// other domains or left some, and reports whether there are any.
func (t *HomeTable) updateEndpointDomains() bool {
	domains := make(map[string][]string)
	changed := false
	for _, e := range t.state.Endpoints {
		domains[e.Service] = append(domains[e.Service], e.Domain)
	}
	for service, names := range domains {
		slices.Sort(names)
		domains[service] = slices.Compact(names)
		if !slices.Equal(domains[service], t.endpointDomains[service]) {
			delete(t.byService, service)
			clear(t.firstHomes)
			changed = true
		}
	}
	changed = changed || len(domains) != len(t.endpointDomains)
	t.endpointDomains = domains
	return changed
}

// IsHome reports whether a host is a home host of a service.
func (t *HomeTable) IsHome(host, service string) bool {
	return slices.Contains(t.homeHosts(service), host)
}

// homeHosts returns the home hosts of a service.
func (t *HomeTable) homeHosts(service string) []string {
	if t.placement != nil {
		if home, ok := t.placement.homes[service]; ok {
			return home
		}
	}
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
	ranked := t.rank(self, service, workspace)
	if at := slices.Index(ranked, self); at >= 0 {
		ranked = ranked[:at]
	}
	return ranked
}

// rank returns the home hosts of a service in the order in which they should serve a workspace for
// the callers of a host.
func (t *HomeTable) rank(caller, service, workspace string) []string {
	if t.placement != nil {
		if ranked := t.placement.rank(caller, service, workspace); len(ranked) > 0 {
			return ranked
		}
	}
	return RankHomeHosts(t.homeHosts(service), service, workspace)
}

// maxOtherHosts is the number of hosts up to which a host without a lease asks all others, not
// only home hosts.
const maxOtherHosts = 16

// Others returns the hosts that can run a workspace's statements on a service in place of the
// given host, which is unable to, in order of preference: the home hosts, and in a fleet of up to
// maxOtherHosts hosts the others after them. It answers the loss of the lease on this host while
// others have theirs, as after a cut between it and the control hosts.
func (t *HomeTable) Others(self, service, workspace string) []string {
	ranked := t.rank(self, service, workspace)
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
// services, for the callers of any host, in sorted order. The services must be sorted.
func (t *HomeTable) FirstHomes(services []string, workspace string) []string {
	if !slices.Equal(services, t.firstHomesOf) {
		t.firstHomes, t.firstHomesOf = map[string][]string{}, services
	}
	if first, ok := t.firstHomes[workspace]; ok {
		return first
	}
	var first []string
	for _, service := range services {
		if t.placement != nil {
			first = append(first, t.placement.firstHomes(service, workspace)...)
		} else if home := t.homeHosts(service); len(home) > 0 {
			first = append(first, rendezvous.Owner(home, workspaceKey(service, workspace)))
		}
	}
	slices.Sort(first)
	first = slices.Compact(first)
	t.firstHomes[workspace] = first
	return first
}
