// Package linkuse measures how much of its network link a host uses, from the bytes that it
// sends and receives. A saturated link delays the answers of endpoints that are not slow.
package linkuse

import "time"

const (
	// interval is the length of the intervals in which bytes are counted. What an interval
	// below the threshold holds delays an answer by less than 35 ms, which pacing ignores
	// (pacing.Config.DecreaseAbove is 50 ms).
	interval = 50 * time.Millisecond
	// saturatedShare is the share of what the link carries in an interval from which on it
	// counts as saturated. Only the contents of messages are counted: the headers and
	// acknowledgements of messages of a few hundred bytes are about a fifth of the whole.
	saturatedShare = 0.7
	// maxBacklog bounds the bytes that are taken to wait for the link, as the time to send them.
	// Senders stop once the buffers of their connections are full.
	maxBacklog = time.Second
)

// Use decides whether a link was saturated. Bytes of both directions count against its capacity,
// since the setting of a link does not say whether it bounds each or their sum. Use performs no
// I/O, reads no clock and is not safe for concurrent use.
type Use struct {
	capacity float64 // bytes in an interval
	start    time.Time
	// current is the number of the current interval since start; bytes are those counted in
	// it and backlog those of earlier ones that the link had not carried by its beginning.
	current int64
	bytes   float64
	backlog float64
	// saturated is the number of the last saturated interval, -1 if there was none.
	saturated int64
}

// NewUse returns a Use of a link with a rate in bytes a second, above zero.
func NewUse(rate int64, now time.Time) *Use {
	return &Use{capacity: float64(rate) * interval.Seconds(), start: now, saturated: -1}
}

// Count records bytes that were sent or received at a time. Times must not decrease.
func (u *Use) Count(now time.Time, bytes int) {
	u.advance(now)
	u.bytes += float64(bytes)
	u.mark()
}

// SaturatedSince reports whether the link was saturated at any time from a time until now.
func (u *Use) SaturatedSince(since, now time.Time) bool {
	u.advance(now)
	return u.saturated >= 0 && u.saturated >= u.number(since)
}

func (u *Use) number(t time.Time) int64 { return int64(t.Sub(u.start) / interval) }

// mark records whether the current interval is saturated.
func (u *Use) mark() {
	if u.backlog+u.bytes >= saturatedShare*u.capacity {
		u.saturated = u.current
	}
}

// advance begins the interval of a time. Bytes beyond what the link carries in an interval wait
// for the next ones.
func (u *Use) advance(now time.Time) {
	number := u.number(now)
	for u.current < number {
		u.backlog = max(0, u.backlog+u.bytes-u.capacity)
		u.backlog = min(u.backlog, u.capacity*float64(maxBacklog/interval))
		u.bytes = 0
		u.current++
		if u.backlog == 0 {
			u.current = number
			return
		}
		u.mark()
	}
}
