package quota

import (
	"slices"
	"time"
)

// calmDemand is the part of a limit below which its demand is calm.
const calmDemand = 0.5

// overDemand is the part of a limit above which demand counts as over it. The
// estimate includes requests that wait, which are over soon.
const overDemand = 1.25

// Demand counts as over the limit once it has stayed above it for overAfter, the
// time constant of its estimate. After the whole limit has become available, as
// when the fleet starts again, callers come back together for comebackTime: a
// rate of 1.5 times the usual load makes up for an interruption of two seconds in
// four.
const (
	overAfter    = demandWindow
	comebackTime = 4 * time.Second
)

// grantee is what the owner knows of one holder of a key.
type grantee struct {
	seq    uint64
	heard  time.Time
	demand float64
	given  []given // oldest first
	inUse  float64 // units in use, as reported
	// out is the most that the holder may be using.
	out Share
}

// given is a grant that the holder may be using or may still receive.
type given struct {
	stamp Stamp
	share Share
	// tokens are on their way: the holder has not reported the grant yet.
	tokens float64
	until  time.Time
}

// ownedKey is the state of one key at its owner. What is neither out nor
// reserved is the share of the pool, from which tokens are handed out.
type ownedKey struct {
	cfg        Config
	name       string
	limit      Limit
	quarantine time.Time
	// reserved may be in use by holders that have not reported since the key
	// was taken over; it is zero after the quarantine.
	reserved Share
	out      Share // sum over grantees
	demand   float64
	// overSince is since when the demand has been above the limit, zero if it is
	// not.
	overSince time.Time
	pool      bucket
	// adopted is set once a lease of the former owner was reported.
	adopted bool
	// opened is when the whole limit became available, holders how many processes
	// may ask for it.
	opened   time.Time
	holders  int
	grantees map[HolderID]*grantee
}

func newOwnedKey(cfg Config, name string, limit Limit, now, quarantine time.Time) *ownedKey {
	k := &ownedKey{cfg: cfg, name: name, limit: limit, quarantine: quarantine, grantees: map[HolderID]*grantee{}}
	k.pool.filled = now
	if now.Before(quarantine) {
		k.reserved = k.whole()
	}
	k.resizePool(now)
	return k
}

// whole returns the limit as a share, its rate lowered by the drift allowance
// so that holders with fast clocks do not pass it.
func (k *ownedKey) whole() Share {
	return Share{Rate: k.limit.Rate / (1 + k.cfg.Drift), Burst: k.limit.Burst}
}

func (k *ownedKey) setLimit(now time.Time, limit Limit) {
	k.advance(now)
	k.limit = limit
	k.resizePool(now)
}

func (k *ownedKey) free() Share {
	return k.whole().minus(k.out).minus(k.reserved).max(Share{})
}

// unleased reports whether no holder has had a lease of the key since it was
// taken over.
func (k *ownedKey) unleased() bool { return !k.adopted && k.out == (Share{}) }

func (k *ownedKey) resizePool(now time.Time) { k.pool.resize(now, k.free()) }

// advance ends the quarantine when it is due.
func (k *ownedKey) advance(now time.Time) {
	if k.reserved != (Share{}) && !now.Before(k.quarantine) {
		k.reserved = Share{}
	}
	k.resizePool(now)
}

// report takes over what a holder says of itself.
func (k *ownedKey) report(now time.Time, g *grantee, a KeyRequest) {
	k.demand += float64(a.Demand) - g.demand
	g.demand = float64(a.Demand)
	g.heard = now
	g.inUse = 0
	switch {
	case a.Release:
		g.given = nil
	case a.Lease != nil && len(g.given) == 0:
		k.adopt(now, g, a.Lease)
	case a.Lease != nil:
		g.acknowledge(a.Lease.Stamp)
	}
	if a.Lease != nil && k.limit.Rate == 0 {
		g.inUse = a.Lease.Share.Burst
	}
	k.settle(now, g)
	k.pool.add(a.Returned)
}

