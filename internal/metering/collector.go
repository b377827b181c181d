package metering

import (
	"maps"
	"slices"
	"time"
)

const (
	// removedRetention is how long the counts of a process are kept after its removal.
	removedRetention = 60 * time.Second
	// maxFormerProcesses bounds the former processes of a host whose counts are stored although
	// this control host has not seen their removal, as after its own restart.
	maxFormerProcesses = 3
	// pruneInterval is the time between two looks for old windows. A look passes all counts.
	pruneInterval = time.Second
	// loggedShift is the change of the median from which on it is a shift that should be logged.
	loggedShift = 500 * time.Millisecond
)

// Member is a registered process.
type Member struct {
	Process
	Entry, Control bool
}

// Collector stores the reports that a control host receives, keeps the fleet time and builds the
// batches for another control host: the leader, or on the leader a second host, so that the counts
// of an entry host survive a loss of any one control host. It is not safe for concurrent use. Each
// now is a monotonic time and each day the host's time of day at the same moment.
type Collector struct {
	window time.Duration
	self   Process

	members        map[Process]Member
	knownWorkspace func(string) bool
	removed        map[Process]time.Time
	stored         map[Process]*ledger
	// direct is when each process last sent a report to this host itself.
	direct map[Process]time.Time
	// open are the processes with counts that the target may not have.
	open map[Process]struct{}

	samples map[Process]daySample
	lags    map[Process]*linkLag // by sender of batches
	// leadingSince is when this leadership was first seen, zero if this host does not lead.
	leadingSince time.Time
	lastMedian   time.Time
	lastPrune    time.Time
	fleet        offsetEstimate
	excursion    excursion
	shift        time.Duration

	decided int64 // the highest decided window

	role         Role
	epoch        uint64 // as in Counter
	targetStore  Process
	inFlight     bool
	lastBatch    time.Time
	nextBatch    time.Time
	lastAnswered time.Time
}

// Role is the part of a control host in the delivery of reports.
type Role struct {
	Leading bool
	// Leader is the last known leader and Term its term.
	Leader string
	Term   uint64
	// Target is the control host that batches are sent to, empty for none.
	Target string
}

// NewCollector returns the Collector of a control host with windows of the given length.
func NewCollector(window time.Duration, self Process) *Collector {
	return &Collector{
		window: window, self: self, members: make(map[Process]Member), knownWorkspace: func(string) bool { return false },
		removed: make(map[Process]time.Time), stored: make(map[Process]*ledger), open: make(map[Process]struct{}),
		direct:  make(map[Process]time.Time),
		samples: make(map[Process]daySample), lags: make(map[Process]*linkLag),
	}
}

// SetMembers replaces the registered processes and the function that tells whether the catalog
// contains a workspace.
func (c *Collector) SetMembers(now time.Time, members []Member, knownWorkspace func(string) bool) {
	next := make(map[Process]Member, len(members))
	for _, m := range members {
		next[m.Process] = m
		delete(c.removed, m.Process)
	}
	for p := range c.members {
		if _, ok := next[p]; !ok {
			c.removed[p] = now
			delete(c.samples, p)
			delete(c.lags, p)
		}
	}
	c.members, c.knownWorkspace = next, knownWorkspace
}

// SetRole sets the role of the control host. All counts become pending when the target changes.
// While no leader is known the last one stays in place, since it may be elected again.
func (c *Collector) SetRole(r Role) {
	if r.Leader == "" {
		r.Leader, r.Term = c.role.Leader, c.role.Term
		if !r.Leading && !c.role.Leading {
			r.Target = c.role.Target
		}
	}
	changed := r.Target != c.role.Target
	c.role = r
	if changed {
		c.targetStore = Process{}
		c.resendAll()
	}
}

