package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawParams(t *rapid.T) params {
	return params{
		seed:     rapid.Uint64().Draw(t, "seed"),
		hosts:    rapid.IntRange(1, 4).Draw(t, "hosts"),
		loss:     rapid.Float64Range(0, 0.4).Draw(t, "loss"),
		maxDelay: time.Duration(rapid.IntRange(1, 400).Draw(t, "delay_ms")) * time.Millisecond,
		change:   time.Duration(rapid.IntRange(0, 8).Draw(t, "change_s")) * time.Second,
		// Where it is set, processes replace their former ones.
		exclusive: rapid.Bool().Draw(t, "exclusive"),
	}
}

// TestNobodyActsBelowTheSettledRevision runs random schedules of delay, loss,
// drift, changes of the leader, isolated leaders and relays, restarts and
// processes that outlive their replacement.
func TestNobodyActsBelowTheSettledRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(drawParams(t))
		s.run()
		if s.violation != "" {
			t.Fatal(s.violation)
		}
	})
}

// TestPlantedFaultsAreFound shows that the check above can fail.
func TestPlantedFaultsAreFound(t *testing.T) {
	faults := map[string]fault{
		"relay answers alone":  faultRelayAlone,
		"leader answers alone": faultLeaderAlone,
		"no wait after change": faultNoWait,
		"wait ended for good":  faultEndWait,
		"slow clock":           faultSlowClock,
	}
	const seeds = 300
	for name, planted := range faults {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				s := newSim(params{
					seed: seed, hosts: 3, loss: 0.1, maxDelay: 200 * time.Millisecond,
					change: 4 * time.Second, fault: planted,
				})
				s.run()
				if s.violation != "" {
					t.Logf("seed %d: %s", seed, s.violation)
					return
				}
			}
			t.Fatalf("%d runs did not find the fault", seeds)
		})
	}
}

// TestLeaseIsHeldWithoutFaults checks progress: without loss every host acts
// and the settled revision follows the committed one.
func TestLeaseIsHeldWithoutFaults(t *testing.T) {
	s := newSim(params{seed: 1, hosts: 3, maxDelay: 5 * time.Millisecond})
	s.run()
	if s.violation != "" {
		t.Fatal(s.violation)
	}
	if s.acted == 0 || s.reported+20 < s.revision() {
		t.Fatalf("acted %d times, settled %d of %d", s.acted, s.reported, s.revision())
	}
}

func TestHolderNeedsTheGrantedRevision(t *testing.T) {
	now := time.Unix(100, 0)
	h := NewHolder(DefaultConfig(), 40)
	r := h.Renew(now, 5)
	h.Granted(RenewOK{Seq: r.Seq + 1, Revision: 1}) // never asked for
	h.Granted(RenewOK{Seq: r.Seq, Revision: 7, Settled: 3})
	if !h.ValidUntil(6).IsZero() {
		t.Fatal("the lease allows an older revision")
	}
	if got, want := h.ValidUntil(7), now.Add(3*time.Second); !got.Equal(want) {
		t.Fatalf("valid until %v, want %v", got, want)
	}
}

func TestReleaseSettlesAtOnce(t *testing.T) {
	now := time.Unix(100, 0)
	b := NewBroker(DefaultConfig(), 0)
	id := ID{"h", 1}
	b.Receive(now, id, Renew{Seq: 1, Applied: 4})
	if got := b.Settle(now, 9, Registrations{}); got != 4 || !b.PossibleHolders(now, []ID{id})[id] {
		t.Fatalf("settled %d, want 4", got)
	}
	b.Release(id)
	if got := b.Settle(now, 9, Registrations{}); got != 9 || b.PossibleHolders(now, []ID{id})[id] {
		t.Fatalf("settled %d, want 9", got)
	}
}

func TestNewLeaderEndsItsWaitEarly(t *testing.T) {
	now := time.Unix(100, 0)
	b := NewBroker(DefaultConfig(), 0)
	e := Registrations{Holders: []ID{{"h", 1}}, Changed: 2}
	b.ObserveSettled(3)
	b.BecomeLeader(now)
	if got := b.Settle(now, 9, e); got != 3 {
		t.Fatalf("settled %d before the host asked", got)
	}
	b.Receive(now, ID{"c", 1}, Renew{Seq: 1, Applied: 8, Relay: true, Holders: e.Holders})
	if got := b.Settle(now, 9, e); got != 8 {
		t.Fatalf("settled %d, want 8", got)
	}
}

// TestAProcessWithoutStateHoldsNothingBack lets a process ask before it has any
// state, as each does when it starts.
func TestAProcessWithoutStateHoldsNothingBack(t *testing.T) {
	now := time.Unix(100, 0)
	b := NewBroker(DefaultConfig(), 0)
	old, fresh := ID{"h", 1}, ID{"n", 2}
	b.Receive(now, old, Renew{Seq: 1, Applied: 8})
	h := NewHolder(DefaultConfig(), 40)
	r := h.Renew(now, 0)
	b.Receive(now, fresh, r)
	round, ok := b.BeginRound(now)
	if !ok || round.Applied != 8 || len(round.Holders) != 1 {
		t.Fatalf("round %+v", round)
	}
	if answers := b.FinishRound(round.ID, 8, 8); len(answers) != 2 {
		t.Fatalf("%d answers", len(answers))
	}
	if got := b.Settle(now, 9, Registrations{}); got != 8 {
		t.Fatalf("settled %d", got)
	}
	h.Granted(RenewOK{Seq: r.Seq, Revision: 8, Settled: 8})
	if !h.ValidUntil(9).IsZero() {
		t.Fatal("the process took a lease that nobody counts")
	}
}

