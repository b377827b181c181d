package limits

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/galenabridge/galenabridge/internal/agreed"
)

// setRates follows changed rates and numbers of hosts. A new bucket starts
// empty: the one of a former process may just have been spent. The caller holds
// the lock.
func (h *Holder) setRates(now time.Time, state *agreed.State, size fleetSize) {
	for name, w := range state.Catalog.Workspaces {
		part := size.rateFloor(w)
		limit, burst := rate.Limit(w.Rate*part), int(w.Burst*part)
		bucket := h.rates[name]
		switch {
		case part == 0:
			delete(h.rates, name)
		case bucket == nil:
			bucket = rate.NewLimiter(limit, burst)
			bucket.AllowN(now, burst)
			h.rates[name] = bucket
		default:
			bucket.SetLimitAt(now, limit)
			bucket.SetBurstAt(now, burst)
		}
	}
	for name := range h.rates {
		if _, ok := state.Catalog.Workspaces[name]; !ok {
			delete(h.rates, name)
		}
	}
}

// takeFloor takes a token that needs no lease.
func (h *Holder) takeFloor(now time.Time, workspace string) bool {
	bucket := h.rates[workspace]
	return bucket != nil && bucket.AllowN(now, 1)
}

// floorWait is the time until the next such token at the latest.
func (h *Holder) floorWait(workspace string) time.Duration {
	bucket := h.rates[workspace]
	if bucket == nil || bucket.Limit() <= 0 {
		return idleWait
	}
	return time.Duration(float64(time.Second) / float64(bucket.Limit()))
}
