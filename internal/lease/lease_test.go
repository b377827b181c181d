package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawParams(t *rapid.T) params {
	return params{
		seed:                 rapid.Uint64().Draw(t, "seed"),
		hosts:                rapid.IntRange(1, 4).Draw(t, "hosts"),
		lossRate:             rapid.Float64Range(0, 0.4).Draw(t, "loss"),
		maxDelay:             time.Duration(rapid.IntRange(1, 400).Draw(t, "delay_ms")) * time.Millisecond,
		leaderChangeInterval: time.Duration(rapid.IntRange(0, 8).Draw(t, "change_s")) * time.Second,
		exclusive:            rapid.Bool().Draw(t, "exclusive"),
	}
}

// TestNoHolderActsBelowSettledRevision guards against a process that acts on a
// revision below a reported settled revision. It runs random schedules of delay, loss,
// clock drift, changes of the leader, isolated leaders and relays, restarts and
// processes that continue after their replacement.
func TestNoHolderActsBelowSettledRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(drawParams(t))
		s.run()
		if s.violation != "" {
			t.Fatal(s.violation)
		}
	})
}

// TestLateReleaseKeepsLaterLease delivers a release after a request that its sender has made
// since. It guards against a lease that is in use and no longer counted: the settled revision
// then passes the one on which its holder acts.
func TestLateReleaseKeepsLaterLease(t *testing.T) {
	cfg := DefaultConfig()
	cfg.ExclusiveIdentity = true
	now, id := time.Unix(100, 0), ID{Host: "h", Incarnation: 1}
	b := NewBroker(cfg, 0)
	b.Receive(now, id, Renew{Seq: 3, Applied: 5})
	round, _ := b.BeginRound(now)
	if answers := b.FinishRound(round.ID, 5, 5); len(answers) != 1 {
		t.Fatalf("answers %+v, want one lease", answers)
	}
	b.Receive(now, id, Renew{Seq: 2, Release: true})
	if !b.PossibleHolders(now, []ID{id})[id] {
		t.Error("the lease of the later request is not counted")
	}
	if settled := b.Settle(now, 6, Registrations{Holders: []ID{id}, Changed: 1}); settled > 5 {
		t.Errorf("settled revision %d while the holder may act on 5", settled)
	}
}

// TestLateReleaseSchedule runs the schedule in which the fault of
// TestLateReleaseKeepsLaterLease was found.
func TestLateReleaseSchedule(t *testing.T) {
	s := newSim(params{seed: 2, hosts: 1, lossRate: 0.00048828125, maxDelay: 24 * time.Millisecond, leaderChangeInterval: 2 * time.Second, exclusive: true})
	s.run()
	if s.violation != "" {
		t.Error(s.violation)
	}
}

// TestSimulationDetectsInjectedFaults checks that the simulation detects each fault
// injected into its driver.
func TestSimulationDetectsInjectedFaults(t *testing.T) {
	faults := map[string]fault{
		"relay answers without the leader": faultRelayWithoutLeader,
		"leader answers without a quorum":  faultLeaderWithoutQuorum,
		"new leader does not wait":         faultNoWait,
		"new leader ends its wait early":   faultEndWaitEarly,
		"slow holder clock":                faultSlowClock,
	}
	const seeds = 300
	for name, injected := range faults {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				s := newSim(params{
					seed: seed, hosts: 3, lossRate: 0.1, maxDelay: 200 * time.Millisecond,
					leaderChangeInterval: 4 * time.Second, fault: injected,
				})
				s.run()
				if s.violation != "" {
					t.Logf("seed %d: %s", seed, s.violation)
					return
				}
			}
			t.Fatalf("no run of %d violated the invariant", seeds)
		})
	}
}

// TestLeaseProgressWithoutFaults checks that without faults hosts act and the settled
// revision follows the committed one.
func TestLeaseProgressWithoutFaults(t *testing.T) {
	s := newSim(params{seed: 1, hosts: 3, maxDelay: 5 * time.Millisecond})
	s.run()
	if s.violation != "" {
		t.Fatal(s.violation)
	}
	if s.actCount == 0 || s.reportedSettled+20 < s.revision() {
		t.Fatalf("acted %d times, settled %d of %d", s.actCount, s.reportedSettled, s.revision())
	}
}

