// Package limits shares the fleet's limits among its hosts over the peer
// connections. The Owner task runs on control hosts and grants shares; the
// Holder task runs on entry hosts, spends the rates of workspaces and knows how
// many connections and slots of each endpoint the host may use. The decisions
// are those of package quota.
package limits

import (
	"maps"
	"slices"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/failover"
	"github.com/galenabridge/galenabridge/internal/lease"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/quota"
)

// Prefixes of quota keys.
const (
	ratePrefix       = "rate:"
	connectionPrefix = "conn:"
	slotPrefix       = "slot:"
)

func rateKey(workspace string) string      { return ratePrefix + workspace }
func connectionKey(endpoint string) string { return connectionPrefix + endpoint }
func slotKey(endpoint string) string       { return slotPrefix + endpoint }

// quotaConfig derives the settings of quotas from those of the configuration
// lease, under which owners act.
func quotaConfig(cfg lease.Config) quota.Config {
	return quota.Config{OwnerLease: cfg.Duration, Drift: cfg.Drift}
}

// limitsOf returns every limit that the agreed state sets.
func limitsOf(cfg Config, state *agreed.State) map[string]quota.Limit {
	all := make(map[string]quota.Limit)
	size := sizeOf(cfg, state)
	for name, w := range state.Catalog.Workspaces {
		floor := size.rateFloor(w)
		leased := 1 - floor*float64(size.entryHosts)
		all[rateKey(name)] = quota.Limit{Rate: w.Rate * leased, Burst: w.Burst * leased}
	}
	for id, e := range state.Endpoints {
		service, ok := state.Catalog.Services[e.Service]
		if !ok {
			continue
		}
		all[connectionKey(id)] = quota.Limit{Burst: float64(size.sharedConnections(service.Connections))}
		all[slotKey(id)] = quota.Limit{Burst: float64(service.Slots)}
	}
	return all
}

// Config tells how limits are shared. All hosts of a fleet use the same.
type Config struct {
	Lease lease.Config
	// FloorConnections is what an entry host may have of each endpoint without a
	// lease, so that a request on a quiet host does not wait for one.
	FloorConnections int
	// ProbeConnections is the number of an endpoint's connections that are left to probes;
	// negative for one for each watching failure domain and one for the control
	// leader.
	ProbeConnections int
	// Headroom is how many connections for each entry host are left unused. After a
	// loss of power an endpoint counts those of the lost processes for some seconds,
	// and the hosts that start again need some beside them.
	Headroom int
	// RateFloor is the part of a rate that is divided evenly among the entry hosts
	// for good: it needs no lease, and is there while a key has no owner.
	RateFloor float64
	// Tolerance is how far the fleet may pass a rate.
	Tolerance Tolerance
}

// Tolerance is how far the operations of a workspace may pass its limit in any
// window of the given length: (rate*Window + burst)*Overage + Slack. The zero
// value allows nothing. It is spent only on what a host cannot know in time: the
// share that it is granted next, and what its former process has spent.
type Tolerance struct {
	Window  time.Duration
	Overage float64
	// Slack is in operations.
	Slack float64
}

// allowance is the number of operations by which a workspace may pass its limit
// within a window.
func (t Tolerance) allowance(w note.Workspace) float64 {
	return (w.Rate*t.Window.Seconds()+w.Burst)*t.Overage + t.Slack
}

// reserveShare is the part of the tolerance that the hosts hold in reserve. Each
// may spend its reserve once more in a window after a restart: both halves fit.
const reserveShare = 0.5

// DefaultConfig returns the sharing of endpoints that are probed by watchers: a
// host has one connection for its monitor and one for requests.
func DefaultConfig() Config {
	return Config{Lease: lease.DefaultConfig(), FloorConnections: 2, ProbeConnections: -1}
}

// floorSlots is the number of statements that a host without a lease may run.
const floorSlots = 1

// fleetSize is what the shares of connections depend on.
type fleetSize struct {
	cfg        Config
	entryHosts int
	domains    int // failure domains with entry hosts
}

func sizeOf(cfg Config, state *agreed.State) fleetSize {
	size := fleetSize{cfg: cfg}
	domains := make(map[string]bool)
	for _, h := range state.Hosts {
		if h.Entry {
			size.entryHosts++
			domains[h.Domain] = true
		}
	}
	size.domains = len(domains)
	return size
}

// available is the number of an endpoint's connections that entry hosts may
// use. The others are for probes: one watcher for each watching failure domain
// and the control leader.
func (f fleetSize) available(connections int) int {
	probes := f.cfg.ProbeConnections
	if probes < 0 {
		probes = min(f.domains, failover.MaxWatcherDomains) + 1
	}
	connections -= probes
	if spare := connections - f.cfg.Headroom*f.entryHosts; spare >= f.cfg.FloorConnections*f.entryHosts {
		connections = spare
	}
	return max(connections, 1)
}

// floor is the number of connections that each entry host may have without a
// lease. It is zero when the endpoint has too few for all.
func (f fleetSize) floor(connections int) int {
	if f.available(connections) < f.cfg.FloorConnections*f.entryHosts {
		return 0
	}
	return f.cfg.FloorConnections
}

// rateFloor is the part of a workspace's rate and burst that each entry host has
// without a lease. It is zero when the part could not hold one token.
func (f fleetSize) rateFloor(w note.Workspace) float64 {
	part := f.cfg.RateFloor / float64(max(f.entryHosts, 1))
	if w.Burst*part+f.reserve(w) < 1 {
		return 0
	}
	return part
}

// reserve is the number of tokens beside its part of the burst that each entry
// host may hold of a workspace's rate without a lease.
func (f fleetSize) reserve(w note.Workspace) float64 {
	return f.cfg.Tolerance.allowance(w) * reserveShare / float64(max(f.entryHosts, 1))
}

// sharedConnections is the number of connections that are leased by need.
func (f fleetSize) sharedConnections(connections int) int {
	return f.available(connections) - f.floor(connections)*f.entryHosts
}

// owners returns the hosts among which the owners of keys are chosen.
func owners(state *agreed.State) []string {
	var hosts []string
	for _, id := range slices.Sorted(maps.Keys(state.Hosts)) {
		if state.Hosts[id].Control {
			hosts = append(hosts, id)
		}
	}
	return hosts
}

// holders are the processes that may hold leases.
func holders(state *agreed.State) []quota.HolderID {
	var all []quota.HolderID
	for _, h := range state.Hosts {
		if h.Entry {
			all = append(all, quota.HolderID{Host: h.ID, Incarnation: h.Incarnation})
		}
	}
	return all
}

// tickInterval is the time between two rounds of a task.
const tickInterval = 100 * time.Millisecond
