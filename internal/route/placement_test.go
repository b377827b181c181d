package route

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/note"
)

const thinLink = 250_000 // bytes a second, 2 Mbit/s

// thinFleet returns a fleet with a link per host, in bytes a second. The rates of the workspaces
// fall as the inverse of their rank and sum up to 1,380 a second.
func thinFleet(hosts, services, workspaces int, link int64) *agreed.State {
	s, sum := fleetState(hosts), 0.0
	for id, h := range s.Hosts {
		h.Link = link
		s.Hosts[id] = h
	}
	for i := range services {
		s.Catalog.Services[fmt.Sprint("service", i)] = note.Service{}
	}
	for i := range workspaces {
		sum += 1 / float64(i+1)
	}
	for i := range workspaces {
		s.Catalog.Workspaces[fmt.Sprint("workspace", i)] = note.Workspace{Rate: 1380 / float64(i+1) / sum}
	}
	return s
}

func setRate(s *agreed.State, workspace string, rate float64) {
	s.Catalog.Workspaces[workspace] = note.Workspace{Rate: rate}
}

func scaleRate(s *agreed.State, workspace string, factor float64) {
	setRate(s, workspace, s.Catalog.Workspaces[workspace].Rate*factor)
}

func tableOf(s *agreed.State) *HomeTable {
	var t HomeTable
	t.Update(s)
	return &t
}

// firsts returns the home hosts that run the statements of each pair.
func firsts(t *HomeTable) map[pair][]string {
	all := map[pair][]string{}
	for service := range t.state.Catalog.Services {
		for workspace := range t.state.Catalog.Workspaces {
			all[pair{service, workspace}] = t.FirstHomes([]string{service}, workspace)
		}
	}
	return all
}

// loads returns the greatest declared load of a home host, in bytes a second, and the greatest
// number of services of the largest workspace that meet at one.
func loads(t *HomeTable) (load float64, together int) {
	byHost, count := map[string]float64{}, map[string]int{}
	for p, hosts := range firsts(t) {
		for _, host := range hosts {
			byHost[host] += t.state.Catalog.Workspaces[p.workspace].Rate * homeRequestBytes / float64(len(t.state.Catalog.Services)*len(hosts))
			load = max(load, byHost[host])
			if p.workspace == "workspace0" {
				count[host]++
				together = max(together, count[host])
			}
		}
	}
	return load, together
}

// TestPlacementSeparatesGreatestPairs guards against home hosts whose link is saturated because
// several services of the largest workspace have it as their first home host.
func TestPlacementSeparatesGreatestPairs(t *testing.T) {
	collided := 0
	for i := range 20 {
		named := func(link int64) *HomeTable { // other services, and with them other home hosts
			s := thinFleet(61+i, 0, 86, link)
			for j := range 8 {
				s.Catalog.Services[fmt.Sprintf("service%d-%d", i, j)] = note.Service{}
			}
			return tableOf(s)
		}
		before, together := loads(named(0))
		after, togetherAfter := loads(named(thinLink))
		t.Logf("%d hosts: greatest load %.0f KB/s, %d services together; %.0f KB/s, %d with the placement", 61+i, before/1000, together, after/1000, togetherAfter)
		collided += together - 1
		if togetherAfter != 1 || after > thinLink/usableLinkDivisor {
			t.Errorf("%d hosts: %d services together, greatest load %.0f bytes/s", 61+i, togetherAfter, after)
		}
	}
	if collided == 0 {
		t.Error("no services of the largest workspace meet without the placement, as the case needs")
	}
}

// TestPlacementHomeServices guards against hosts that are home for more services than necessary,
// and home hosts in the same domain.
func TestPlacementHomeServices(t *testing.T) {
	for _, c := range []struct{ hosts, services, most int }{{84, 8, 1}, {61, 8, 1}, {9, 8, 6}, {5, 8, 8}, {500, 550, 6}} {
		table, count := tableOf(thinFleet(c.hosts, c.services, 86, thinLink)), map[string]int{}
		for service := range table.state.Catalog.Services {
			domains := map[string]bool{}
			for _, host := range table.homeHosts(service) {
				domains[domainOf(table.state, host)] = true
				if count[host]++; count[host] > c.most {
					t.Errorf("%d hosts: %s is home for more than %d of %d services", c.hosts, host, c.most, c.services)
				}
			}
			if len(domains) != HomeHostCount {
				t.Errorf("%d hosts: home hosts of %s in %d domains, want 4", c.hosts, service, len(domains))
			}
		}
	}
}

