package quota

import (
	"slices"
	"time"
)

// lowDemandFraction is the fraction of a limit below which demand counts as low
// (Grant.LowDemand).
const lowDemandFraction = 0.5

// overloadFactor is the multiple of a limit above which demand counts as overload.
// It leaves a margin because the demand includes waiting requests, which may be a
// short-lived backlog.
const overloadFactor = 1.25

// A key is overloaded once its demand has exceeded the limit for overloadDelay, the
// time constant of the demand estimate. For reconnectWindow after the whole limit
// has become available, as when the fleet restarts, overload is not reported:
// callers then reconnect all at once. A rate of 1.5 times the normal load serves the
// backlog of an interruption of two seconds within four.
const (
	overloadDelay   = demandTimeConstant
	reconnectWindow = 4 * time.Second
)

// holderState is the owner's state of one holder of a key.
type holderState struct {
	seq         uint64
	lastRequest time.Time
	demand      float64
	waiting     float64            // tokens that requests wait for, without those granted since
	grants      []outstandingGrant // oldest first
	inUse       float64            // units in use, as reported
	// leased is the maximum that the holder may be using (recomputeLeased).
	leased Share
}

// outstandingGrant is a grant that the holder may be using or may still receive.
type outstandingGrant struct {
	stamp Stamp
	share Share
	// tokensInFlight are tokens of a grant that the holder has not reported yet.
	tokensInFlight float64
	at             time.Time
	expires        time.Time
}

// ownedKey is the state of one key at its owner. The part of the limit that is
// neither leased nor reserved is free: it is the share of the pool, from which tokens
// are granted. A new share is at most the holder's current lease plus the free part,
// so grants never make leased and reserved exceed the limit together.
type ownedKey struct {
	cfg           Config
	name          string
	limit         Limit
	createdAt     time.Time
	quarantineEnd time.Time
	// reserved may be in use by holders that have not reported since the key was
	// taken over. It is zero once quarantineEnd has passed.
	reserved Share
	leased   Share // sum over holders
	demand   float64
	waiting  float64
	// overloadedSince is when the demand rose above overloadFactor times the limit,
	// zero while it is not above it.
	overloadedSince time.Time
	pool            bucket
	// idleBurst is the part of the burst that accrued while nobody could spend any, until
	// idleBurstUntil.
	idleBurst      float64
	idleBurstUntil time.Time
	// fullyAvailableAt is when the whole limit became available because all leases
	// were known, zero if it has not. holderCount is the number of processes that may
	// request shares of it.
	fullyAvailableAt time.Time
	holderCount      int
	holders          map[HolderID]*holderState
	// expectedHolders is the number of holders that count until expectedUntil, from when
	// on holders contains those that use the key.
	expectedHolders int
	expectedUntil   time.Time
	// thin is whether tokens are granted one by one (isThin).
	thin bool
}

// newOwnedKey returns a key that up to expectedHolders processes may use.
func newOwnedKey(cfg Config, name string, limit Limit, now, quarantineEnd time.Time, expectedHolders int) *ownedKey {
	k := &ownedKey{
		cfg: cfg, name: name, limit: limit, createdAt: now, quarantineEnd: quarantineEnd, holders: map[HolderID]*holderState{},
		expectedHolders: expectedHolders, expectedUntil: now.Add(cfg.ShareLease),
	}
	k.pool.refilledAt = now
	if now.Before(quarantineEnd) {
		k.reserved = k.total()
	}
	k.resizePool(now)
	return k
}

// total returns the limit as a share. The rate is reduced by the drift allowance, so
// that holders with fast clocks do not exceed the limit.
func (k *ownedKey) total() Share {
	return Share{Rate: k.limit.Rate / (1 + k.cfg.Drift), Burst: k.limit.Burst + k.idleBurst}
}

func (k *ownedKey) setLimit(now time.Time, limit Limit) {
	k.advance(now)
	k.limit = limit
	k.resizePool(now)
}

// free returns the part of the limit that is neither leased nor reserved.
func (k *ownedKey) free() Share {
	return k.total().minus(k.leased).minus(k.reserved).max(Share{})
}

// idleBurstTime is how long tokens beyond the burst can be granted after nobody could spend
// any. The callers of that time have been served or have given up by then.
const idleBurstTime = reconnectWindow

// creditIdleTime fills the pool with the tokens that accrued while no holder spent any, and
// that are not in the buckets of holders. It answers the requests that have waited for the
// owner. If all holders are new processes, what was left in the buckets of the former ones is
// unknown, and RestartBurst is granted in its place: the callers of the lost processes come
// back together. All hosts together spend at most rate*w + burst + IdleBurst in any interval of
// length w, since the buckets never hold more than that, and RestartBurst beside it in one in
// which the whole fleet was lost.
func (k *ownedKey) creditIdleTime(now time.Time, idle time.Duration, fleetIsNew bool) {
	if k.limit.Rate == 0 {
		return
	}
	accrued, beyond := k.free().Rate*idle.Seconds(), k.limit.IdleBurst
	if fleetIsNew {
		accrued += k.limit.RestartBurst
		beyond = max(beyond, k.limit.RestartBurst)
	}
	k.idleBurst = max(0, min(beyond, accrued-k.limit.Burst))
	k.idleBurstUntil = now.Add(idleBurstTime)
	k.resizePool(now)
	k.pool.level = max(k.pool.level, min(k.pool.share.Burst, accrued-k.leased.Burst))
}

