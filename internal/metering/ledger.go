package metering

import (
	"maps"
	"slices"
)

// ledger holds the counts of one process by window, and how much of them a receiver has.
type ledger struct {
	windows map[int64]*windowLedger
}

// windowLedger holds the counts of one window.
type windowLedger struct {
	counts map[string]entry
	final  mark
	// open is set while something may not be acknowledged. Windows that are not open are skipped:
	// a control host of a large fleet holds some 100,000 counts, most of them old.
	open bool
}

// entry is the count of a workspace and the highest counts that were sent and acknowledged.
type entry struct{ count, sent, acked uint64 }

// mark is a flag of a window and whether it was sent and acknowledged.
type mark struct{ set, sent, acked bool }

func newLedger() *ledger { return &ledger{windows: make(map[int64]*windowLedger)} }

// window returns the ledger of a window and creates it on first use.
func (l *ledger) window(number int64) *windowLedger {
	w := l.windows[number]
	if w == nil {
		w = &windowLedger{counts: make(map[string]entry)}
		l.windows[number] = w
	}
	return w
}

// add counts n requests.
func (l *ledger) add(window int64, workspace string, n uint64) {
	w := l.window(window)
	e := w.counts[workspace]
	e.count += n
	w.counts[workspace] = e
	w.open = true
}

// raise stores the highest of the known and the reported counts of the workspaces that known
// accepts, and reports whether anything has changed. A final mark is never taken back.
func (l *ledger) raise(r WindowCounts, known func(workspace string) bool) bool {
	w := l.window(r.Window)
	changed := r.Final && !w.final.set
	for workspace, count := range r.Counts {
		if e, ok := w.counts[workspace]; count > e.count && (ok || known(workspace)) {
			e.count = count
			w.counts[workspace] = e
			changed = true
		}
	}
	w.final.set = w.final.set || r.Final
	w.open = w.open || changed
	return changed
}

// finalize marks a window as final. All its counts are sent again.
func (l *ledger) finalize(window int64) {
	w := l.window(window)
	w.resend()
	w.final.set = true
}

// resend makes all counts of the window pending.
func (w *windowLedger) resend() {
	for workspace, e := range w.counts {
		e.sent, e.acked = 0, 0
		w.counts[workspace] = e
	}
	w.final.sent, w.final.acked = false, false
	w.open = true
}

// resendAfter makes all counts of the windows above a number pending, for a receiver that has none.
func (l *ledger) resendAfter(decided int64) {
	for number, w := range l.windows {
		if number > decided {
			w.resend()
		}
	}
}

// unsent reports whether there is anything that was never sent.
func (l *ledger) unsent() bool {
	for _, w := range l.windows {
		if !w.open {
			continue
		}
		if w.final.set && !w.final.sent {
			return true
		}
		for _, e := range w.counts {
			if e.sent < e.count {
				return true
			}
		}
	}
	return false
}

// pending returns what the receiver has not acknowledged, newest windows first, marks it as sent
// and takes its size from the budget, a number of counts. It includes no further windows once the
// budget is used up.
func (l *ledger) pending(budget *int) []WindowCounts {
	var all []WindowCounts
	numbers := slices.Sorted(maps.Keys(l.windows))
	for _, number := range slices.Backward(numbers) {
		if *budget <= 0 {
			break
		}
		if wc, ok := l.windows[number].pending(number); ok {
			all = append(all, wc)
			*budget -= 1 + len(wc.Counts)
		}
	}
	return all
}

func (w *windowLedger) pending(number int64) (WindowCounts, bool) {
	if !w.open {
		return WindowCounts{}, false
	}
	wc := WindowCounts{Window: number, Final: w.final.set && !w.final.acked}
	for workspace, e := range w.counts {
		if e.acked >= e.count {
			continue
		}
		if wc.Counts == nil {
			wc.Counts = make(map[string]uint64)
		}
		wc.Counts[workspace] = e.count
		e.sent = e.count
		w.counts[workspace] = e
	}
	w.final.sent = w.final.sent || wc.Final
	w.open = wc.Final || len(wc.Counts) > 0
	return wc, w.open
}

// isOpen reports whether something may not be acknowledged.
func (l *ledger) isOpen() bool {
	for _, w := range l.windows {
		if w.open {
			return true
		}
	}
	return false
}

// ack records that a receiver has the given counts.
func (l *ledger) ack(windows []WindowCounts) {
	for _, wc := range windows {
		w := l.windows[wc.Window]
		if w == nil {
			continue
		}
		for workspace, count := range wc.Counts {
			if e, ok := w.counts[workspace]; ok {
				e.acked = max(e.acked, min(count, e.count))
				e.sent = max(e.sent, e.acked)
				w.counts[workspace] = e
			}
		}
		if wc.Final && w.final.set {
			w.final.sent, w.final.acked = true, true
		}
	}
}

// retry makes pending again what was sent and not acknowledged.
func (l *ledger) retry() {
	for _, w := range l.windows {
		if !w.open {
			continue
		}
		for workspace, e := range w.counts {
			e.sent = e.acked
			w.counts[workspace] = e
		}
		w.final.sent = w.final.acked
	}
}

// dropOutside removes the windows below first and above last.
func (l *ledger) dropOutside(first, last int64) {
	maps.DeleteFunc(l.windows, func(n int64, _ *windowLedger) bool { return n < first || n > last })
}
