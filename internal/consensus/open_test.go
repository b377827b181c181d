package consensus

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// newOpenCluster starts three founders and others who know only the founders.
func newOpenCluster(t testingT, seed uint64, others ...string) *cluster {
	founders := []string{"a", "b", "c"}
	c := newCluster(t, seed)
	c.open = true
	for _, h := range founders {
		c.add(h, founders)
	}
	for _, h := range others {
		c.join(h, founders)
	}
	return c
}

// join adds a host that belongs to no group and knows the given seeds.
func (c *cluster) join(host string, seeds []string) {
	p := c.add(host, nil)
	p.cfg.Peers = seeds
	c.start(host)
}

// remove ends a host for good.
func (c *cluster) remove(host string) {
	c.stop(host)
	delete(c.procs, host)
	for i, h := range c.hosts {
		if h == host {
			c.hosts = append(c.hosts[:i:i], c.hosts[i+1:]...)
			return
		}
	}
}

// allVote reports whether the voters are exactly the present disks of all hosts.
func (c *cluster) allVote() bool {
	p := c.leader()
	if p == nil || !p.node.changeCommitted() || len(p.node.members) != len(c.hosts) {
		return false
	}
	for _, h := range c.hosts {
		m, ok := p.node.member(c.procs[h].disk.Disk)
		if !ok || !m.Voter {
			return false
		}
	}
	return true
}

func TestAnOpenGroupGrowsToAllControlHosts(t *testing.T) {
	c := newOpenCluster(t, 21, "d", "e")
	c.until("five voters", c.allVote)
	c.propose("x")
	c.finish()
}

func TestASuccessorAtANewAddressTakesThePlace(t *testing.T) {
	for seed := range uint64(5) {
		c := newOpenCluster(t, seed, "d", "e")
		c.until("five voters", c.allVote)
		c.propose("x")
		gone := c.hosts[seed]
		c.remove(gone)
		c.join("f", []string{"a", "d", "e"})
		c.until("five voters again", c.allVote)
		c.propose("y")
		c.finish()
	}
}

func TestAnOldVoterMayLeaveAfterItsSuccessorCame(t *testing.T) {
	c := newOpenCluster(t, 23, "d", "e")
	c.until("five voters", c.allVote)
	c.join("f", []string{"a", "b", "c"})
	c.until("six voters", c.allVote)
	c.remove("b")
	c.until("five voters again", c.allVote)
	c.finish()
}

func TestTwoLostDisksAreReplaced(t *testing.T) {
	c := newOpenCluster(t, 24, "d", "e")
	c.until("five voters", c.allVote)
	c.propose("x")
	c.wipe("a")
	c.wipe("d")
	c.until("five voters by their new disks", c.allVote)
	c.propose("y")
	c.finish()
}

// TestThreeOfFiveElectSoonAfterAPowerLoss restarts all five voters at once, two
// of them with lost disks, so that every one of the others is needed.
func TestThreeOfFiveElectSoonAfterAPowerLoss(t *testing.T) {
	const most = 40 // ticks: 0.8 s, of which the first timeout takes up to 0.36 s
	for seed := range uint64(200) {
		c := newOpenCluster(t, seed, "d", "e")
		c.until("five voters", c.allVote)
		c.net = nil
		for _, h := range c.hosts {
			c.start(h)
		}
		c.wipe("a")
		c.wipe("d")
		for n := 0; c.leader() == nil; n++ {
			if n == most {
				t.Fatalf("seed %d: no leader after %d ticks", seed, n)
			}
			c.round()
		}
	}
}

// TestNobodyLosesThePlaceForASilence stops two of five voters for long: there
// is nobody to take their places.
func TestNobodyLosesThePlaceForASilence(t *testing.T) {
	c := newOpenCluster(t, 25, "d", "e")
	c.until("five voters", c.allVote)
	c.stop("d")
	c.stop("e")
	for range 5 * replaceTicks {
		c.round()
	}
	if n := c.leader().node.voters(); n != 5 {
		t.Fatalf("%d voters", n)
	}
	c.start("d")
	c.start("e")
	c.propose("x")
	c.finish()
}

// TestRandomOpenSchedules grows, wipes and replaces hosts under random loss,
// reordering, crashes and cuts. At most as many disks are lost as a majority
// bears.
func TestRandomOpenSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64Range(0, maxSeed).Draw(rt, "seed")
		s := newOpenSchedule(rt, seed)
		s.run(scheduleSteps)
		s.requireSafe(seed)
		s.replaceOne()
		s.run(scheduleSteps / 2)
		s.requireSafe(seed)
		s.heal()
		s.until("all hosts vote", s.allVote)
		s.requireSafe(seed)
	})
}

func newOpenSchedule(t testingT, seed uint64) *schedule {
	by := rand.New(rand.NewPCG(seed, 9))
	c := newOpenCluster(t, by.Uint64(), "d", "e")
	s := &schedule{cluster: c, by: by}
	for range c.hosts {
		s.speeds = append(s.speeds, 1+by.IntN(2))
	}
	c.compact = uint64(5 + by.IntN(20))
	c.until("five voters", c.allVote)
	return s
}

// replaceOne ends a host for good after the others have healed, and starts an
// empty one at another address.
func (s *schedule) replaceOne() {
	s.heal()
	s.until("five voters", s.allVote)
	at := s.by.IntN(len(s.hosts))
	gone := s.hosts[at]
	s.remove(gone)
	s.speeds = append(s.speeds[:at:at], s.speeds[at+1:]...)
	s.join(fmt.Sprintf("successor of %s", gone), []string{s.hosts[0], s.hosts[1], gone})
	s.speeds = append(s.speeds, 1)
	s.wiped = true
}