// TestPlacementUnchangedOnWideLinks compares with the ranking by hash alone, where the links are
// wide or unknown and where the declared load is small.
func TestPlacementUnchangedOnWideLinks(t *testing.T) {
	small := thinFleet(84, 8, 86, thinLink)
	for name := range small.Catalog.Workspaces {
		scaleRate(small, name, 0.1)
	}
	for name, s := range map[string]*agreed.State{
		"unknown": thinFleet(84, 8, 86, 0), "1,000 Mbit/s": thinFleet(84, 8, 86, 125_000_000), "small load": small,
	} {
		table := tableOf(s)
		for p, first := range firsts(table) {
			want := RankHomeHosts(HomeHosts(p.service, table.byDomain, nil), p.service, p.workspace)
			if got := table.Preferred("elsewhere", p.service, p.workspace); !slices.Equal(got, want) || !slices.Equal(first, want[:1]) {
				t.Fatalf("%s: %v is served by %v, first by %v; want %v", name, p, got, first, want)
			}
		}
	}
}

// TestPlacementMovesFewPairs bounds the pairs whose home hosts change. A host runs 688/84 of the
// pairs on average, which move in any case when it leaves; at most as many others may move with
// them, and at most the pairs of two services at once.
func TestPlacementMovesFewPairs(t *testing.T) {
	const hosts, workspaces, pairs = 84, 86, 8 * 86
	before := firsts(tableOf(thinFleet(hosts, 8, workspaces, thinLink)))
	for _, c := range []struct {
		name       string
		cases      int
		mean, most float64
		change     func(s *agreed.State, i int)
	}{
		{"a host leaves", hosts, 2.0 * pairs / hosts, 2 * workspaces, func(s *agreed.State, i int) { delete(s.Hosts, fmt.Sprint("host", i)) }},
		{"a host joins", 100, 2.0 * pairs / hosts, 2 * workspaces, func(s *agreed.State, i int) {
			s.Hosts["new"+fmt.Sprint(i)] = agreed.Host{Domain: fmt.Sprint("d", i%4), Entry: true, Link: thinLink}
		}},
		{"a rate rises by a tenth", workspaces, 8, workspaces, func(s *agreed.State, i int) { scaleRate(s, fmt.Sprint("workspace", i), 1.1) }},
		{"a rate doubles", workspaces, 8, workspaces, func(s *agreed.State, i int) { scaleRate(s, fmt.Sprint("workspace", i), 2) }},
		{"three workspaces are added", 20, pairs / 100, pairs / 20, func(s *agreed.State, i int) {
			for n := range 3 {
				s.Catalog.Workspaces[fmt.Sprint("added", i, "-", n)] = note.Workspace{Rate: float64(2 + i)}
			}
		}},
		{"a service is added", 20, pairs / 3, pairs / 3, func(s *agreed.State, i int) { s.Catalog.Services["added"+fmt.Sprint(i)] = note.Service{} }},
	} {
		total, most := 0, 0
		for i := range c.cases {
			s, n := thinFleet(hosts, 8, workspaces, thinLink), 0
			c.change(s, i)
			after := firsts(tableOf(s))
			for p, hosts := range before {
				if !slices.Equal(hosts, after[p]) {
					n++
				}
			}
			total, most = total+n, max(most, n)
		}
		mean := float64(total) / float64(c.cases)
		t.Logf("%s: %.1f of %d pairs move on average, %d at most", c.name, mean, pairs, most)
		if mean > c.mean || float64(most) > c.most {
			t.Errorf("%s: %.1f pairs move on average, %d at most; want at most %.0f and %.0f", c.name, mean, most, c.mean, c.most)
		}
	}
}

