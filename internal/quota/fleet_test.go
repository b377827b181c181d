package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// start is the true time at which a simulated fleet starts.
var start = time.Unix(1_700_000_000, 0)

// machine is a simulated host whose clock runs at its own rate.
type machine struct {
	name  string
	drift float64
	// epoch identifies the set of owners that the machine uses.
	epoch       uint64
	isolated    bool
	incarnation uint64 // number of processes started so far
}

// clock returns the machine's time at a true time since the start.
func (m *machine) clock(t time.Duration) time.Time {
	return start.Add(t + time.Duration(float64(t)*m.drift))
}

type control struct {
	machine
	owner *Owner
}

type entry struct {
	machine
	holder  *Holder
	waiting []string // keys of requests that wait
	// absent is set while the host has no configuration lease, as the agreed state tells: it
	// spends nothing.
	absent bool
}

// message is a message in transit.
type message struct {
	due      time.Duration
	from, to string
	request  *Request
	reply    *Reply
}

// fleet simulates control hosts and entry hosts over a lossy network.
type fleet struct {
	rng      *rand.Rand
	cfg      Config
	now      time.Duration // true time since the start
	controls []*control
	entries  []*entry
	net      []message
	limits   map[string]Limit
	epoch    uint64
	owners   map[uint64][]string // by epoch
	loss     float64
	maxDelay time.Duration
	checks   map[string]*spendCheck
	bytes    func(any) // receives each message that is sent, if set
	// noQuarantine injects a fault: owners grant shares at once after a restart.
	noQuarantine bool
}

// spendCheck charges the tokens of a key that all hosts spend to one exact bucket,
// and records the first violation of the limit.
type spendCheck struct {
	limit  Limit
	level  float64
	last   time.Duration
	failed string
}

// roundingTolerance allows for floating-point errors, in tokens.
const roundingTolerance = 1e-6

func (c *spendCheck) spend(now time.Duration, n float64) {
	c.level = min(c.limit.Burst, c.level+c.limit.Rate*(now-c.last).Seconds()) - n
	c.last = now
	if c.level < -roundingTolerance && c.failed == "" {
		c.failed = fmt.Sprintf("%.3f tokens over the limit at %v", -c.level, now)
	}
}

func newFleet(seed uint64, controls, entries int, limits map[string]Limit) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 3)), limits: limits, epoch: 1,
		cfg:    Config{Drift: 0.01}.withDefaults(),
		owners: map[uint64][]string{}, checks: map[string]*spendCheck{}, maxDelay: 5 * time.Millisecond,
	}
	for i := range controls {
		f.controls = append(f.controls, &control{machine: f.machine(fmt.Sprintf("c%d", i))})
	}
	f.owners[1] = f.allControls()
	for _, c := range f.controls {
		f.startOwner(c)
	}
	for i := range entries {
		e := &entry{machine: f.machine(fmt.Sprintf("e%d", i))}
		f.entries = append(f.entries, e)
		f.startHolder(e)
	}
	for _, c := range f.controls {
		f.setHolders(c)
	}
	for key, l := range limits {
		l.Burst += l.IdleBurst
		f.checks[key] = &spendCheck{limit: l, level: l.Burst}
	}
	return f
}

func (f *fleet) machine(name string) machine {
	return machine{name: name, epoch: 1, drift: (f.rng.Float64() - 0.5) * 0.98 * f.cfg.Drift}
}

func (f *fleet) allControls() []string {
	var names []string
	for _, c := range f.controls {
		names = append(names, c.name)
	}
	return names
}

func (f *fleet) startOwner(c *control) {
	c.incarnation++
	now := c.clock(f.now)
	c.owner = NewOwner(f.cfg, c.name, c.incarnation, now)
	c.owner.SetEpoch(now, c.epoch, f.owners[c.epoch])
	f.setHolders(c)
	for key, l := range f.limits {
		c.owner.SetLimit(now, key, l, f.now == 0 || f.noQuarantine)
	}
}

func (f *fleet) startHolder(e *entry) {
	if e.holder != nil {
		for _, c := range f.controls {
			// The end of a process is committed to the replicated log: an owner that has
			// not applied the current epoch has not applied the end of the process either.
			if c.epoch == f.epoch && !c.isolated {
				c.owner.RemoveHolder(c.clock(f.now), e.name, e.incarnation)
			}
		}
	}
	e.incarnation++
	e.waiting, e.absent = nil, false
	e.holder = NewHolder(f.cfg, e.name, e.incarnation, e.clock(f.now))
	e.holder.SetEpoch(e.epoch, f.owners[e.epoch])
	for key, l := range f.limits {
		if l.Rate == 0 {
			e.holder.SetUnits(key)
		}
	}
}

// holderIDs returns the current processes of the entry hosts, and those that are absent.
func (f *fleet) holderIDs() (present, absent []HolderID) {
	for _, e := range f.entries {
		id := HolderID{e.name, e.incarnation}
		if e.absent {
			absent = append(absent, id)
		} else {
			present = append(present, id)
		}
	}
	return present, absent
}

// setHolders informs an owner of the holders.
func (f *fleet) setHolders(c *control) {
	present, absent := f.holderIDs()
	c.owner.SetHolders(c.clock(f.now), present, absent)
}

// setAbsent ends the configuration lease of an entry host, or gives it another one, and
// informs the control hosts that follow the state.
func (f *fleet) setAbsent(e *entry, absent bool) {
	e.absent = absent
	if !absent {
		e.holder.EndRates(e.clock(f.now))
	}
	for _, c := range f.controls {
		if c.epoch != f.epoch || c.isolated {
			continue
		}
		if absent {
			c.owner.EndRates(c.clock(f.now), e.name, e.incarnation)
		}
		f.setHolders(c)
	}
}