// setTargetStore makes all counts pending if only a former process of the target has them. Messages
// of that process may still arrive; they change nothing.
func (c *Collector) setTargetStore(p Process) {
	if p.Incarnation < c.targetStore.Incarnation {
		return
	}
	if c.targetStore != (Process{}) && c.targetStore != p {
		c.resendAll()
	}
	c.targetStore = p
}

func (c *Collector) resendAll() {
	c.epoch++
	for p, s := range c.stored {
		s.resendAfter(c.decided)
		c.open[p] = struct{}{}
	}
}

// SetDecided sets the highest window whose counts are decided. Nothing is sent again of it and those
// before, which saves most of the counts that move when the leader changes.
func (c *Collector) SetDecided(window int64) { c.decided = max(c.decided, window) }

// Tick records the host's time of day and drops what is not retained.
func (c *Collector) Tick(now, day time.Time) {
	c.observeDay(now, c.self, day.Sub(now))
	c.FleetTime(now)
	for p, at := range c.removed {
		if now.Sub(at) >= removedRetention {
			delete(c.removed, p)
		}
	}
	if now.Sub(c.lastPrune) >= pruneInterval {
		c.lastPrune = now
		c.prune(now, day)
	}
}

// prune drops old windows and the processes that are not stored any more.
func (c *Collector) prune(now, day time.Time) {
	maps.DeleteFunc(c.direct, func(_ Process, at time.Time) bool { return now.Sub(at) > sampleAge })
	first, last := c.retained(now, day)
	for p, s := range c.stored {
		s.dropOutside(first, last)
		if !c.accepts(p) || len(s.windows) == 0 {
			delete(c.stored, p)
			delete(c.open, p)
		}
	}
}

// retained returns the first and the last window that is stored. The host's own time of day
// stands in for an unknown fleet time.
func (c *Collector) retained(now, day time.Time) (first, last int64) {
	t, ok := c.fleet.time(now)
	if !ok {
		t = day
	}
	current := windowOf(t, c.window)
	return current - RetainedWindows + 1, current + 1
}

// accepts reports whether the counts of a process are stored: if it is registered, was removed
// within removedRetention, or is one of the last former processes of a registered host.
func (c *Collector) accepts(p Process) bool {
	if _, ok := c.members[p]; ok {
		return true
	}
	if _, ok := c.removed[p]; ok {
		return true
	}
	former, newer := 0, false
	for m := range c.members {
		newer = newer || m.Host == p.Host && m.Incarnation > p.Incarnation
	}
	if !newer {
		return false
	}
	for other := range c.stored {
		if other.Host == p.Host && other.Incarnation > p.Incarnation {
			former++
		}
	}
	return former <= maxFormerProcesses
}

// Receive stores a batch from another process, which may be this one.
func (c *Collector) Receive(now, day time.Time, from Process, b Batch) Answer {
	a := Answer{Store: Store{Process: c.self, Leader: c.role.Leader, Term: c.role.Term}, Decided: c.decided}
	if from.Host == c.role.Target {
		c.setTargetStore(from)
	}
	first, last := c.retained(now, day)
	lag, newer := c.observeLag(now, from, b.MonoNS)
	for _, r := range b.Reports {
		if r.Process != from && !c.members[from].Control || !c.accepts(r.Process) {
			a.Refused = append(a.Refused, r.Process)
			continue
		}
		if newer && r.DayNS != 0 {
			c.observeDay(now, r.Process, time.Duration(r.DayNS-b.MonoNS)+lag)
		}
		c.store(now, from, r, first, last)
	}
	if t, ok := c.FleetTime(now); ok {
		a.FleetNS = t.UnixNano()
	}
	return a
}

// store stores the counts of one process. Windows outside of first to last are ignored.
func (c *Collector) store(now time.Time, from Process, r Report, first, last int64) {
	s := c.stored[r.Process]
	if s == nil {
		s = newLedger()
		c.stored[r.Process] = s
	}
	if r.Process == from {
		c.direct[from] = now
	}
	for _, w := range r.Windows {
		if w.Window >= first && w.Window <= last && s.raise(w, c.knownWorkspace) {
			c.open[r.Process] = struct{}{}
		}
	}
	if from == c.targetStore {
		s.ack(r.Windows) // the target has what it sends
	}
}

