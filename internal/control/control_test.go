package control_test

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/result"
)

func TestProposeSingleControlHost(t *testing.T) {
	f := newFleet(t, 1)
	f.waitValid("c0")
	f.propose("c0", testNote(1, "first"), 0)
	f.waitNote(1, "c0")
}

func TestNoteReachesEveryHost(t *testing.T) {
	f := newFleet(t, 3)
	f.start("e0")
	f.start("e1")
	f.waitValid("c0", "c1", "c2", "e0", "e1")
	out := f.propose("c1", testNote(1, "first"), 0)
	f.waitNote(1, "c0", "c1", "c2", "e0", "e1")
	waitFor(t, "the metrics to show the revision", func() bool {
		e0 := f.hosts["e0"]
		return e0.metric(t, "galenabridge_applied_revision") >= float64(out.Revision) &&
			e0.metric(t, "galenabridge_lease_valid") == 1 &&
			f.hosts["c0"].metric(t, "galenabridge_control_settled_revision") >= float64(out.Revision)
	})
}

// TestProposeRepeatedAndConcurrentNotes checks that a repeated note gets the first
// stamp, and that of three concurrent notes with one number exactly one is accepted
// while all proposers get the stamp of that one.
func TestProposeRepeatedAndConcurrentNotes(t *testing.T) {
	f := newFleet(t, 3)
	f.waitValid("c0", "c1", "c2")
	first := f.propose("c0", testNote(1, "first"), 0)
	again := f.propose("c2", testNote(1, "first"), 0)
	if *first.Stamp != *again.Stamp {
		t.Fatalf("the repeated note got stamp %+v, the first %+v", again.Stamp, first.Stamp)
	}
	outcomes := make([]agreed.Outcome, 3)
	var proposers sync.WaitGroup
	for i, title := range []string{"a", "b", "c"} {
		proposers.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			var err error
			outcomes[i], err = f.hosts[f.controls[i].Host].control.Propose(ctx, testNote(2, title))
			if err != nil {
				t.Error(err)
			}
		})
	}
	proposers.Wait()
	accepted := 0
	for _, out := range outcomes {
		switch out.Code {
		case 0:
			accepted++
		case result.NoteConflict:
		default:
			t.Errorf("a concurrent note got code %d, want 0 or NoteConflict", out.Code)
		}
		if out.Stamp == nil || *out.Stamp != *outcomes[0].Stamp {
			t.Errorf("concurrent proposers got different stamps: %+v", out.Stamp)
		}
	}
	if accepted != 1 {
		t.Errorf("%d of the concurrent notes were accepted, want 1", accepted)
	}
}

// TestIsolatedLeaderLosesLease guards against an isolated leader that still acts:
// while the others elect a leader and accept a note, its lease must expire and its
// view must stay at the former note.
func TestIsolatedLeaderLosesLease(t *testing.T) {
	f := newFleet(t, 3)
	f.waitValid("c0", "c1", "c2")
	f.propose("c0", testNote(1, "first"), 0)
	f.waitNote(1, "c0", "c1", "c2")
	old := f.leader("c0", "c1", "c2")
	var others []string
	for _, c := range f.controls {
		if c.Host != old {
			others = append(others, c.Host)
		}
	}
	f.net.isolate(old, true)
	f.leader(others...)
	f.propose(others[0], testNote(2, "without the leader"), 0)
	f.waitNote(2, others...)
	waitFor(t, "the lease of the isolated host to expire", func() bool { return !f.hosts[old].valid() })
	v := f.hosts[old].view.Current()
	if v.State.Catalog.Stamp.Number != 1 {
		t.Errorf("the isolated host has note %d, want 1", v.State.Catalog.Stamp.Number)
	}
	f.waitValid(others...)
	f.net.isolate(old, false)
	f.waitNote(2, old)
	f.waitValid(old)
}

// TestRestartRestoresCurrentState restarts all control hosts after more notes than
// fit between two snapshots, so that both snapshot and log are loaded.
func TestRestartRestoresCurrentState(t *testing.T) {
	f := newFleet(t, 3)
	f.waitValid("c0", "c1", "c2")
	const notes = 300
	for n := range uint64(notes) {
		f.propose("c0", testNote(n+1, "note"), 0)
	}
	for _, c := range f.controls {
		f.hosts[c.Host].stop()
	}
	for _, c := range f.controls {
		f.start(c.Host)
	}
	f.waitValid("c0", "c1", "c2")
	for _, c := range f.controls {
		if got := f.hosts[c.Host].noteNumber(); got != notes {
			t.Errorf("%s has note %d in force after the restart, want %d", c.Host, got, notes)
		}
	}
	f.propose("c1", testNote(notes, "note"), 0)
	f.propose("c1", testNote(notes, "another"), result.NoteConflict)
}

