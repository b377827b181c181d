package control

import (
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/lease"
)

// TestRegistrationOneAttemptAtATime guards against a second proposal of a registration that
// waits for the leader, which would be one of hundreds when a fleet comes back.
func TestRegistrationOneAttemptAtATime(t *testing.T) {
	begun := time.Unix(1000, 0)
	var r registration
	if !r.due(begun, "a") {
		t.Error("the first attempt is not due")
	}
	r.begin(begun, "a")
	later := begun.Add(registerTimeout / 2)
	if r.due(later, "a") {
		t.Error("due while the attempt is in progress")
	}
	if !r.due(later, "b") {
		t.Error("not due at another upstream")
	}
	if r.due(begun.Add(registerRetryInterval-1), "b") {
		t.Error("due at another upstream right after the attempt began")
	}
	if !r.due(begun.Add(registerTimeout+1), "a") {
		t.Error("not due after an attempt without an answer")
	}
	s := &Subscriber{registration: r}
	registrationFailedEvent{begun: begun.Add(-time.Second)}.handle(s, later)
	if !s.registration.failedAt.IsZero() {
		t.Error("the failure of an earlier attempt counts for this one")
	}
	registrationFailedEvent{begun: begun}.handle(s, later)
	if s.registration.due(later, "a") || !s.registration.due(later.Add(registerRetryInterval), "a") {
		t.Error("want the next attempt registerRetryInterval after the failure")
	}
}

// TestUpstreamPatience guards against hosts that leave a control host that they reach while it
// waits for a leader: all hosts of a fleet would then connect to all control hosts in turn.
func TestUpstreamPatience(t *testing.T) {
	duration := lease.DefaultConfig().Duration
	unreached, reached := silenceTimeout(duration, false, false), silenceTimeout(duration, false, true)
	if unreached > 400*time.Millisecond {
		t.Errorf("a host without a lease waits %v for a control host that it does not reach", unreached)
	}
	const election = 600 * time.Millisecond
	if reached < election {
		t.Errorf("a host without a lease waits %v for a control host that it reaches, want at least an election", reached)
	}
	if leased := silenceTimeout(duration, true, false); leased != duration/silenceDivisor {
		t.Errorf("a host with a lease waits %v, want a third of the lease", leased)
	}
}

// TestRefusalsPaced guards against hosts that are sent round without a pause by control hosts that
// have no state, and against a pause before each of them was tried once.
func TestRefusalsPaced(t *testing.T) {
	const candidates = 3
	start := time.Unix(1000, 0)
	var p refusalPacing
	for i := range candidates {
		if !p.maySwitch(start, candidates) {
			t.Fatalf("no switch after refusal %d, want each control host tried without a pause", i+1)
		}
	}
	switches := 0
	const refusals, interval = 1000, time.Millisecond
	for i := range refusals {
		if p.maySwitch(start.Add(time.Duration(i)*interval), candidates) {
			switches++
		}
	}
	if most := int(refusals * interval / initialRenewInterval); switches == 0 || switches > most {
		t.Errorf("%d switches after %d refusals in a second, want 1 to %d", switches, refusals, most)
	}
	p.granted()
	if !p.maySwitch(start.Add(refusals*interval), candidates) {
		t.Error("no switch at once after a lease was granted in between")
	}
}
