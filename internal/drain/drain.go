// Package drain estimates from the observed drain of a queue whether a waiting request can start
// in time, and when one that is refused should come back. It addresses overload that lasts: a
// queue whose last requests are refused at their deadline, although that could be known soon
// after their arrival. The package performs no I/O and reads no clock.
package drain

import (
	"math"
	"time"
)

const (
	// bucketLength and bucketCount give a window of 6 s, several times the usual targets
	// (0.2 to 2.4 s).
	bucketLength = 100 * time.Millisecond
	bucketCount  = 60
	// minBacklog is how long requests must have been waiting without a longer break than
	// maxBreak before any is refused early. Bursts that pass sooner are served from the queue.
	minBacklog = 250 * time.Millisecond
	maxBreak   = 100 * time.Millisecond
	// minSpan is the shortest time of which the rate of starts is considered.
	minSpan = 2 * time.Second
	// minStarts is the least number of starts in the window for an estimate.
	minStarts = 8
	// idleShare is the share of its time for which the queue of a class may be empty because
	// requests were refused that would be waiting. A slot is then idle only if the queues of
	// the other classes are empty as well, so that less than 1% of the slot time is lost.
	idleShare = 0.02
	// maxRetryAfter bounds the retry hint: the longest deadline of callers in the deployments
	// is 6 s. With 2 s, those refused in an overload of 3 s came back together.
	maxRetryAfter = 5 * time.Second
)

// bucket counts the events of one interval.
type bucket struct {
	number int64
	// arrivals are all arrivals, starts those from the backlog, busy is the time for which
	// there was one, and slotTime the sum of the slots in this time, in slot seconds.
	arrivals float64
	starts   float64
	busy     time.Duration
	slotTime float64
}

// Meter observes the requests of one queue. Starts are related to the time in which requests
// waited, as the others only follow the arrivals. It is not safe for concurrent use.
type Meter struct {
	buckets [bucketCount]bucket
	// origin is the time of the first event, from which the buckets are numbered: the wall
	// clocks of some machines jump.
	origin  time.Time
	waiting int
	slots   int
	// updated is the time until which busy time is recorded.
	updated time.Time
	// since is when the current backlog began, emptyAt when the queue was last emptied.
	since, emptyAt time.Time
	// promised is the latest time for which a refused request was told to come back.
	promised time.Time
}

// Arrive records the arrival of a request, whether it waits or not.
func (m *Meter) Arrive(now time.Time) { m.at(now).arrivals++ }

// Start records that a request got a slot. It must be called before SetWaiting.
func (m *Meter) Start(now time.Time) {
	if m.waiting > 0 {
		m.at(now).starts++
	}
}

// SetWaiting records how many requests wait after an event, and the number of slots.
func (m *Meter) SetWaiting(now time.Time, n, slots int) {
	m.recordBusy(now)
	m.slots = slots
	switch {
	case n > 0 && m.waiting == 0 && (m.since.IsZero() || now.Sub(m.emptyAt) > maxBreak):
		m.since = now
	case n == 0 && m.waiting > 0:
		m.emptyAt = now
	}
	m.waiting = n
}

// recordBusy adds the time since the last event if there was a backlog.
func (m *Meter) recordBusy(now time.Time) {
	if m.waiting > 0 && now.After(m.updated) {
		b := m.at(now)
		b.busy += now.Sub(m.updated)
		b.slotTime += now.Sub(m.updated).Seconds() * float64(m.slots)
	}
	m.updated = now
}

// at returns the bucket of a time.
func (m *Meter) at(now time.Time) *bucket {
	if m.origin.IsZero() {
		m.origin = now
	}
	number := m.number(now)
	b := &m.buckets[number%bucketCount]
	if b.number != number {
		*b = bucket{number: number}
	}
	return b
}

// number returns the number of the bucket of a time.
func (m *Meter) number(t time.Time) int64 { return max(int64(t.Sub(m.origin)/bucketLength), 0) }

// Rates are the events of a queue in a time of backlog, a second.
type Rates struct {
	arrivals float64
	starts   float64
	// deviation is the standard deviation of starts, as a share.
	deviation float64
	// growth is the factor by which the slots are above their mean in the window.
	growth float64
	// window is the time in which arrivals were counted.
	window time.Duration
	// buckets are the events by bucket, the first count of them in use.
	buckets [bucketCount]bucket
	count   int
}

