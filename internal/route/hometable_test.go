package route

import (
	"fmt"
	"slices"
	"testing"

	"github.com/galenabridge/galenabridge/internal/agreed"
)

func fleetState(hosts int) *agreed.State {
	s := agreed.New()
	s.Hosts, s.HostsChanged = map[string]agreed.Host{}, uint64(hosts)
	for i := range hosts {
		id := fmt.Sprintf("host%d", i)
		s.Hosts[id] = agreed.Host{ID: id, Domain: fmt.Sprint("d", i%4), Entry: true}
	}
	s.Hosts["control"] = agreed.Host{ID: "control", Domain: "d0", Control: true}
	return s
}

// TestHomeTablePreferred checks that the statements of a workspace go to the same home host
// from everywhere, and that a home host runs them itself once it is first.
func TestHomeTablePreferred(t *testing.T) {
	var table HomeTable
	table.Update(fleetState(maxSmallFleetHosts + 1))
	ranked := table.Preferred("elsewhere", "service", "crew")
	if len(ranked) != HomeHostCount || slices.Contains(ranked, "control") {
		t.Fatalf("home hosts %v, want %d entry hosts", ranked, HomeHostCount)
	}
	for i, host := range ranked {
		if got := table.Preferred(host, "service", "crew"); !slices.Equal(got, ranked[:i]) {
			t.Errorf("%s prefers %v, want the hosts before it in %v", host, got, ranked)
		}
		if !table.IsHome(host, "service") {
			t.Errorf("%s is no home host", host)
		}
	}
	first := map[string]bool{}
	for i := range 100 {
		first[table.Preferred("elsewhere", "service", fmt.Sprint("workspace", i))[0]] = true
	}
	if len(first) != HomeHostCount {
		t.Errorf("the workspaces are served by %d home hosts, want all %d", len(first), HomeHostCount)
	}
}

func TestHomeTableSmallFleetForwardsNothing(t *testing.T) {
	var table HomeTable
	table.Update(fleetState(maxSmallFleetHosts))
	if got := table.Preferred("elsewhere", "service", "crew"); len(got) > 0 {
		t.Errorf("prefers %v in a fleet whose hosts are all at home, want none", got)
	}
	if !table.IsHome("host0", "service") {
		t.Error("host0 is no home host, want all hosts")
	}
	table.Update(agreed.New())
	if table.IsHome("host0", "service") {
		t.Error("host0 is a home host of a fleet without hosts")
	}
}

// domainOf returns the failure domain of a host of fleetState.
func domainOf(s *agreed.State, host string) string { return s.Hosts[host].Domain }

// TestHomeHostsNearEndpoints checks that home hosts lie in the domains of the endpoints as far
// as there are any, each in a domain of its own, and follow an endpoint to another domain.
func TestHomeHostsNearEndpoints(t *testing.T) {
	var table HomeTable
	s := fleetState(maxSmallFleetHosts + 8)
	for i := range 8 { // six domains
		id := fmt.Sprint("further", i)
		s.Hosts[id] = agreed.Host{ID: id, Domain: fmt.Sprint("d", 4+i%2), Entry: true}
	}
	near := []string{"d1", "d4", "d5"}
	for _, domain := range near {
		s.Endpoints[domain+"-x"] = agreed.Endpoint{ID: domain + "-x", Service: "s", Domain: domain}
	}
	table.Update(s)
	domains := map[string]bool{}
	for _, host := range table.homeHosts("s") {
		domains[domainOf(s, host)] = true
	}
	for _, domain := range near {
		if !domains[domain] {
			t.Errorf("home hosts in %v, want one in each of %v", domains, near)
		}
	}
	if len(domains) != HomeHostCount {
		t.Errorf("home hosts in %d domains, want each in a domain of its own", len(domains))
	}
	moved := *s
	moved.Endpoints = map[string]agreed.Endpoint{}
	for _, domain := range []string{"d0", "d2", "d3"} {
		moved.Endpoints[domain+"-x"] = agreed.Endpoint{ID: domain + "-x", Service: "s", Domain: domain}
	}
	moved.Revision++
	table.Update(&moved)
	inNear := 0
	for _, host := range table.homeHosts("s") {
		if slices.Contains([]string{"d0", "d2", "d3"}, domainOf(s, host)) {
			inNear++
		}
	}
	if inNear != 3 {
		t.Errorf("%d home hosts near the endpoints after these have moved, want 3", inNear)
	}
}

// TestHomeTableOthersInSmallFleet checks that a host of a small fleet without a lease finds all
// others.
func TestHomeTableOthersInSmallFleet(t *testing.T) {
	var table HomeTable
	table.Update(fleetState(9))
	others := table.Others("host0", "service", "crew")
	if len(others) != 8 || slices.Contains(others, "host0") {
		t.Errorf("others %v, want the 8 other entry hosts", others)
	}
}
