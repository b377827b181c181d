package metering

import (
	"slices"
	"time"
)

const (
	// sampleAge is how long the time of day of a host counts for the median, and how long a
	// measured offset is preferred to one with a longer round trip. A host sends at least one
	// report a window.
	sampleAge = 10 * time.Second
	// medianInterval is the minimum time between two computations of the median.
	medianInterval = 200 * time.Millisecond
	// majorityWait is how long a leader that knows no fleet time waits for more hosts, once it has
	// heard more than half of them. In a fleet that starts, the first hosts are registered before the
	// others; all report within a second.
	majorityWait = 2 * time.Second
	// settleTime is how long the median must differ from the fleet time until the fleet time follows
	// it. A host's first report after a change of the leader may be delayed on a saturated link, and
	// counts as a clock that is behind until the next one.
	settleTime = 2 * time.Second
)

// offsetEstimate is the difference between a time of day and the local monotonic clock, as
// measured by requests. The error of a sample is at most half of its round trip.
type offsetEstimate struct {
	known     bool
	offset    time.Duration
	roundTrip time.Duration
	at        time.Time
}

// observe adds a sample: a request sent and answered at the given monotonic times, whose answer
// carried the time of day. It keeps the sample with the shortest round trip of the last sampleAge,
// unless the new one contradicts it: the time of day has then been set.
func (e *offsetEstimate) observe(sent, received time.Time, day time.Time) {
	roundTrip := max(received.Sub(sent), 0)
	offset := day.Sub(sent.Add(roundTrip / 2))
	contradicts := (offset - e.offset).Abs() > (roundTrip+e.roundTrip)/2+time.Millisecond
	if !e.known || roundTrip <= e.roundTrip || received.Sub(e.at) > sampleAge || contradicts {
		*e = offsetEstimate{known: true, offset: offset, roundTrip: roundTrip, at: received}
	}
}

// time returns the time of day at a monotonic time.
func (e *offsetEstimate) time(now time.Time) (time.Time, bool) {
	return now.Add(e.offset), e.known
}

// daySample is the offset of a host's time of day to the local monotonic clock.
type daySample struct {
	offset time.Duration
	heard  time.Time
}

// linkLag is the difference of a sender's monotonic clock to the local one, as seen in its batches:
// the highest of about sampleAge, which is that of the batch with the shortest way.
type linkLag struct {
	lag  time.Duration
	at   time.Time
	mono int64 // of the newest batch
}

// observe adds a batch and reports whether it is newer than all before.
func (l *linkLag) observe(now time.Time, mono int64) bool {
	if l.mono != 0 && mono <= l.mono {
		return false
	}
	lag := time.Unix(0, mono).Sub(now)
	if l.mono == 0 || lag >= l.lag || now.Sub(l.at) > sampleAge {
		l.lag, l.at = lag, now
	}
	l.mono = mono
	return true
}

// medianOffset returns the median of the offsets of all members heard within sampleAge, and the
// number of these. If an offset is known already, members that were not heard count with it: the
// result then leaves the range of right clocks only if more than half of the members are wrong,
// and not if those that are heard happen to be the wrong ones, as after a change of the leader. Of
// two middle offsets it returns the higher, since a delayed report lowers its offset.
func medianOffset(now time.Time, samples map[Process]daySample, members int, known offsetEstimate) (time.Duration, int) {
	offsets := make([]time.Duration, 0, members)
	for _, s := range samples {
		if now.Sub(s.heard) <= sampleAge {
			offsets = append(offsets, s.offset)
		}
	}
	heard := len(offsets)
	for known.known && len(offsets) < members {
		offsets = append(offsets, known.offset)
	}
	if len(offsets) == 0 {
		return 0, 0
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2], heard
}

// excursion is a time in which the median has been on the same side of the fleet time.
type excursion struct {
	since time.Time
	// least is the smallest difference so far.
	least time.Duration
}

// observe adds a difference of the median to the fleet time. It returns by how much the fleet time
// follows.
func (e *excursion) observe(now time.Time, difference time.Duration) time.Duration {
	if e.since.IsZero() || difference == 0 || (difference < 0) != (e.least < 0) {
		*e = excursion{since: now, least: difference}
	}
	if difference.Abs() < e.least.Abs() {
		e.least = difference
	}
	if now.Sub(e.since) < settleTime {
		return 0
	}
	follow := e.least
	*e = excursion{}
	return follow
}