// quarantined reports whether a part of the limit is reserved for holders that have not
// reported their leases.
func (k *ownedKey) quarantined() bool { return k.reserved != (Share{}) }

func (k *ownedKey) resizePool(now time.Time) { k.pool.resize(now, k.free()) }

// advance releases the reserved part once the quarantine has ended, refills the pool
// and updates thin.
func (k *ownedKey) advance(now time.Time) {
	if !now.Before(k.expectedUntil) {
		k.expectedHolders = 0
	}
	k.thin = k.isThin()
	if k.idleBurst > 0 && !now.Before(k.idleBurstUntil) {
		k.idleBurst = 0
	}
	if k.quarantined() && !now.Before(k.quarantineEnd) {
		k.reserved = Share{}
	}
	k.resizePool(now)
}

// applyRequest updates the state of a holder from its request.
func (k *ownedKey) applyRequest(now time.Time, hs *holderState, kr KeyRequest) {
	k.demand += float64(kr.Demand) - hs.demand
	hs.demand = float64(kr.Demand)
	k.setWaiting(hs, float64(kr.Waiting))
	hs.lastRequest = now
	hs.inUse = 0
	switch {
	case kr.Release:
		hs.grants = nil
	case kr.Lease != nil && len(hs.grants) == 0:
		k.adopt(now, hs, kr.Lease)
	case kr.Lease != nil:
		hs.acknowledge(kr.Lease.Stamp)
	}
	if kr.Lease != nil && k.limit.Rate == 0 {
		hs.inUse = kr.Lease.Share.Burst
	}
	k.recomputeLeased(now, hs)
	k.pool.add(kr.Returned)
}

// setWaiting updates the number of tokens that requests at a holder wait for.
func (k *ownedKey) setWaiting(hs *holderState, waiting float64) {
	k.waiting += waiting - hs.waiting
	hs.waiting = waiting
}

// acknowledge records which grant the holder uses and drops earlier ones.
func (hs *holderState) acknowledge(stamp Stamp) {
	hs.grants = slices.DeleteFunc(hs.grants, func(g outstandingGrant) bool { return g.stamp.Compare(stamp) < 0 })
	if len(hs.grants) > 0 && hs.grants[0].stamp == stamp {
		hs.grants[0].tokensInFlight = 0
	}
}

// adopt records a lease that a former owner granted, and moves its share from the
// reserved part to the holder. After the quarantine nothing is reserved and the lease
// is ignored.
func (k *ownedKey) adopt(now time.Time, hs *holderState, lease *HeldLease) {
	if !k.quarantined() || lease.RemainingMS == 0 {
		return
	}
	remaining := time.Duration(lease.RemainingMS) * time.Millisecond
	share := lease.Share.min(k.reserved)
	k.reserved = k.reserved.minus(share)
	hs.grants = []outstandingGrant{{stamp: lease.Stamp, share: share, expires: now.Add(k.cfg.addDrift(remaining))}}
}

// recomputeLeased updates the maximum that a holder may be using. While it uses one of its
// outstanding grants, its bucket holds at most the burst of that one, and the tokens of the
// later ones may be on their way: the greatest such sum, and at least its units in use.
func (k *ownedKey) recomputeLeased(now time.Time, hs *holderState) {
	leased := Share{Burst: hs.inUse}
	inFlight := 0.0
	for _, g := range slices.Backward(hs.grants) {
		if !now.Before(g.expires) {
			continue
		}
		leased = leased.max(g.share.plus(Share{Burst: inFlight}))
		inFlight += g.tokensInFlight
	}
	k.leased = k.leased.plus(leased.minus(hs.leased))
	hs.leased = leased
	k.resizePool(now)
}

// grant computes the holder's share and records it as an outstanding grant.
func (k *ownedKey) grant(now time.Time, hs *holderState, kr KeyRequest, stamp Stamp) Grant {
	var share Share
	var tokens float64
	level, arrivals := k.pool.level, k.arrivalRate()
	if k.thin {
		share, tokens = k.chooseTokens(now, hs, float64(kr.Level))
	} else {
		share = k.chooseShare(now, hs)
	}
	hs.grants = append(hs.grants, outstandingGrant{
		stamp: stamp, share: share, tokensInFlight: tokens, at: now, expires: now.Add(k.cfg.addDrift(k.cfg.ShareLease)),
	})
	k.recomputeLeased(now, hs)
	if k.limit.Rate > 0 && !k.thin {
		tokens = max(0, min(level, k.free().Burst, share.Burst-float64(kr.Level)))
		hs.grants[len(hs.grants)-1].tokensInFlight = tokens
		k.recomputeLeased(now, hs)
	}
	k.pool.level = min(level-tokens, k.pool.level)
	k.setWaiting(hs, max(0, hs.waiting-tokens))
	return Grant{
		Key: k.name, ID: stamp.ID, Share: share, Tokens: tokens,
		Overloaded: k.overloaded(now),
		LowDemand:  k.demand < lowDemandFraction*k.limit.capacity(),
		Unknown:    k.quarantined(),
		BacklogMS:  uint32(k.backlog(arrivals).Milliseconds()),
	}
}

