package consensus

import (
	"math/rand/v2"
	"slices"
)

// testingT is the part of testing.TB that rapid.T has as well.
type testingT interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// disk is the content of a data folder in a test.
type disk struct {
	Stored
}

// save applies d as the store does.
func (d *disk) save(u Durable) {
	if u.Snapshot != nil {
		d.Snapshot = *u.Snapshot
		first := u.First
		if u.Reset {
			d.Entries = nil
		}
		d.Entries = slices.DeleteFunc(slices.Clone(d.Entries), func(e Entry) bool { return e.Index < first })
	}
	if len(u.Entries) > 0 {
		from := u.Entries[0].Index
		d.Entries = slices.DeleteFunc(slices.Clone(d.Entries), func(e Entry) bool { return e.Index >= from })
		d.Entries = append(d.Entries, u.Entries...)
	}
	if u.Hard != nil {
		d.Hard = *u.Hard
	}
}

func (d *disk) clone() *disk {
	c := *d
	c.Entries = slices.Clone(d.Entries)
	return &c
}

// process is a control host in a test: a node, its disk and what it applied.
type process struct {
	cfg       Config
	disk      *disk
	node      *Node // nil while down
	state     appState
	confirmed []Confirmation
	dropped   []uint64
	joining   []Member
}

// appState is the application state: the commands applied so far.
type appState struct {
	index    uint64
	commands []string
}

// crashPoint tells where a process stops while it handles work.
type crashPoint int

const (
	noCrash crashPoint = iota
	crashBeforeSync
	crashAfterSync
)

// cluster drives processes over an in-memory network.
type cluster struct {
	t       testingT
	rng     *rand.Rand
	procs   map[string]*process
	hosts   []string
	net     []Message
	cut     map[[2]string]bool
	check   *checker
	compact uint64          // applied entries between snapshots, zero for none
	wanted  []DesiredMember // control hosts that leaders bring into the group
	open    bool            // leaders take in every host that asks
	// skip plants a fault in what is synced.
	skip func(p *process, d Durable) Durable
	// crash ends the next handling of work early.
	crash crashPoint
	// electionTicks is the least election timeout of the nodes.
	electionTicks int
}

func newCluster(t testingT, seed uint64, founders ...string) *cluster {
	c := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), procs: map[string]*process{},
		cut: map[[2]string]bool{}, check: newChecker(), electionTicks: DefaultElectionTicks,
	}
	for _, h := range founders {
		c.add(h, founders)
		c.wanted = append(c.wanted, DesiredMember{Host: h, Voter: true})
	}
	return c
}

func (c *cluster) add(host string, founders []string) *process {
	p := &process{cfg: Config{
		Host: host, Peers: slices.Clone(c.hosts), InitialVoters: founders,
		Rand:          rand.New(rand.NewPCG(c.rng.Uint64(), 2)),
		ElectionTicks: c.electionTicks, HeartbeatTicks: max(1, c.electionTicks/5),
		TrailingEntries: 4, ChunkBytes: 64, MaxInflight: 4, MaxAppendBytes: 200,
	}}
	p.disk = c.newDisk()
	c.procs[host] = p
	c.hosts = append(c.hosts, host)
	c.start(host)
	return p
}

func (c *cluster) newDisk() *disk {
	return &disk{Stored{Disk: c.rng.Uint64() | 1}}
}

// start starts the process of a host from its disk.
func (c *cluster) start(host string) {
	p := c.procs[host]
	p.disk.Boots++
	node, err := New(p.cfg, p.disk.clone().Stored)
	if err != nil {
		c.t.Fatalf("start %s: %v", host, err)
	}
	p.node = node
	p.state = decodeState(p.disk.Snapshot)
}

func (c *cluster) stop(host string) { c.procs[host].node = nil }

// wipe replaces a host's disk by an empty one and restarts it.
func (c *cluster) wipe(host string) {
	c.procs[host].disk = c.newDisk()
	c.start(host)
}

