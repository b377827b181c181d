package consensus

import (
	"fmt"
	"slices"
	"testing"
)

const (
	// catchUpTicks is the time for which a host counts as lost after it has started or is back.
	catchUpTicks = 200 // 4 s
	// calmTicks is the time after the last event within which every running host votes: the
	// time until a host without a leader asks to join, an election and replaceAfterTicks twice, as
	// the leader may change once meanwhile.
	calmTicks = 400 // 8 s
	// stopTicks bounds the time that a stopping process waits for MayStop.
	stopTicks = 25 // 0.5 s
)

// leave stops a host for good, as a process does that gets a termination signal.
func (c *cluster) leave(host string) {
	p := c.procs[host]
	p.node.Leave()
	for n := 0; n < stopTicks && p.node != nil && !p.node.MayStop(); n++ {
		c.round()
	}
	c.removeHost(host)
}

// replaceDisk replaces the disk of a host, whose settings then name three hosts that serve now.
func (c *cluster) replaceDisk(host string) {
	p := c.procs[host]
	p.disk = c.newDisk()
	p.cfg.InitialVoters, p.cfg.Peers = nil, c.seeds()
}

// seeds returns three hosts.
func (c *cluster) seeds() []string {
	seeds := slices.Clone(c.hosts)
	c.rng.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return seeds[:3]
}

func (c *cluster) rounds(count int) {
	for range count {
		c.round()
	}
}

// requireTwoLossesTolerated lets all hosts lose power and two of them their disks, and requires that
// the others go on with all that was committed.
func (c *cluster) requireTwoLossesTolerated() {
	c.t.Helper()
	c.propose("acknowledged")
	c.network = nil
	for _, h := range c.hosts {
		c.stop(h)
	}
	first := c.rng.IntN(len(c.hosts))
	second := (first + 1 + c.rng.IntN(len(c.hosts)-1)) % len(c.hosts)
	for i, h := range c.hosts {
		if i == first || i == second {
			c.replaceDisk(h)
		}
		c.start(h)
	}
	c.runUntil("the loss of two disks is borne", func() bool { return c.leader() != nil && c.allHostsVote() })
	c.propose("after the loss")
	for _, h := range c.hosts {
		if !slices.Contains(c.procs[h].state.commands, "acknowledged") {
			c.t.Fatalf("%s lacks the acknowledged command", h)
		}
	}
}

// requireRecoveredInCalm requires that after some calm the voters are the hosts that run, and that two
// losses are then tolerated.
func (c *cluster) requireRecoveredInCalm(play string) {
	c.t.Helper()
	c.rounds(calmTicks)
	if !c.allHostsVote() {
		c.t.Fatalf("%s: members %+v, hosts %v", play, c.leader().node.members, c.hosts)
	}
	c.requireTwoLossesTolerated()
	c.requireNoViolation()
}

// Two planned replacements that overlap left seven voters, two of them gone for good: of an odd
// number no silent voter was removed, and the loss of two more disks ended the group.
func TestOverlappingReplacementsLeaveNoSilentVoter(t *testing.T) {
	for _, gap := range []int{0, 25, 50, 150, 300} {
		for seed := range uint64(5) {
			c := newOpenCluster(t, seed, "d", "e")
			c.runUntil("five voters", c.allHostsVote)
			c.joinHost("f", []string{"a", "b", "c"})
			c.rounds(gap)
			c.joinHost("g", []string{"a", "b", "c"})
			c.rounds(catchUpTicks - min(gap, catchUpTicks))
			c.leave("a")
			c.rounds(gap)
			c.leave("b")
			c.requireRecoveredInCalm(fmt.Sprintf("gap %d, seed %d", gap, seed))
		}
	}
}

// Hosts that are removed without a signal are as many silent voters.
func TestLostHostsWithSuccessorsLeaveNoSilentVoter(t *testing.T) {
	for _, delay := range []int{10, 50, 100, 150} {
		c := newOpenCluster(t, uint64(delay), "d", "e")
		c.runUntil("five voters", c.allHostsVote)
		c.removeHost("a")
		c.removeHost("d")
		c.rounds(delay)
		c.joinHost("f", []string{"a", "b", "c"})
		c.joinHost("g", []string{"a", "b", "c"})
		c.requireRecoveredInCalm(fmt.Sprintf("delay %d", delay))
	}
}

// The loss of two disks right after a host has left was fatal while that host still counted as a
// voter of six.
func TestLossRightAfterDepartureIsTolerated(t *testing.T) {
	for seed := range uint64(10) {
		c := newOpenCluster(t, seed, "d", "e")
		c.runUntil("five voters", c.allHostsVote)
		c.joinHost("f", []string{"a", "b", "c"})
		c.rounds(catchUpTicks)
		leaving := c.hosts[int(seed)%5]
		if seed >= 5 {
			leaving = c.leader().cfg.Host
		}
		c.leave(leaving)
		c.requireTwoLossesTolerated()
		c.requireNoViolation()
	}
}

// A voter of a group that has no more than it needs keeps its place while it restarts.
func TestStoppingVoterIsKeptWhereItIsNeeded(t *testing.T) {
	c := newOpenCluster(t, 31, "d", "e")
	c.runUntil("five voters", c.allHostsVote)
	disk := c.procs["d"].disk.Disk
	c.procs["d"].node.Leave()
	if !c.procs["d"].node.MayStop() {
		t.Fatal("a voter that cannot be spared waits before it stops")
	}
	c.stop("d")
	c.rounds(5 * replaceAfterTicks)
	if m, ok := c.leader().node.member(disk); !ok || !m.Voter {
		t.Fatal("the voter was removed")
	}
	c.start("d")
	c.propose("x")
	c.requireNoViolation()
}

