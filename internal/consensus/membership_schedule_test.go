package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// maxLost is the number of hosts that may be lost at the same time.
const maxLost = 2

// membershipSchedule plays joins, leaves, losses and outages of hosts in random order, with at most
// maxLost hosts lost at a time: a host is lost while it is down or cut off, and for catchUpTicks
// after it is back or has started.
type membershipSchedule struct {
	*cluster
	rng  *rand.Rand
	now  int
	next int // number of the next new host
	// pending are actions by the tick at which they are due.
	pending map[int][]func()
	// lostUntil is the tick until which a host counts as lost, by host. gone holds the same for
	// hosts that were removed before a successor had caught up.
	lostUntil map[string]int
	gone      []int
	// lossless ends the time in which no disk may be lost, since more hosts than maxLost are down.
	lossless int
}

func newMembershipSchedule(t testingT, seed uint64) *membershipSchedule {
	rng := rand.New(rand.NewPCG(seed, 11))
	c := newOpenCluster(t, rng.Uint64(), "d", "e")
	c.snapshotEvery = uint64(5 + rng.IntN(20))
	c.runUntil("five voters", c.allHostsVote)
	return &membershipSchedule{cluster: c, rng: rng, pending: map[int][]func(){}, lostUntil: map[string]int{}}
}

func (s *membershipSchedule) after(ticks int, action func()) {
	due := s.now + max(1, ticks)
	s.pending[due] = append(s.pending[due], action)
}

func (s *membershipSchedule) lost() int {
	count := 0
	for _, until := range s.lostUntil {
		if until > s.now {
			count++
		}
	}
	for _, until := range s.gone {
		if until > s.now {
			count++
		}
	}
	return count
}

// idle reports whether a host is there and not lost.
func (s *membershipSchedule) idle(host string) bool {
	return s.procs[host] != nil && s.lostUntil[host] <= s.now
}

func (s *membershipSchedule) anyIdle() string {
	var idle []string
	for _, h := range s.hosts {
		if s.idle(h) {
			idle = append(idle, h)
		}
	}
	if len(idle) == 0 {
		return ""
	}
	return idle[s.rng.IntN(len(idle))]
}

// join starts a new host with seeds that serve now.
func (s *membershipSchedule) join() string {
	s.next++
	host := fmt.Sprintf("n%02d", s.next)
	s.joinHost(host, s.seeds())
	s.procs[host].cfg.ToleratedLosses = maxLost + s.rng.IntN(2) // one more than the hosts can bear
	s.start(host)
	s.lostUntil[host] = s.now + catchUpTicks
	return host
}

// leaveNow stops a host for good. The rounds that it waits count as time.
func (s *membershipSchedule) leaveNow(host string) {
	p := s.procs[host]
	if p == nil || p.node == nil {
		return
	}
	p.node.Leave()
	for n := 0; n < stopTicks && p.node != nil && !p.node.MayStop(); n++ {
		s.advance()
	}
	if s.procs[host] == nil {
		return // removed by another event meanwhile
	}
	s.removeHost(host)
	delete(s.lostUntil, host)
}

