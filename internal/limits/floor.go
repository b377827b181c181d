package limits

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/note"
)

// floorBucket is the part of a workspace's rate that a host may use without a
// lease: a token bucket with the host's part of the rate, its part of the burst,
// and its reserve from the tolerance. A nil floorBucket grants nothing.
type floorBucket struct {
	bucket *rate.Limiter
}

// newFloorBucket returns the bucket of a process that has just started. It contains
// only the reserve, because the former process of the host may have spent the host's
// part of the burst.
func newFloorBucket(now time.Time, w note.Workspace, size fleetSize) *floorBucket {
	f := &floorBucket{}
	f.bucket = rate.NewLimiter(f.rateAndBurst(w, size))
	f.bucket.AllowN(now, f.bucket.Burst()-int(size.tokenReserve(w)))
	return f
}

// rateAndBurst returns the refill rate in tokens per second and the capacity in
// tokens.
func (f *floorBucket) rateAndBurst(w note.Workspace, size fleetSize) (rate.Limit, int) {
	fraction := size.rateFloorFraction(w)
	return rate.Limit(w.Rate * fraction), int(w.Burst*fraction + size.tokenReserve(w))
}

func (f *floorBucket) resize(now time.Time, w note.Workspace, size fleetSize) {
	limit, burst := f.rateAndBurst(w, size)
	f.bucket.SetLimitAt(now, limit)
	f.bucket.SetBurstAt(now, burst)
}

// take spends a token if there is one.
func (f *floorBucket) take(now time.Time) bool { return f != nil && f.bucket.AllowN(now, 1) }

// takeIfFull spends a token only if the bucket is full and would lose the tokens that
// accrue next.
func (f *floorBucket) takeIfFull(now time.Time) bool {
	return f != nil && f.isFull(now) && f.take(now)
}

// maxWait returns an upper bound of the time until the next token.
func (f *floorBucket) maxWait() time.Duration {
	if f == nil || f.bucket.Limit() <= 0 {
		return idleWait
	}
	return time.Duration(float64(time.Second) / float64(f.bucket.Limit()))
}

// isFull reports whether nothing has been spent of late.
func (f *floorBucket) isFull(now time.Time) bool {
	return f.bucket.TokensAt(now) >= float64(f.bucket.Burst())
}

// updateRateFloors adjusts the floor buckets to the agreed state. The bucket of a workspace that is
// withdrawn, or has no floor here any more, is kept until it is full: a rate is a promise over time,
// also to a workspace that returns. The caller holds h.mu.
func (h *Holder) updateRateFloors(now time.Time, state *agreed.State, size fleetSize) {
	for name, w := range state.Catalog.Workspaces {
		if !size.hasRateFloor(h.peers.Host(), w) {
			h.retireRateFloor(name)
			continue
		}
		f := h.rateFloors[name]
		if f == nil {
			f = h.retiredFloors[name]
			delete(h.retiredFloors, name)
		}
		if f == nil {
			h.rateFloors[name] = newFloorBucket(now, w, size)
			continue
		}
		f.resize(now, w, size)
		h.rateFloors[name] = f
	}
	for name := range h.rateFloors {
		if _, ok := state.Catalog.Workspaces[name]; !ok {
			h.retireRateFloor(name)
		}
	}
	for name, f := range h.retiredFloors {
		if f.isFull(now) {
			delete(h.retiredFloors, name)
		}
	}
}

// retireRateFloor takes the bucket of a workspace out of use. The caller holds h.mu.
func (h *Holder) retireRateFloor(name string) {
	if f := h.rateFloors[name]; f != nil {
		h.retiredFloors[name] = f
		delete(h.rateFloors, name)
	}
}
