package limits

import (
	"slices"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/rendezvous"
)

// reserve holds the tokens that a host may spend beyond a workspace's limit while the owner of
// the rate is unknown to it: between the loss of an owner and the first grant of the next. It
// answers the load of that time, some requests of each workspace at its first home hosts. A
// token that was spent comes back after a window of the tolerance, so that no window contains
// more than the capacity. A nil reserve grants nothing.
type reserve struct {
	window   time.Duration
	capacity int
	spent    []time.Time // within the window, oldest first
}

// newReserve returns the reserve of a process or place that has just begun. It is empty, since
// the one before it may have spent all.
func newReserve(now time.Time, window time.Duration, capacity int) *reserve {
	r := &reserve{window: window}
	r.resize(now, capacity)
	return r
}

// resize changes the capacity. What is added counts as spent: another host may have had it.
func (r *reserve) resize(now time.Time, capacity int) {
	for ; r.capacity < capacity; r.capacity++ {
		r.spent = append(r.spent, now)
	}
	r.capacity = capacity
}

// take spends a token if there is one.
func (r *reserve) take(now time.Time) bool {
	if r == nil {
		return false
	}
	r.spent = slices.DeleteFunc(r.spent, func(at time.Time) bool { return now.Sub(at) > r.window })
	if len(r.spent) >= r.capacity {
		return false
	}
	r.spent = append(r.spent, now)
	return true
}

// maxReserveServices is the number of services up to which the hosts have reserves. With more,
// most first home hosts of a small rate would have no token, and finding them takes longer than
// a change of the hosts may.
const maxReserveServices = 32

// reserveTokens returns the capacity of a host's reserve for a workspace. The first home hosts of
// the workspace share what the tolerance allows, if the hosts have no floors.
func (f fleetSize) reserveTokens(host string, w note.Workspace) int {
	if f.homeHosts == 0 || len(f.services) > maxReserveServices || f.rateFloorSum(w) > 0 {
		return 0
	}
	hosts := f.homes.FirstHomes(f.services, w.Name)
	if !slices.Contains(hosts, host) {
		return 0
	}
	total := int(f.cfg.Tolerance.allowance(w) * gapFraction)
	tokens := total / len(hosts)
	if slices.Contains(rendezvous.Top(hosts, w.Name, total%len(hosts)), host) {
		tokens++
	}
	return tokens
}

// updateReserves adjusts the reserves to the agreed state. The caller holds h.mu.
func (h *Holder) updateReserves(now time.Time, state *agreed.State, size fleetSize) {
	for name, w := range state.Catalog.Workspaces {
		tokens := size.reserveTokens(h.peers.Host(), w)
		switch r := h.reserves[name]; {
		case tokens == 0:
			delete(h.reserves, name)
		case r == nil:
			h.reserves[name] = newReserve(now, h.cfg.Tolerance.Window, tokens)
		default:
			r.resize(now, tokens)
		}
	}
	for name := range h.reserves {
		if _, ok := state.Catalog.Workspaces[name]; !ok {
			delete(h.reserves, name)
		}
	}
}
