package route

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/rendezvous"
)

// Bytes that a request costs the link of its home host, in both directions together. The setting
// of a link does not say whether it bounds each direction or their sum; the sum is the safe
// reading. The first figure was measured (docs/design/013-forwarding.md), the others are those
// of the endpoints' protocol with statements and rows of usual length. The answer of the
// endpoint is the longest usual one.
const (
	forwardedBytes      = 260 // a forwarded statement; its answer has as many
	endpointSentBytes   = 200
	endpointAnswerBytes = 700
	homeRequestBytes    = 2*forwardedBytes + endpointSentBytes + endpointAnswerBytes
)

const (
	// usableLinkDivisor divides a host's link into the part that the declared load of a pair or a
	// service may take at one home host. The other half is for the callers of the host itself,
	// for probes and leases, and for bursts: with half of a link in use, a message waits less
	// than the time that it takes to send.
	usableLinkDivisor = 2
	// smallPairDivisor divides a link into the part below which a pair is placed by its hash
	// alone. Sixteen such pairs beyond the mean at one host take a quarter of its link.
	smallPairDivisor = 64
	// levelDivisor divides a link into the part by which the loads of two home hosts must differ
	// for a pair to prefer one. Smaller differences leave the choice to the hash, which moves
	// fewer pairs at a change.
	levelDivisor = 8
	// maxBytesPerSecond bounds declared loads and links. Sums of a million of them fit.
	maxBytesPerSecond = 1e12
)

// pair is a workspace that uses a service.
type pair struct{ service, workspace string }

// Placement assigns the pairs of workspaces and services to home hosts by their declared load.
// All hosts compute the same one from the agreed state. It addresses fleets whose hosts have
// links that the declared load of one workspace or service could saturate. It is immutable.
type Placement struct {
	homes map[string][]string // home hosts by service
	// placed are the home hosts that run the statements of the pairs above smallPair: one each,
	// or several for a pair that one host's link cannot carry.
	placed map[pair][]string
	load   map[string]int64 // declared load by home host, in bytes a second
}

// placementInput is what a Placement is computed from. The computation uses integers, since sums of
// floating-point numbers differ by order and processor.
type placementInput struct {
	hosts           map[string][]string // entry hosts by failure domain, in sorted order
	links           map[string]int64    // bytes a second by entry host; missing or zero: unknown
	services        []string            // in sorted order
	endpointDomains map[string][]string
	workspaces      map[string]note.Workspace
}

// newPlacement returns the placement, or nil where the links are not thin.
func newPlacement(in placementInput) *Placement {
	link := medianLink(in.links)
	demands, total := declaredDemands(in, link)
	if !isThin(link, demands, total) {
		return nil
	}
	b := &placementBuilder{in: in, link: link, demands: demands}
	b.p = &Placement{homes: spreadHomeHosts(in.services, in.hosts, in.endpointDomains), placed: make(map[pair][]string), load: make(map[string]int64)}
	b.addHomeHosts(total)
	b.placeSmall()
	b.placeOthers()
	for name, host := range b.hosts {
		b.p.load[name] = host.load
	}
	return b.p
}

