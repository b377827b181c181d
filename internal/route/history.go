package route

import (
	"slices"
	"time"
)

// maxSamples bounds the history of a primary's positions.
const maxSamples = 512

// sample says that by time at the primary had written no more than lsn.
type sample struct {
	at  time.Time
	lsn uint64
}

// history tells by when a replica at a position had everything. Times are when
// the primary was asked, so its answer covers all that was written before.
type history struct {
	samples []sample
}

func (h *history) clear() { h.samples = h.samples[:0] }

// add appends a sample; one that is older than the last is dropped. Positions
// can fall when a primary restarts; samples above the new one are then void.
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

// thin drops every second sample of the older half.
func (h *history) thin() {
	kept := h.samples[:0]
	for i, s := range h.samples {
		if i >= maxSamples/2 || i%2 == 0 {
			kept = append(kept, s)
		}
	}
	h.samples = kept
}

// reached returns the latest time whose writes are all at or before lsn.
func (h *history) reached(lsn uint64) (time.Time, bool) {
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
