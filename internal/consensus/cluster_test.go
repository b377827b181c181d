package consensus

import (
	"math/rand/v2"
	"slices"
)

// testingT is the part of testing.TB that rapid.T implements as well.
type testingT interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// disk is the content of a data folder in a test.
type disk struct {
	Stored
}

// save applies u to the disk as the store does.
func (d *disk) save(u Durable) {
	if u.Snapshot != nil {
		d.Snapshot = *u.Snapshot
		first := u.FirstIndex
		if u.ResetLog {
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
	cfg            Config
	disk           *disk
	node           *Node // nil while down
	state          appState
	confirmed      []Confirmation
	failedConfirms []uint64
	joinRequests   []Member
}

// appState is the application state: the commands applied so far.
type appState struct {
	index    uint64
	commands []string
}

// crashPoint is the point at which a process crashes while it processes a Ready.
type crashPoint int

const (
	noCrash crashPoint = iota
	crashBeforeSync
	crashAfterSync
)

// cluster drives processes over an in-memory network.
type cluster struct {
	t              testingT
	rng            *rand.Rand
	procs          map[string]*process
	hosts          []string
	network        []Message
	cutLinks       map[[2]string]bool
	checker        *checker
	snapshotEvery  uint64          // applied entries between snapshots, zero for none
	desired        []DesiredMember // control hosts that leaders add to the group
	openMembership bool            // leaders add every host that sends a join request
	// alterDurable injects a fault into the state that is synced.
	alterDurable func(p *process, d Durable) Durable
	// nextCrash crashes the next process that processes a Ready.
	nextCrash crashPoint
	// electionTicks is the minimum election timeout of the nodes.
	electionTicks int
}

func newCluster(t testingT, seed uint64, initialVoters ...string) *cluster {
	c := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), procs: map[string]*process{},
		cutLinks: map[[2]string]bool{}, checker: newChecker(), electionTicks: DefaultElectionTicks,
	}
	for _, h := range initialVoters {
		c.add(h, initialVoters)
		c.desired = append(c.desired, DesiredMember{Host: h, Voter: true})
	}
	return c
}

func (c *cluster) add(host string, initialVoters []string) *process {
	p := &process{cfg: Config{
		Host: host, Peers: slices.Clone(c.hosts), InitialVoters: initialVoters,
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

// wipeDisk replaces a host's disk by an empty one and restarts the host.
func (c *cluster) wipeDisk(host string) {
	c.procs[host].disk = c.newDisk()
	c.start(host)
}

// processReady does the pending work of a node, as its driver does.
func (c *cluster) processReady(p *process) {
	for p.node != nil && p.node.HasReady() {
		rd := p.node.Ready()
		if rd.Rejoin {
			p.cfg.Peers = p.node.Contacts()
			c.wipeDisk(p.cfg.Host)
			continue
		}
		if c.nextCrash == crashBeforeSync {
			p.node, c.nextCrash = nil, noCrash
			return
		}
		d := rd.Durable
		if c.alterDurable != nil {
			d = c.alterDurable(p, d)
		}
		p.disk.save(d)
		if c.nextCrash == crashAfterSync {
			p.node, c.nextCrash = nil, noCrash
			return
		}
		if rd.Install != nil {
			p.state = decodeState(*rd.Install)
			c.checker.checkState(p)
		}
		c.network = append(c.network, rd.Messages...)
		for _, e := range rd.Committed {
			p.apply(e)
		}
		p.confirmed = append(p.confirmed, rd.Confirmed...)
		p.failedConfirms = append(p.failedConfirms, rd.FailedConfirms...)
		p.joinRequests = rd.JoinRequests
		p.node.Advance(rd)
		c.checker.observe(c, p, rd)
		c.maybeCompact(p)
	}
}

func (c *cluster) maybeCompact(p *process) {
	st := p.node.Status()
	if c.snapshotEvery == 0 || st.Applied < st.Snapshot+c.snapshotEvery {
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
	if c.openMembership {
		p.node.SetControlHosts(len(c.hosts))
	}
	p.node.Tick()
	c.processReady(p)
	c.proposeNextChange(p)
}

// proposeNextChange proposes the next membership change, as a leader's driver does.
func (c *cluster) proposeNextChange(p *process) {
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
	c.processReady(p)
}

func (c *cluster) nextChange(p *process) (Change, bool) {
	if c.openMembership {
		return p.node.NextOpenChange()
	}
	return p.node.NextChange(c.desired)
}

// deliver passes the message at position i of the network to its receiver. With
// keep set the message stays in the network, to be delivered again.
func (c *cluster) deliver(i int, keep bool) {
	m := c.network[i]
	if !keep {
		c.network = slices.Delete(c.network, i, i+1)
	}
	p := c.procs[m.To]
	if p == nil || p.node == nil || c.cutLinks[[2]string{m.From, m.To}] {
		return
	}
	_ = p.node.Step(m) // rejected messages are part of the schedule
	c.processReady(p)
}

// round ticks every node once and delivers all messages in order.
func (c *cluster) round() {
	for _, h := range c.hosts {
		c.tick(h)
	}
	for n := 0; len(c.network) > 0 && n < 10000; n++ {
		c.deliver(0, false)
	}
}

// runUntil runs rounds until cond holds, and fails the test after 3000 of them.
func (c *cluster) runUntil(what string, cond func() bool) {
	c.t.Helper()
	for range 3000 {
		if cond() {
			return
		}
		c.round()
	}
	c.t.Fatalf("condition not reached: %s", what)
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

// propose proposes a command through the leader and runs until all running nodes
// have applied it.
func (c *cluster) propose(command string) {
	c.t.Helper()
	c.runUntil("a leader", func() bool { return c.leader() != nil })
	p := c.leader()
	if _, err := p.node.Propose([]byte(command)); err != nil {
		c.t.Fatal(err)
	}
	c.processReady(p)
	c.runUntil("applied "+command, func() bool {
		for _, q := range c.procs {
			if q.node != nil && !slices.Contains(q.state.commands, command) {
				return false
			}
		}
		return true
	})
}

// isolate cuts, or restores, all links of a host.
func (c *cluster) isolate(host string, cut bool) {
	for _, h := range c.hosts {
		c.cutLinks[[2]string{host, h}] = cut
		c.cutLinks[[2]string{h, host}] = cut
	}
}
