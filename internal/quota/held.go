package quota

import (
	"math"
	"time"
)

const (
	// askInterval is the interval of requests while a holder is short.
	askInterval = 100 * time.Millisecond
	// demandStep is the relative change of demand that is reported at once.
	demandStep = 0.25
	// demandWindow is the time constant of the estimate of demand.
	demandWindow = 500 * time.Millisecond
	// measureInterval is the least time over which demand is measured.
	measureInterval = 100 * time.Millisecond
)

// heldKey is the state of one key at a holder.
type heldKey struct {
	name  string
	units bool
	// counted tells that the host counts its units itself; wanted is how many
	// it wants in all.
	counted bool
	wanted  float64
	stamp   Stamp
	expires time.Time
	bucket  bucket
	inUse   float64
	// returned tokens await the next request.
	returned float64
	// over tells that the owner saw more demand than the limit.
	over bool

	offered  float64 // since measured
	measured time.Time
	demand   float64
	reported float64 // demand in the latest request
	lastUse  time.Time
	short    bool
	nextAsk  time.Time
	firstSeq uint64 // of the first request since the key came into use
}

func (k *heldKey) valid(now time.Time) bool { return now.Before(k.expires) }

// advance refills the bucket up to now, or empties it when the lease has ended.
func (k *heldKey) advance(now time.Time) {
	if k.valid(now) {
		k.bucket.refill(now)
		return
	}
	k.bucket = bucket{filled: now}
	k.returned = 0
}

// measure updates the estimate of demand, an exponential moving average.
func (k *heldKey) measure(now time.Time) {
	if k.counted {
		k.demand = k.wanted
		return
	}
	if k.units {
		k.demand = k.inUse
		if k.short {
			k.demand += max(1, k.offered)
		}
		k.offered = 0
		return
	}
	elapsed := now.Sub(k.measured)
	if elapsed < measureInterval {
		return
	}
	rate := k.offered / elapsed.Seconds()
	k.demand += (rate - k.demand) * (1 - math.Exp(-elapsed.Seconds()/demandWindow.Seconds()))
	k.offered, k.measured = 0, now
}

// due reports whether the owner should be asked now.
func (k *heldKey) due(now time.Time) bool {
	changed := math.Abs(k.demand-k.reported) > demandStep*max(k.reported, 1)
	return k.short || changed || !now.Before(k.nextAsk)
}

// ask describes the key to its owner.
func (k *heldKey) ask(now time.Time) Ask {
	a := Ask{
		Key: k.name, Demand: float32(k.demand), Level: float32(k.bucket.level), Returned: k.returned,
	}
	if k.valid(now) {
		share := k.bucket.share
		share.Burst = max(share.Burst, k.inUse)
		remaining := (k.expires.Sub(now) + time.Millisecond - 1).Milliseconds()
		a.Held = &Held{Stamp: k.stamp, Share: share, RemainingMS: uint32(remaining)}
	}
	return a
}

func (k *heldKey) asked(now time.Time, renew time.Duration) {
	k.reported, k.returned, k.short = k.demand, 0, false
	k.nextAsk = now.Add(renew)
}

// apply replaces the share by a newer grant.
func (k *heldKey) apply(now time.Time, g Grant, stamp Stamp, expires time.Time) {
	if stamp.Compare(k.stamp) <= 0 || !now.Before(expires) {
		return
	}
	k.advance(now)
	k.stamp, k.expires, k.over = stamp, expires, g.Over
	k.returned += k.bucket.resize(now, g.Share)
	k.bucket.add(g.Tokens)
}

// wait estimates the time until n tokens are there. Tokens beyond the burst of
// the share can come only from the owner.
func (k *heldKey) wait(n float64) time.Duration {
	if k.bucket.share.Rate <= 0 || n > k.bucket.share.Burst {
		return askInterval
	}
	return k.bucket.until(n)
}