// TestAFleetThatRestartsNeedNotWaitForItsFormerProcesses registers new processes
// of all hosts under a new leader.
func TestAFleetThatRestartsNeedNotWaitForItsFormerProcesses(t *testing.T) {
	now := time.Unix(100, 0)
	for _, exclusive := range []bool{false, true} {
		cfg := DefaultConfig()
		cfg.ExclusiveIdentity = exclusive
		b := NewBroker(cfg, 0)
		b.BecomeLeader(now)
		e := Registrations{Holders: []ID{{"h", 2}, {"i", 2}}, Changed: 9}
		b.Receive(now, e.Holders[0], Renew{Seq: 1, Applied: 9})
		if got := b.Settle(now, 9, e); got != 0 {
			t.Fatalf("exclusive %v: settled %d before all hosts asked", exclusive, got)
		}
		b.Receive(now, e.Holders[1], Renew{Seq: 1, Applied: 9})
		if got := b.Settle(now, 9, e); (got == 9) != exclusive {
			t.Fatalf("exclusive %v: settled %d", exclusive, got)
		}
	}
}

// TestARequestThatWasGivenUpHoldsNothingBack lets a subscriber turn away from a
// relay that knew no leader.
func TestARequestThatWasGivenUpHoldsNothingBack(t *testing.T) {
	now := time.Unix(100, 0)
	cfg := DefaultConfig()
	b := NewBroker(cfg, 0)
	b.Receive(now, ID{"gone", 1}, Renew{Seq: 1, Applied: 4})
	if round, ok := b.BeginRound(now); !ok || round.Applied != 4 {
		t.Fatalf("round %+v", round)
	}
	b.AbortRound() // no leader is known
	later := now.Add(cfg.Duration/patienceShare + time.Millisecond)
	b.Receive(later, ID{"stays", 1}, Renew{Seq: 1, Applied: 9})
	round, ok := b.BeginRound(later)
	if !ok || round.Applied != 9 || len(round.Holders) != 1 {
		t.Fatalf("round %+v", round)
	}
	if answers := b.FinishRound(round.ID, 9, 9); len(answers) != 1 {
		t.Fatalf("%d answers", len(answers))
	}
	if got := b.Settle(later, 9, Registrations{}); got != 9 {
		t.Fatalf("settled %d", got)
	}
}

// TestAGrantedLeaseCountsToItsEnd answers a request and hears nothing more.
func TestAGrantedLeaseCountsToItsEnd(t *testing.T) {
	now := time.Unix(100, 0)
	cfg := DefaultConfig()
	b := NewBroker(cfg, 0)
	b.Receive(now, ID{"h", 1}, Renew{Seq: 1, Applied: 4})
	round, _ := b.BeginRound(now)
	b.FinishRound(round.ID, 4, 4)
	if got := b.Settle(now.Add(cfg.counted()-time.Millisecond), 9, Registrations{}); got != 4 {
		t.Fatalf("settled %d while the lease is valid", got)
	}
	if got := b.Settle(now.Add(cfg.counted()), 9, Registrations{}); got != 9 {
		t.Fatalf("settled %d after its end", got)
	}
}

// TestAProcessReplacesItsFormerOne restarts a host while the lease of its former
// process would count for two seconds more.
func TestAProcessReplacesItsFormerOne(t *testing.T) {
	now := time.Unix(100, 0)
	for _, exclusive := range []bool{false, true} {
		cfg := DefaultConfig()
		cfg.ExclusiveIdentity = exclusive
		b := NewBroker(cfg, 0)
		b.Receive(now, ID{"h", 1}, Renew{Seq: 1, Applied: 4})
		round, _ := b.BeginRound(now)
		b.FinishRound(round.ID, 4, 4)
		b.Receive(now, ID{"h", 2}, Renew{Seq: 9, Applied: 8})
		if got := b.Settle(now, 9, Registrations{}); (got == 8) != exclusive {
			t.Errorf("exclusive %v: settled %d", exclusive, got)
		}
		b.Receive(now, ID{"i", 1}, Renew{Seq: 1, Applied: 2})
		b.Supersede(ID{"i", 2}) // registered through another control host
		if got := b.Settle(now, 9, Registrations{}); (got == 8) != exclusive {
			t.Errorf("exclusive %v: settled %d with a superseded process", exclusive, got)
		}
	}
}

