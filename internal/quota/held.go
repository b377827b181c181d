package quota

import (
	"math"
	"time"
)

const (
	// requestInterval is the interval between requests while a holder's share does
	// not cover its demand.
	requestInterval = 100 * time.Millisecond
	// demandChange is the relative change of demand from which on a request is due at
	// once.
	demandChange = 0.25
	// demandTimeConstant is the time constant of the demand estimate.
	demandTimeConstant = 500 * time.Millisecond
	// backlogTarget is the time within which waiting requests should be served.
	backlogTarget = time.Second
	// minRetryDelay is the delay until the second request for a share that does not
	// cover the demand. It is a few round trips, and doubles up to requestInterval.
	minRetryDelay = 10 * time.Millisecond
	// spentTimeout is the time without use after which a holder gives back a share
	// without a rate whose tokens are spent.
	spentTimeout = 200 * time.Millisecond
	// minMeasureInterval is the minimum time over which demand is measured.
	minMeasureInterval = 100 * time.Millisecond
)

// heldKey is the state of one key at a holder.
type heldKey struct {
	name        string
	isUnitLimit bool
	// callerCounts is set if the caller counts its units itself (ReportUsage).
	// unitDemand is then its demand, including the units in use.
	callerCounts bool
	unitDemand   float64
	stamp        Stamp
	expires      time.Time
	bucket       bucket
	inUse        float64
	// returned is the number of tokens to return with the next request.
	returned float64
	// overloaded, lowDemand and unknown are the values of the latest grant.
	overloaded bool
	lowDemand  bool
	unknown    bool
	// backlogUntil is when the requests that waited at all holders will have their tokens,
	// according to the latest grant.
	backlogUntil time.Time

	offered        float64 // tokens requested since measuredAt
	backlog        float64 // tokens or units of waiting requests
	measuredAt     time.Time
	arrivalRate    float64 // tokens per second
	demand         float64
	reportedDemand float64 // demand in the latest request
	lastUse        time.Time
	needsMore      bool // the share was insufficient since the latest request
	// retryDelay is the time between the last two requests for more, zero after the
	// share was sufficient. The next one is sent no earlier than retryAt.
	retryDelay  time.Duration
	retryAt     time.Time
	nextRequest time.Time
	// firstSeq is the sequence number of the first request since the key came into
	// use, zero before it. Replies to earlier requests are ignored.
	firstSeq uint64
}

func (k *heldKey) valid(now time.Time) bool { return now.Before(k.expires) }

// advance refills the bucket up to now, or empties it if the lease has expired.
func (k *heldKey) advance(now time.Time) {
	if k.valid(now) {
		k.bucket.refill(now)
		return
	}
	k.bucket = bucket{refilledAt: now}
	k.returned = 0
}

// measure updates the demand. The demand for a rate is an exponential moving average
// of the arrival rate, plus the rate that serves the backlog within backlogTarget.
// The demand for units is reported by the caller, or is the number of units in use
// or waited for.
func (k *heldKey) measure(now time.Time) {
	if k.callerCounts {
		k.demand = k.unitDemand
		return
	}
	if k.isUnitLimit {
		k.demand = k.inUse + k.backlog
		return
	}
	if elapsed := now.Sub(k.measuredAt); elapsed >= minMeasureInterval {
		rate := k.offered / elapsed.Seconds()
		k.arrivalRate += (rate - k.arrivalRate) * (1 - math.Exp(-elapsed.Seconds()/demandTimeConstant.Seconds()))
		k.offered, k.measuredAt = 0, now
	}
	k.demand = k.arrivalRate + k.backlog/backlogTarget.Seconds()
}

// due reports whether a request to the owner is due: the share does not cover the
// demand, the demand has changed by demandChange, or the renewal interval has passed.
// The demand for a share without a rate is in the requests for its tokens.
func (k *heldKey) due(now time.Time) bool {
	if k.needsMore && !now.Before(k.retryAt) {
		return true
	}
	changed := math.Abs(k.demand-k.reportedDemand) > demandChange*max(k.reportedDemand, 1)
	return changed && !k.isRateless(now) || !now.Before(k.nextRequest)
}

// isRateless reports whether the share has no rate of its own: the owner grants its
// tokens one by one.
func (k *heldKey) isRateless(now time.Time) bool {
	return !k.isUnitLimit && k.valid(now) && k.bucket.share.Rate == 0
}

// isSpent reports whether the tokens of a share without a rate have been spent and no
// request waits for more.
func (k *heldKey) isSpent(now time.Time) bool {
	return k.isRateless(now) && k.bucket.level < 1 && k.backlog == 0 && now.Sub(k.lastUse) > spentTimeout
}

// request returns the part of a request to the owner that describes the key. The
// reported burst includes units in use beyond the share, also after the lease has
// expired.
func (k *heldKey) request(now time.Time) KeyRequest {
	kr := KeyRequest{
		Key: k.name, Demand: float32(k.demand), Level: float32(k.bucket.level), Returned: k.returned,
	}
	if !k.isUnitLimit {
		kr.Waiting = float32(k.backlog)
	}
	if k.valid(now) || k.inUse > 0 {
		share := k.bucket.share
		share.Burst = max(share.Burst, k.inUse)
		remaining := max(0, (k.expires.Sub(now) + time.Millisecond - 1).Milliseconds())
		kr.Lease = &HeldLease{Stamp: k.stamp, Share: share, RemainingMS: uint32(remaining)}
	}
	return kr
}

// recordRequest records that the key is included in a request sent now.
func (k *heldKey) recordRequest(now time.Time, cfg Config) {
	interval := cfg.RenewInterval
	if k.lowDemand && k.valid(now) {
		interval = cfg.ShareLease / 2
	}
	if k.needsMore {
		k.retryDelay = min(max(2*k.retryDelay, minRetryDelay), requestInterval)
		k.retryAt = now.Add(k.retryDelay)
	}
	k.reportedDemand, k.returned, k.needsMore = k.demand, 0, false
	k.nextRequest = now.Add(interval)
}

// apply replaces the share by that of a newer grant. It ignores a grant that is
// not newer than the current one or that has already expired.
func (k *heldKey) apply(now time.Time, g Grant, stamp Stamp, expires time.Time) {
	if stamp.Compare(k.stamp) <= 0 || !now.Before(expires) {
		return
	}
	k.advance(now)
	k.stamp, k.expires, k.overloaded, k.lowDemand, k.unknown = stamp, expires, g.Overloaded, g.LowDemand, g.Unknown
	k.backlogUntil = now.Add(time.Duration(g.BacklogMS) * time.Millisecond)
	k.returned += k.bucket.resize(now, g.Share)
	k.bucket.add(g.Tokens)
}

// waitTime estimates the time until n tokens are available. Tokens beyond the
// burst of the share can come only from the owner.
func (k *heldKey) waitTime(n float64) time.Duration {
	if k.bucket.share.Rate <= 0 || n > k.bucket.share.Burst {
		return requestInterval
	}
	return k.bucket.timeUntil(n)
}