// medianLink returns the median of the known links in bytes a second, the lower one of two, or
// zero if none is known. A single host with an odd setting doesn't change it much.
func medianLink(links map[string]int64) int64 {
	known := make([]int64, 0, len(links))
	for _, l := range links {
		if l > 0 {
			known = append(known, min(l, maxBytesPerSecond))
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}

// demand is the declared load of a workspace.
type demand struct {
	workspace string
	// services that it may use, nil for all.
	services []string
	// weight is the load of each of its pairs and load that of all, in bytes a second.
	weight, load int64
}

// demandTotals are sums over the workspaces, in bytes a second.
type demandTotals struct {
	sum, greatestWorkspace, greatestService int64
}

// declaredDemands returns the declared loads. A rate is divided evenly over the services that the
// workspace may use. Rates that cannot be right are left out or bounded.
func declaredDemands(in placementInput, link int64) ([]demand, demandTotals) {
	demands := make([]demand, 0, len(in.workspaces))
	byService := make(map[string]int64)
	inAll := int64(0)
	var t demandTotals
	for _, name := range sortedNames(in.workspaces) {
		w := in.workspaces[name]
		if !(w.Rate > 0) {
			continue
		}
		d := demand{workspace: name, load: int64(min(w.Rate*homeRequestBytes, maxBytesPerSecond))}
		n := len(in.services)
		if len(w.Services) > 0 {
			d.services = slices.DeleteFunc(slices.Clone(w.Services), func(s string) bool {
				_, known := slices.BinarySearch(in.services, s)
				return !known
			})
			n = len(d.services)
		}
		if n == 0 {
			continue
		}
		// What all home hosts of a service cannot carry is of no use to the order of the pairs.
		d.weight = min(d.load/int64(n), HomeHostCount*link)
		demands = append(demands, d)
		t.sum += d.weight * int64(n)
		t.greatestWorkspace = max(t.greatestWorkspace, d.load)
		if d.services == nil {
			inAll += d.weight
		}
		for _, s := range d.services {
			byService[s] += d.weight
		}
	}
	t.greatestService = inAll
	for _, load := range byService {
		t.greatestService = max(t.greatestService, inAll+load)
	}
	return demands, t
}

// isThin reports whether a link is thin relative to the declared load: the services of one
// workspace, or the workspaces of one service, may have the same first home host by their hashes
// and would then take more than the usable part of its link. It does not depend on the hosts, so that
// one that comes or goes does not switch the placement on or off.
func isThin(link int64, demands []demand, total demandTotals) bool {
	return link > 0 && len(demands) > 0 && max(total.greatestWorkspace, total.greatestService) > link/usableLinkDivisor
}

// placementBuilder holds the state of newPlacement.
type placementBuilder struct {
	in      placementInput
	p       *Placement
	link    int64 // of a usual host
	unit    int64 // the link, or more in an overloaded fleet
	demands []demand
	hosts   map[string]*hostLoad
	homes   map[string][]*hostLoad // by service
}

// hostLoad is the declared load of a home host.
type hostLoad struct {
	name string
	load int64 // bytes a second
	unit int64 // of a level of load
}

// addHomeHosts sets the home hosts, and the unit: if the fleet cannot carry the declared load, it
// grows with that, which bounds the number of pairs to place. A host whose link is unknown has a
// usual one.
func (b *placementBuilder) addHomeHosts(total demandTotals) {
	b.hosts, b.homes = make(map[string]*hostLoad), make(map[string][]*hostLoad, len(b.p.homes))
	for service, names := range b.p.homes {
		for _, name := range names {
			if b.hosts[name] == nil {
				b.hosts[name] = &hostLoad{name: name}
			}
			b.homes[service] = append(b.homes[service], b.hosts[name])
		}
	}
	b.unit = max(b.link, total.sum/int64(max(len(b.hosts), 1)))
	for name, host := range b.hosts {
		unit := b.unit
		if l := min(b.in.links[name], maxBytesPerSecond); l > 0 {
			unit = b.unit / b.link * l
		}
		host.unit = max(unit/levelDivisor, 1)
	}
}

// isSmall reports whether pairs of the weight are placed by their hash.
func (b *placementBuilder) isSmall(weight int64) bool { return weight < b.unit/smallPairDivisor }

// placeSmall adds the load of small pairs: an equal part to each home host of the service, in whole
// levels. The home hosts of a service then differ by the placed pairs only. With the exact load any
// change of a small rate moved hosts across levels, and with them a quarter of the placed pairs.
func (b *placementBuilder) placeSmall() {
	inAll, byService := int64(0), make(map[string]int64)
	for _, d := range b.demands {
		switch {
		case !b.isSmall(d.weight):
		case d.services == nil:
			inAll += d.weight
		default:
			for _, s := range d.services {
				byService[s] += d.weight
			}
		}
	}
	for _, service := range b.in.services {
		homes := b.homes[service]
		for _, host := range homes {
			load := (inAll + byService[service]) / int64(len(homes))
			host.load += (load + host.unit - 1) / host.unit * host.unit
		}
	}
}

// placeOthers assigns the other pairs in descending order of their weight.
func (b *placementBuilder) placeOthers() {
	type item struct {
		pair
		weight int64
		hash   uint64
	}
	var items []item
	serviceHashes := make(map[string]uint64, len(b.in.services))
	for _, s := range b.in.services {
		serviceHashes[s] = xxhash.Sum64String(s)
	}
	for _, d := range b.demands {
		if b.isSmall(d.weight) {
			continue
		}
		services := d.services
		if services == nil {
			services = b.in.services
		}
		weight := roundUp(max(d.weight, 1))
		hash := xxhash.Sum64String(d.workspace)
		for _, s := range services {
			items = append(items, item{pair: pair{s, d.workspace}, weight: weight, hash: mix(hash, serviceHashes[s])})
		}
	}
	slices.SortFunc(items, func(x, y item) int {
		return cmp.Or(cmp.Compare(y.weight, x.weight), cmp.Compare(x.hash, y.hash))
	})
	for _, i := range items {
		b.place(i.pair, i.weight)
	}
}

// roundUp returns the next weight of the form 4, 5, 6 or 7 times a power of two, so that small
// changes of a rate move nothing.
func roundUp(weight int64) int64 {
	step := int64(1) << max(bits.Len64(uint64(weight))-3, 0)
	return (weight + step - 1) / step * step
}

// candidate is a home host that may get a pair.
type candidate struct {
	host  *hostLoad
	level int64
	hash  uint64
}

// place assigns a pair to the home host of its service that has the lowest level of load, the
// hash deciding among equals, or to several if the usable part of one link does not carry it.
func (b *placementBuilder) place(p pair, weight int64) {
	var buf [HomeHostCount]candidate
	ranked := buf[:0]
	key := workspaceKey(p.service, p.workspace)
	for _, host := range b.homes[p.service] {
		ranked = append(ranked, candidate{host: host, level: host.load / host.unit, hash: rendezvous.Hash(host.name, key)})
	}
	if len(ranked) == 0 {
		return
	}
	slices.SortFunc(ranked, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.level, y.level), cmp.Compare(y.hash, x.hash), cmp.Compare(x.host.name, y.host.name))
	})
	usable := max(b.link/usableLinkDivisor, 1)
	n := min(int((weight+usable-1)/usable), len(ranked))
	shared := make([]string, n)
	for i := range shared {
		shared[i] = ranked[i].host.name
		ranked[i].host.load += weight / int64(n)
	}
	b.p.placed[p] = shared
}

