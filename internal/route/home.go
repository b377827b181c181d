package route

import (
	"slices"

	"github.com/galenabridge/galenabridge/internal/rendezvous"
)

// HomeHostCount is the number of home hosts of a service in a fleet of more than
// maxSmallFleetHosts hosts.
const HomeHostCount = 4

// HomeHosts returns the home hosts of a service in order of preference: the hosts
// that hold connections to its endpoints and acknowledge its writes. hosts lists
// the hosts by failure domain. The home hosts are spread over as many domains as
// possible: the domains are ranked first, then the hosts within each. The domains of
// the service's endpoints come before the others, so that statements cross between
// domains once, on their way to the home host, where another order would let them cross
// twice. In a small fleet all hosts are home hosts of every service.
func HomeHosts(service string, hosts map[string][]string, endpointDomains []string) []string {
	total := 0
	domains := make([]string, 0, len(hosts))
	for domain, names := range hosts {
		total += len(names)
		domains = append(domains, domain)
	}
	ranked := rankDomains(service, domains, endpointDomains)
	size := min(total, max(HomeHostCount, smallFleetSize(total)))
	byDomain := make([][]string, len(ranked))
	for i, domain := range ranked {
		byDomain[i] = rendezvous.Top(hosts[domain], service, size)
	}
	home := make([]string, 0, size)
	for row := 0; len(home) < size; row++ {
		for _, names := range byDomain {
			if row < len(names) && len(home) < size {
				home = append(home, names[row])
			}
		}
	}
	return home
}

// rankDomains returns the failure domains in the order in which a service has home hosts in them.
func rankDomains(service string, domains, endpointDomains []string) []string {
	ranked := rendezvous.Top(domains, service, len(domains))
	slices.SortStableFunc(ranked, func(a, b string) int {
		return domainOrder(endpointDomains, a) - domainOrder(endpointDomains, b)
	})
	return ranked
}

// domainOrder returns 0 for a domain with endpoints and 1 for any other.
func domainOrder(endpointDomains []string, domain string) int {
	if slices.Contains(endpointDomains, domain) {
		return 0
	}
	return 1
}

// maxSmallFleetHosts is the number of hosts up to which every host is a home host of
// every service: with so few, each holds connections for all workspaces anyway.
const maxSmallFleetHosts = HomeHostCount

// AllAtHome reports whether every host of a fleet of the given size is a home host of every
// service.
func AllAtHome(hosts int) bool { return hosts <= maxSmallFleetHosts }

// smallFleetSize returns the number of home hosts in a small fleet, or 0 in a larger one.
func smallFleetSize(total int) int {
	if AllAtHome(total) {
		return total
	}
	return 0
}

// RankHomeHosts returns the home hosts of a service in the order in which they should serve
// a workspace. While the first one serves all its requests, they share its connections and
// its part of the workspace's rate.
func RankHomeHosts(home []string, service, workspace string) []string {
	return rendezvous.Top(home, workspaceKey(service, workspace), len(home))
}

// workspaceKey returns the key by which the home hosts of a service are ranked.
func workspaceKey(service, workspace string) string { return service + "\x00" + workspace }