// TestRegisterNewProcessInvalidatesOld starts a second process of a host: the first
// must lose its valid view and be notified.
func TestRegisterNewProcessInvalidatesOld(t *testing.T) {
	f := newFleet(t, 1)
	old := f.start("e0")
	f.waitValid("c0", "e0")
	f.start("e0")
	f.waitValid("e0")
	if old.valid() {
		t.Error("the replaced process has a valid view")
	}
	<-old.replaced
}

func TestHostRemovedAfterLeaveOrCrash(t *testing.T) {
	f := newFleet(t, 1)
	f.start("e0")
	f.start("e1")
	f.waitValid("c0", "e0", "e1")
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := f.hosts["e0"].subscriber.Leave(ctx); err != nil {
		t.Fatal(err)
	}
	if f.hosts["e0"].valid() {
		t.Error("a host that left has a valid view")
	}
	f.hosts["e1"].stop()
	waitFor(t, "the removal of both hosts", func() bool {
		return len(f.hosts["c0"].view.Current().State.Hosts) == 1
	})
	f.waitValid("c0")
}

func TestStatusSettledRevisionReachesNote(t *testing.T) {
	f := newFleet(t, 3)
	f.waitValid("c0", "c1", "c2")
	out := f.propose("c0", testNote(1, "first"), 0)
	waitFor(t, "the settling of the note", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		s, err := f.hosts["c1"].control.Status(ctx)
		return err == nil && s.Settled >= out.Revision && len(s.Hosts) == 3
	})
}

// voters returns the data folder identities of the active voters, or nil if there is
// no leader.
func (f *fleet) voters(through string) map[string]string {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	s, err := f.hosts[through].control.Status(ctx)
	if err != nil || s.Role != "leader" {
		return nil
	}
	disks := make(map[string]string)
	for _, c := range s.Controls {
		if c.Voter && c.Active {
			disks[c.Host] = c.Disk
		}
	}
	return disks
}

// TestControlHostRejoinsWithEmptyDataFolder deletes the data folder of a stopped
// control host. The host must rejoin as a new member and vote, so that the group
// then survives the loss of another host.
func TestControlHostRejoinsWithEmptyDataFolder(t *testing.T) {
	f := newFleet(t, 3)
	f.waitValid("c0", "c1", "c2")
	f.propose("c0", testNote(1, "before"), 0)
	waitFor(t, "three voters", func() bool { return len(f.voters("c0")) == 3 })
	former := f.voters("c0")["c2"]
	f.hosts["c2"].stop()
	if err := os.RemoveAll(filepath.Join(f.dir, "c2")); err != nil {
		t.Fatal(err)
	}
	f.propose("c0", testNote(2, "meanwhile"), 0)
	f.start("c2")
	waitFor(t, "the host to vote with a new data folder", func() bool {
		now := f.voters("c0")
		return len(now) == 3 && now["c2"] != former
	})
	f.hosts["c1"].stop()
	f.propose("c0", testNote(3, "a second host is lost after the repair"), 0)
	f.waitNote(3, "c0", "c2")
	f.waitValid("c0", "c2")
}

// TestProposeWithoutQuorumFails checks that a proposal without a quorum is not
// acknowledged, that the lease expires, and that the host recovers with a quorum.
func TestProposeWithoutQuorumFails(t *testing.T) {
	f := newFleet(t, 3)
	f.waitValid("c0", "c1", "c2")
	f.hosts["c1"].stop()
	f.hosts["c2"].stop()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := f.hosts["c0"].control.Propose(ctx, testNote(1, "alone"))
	if code := result.CodeOf(err); code != result.NoQuorum && code != result.NotLeader {
		t.Fatalf("propose without a quorum: error %v, want code NoQuorum or NotLeader", err)
	}
	waitFor(t, "the lease to expire", func() bool { return !f.hosts["c0"].valid() })
	f.start("c1")
	f.waitValid("c0", "c1")
	f.propose("c1", testNote(1, "alone"), 0)
}