// changeOwners starts an epoch with another set of owners. Machines adopt it later.
func (f *fleet) changeOwners(owners []string) {
	f.epoch++
	f.owners[f.epoch] = owners
}

// step advances the true time, sends due requests and delivers due messages.
func (f *fleet) step(d time.Duration) {
	f.now += d
	for _, c := range f.controls {
		if c.epoch == f.epoch && !c.isolated {
			c.owner.SetOwnerLease(c.clock(f.now).Add(f.cfg.OwnerLease))
		}
		c.owner.Tick(c.clock(f.now))
	}
	for _, e := range f.entries {
		f.enforceUnits(e)
		for _, b := range e.holder.Requests(e.clock(f.now)) {
			f.send(message{from: e.name, to: b.Owner, request: &b.Request})
		}
	}
	f.deliver()
}

// run advances the true time in steps of 5 ms.
func (f *fleet) run(d time.Duration) {
	for range int(d / (5 * time.Millisecond)) {
		f.step(5 * time.Millisecond)
	}
}

// adoptEpoch moves a reachable machine to the current epoch and reports whether its
// epoch changed.
func (f *fleet) adoptEpoch(m *machine) bool {
	if m.isolated || m.epoch == f.epoch {
		return false
	}
	m.epoch = f.epoch
	return true
}

// propagateEpoch announces the current epoch to all reachable machines.
func (f *fleet) propagateEpoch() {
	for _, c := range f.controls {
		if f.adoptEpoch(&c.machine) {
			c.owner.SetEpoch(c.clock(f.now), c.epoch, f.owners[c.epoch])
			f.setHolders(c)
		}
	}
	for _, e := range f.entries {
		if f.adoptEpoch(&e.machine) {
			e.holder.SetEpoch(e.epoch, f.owners[e.epoch])
		}
	}
}

// announceOwners makes the processes of the owners known to all reachable holders, as
// the agreed state does.
func (f *fleet) announceOwners() {
	for _, e := range f.entries {
		for _, c := range f.controls {
			if !e.isolated {
				e.holder.ObserveOwner(c.name, c.incarnation)
			}
		}
	}
}

func (f *fleet) send(m message) {
	if f.bytes != nil {
		if m.request != nil {
			f.bytes(*m.request)
		} else {
			f.bytes(*m.reply)
		}
	}
	if f.rng.Float64() < f.loss {
		return
	}
	m.due = f.now + time.Duration(f.rng.Float64()*float64(f.maxDelay))
	f.net = append(f.net, m)
	if f.rng.Float64() < f.loss/4 { // duplicated
		m.due += f.maxDelay
		f.net = append(f.net, m)
	}
}

func (f *fleet) deliver() {
	due := slices.Clone(f.net)
	f.net = slices.DeleteFunc(f.net, func(m message) bool { return m.due <= f.now })
	for _, m := range due {
		if m.due <= f.now {
			f.receive(m)
		}
	}
}

func (f *fleet) receive(m message) {
	if m.reply != nil {
		e := f.entries[slices.IndexFunc(f.entries, func(e *entry) bool { return e.name == m.to })]
		e.holder.Receive(e.clock(f.now), *m.reply)
		return
	}
	c := f.controls[slices.IndexFunc(f.controls, func(c *control) bool { return c.name == m.to })]
	e := f.entries[slices.IndexFunc(f.entries, func(e *entry) bool { return e.name == m.from })]
	// An isolated control host reaches only isolated entry hosts.
	if c.isolated != e.isolated {
		return
	}
	reply := c.owner.Handle(c.clock(f.now), *m.request)
	f.send(message{from: m.to, to: m.from, reply: &reply})
}

// take issues one request for a key at an entry host and tries it once. If it is
// not granted, it waits until withdrawAll.
func (f *fleet) take(e *entry, key string) {
	e.holder.Offer(e.clock(f.now), key, 1)
	if !f.retry(e, key) {
		e.waiting = append(e.waiting, key)
	}
}

// withdrawAll withdraws all requests that wait at an entry host.
func (f *fleet) withdrawAll(e *entry) {
	for _, key := range e.waiting {
		e.holder.Withdraw(key, 1)
	}
	e.waiting = nil
}

// retryAll tries all waiting requests for a key once.
func (f *fleet) retryAll(key string) {
	for _, e := range f.entries {
		e.waiting = slices.DeleteFunc(e.waiting, func(waiting string) bool { return waiting == key && f.retry(e, key) })
	}
}

func (f *fleet) retry(e *entry, key string) bool {
	if e.absent || !e.holder.Take(e.clock(f.now), key, 1).Granted {
		return false
	}
	if f.limits[key].Rate > 0 {
		f.checks[key].spend(f.now, 1)
		return true
	}
	f.checkUnits(key)
	return true
}

// enforceUnits releases the units of expired leases.
func (f *fleet) enforceUnits(e *entry) {
	for key, l := range f.limits {
		now := e.clock(f.now)
		if allowed, inUse := e.holder.Units(now, key); l.Rate == 0 && allowed == 0 && inUse > 0 {
			e.holder.Release(now, key, inUse)
		}
	}
}

func (f *fleet) checkUnits(key string) {
	sum := 0.0
	for _, e := range f.entries {
		_, inUse := e.holder.Units(e.clock(f.now), key)
		sum += inUse
	}
	if c := f.checks[key]; sum > c.limit.Burst && c.failed == "" {
		c.failed = fmt.Sprintf("%v units in use at %v", sum, f.now)
	}
}

func (f *fleet) violation() string {
	for key, c := range f.checks {
		if c.failed != "" {
			return key + ": " + c.failed
		}
	}
	return ""
}