// overloaded reports whether the demand has exceeded overloadFactor times the limit
// for overloadDelay, outside the reconnectWindow. A key in quarantine is not overloaded:
// requests wait for it whatever the demand is.
func (k *ownedKey) overloaded(now time.Time) bool {
	switch {
	case k.quarantined():
		k.overloadedSince = time.Time{}
	case k.demand <= overloadFactor*k.limit.capacity() && !k.isBacklogged():
		k.overloadedSince = time.Time{}
	case k.overloadedSince.IsZero():
		k.overloadedSince = now
	}
	return !k.overloadedSince.IsZero() && now.Sub(k.overloadedSince) >= overloadDelay && now.Sub(k.fullyAvailableAt) >= reconnectWindow
}

// isBacklogged reports whether the waiting requests alone exceed the limit by as much
// as a demand above overloadFactor would within backlogTarget. The demand does not show
// it while tokens are granted one by one, since it lacks the holders that wait for none.
func (k *ownedKey) isBacklogged() bool {
	return k.thin && k.waiting > (overloadFactor-1)*k.limit.Rate*backlogTarget.Seconds()
}

// minDrainFraction is the least part of a rate that is taken to be left for waiting requests
// beside those that arrive.
const minDrainFraction = 0.1

// arrivalRate returns the rate at which requests arrive at all holders: the demand without what
// serves the waiting ones.
func (k *ownedKey) arrivalRate() float64 {
	return max(0, k.demand-k.waiting/backlogTarget.Seconds())
}

// backlog returns the time in which the waiting requests will have tokens, while tokens are
// granted one by one. The requests that arrive meanwhile are served first, since the holders
// serve the newest first.
func (k *ownedKey) backlog(arrivals float64) time.Duration {
	short := k.waiting - k.pool.level
	if !k.thin || short < 1 || k.quarantined() {
		return 0
	}
	drain := max(k.limit.Rate-arrivals, minDrainFraction*k.limit.Rate)
	return min(time.Duration(short/drain*float64(time.Second)), maxBacklog)
}

// maxBacklog bounds the time that a grant reports for waiting requests.
const maxBacklog = time.Minute

// capacity returns the limit in the unit of demand: tokens per second, or units.
func (l Limit) capacity() float64 {
	if l.Rate > 0 {
		return l.Rate
	}
	return l.Burst
}

// tokensOnTheirWay returns the tokens of grants that the holder may still receive. A
// grant that was not reported within requestInterval counts as lost.
func (hs *holderState) tokensOnTheirWay(now time.Time) float64 {
	total := 0.0
	for _, g := range hs.grants {
		if now.Sub(g.at) < requestInterval {
			total += g.tokensInFlight
		}
	}
	return total
}

// currentShare returns the share of the latest grant.
func (hs *holderState) currentShare() Share {
	if len(hs.grants) == 0 {
		return Share{}
	}
	return hs.grants[len(hs.grants)-1].share
}

// expire reclaims expired leases, and removes holders that have neither a grant nor
// sent a request for the time of a lease.
func (k *ownedKey) expire(now time.Time) {
	k.advance(now)
	for id, hs := range k.holders {
		hs.grants = slices.DeleteFunc(hs.grants, func(g outstandingGrant) bool { return !now.Before(g.expires) })
		k.recomputeLeased(now, hs)
		// During the quarantine the holder's sequence number is kept, so that a delayed
		// request cannot be adopted twice.
		inactive := now.After(hs.lastRequest.Add(k.cfg.addDrift(k.cfg.ShareLease)))
		if len(hs.grants) == 0 && inactive && !now.Before(k.quarantineEnd) {
			k.removeHolder(id, hs)
		}
	}
	k.resizePool(now)
}

// removeHolder removes a holder, and with it its lease and its demand.
func (k *ownedKey) removeHolder(id HolderID, hs *holderState) {
	k.leased = k.leased.minus(hs.leased)
	k.demand -= hs.demand
	k.setWaiting(hs, 0)
	delete(k.holders, id)
	if len(k.holders) == 0 {
		k.leased, k.demand, k.waiting = Share{}, 0, 0 // clears accumulated rounding errors
	}
}

func abs(x float64) float64 { return max(x, -x) }
