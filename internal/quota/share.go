package quota

import (
	"math"
	"time"
)

// Shares change only when they differ from the aim by this part of the mean
// share, unless the holder is short.
const hysteresis = 0.1

// spareShare is the part of what nobody asks for that holders get in advance.
// The rest stays with the owner, a round trip from any holder that is short.
const spareFraction = 0.5

// openingTime is how long after the whole limit has become available the holders
// count as equal: the first to ask would get all, and give it up only after a
// round trip or two (100 ms each).
const equalShareTime = 400 * time.Millisecond

// pooled is the part of a rate that stays with the owner where each holder gets
// few tokens a second, and while the demand is above the rate. Holders that are
// short ask for its tokens, which so reach whoever has requests: tokens that are
// spread over many small shares lie where nobody comes, and are lost once the
// shares are full.
const pooledFraction = 0.5

// smallShare is the rate of a mean share, in tokens a second, below which the rate
// is pooled: an ask and its answer for each token are below 5 KB/s then.
const smallShareRate = 20

// poolTime is the least time of its rate that a burst must cover for that: what
// the owner hands out between two requests of a holder (askInterval) is bounded by
// the burst.
const minPoolTime = 5 * requestInterval

// minBurst is the smallest useful share: a bucket must hold one token.
const minBurst = 1

// choose returns the share that the holder should have, as far as it is free.
func (k *ownedKey) chooseShare(now time.Time, g *holderState) Share {
	room := g.leased.plus(k.free())
	if k.limit.Rate == 0 {
		return k.chooseUnits(g, room)
	}
	aim := k.targetRate(g)
	whole := k.total()
	if k.holderCount > 0 && now.Sub(k.openedAt) < equalShareTime {
		aim = min(aim, whole.Rate/float64(k.holderCount))
	}
	share := Share{Rate: aim}
	last := g.currentShare()
	if mean := whole.Rate / float64(len(k.holders)); abs(aim-last.Rate) < hysteresis*mean {
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
func (k *ownedKey) targetRate(g *holderState) float64 {
	capacity := k.total().Rate
	if k.limit.Rate == 0 {
		capacity = k.limit.Burst
	}
	if k.isPooled(capacity) {
		capacity *= 1 - pooledFraction
	}
	if k.demand > capacity {
		return capacity * g.demand / k.demand
	}
	spare := capacity - k.demand
	if k.limit.Rate > 0 {
		spare *= spareFraction
	}
	return g.demand + spare/float64(len(k.holders)+1)
}

// isPooled reports whether a part of the rate stays with the owner.
func (k *ownedKey) isPooled(capacity float64) bool {
	if k.limit.Rate == 0 || k.limit.Burst < k.limit.Rate*minPoolTime.Seconds() {
		return false
	}
	return k.demand > capacity || capacity < smallShareRate*float64(len(k.holders))
}

// chooseUnits returns whole units, at least one for a holder that has demand. A
// unit that rounding left over goes to a holder that wants it.
func (k *ownedKey) chooseUnits(g *holderState, room Share) Share {
	aim := math.Floor(k.targetRate(g))
	if g.demand > 0 {
		aim = max(aim, 1)
	}
	if aim+1 <= g.demand && room.Burst-k.owedToOthers(g) >= aim+1 {
		aim++
	}
	return Share{Burst: math.Floor(min(aim, room.Burst))}
}

// owed is the number of units that the other holders may still ask for.
func (k *ownedKey) owedToOthers(g *holderState) float64 {
	total := 0.0
	for _, other := range k.holders {
		if other != g {
			total += max(0, math.Floor(min(k.targetRate(other), other.demand))-other.leased.Burst)
		}
	}
	return total
}
