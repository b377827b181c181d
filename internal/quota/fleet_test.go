package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// start is the true time at which a simulated fleet starts.
var start = time.Unix(1_700_000_000, 0)

// machine has a clock that runs at a rate of its own.
type machine struct {
	name  string
	drift float64
	// epoch numbers the set of owners that the machine knows.
	epoch    uint64
	isolated bool
	procs    uint64 // processes started so far
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
}

// parcel is a message on its way.
type parcel struct {
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
	net      []parcel
	limits   map[string]Limit
	epoch    uint64
	owners   map[uint64][]string // by epoch
	loss     float64
	maxDelay time.Duration
	check    map[string]*spendCheck
	bytes    func(any) // counts messages, when set
	// noQuarantine plants the fault of owners that grant at once after a start.
	noQuarantine bool
}

// spendCheck replays what all hosts spend of a key on one exact bucket.
type spendCheck struct {
	limit  Limit
	level  float64
	last   time.Duration
	failed string
}

// rounding allows for floating-point errors, in tokens.
const rounding = 1e-6

func (c *spendCheck) spend(now time.Duration, n float64) {
	c.level = min(c.limit.Burst, c.level+c.limit.Rate*(now-c.last).Seconds()) - n
	c.last = now
	if c.level < -rounding && c.failed == "" {
		c.failed = fmt.Sprintf("%.3f tokens too many at %v", -c.level, now)
	}
}

func newFleet(seed uint64, controls, entries int, limits map[string]Limit) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 3)), limits: limits, epoch: 1,
		cfg:    Config{Drift: 0.01}.withDefaults(),
		owners: map[uint64][]string{}, check: map[string]*spendCheck{}, maxDelay: 5 * time.Millisecond,
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
		c.owner.SetHolders(c.clock(f.now), f.holderIDs())
	}
	for key, l := range limits {
		f.check[key] = &spendCheck{limit: l, level: l.Burst}
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
	c.procs++
	now := c.clock(f.now)
	c.owner = NewOwner(f.cfg, c.name, c.procs, now)
	c.owner.SetEpoch(now, c.epoch, f.owners[c.epoch])
	c.owner.SetHolders(c.clock(f.now), f.holderIDs())
	for key, l := range f.limits {
		c.owner.SetLimit(now, key, l, f.now == 0 || f.noQuarantine)
	}
}

func (f *fleet) startHolder(e *entry) {
	if e.holder != nil {
		for _, c := range f.controls {
			// The end of a process is agreed in the order of the log: an owner that
			// does not know the present epoch does not know of it either.
			if c.epoch == f.epoch && !c.isolated {
				c.owner.RemoveHolder(c.clock(f.now), e.name, e.procs)
			}
		}
	}
	e.procs++
	e.waiting = nil
	e.holder = NewHolder(f.cfg, e.name, e.procs)
	e.holder.SetEpoch(e.epoch, f.owners[e.epoch])
	for key, l := range f.limits {
		if l.Rate == 0 {
			e.holder.SetUnits(key)
		}
	}
}

// holderIDs are the present processes of the entry hosts.
func (f *fleet) holderIDs() []HolderID {
	var ids []HolderID
	for _, e := range f.entries {
		ids = append(ids, HolderID{e.name, e.procs})
	}
	return ids
}

// changeOwners puts another set of owners in force. Machines learn of it later.
func (f *fleet) changeOwners(owners []string) {
	f.epoch++
	f.owners[f.epoch] = owners
}

// step advances the true time and delivers what is due.
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
			f.send(parcel{from: e.name, to: b.Owner, request: &b.Request})
		}
	}
	f.deliver()
}

// learn tells a machine of the present owners.
func (f *fleet) learn(m *machine) bool {
	if m.isolated || m.epoch == f.epoch {
		return false
	}
	m.epoch = f.epoch
	return true
}

func (f *fleet) learnAll() {
	for _, c := range f.controls {
		if f.learn(&c.machine) {
			c.owner.SetEpoch(c.clock(f.now), c.epoch, f.owners[c.epoch])
			c.owner.SetHolders(c.clock(f.now), f.holderIDs())
		}
	}
	for _, e := range f.entries {
		if f.learn(&e.machine) {
			e.holder.SetEpoch(e.epoch, f.owners[e.epoch])
		}
	}
}

func (f *fleet) send(p parcel) {
	if f.bytes != nil {
		if p.request != nil {
			f.bytes(*p.request)
		} else {
			f.bytes(*p.reply)
		}
	}
	if f.rng.Float64() < f.loss {
		return
	}
	p.due = f.now + time.Duration(f.rng.Float64()*float64(f.maxDelay))
	f.net = append(f.net, p)
	if f.rng.Float64() < f.loss/4 { // duplicated
		p.due += f.maxDelay
		f.net = append(f.net, p)
	}
}

func (f *fleet) deliver() {
	due := slices.Clone(f.net)
	f.net = slices.DeleteFunc(f.net, func(p parcel) bool { return p.due <= f.now })
	for _, p := range due {
		if p.due <= f.now {
			f.receive(p)
		}
	}
}

func (f *fleet) receive(p parcel) {
	if p.reply != nil {
		e := f.entries[slices.IndexFunc(f.entries, func(e *entry) bool { return e.name == p.to })]
		e.holder.Receive(e.clock(f.now), *p.reply)
		return
	}
	c := f.controls[slices.IndexFunc(f.controls, func(c *control) bool { return c.name == p.to })]
	e := f.entries[slices.IndexFunc(f.entries, func(e *entry) bool { return e.name == p.from })]
	// An isolated control host reaches only isolated entry hosts.
	if c.isolated != e.isolated {
		return
	}
	reply := c.owner.Handle(c.clock(f.now), *p.request)
	f.send(parcel{from: p.to, to: p.from, reply: &reply})
}

// take lets an entry host have one request for a key and try it once. If it
// is not granted it waits until giveUp.
func (f *fleet) take(e *entry, key string) {
	e.holder.Offer(e.clock(f.now), key, 1)
	if !f.retry(e, key) {
		e.waiting = append(e.waiting, key)
	}
}

// giveUp ends the requests that wait at an entry host.
func (f *fleet) giveUp(e *entry) {
	for _, key := range e.waiting {
		e.holder.Withdraw(key, 1)
	}
	e.waiting = nil
}

func (f *fleet) retry(e *entry, key string) bool {
	if !e.holder.Take(e.clock(f.now), key, 1).Granted {
		return false
	}
	if f.limits[key].Rate > 0 {
		f.check[key].spend(f.now, 1)
		return true
	}
	f.checkUnits(key)
	return true
}

// enforceUnits gives units back whose lease has ended.
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
	if c := f.check[key]; sum > c.limit.Burst && c.failed == "" {
		c.failed = fmt.Sprintf("%v units in use at %v", sum, f.now)
	}
}

func (f *fleet) violation() string {
	for key, c := range f.check {
		if c.failed != "" {
			return key + ": " + c.failed
		}
	}
	return ""
}
