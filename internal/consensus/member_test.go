package consensus

import (
	"fmt"
	"strings"
	"testing"
)

// membershipSettled reports whether the leader's membership consists of exactly
// the desired members by their present disks, with no change in progress.
func (c *cluster) membershipSettled() bool {
	p := c.leader()
	if p == nil || !p.node.changeCommitted() || len(p.node.members) != len(c.desired) {
		return false
	}
	for _, want := range c.desired {
		m, ok := p.node.member(c.procs[want.Host].disk.Disk)
		if !ok || m.Host != want.Host || m.Voter != want.Voter {
			return false
		}
	}
	return true
}

// nonLeader returns a host that is not the leader.
func (c *cluster) nonLeader() string {
	for _, h := range c.hosts {
		if c.leader().cfg.Host != h {
			return h
		}
	}
	return ""
}

func TestLostDiskIsReplaced(t *testing.T) {
	c := newCluster(t, 11, "a", "b", "c")
	c.snapshotEvery = 8
	for i := range 20 {
		c.propose(fmt.Sprint(i))
	}
	lost := c.nonLeader()
	formerDisk := c.procs[lost].disk.Disk
	c.wipeDisk(lost)
	c.runUntil("the new disk votes", c.membershipSettled)
	if _, still := c.leader().node.member(formerDisk); still {
		t.Fatal("the lost disk is still a member")
	}
	c.propose("after")
	if got := len(c.procs[lost].state.commands); got != 21 {
		t.Fatalf("%d commands on the new disk, want 21", got)
	}
	c.requireNoViolation()
}

// A host that lost its disk may have voted in a term that it no longer records. A
// vote request addressed to its former disk identity must get no response, or the
// host could vote twice in that term.
func TestVoteRequestForFormerDiskIsRefused(t *testing.T) {
	c := newCluster(t, 12, "a", "b", "c")
	c.propose("x")
	lost := c.nonLeader()
	p := c.leader()
	vote := Message{
		Kind: KindVote, From: p.cfg.Host, FromDisk: p.node.disk, To: lost, ToDisk: c.procs[lost].disk.Disk,
		Fleet: p.node.hard.Fleet, Term: p.node.hard.Term + 1, Boots: 1, Index: 99, LogTerm: 99, Force: true,
	}
	c.wipeDisk(lost)
	if err := c.procs[lost].node.Step(vote); err == nil {
		t.Fatal("the vote request for the former disk was accepted")
	}
	if c.procs[lost].node.HasReady() {
		t.Fatalf("the node responded with %+v", c.procs[lost].node.Ready())
	}
}

func TestNewHostsJoinAsLearnerAndVoter(t *testing.T) {
	c := newCluster(t, 13, "a", "b", "c")
	c.snapshotEvery = 8
	for i := range 30 {
		c.propose(strings.Repeat("x", 100) + fmt.Sprint(i)) // a snapshot of many chunks
	}
	c.desired = append(c.desired, DesiredMember{Host: "d", Voter: true}, DesiredMember{Host: "relay"})
	c.add("d", nil)
	c.add("relay", nil)
	c.runUntil("the new hosts are members", c.membershipSettled)
	c.propose("after")
	if got := len(c.procs["relay"].state.commands); got != 31 {
		t.Fatalf("%d commands on the learner, want 31", got)
	}
	if c.procs["relay"].disk.Snapshot.Index <= 1 {
		t.Fatal("the learner got no snapshot")
	}
	c.requireNoViolation()
}

func TestTransferLeadershipElectsTarget(t *testing.T) {
	c := newCluster(t, 14, "a", "b", "c")
	c.propose("x")
	to := c.nonLeader()
	p := c.leader()
	if err := p.node.TransferLeadership(to); err != nil {
		t.Fatal(err)
	}
	c.processReady(p)
	for range 3 {
		c.round()
	}
	if c.leader().cfg.Host != to {
		t.Fatalf("the leader is %s after a transfer to %s", c.leader().cfg.Host, to)
	}
	c.requireNoViolation()
}

// The data folder of a follower is restored from a copy that lacks entries which
// the follower acknowledged to the present leader. Used as it is, a committed
// entry could be missing from a majority of the voters.
func TestRestoredCopyInSameTermRejoins(t *testing.T) {
	c := newCluster(t, 15, "a", "b", "c")
	c.propose("x")
	host := c.nonLeader()
	copied := c.procs[host].disk.clone()
	c.propose("y")
	c.procs[host].disk = copied
	c.start(host)
	c.runUntil("the folder is replaced", func() bool {
		return c.procs[host].disk.Disk != copied.Disk && c.membershipSettled()
	})
	c.propose("z")
	c.requireNoViolation()
}

// The data folder of a host is restored from a copy older than the last election,
// and all hosts restart, so that no leader holds its progress. The synced records
// of its peers must detect the copy.
func TestRestoredCopyFromEarlierTermRejoins(t *testing.T) {
	c := newCluster(t, 16, "a", "b", "c")
	c.propose("x")
	host := c.nonLeader()
	copied := c.procs[host].disk.clone()
	old := c.leader().cfg.Host
	c.stop(old)
	c.runUntil("another leader", func() bool { return c.leader() != nil })
	c.start(old)
	c.propose("y")
	for _, h := range c.hosts {
		c.stop(h)
	}
	c.procs[host].disk = copied
	for _, h := range c.hosts {
		c.start(h)
	}
	c.runUntil("the folder is replaced", func() bool {
		return c.procs[host].disk.Disk != copied.Disk && c.membershipSettled()
	})
	c.propose("z")
	c.requireNoViolation()
}

func TestRemovedVoterRejoins(t *testing.T) {
	c := newCluster(t, 17, "a", "b", "c")
	c.propose("x")
	host := c.nonLeader()
	removedDisk := c.procs[host].disk.Disk
	c.stop(host)
	c.desired = nil
	p := c.leader()
	m, _ := p.node.member(removedDisk)
	if _, err := p.node.ProposeChange(Change{Kind: Remove, Member: m}); err != nil {
		t.Fatal(err)
	}
	c.processReady(p)
	c.runUntil("the removal is committed", p.node.changeCommitted)
	c.start(host)
	c.runUntil("the folder is replaced", func() bool { return c.procs[host].disk.Disk != removedDisk })
	c.requireNoViolation()
}
