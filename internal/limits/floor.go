package limits

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/note"
)

// floor is the part of a workspace's rate that needs no lease: a token bucket
// with the host's part of the rate, its part of the burst, and its reserve of the
// tolerance.
type floorBucket struct {
	bucket *rate.Limiter
}

// newFloor returns the floor of a process that has just started. The former
// process may have spent the part of the burst; the reserve allows for that.
func newFloorBucket(now time.Time, w note.Workspace, size fleetSize) *floorBucket {
	f := &floorBucket{}
	f.bucket = rate.NewLimiter(f.rateAndBurst(w, size))
	f.bucket.AllowN(now, f.bucket.Burst()-int(size.tokenReserve(w)))
	return f
}

func (f *floorBucket) rateAndBurst(w note.Workspace, size fleetSize) (rate.Limit, int) {
	part := size.rateFloorFraction(w)
	return rate.Limit(w.Rate * part), int(w.Burst*part + size.tokenReserve(w))
}

func (f *floorBucket) resize(now time.Time, w note.Workspace, size fleetSize) {
	limit, burst := f.rateAndBurst(w, size)
	f.bucket.SetLimitAt(now, limit)
	f.bucket.SetBurstAt(now, burst)
}

// take takes a token.
func (f *floorBucket) take(now time.Time) bool { return f != nil && f.bucket.AllowN(now, 1) }

// takeSurplus takes a token that the bucket could not hold for longer.
func (f *floorBucket) takeIfFull(now time.Time) bool {
	return f != nil && f.bucket.TokensAt(now) >= float64(f.bucket.Burst()) && f.take(now)
}

// wait is the time until the next token at the latest.
func (f *floorBucket) maxWait() time.Duration {
	if f == nil || f.bucket.Limit() <= 0 {
		return idleWait
	}
	return time.Duration(float64(time.Second) / float64(f.bucket.Limit()))
}

// setRates follows changed rates and numbers of hosts. The caller holds the lock.
func (h *Holder) updateRateFloors(now time.Time, state *agreed.State, size fleetSize) {
	for name, w := range state.Catalog.Workspaces {
		switch f := h.rateFloors[name]; {
		case size.rateFloorFraction(w) == 0:
			delete(h.rateFloors, name)
		case f == nil:
			h.rateFloors[name] = newFloorBucket(now, w, size)
		default:
			f.resize(now, w, size)
		}
	}
	for name := range h.rateFloors {
		if _, ok := state.Catalog.Workspaces[name]; !ok {
			delete(h.rateFloors, name)
		}
	}
}
