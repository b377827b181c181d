package route

import (
	"fmt"
	"slices"
	"testing"
)

// fleet returns hosts by failure domain.
func fleet(hosts, domains int) map[string][]string {
	byDomain := map[string][]string{}
	for i := range hosts {
		domain := fmt.Sprintf("d%d", i%domains)
		byDomain[domain] = append(byDomain[domain], fmt.Sprintf("h%d", i))
	}
	return byDomain
}

func TestHomeHostsSmallFleetIncludesAll(t *testing.T) {
	for n := 1; n <= maxSmallFleetHosts; n++ {
		if home := HomeHosts("s", fleet(n, 4), nil); len(home) != n {
			t.Errorf("%d of %d hosts are home hosts, want all", len(home), n)
		}
	}
}

// TestHomeHostsOfFleetsBeyondSmall guards against a fleet of few hosts in which each opens
// connections for every workspace: nine hosts with 33 connections an endpoint changed the
// workspace of a connection for 40% of their statements, which takes a slot for 12 ms.
func TestHomeHostsOfFleetsBeyondSmall(t *testing.T) {
	for n := 5; n <= 17; n++ {
		hosts := fleet(n, 4)
		home := HomeHosts("s", hosts, nil)
		domains := map[string]bool{}
		for domain, names := range hosts {
			domains[domain] = slices.ContainsFunc(names, func(h string) bool { return slices.Contains(home, h) })
		}
		if len(home) != HomeHostCount || len(domains) != 4 || !domains["d0"] || !domains["d1"] || !domains["d2"] || !domains["d3"] {
			t.Errorf("%d hosts: home hosts %v, want one in each of four domains", n, home)
		}
	}
}

func TestHomeHostsSpreadOverDomains(t *testing.T) {
	hosts := fleet(2000, 11)
	load := map[string]int{}
	for i := range 2200 {
		home := HomeHosts(fmt.Sprint("db", i), hosts, nil)
		domains := map[string]bool{}
		for _, h := range home {
			load[h]++
			for domain, names := range hosts {
				if slices.Contains(names, h) {
					domains[domain] = true
				}
			}
		}
		if len(home) != HomeHostCount || len(domains) != HomeHostCount {
			t.Fatalf("home hosts %v in %d domains, want each in a domain of its own", home, len(domains))
		}
	}
	most := 0
	for _, n := range load {
		most = max(most, n)
	}
	t.Logf("2,200 databases at 2,000 hosts: 4.4 on average, %d at most", most)
	if most > 20 {
		t.Errorf("a host is the home host of %d databases, want at most 20", most)
	}
}

// TestHomeHostsStableAfterHostLoss guards against replacing more home hosts than the lost one.
func TestHomeHostsStableAfterHostLoss(t *testing.T) {
	hosts := fleet(200, 4)
	before := HomeHosts("s", hosts, nil)
	for domain, names := range hosts {
		hosts[domain] = slices.DeleteFunc(names, func(h string) bool { return h == before[0] })
	}
	after := HomeHosts("s", hosts, nil)
	for _, h := range before[1:] {
		if !slices.Contains(after, h) {
			t.Fatalf("%v became %v after the loss of %s", before, after, before[0])
		}
	}
}
