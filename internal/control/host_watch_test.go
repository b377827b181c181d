package control

import (
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/lease"
)

const testLeaseTime = 2 * time.Second

// hostRun plays the looks of a leader at two entry hosts and a control host.
type hostRun struct {
	watch   hostWatch
	state   *agreed.State
	now     time.Time
	absent  map[string]time.Duration // when each was first named, since the start
	removed map[string]time.Duration
}

func newHostRun() *hostRun {
	r := &hostRun{
		watch: newHostWatch(testLeaseTime), state: agreed.New(), now: time.Unix(0, 0),
		absent: map[string]time.Duration{}, removed: map[string]time.Duration{},
	}
	for _, h := range []agreed.Host{{ID: "c", Control: true}, {ID: "e0", Entry: true}, {ID: "e1", Entry: true}} {
		h.Incarnation = 1
		r.state.Hosts[h.ID] = h
	}
	return r
}

func (r *hostRun) play(d time.Duration, leased ...string) {
	holders := make(map[lease.ID]bool)
	for _, id := range leased {
		holders[lease.ID{Host: id, Incarnation: 1}] = true
	}
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(leaderTaskInterval) {
		absent, removed := r.watch.look(r.now, r.state, holders)
		for id := range absent {
			if _, named := r.absent[id]; !named {
				r.absent[id] = r.now.Sub(time.Unix(0, 0))
			}
		}
		for _, h := range removed {
			if _, named := r.removed[h.ID]; !named {
				r.removed[h.ID] = r.now.Sub(time.Unix(0, 0))
			}
		}
	}
}

func TestHostWatchAbsentAtOnceRemovedLater(t *testing.T) {
	r := newHostRun()
	r.play(time.Second, "c", "e0", "e1")
	r.play(20*time.Second, "e1")
	if r.absent["e0"] != time.Second || len(r.absent) != 1 {
		t.Errorf("absent %v, want e0 after a second and no control host", r.absent)
	}
	for _, id := range []string{"c", "e0"} {
		if at := r.removed[id]; at < time.Second+hostRemovalDelay-leaderTaskInterval || at > time.Second+hostRemovalDelay {
			t.Errorf("%s removed after %v, want a second and the removal delay", id, at)
		}
	}
	if _, removed := r.removed["e1"]; removed {
		t.Error("a host with a lease was removed")
	}
}

// TestHostWatchNewProcessHasTimeForItsLease registers a process, and lets one that was absent
// register again. It guards against a process that is marked absent before the leader has
// counted its first lease, and has to register again and again.
func TestHostWatchNewProcessHasTimeForItsLease(t *testing.T) {
	r := newHostRun()
	r.play(testLeaseTime-leaderTaskInterval, "c", "e1")
	r.play(time.Second, "c", "e0", "e1")
	if len(r.absent) != 0 {
		t.Fatalf("absent %v before the time of a lease, want none", r.absent)
	}
	for _, isAbsent := range []bool{true, false} {
		e0 := r.state.Hosts["e0"]
		e0.Absent = isAbsent
		r.state.Hosts["e0"] = e0
		r.play(time.Second, "c", "e1")
	}
	if len(r.absent) != 0 {
		t.Errorf("absent %v just after it registered again, want none", r.absent)
	}
	r.play(2*testLeaseTime, "c", "e1")
	if _, named := r.absent["e0"]; !named {
		t.Error("a process without a lease is not absent")
	}
}

// TestHostWatchSuspendedLeaderJudgesNobody suspends the leader for longer than any lease and
// removal delay. It guards against a leader that takes its own pause for the end of all
// hosts and deregisters them.
func TestHostWatchSuspendedLeaderJudgesNobody(t *testing.T) {
	r := newHostRun()
	r.play(time.Second, "c", "e0", "e1")
	r.now = r.now.Add(30 * time.Second)
	r.play(testLeaseTime - leaderTaskInterval) // nobody has renewed yet
	r.play(20*time.Second, "c", "e0", "e1")
	if len(r.absent) != 0 || len(r.removed) != 0 {
		t.Errorf("absent %v, removed %v, want none", r.absent, r.removed)
	}
}