// TestPlacementSharesGreatPair checks that a pair beyond one link is divided among the callers'
// hosts, and that each of its home hosts serves its own callers.
func TestPlacementSharesGreatPair(t *testing.T) {
	s, first := thinFleet(84, 8, 86, thinLink), map[string]int{}
	setRate(s, "great", 8*300)
	table := tableOf(s)
	shared := table.FirstHomes([]string{"service0"}, "great")
	for id := range s.Hosts {
		ranked := append(table.Preferred(id, "service0", "great"), id)
		first[ranked[0]]++
		if slices.Contains(shared, id) && ranked[0] != id {
			t.Errorf("%s, which shares the pair, prefers %v", id, ranked)
		}
	}
	for _, host := range shared {
		if len(shared) != HomeHostCount || len(first) != len(shared) || first[host] < 10 {
			t.Errorf("%s of %v is first for %d of 85 hosts, want all 4 for a fair part", host, shared, first[host])
		}
	}
}

// TestPlacementBoundsImpossibleInput plays rates and links that cannot be right. It guards against
// overflows, and against values that end the placement of the other workspaces.
func TestPlacementBoundsImpossibleInput(t *testing.T) {
	s := thinFleet(84, 8, 86, thinLink)
	for i, rate := range []float64{math.Inf(1), math.NaN(), -1, 1e300, math.MaxFloat64} {
		s.Catalog.Workspaces[fmt.Sprint("odd", i)] = note.Workspace{Rate: rate, Services: []string{"service1", "unknown"}}
	}
	for i, link := range []int64{-1, 1, math.MaxInt64, 0} {
		id := fmt.Sprint("host", i)
		s.Hosts[id] = agreed.Host{Domain: s.Hosts[id].Domain, Entry: true, Link: link}
	}
	table := tableOf(s)
	for p, hosts := range firsts(table) {
		if len(hosts) == 0 || len(hosts) > HomeHostCount {
			t.Fatalf("home hosts %v of %v", hosts, p)
		}
	}
	if _, together := loads(table); together != 1 {
		t.Errorf("%d services of the largest possible workspace at one host", together)
	}
}

// TestPlacementFollowsChanges applies random changes to one table. It guards against hosts that
// disagree because of what they have computed before, or of the order in which they read maps.
func TestPlacementFollowsChanges(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	s := thinFleet(20, 4, 30, thinLink)
	followed := tableOf(s)
	for step := range 200 {
		next := *s
		next.Hosts, next.Endpoints = maps.Clone(s.Hosts), maps.Clone(s.Endpoints)
		domain, service := fmt.Sprint("d", rng.IntN(4)), fmt.Sprint("service", rng.IntN(6))
		switch id := fmt.Sprint("host", rng.IntN(24)); rng.IntN(5) {
		case 0:
			next.HostsChanged++
			delete(next.Hosts, id)
		case 1:
			next.HostsChanged++
			next.Hosts[id] = agreed.Host{Domain: domain, Entry: true, Link: thinLink * rng.Int64N(3)}
		case 2:
			next.Catalog.Workspaces = maps.Clone(s.Catalog.Workspaces)
			setRate(&next, fmt.Sprint("workspace", rng.IntN(40)), 300*rng.Float64())
		case 3:
			next.Catalog.Services = maps.Clone(s.Catalog.Services)
			next.Catalog.Services[service] = note.Service{}
		case 4:
			next.Endpoints[id] = agreed.Endpoint{Service: service, Domain: domain}
		}
		s = &next
		followed.Update(s)
		if got, want := firsts(followed), firsts(tableOf(s)); !maps.EqualFunc(got, want, slices.Equal) {
			t.Fatalf("step %d: a table that followed the changes has other home hosts than a new one", step)
		}
	}
}

func BenchmarkPlacement(b *testing.B) {
	for _, c := range []struct{ hosts, services, workspaces int }{{84, 8, 86}, {2000, 2200, 1000}} {
		s := thinFleet(c.hosts, c.services, c.workspaces, thinLink)
		if c.services > 1000 { // 309 statements a second on each database, as in note 010
			for name := range s.Catalog.Workspaces {
				scaleRate(s, name, 309*float64(c.services)/1380)
			}
		}
		table := tableOf(s)
		b.Run(fmt.Sprintf("%d hosts", c.hosts), func(b *testing.B) {
			for b.Loop() {
				next := *s
				next.HostsChanged++
				s = &next
				table.Update(s)
			}
			b.ReportMetric(float64(len(table.placement.placed)), "placed")
		})
		b.Run(fmt.Sprintf("%d hosts, look-up", c.hosts), func(b *testing.B) {
			for b.Loop() {
				table.Preferred("elsewhere", "service1", "workspace0")
			}
		})
	}
}