// rank returns the home hosts of a service in the order in which they should serve a workspace
// for the callers of a host. A pair that several hosts share is divided among the callers' hosts
// by hash; one of the sharing hosts serves its own callers.
func (p *Placement) rank(caller, service, workspace string) []string {
	ranked := RankHomeHosts(p.homes[service], service, workspace)
	shared := p.placed[pair{service, workspace}]
	if len(shared) == 0 {
		return ranked
	}
	first := shared
	if len(shared) > 1 {
		first = rendezvous.Top(shared, caller, len(shared))
		if at := slices.Index(first, caller); at > 0 {
			first[0], first[at] = first[at], first[0]
		}
	}
	rest := slices.DeleteFunc(ranked, func(host string) bool { return slices.Contains(shared, host) })
	return slices.Concat(first, rest)
}

// firstHomes returns the home hosts that run the statements of a workspace on a service.
func (p *Placement) firstHomes(service, workspace string) []string {
	if shared := p.placed[pair{service, workspace}]; len(shared) > 0 {
		return shared
	}
	if homes := p.homes[service]; len(homes) > 0 {
		return []string{rendezvous.Owner(homes, workspaceKey(service, workspace))}
	}
	return nil
}

// sortedNames returns the keys of a map in sorted order.
func sortedNames[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }

// movedFrom returns the number of pairs above smallPair in either placement whose home hosts
// differ. Either may be nil.
func (p *Placement) movedFrom(former *Placement) int {
	if p == nil || former == nil {
		return 0 // all move when the placement begins or ends
	}
	moved := 0
	for key, hosts := range p.placed {
		if before := former.firstHomes(key.service, key.workspace); !sameSet(hosts, before) {
			moved++
		}
	}
	for key, before := range former.placed {
		if _, ok := p.placed[key]; !ok && !sameSet(p.firstHomes(key.service, key.workspace), before) {
			moved++
		}
	}
	return moved
}

// sameSet reports whether two lists without duplicates have the same elements.
func sameSet(a, b []string) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(s string) bool { return !slices.Contains(b, s) })
}

// PlacementSummary describes a placement for operators.
type PlacementSummary struct {
	Active bool
	// Placed is the number of pairs of a workspace and a service that are placed by their load,
	// and Shared that of pairs with several home hosts.
	Placed, Shared int
	// HomeServices is the number of services for which the host is home, and Load its declared
	// load as a home host in bytes a second.
	HomeServices int
	Load         int64
	// GreatestLoad is the greatest load of a home host, and Link that of a usual host, in bytes
	// a second.
	GreatestLoad, Link int64
	// Moved is the number of pairs that have changed their home hosts since the process started.
	Moved int
}

// Placement describes the placement as of the last Update, for a host.
func (t *HomeTable) Placement(host string) PlacementSummary {
	s := PlacementSummary{Moved: t.moved, Link: medianLink(t.links)}
	p := t.placement
	if p == nil {
		return s
	}
	s.Active, s.Placed, s.Load = true, len(p.placed), p.load[host]
	for _, hosts := range p.placed {
		if len(hosts) > 1 {
			s.Shared++
		}
	}
	for _, homes := range p.homes {
		if slices.Contains(homes, host) {
			s.HomeServices++
		}
	}
	for _, load := range p.load {
		s.GreatestLoad = max(s.GreatestLoad, load)
	}
	return s
}
