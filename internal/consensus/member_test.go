package consensus

import (
	"fmt"
	"strings"
	"testing"
)

// voters reports whether exactly the wanted voters, by their present disks,
// form the membership that the leader sees.
func (c *cluster) settled() bool {
	p := c.leader()
	if p == nil || !p.node.changeCommitted() || len(p.node.members) != len(c.wanted) {
		return false
	}
	for _, w := range c.wanted {
		m, ok := p.node.member(c.procs[w.Host].disk.Disk)
		if !ok || m.Host != w.Host || m.Voter != w.Voter {
			return false
		}
	}
	return true
}

// other returns a host that does not lead.
func (c *cluster) other() string {
	for _, h := range c.hosts {
		if c.leader().cfg.Host != h {
			return h
		}
	}
	return ""
}

func TestLostDiskIsReplaced(t *testing.T) {
	c := newCluster(t, 11, "a", "b", "c")
	c.compact = 8
	for i := range 20 {
		c.propose(fmt.Sprint(i))
	}
	lost := c.other()
	before := c.procs[lost].disk.Disk
	c.wipe(lost)
	c.until("the new disk votes", c.settled)
	if _, still := c.leader().node.member(before); still {
		t.Fatal("the lost disk is still a member")
	}
	c.propose("after")
	if got := len(c.procs[lost].state.commands); got != 21 {
		t.Fatalf("%d commands on the new disk", got)
	}
	c.finish()
}

// TestEmptyDiskDoesNotVoteAsBefore asks a host with a new disk for the vote of
// its former disk.
func TestEmptyDiskDoesNotVoteAsBefore(t *testing.T) {
	c := newCluster(t, 12, "a", "b", "c")
	c.propose("x")
	lost := c.other()
	p := c.leader()
	vote := Message{
		Kind: KindVote, From: p.cfg.Host, FromDisk: p.node.disk, To: lost, ToDisk: c.procs[lost].disk.Disk,
		Fleet: p.node.hard.Fleet, Term: p.node.hard.Term + 1, Boots: 1, Index: 99, LogTerm: 99, Force: true,
	}
	c.wipe(lost)
	if err := c.procs[lost].node.Step(vote); err == nil {
		t.Fatal("the vote request for the former disk was accepted")
	}
	if c.procs[lost].node.HasReady() {
		t.Fatalf("it was answered by %+v", c.procs[lost].node.Ready())
	}
}

func TestNewHostsJoinAsLearnerAndVoter(t *testing.T) {
	c := newCluster(t, 13, "a", "b", "c")
	c.compact = 8
	for i := range 30 {
		c.propose(strings.Repeat("x", 100) + fmt.Sprint(i)) // a snapshot of many chunks
	}
	c.wanted = append(c.wanted, DesiredMember{Host: "d", Voter: true}, DesiredMember{Host: "relay"})
	c.add("d", nil)
	c.add("relay", nil)
	c.until("the new hosts are members", c.settled)
	c.propose("after")
	if got := len(c.procs["relay"].state.commands); got != 31 {
		t.Fatalf("%d commands on the learner", got)
	}
	if c.procs["relay"].disk.Snapshot.Index <= 1 {
		t.Fatal("the learner got no snapshot")
	}
	c.finish()
}

func TestHandOver(t *testing.T) {
	c := newCluster(t, 14, "a", "b", "c")
	c.propose("x")
	to := c.other()
	p := c.leader()
	if err := p.node.TransferLeadership(to); err != nil {
		t.Fatal(err)
	}
	c.handle(p)
	for range 3 {
		c.round()
	}
	if c.leader().cfg.Host != to {
		t.Fatalf("the leader is %s after a hand-over to %s", c.leader().cfg.Host, to)
	}
	c.finish()
}

// TestOlderCopyInSameTermRejoins restores the data folder of a follower from a
// copy that lacks entries which it acknowledged to the present leader.
func TestOlderCopyInSameTermRejoins(t *testing.T) {
	c := newCluster(t, 15, "a", "b", "c")
	c.propose("x")
	host := c.other()
	copied := c.procs[host].disk.clone()
	c.propose("y")
	c.procs[host].disk = copied
	c.start(host)
	c.until("the folder is replaced", func() bool {
		return c.procs[host].disk.Disk != copied.Disk && c.settled()
	})
	c.propose("z")
	c.finish()
}

// TestOlderCopyFromEarlierTermRejoins restores a copy from before an election
// after all hosts have restarted.
func TestOlderCopyFromEarlierTermRejoins(t *testing.T) {
	c := newCluster(t, 16, "a", "b", "c")
	c.propose("x")
	host := c.other()
	copied := c.procs[host].disk.clone()
	old := c.leader().cfg.Host
	c.stop(old)
	c.until("another leader", func() bool { return c.leader() != nil })
	c.start(old)
	c.propose("y")
	for _, h := range c.hosts {
		c.stop(h)
	}
	c.procs[host].disk = copied
	for _, h := range c.hosts {
		c.start(h)
	}
	c.until("the folder is replaced", func() bool {
		return c.procs[host].disk.Disk != copied.Disk && c.settled()
	})
	c.propose("z")
	c.finish()
}

func TestRemovedVoterIsToldToRejoin(t *testing.T) {
	c := newCluster(t, 17, "a", "b", "c")
	c.propose("x")
	host := c.other()
	gone := c.procs[host].disk.Disk
	c.stop(host)
	c.wanted = nil
	p := c.leader()
	m, _ := p.node.member(gone)
	if _, err := p.node.ProposeChange(Change{Kind: Remove, Member: m}); err != nil {
		t.Fatal(err)
	}
	c.handle(p)
	c.until("the removal is committed", p.node.changeCommitted)
	c.start(host)
	c.until("the folder is replaced", func() bool { return c.procs[host].disk.Disk != gone })
	c.finish()
}
