package retry

import "time"

// Rand is a source of random numbers, such as *rand.Rand.
type Rand interface {
	// Int64N returns a number in [0, n).
	Int64N(n int64) int64
}

// Default bounds of the wait before a retry.
const (
	DefaultBackoffBase = 10 * time.Millisecond
	DefaultBackoffCap  = 2 * time.Second
)

// Backoff is an exponential backoff with decorrelated jitter: each wait is random
// between Base and three times the previous wait, and at most Cap. The first wait is at
// most three times Base.
type Backoff struct {
	Base time.Duration
	Cap  time.Duration
	last time.Duration
}

// Next returns the wait before the next attempt.
func (b *Backoff) Next(rand Rand) time.Duration {
	last := max(b.last, b.Base)
	span := int64(3*last-b.Base) + 1
	b.last = min(b.Base+time.Duration(rand.Int64N(span)), b.Cap)
	return b.last
}