// observeDay records the offset of a registered process's time of day to the local monotonic clock.
func (c *Collector) observeDay(now time.Time, p Process, offset time.Duration) {
	if _, ok := c.members[p]; !ok {
		return
	}
	c.samples[p] = daySample{offset: offset, heard: now}
}

// observeLag returns the lag of a batch's sender, or false if the batch is not newer than all
// before: its times are then out of date.
func (c *Collector) observeLag(now time.Time, from Process, mono int64) (time.Duration, bool) {
	if _, ok := c.members[from]; !ok {
		return 0, false
	}
	l := c.lags[from]
	if l == nil {
		l = &linkLag{}
		c.lags[from] = l
	}
	newer := l.observe(now, mono)
	return l.lag, newer
}

// FleetTime returns the fleet time at a monotonic time, or false while it is unknown. On the
// leader it follows the median of the times of day of the hosts heard within sampleAge, advanced by
// the monotonic clock. Other control hosts follow the leader's.
func (c *Collector) FleetTime(now time.Time) (time.Time, bool) {
	if now.Sub(c.lastMedian) >= medianInterval {
		c.updateFleetTime(now)
	}
	return c.fleet.time(now)
}

// updateFleetTime computes the median on the leader. The first one waits for the hosts that run.
func (c *Collector) updateFleetTime(now time.Time) {
	c.lastMedian = now
	if !c.role.Leading {
		c.leadingSince, c.excursion = time.Time{}, excursion{}
		return
	}
	if c.leadingSince.IsZero() {
		c.leadingSince = now
	}
	offset, heard := medianOffset(now, c.samples, len(c.members), c.fleet)
	waited := now.Sub(c.leadingSince)
	enough := c.fleet.known || waited >= sampleAge || waited >= majorityWait && 2*heard > len(c.members)
	if heard == 0 || !enough {
		return
	}
	if c.fleet.known {
		step := c.excursion.observe(now, offset-c.fleet.offset)
		if step.Abs() >= loggedShift {
			c.shift += step
		}
		offset = c.fleet.offset + step
	}
	c.fleet = offsetEstimate{known: true, offset: offset, at: now}
}

// TakeShift returns the sum of the shifts of the fleet time of at least loggedShift since the last
// call. A shift means that the clocks of half of the hosts were set.
func (c *Collector) TakeShift() time.Duration {
	shift := c.shift
	c.shift = 0
	return shift
}

// Tally returns what is known of a window.
func (c *Collector) Tally(window int64) Tally {
	t := Tally{Counts: make(map[string]uint64)}
	for _, s := range c.stored {
		if w := s.windows[window]; w != nil {
			for workspace, e := range w.counts {
				t.Counts[workspace] += e.count
			}
		}
	}
	for p, m := range c.members {
		if !m.Entry {
			continue
		}
		if s := c.stored[p]; s != nil && s.windows[window] != nil && s.windows[window].final.set {
			t.Heard++
		} else {
			t.Missing = append(t.Missing, p.Host)
		}
	}
	slices.Sort(t.Missing)
	return t
}

// isDirect reports whether a process has sent a report to this host itself within sampleAge.
func (c *Collector) isDirect(now time.Time, p Process) bool {
	at, ok := c.direct[p]
	return ok && now.Sub(at) <= sampleAge
}

// pendingProcesses returns the processes with pending counts that the target gets, in ascending
// order. The leader's target gets only those that report to the leader itself; the other control
// hosts hold the rest.
func (c *Collector) pendingProcesses(now time.Time) []Process {
	var all []Process
	for p := range c.open {
		if !c.role.Leading || c.isDirect(now, p) {
			all = append(all, p)
		}
	}
	slices.SortFunc(all, compareProcesses)
	return all
}