func TestHolderLeaseRequiresGrantedRevision(t *testing.T) {
	now := time.Unix(100, 0)
	h := NewHolder(DefaultConfig(), 40)
	r := h.Renew(now, 5)
	h.HandleRenewOK(RenewOK{Seq: r.Seq + 1, Revision: 1}) // never requested
	h.HandleRenewOK(RenewOK{Seq: r.Seq, Revision: 7, Settled: 3})
	if !h.ValidUntil(6).IsZero() {
		t.Fatal("the lease allows its holder to act on an older revision than granted")
	}
	if got, want := h.ValidUntil(7), now.Add(3*time.Second); !got.Equal(want) {
		t.Fatalf("valid until %v, want %v", got, want)
	}
}

func TestReleaseAdvancesSettledRevision(t *testing.T) {
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

func TestNewLeaderSettlesOnceRegisteredHoldersAreCounted(t *testing.T) {
	now := time.Unix(100, 0)
	b := NewBroker(DefaultConfig(), 0)
	registered := Registrations{Holders: []ID{{"h", 1}}, Changed: 2}
	b.ObserveSettled(3)
	b.BecomeLeader(now)
	if got := b.Settle(now, 9, registered); got != 3 {
		t.Fatalf("settled %d before the host's request, want 3", got)
	}
	b.Receive(now, ID{"c", 1}, Renew{Seq: 1, Applied: 8, Relay: true, Holders: registered.Holders})
	if got := b.Settle(now, 9, registered); got != 8 {
		t.Fatalf("settled %d, want 8", got)
	}
}

// TestRequestWithoutStateCountsNoLease sends the request of a starting process, which
// has no state yet. It gets no lease and must not limit the settled revision.
func TestRequestWithoutStateCountsNoLease(t *testing.T) {
	now := time.Unix(100, 0)
	b := NewBroker(DefaultConfig(), 0)
	running, starting := ID{"h", 1}, ID{"n", 2}
	b.Receive(now, running, Renew{Seq: 1, Applied: 8})
	h := NewHolder(DefaultConfig(), 40)
	r := h.Renew(now, 0)
	b.Receive(now, starting, r)
	round, ok := b.BeginRound(now)
	if !ok || round.Applied != 8 || len(round.Holders) != 1 {
		t.Fatalf("round %+v, want revision 8 and one holder", round)
	}
	if answers := b.FinishRound(round.ID, 8, 8); len(answers) != 2 {
		t.Fatalf("%d answers, want 2", len(answers))
	}
	if got := b.Settle(now, 9, Registrations{}); got != 8 {
		t.Fatalf("settled %d, want 8", got)
	}
	h.HandleRenewOK(RenewOK{Seq: r.Seq, Revision: 8, Settled: 8})
	if !h.ValidUntil(9).IsZero() {
		t.Fatal("the process got a lease that the broker does not count")
	}
}

// TestNewLeaderAfterFleetRestartSettlesWithExclusiveIdentity restarts the processes of
// all hosts under a new leader. With exclusive identities the leader need not wait for
// the leases of the former processes.
func TestNewLeaderAfterFleetRestartSettlesWithExclusiveIdentity(t *testing.T) {
	now := time.Unix(100, 0)
	for _, exclusive := range []bool{false, true} {
		cfg := DefaultConfig()
		cfg.ExclusiveIdentity = exclusive
		b := NewBroker(cfg, 0)
		b.BecomeLeader(now)
		registered := Registrations{Holders: []ID{{"h", 2}, {"i", 2}}, Changed: 9}
		b.Receive(now, registered.Holders[0], Renew{Seq: 1, Applied: 9})
		if got := b.Settle(now, 9, registered); got != 0 {
			t.Fatalf("exclusive %v: settled %d before the requests of all hosts, want 0", exclusive, got)
		}
		b.Receive(now, registered.Holders[1], Renew{Seq: 1, Applied: 9})
		if got := b.Settle(now, 9, registered); (got == 9) != exclusive {
			t.Fatalf("exclusive %v: settled %d, want 9 only with exclusive identities", exclusive, got)
		}
	}
}

// TestTimedOutRequestCountsNoLease guards against a settled revision that is limited by
// a request whose subscriber has switched to another control host, because the relay
// found no leader to answer it.
func TestTimedOutRequestCountsNoLease(t *testing.T) {
	now := time.Unix(100, 0)
	cfg := DefaultConfig()
	b := NewBroker(cfg, 0)
	b.Receive(now, ID{"gone", 1}, Renew{Seq: 1, Applied: 4})
	if round, ok := b.BeginRound(now); !ok || round.Applied != 4 {
		t.Fatalf("round %+v, want revision 4", round)
	}
	b.AbortRound() // the leader is unknown
	later := now.Add(cfg.Duration/requestTimeoutDivisor + time.Millisecond)
	b.Receive(later, ID{"stays", 1}, Renew{Seq: 1, Applied: 9})
	round, ok := b.BeginRound(later)
	if !ok || round.Applied != 9 || len(round.Holders) != 1 {
		t.Fatalf("round %+v, want revision 9 and one holder", round)
	}
	if answers := b.FinishRound(round.ID, 9, 9); len(answers) != 1 {
		t.Fatalf("%d answers, want 1", len(answers))
	}
	if got := b.Settle(later, 9, Registrations{}); got != 9 {
		t.Fatalf("settled %d, want 9", got)
	}
}

// TestGrantedLeaseCountsUntilExpiry grants one lease to a host that sends no further
// request.
func TestGrantedLeaseCountsUntilExpiry(t *testing.T) {
	now := time.Unix(100, 0)
	cfg := DefaultConfig()
	b := NewBroker(cfg, 0)
	b.Receive(now, ID{"h", 1}, Renew{Seq: 1, Applied: 4})
	round, _ := b.BeginRound(now)
	b.FinishRound(round.ID, 4, 4)
	if got := b.Settle(now.Add(cfg.countedDuration()-time.Millisecond), 9, Registrations{}); got != 4 {
		t.Fatalf("settled %d while the lease is valid, want 4", got)
	}
	if got := b.Settle(now.Add(cfg.countedDuration()), 9, Registrations{}); got != 9 {
		t.Fatalf("settled %d after its end, want 9", got)
	}
}

// TestNewProcessSupersedesFormerProcess restarts a host while the lease of its former
// process is still counted. Only with exclusive identities does that lease end at once.
func TestNewProcessSupersedesFormerProcess(t *testing.T) {
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
			t.Errorf("exclusive %v: settled %d, want 8 only with exclusive identities", exclusive, got)
		}
		b.Receive(now, ID{"i", 1}, Renew{Seq: 1, Applied: 2})
		b.Supersede(ID{"i", 2}) // registered through another control host
		if got := b.Settle(now, 9, Registrations{}); (got == 8) != exclusive {
			t.Errorf("exclusive %v: settled %d, want 8 only with exclusive identities, for a process superseded by registration", exclusive, got)
		}
	}
}

