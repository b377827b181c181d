package admit

import (
	"container/heap"
	"time"

	"github.com/galenabridge/galenabridge/internal/drain"
)

// checkDivisor is the divisor of a request's target that gives the time between two decisions
// about its early refusal. The second comes after a fifth of the target, since a request that
// is refused must not have waited for more than a quarter if that could be known.
const checkDivisor = 10

// maxRunDivisor is the divisor of the target that gives the longest time that is left for running
// a request. Requests that usually run for longer are late in any case; they are served late as
// without early refusals.
const maxRunDivisor = 2

// classState observes the drain of one class of a queue. The drain is that of the class and not
// of the endpoint: it depends on precedence, floors and the cap, and on the load of the others.
type classState struct {
	meter   drain.Meter
	waiting int
	starts  int
}

func (c *classState) arrive(now time.Time) {
	c.waiting++
	c.meter.Arrive(now)
}

func (c *classState) start(now time.Time) {
	c.starts++
	c.meter.Start(now)
}

// recordWaiting records how many requests of each class wait after an event, and the slots.
func (q *Queue) recordWaiting(now time.Time) {
	for _, c := range q.classes {
		c.meter.SetWaiting(now, c.waiting, q.cfg.Slots)
	}
}

// judgeArrival refuses a request that has just arrived if it cannot be expected to start in
// time, or sets the time of the next decision about it.
func (q *Queue) judgeArrival(now time.Time, w *waiter) {
	if w.Target <= 0 || w.Deadline.IsZero() {
		return
	}
	ahead, ok := q.discipline.ahead(now, w)
	if !ok {
		return
	}
	w.ahead, w.startsBefore = ahead, q.classes[w.Class].starts
	q.judge(now, w)
}

// judge refuses a waiting request if it cannot be expected to be answered in time, or sets the
// time of the next decision about it. How many requests overtake it is taken from what it has
// seen: without them, those ahead of it at its arrival less those that have started since would
// be ahead of it.
func (q *Queue) judge(now time.Time, w *waiter) {
	class := q.classes[w.Class]
	if rates, ok := class.meter.Rates(now); ok {
		ahead, _ := q.discipline.ahead(now, w)
		overtaking := 0.0
		if age := now.Sub(w.arrived); age > 0 {
			overtook := ahead - (w.ahead - (class.starts - w.startsBefore))
			overtaking = float64(max(overtook, 0)) / age.Seconds()
		}
		run := min(q.discipline.charge(w.Request), w.Target/maxRunDivisor)
		if rates.Hopeless(ahead, overtaking, w.Deadline.Sub(now)-run) {
			q.refuseWaiter(now, w, true)
			return
		}
	}
	w.due = earlier(now.Add(w.Target/checkDivisor), w.Deadline)
	heap.Fix(&q.deadlines, w.heapIndex)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
