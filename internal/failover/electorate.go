package failover

import (
	"slices"

	"github.com/galenabridge/galenabridge/internal/rendezvous"
)

// soleDomainWatchers is the number of watchers of an endpoint when all entry
// hosts stand in one failure domain.
const soleDomainWatchers = 3

// Watcher is an entry host that may probe endpoints.
type Watcher struct {
	Host   string
	Domain string
}

// Electorate knows the entry hosts whose observations count, and how many of
// them make a majority. It is immutable.
type Electorate struct {
	domains []string
	hosts   map[string][]string
}

// NewElectorate returns the electorate of the given entry hosts.
func NewElectorate(watchers []Watcher) *Electorate {
	e := &Electorate{hosts: make(map[string][]string)}
	for _, w := range watchers {
		if len(e.hosts[w.Domain]) == 0 {
			e.domains = append(e.domains, w.Domain)
		}
		e.hosts[w.Domain] = append(e.hosts[w.Domain], w.Host)
	}
	slices.Sort(e.domains)
	for _, hosts := range e.hosts {
		slices.Sort(hosts)
	}
	return e
}

// Watchers returns the hosts that probe the endpoint: by rendezvous hashing
// one per failure domain, or up to three when there is only one domain.
func (e *Electorate) Watchers(endpoint string) []Watcher {
	n := 1
	if len(e.domains) == 1 {
		n = soleDomainWatchers
	}
	var chosen []Watcher
	for _, domain := range e.domains {
		for _, host := range rendezvous.Top(e.hosts[domain], endpoint, n) {
			chosen = append(chosen, Watcher{Host: host, Domain: domain})
		}
	}
	return chosen
}

// Watches reports whether the host is one of the endpoint's watchers.
func (e *Electorate) Watches(host, domain, endpoint string) bool {
	n := 1
	if len(e.domains) == 1 {
		n = soleDomainWatchers
	}
	return slices.Contains(rendezvous.Top(e.hosts[domain], endpoint, n), host)
}

// voter returns the name under which a watcher votes: its failure domain, or
// the host itself when there is only one domain.
func (e *Electorate) voter(host, domain string) (string, bool) {
	if len(e.hosts[domain]) == 0 {
		return "", false
	}
	if len(e.domains) > 1 {
		return domain, true
	}
	return host, slices.Contains(e.hosts[domain], host)
}

// majority returns the number of voters that must agree on a suspicion.
func (e *Electorate) majority() int {
	if len(e.domains) != 1 {
		return len(e.domains)/2 + 1
	}
	n := min(len(e.hosts[e.domains[0]]), soleDomainWatchers)
	return n/2 + 1
}
