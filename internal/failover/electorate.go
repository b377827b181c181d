package failover

import (
	"slices"

	"github.com/galenabridge/galenabridge/internal/rendezvous"
)

// singleDomainWatchers is the number of watchers of an endpoint when all entry
// hosts are in one failure domain.
const singleDomainWatchers = 3

// Watcher is an entry host that may probe endpoints.
type Watcher struct {
	Host   string
	Domain string
	// Region is the region of the failure domain, empty when it is not set.
	Region string
}

// Electorate selects the watchers of each endpoint from the entry hosts, and
// determines whose observations count and how many voters make a majority. It is
// immutable, and equal for equal sets of watchers, so that hosts and the control
// leader select the same ones.
type Electorate struct {
	domains []string
	regions map[string]string // by failure domain
	hosts   map[string][]string
}

// NewElectorate returns the electorate of the given entry hosts.
func NewElectorate(watchers []Watcher) *Electorate {
	e := &Electorate{regions: make(map[string]string), hosts: make(map[string][]string)}
	for _, w := range watchers {
		if len(e.hosts[w.Domain]) == 0 {
			e.domains = append(e.domains, w.Domain)
		}
		e.hosts[w.Domain] = append(e.hosts[w.Domain], w.Host)
		e.regions[w.Domain] = w.Region
	}
	slices.Sort(e.domains)
	for _, hosts := range e.hosts {
		slices.Sort(hosts)
	}
	return e
}

// domainsOf returns the failure domains that watch the endpoint: all, or in a
// large fleet MaxWatcherDomains of them by rendezvous hashing, spread evenly
// over the regions so that the loss of one region leaves a majority.
func (e *Electorate) domainsOf(endpoint string) []string {
	if len(e.domains) <= MaxWatcherDomains {
		return e.domains
	}
	ranked := rendezvous.Top(e.domains, endpoint, len(e.domains))
	var chosen []string
	perRegion := make(map[string]int)
	for round := 0; len(chosen) < MaxWatcherDomains; round++ {
		for _, domain := range ranked {
			region := e.regions[domain]
			if perRegion[region] != round || slices.Contains(chosen, domain) || len(chosen) == MaxWatcherDomains {
				continue
			}
			perRegion[region]++
			chosen = append(chosen, domain)
		}
		levelCounts(perRegion, round+1)
	}
	return chosen
}

// levelCounts raises the counts of regions that had no further failure domain in a
// round, so that they do not block the next one.
func levelCounts(perRegion map[string]int, round int) {
	for region, n := range perRegion {
		perRegion[region] = max(n, round)
	}
}

// perDomain is the number of watchers in one failure domain.
func (e *Electorate) perDomain() int {
	if len(e.domains) == 1 {
		return singleDomainWatchers
	}
	return 1
}

// Watchers returns the hosts that probe the endpoint, chosen by rendezvous hashing:
// one per watching failure domain, or up to singleDomainWatchers when there is only
// one domain.
func (e *Electorate) Watchers(endpoint string) []Watcher {
	var chosen []Watcher
	for _, domain := range e.domainsOf(endpoint) {
		for _, host := range rendezvous.Top(e.hosts[domain], endpoint, e.perDomain()) {
			chosen = append(chosen, Watcher{Host: host, Domain: domain, Region: e.regions[domain]})
		}
	}
	return chosen
}

// Watches reports whether the host is one of the endpoint's watchers.
func (e *Electorate) Watches(host, domain, endpoint string) bool {
	if !slices.Contains(e.domainsOf(endpoint), domain) {
		return false
	}
	if e.perDomain() == 1 {
		return rendezvous.Owner(e.hosts[domain], endpoint) == host
	}
	return slices.Contains(rendezvous.Top(e.hosts[domain], endpoint, e.perDomain()), host)
}

// voter returns the identity under which a watcher of the endpoint votes: its
// failure domain, or the host itself when there is only one domain. It reports
// false for a host whose observations of the endpoint do not count.
func (e *Electorate) voter(host, domain, endpoint string) (string, bool) {
	if !slices.Contains(e.domainsOf(endpoint), domain) {
		return "", false
	}
	if len(e.domains) > 1 {
		return domain, true
	}
	return host, slices.Contains(e.hosts[domain], host)
}

// majority returns the number of the endpoint's voters that must agree before it is
// suspected or regarded as healthy.
func (e *Electorate) majority(endpoint string) int {
	if len(e.domains) != 1 {
		return len(e.domainsOf(endpoint))/2 + 1
	}
	n := min(len(e.hosts[e.domains[0]]), singleDomainWatchers)
	return n/2 + 1
}
