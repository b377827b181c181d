package quota

import "time"

// bucket is a token bucket that is refilled on use. Its level never exceeds the
// burst of its share.
type bucket struct {
	share      Share
	level      float64
	refilledAt time.Time
}

// refill adds the tokens accrued since the last refill.
func (b *bucket) refill(now time.Time) {
	if now.After(b.refilledAt) {
		b.level = min(b.share.Burst, b.level+b.share.Rate*now.Sub(b.refilledAt).Seconds())
		b.refilledAt = now
	}
}

// resize changes the share, and removes and returns the tokens that exceed the new
// burst.
func (b *bucket) resize(now time.Time, share Share) float64 {
	b.refill(now)
	b.share = share
	excess := max(0, b.level-share.Burst)
	b.level -= excess
	return excess
}

// add adds tokens up to the burst.
func (b *bucket) add(tokens float64) {
	b.level = min(b.share.Burst, b.level+tokens)
}

// timeUntil returns the time until the bucket holds n tokens.
func (b *bucket) timeUntil(n float64) time.Duration {
	if b.level >= n {
		return 0
	}
	return time.Duration((n - b.level) / b.share.Rate * float64(time.Second))
}
