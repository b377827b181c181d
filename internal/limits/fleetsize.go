package limits

import (
	"maps"
	"slices"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/failover"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/route"
)

// reserveFraction is the fraction of the tolerance that the hosts hold as reserve.
// A host may spend its reserve a second time in a window after a restart, so at
// most half of the tolerance can be held in reserve. With home hosts it is a third, as
// the host that takes the place of a restarted one has a reserve as well.
const (
	reserveFraction     = 1.0 / 2
	homeReserveFraction = 1.0 / 3
)

// maxFloorServices is the number of services up to which workspaces have rate floors at
// their home hosts. With more, a part of a rate for each would hold no token.
const maxFloorServices = 16

// fleetSize holds the numbers from which the hosts' floors and the leased parts of
// limits are computed.
type fleetSize struct {
	cfg        Config
	entryHosts int
	// homeHosts is the number of home hosts of a service, zero if all entry hosts are.
	homeHosts int
	domains   int // failure domains with entry hosts
	// homes and services, sorted by name, are set if homeHosts is.
	homes    *route.HomeTable
	services []string
}

// connectingHosts returns the number of hosts that connect to the endpoints of a service.
func (f fleetSize) connectingHosts() int {
	if f.homeHosts > 0 {
		return f.homeHosts
	}
	return f.entryHosts
}

// sizeOf returns the numbers for a state. The table is updated to the state and used by the
// result.
func sizeOf(cfg Config, state *agreed.State, homes *route.HomeTable) fleetSize {
	size := fleetSize{cfg: cfg}
	domains := make(map[string]bool)
	for _, h := range state.Hosts {
		if h.Entry {
			size.entryHosts++
			domains[h.Domain] = true
		}
	}
	size.domains = len(domains)
	if cfg.HomesOnly && !route.AllAtHome(size.entryHosts) {
		size.homeHosts = route.HomeHostCount
		homes.Update(state)
		size.homes = homes
		size.services = slices.Sorted(maps.Keys(state.Catalog.Services))
	}
	return size
}

// availableConnections returns the number of an endpoint's connections that entry
// hosts may use. The others are reserved for probes, and for headroom if enough
// connections for the floors remain.
func (f fleetSize) availableConnections(connections int) int {
	probes := f.cfg.ProbeConnections
	if probes < 0 {
		probes = min(f.domains, failover.MaxWatcherDomains) + 1
	}
	connections -= probes
	if spare := connections - f.cfg.HeadroomConnections*f.connectingHosts(); spare >= f.cfg.FloorConnections*f.connectingHosts() {
		connections = spare
	}
	return max(connections, 1)
}

// connectionFloor returns the number of connections that each host that connects to an
// endpoint may open without a lease. It is zero if the endpoint has too few for all hosts.
func (f fleetSize) connectionFloor(connections int) int {
	available := f.availableConnections(connections)
	if available < f.cfg.FloorConnections*f.connectingHosts() {
		return 0
	}
	if f.homeHosts > 0 {
		return max(f.cfg.FloorConnections, available/(2*f.homeHosts))
	}
	return f.cfg.FloorConnections
}

// rateFloorHosts returns the hosts that have a floor of a workspace's rate if not all entry
// hosts have one.
func (f fleetSize) rateFloorHosts(workspace string) []string {
	if len(f.services) > maxFloorServices {
		return nil
	}
	return f.homes.FirstHomes(f.services, workspace)
}

// hasRateFloor reports whether a host has a floor of a workspace's rate.
func (f fleetSize) hasRateFloor(host string, w note.Workspace) bool {
	if f.rateFloorFraction(w) == 0 {
		return false
	}
	return f.homeHosts == 0 || slices.Contains(f.rateFloorHosts(w.Name), host)
}

// rateFloorFraction returns the fraction of a workspace's rate and burst that each
// host with a floor has without a lease. It is zero if the bucket could not hold one token.
func (f fleetSize) rateFloorFraction(w note.Workspace) float64 {
	fraction := f.cfg.RateFloor / float64(max(f.entryHosts, 1))
	if f.homeHosts > 0 {
		fraction = f.cfg.HomeRateFloor / float64(max(len(f.rateFloorHosts(w.Name)), 1))
	}
	if w.Burst*fraction+f.tokenReserve(w) < 1 {
		return 0
	}
	return fraction
}

// rateFloorSum returns the fraction of a workspace's rate and burst that all floors have.
func (f fleetSize) rateFloorSum(w note.Workspace) float64 {
	if f.homeHosts > 0 {
		return f.rateFloorFraction(w) * float64(len(f.rateFloorHosts(w.Name)))
	}
	return f.rateFloorFraction(w) * float64(f.entryHosts)
}

// tokenReserve returns the number of tokens that each host with a floor may hold without a
// lease in addition to its part of the burst.
func (f fleetSize) tokenReserve(w note.Workspace) float64 {
	if f.homeHosts > 0 {
		return f.cfg.Tolerance.allowance(w) * homeReserveFraction / float64(max(len(f.rateFloorHosts(w.Name)), 1))
	}
	return f.cfg.Tolerance.allowance(w) * reserveFraction / float64(max(f.entryHosts, 1))
}

// The fractions of the tolerance of a workspace without floors that it may use where a host or
// an owner lacks information. The reserves of the hosts and what accrues beyond the burst leave
// the rest for the arrival of statements, which lags behind their tokens. New processes begin
// without reserves, so that the reserves and the tokens of a restart fit into one window.
const (
	gapFraction       = 1.0 / 2 // the reserves of all hosts (reserve)
	idleBurstFraction = 1.0 / 5 // what accrues while nobody can spend any
	restartFraction   = 1.0 / 2 // what replaces the buckets of a fleet that was lost
)

// idleBurst returns the tokens that a workspace's rate may accrue beyond its burst while its
// owner or the fleet is lost. Where the hosts have floors, these hold the tolerance.
func (f fleetSize) idleBurst(w note.Workspace) float64 {
	return f.toleranceWithoutFloors(w) * idleBurstFraction
}

// restartBurst returns the tokens that a workspace gets in place of those of a lost fleet.
func (f fleetSize) restartBurst(w note.Workspace) float64 {
	return f.toleranceWithoutFloors(w) * restartFraction
}

func (f fleetSize) toleranceWithoutFloors(w note.Workspace) float64 {
	if f.rateFloorSum(w) > 0 {
		return 0
	}
	return f.cfg.Tolerance.allowance(w)
}

// leasedConnections returns the number of an endpoint's connections that are leased
// by demand: all that are available except the floors.
func (f fleetSize) leasedConnections(connections int) int {
	return f.availableConnections(connections) - f.connectionFloor(connections)*f.connectingHosts()
}
