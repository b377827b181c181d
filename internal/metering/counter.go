package metering

import (
	"sync"
	"time"
)

const (
	// ReportInterval is the minimum time between two reports. A host that is killed loses the
	// counts since its last report; 0.05 of a window of 5 s allows 250 ms.
	ReportInterval = 200 * time.Millisecond
	// finalDelay is the time from the end of a window to its final report. It covers the error of
	// the fleet time on links with long round trips.
	finalDelay = 300 * time.Millisecond
	// placementWait is how long after the start of a host its requests wait for the fleet time
	// before they are counted by the host's own time of day. One round trip is enough in a running
	// fleet; one that starts takes majorityWait.
	placementWait = 3 * time.Second
	// placementStep is the resolution of the times of requests that wait for the fleet time.
	placementStep = 10 * time.Millisecond
	// maxInFlight bounds the reports that wait for an answer. On a saturated link an answer takes
	// longer than ReportInterval; a control host that does not answer is replaced.
	maxInFlight = 3
)

// Counter counts the requests that a host has begun, by workspace and window, and builds its
// reports. It is safe for concurrent use. Each now is a monotonic time and each day the host's
// time of day at the same moment.
type Counter struct {
	window time.Duration
	self   Process

	mu     sync.Mutex
	fleet  offsetEstimate
	counts *ledger
	// waitUntil is when requests stop to wait for the fleet time; zero before the first of them.
	// unplaced holds those that wait, by monotonic time in steps of placementStep.
	waitUntil time.Time
	unplaced  map[int64]map[string]uint64
	// nextFinal is the next window to be marked as final; valid if finalKnown.
	nextFinal  int64
	finalKnown bool

	store      Store
	storeKnown bool
	decided    int64 // the highest window known to be decided
	// epoch changes whenever all counts become pending. An answer to a report of an earlier epoch
	// acknowledges nothing.
	epoch      uint64
	inFlight   int
	lastReport time.Time
}

// Outgoing is a batch to be sent. It must be passed back as answered or failed.
type Outgoing struct {
	Batch Batch
	// Target is the control host to send it to; empty for a report of a Counter.
	Target string
	epoch  uint64
	sent   time.Time
}

// NewCounter returns the Counter of a process with windows of the given length.
func NewCounter(window time.Duration, self Process) *Counter {
	return &Counter{window: window, self: self, counts: newLedger(), unplaced: make(map[int64]map[string]uint64)}
}

// Begin counts a request that is about to be sent to an endpoint.
func (c *Counter) Begin(now, day time.Time, workspace string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waitUntil.IsZero() {
		c.waitUntil = now.Add(placementWait)
	}
	if t, ok := c.time(now, day); ok {
		c.counts.add(windowOf(t, c.window), workspace, 1)
		return
	}
	step := now.UnixNano() / int64(placementStep)
	if c.unplaced[step] == nil {
		c.unplaced[step] = make(map[string]uint64)
	}
	c.unplaced[step][workspace]++
}

// time returns the time by which requests are counted, or false while they wait for the fleet
// time.
func (c *Counter) time(now, day time.Time) (time.Time, bool) {
	if t, ok := c.fleet.time(now); ok {
		return t, true
	}
	return day, !c.waitUntil.IsZero() && !now.Before(c.waitUntil)
}

// place counts the requests that waited for the time t.
func (c *Counter) place(now, t time.Time) {
	for step, counts := range c.unplaced {
		begun := t.Add(time.Unix(0, step*int64(placementStep)).Sub(now))
		for workspace, n := range counts {
			c.counts.add(windowOf(begun, c.window), workspace, n)
		}
	}
	clear(c.unplaced)
}

// Report returns a report if one is due. Until the fleet time is known a report is due even if
// there are no counts, since the answer tells the fleet time.
func (c *Counter) Report(now, day time.Time) (Outgoing, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.lastReport) < ReportInterval || c.inFlight >= maxInFlight {
		return Outgoing{}, false
	}
	c.advance(now, day)
	if c.fleet.known && !c.counts.unsent() {
		return Outgoing{}, false
	}
	return c.report(now, day), true
}

// Flush returns a report of all counts that are not acknowledged, for a host that is about to
// stop.
func (c *Counter) Flush(now, day time.Time) Outgoing {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now, day)
	c.counts.retry()
	return c.report(now, day)
}

func (c *Counter) report(now, day time.Time) Outgoing {
	c.inFlight++
	c.lastReport = now
	budget := maxMessageEntries
	r := Report{Process: c.self, DayNS: day.UnixNano(), Windows: c.counts.pending(&budget)}
	return Outgoing{Batch: Batch{MonoNS: now.UnixNano(), Reports: []Report{r}}, epoch: c.epoch, sent: now}
}

// advance places the requests that have waited long enough, marks the windows that have ended as
// final and drops those that are not retained. Windows are final only by the fleet time.
func (c *Counter) advance(now, day time.Time) {
	t, ok := c.time(now, day)
	if !ok {
		return
	}
	c.place(now, t)
	current := windowOf(t, c.window)
	c.counts.dropOutside(current-RetainedWindows+1, current+1)
	if !c.fleet.known {
		return
	}
	// The window before the first one is final too: the host may be registered before it is
	// decided. A fleet time that has been set back starts again.
	if !c.finalKnown || c.nextFinal > current+1 {
		c.nextFinal, c.finalKnown = current-1, true
	}
	c.nextFinal = max(c.nextFinal, current-RetainedWindows+1)
	for ; !t.Before(windowEnd(c.nextFinal, c.window).Add(finalDelay)); c.nextFinal++ {
		c.counts.finalize(c.nextFinal)
	}
}

// Answered handles the answer to a report, received at a monotonic time.
func (c *Counter) Answered(o Outgoing, a Answer, received time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	if a.FleetNS != 0 {
		c.fleet.observe(o.sent, received, time.Unix(0, a.FleetNS))
		t, _ := c.fleet.time(received)
		c.place(received, t)
	}
	c.decided = max(c.decided, a.Decided)
	if o.epoch != c.epoch {
		return
	}
	if len(a.Refused) > 0 {
		c.counts.retry()
		return
	}
	if c.storeKnown && a.Store != c.store {
		c.resendAll()
	}
	c.store, c.storeKnown = a.Store, true
	c.counts.ack(o.Batch.Reports[0].Windows)
}

// Failed handles a report without an answer.
func (c *Counter) Failed(o Outgoing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	if o.epoch == c.epoch {
		c.counts.retry()
	}
}

// ResendAll makes all retained windows pending that are not decided, after the host has changed its
// control host.
func (c *Counter) ResendAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeKnown = false
	c.resendAll()
}

func (c *Counter) resendAll() {
	c.epoch++
	c.counts.resendAfter(c.decided)
}
