package route

import "github.com/galenabridge/galenabridge/internal/rendezvous"

// HomeHostCount is the number of hosts that hold connections to one database group
// in a fleet with more hosts than that.
const HomeHostCount = 4

// HomeHosts returns the hosts that hold connections to the endpoints of a service
// and acknowledge its writes, in order of preference. The hosts are spread over
// the failure domains as far as those go: the domains are ranked first, then
// the hosts within each. In a small fleet all hosts are at home everywhere.
func HomeHosts(service string, hosts map[string][]string) []string {
	total := 0
	domains := make([]string, 0, len(hosts))
	for domain, names := range hosts {
		total += len(names)
		domains = append(domains, domain)
	}
	ranked := rendezvous.Top(domains, service, len(domains))
	size := min(total, max(HomeHostCount, smallFleet(total)))
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

// maxSmallFleet is the number of hosts up to which each is at home everywhere.
const maxSmallFleet = 16

func smallFleet(total int) int {
	if total <= maxSmallFleet {
		return total
	}
	return 0
}

// Owner returns the host of a home set that serves a workspace, so that its
// reads find the positions of its writes without asking the others.
func Owner(home []string, service, workspace string) string {
	return rendezvous.Owner(home, service+"\x00"+workspace)
}
