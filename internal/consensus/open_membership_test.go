package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// newOpenCluster starts three initial voters and other hosts that have only these
// as their peers.
func newOpenCluster(t testingT, seed uint64, others ...string) *cluster {
	initialVoters := []string{"a", "b", "c"}
	c := newCluster(t, seed)
	c.openMembership = true
	for _, h := range initialVoters {
		c.add(h, initialVoters)
	}
	for _, h := range others {
		c.joinHost(h, initialVoters)
	}
	return c
}

// joinHost adds a host that belongs to no group and has the seeds as its peers.
func (c *cluster) joinHost(host string, seeds []string) {
	p := c.add(host, nil)
	p.cfg.Peers = seeds
	c.start(host)
}

// removeHost removes a host permanently.
func (c *cluster) removeHost(host string) {
	c.stop(host)
	delete(c.procs, host)
	for i, h := range c.hosts {
		if h == host {
			c.hosts = append(c.hosts[:i:i], c.hosts[i+1:]...)
			return
		}
	}
}

// allHostsVote reports whether the members are exactly the present disks of all
// hosts, all of them voters.
func (c *cluster) allHostsVote() bool {
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

func TestOpenMembershipAddsAllControlHosts(t *testing.T) {
	c := newOpenCluster(t, 21, "d", "e")
	c.runUntil("five voters", c.allHostsVote)
	c.propose("x")
	c.requireNoViolation()
}

func TestOpenMembershipReplacesLostHost(t *testing.T) {
	for seed := range uint64(5) {
		c := newOpenCluster(t, seed, "d", "e")
		c.runUntil("five voters", c.allHostsVote)
		c.propose("x")
		removed := c.hosts[seed]
		c.removeHost(removed)
		c.joinHost("f", []string{"a", "d", "e"})
		c.runUntil("five voters again", c.allHostsVote)
		c.propose("y")
		c.requireNoViolation()
	}
}

func TestOpenMembershipRemovesOldVoterAfterReplacement(t *testing.T) {
	c := newOpenCluster(t, 23, "d", "e")
	c.runUntil("five voters", c.allHostsVote)
	c.joinHost("f", []string{"a", "b", "c"})
	c.runUntil("six voters", c.allHostsVote)
	c.removeHost("b")
	c.runUntil("five voters again", c.allHostsVote)
	c.requireNoViolation()
}

func TestOpenMembershipReplacesTwoLostDisks(t *testing.T) {
	c := newOpenCluster(t, 24, "d", "e")
	c.runUntil("five voters", c.allHostsVote)
	c.propose("x")
	c.wipeDisk("a")
	c.wipeDisk("d")
	c.runUntil("five voters by their new disks", c.allHostsVote)
	c.propose("y")
	c.requireNoViolation()
}

// All five voters restart at once, two of them with lost disks, so that each of
// the other three is needed for a quorum. Concurrent pre-votes that reject each
// other would delay the election by a further timeout.
func TestElectionAfterPowerLossWithThreeOfFiveDisks(t *testing.T) {
	const maxTicks = 40 // ticks: 0.8 s, of which the first timeout takes up to 0.36 s
	for seed := range uint64(200) {
		c := newOpenCluster(t, seed, "d", "e")
		c.runUntil("five voters", c.allHostsVote)
		c.network = nil
		for _, h := range c.hosts {
			c.start(h)
		}
		c.wipeDisk("a")
		c.wipeDisk("d")
		for n := 0; c.leader() == nil; n++ {
			if n == maxTicks {
				t.Fatalf("seed %d: no leader after %d ticks", seed, n)
			}
			c.round()
		}
	}
}

// Two of five voters are stopped for several times replaceAfterTicks. No learner
// can replace them and the number of voters is odd, so both must stay members.
func TestOpenMembershipKeepsSilentVotersWithoutReplacement(t *testing.T) {
	c := newOpenCluster(t, 25, "d", "e")
	c.runUntil("five voters", c.allHostsVote)
	c.stop("d")
	c.stop("e")
	for range 5 * replaceAfterTicks {
		c.round()
	}
	if n := c.leader().node.voterCount(); n != 5 {
		t.Fatalf("%d voters, want 5", n)
	}
	c.start("d")
	c.start("e")
	c.propose("x")
	c.requireNoViolation()
}

// TestRandomOpenMembershipSchedules adds, wipes and replaces hosts under random
// message loss, reordering, crashes and cut links. It loses at most as many disks
// as a majority of the voters tolerates.
func TestRandomOpenMembershipSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64Range(0, maxSeed).Draw(rt, "seed")
		s := newOpenSchedule(rt, seed)
		s.run(scheduleSteps)
		s.requireSafe(seed)
		s.replaceOne()
		s.run(scheduleSteps / 2)
		s.requireSafe(seed)
		s.heal()
		s.runUntil("all hosts vote", s.allHostsVote)
		s.requireSafe(seed)
	})
}

func newOpenSchedule(t testingT, seed uint64) *schedule {
	rng := rand.New(rand.NewPCG(seed, 9))
	c := newOpenCluster(t, rng.Uint64(), "d", "e")
	s := &schedule{cluster: c, eventRNG: rng}
	for range c.hosts {
		s.tickRates = append(s.tickRates, 1+rng.IntN(2))
	}
	c.snapshotEvery = uint64(5 + rng.IntN(20))
	c.runUntil("five voters", c.allHostsVote)
	return s
}

