package quota

import (
	"slices"
	"time"
)

// calmDemand is the part of a limit below which its demand is calm.
const lowDemandFraction = 0.5

// overDemand is the part of a limit above which demand counts as over it. The
// estimate includes requests that wait, which are over soon.
const overloadFraction = 1.25

// Demand counts as over the limit once it has stayed above it for overAfter, the
// time constant of its estimate. After the whole limit has become available, as
// when the fleet starts again, callers come back together for comebackTime: a
// rate of 1.5 times the usual load makes up for an interruption of two seconds in
// four.
const (
	overloadDelay   = demandTimeConstant
	reconnectWindow = 4 * time.Second
)

// grantee is what the owner knows of one holder of a key.
type holderState struct {
	seq         uint64
	lastRequest time.Time
	demand      float64
	grants      []outstandingGrant // oldest first
	inUse       float64            // units in use, as reported
	// out is the most that the holder may be using.
	leased Share
}

// given is a grant that the holder may be using or may still receive.
type outstandingGrant struct {
	stamp Stamp
	share Share
	// tokens are on their way: the holder has not reported the grant yet.
	tokensInFlight float64
	expires        time.Time
}

// ownedKey is the state of one key at its owner. What is neither out nor
// reserved is the share of the pool, from which tokens are handed out.
type ownedKey struct {
	cfg           Config
	name          string
	limit         Limit
	quarantineEnd time.Time
	// reserved may be in use by holders that have not reported since the key
	// was taken over; it is zero after the quarantine.
	reserved Share
	leased   Share // sum over grantees
	demand   float64
	// overSince is since when the demand has been above the limit, zero if it is
	// not.
	overloadedSince time.Time
	pool            bucket
	// adopted is set once a lease of the former owner was reported.
	adopted bool
	// opened is when the whole limit became available, holders how many processes
	// may ask for it.
	openedAt    time.Time
	holderCount int
	holders     map[HolderID]*holderState
}

func newOwnedKey(cfg Config, name string, limit Limit, now, quarantine time.Time) *ownedKey {
	k := &ownedKey{cfg: cfg, name: name, limit: limit, quarantineEnd: quarantine, holders: map[HolderID]*holderState{}}
	k.pool.refilledAt = now
	if now.Before(quarantine) {
		k.reserved = k.total()
	}
	k.resizePool(now)
	return k
}

// whole returns the limit as a share, its rate lowered by the drift allowance
// so that holders with fast clocks do not pass it.
func (k *ownedKey) total() Share {
	return Share{Rate: k.limit.Rate / (1 + k.cfg.Drift), Burst: k.limit.Burst}
}

func (k *ownedKey) setLimit(now time.Time, limit Limit) {
	k.advance(now)
	k.limit = limit
	k.resizePool(now)
}

func (k *ownedKey) free() Share {
	return k.total().minus(k.leased).minus(k.reserved).max(Share{})
}

// unleased reports whether no holder has had a lease of the key since it was
// taken over.
func (k *ownedKey) unleased() bool { return !k.adopted && k.leased == (Share{}) }

func (k *ownedKey) resizePool(now time.Time) { k.pool.resize(now, k.free()) }

// advance ends the quarantine when it is due.
func (k *ownedKey) advance(now time.Time) {
	if k.reserved != (Share{}) && !now.Before(k.quarantineEnd) {
		k.reserved = Share{}
	}
	k.resizePool(now)
}

// report takes over what a holder says of itself.
func (k *ownedKey) applyRequest(now time.Time, g *holderState, a KeyRequest) {
	k.demand += float64(a.Demand) - g.demand
	g.demand = float64(a.Demand)
	g.lastRequest = now
	g.inUse = 0
	switch {
	case a.Release:
		g.grants = nil
	case a.Lease != nil && len(g.grants) == 0:
		k.adopt(now, g, a.Lease)
	case a.Lease != nil:
		g.acknowledge(a.Lease.Stamp)
	}
	if a.Lease != nil && k.limit.Rate == 0 {
		g.inUse = a.Lease.Share.Burst
	}
	k.recomputeLeased(now, g)
	k.pool.add(a.Returned)
}

