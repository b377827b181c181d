package route

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/note"
)

const thinLink = 250_000 // bytes a second, 2 Mbit/s

// thinFleet returns a fleet with a link per host, in bytes a second. The rates of the workspaces
// fall as the inverse of their rank and sum up to 1,380 a second.
func thinFleet(hosts, services, workspaces int, link int64) *agreed.State {
	s := fleetState(hosts)
	for id, h := range s.Hosts {
		h.Link = link
		s.Hosts[id] = h
	}
	for i := range services {
		name := fmt.Sprint("service", i)
		s.Catalog.Services[name] = note.Service{Name: name}
	}
	sum := 0.0
	for i := range workspaces {
		sum += 1 / float64(i+1)
	}
	for i := range workspaces {
		name := fmt.Sprint("workspace", i)
		s.Catalog.Workspaces[name] = note.Workspace{Name: name, Rate: 1380 / float64(i+1) / sum}
	}
	return s
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

// actualLoad returns the declared load of each home host, every pair counted, in bytes a second.
func actualLoad(t *HomeTable) map[string]float64 {
	load := map[string]float64{}
	for p, hosts := range firsts(t) {
		weight := t.state.Catalog.Workspaces[p.workspace].Rate * homeRequestBytes / float64(len(t.state.Catalog.Services))
		for _, host := range hosts {
			load[host] += weight / float64(len(hosts))
		}
	}
	return load
}

func greatest(load map[string]float64) float64 {
	most := 0.0
	for _, l := range load {
		most = max(most, l)
	}
	return most
}

func tableOf(s *agreed.State) *HomeTable {
	var t HomeTable
	t.Update(s)
	return &t
}

// TestPlacementSeparatesGreatestPairs guards against home hosts whose link is saturated because
// several services of the largest workspace have it as their first home host.
func TestPlacementSeparatesGreatestPairs(t *testing.T) {
	collisions := func(table *HomeTable) int {
		count := map[string]int{}
		most := 0
		for p, hosts := range firsts(table) {
			if p.workspace == "workspace0" {
				for _, host := range hosts {
					count[host]++
					most = max(most, count[host])
				}
			}
		}
		return most
	}
	collided := 0
	for i := range 20 {
		hosts := 61 + i
		named := func(link int64) *HomeTable { // other services, and with them other home hosts
			s := thinFleet(hosts, 0, 86, link)
			for j := range 8 {
				name := fmt.Sprintf("service%d-%d", i, j)
				s.Catalog.Services[name] = note.Service{Name: name}
			}
			return tableOf(s)
		}
		before, after := named(0), named(thinLink)
		b, a := greatest(actualLoad(before)), greatest(actualLoad(after))
		t.Logf("%d hosts: %d services of the largest workspace at one host, %d after; greatest load %.0f and %.0f KB/s", hosts, collisions(before), collisions(after), b/1000, a/1000)
		if collisions(before) > 1 {
			collided++
		}
		if collisions(after) != 1 || a > thinLink/usableLinkDivisor {
			t.Errorf("%d hosts: %d services of the largest workspace meet at a host with a load of %.0f bytes/s", hosts, collisions(after), a)
		}
	}
	if collided == 0 {
		t.Error("no fleet has two services of the largest workspace at one host without the placement, as the case needs")
	}
}

// TestPlacementHomeServices guards against hosts that are home for several services while others
// are home for none, and home hosts in the same domain.
func TestPlacementHomeServices(t *testing.T) {
	for _, c := range []struct{ hosts, services, most int }{{84, 8, 1}, {61, 8, 1}, {9, 8, 6}, {5, 8, 8}, {500, 550, 6}} {
		table := tableOf(thinFleet(c.hosts, c.services, 86, thinLink))
		count := map[string]int{}
		for service := range table.state.Catalog.Services {
			homes := table.homeHosts(service)
			domains := map[string]bool{}
			for _, host := range homes {
				count[host]++
				domains[domainOf(table.state, host)] = true
			}
			if len(homes) != HomeHostCount || len(domains) != HomeHostCount {
				t.Errorf("%d hosts: home hosts %v of %s, want 4 in 4 domains", c.hosts, homes, service)
			}
		}
		for host, n := range count {
			if n > c.most {
				t.Errorf("%d hosts: %s is home for %d of %d services, want at most %d", c.hosts, host, n, c.services, c.most)
			}
		}
	}
}

// TestPlacementUnchangedOnWideLinks compares with the ranking by hash alone, where the links are
// wide or unknown and where the declared load is small.
func TestPlacementUnchangedOnWideLinks(t *testing.T) {
	small := thinFleet(84, 8, 86, thinLink)
	for name, w := range small.Catalog.Workspaces {
		w.Rate /= 10
		small.Catalog.Workspaces[name] = w
	}
	for name, s := range map[string]*agreed.State{
		"unknown": thinFleet(84, 8, 86, 0), "1,000 Mbit/s": thinFleet(84, 8, 86, 125_000_000), "small load": small,
	} {
		table := tableOf(s)
		byDomain := map[string][]string{}
		for id, h := range s.Hosts {
			if h.Entry {
				byDomain[h.Domain] = append(byDomain[h.Domain], id)
			}
		}
		for service := range s.Catalog.Services {
			home := HomeHosts(service, byDomain, nil)
			for workspace := range s.Catalog.Workspaces {
				want := RankHomeHosts(home, service, workspace)
				if got := table.Preferred("elsewhere", service, workspace); !slices.Equal(got, want) {
					t.Fatalf("%s: %s on %s is served by %v, want %v", name, workspace, service, got, want)
				}
				if got := table.FirstHomes([]string{service}, workspace); !slices.Equal(got, want[:1]) {
					t.Fatalf("%s: first home hosts %v, want %v", name, got, want[:1])
				}
			}
		}
	}
}

// TestPlacementMovesFewPairs bounds the pairs whose home hosts change when a host joins or leaves,
// a rate changes by a tenth or doubles, or a service is added.
func TestPlacementMovesFewPairs(t *testing.T) {
	const hosts, services, workspaces = 84, 8, 86
	const pairs = services * workspaces
	base := func() *agreed.State { return thinFleet(hosts, services, workspaces, thinLink) }
	before := firsts(tableOf(base()))
	moved := func(s *agreed.State) int {
		after, n := firsts(tableOf(s)), 0
		for p, hosts := range before {
			if !slices.Equal(hosts, after[p]) {
				n++
			}
		}
		return n
	}
	total, most := 0, 0
	for i := range hosts {
		s := base()
		delete(s.Hosts, fmt.Sprint("host", i))
		n := moved(s)
		total, most = total+n, max(most, n)
	}
	t.Logf("a host leaves: %.1f of %d pairs move on average, %d at most", float64(total)/hosts, pairs, most)
	// A home host of one service runs a quarter of its pairs. The mean bound is twice what
	// moves in any case: the share of one host of those.
	if mean := float64(total) / hosts; mean > 2*pairs/float64(services*HomeHostCount)*services*HomeHostCount/hosts || most > 3*workspaces {
		t.Errorf("a host leaves: %.1f pairs move on average, %d at most", mean, most)
	}
	total, most = 0, 0
	for i := range 100 {
		s := base()
		id := fmt.Sprint("new", i)
		s.Hosts[id] = agreed.Host{ID: id, Domain: fmt.Sprint("d", i%4), Entry: true, Link: thinLink}
		n := moved(s)
		total, most = total+n, max(most, n)
	}
	t.Logf("a host joins: %.1f pairs move on average, %d at most", float64(total)/100, most)
	if mean := float64(total) / 100; mean > 2*pairs/float64(hosts) || most > 3*workspaces {
		t.Errorf("a host joins: %.1f pairs move on average, %d at most", mean, most)
	}
	for _, factor := range []float64{1.1, 2} {
		total, most = 0, 0
		for i := range workspaces {
			s := base()
			name := fmt.Sprint("workspace", i)
			w := s.Catalog.Workspaces[name]
			w.Rate *= factor
			s.Catalog.Workspaces[name] = w
			n := moved(s)
			total, most = total+n, max(most, n)
		}
		t.Logf("a rate times %.1f: %.1f pairs move on average, %d at most", factor, float64(total)/workspaces, most)
		if mean := float64(total) / workspaces; mean > 0.05*pairs || most > pairs/4 {
			t.Errorf("a rate times %.1f: %.1f of %d pairs move on average, %d at most", factor, mean, pairs, most)
		}
	}
	s := base()
	s.Catalog.Services["added"] = note.Service{Name: "added"}
	n := moved(s)
	t.Logf("a service is added: %d pairs move", n)
	if n > pairs/3 {
		t.Errorf("a service is added: %d of %d pairs move, want at most a third", n, pairs)
	}
}

// TestPlacementSharesGreatPair checks that a pair beyond one link is divided among the callers'
// hosts, that each of its home hosts serves its own callers, and that they have its floors.
func TestPlacementSharesGreatPair(t *testing.T) {
	s := thinFleet(84, 8, 86, thinLink)
	s.Catalog.Workspaces["great"] = note.Workspace{Name: "great", Rate: 8 * 300, Services: nil}
	table := tableOf(s)
	shared := table.FirstHomes([]string{"service0"}, "great")
	if len(shared) != HomeHostCount {
		t.Fatalf("home hosts %v of 300 statements a second, want all 4", shared)
	}
	first := map[string]int{}
	for id := range s.Hosts {
		ranked := table.Preferred(id, "service0", "great")
		if slices.Contains(shared, id) {
			if len(ranked) > 0 {
				t.Errorf("%s, which shares the pair, prefers %v", id, ranked)
			}
			continue
		}
		first[ranked[0]]++
	}
	for _, host := range shared {
		if first[host] < 10 {
			t.Errorf("%s is first for %d of 81 hosts, want a fair part", host, first[host])
		}
	}
	if n := len(table.FirstHomes([]string{"service0"}, "workspace85")); n != 1 {
		t.Errorf("%d home hosts of a small pair, want 1", n)
	}
}

// TestPlacementBoundsImpossibleInput plays rates and links that cannot be right, and hosts with
// other links. It guards against overflows and against one value that moves everything.
func TestPlacementBoundsImpossibleInput(t *testing.T) {
	s := thinFleet(84, 8, 86, thinLink)
	for i, rate := range []float64{math.Inf(1), math.NaN(), -1, 1e300, math.MaxFloat64} {
		name := fmt.Sprint("odd", i)
		s.Catalog.Workspaces[name] = note.Workspace{Name: name, Rate: rate, Services: []string{"service1", "unknown"}}
	}
	for i, link := range []int64{-1, 1, math.MaxInt64, 0} {
		id := fmt.Sprint("host", i)
		h := s.Hosts[id]
		h.Link = link
		s.Hosts[id] = h
	}
	table := tableOf(s)
	for p, hosts := range firsts(table) {
		if len(hosts) == 0 || len(hosts) > HomeHostCount {
			t.Fatalf("home hosts %v of %v", hosts, p)
		}
	}
	if load := table.Placement("host9").GreatestLoad; load <= 0 {
		t.Errorf("greatest load %d, want a positive one", load)
	}
}

func BenchmarkPlacement(b *testing.B) {
	for _, c := range []struct{ hosts, services, workspaces int }{{84, 8, 86}, {2000, 2200, 1000}} {
		s := thinFleet(c.hosts, c.services, c.workspaces, thinLink)
		if c.services > 1000 { // 309 statements a second on each database, as in note 010
			for name, w := range s.Catalog.Workspaces {
				w.Rate *= 309 * float64(c.services) / 1380
				s.Catalog.Workspaces[name] = w
			}
		}
		b.Run(fmt.Sprintf("%d hosts", c.hosts), func(b *testing.B) {
			b.ReportAllocs()
			var table HomeTable
			for b.Loop() {
				next := *s
				next.HostsChanged++
				s = &next
				table.Update(s)
			}
			b.ReportMetric(float64(len(table.placement.shared)), "placed")
		})
		b.Run(fmt.Sprintf("%d hosts, look-up", c.hosts), func(b *testing.B) {
			table := tableOf(s)
			for b.Loop() {
				table.Preferred("elsewhere", "service1", "workspace0")
			}
		})
	}
}
