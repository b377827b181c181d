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
	// catchUp is the time within which requests that wait should be served.
	catchUp = time.Second
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
	// over and calm are what the owner said of the demand of all holders.
	over bool
	calm bool

	offered  float64 // since measured
	backlog  float64 // of requests that wait
	measured time.Time
	arrivals float64 // per second
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

// measure updates the estimate of demand: an exponential moving average of the
// arrivals, and what it takes to serve those that wait within catchUp.
func (k *heldKey) measure(now time.Time) {
	if k.counted {
		k.demand = k.wanted
		return
	}
	if k.units {
		k.demand = k.inUse + k.backlog
		return
	}
	if elapsed := now.Sub(k.measured); elapsed >= measureInterval {
		rate := k.offered / elapsed.Seconds()
		k.arrivals += (rate - k.arrivals) * (1 - math.Exp(-elapsed.Seconds()/demandWindow.Seconds()))
		k.offered, k.measured = 0, now
	}
	k.demand = k.arrivals + k.backlog/catchUp.Seconds()
}

// due reports whether the owner should be asked now.
func (k *heldKey) due(now time.Time) bool {
	changed := math.Abs(k.demand-k.reported) > demandStep*max(k.reported, 1)
	return k.short || changed || !now.Before(k.nextAsk)
}

// ask describes the key to its owner.
func (k *heldKey) ask(now time.Time) KeyRequest {
	a := KeyRequest{
		Key: k.name, Demand: float32(k.demand), Level: float32(k.bucket.level), Returned: k.returned,
	}
	if k.valid(now) || k.inUse > 0 {
		share := k.bucket.share
		share.Burst = max(share.Burst, k.inUse)
		remaining := max(0, (k.expires.Sub(now) + time.Millisecond - 1).Milliseconds())
		a.Lease = &HeldLease{Stamp: k.stamp, Share: share, RemainingMS: uint32(remaining)}
	}
	return a
}

func (k *heldKey) asked(now time.Time, cfg Config) {
	renew := cfg.RenewInterval
	if k.calm && k.valid(now) {
		renew = cfg.Lease / 2
	}
	k.reported, k.returned, k.short = k.demand, 0, false
	k.nextAsk = now.Add(renew)
}

// apply replaces the share by a newer grant.
func (k *heldKey) apply(now time.Time, g Grant, stamp Stamp, expires time.Time) {
	if stamp.Compare(k.stamp) <= 0 || !now.Before(expires) {
		return
	}
	k.advance(now)
	k.stamp, k.expires, k.over, k.calm = stamp, expires, g.Overloaded, g.LowDemand
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
