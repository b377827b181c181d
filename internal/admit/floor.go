package admit

import (
	"time"

	"github.com/galenabridge/galenabridge/internal/note"
)

// maxCredit bounds the slot time that a floor accumulates, per slot.
const maxCredit = 100 * time.Millisecond

// floor gives a class a minimum share of slot time. While the class has
// waiters it accrues credit for its share of all slots. The slot time of its
// completed requests is deducted from the credit.
type floor struct {
	class note.Class
	share float64
	// credit is in seconds of slot time, negative if the class used more than its
	// share. It stays between -maxDebt and maxCredit times the number of slots.
	credit     float64
	updated    time.Time
	hadWaiters bool
}

// accrue adds the credit earned since the last call, and records whether the class
// has waiters now. A class without waiters keeps no positive credit.
func (f *floor) accrue(now time.Time, l load, hasWaiters bool) {
	if f.hadWaiters && now.After(f.updated) {
		earned := now.Sub(f.updated).Seconds() * f.share * float64(l.slots)
		f.credit = min(f.credit+earned, maxCredit.Seconds()*float64(l.slots))
	}
	if !hasWaiters && f.credit > 0 {
		f.credit = 0
	}
	f.updated, f.hadWaiters = now, hasWaiters
}

// spend deducts the slot time of a completed request from the credit. The debt is
// bounded, so that one long request does not cost the class its floor for long.
func (f *floor) spend(used time.Duration) {
	f.credit = max(f.credit-used.Seconds(), -maxDebt.Seconds())
}

// maxDebt bounds the negative credit of a floor.
const maxDebt = time.Second

// entitled reports whether the floor entitles the class to the next free slot. A
// class that already holds its share of the slots is not entitled to another.
func (f *floor) entitled(l load) bool {
	if f.share <= 0 || f.credit <= 0 {
		return false
	}
	return float64(l.running[f.class]) < max(1, f.share*float64(l.slots))
}
