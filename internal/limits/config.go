package limits

import (
	"time"

	"github.com/galenabridge/galenabridge/internal/lease"
	"github.com/galenabridge/galenabridge/internal/note"
)

// Config holds the settings for the distribution of limits. They must be the same
// on all hosts of a fleet.
type Config struct {
	Lease lease.Config
	// FloorConnections is the least number of connections to each endpoint that an entry
	// host may open without a lease, so that a request on an idle host need not wait
	// for one.
	FloorConnections int
	// ProbeConnections is the number of an endpoint's connections that are reserved for
	// probes. A negative value reserves one for each failure domain with watchers and
	// one for the control leader.
	ProbeConnections int
	// HeadroomConnections is the number of connections per connecting host that are left unused.
	// After a power loss an endpoint still counts the connections of the lost
	// processes for some seconds, while the restarted hosts need new ones.
	HeadroomConnections int
	// HomesOnly is set if the statements of a service run at its home hosts only
	// (package route). The others then have no floor, and each home host has an equal
	// part of half of the connections.
	HomesOnly bool
	// RateFloor is the fraction of a rate that is permanently divided evenly among
	// the entry hosts. It needs no lease and is available while a key has no owner.
	RateFloor float64
	// HomeRateFloor replaces RateFloor where HomesOnly has an effect: the fraction is
	// divided among the hosts that are the first home host of the workspace on a service.
	HomeRateFloor float64
	// Tolerance is the permitted excess over a workspace's limit.
	Tolerance Tolerance
}

// Tolerance is how far the operations of a workspace may exceed its limit in any
// window of the given length: (rate*Window + burst)*Overage + Slack. The zero
// value allows no excess. It is spent only where a host lacks information: before
// its next share is granted, and on what its former process has spent.
type Tolerance struct {
	Window  time.Duration
	Overage float64
	// Slack is a number of operations.
	Slack float64
}

// allowance returns the number of operations by which a workspace may exceed its
// limit within a window.
func (t Tolerance) allowance(w note.Workspace) float64 {
	return (w.Rate*t.Window.Seconds()+w.Burst)*t.Overage + t.Slack
}

// DefaultConfig returns the settings for endpoints that are probed by watchers: an
// entry host has one connection for its monitor and one for requests.
func DefaultConfig() Config {
	return Config{Lease: lease.DefaultConfig(), FloorConnections: 2, ProbeConnections: -1}
}

// floorSlots is the number of statements that a host without a lease may run at
// once.
const floorSlots = 1