// acknowledge notes the grant that the holder uses: earlier ones are replaced.
func (g *holderState) acknowledge(stamp Stamp) {
	g.grants = slices.DeleteFunc(g.grants, func(v outstandingGrant) bool { return v.stamp.Compare(stamp) < 0 })
	if len(g.grants) > 0 && g.grants[0].stamp == stamp {
		g.grants[0].tokensInFlight = 0
	}
}

// adopt honours a lease of the former owner.
func (k *ownedKey) adopt(now time.Time, g *holderState, h *HeldLease) {
	if k.reserved == (Share{}) || h.RemainingMS == 0 {
		return
	}
	k.adopted = true
	remaining := time.Duration(h.RemainingMS) * time.Millisecond
	share := h.Share.min(k.reserved)
	k.reserved = k.reserved.minus(share)
	g.grants = []outstandingGrant{{stamp: h.Stamp, share: share, expires: now.Add(k.cfg.addDrift(remaining))}}
}

// settle recomputes what a holder may be using.
func (k *ownedKey) recomputeLeased(now time.Time, g *holderState) {
	out := Share{Burst: g.inUse}
	moving := 0.0
	for _, v := range g.grants {
		if !now.Before(v.expires) {
			continue
		}
		// Tokens for a holder without a share arrive in an empty bucket, so that the
		// burst of their own grant covers them.
		if out != (Share{}) {
			moving += v.tokensInFlight
		}
		out = out.max(v.share)
	}
	out.Burst += moving
	k.leased = k.leased.plus(out.minus(g.leased))
	g.leased = out
	k.resizePool(now)
}

// grant gives the holder its present share.
func (k *ownedKey) grant(now time.Time, g *holderState, a KeyRequest, stamp Stamp) Grant {
	share := k.chooseShare(now, g)
	g.grants = append(g.grants, outstandingGrant{stamp: stamp, share: share, expires: now.Add(k.cfg.addDrift(k.cfg.Lease))})
	level := k.pool.level
	k.recomputeLeased(now, g)
	var tokens float64
	if k.limit.Rate > 0 {
		tokens = max(0, min(level, k.free().Burst, share.Burst-float64(a.Level)))
		k.pool.level = min(level-tokens, k.pool.level)
		g.grants[len(g.grants)-1].tokensInFlight = tokens
		k.recomputeLeased(now, g)
	}
	return Grant{
		Key: k.name, ID: stamp.ID, Share: share, Tokens: tokens,
		Overloaded: k.overloaded(now),
		LowDemand:  k.demand < lowDemandFraction*k.limit.capacity(),
	}
}

// over reports whether the demand has been above the limit for long.
func (k *ownedKey) overloaded(now time.Time) bool {
	switch {
	case k.demand <= overloadFraction*k.limit.capacity():
		k.overloadedSince = time.Time{}
	case k.overloadedSince.IsZero():
		k.overloadedSince = now
	}
	return !k.overloadedSince.IsZero() && now.Sub(k.overloadedSince) >= overloadDelay && now.Sub(k.openedAt) >= reconnectWindow
}

// capacity is the limit in the unit of demand.
func (l Limit) capacity() float64 {
	if l.Rate > 0 {
		return l.Rate
	}
	return l.Burst
}

// current returns the share that was granted last.
func (g *holderState) currentShare() Share {
	if len(g.grants) == 0 {
		return Share{}
	}
	return g.grants[len(g.grants)-1].share
}

// expire reclaims leases that have run out.
func (k *ownedKey) expire(now time.Time) {
	k.advance(now)
	for id, g := range k.holders {
		g.grants = slices.DeleteFunc(g.grants, func(v outstandingGrant) bool { return !now.Before(v.expires) })
		k.recomputeLeased(now, g)
		// Within the quarantine the sequence number is kept, so that a delayed
		// report is not adopted twice.
		silent := now.After(g.lastRequest.Add(k.cfg.addDrift(k.cfg.Lease)))
		if len(g.grants) == 0 && silent && !now.Before(k.quarantineEnd) {
			k.removeHolder(id, g)
		}
	}
	k.resizePool(now)
}

func (k *ownedKey) removeHolder(id HolderID, g *holderState) {
	k.leased = k.leased.minus(g.leased)
	k.demand -= g.demand
	delete(k.holders, id)
	if len(k.holders) == 0 {
		k.leased, k.demand = Share{}, 0 // ends the rounding errors of the sums
	}
}

func abs(x float64) float64 { return max(x, -x) }