// event begins a random event that the losses under way allow.
func (s *membershipSchedule) event() {
	host := s.anyIdle()
	mayLose := s.lost() < maxLost && host != ""
	mayLoseDisk := mayLose && s.now >= s.lossless
	switch k := s.rng.IntN(10); {
	case k < 3 && mayLose: // planned replacement
		s.join()
		s.after(catchUpTicks+1, func() {
			if s.idle(host) {
				s.leaveNow(host)
			}
		})
	case k == 3 && mayLoseDisk: // removed for good, with a successor
		s.removeHost(host)
		delete(s.lostUntil, host)
		delay := s.rng.IntN(150)
		s.gone = append(s.gone, s.now+delay+catchUpTicks)
		s.after(delay, func() { s.join() })
	case k == 4 && mayLoseDisk: // lost disk
		s.stop(host)
		s.replaceDisk(host)
		s.outage(host, s.rng.IntN(50))
	case k < 7 && mayLose: // without power
		s.stop(host)
		s.outage(host, s.rng.IntN(350))
	case k == 7 && mayLose: // cut off
		s.isolate(host, true)
		delay := s.rng.IntN(200)
		s.lostUntil[host] = s.now + delay + catchUpTicks
		s.after(delay, func() { clear(s.cutLinks) })
	case k == 8: // the leader's process, or all processes, are killed
		s.killSome()
	case k == 9 && s.lost() == 0: // split in two
		half := slices.Clone(s.hosts)[:len(s.hosts)/2]
		for _, a := range s.hosts {
			for _, b := range s.hosts {
				if slices.Contains(half, a) != slices.Contains(half, b) {
					s.cutLinks[[2]string{a, b}] = true
				}
			}
		}
		delay := s.rng.IntN(300)
		s.lossless = s.now + delay + catchUpTicks
		s.after(delay, func() { clear(s.cutLinks) })
	}
}

// outage starts a stopped host again after a delay.
func (s *membershipSchedule) outage(host string, delay int) {
	s.lostUntil[host] = s.now + delay + catchUpTicks
	s.after(delay, func() {
		if s.procs[host] != nil {
			s.start(host)
		}
	})
}

// killSome ends the leader's process, or all that run; they start again within a second.
func (s *membershipSchedule) killSome() {
	victims := slices.Clone(s.hosts)
	if s.rng.IntN(3) > 0 {
		p := s.leader()
		if p == nil || !s.idle(p.cfg.Host) || s.lost() >= maxLost {
			return
		}
		victims = []string{p.cfg.Host}
	}
	for _, h := range victims {
		if s.procs[h].node == nil {
			continue
		}
		s.stop(h)
		s.outage(h, 1+s.rng.IntN(50))
	}
	if len(victims) > 1 {
		s.lossless = s.now + 50 + catchUpTicks
	}
}

// advance lets one tick pass, with one lost message in 50.
func (s *membershipSchedule) advance() {
	s.now++
	due := s.pending[s.now]
	delete(s.pending, s.now)
	for _, action := range due {
		action() // may advance the time itself
	}
	for _, h := range slices.Clone(s.hosts) {
		if s.procs[h] != nil {
			s.tick(h)
		}
	}
	for n := 0; len(s.network) > 0 && n < 10000; n++ {
		if s.rng.IntN(50) == 0 {
			s.network = s.network[1:]
			continue
		}
		s.deliver(0, false)
	}
	if s.rng.IntN(20) == 0 {
		if p := s.leader(); p != nil {
			_, _ = p.node.Propose([]byte(fmt.Sprintf("command %d", s.now))) // rejected during a transfer
			s.processReady(p)
		}
	}
}

// run plays events, then lets those under way end, and checks the calm after them.
func (s *membershipSchedule) run(events int) string {
	for range events {
		s.event()
		for range s.rng.IntN(150) {
			s.advance()
		}
	}
	for len(s.pending) > 0 {
		s.advance()
	}
	for range calmTicks {
		s.advance()
	}
	if s.checker.violation != "" {
		return s.checker.violation
	}
	if !s.allHostsVote() {
		if s.leader() == nil {
			return "no leader"
		}
		return fmt.Sprintf("members %+v, hosts %v", s.leader().node.members, s.hosts)
	}
	return ""
}

// TestMembershipInCalmAfterAnyOrder checks that after joins, leaves, losses and outages in any order
// the voters are exactly the hosts that run, whoever leads, and that two disks may then be lost.
func TestMembershipInCalmAfterAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64Range(0, maxSeed).Draw(rt, "seed")
		s := newMembershipSchedule(rt, seed)
		if fault := s.run(10); fault != "" {
			rt.Fatalf("seed %d: %s", seed, fault)
		}
		s.requireTwoLossesTolerated()
		if s.checker.violation != "" {
			rt.Fatalf("seed %d: %s", seed, s.checker.violation)
		}
	})
}