// handle does what a driver does with pending work.
func (c *cluster) handle(p *process) {
	for p.node != nil && p.node.HasReady() {
		rd := p.node.Ready()
		if rd.Rejoin {
			c.wipe(p.cfg.Host)
			continue
		}
		if c.crash == crashBeforeSync {
			p.node, c.crash = nil, noCrash
			return
		}
		d := rd.Durable
		if c.skip != nil {
			d = c.skip(p, d)
		}
		p.disk.save(d)
		if c.crash == crashAfterSync {
			p.node, c.crash = nil, noCrash
			return
		}
		if rd.Install != nil {
			p.state = decodeState(*rd.Install)
			c.check.checkState(p)
		}
		c.net = append(c.net, rd.Messages...)
		for _, e := range rd.Committed {
			p.apply(e)
		}
		p.confirmed = append(p.confirmed, rd.Confirmed...)
		p.dropped = append(p.dropped, rd.Dropped...)
		p.joining = rd.JoinRequests
		p.node.Advance(rd)
		c.check.observe(c, p, rd)
		c.maybeCompact(p)
	}
}

func (c *cluster) maybeCompact(p *process) {
	st := p.node.Status()
	if c.compact == 0 || st.Applied < st.Snapshot+c.compact {
		return
	}
	if err := p.node.Compact(st.Applied, p.state.encode()); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) tick(host string) {
	p := c.procs[host]
	if p.node == nil {
		return
	}
	p.node.Tick()
	c.handle(p)
	c.manage(p)
}

// manage proposes the next membership change, as a leader's driver does.
func (c *cluster) manage(p *process) {
	if p.node == nil {
		return
	}
	change, ok := c.nextChange(p)
	if !ok {
		return
	}
	if _, err := p.node.ProposeChange(change); err != nil {
		c.t.Fatalf("change %+v: %v", change, err)
	}
	c.handle(p)
}

func (c *cluster) nextChange(p *process) (Change, bool) {
	if c.open {
		return p.node.NextOpenChange()
	}
	return p.node.NextChange(c.wanted)
}

// deliver hands the message at position i of the network to its receiver.
func (c *cluster) deliver(i int, keep bool) {
	m := c.net[i]
	if !keep {
		c.net = slices.Delete(c.net, i, i+1)
	}
	p := c.procs[m.To]
	if p == nil || p.node == nil || c.cut[[2]string{m.From, m.To}] {
		return
	}
	_ = p.node.Step(m) // refusals are part of the schedule
	c.handle(p)
}

// round ticks every node once and delivers all messages in order.
func (c *cluster) round() {
	for _, h := range c.hosts {
		c.tick(h)
	}
	for n := 0; len(c.net) > 0 && n < 10000; n++ {
		c.deliver(0, false)
	}
}

// until runs rounds until cond holds.
func (c *cluster) until(what string, cond func() bool) {
	c.t.Helper()
	for range 3000 {
		if cond() {
			return
		}
		c.round()
	}
	c.t.Fatalf("never came to: %s", what)
}

// leader returns the leader of the highest term, or nil.
func (c *cluster) leader() *process {
	var best *process
	for _, h := range c.hosts {
		p := c.procs[h]
		if p.node == nil || p.node.role != Leader {
			continue
		}
		if best == nil || p.node.hard.Term > best.node.hard.Term {
			best = p
		}
	}
	return best
}

// propose adds a command through the leader and runs until all nodes that are
// up have applied it.
func (c *cluster) propose(command string) {
	c.t.Helper()
	c.until("a leader", func() bool { return c.leader() != nil })
	p := c.leader()
	if _, err := p.node.Propose([]byte(command)); err != nil {
		c.t.Fatal(err)
	}
	c.handle(p)
	c.until("applied "+command, func() bool {
		for _, q := range c.procs {
			if q.node != nil && !slices.Contains(q.state.commands, command) {
				return false
			}
		}
		return true
	})
}

func (c *cluster) isolate(host string, cut bool) {
	for _, h := range c.hosts {
		c.cut[[2]string{host, h}] = cut
		c.cut[[2]string{h, host}] = cut
	}
}
