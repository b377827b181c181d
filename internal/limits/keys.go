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
	return quota.Config{Authority: cfg.Duration, Drift: cfg.Drift}
}

// limitsOf returns every limit that the agreed state sets.
func limitsOf(state *agreed.State) map[string]quota.Limit {
	all := make(map[string]quota.Limit)
	probes := probeConnections(state)
	for name, w := range state.Catalog.Workspaces {
		all[rateKey(name)] = quota.Limit{Rate: w.Rate, Burst: w.Burst}
	}
	for id, e := range state.Endpoints {
		service, ok := state.Catalog.Services[e.Service]
		if !ok {
			continue
		}
		all[connectionKey(id)] = quota.Limit{Burst: float64(max(service.Connections-probes, 1))}
		all[slotKey(id)] = quota.Limit{Burst: float64(service.Slots)}
	}
	return all
}

// probeConnections is the number of an endpoint's connections that are kept for
// probes: one watcher for each failure domain and the control leader. Entry
// hosts share the others by need.
func probeConnections(state *agreed.State) int {
	domains := make(map[string]bool)
	for _, h := range state.Hosts {
		if h.Entry {
			domains[h.Domain] = true
		}
	}
	return min(len(domains), failover.MaxWatcherDomains) + 1
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

// tickInterval is the time between two rounds of a task.
const tickInterval = 100 * time.Millisecond