// replaceOne removes a host permanently after all faults have ended, and starts an
// empty one under another name.
func (s *schedule) replaceOne() {
	s.heal()
	s.runUntil("five voters", s.allHostsVote)
	index := s.eventRNG.IntN(len(s.hosts))
	removed := s.hosts[index]
	s.removeHost(removed)
	s.tickRates = append(s.tickRates[:index:index], s.tickRates[index+1:]...)
	s.joinHost(fmt.Sprintf("successor of %s", removed), []string{s.hosts[0], s.hosts[1], removed})
	s.tickRates = append(s.tickRates, 1)
	s.diskLost = true
}

// TestFirstCommandsSurviveLostDisks guards against a command that is acknowledged right after the first start
// of a fleet and lost, with the group, by the loss of as many disks as it has to bear (review/11).
func TestFirstCommandsSurviveLostDisks(t *testing.T) {
	for seed := range uint64(200) {
		c := newOpenCluster(t, seed, "d", "e")
		c.runUntil("a leader", func() bool { return c.leader() != nil })
		p := c.leader()
		if _, err := p.node.Propose([]byte("first")); err != nil {
			t.Fatal(err)
		}
		c.processReady(p)
		rounds := 0
		for acknowledged := false; !acknowledged; rounds++ {
			c.round()
			p := c.leader()
			acknowledged = p != nil && slices.Contains(p.state.commands, "first") && p.node.BearsLosses()
			if rounds > 50 {
				t.Fatalf("seed %d: not acknowledged after %d rounds", seed, rounds)
			}
		}
		c.network = nil
		for _, lost := range c.rng.Perm(len(c.hosts))[:2] {
			p := c.procs[c.hosts[lost]]
			p.cfg.InitialVoters, p.cfg.Peers = nil, slices.Clone(c.hosts) // as settings have it after the first start
			c.wipeDisk(p.cfg.Host)
		}
		c.runUntil("five voters by their disks", c.allHostsVote)
		c.propose("second")
		for _, p := range c.procs {
			if !slices.Contains(p.state.commands, "first") {
				t.Fatalf("seed %d: %s lacks the command that was acknowledged", seed, p.cfg.Host)
			}
		}
		c.requireNoViolation()
	}
}

// TestGroupFormsWithoutLostSeed guards against a fleet that never starts, since one of its initial voters was
// lost, or started again, before the group was formed (review/13).
func TestGroupFormsWithoutLostSeed(t *testing.T) {
	for seed := range uint64(60) {
		for _, variant := range []string{"lost", "restarted"} {
			c := newOpenCluster(t, seed, "d", "e")
			for _, p := range c.procs {
				p.cfg.FormWithoutLost = true
				c.start(p.cfg.Host)
			}
			for range seed / 6 { // up to nine rounds, in the middle of which the group is usually formed
				c.round()
			}
			lost := c.hosts[seed%3]
			if variant == "lost" {
				c.removeHost(lost)
				c.joinHost("f", []string{"a", "b", "c"})
			} else {
				c.procs[lost].cfg.InitialVoters, c.procs[lost].cfg.Peers = nil, []string{"a", "b", "c"}
				c.start(lost)
			}
			c.runUntil("five voters", c.allHostsVote)
			c.propose("x")
			c.requireNoViolation()
		}
	}
}

// TestOneGroupOfSeeds cuts links between the initial voters, one way and both ways, and loses hosts, while the
// group is formed. It guards against two groups that both accept commands.
func TestOneGroupOfSeeds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newOpenCluster(rt, rapid.Uint64().Draw(rt, "seed"), "d", "e")
		for _, p := range c.procs {
			p.cfg.FormWithoutLost = true
			c.start(p.cfg.Host)
		}
		accepted := map[uint64]bool{}
		for range rapid.IntRange(1, 12).Draw(rt, "phases") {
			for _, from := range c.hosts {
				for _, to := range c.hosts {
					c.cutLinks[[2]string{from, to}] = rapid.IntRange(0, 2).Draw(rt, "cut") == 0
				}
			}
			if rapid.IntRange(0, 3).Draw(rt, "restart") == 0 {
				p := c.procs[rapid.SampledFrom(c.hosts).Draw(rt, "restarted")]
				p.cfg.InitialVoters, p.cfg.Peers = nil, []string{"a", "b", "c"}
				c.start(p.cfg.Host)
			}
			for range rapid.IntRange(10, 150).Draw(rt, "rounds") {
				c.round()
				for _, p := range c.procs {
					if p.node.log.commit > formedIndex {
						accepted[p.node.hard.Fleet] = true
					}
				}
			}
			if len(accepted) > 1 {
				rt.Fatalf("%d groups have committed entries", len(accepted))
			}
		}
		clear(c.cutLinks)
		if !slices.ContainsFunc(c.hosts, func(h string) bool { return c.procs[h].node.hard.Fleet != 0 }) && len(accepted) == 0 {
			return // too many were started again before there was a group
		}
		if len(accepted) == 1 {
			c.runUntil("five voters", c.allHostsVote)
		}
	})
}