// acknowledge notes the grant that the holder uses: earlier ones are replaced.
func (g *grantee) acknowledge(stamp Stamp) {
	g.given = slices.DeleteFunc(g.given, func(v given) bool { return v.stamp.Compare(stamp) < 0 })
	if len(g.given) > 0 && g.given[0].stamp == stamp {
		g.given[0].tokens = 0
	}
}

// adopt honours a lease of the former owner.
func (k *ownedKey) adopt(now time.Time, g *grantee, h *HeldLease) {
	if k.reserved == (Share{}) || h.RemainingMS == 0 {
		return
	}
	k.adopted = true
	remaining := time.Duration(h.RemainingMS) * time.Millisecond
	share := h.Share.min(k.reserved)
	k.reserved = k.reserved.minus(share)
	g.given = []given{{stamp: h.Stamp, share: share, until: now.Add(k.cfg.longer(remaining))}}
}

// settle recomputes what a holder may be using.
func (k *ownedKey) settle(now time.Time, g *grantee) {
	out := Share{Burst: g.inUse}
	moving := 0.0
	for _, v := range g.given {
		if !now.Before(v.until) {
			continue
		}
		// Tokens for a holder without a share arrive in an empty bucket, so that the
		// burst of their own grant covers them.
		if out != (Share{}) {
			moving += v.tokens
		}
		out = out.max(v.share)
	}
	out.Burst += moving
	k.out = k.out.plus(out.minus(g.out))
	g.out = out
	k.resizePool(now)
}

// grant gives the holder its present share.
func (k *ownedKey) grant(now time.Time, g *grantee, a KeyRequest, stamp Stamp) Grant {
	share := k.choose(now, g)
	g.given = append(g.given, given{stamp: stamp, share: share, until: now.Add(k.cfg.longer(k.cfg.Lease))})
	level := k.pool.level
	k.settle(now, g)
	var tokens float64
	if k.limit.Rate > 0 {
		tokens = max(0, min(level, k.free().Burst, share.Burst-float64(a.Level)))
		k.pool.level = min(level-tokens, k.pool.level)
		g.given[len(g.given)-1].tokens = tokens
		k.settle(now, g)
	}
	return Grant{
		Key: k.name, ID: stamp.ID, Share: share, Tokens: tokens,
		Overloaded: k.over(now),
		LowDemand:  k.demand < calmDemand*k.limit.capacity(),
	}
}

// over reports whether the demand has been above the limit for long.
func (k *ownedKey) over(now time.Time) bool {
	switch {
	case k.demand <= overDemand*k.limit.capacity():
		k.overSince = time.Time{}
	case k.overSince.IsZero():
		k.overSince = now
	}
	return !k.overSince.IsZero() && now.Sub(k.overSince) >= overAfter && now.Sub(k.opened) >= comebackTime
}

// capacity is the limit in the unit of demand.
func (l Limit) capacity() float64 {
	if l.Rate > 0 {
		return l.Rate
	}
	return l.Burst
}

// current returns the share that was granted last.
func (g *grantee) current() Share {
	if len(g.given) == 0 {
		return Share{}
	}
	return g.given[len(g.given)-1].share
}

// expire reclaims leases that have run out.
func (k *ownedKey) expire(now time.Time) {
	k.advance(now)
	for id, g := range k.grantees {
		g.given = slices.DeleteFunc(g.given, func(v given) bool { return !now.Before(v.until) })
		k.settle(now, g)
		// Within the quarantine the sequence number is kept, so that a delayed
		// report is not adopted twice.
		silent := now.After(g.heard.Add(k.cfg.longer(k.cfg.Lease)))
		if len(g.given) == 0 && silent && !now.Before(k.quarantine) {
			k.drop(id, g)
		}
	}
	k.resizePool(now)
}

func (k *ownedKey) drop(id HolderID, g *grantee) {
	k.out = k.out.minus(g.out)
	k.demand -= g.demand
	delete(k.grantees, id)
	if len(k.grantees) == 0 {
		k.out, k.demand = Share{}, 0 // ends the rounding errors of the sums
	}
}

func abs(x float64) float64 { return max(x, -x) }
