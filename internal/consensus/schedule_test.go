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
	by     *rand.Rand
	speeds []int // relative tick rate per host
	calls  uint64
	sent   int
	wiped  bool
	// readAnywhere plants the fault of a leader that confirms without a round.
	readAnywhere bool
	// keepIdentity plants the fault of an empty disk with the former identity.
	keepIdentity bool
	// voted names a host that gave its vote in this step.
	voted string
}

const (
	scheduleSteps = 800
	// schedulesPerCheck is the number of schedules with consecutive seeds in
	// one check of rapid, which makes 100 checks by default.
	schedulesPerCheck = 5
	maxNet            = 60 // messages in flight
	maxSeed           = 1 << 40
	reorderWindow     = 20 // messages that may overtake each other
)

func newSchedule(t testingT, seed uint64) *schedule {
	by := rand.New(rand.NewPCG(seed, 7))
	c := newCluster(t, by.Uint64())
	c.electionTicks = []int{2, 5}[by.IntN(2)]
	founders := []string{"a", "b", "c", "d", "e"}[:3+by.IntN(3)]
	s := &schedule{cluster: c, by: by}
	for _, h := range founders {
		c.add(h, founders)
		c.wanted = append(c.wanted, DesiredMember{Host: h, Voter: true})
		s.speeds = append(s.speeds, 1+by.IntN(2))
	}
	c.compact = uint64(5 + by.IntN(20))
	return s
}

func (s *schedule) run(steps int) {
	for range 12 { // lets the group be founded
		s.round()
	}
	for i := 0; i < steps && s.check.violation == ""; i++ {
		s.step()
		if s.voted != "" {
			s.start(s.voted)
			s.voted = ""
		}
	}
}

// step does one random event.
func (s *schedule) step() {
	switch k := s.by.IntN(100); {
	case k < 65:
		s.stepDeliver()
	case k < 83:
		s.stepTick()
	case k < 89:
		s.stepPropose()
	case k < 92:
		s.stepConfirm()
	case k < 94:
		s.crash = crashPoint(s.by.IntN(3))
		s.stepDeliver()
		s.crash = noCrash
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

func (s *schedule) host() string { return s.hosts[s.by.IntN(len(s.hosts))] }

// stepDeliver delivers some random messages, and loses or duplicates a few.
func (s *schedule) stepDeliver() {
	if len(s.net) > maxNet {
		s.net = slices.Delete(s.net, 0, len(s.net)-maxNet)
	}
	for range 1 + s.by.IntN(6) {
		if len(s.net) == 0 {
			return
		}
		i := s.by.IntN(min(len(s.net), reorderWindow))
		switch s.by.IntN(15) {
		case 0:
			s.net = slices.Delete(s.net, i, i+1)
		case 1:
			s.deliver(i, true)
		default:
			s.deliver(i, false)
		}
	}
}

// stepTick ticks a host a number of times that depends on its clock's speed.
func (s *schedule) stepTick() {
	at := s.by.IntN(len(s.hosts))
	for range s.speeds[at] {
		s.tick(s.hosts[at])
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
	s.sent++
	_, _ = p.node.Propose(fmt.Appendf(nil, "command %d", s.sent)) // refused during a hand-over
	s.handle(p)
}

func (s *schedule) stepConfirm() {
	for _, h := range s.hosts {
		p := s.procs[h]
		if p.node == nil || p.node.role != Leader {
			continue
		}
		s.calls++
		s.check.calls[s.calls] = s.check.maxCommit
		if s.readAnywhere {
			s.check.checkRead(Confirmation{ID: s.calls, Index: p.node.log.commit})
		}
		if err := p.node.ConfirmQuorum(s.calls); err != nil {
			s.t.Fatal(err)
		}
		s.handle(p)
	}
}

// stepStart starts a host that is down, or restarts one that is up.
func (s *schedule) stepStart() {
	if h := s.host(); s.procs[h].node == nil || s.by.IntN(2) == 0 {
		s.start(h)
	}
}

func (s *schedule) stepCut() {
	if s.by.IntN(3) > 0 {
		clear(s.cut)
		return
	}
	a, b := s.host(), s.host()
	if s.by.IntN(2) == 0 {
		s.cut[[2]string{a, b}] = true
		return
	}
	s.isolate(a, true)
}

// stepRare stops a host, hands over the leadership, or loses a host's disk.
func (s *schedule) stepRare() {
	h := s.host()
	if s.by.IntN(2) == 0 {
		s.stop(h)
		return
	}
	if p := s.leader(); p != nil && s.by.IntN(2) == 0 {
		_ = p.node.TransferLeadership(h) // refused when h does not vote
		s.handle(p)
		return
	}
	if !s.wiped {
		s.wiped = true
		s.loseDisk(h)
	}
}

func (s *schedule) loseDisk(host string) {
	id, boots := s.procs[host].disk.Disk, s.procs[host].disk.Boots
	s.wipe(host)
	if s.keepIdentity {
		s.procs[host].disk.Disk, s.procs[host].disk.Boots = id, boots
		s.start(host)
	}
}

// heal ends all faults and waits until every host has applied a new command.
func (s *schedule) heal() {
	clear(s.cut)
	for _, h := range s.hosts {
		if s.procs[h].node == nil {
			s.start(h)
		}
	}
	s.until("a command applied after healing", func() bool {
		p := s.leader()
		if p == nil {
			return false
		}
		_, err := p.node.Propose([]byte("healed"))
		s.handle(p)
		return err == nil && s.allApplied("healed")
	})
	s.until("every host votes again", func() bool {
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
	if s.check.violation != "" {
		s.t.Fatalf("seed %d: %s", seed, s.check.violation)
	}
}

// TestCheckerFindsPlantedFaults shows that the random schedules break a
// property when the implementation has a fault.
func TestCheckerFindsPlantedFaults(t *testing.T) {
	faults := map[string]func(s *schedule){
		"vote not synced": func(s *schedule) {
			s.skip = func(p *process, d Durable) Durable {
				if d.Hard != nil {
					hard := *d.Hard
					if hard.Vote != 0 && hard.Vote != p.node.disk {
						s.voted = p.cfg.Host
					}
					hard.Vote = 0
					d.Hard = &hard
				}
				return d
			}
		},
		"entries not synced": func(s *schedule) {
			s.skip = func(_ *process, d Durable) Durable {
				d.Entries = nil
				if d.Hard != nil {
					hard := *d.Hard
					hard.Commit = 0
					d.Hard = &hard
				}
				return d
			}
		},
		"lost disk keeps its identity":   func(s *schedule) { s.keepIdentity = true },
		"read confirmed without a round": func(s *schedule) { s.readAnywhere = true },
	}
	for name, plant := range faults {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3000) {
				s := newSchedule(t, seed)
				plant(s)
				s.run(scheduleSteps)
				if s.check.violation != "" {
					t.Logf("seed %d: %s", seed, s.check.violation)
					return
				}
			}
			t.Fatal("no schedule broke a property")
		})
	}
}
