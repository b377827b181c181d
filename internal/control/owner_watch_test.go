package control

import (
	"slices"
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
)

// ownerState returns a state with control hosts c0 to c4 and the given silent ones.
func ownerState(silent ...string) *agreed.State {
	s := agreed.New()
	for _, id := range []string{"c0", "c1", "c2", "c3", "c4"} {
		s.Hosts[id] = agreed.Host{ID: id, Control: true}
	}
	s.Hosts["e0"] = agreed.Host{ID: "e0", Entry: true}
	s.SilentOwners = silent
	return s
}

// watchRun plays messages of control hosts to the watch of the leader c0.
type watchRun struct {
	watch ownerWatch
	state *agreed.State
	now   time.Time
	// changes are the silent owners after each change.
	changes [][]string
}

// play lets the hosts send a message each 60 ms, the heartbeat interval of consensus.
func (r *watchRun) play(d time.Duration, heard ...string) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(20 * time.Millisecond) {
		if r.now.Sub(time.Unix(0, 0))%(60*time.Millisecond) == 0 {
			for _, id := range heard {
				r.watch.observe(r.now, id)
			}
		}
		if silent := r.watch.silentOwners(r.now, "c0", r.state); !slices.Equal(silent, r.state.SilentOwners) {
			r.state = ownerState(silent...)
			r.changes = append(r.changes, silent)
		}
	}
}

func TestOwnerWatchExcludesFrozenHostAndReadmitsIt(t *testing.T) {
	r := &watchRun{watch: newOwnerWatch(time.Unix(0, 0), "", time.Time{}), state: ownerState(), now: time.Unix(0, 0)}
	r.play(5*time.Second, "c1", "c2", "c3", "c4")
	if len(r.changes) != 0 {
		t.Fatalf("owners changed to %v while all were heard", r.changes)
	}
	r.play(600*time.Millisecond, "c1", "c2", "c3")
	if !slices.Equal(r.state.SilentOwners, []string{"c4"}) {
		t.Fatalf("silent owners %v 600 ms after c4 fell silent, want c4", r.state.SilentOwners)
	}
	r.play(ownerReturnDelay-100*time.Millisecond, "c1", "c2", "c3", "c4")
	if len(r.changes) != 1 {
		t.Fatalf("changes %v before c4 was heard for the return delay, want one", r.changes)
	}
	r.play(200*time.Millisecond, "c1", "c2", "c3", "c4")
	if len(r.state.SilentOwners) != 0 || len(r.changes) != 2 {
		t.Fatalf("changes %v after c4 was heard for the return delay, want c4 readmitted", r.changes)
	}
}

// TestOwnerWatchExcludesFormerLeaderAtOnce starts a leadership because the former leader was
// silent. It guards against a second wait for the host whose loss is known already.
func TestOwnerWatchExcludesFormerLeaderAtOnce(t *testing.T) {
	r := &watchRun{watch: newOwnerWatch(time.Unix(0, 0), "c3", time.Unix(0, 0).Add(-ownerSilence)), state: ownerState(), now: time.Unix(0, 0)}
	r.play(60*time.Millisecond, "c1", "c2", "c4")
	if !slices.Equal(r.state.SilentOwners, []string{"c3"}) {
		t.Errorf("silent owners %v at the start of the leadership, want c3", r.state.SilentOwners)
	}
}

// TestOwnerWatchReadmitsTogether lets two hosts return one after the other. It guards against
// a change of the owners for each.
func TestOwnerWatchReadmitsTogether(t *testing.T) {
	r := &watchRun{watch: newOwnerWatch(time.Unix(0, 0), "", time.Time{}), state: ownerState("c3", "c4"), now: time.Unix(0, 0)}
	r.play(time.Second, "c1", "c2", "c3")
	r.play(ownerReturnDelay, "c1", "c2", "c3", "c4")
	if len(r.changes) != 1 || len(r.state.SilentOwners) != 0 {
		t.Errorf("changes %v, want one that readmits both hosts", r.changes)
	}
}

// TestOwnerWatchKeepsFlappingHostOut lets a host be heard for a second at a time. It guards
// against a change of the owners at each turn.
func TestOwnerWatchKeepsFlappingHostOut(t *testing.T) {
	r := &watchRun{watch: newOwnerWatch(time.Unix(0, 0), "", time.Time{}), state: ownerState(), now: time.Unix(0, 0)}
	r.play(time.Second, "c1", "c2", "c3", "c4")
	for range 10 {
		r.play(time.Second, "c1", "c2", "c3")
		r.play(time.Second, "c1", "c2", "c3", "c4")
	}
	if len(r.changes) != 1 {
		t.Errorf("%d changes of the owners in 20 s, want 1", len(r.changes))
	}
}

// TestOwnerWatchSuspendedLeaderExcludesNobody suspends the leader itself. It guards against
// a leader that takes its own pause for the silence of all others.
func TestOwnerWatchSuspendedLeaderExcludesNobody(t *testing.T) {
	r := &watchRun{watch: newOwnerWatch(time.Unix(0, 0), "", time.Time{}), state: ownerState(), now: time.Unix(0, 0)}
	r.play(time.Second, "c1", "c2", "c3", "c4")
	r.now = r.now.Add(6 * time.Second)
	r.play(time.Second, "c1", "c2", "c3", "c4")
	if len(r.changes) != 0 {
		t.Errorf("changes %v after a pause of the leader, want none", r.changes)
	}
}

// TestOwnerWatchNewLeaderWaitsForFirstMessages starts a leadership. Hosts must not be
// silent because the leader has not heard them yet, and one that stays silent must be.
func TestOwnerWatchNewLeaderWaitsForFirstMessages(t *testing.T) {
	r := &watchRun{watch: newOwnerWatch(time.Unix(0, 0), "", time.Time{}), state: ownerState("c1"), now: time.Unix(0, 0)}
	r.play(300 * time.Millisecond)
	if len(r.changes) != 0 {
		t.Fatalf("changes %v before a silence, want none", r.changes)
	}
	r.play(300*time.Millisecond, "c1", "c2", "c3")
	if !slices.Equal(r.state.SilentOwners, []string{"c1", "c4"}) {
		t.Errorf("silent owners %v, want c1, which has just returned, and c4", r.state.SilentOwners)
	}
}