// Rates returns the events since the backlog began, of 6 s at most. It reports false while no
// estimate is possible: the backlog is shorter than minBacklog, or too few requests started. The
// starts are scaled to the present number of slots if it is above the mean; after a reduction the
// old rate counts until it has left the window, so that an estimate after a change is not too low.
func (m *Meter) Rates(now time.Time) (Rates, bool) {
	if m.since.IsZero() || m.waiting == 0 && now.Sub(m.emptyAt) > maxBreak || now.Sub(m.since) < minBacklog {
		return Rates{}, false
	}
	m.recordBusy(now)
	last := m.number(now)
	first := max(last-bucketCount+1, m.number(m.since))
	r := Rates{window: now.Sub(m.origin.Add(time.Duration(first) * bucketLength)), count: int(last - first + 1)}
	var busy time.Duration
	slotTime := 0.0
	for _, b := range m.buckets {
		if b.number >= first && b.number <= last {
			r.arrivals += b.arrivals
			r.starts += b.starts
			busy += b.busy
			slotTime += b.slotTime
			r.buckets[b.number-first] = b
		}
	}
	if r.starts < minStarts || busy < minBacklog {
		return Rates{}, false
	}
	r.deviation = 1 / math.Sqrt(r.starts)
	r.growth = 1
	if slotTime > 0 {
		r.growth = max(1, float64(m.slots)*busy.Seconds()/slotTime)
	}
	r.starts *= r.growth / busy.Seconds()
	r.arrivals /= r.window.Seconds()
	return r, true
}

// mostStarts returns the rate at which requests may start within a time: one standard deviation
// more than observed, or the highest rate in a part of the backlog that was as long, and minSpan
// at least. The latter counts for the lower classes, which get what the load of the others
// leaves.
func (r Rates) mostStarts(within time.Duration) float64 {
	rate := r.starts * (1 + r.deviation)
	span := max(within, minSpan)
	starts, busy, from := 0.0, time.Duration(0), 0
	for i := range r.count {
		starts += r.buckets[i].starts
		busy += r.buckets[i].busy
		for busy-r.buckets[from].busy >= span {
			starts -= r.buckets[from].starts
			busy -= r.buckets[from].busy
			from++
		}
		if busy >= span {
			rate = max(rate, r.growth*starts/busy.Seconds())
		}
	}
	return rate
}

// Hopeless reports whether a waiting request cannot be expected to start within the time left.
// ahead is the number of requests that are served before it, and overtaking the number that go
// ahead of it later, a second.
//
// A request that is to be served soon is never hopeless, even if others overtake it: requests
// are refused only behind as many that the slots stay in use (reserve).
func (r Rates) Hopeless(ahead int, overtaking float64, left time.Duration) bool {
	if left <= 0 {
		return true
	}
	starts := r.mostStarts(left)
	if float64(ahead) > starts*left.Seconds() {
		return true
	}
	return float64(ahead) > (starts-overtaking)*left.Seconds() && float64(ahead) >= r.reserve(starts)
}

// reserve returns the number of waiting requests with which the queue is empty for at most
// idleShare of the time, if all requests beyond it are refused while up to the given number
// start a second. The number of waiting requests is taken as a random walk between 0 and the
// reserve k, with steps at the rates of arrivals and starts; with their ratio r it is at 0 for
// (r-1)/(r^(k+1)-1) of the time. The arrivals are taken one standard deviation lower than
// observed. If the ratio is not above 1 there is no such number.
func (r Rates) reserve(starts float64) float64 {
	ratio := (r.arrivals - math.Sqrt(r.arrivals/r.window.Seconds())) / starts
	if ratio <= 1 {
		return math.Inf(1)
	}
	return math.Log1p((ratio-1)/idleShare)/math.Log(ratio) - 1
}

// RetryAfter returns how long a refused request should wait: until the requests that wait now
// have started, and those that were told to come back before. It returns zero while that is
// unknown.
func (m *Meter) RetryAfter(now time.Time) time.Duration {
	r, ok := m.Rates(now)
	if !ok {
		return 0
	}
	each := time.Duration(float64(time.Second) / r.starts)
	at := now.Add(time.Duration(m.waiting) * each)
	if m.promised.After(at) {
		at = m.promised
	}
	after := min(at.Add(each).Sub(now), maxRetryAfter)
	m.promised = now.Add(after)
	return after
}