// TestANewerProcessStandsForTheRegisteredOne asks under a new leader before the
// new process is registered.
func TestANewerProcessStandsForTheRegisteredOne(t *testing.T) {
	now := time.Unix(100, 0)
	for _, exclusive := range []bool{false, true} {
		cfg := DefaultConfig()
		cfg.ExclusiveIdentity = exclusive
		b := NewBroker(cfg, 0)
		b.BecomeLeader(now)
		e := Registrations{Holders: []ID{{"h", 1}, {"i", 1}}}
		b.Receive(now, ID{"h", 1}, Renew{Seq: 1, Applied: 9})
		b.Receive(now, ID{"i", 2}, Renew{Seq: 1, Applied: 9})
		if got := b.Settle(now, 9, e); (got == 9) != exclusive {
			t.Errorf("exclusive %v: settled %d", exclusive, got)
		}
	}
}

// TestAReleaseEndsWhatIsOnItsWay lets a host turn to another control host while a
// request is unanswered.
func TestAReleaseEndsWhatIsOnItsWay(t *testing.T) {
	now := time.Unix(100, 0)
	b, h, id := NewBroker(DefaultConfig(), 0), NewHolder(DefaultConfig(), 40), ID{"h", 1}
	r := h.Renew(now, 4)
	b.Receive(now, id, r)
	round, _ := b.BeginRound(now)
	b.Receive(now, id, h.Release(false))
	if got := b.Settle(now, 9, Registrations{}); got != 9 {
		t.Errorf("settled %d", got)
	}
	for _, a := range b.FinishRound(round.ID, 4, 4) {
		h.Granted(a.OK)
	}
	if !h.ValidUntil(9).IsZero() {
		t.Error("the host took a lease that it had released")
	}
	b.Receive(now, id, r) // overtaken on another connection
	if got := b.Settle(now, 12, Registrations{}); got != 12 {
		t.Errorf("settled %d after a request that was overtaken", got)
	}
	b.Receive(now, id, h.Renew(now, 13))
	if got := b.Settle(now, 20, Registrations{}); got != 13 {
		t.Errorf("settled %d with the host back", got)
	}
}

// TestARelayTellsOfAReleaseThatLeavesItEmpty lets the only holder behind a relay
// turn away.
func TestARelayTellsOfAReleaseThatLeavesItEmpty(t *testing.T) {
	now := time.Unix(100, 0)
	leader, relay, h := NewBroker(DefaultConfig(), 0), NewBroker(DefaultConfig(), 0), NewHolder(DefaultConfig(), 40)
	id, via := ID{"h", 1}, ID{"c", 1}
	pass := func(round Round, ok bool) {
		t.Helper()
		if !ok {
			t.Fatal("the relay has nothing to tell")
		}
		leader.Receive(now, via, Renew{Seq: round.ID, Applied: round.Applied, Relay: true, Holders: round.Holders, Base: round.Base})
		r, _ := leader.BeginRound(now)
		leader.FinishRound(r.ID, 4, 0)
		relay.FinishRound(round.ID, 4, 0)
	}
	relay.Receive(now, id, h.Renew(now, 4))
	pass(relay.BeginRound(now))
	relay.Receive(now, id, h.Release(false))
	pass(relay.BeginRound(now))
	if got := leader.Settle(now, 9, Registrations{}); got != 9 {
		t.Errorf("settled %d while nobody holds a lease", got)
	}
}

// TestASuspendedBrokerCountsNoRequestThatWasGivenUp reads, after a suspension, the
// requests of holders that have turned to another broker with a lease in use.
func TestASuspendedBrokerCountsNoRequestThatWasGivenUp(t *testing.T) {
	now := time.Unix(100, 0)
	b, h, id := NewBroker(DefaultConfig(), 0), NewHolder(DefaultConfig(), 40), ID{"h", 1}
	r := h.Renew(now, 4)
	b.Receive(now, id, r)
	round, _ := b.BeginRound(now)
	for _, a := range b.FinishRound(round.ID, 4, 4) {
		h.Granted(a.OK)
	}
	unread := []Renew{h.Renew(now, 4), h.Release(true)}
	if h.ValidUntil(4).IsZero() {
		t.Fatal("the host gave up the lease that it uses")
	}
	if got := b.Settle(now, 9, Registrations{}); got != 4 {
		t.Fatalf("settled %d while the lease is in use", got)
	}
	later := now.Add(DefaultConfig().counted())
	for _, r := range unread {
		b.Receive(later, id, r)
	}
	if got := b.Settle(later, 9, Registrations{}); got != 9 {
		t.Errorf("settled %d by requests that were given up", got)
	}
}

// TestAFormerLeaderDropsWhatRelaysAskedIt reads the request of a relay after a
// suspension, before it learns that another host leads.
func TestAFormerLeaderDropsWhatRelaysAskedIt(t *testing.T) {
	now := time.Unix(100, 0)
	b := NewBroker(DefaultConfig(), 0)
	b.Receive(now, ID{"c", 1}, Renew{Seq: 1, Applied: 4, Relay: true, Holders: []ID{{"h", 1}}})
	b.StepDown()
	b.Receive(now, ID{"i", 1}, Renew{Seq: 1, Applied: 9})
	round, ok := b.BeginRound(now)
	if !ok || round.Applied != 9 || len(round.Holders) != 1 {
		t.Errorf("round %+v", round)
	}
}
