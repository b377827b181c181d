package admit

import (
	"slices"
	"time"
)

// fifo serves requests in order of arrival, without regard to class and workspace.
type fifo struct {
	waiters []*waiter
}

func (f *fifo) push(w *waiter) { f.waiters = append(f.waiters, w) }

func (f *fifo) remove(w *waiter) {
	if i := slices.Index(f.waiters, w); i >= 0 {
		f.waiters = slices.Delete(f.waiters, i, i+1)
	}
}

func (f *fifo) pop(_ time.Time, l load) *waiter {
	if len(f.waiters) == 0 || l.total >= l.slots {
		return nil
	}
	w := f.waiters[0]
	f.waiters[0] = nil
	f.waiters = f.waiters[1:]
	return w
}

func (f *fifo) ahead(time.Time, *waiter) (int, bool) { return 0, false }

func (f *fifo) charge(Request) time.Duration { return 0 }

func (f *fifo) settle(runningRequest, time.Duration) {}
