package route

import (
	"slices"
	"time"
)

// maxSamples bounds the number of samples in a history.
const maxSamples = 512

// sample records that the primary had written nothing beyond lsn at time at.
type sample struct {
	at  time.Time
	lsn uint64
}

// history maps log positions to times, to derive how fresh a replica at a position is. The
// time of a sample is when the position was requested, so that the position covers
// everything written before. Within a history, times increase and positions never decrease.
type history struct {
	samples []sample
}

func (h *history) clear() { h.samples = h.samples[:0] }

// add appends a sample that is newer than the last one and drops any other. Positions can
// decrease when a primary restarts; samples above the new position are then removed.
func (h *history) add(at time.Time, lsn uint64) {
	if n := len(h.samples); n > 0 && !at.After(h.samples[n-1].at) {
		return
	}
	for n := len(h.samples); n > 0 && h.samples[n-1].lsn > lsn; n-- {
		h.samples = h.samples[:n-1]
	}
	if len(h.samples) >= maxSamples {
		h.thin()
	}
	h.samples = append(h.samples, sample{at: at, lsn: lsn})
}

// thin removes every second sample of the older half, which keeps the covered period
// at a lower resolution.
func (h *history) thin() {
	kept := h.samples[:0]
	for i, s := range h.samples {
		if i >= maxSamples/2 || i%2 == 0 {
			kept = append(kept, s)
		}
	}
	h.samples = kept
}

// caughtUpAt returns the latest sampled time by which nothing beyond lsn was written.
func (h *history) caughtUpAt(lsn uint64) (time.Time, bool) {
	n, _ := slices.BinarySearchFunc(h.samples, lsn, func(s sample, lsn uint64) int {
		if s.lsn <= lsn {
			return -1
		}
		return 1
	})
	if n == 0 {
		return time.Time{}, false
	}
	return h.samples[n-1].at, true
}
