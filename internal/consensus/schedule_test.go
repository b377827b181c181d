package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// schedule runs random events on a cluster.
type schedule struct {
	*cluster
	eventRNG     *rand.Rand
	tickRates    []int // relative tick rate per host
	confirmCalls uint64
	proposals    int
	diskLost     bool
	// confirmWithoutRound injects a leader that confirms without a heartbeat round.
	confirmWithoutRound bool
	// keepDiskIdentity injects a lost disk that keeps its former identity.
	keepDiskIdentity bool
	// votedHost is a host that granted its vote in this step.
	votedHost string
}

const (
	scheduleSteps = 800
	// schedulesPerCheck is the number of schedules with consecutive seeds in
	// one check of rapid, which makes 100 checks by default.
	schedulesPerCheck  = 5
	maxNetworkMessages = 60 // in flight; older ones are lost
	maxSeed            = 1 << 40
	reorderWindow      = 20 // messages that may overtake each other
)

func newSchedule(t testingT, seed uint64) *schedule {
	rng := rand.New(rand.NewPCG(seed, 7))
	c := newCluster(t, rng.Uint64())
	c.electionTicks = []int{2, 5}[rng.IntN(2)]
	initialVoters := []string{"a", "b", "c", "d", "e"}[:3+rng.IntN(3)]
	s := &schedule{cluster: c, eventRNG: rng}
	for _, h := range initialVoters {
		c.add(h, initialVoters)
		c.desired = append(c.desired, DesiredMember{Host: h, Voter: true})
		s.tickRates = append(s.tickRates, 1+rng.IntN(2))
	}
	c.snapshotEvery = uint64(5 + rng.IntN(20))
	return s
}

func (s *schedule) run(steps int) {
	for range 12 { // enough for the group to form
		s.round()
	}
	for i := 0; i < steps && s.checker.violation == ""; i++ {
		s.step()
		if s.votedHost != "" {
			s.start(s.votedHost)
			s.votedHost = ""
		}
	}
}

// step performs one random event.
func (s *schedule) step() {
	switch k := s.eventRNG.IntN(100); {
	case k < 65:
		s.stepDeliver()
	case k < 83:
		s.stepTick()
	case k < 89:
		s.stepPropose()
	case k < 92:
		s.stepConfirm()
	case k < 94:
		s.nextCrash = crashPoint(s.eventRNG.IntN(3))
		s.stepDeliver()
		s.nextCrash = noCrash
	case k < 97:
		s.stepStart()
		if s.electionTicks < 5 {
			s.stepStart()
		}
	case k < 99:
		s.stepCut()
	default:
		s.stepRare()
	}
}

func (s *schedule) host() string { return s.hosts[s.eventRNG.IntN(len(s.hosts))] }

// stepDeliver delivers some random messages, and drops or duplicates a few.
func (s *schedule) stepDeliver() {
	if len(s.network) > maxNetworkMessages {
		s.network = slices.Delete(s.network, 0, len(s.network)-maxNetworkMessages)
	}
	for range 1 + s.eventRNG.IntN(6) {
		if len(s.network) == 0 {
			return
		}
		i := s.eventRNG.IntN(min(len(s.network), reorderWindow))
		switch s.eventRNG.IntN(15) {
		case 0:
			s.network = slices.Delete(s.network, i, i+1)
		case 1:
			s.deliver(i, true)
		default:
			s.deliver(i, false)
		}
	}
}

// stepTick ticks a host as often as its tick rate requires.
func (s *schedule) stepTick() {
	index := s.eventRNG.IntN(len(s.hosts))
	for range s.tickRates[index] {
		s.tick(s.hosts[index])
	}
}

func (s *schedule) stepPropose() {
	p := s.procs[s.host()]
	if p.node == nil || p.node.role != Leader {
		p = s.leader()
	}
	if p == nil {
		return
	}
	s.proposals++
	_, _ = p.node.Propose(fmt.Appendf(nil, "command %d", s.proposals)) // rejected during a leadership transfer
	s.processReady(p)
}

func (s *schedule) stepConfirm() {
	for _, h := range s.hosts {
		p := s.procs[h]
		if p.node == nil || p.node.role != Leader {
			continue
		}
		s.confirmCalls++
		s.checker.commitAtCall[s.confirmCalls] = s.checker.maxCommit
		if s.confirmWithoutRound {
			s.checker.checkRead(Confirmation{ID: s.confirmCalls, Index: p.node.log.commit})
		}
		if err := p.node.ConfirmQuorum(s.confirmCalls); err != nil {
			s.t.Fatal(err)
		}
		s.processReady(p)
	}
}

