package quota

import (
	"math"
	"time"
)

// hysteresis is the minimum change of a share's rate, as a fraction of the mean
// share. A smaller change is not applied: the rate of the latest grant is kept.
const hysteresis = 0.1

// spareFraction is the fraction of the unrequested rate that holders get in
// advance. The rest stays with the owner, from where a holder that needs more gets it
// in one round trip.
const spareFraction = 0.5

// equalShareTime is how long after the whole limit has become available a holder's
// target is at most an equal share. Otherwise the first holder to request would get
// the whole limit, and give it up only after one or two requests (requestInterval).
const equalShareTime = 400 * time.Millisecond

// pooledFraction is the fraction of a rate that stays in the owner's pool if each
// holder gets few tokens a second, and while the demand exceeds the rate. Holders
// that need more request tokens from the pool, so the tokens go where requests
// arrive. Tokens spread over many small shares accrue at hosts without requests,
// and are lost once those buckets are full.
const pooledFraction = 0.5

// smallShareRate is the rate of a mean share, in tokens per second, below which the
// rate is pooled. One request and reply per token then cost less than 5 KB/s.
const smallShareRate = 20

// minPoolTime is the minimum of burst divided by rate for the rate to be pooled: the
// burst bounds the tokens that the owner can grant between two requests of a holder
// (requestInterval).
const minPoolTime = 5 * requestInterval

// minBurst is the smallest useful burst, in tokens: a bucket must hold one token.
const minBurst = 1

// prefetchTime is the time for which a holder gets tokens in advance while they are
// granted one by one.
const prefetchTime = 200 * time.Millisecond

// chooseShare returns the share that the holder should have. It never exceeds the
// holder's current lease plus the free part of the limit.
func (k *ownedKey) chooseShare(now time.Time, hs *holderState) Share {
	available := hs.leased.plus(k.free())
	if k.limit.Rate == 0 {
		return k.chooseUnits(hs, available)
	}
	target := k.targetFor(hs)
	total := k.total()
	if k.holderCount > 0 && now.Sub(k.fullyAvailableAt) < equalShareTime {
		target = min(target, total.Rate/float64(k.holderCount))
	}
	share := Share{Rate: target}
	last := hs.currentShare()
	if mean := total.Rate / float64(len(k.holders)); abs(target-last.Rate) < hysteresis*mean {
		share.Rate = last.Rate
	}
	share.Rate = min(share.Rate, available.Rate)
	share.Burst = min(max(minBurst, total.Burst*share.Rate/total.Rate), available.Burst)
	if share.Burst < min(minBurst, total.Burst) || share.Rate <= 0 {
		return Share{}
	}
	return share
}

// isThin reports whether the burst is too small for standing shares of one token each
// for all holders that use the key, with half of it left to grant.
func (k *ownedKey) isThin() bool {
	users := max(len(k.holders), k.expectedHolders)
	return k.limit.Rate > 0 && float64(users)*minBurst > k.limit.Burst*pooledFraction
}

// chooseTokens returns the whole tokens that the holder gets now, and a share without a
// rate for them, the tokens on their way and those that it keeps. It returns a surplus
// of an earlier share. The rate stays in the pool, so that no token accrues at a holder
// without requests. Both the share and, beside the earlier ones, its tokens must fit into the
// limit (recomputeLeased).
func (k *ownedKey) chooseTokens(now time.Time, hs *holderState, level float64) (Share, float64) {
	onTheirWay := hs.tokensOnTheirWay(now)
	needed := math.Ceil(hs.waiting) + math.Floor(hs.demand*prefetchTime.Seconds())
	kept := min(level, max(needed, minBurst))
	free := k.free().Burst
	room := hs.leased.Burst + free - kept - onTheirWay
	if len(hs.grants) > 0 {
		room = min(room, free)
	}
	tokens := max(0, math.Floor(min(needed-level-onTheirWay, k.pool.level, room)))
	return Share{Burst: kept + onTheirWay + tokens}, tokens
}

// targetFor returns the holder's part of the capacity that is not pooled. If the
// demand exceeds it, the capacity is divided in proportion to demand. Otherwise the
// holder gets its demand plus an equal part of the spare capacity, of which a part of
// the same size stays with the owner for new holders.
func (k *ownedKey) targetFor(hs *holderState) float64 {
	capacity := k.total().Rate
	if k.limit.Rate == 0 {
		capacity = k.limit.Burst
	}
	if k.isPooled(capacity) {
		capacity *= 1 - pooledFraction
	}
	if k.demand > capacity {
		return capacity * hs.demand / k.demand
	}
	spare := capacity - k.demand
	if k.limit.Rate > 0 {
		spare *= spareFraction
	}
	return hs.demand + spare/float64(len(k.holders)+1)
}

// isPooled reports whether a fraction of the rate stays in the owner's pool.
func (k *ownedKey) isPooled(capacity float64) bool {
	if k.limit.Rate == 0 || k.limit.Burst < k.limit.Rate*minPoolTime.Seconds() {
		return false
	}
	return k.demand > capacity || capacity < smallShareRate*float64(len(k.holders))
}

// chooseUnits returns whole units, and aims at one or more for a holder that has
// demand. A unit left over by rounding goes to a holder that has demand for it.
func (k *ownedKey) chooseUnits(hs *holderState, available Share) Share {
	target := math.Floor(k.targetFor(hs))
	if hs.demand > 0 {
		target = max(target, 1)
	}
	if target+1 <= hs.demand && available.Burst-k.claimableByOthers(hs) >= target+1 {
		target++
	}
	return Share{Burst: math.Floor(min(target, available.Burst))}
}

// claimableByOthers returns the number of units that the other holders demand, within
// their targets, and do not lease yet.
func (k *ownedKey) claimableByOthers(hs *holderState) float64 {
	total := 0.0
	for _, other := range k.holders {
		if other != hs {
			total += max(0, math.Floor(min(k.targetFor(other), other.demand))-other.leased.Burst)
		}
	}
	return total
}