// TestNewLeaderAcceptsNewerProcessForRegisteredOne sends the request of a restarted
// process to a new leader before that process is registered. Only with exclusive
// identities does it count in place of the registered one.
func TestNewLeaderAcceptsNewerProcessForRegisteredOne(t *testing.T) {
	now := time.Unix(100, 0)
	for _, exclusive := range []bool{false, true} {
		cfg := DefaultConfig()
		cfg.ExclusiveIdentity = exclusive
		b := NewBroker(cfg, 0)
		b.BecomeLeader(now)
		registered := Registrations{Holders: []ID{{"h", 1}, {"i", 1}}}
		b.Receive(now, ID{"h", 1}, Renew{Seq: 1, Applied: 9})
		b.Receive(now, ID{"i", 2}, Renew{Seq: 1, Applied: 9})
		if got := b.Settle(now, 9, registered); (got == 9) != exclusive {
			t.Errorf("exclusive %v: settled %d, want 9 only with exclusive identities", exclusive, got)
		}
	}
}

// TestReleaseCancelsOutstandingRequest switches a host to another control host while a
// request is unanswered. Neither side may count a lease for it, even if the request
// arrives after the release.
func TestReleaseCancelsOutstandingRequest(t *testing.T) {
	now := time.Unix(100, 0)
	b, h, id := NewBroker(DefaultConfig(), 0), NewHolder(DefaultConfig(), 40), ID{"h", 1}
	r := h.Renew(now, 4)
	b.Receive(now, id, r)
	round, _ := b.BeginRound(now)
	b.Receive(now, id, h.Release(false))
	if got := b.Settle(now, 9, Registrations{}); got != 9 {
		t.Errorf("settled %d after the release, want 9", got)
	}
	for _, a := range b.FinishRound(round.ID, 4, 4) {
		h.HandleRenewOK(a.OK)
	}
	if !h.ValidUntil(9).IsZero() {
		t.Error("the host got a lease that it had released")
	}
	b.Receive(now, id, r) // arrives after the release, on another connection
	if got := b.Settle(now, 12, Registrations{}); got != 12 {
		t.Errorf("settled %d after a request older than the release, want 12", got)
	}
	b.Receive(now, id, h.Renew(now, 13))
	if got := b.Settle(now, 20, Registrations{}); got != 13 {
		t.Errorf("settled %d after the host's next request, want 13", got)
	}
}