// stepStart starts a host that is down, or restarts one that is up.
func (s *schedule) stepStart() {
	if h := s.host(); s.procs[h].node == nil || s.eventRNG.IntN(2) == 0 {
		s.start(h)
	}
}

func (s *schedule) stepCut() {
	if s.eventRNG.IntN(3) > 0 {
		clear(s.cutLinks)
		return
	}
	a, b := s.host(), s.host()
	if s.eventRNG.IntN(2) == 0 {
		s.cutLinks[[2]string{a, b}] = true
		return
	}
	s.isolate(a, true)
}

// stepRare stops a host, transfers the leadership, or, once per schedule, loses a
// host's disk.
func (s *schedule) stepRare() {
	h := s.host()
	if s.eventRNG.IntN(2) == 0 {
		s.stop(h)
		return
	}
	if p := s.leader(); p != nil && s.eventRNG.IntN(2) == 0 {
		_ = p.node.TransferLeadership(h) // rejected when h is no other voter
		s.processReady(p)
		return
	}
	if !s.diskLost {
		s.diskLost = true
		s.loseDisk(h)
	}
}

func (s *schedule) loseDisk(host string) {
	id, boots := s.procs[host].disk.Disk, s.procs[host].disk.Boots
	s.wipeDisk(host)
	if s.keepDiskIdentity {
		s.procs[host].disk.Disk, s.procs[host].disk.Boots = id, boots
		s.start(host)
	}
}

// heal ends all faults and waits until every host has applied a new command and
// is a voter.
func (s *schedule) heal() {
	clear(s.cutLinks)
	for _, h := range s.hosts {
		if s.procs[h].node == nil {
			s.start(h)
		}
	}
	s.runUntil("a command applied after healing", func() bool {
		p := s.leader()
		if p == nil {
			return false
		}
		_, err := p.node.Propose([]byte("healed"))
		s.processReady(p)
		return err == nil && s.allApplied("healed")
	})
	s.runUntil("every host votes again", func() bool {
		for _, h := range s.hosts {
			if !s.procs[h].node.isVoter() {
				return false
			}
		}
		return true
	})
}

func (s *schedule) allApplied(command string) bool {
	for _, p := range s.procs {
		if !slices.Contains(p.state.commands, command) {
			return false
		}
	}
	return true
}

// TestRandomSchedules checks the safety properties of Raft under random loss, duplication
// and reordering of messages, crashes, cut links, leadership transfers and one lost disk,
// and that the group recovers once all faults have ended.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		first := rapid.Uint64Range(0, maxSeed).Draw(rt, "first seed")
		for seed := first; seed < first+schedulesPerCheck; seed++ {
			s := newSchedule(rt, seed)
			s.run(scheduleSteps)
			s.requireSafe(seed)
			s.heal()
			s.requireSafe(seed)
		}
	})
}

func (s *schedule) requireSafe(seed uint64) {
	if s.checker.violation != "" {
		s.t.Fatalf("seed %d: %s", seed, s.checker.violation)
	}
}

// TestCheckerDetectsInjectedFaults guards against a checker or schedules too weak to
// find real faults: for each injected fault, some schedule must violate a property.
func TestCheckerDetectsInjectedFaults(t *testing.T) {
	faults := map[string]func(s *schedule){
		"vote not synced": func(s *schedule) {
			s.alterDurable = func(p *process, d Durable) Durable {
				if d.Hard != nil {
					hard := *d.Hard
					if hard.Vote != 0 && hard.Vote != p.node.disk {
						s.votedHost = p.cfg.Host
					}
					hard.Vote = 0
					d.Hard = &hard
				}
				return d
			}
		},
		"entries not synced": func(s *schedule) {
			s.alterDurable = func(_ *process, d Durable) Durable {
				d.Entries = nil
				if d.Hard != nil {
					hard := *d.Hard
					hard.Commit = 0
					d.Hard = &hard
				}
				return d
			}
		},
		"lost disk keeps its identity":   func(s *schedule) { s.keepDiskIdentity = true },
		"read confirmed without a round": func(s *schedule) { s.confirmWithoutRound = true },
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3000) {
				s := newSchedule(t, seed)
				inject(s)
				s.run(scheduleSteps)
				if s.checker.violation != "" {
					t.Logf("seed %d: %s", seed, s.checker.violation)
					return
				}
			}
			t.Fatal("no schedule violated a property")
		})
	}
}