// A leader of an earlier version ignores the announcement; the process then stops when its time is
// over, and the group finds it silent.
func TestDepartureIgnoredByLeaderEndsAsSilence(t *testing.T) {
	c := newOpenCluster(t, 32, "d", "e", "f")
	c.runUntil("six voters", c.allHostsVote)
	leaving := "d"
	if c.leader().cfg.Host == leaving {
		leaving = "e"
	}
	p := c.procs[leaving]
	p.node.Leave()
	for range stopTicks {
		c.network = slices.DeleteFunc(c.network, func(m Message) bool { return m.Kind == KindLeave })
		c.round()
	}
	if p.node.MayStop() {
		t.Fatal("the leader got the announcement")
	}
	c.removeHost(leaving)
	c.rounds(calmTicks)
	if !c.allHostsVote() {
		t.Fatalf("members %+v, hosts %v", c.leader().node.members, c.hosts)
	}
}

// A new leader took the former disk of a host for active, and promoted the host's new disk beside it.
func TestLostDiskIsReplacedAfterChangeOfLeader(t *testing.T) {
	for seed := range uint64(20) {
		c := newOpenCluster(t, seed, "d", "e")
		c.runUntil("five voters", c.allHostsVote)
		wiped := "d"
		if c.leader().cfg.Host == wiped {
			wiped = "e"
		}
		c.wipeDisk(wiped)
		c.runUntil("the new disk is a learner", func() bool {
			p := c.leader()
			if p == nil {
				return false
			}
			_, member := p.node.member(c.procs[wiped].disk.Disk)
			return member && p.node.changeCommitted()
		})
		c.stop(c.leader().cfg.Host)
		for n := 0; n < calmTicks; n++ {
			c.round()
			p := c.leader()
			if p == nil {
				continue
			}
			count := 0
			for _, m := range p.node.membersOf(wiped) {
				if m.Voter {
					count++
				}
			}
			if count > 1 {
				t.Fatalf("seed %d: %s votes with two disks", seed, wiped)
			}
		}
	}
}

// A host whose settings name more losses than the fleet's hosts can bear led the group, and kept voters
// that had left (review/7, where a host that is added counts those that have left as well).
func TestMoreLossesThanHostsCanBearKeepNoSilentVoter(t *testing.T) {
	for _, tolerated := range []int{3, 10} {
		c := newOpenCluster(t, uint64(tolerated), "d", "e")
		c.runUntil("five voters", c.allHostsVote)
		for _, h := range c.hosts {
			c.procs[h].cfg.ToleratedLosses = tolerated
			c.start(h)
		}
		c.joinHost("f", []string{"a", "b", "c"})
		c.rounds(catchUpTicks)
		c.removeHost("a")
		c.requireRecoveredInCalm(fmt.Sprintf("tolerated %d", tolerated))
	}
}

// A group of seven hosts that must bear three losses keeps seven voters.
func TestLargerGroupKeepsTheVotersThatItNeeds(t *testing.T) {
	c := newOpenCluster(t, 34, "d", "e", "f", "g")
	for _, h := range c.hosts {
		c.procs[h].cfg.ToleratedLosses = 3
		c.start(h)
	}
	c.runUntil("seven voters", c.allHostsVote)
	c.stop("f")
	c.stop("g")
	c.rounds(5 * replaceAfterTicks)
	if n := c.leader().node.voterCount(); n != 7 {
		t.Fatalf("%d voters, want 7", n)
	}
}

// A voter that was replaced while it was down asked for votes and was rejected without a word: the
// leader that had joined meanwhile and the returned voter did not know each other.
func TestVoterReplacedWhileDownRejoinsUnderUnknownLeader(t *testing.T) {
	for seed := range uint64(10) {
		c := newOpenCluster(t, seed, "d", "e")
		c.runUntil("five voters", c.allHostsVote)
		down := "d"
		if c.leader().cfg.Host == down {
			down = "e"
		}
		c.stop(down)
		c.rounds(replaceAfterTicks)
		c.joinHost("f", []string{"a", "b", "c"})
		c.rounds(catchUpTicks)
		former := c.leader().cfg.Host
		for c.leader() == nil || c.leader().cfg.Host != "f" {
			if p := c.leader(); p != nil {
				_ = p.node.TransferLeadership("f")
				c.processReady(p)
			}
			c.round()
		}
		c.leave(former)
		c.start(down)
		c.requireRecoveredInCalm(fmt.Sprintf("seed %d", seed))
	}
}

// A voter without a leader asks hosts that may be outside the group as well. Their answers do not
// hide the leader that another host knows.
func TestOutsideHostsDoNotHideTheLeader(t *testing.T) {
	c := newOpenCluster(t, 33, "d", "e")
	c.runUntil("five voters", c.allHostsVote)
	n := c.procs["a"].node
	n.handleJoinResponse(&Message{ToDisk: n.disk, Leader: "f"})
	n.handleJoinResponse(&Message{ToDisk: n.disk})
	if n.bootstrap.leader != "f" {
		t.Fatalf("leader %q, want f", n.bootstrap.leader)
	}
	outside := c.procs["b"].node
	for range 2 * outside.cfg.ElectionTicks {
		outside.Tick()
	}
	if leader := outside.liveLeader(); leader != "" {
		t.Fatalf("a host without a leader names %q", leader)
	}
}
