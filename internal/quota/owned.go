package quota

import (
	"math"
	"slices"
	"time"
)

// Shares change only when they differ from the aim by this part of the mean
// share, unless the holder is short.
const hysteresis = 0.1

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

// spareShare is the part of what nobody asks for that holders get in advance.
// The rest stays with the owner, a round trip from any holder that is short.
const spareShare = 0.5

// openingTime is how long after the whole limit has become available the holders
// count as equal: the first to ask would get all, and give it up only after a
// round trip or two (100 ms each).
const openingTime = 400 * time.Millisecond

// pooled is the part of a rate that stays with the owner where each holder gets
// few tokens a second, and while the demand is above the rate. Holders that are
// short ask for its tokens, which so reach whoever has requests: tokens that are
// spread over many small shares lie where nobody comes, and are lost once the
// shares are full.
const pooled = 0.5

// smallShare is the rate of a mean share, in tokens a second, below which the rate
// is pooled: an ask and its answer for each token are below 5 KB/s then.
const smallShare = 20

// poolTime is the least time of its rate that a burst must cover for that: what
// the owner hands out between two requests of a holder (askInterval) is bounded by
// the burst.
const poolTime = 5 * askInterval

// minBurst is the smallest useful share: a bucket must hold one token.
const minBurst = 1

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
func (k *ownedKey) report(now time.Time, g *grantee, a Ask) {
	k.demand += float64(a.Demand) - g.demand
	g.demand = float64(a.Demand)
	g.heard = now
	g.inUse = 0
	switch {
	case a.Release:
		g.given = nil
	case a.Held != nil && len(g.given) == 0:
		k.adopt(now, g, a.Held)
	case a.Held != nil:
		g.acknowledge(a.Held.Stamp)
	}
	if a.Held != nil && k.limit.Rate == 0 {
		g.inUse = a.Held.Share.Burst
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
func (k *ownedKey) adopt(now time.Time, g *grantee, h *Held) {
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
func (k *ownedKey) grant(now time.Time, g *grantee, a Ask, stamp Stamp) Grant {
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
		Over: k.over(now),
		Calm: k.demand < calmDemand*k.limit.capacity(),
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

// choose returns the share that the holder should have, as far as it is free.
func (k *ownedKey) choose(now time.Time, g *grantee) Share {
	room := g.out.plus(k.free())
	if k.limit.Rate == 0 {
		return k.chooseUnits(g, room)
	}
	aim := k.aim(g)
	whole := k.whole()
	if k.holders > 0 && now.Sub(k.opened) < openingTime {
		aim = min(aim, whole.Rate/float64(k.holders))
	}
	share := Share{Rate: aim}
	last := g.current()
	if mean := whole.Rate / float64(len(k.grantees)); abs(aim-last.Rate) < hysteresis*mean {
		share.Rate = last.Rate
	}
	share.Rate = min(share.Rate, room.Rate)
	share.Burst = min(max(minBurst, whole.Burst*share.Rate/whole.Rate), room.Burst)
	if share.Burst < min(minBurst, whole.Burst) || share.Rate <= 0 {
		return Share{}
	}
	return share
}

// aim divides the capacity that is not pooled: in proportion to demand when it is
// short, and otherwise the demand and an equal part of the rest, of which one part
// stays with the owner for holders to come.
func (k *ownedKey) aim(g *grantee) float64 {
	capacity := k.whole().Rate
	if k.limit.Rate == 0 {
		capacity = k.limit.Burst
	}
	if k.isPooled(capacity) {
		capacity *= 1 - pooled
	}
	if k.demand > capacity {
		return capacity * g.demand / k.demand
	}
	spare := capacity - k.demand
	if k.limit.Rate > 0 {
		spare *= spareShare
	}
	return g.demand + spare/float64(len(k.grantees)+1)
}

// isPooled reports whether a part of the rate stays with the owner.
func (k *ownedKey) isPooled(capacity float64) bool {
	if k.limit.Rate == 0 || k.limit.Burst < k.limit.Rate*poolTime.Seconds() {
		return false
	}
	return k.demand > capacity || capacity < smallShare*float64(len(k.grantees))
}

// chooseUnits returns whole units, at least one for a holder that has demand. A
// unit that rounding left over goes to a holder that wants it.
func (k *ownedKey) chooseUnits(g *grantee, room Share) Share {
	aim := math.Floor(k.aim(g))
	if g.demand > 0 {
		aim = max(aim, 1)
	}
	if aim+1 <= g.demand && room.Burst-k.owed(g) >= aim+1 {
		aim++
	}
	return Share{Burst: math.Floor(min(aim, room.Burst))}
}

// owed is the number of units that the other holders may still ask for.
func (k *ownedKey) owed(g *grantee) float64 {
	total := 0.0
	for _, other := range k.grantees {
		if other != g {
			total += max(0, math.Floor(min(k.aim(other), other.demand))-other.out.Burst)
		}
	}
	return total
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
