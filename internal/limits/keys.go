// Package limits distributes the fleet's limits among its hosts over the peer
// connections. The Owner task runs on control hosts and grants shares. The Holder
// task runs on entry hosts, spends the rates of workspaces and determines how many
// connections and slots of each endpoint the host may use. Package quota makes the
// decisions.
package limits

import (
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/lease"
	"github.com/galenabridge/galenabridge/internal/quota"
	"github.com/galenabridge/galenabridge/internal/route"
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

// quotaConfig derives the quota settings from the configuration lease under which
// owners act.
func quotaConfig(cfg lease.Config) quota.Config {
	return quota.Config{OwnerLease: cfg.Duration, Drift: cfg.Drift}
}

// limitsOf returns the leased part of every limit in the agreed state, by quota key.
func limitsOf(cfg Config, state *agreed.State, homes *route.HomeTable) map[string]quota.Limit {
	all := make(map[string]quota.Limit)
	size := sizeOf(cfg, state, homes)
	for name, w := range state.Catalog.Workspaces {
		leasedFraction := 1 - size.rateFloorSum(w)
		all[rateKey(name)] = quota.Limit{
			Rate: w.Rate * leasedFraction, Burst: w.Burst * leasedFraction,
			IdleBurst: size.idleBurst(w), RestartBurst: size.restartBurst(w),
		}
	}
	for id, e := range state.Endpoints {
		service, ok := state.Catalog.Services[e.Service]
		if !ok {
			continue
		}
		all[connectionKey(id)] = quota.Limit{Burst: float64(size.leasedConnections(service.Connections))}
		all[slotKey(id)] = quota.Limit{Burst: float64(service.Slots)}
	}
	return all
}

// holderIDs returns the processes that may hold shares: those of the entry hosts, and those
// of entry hosts that are absent.
func holderIDs(state *agreed.State) (present, absent []quota.HolderID) {
	for _, h := range state.Hosts {
		id := quota.HolderID{Host: h.ID, Incarnation: h.Incarnation}
		switch {
		case h.Entry && h.Absent:
			absent = append(absent, id)
		case h.Entry:
			present = append(present, id)
		}
	}
	return present, absent
}

// tickInterval is the interval at which the Owner and Holder tasks run without other
// events.
const tickInterval = 100 * time.Millisecond