// TestRelayReportsReleaseOfLastHolder guards against a relay that reports nothing after
// its only holder has left, so that the leader counts that lease until it ends.
func TestRelayReportsReleaseOfLastHolder(t *testing.T) {
	now := time.Unix(100, 0)
	leader, relay, h := NewBroker(DefaultConfig(), 0), NewBroker(DefaultConfig(), 0), NewHolder(DefaultConfig(), 40)
	id, via := ID{"h", 1}, ID{"c", 1}
	pass := func(round Round, ok bool) {
		t.Helper()
		if !ok {
			t.Fatal("the relay has nothing to report")
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
		t.Errorf("settled %d without any lease, want 9", got)
	}
}

// TestSuspendedBrokerIgnoresReleasedRequests resumes a broker after a suspension, which
// then reads the requests of a holder that has switched to another broker and kept its
// lease. These requests must not count as new leases.
func TestSuspendedBrokerIgnoresReleasedRequests(t *testing.T) {
	now := time.Unix(100, 0)
	b, h, id := NewBroker(DefaultConfig(), 0), NewHolder(DefaultConfig(), 40), ID{"h", 1}
	r := h.Renew(now, 4)
	b.Receive(now, id, r)
	round, _ := b.BeginRound(now)
	for _, a := range b.FinishRound(round.ID, 4, 4) {
		h.HandleRenewOK(a.OK)
	}
	unread := []Renew{h.Renew(now, 4), h.Release(true)}
	if h.ValidUntil(4).IsZero() {
		t.Fatal("the host lost the lease that it keeps")
	}
	if got := b.Settle(now, 9, Registrations{}); got != 4 {
		t.Fatalf("settled %d while the lease is in use, want 4", got)
	}
	later := now.Add(DefaultConfig().countedDuration())
	for _, r := range unread {
		b.Receive(later, id, r)
	}
	if got := b.Settle(later, 9, Registrations{}); got != 9 {
		t.Errorf("settled %d after released requests, want 9", got)
	}
}

// TestStepDownDropsRelayRequests guards against a former leader that counts the leases
// of a relay whose request it read after a suspension, before it was notified of the
// new leader.
func TestStepDownDropsRelayRequests(t *testing.T) {
	now := time.Unix(100, 0)
	b := NewBroker(DefaultConfig(), 0)
	b.Receive(now, ID{"c", 1}, Renew{Seq: 1, Applied: 4, Relay: true, Holders: []ID{{"h", 1}}})
	b.StepDown()
	b.Receive(now, ID{"i", 1}, Renew{Seq: 1, Applied: 9})
	round, ok := b.BeginRound(now)
	if !ok || round.Applied != 9 || len(round.Holders) != 1 {
		t.Errorf("round %+v, want revision 9 and one holder", round)
	}
}
