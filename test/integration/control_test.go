//go:build fleet

package integration

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/galenabridge/galenabridge/internal/localfleet"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// awaitNote waits until the host reports the note with the number as the one in force.
func (f *fleet) awaitNote(h *host, number uint64) {
	f.t.Helper()
	eventually(f.t, fmt.Sprintf("note %d in force at %s", number, h.Name), func() bool {
		c, err := f.CurrentCatalog(f.context(), h)
		return err == nil && c.Stamp.Number == number
	})
}

// checkKey connects to a host with a key. It returns nil if the host accepts the key, or else the
// error of the connection.
func (f *fleet) checkKey(h *host, workspace, key string) error {
	conn, err := pgx.Connect(f.context(), localfleet.CallerURL(h, workspace, f.Keys[key], services[0]))
	if err != nil {
		return err
	}
	closeConn(conn)
	return nil
}

// TestNotesSameNumberConcurrentOneAccepted guards against two accepted notes with one number: all
// hosts receive a different note with the next number at the same time. Sent again to other hosts,
// the accepted note is reported as repeated and all others conflict.
func TestNotesSameNumberConcurrentOneAccepted(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	for round := range 5 {
		number := f.LastNote + 1
		notes := make([]note.Note, len(f.Hosts))
		answers := make([]localfleet.NoteResponse, len(f.Hosts))
		errs := make([]error, len(f.Hosts))
		var wg sync.WaitGroup
		for i, h := range f.Hosts {
			notes[i] = note.Note{Number: number, Title: fmt.Sprintf("round %d by operator %d", round, i)}
			notes[i].Added.Keys = []note.Key{f.NewKey(fmt.Sprintf("race-%d-%d", round, i), crew)}
			wg.Go(func() { answers[i], errs[i] = f.PostNote(f.context(), h, notes[i]) })
		}
		wg.Wait()
		winner := -1
		for i := range f.Hosts {
			if errs[i] != nil {
				continue
			}
			if winner >= 0 {
				t.Fatalf("round %d: the notes of operators %d and %d were both accepted", round, winner, i)
			}
			winner = i
		}
		if winner < 0 {
			t.Fatalf("round %d: no note was accepted: %v", round, errs)
		}
		f.LastNote = number
		f.resendAll(notes, winner, answers[winner])
	}
}

// resendAll sends every note again, each to a different host than before. The winner's note must be
// answered as repeated, with the digest of the first answer, and all others as a conflict.
func (f *fleet) resendAll(notes []note.Note, winner int, first localfleet.NoteResponse) {
	f.t.Helper()
	for i, n := range notes {
		answer, err := f.PostNote(f.context(), f.Hosts[(i+1)%len(f.Hosts)], n)
		if i == winner {
			if err != nil || !answer.Repeated || answer.Stamp.Digest != first.Stamp.Digest {
				f.t.Errorf("resent note: %+v, %v; want repeated with the first digest", answer, err)
			}
			continue
		}
		var refused *localfleet.StatusError
		if !errors.As(err, &refused) || refused.Status != http.StatusConflict {
			f.t.Errorf("resent note %d that was not accepted: %v, want a conflict", n.Number, err)
		}
	}
}

// TestControlHostIsolatedWithdrawnKeyStaysRefused guards against a stale control host that brings
// an old state back. Each control host in turn is isolated while its connections stay open, and a
// key is withdrawn meanwhile. Every host, the isolated one included, must refuse the key, also
// after the partition heals.
func TestControlHostIsolatedWithdrawnKeyStaysRefused(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	for round, isolated := range f.Hosts[:controlCount] {
		id := fmt.Sprintf("round-%d", round)
		other := f.Hosts[(round+1)%controlCount]
		f.apply(other, func(n *note.Note) { n.Added.Keys = []note.Key{f.NewKey(id, crew)} })
		for _, h := range f.Hosts {
			eventually(t, "key "+id+" accepted at "+h.Name, func() bool { return f.checkKey(h, crew, id) == nil })
		}
		f.net.isolate(isolated.Name, true)
		cutAt := time.Now()
		f.apply(other, func(n *note.Note) { n.Withdrawn.Keys = []string{id} })
		for _, h := range f.Hosts {
			eventually(t, "key "+id+" refused at "+h.Name, func() bool { return f.checkKey(h, crew, id) != nil })
		}
		t.Logf("%s isolated: key withdrawn and refused everywhere after %s", isolated.Name, time.Since(cutAt))
		if code := codeOf(f.checkKey(isolated, crew, id)); code != result.NoConfigLease {
			t.Errorf("the isolated host answers code %d, want that of a missing configuration lease", code)
		}
		for range 20 {
			for _, h := range f.Hosts {
				if f.checkKey(h, crew, id) == nil {
					t.Fatalf("the withdrawn key is accepted again at %s", h.Name)
				}
			}
		}
		f.net.heal()
		f.awaitNote(isolated, f.LastNote)
		eventually(t, isolated.Name+" serves again", func() bool { return f.checkKey(isolated, crew, crew+"-1") == nil })
		if f.checkKey(isolated, crew, id) == nil {
			t.Errorf("the withdrawn key is accepted at %s after the partition", isolated.Name)
		}
	}
}

// TestHostsKilledAfterManyNotesRecoverState guards against a stored state that falls behind the
// notes in force: all hosts are killed after many notes and started again.
func TestHostsKilledAfterManyNotesRecoverState(t *testing.T) {
	f := startFleet(t, fleetOptions{hosts: controlCount + 2})
	changes := 200
	for i := range changes {
		f.apply(f.Hosts[i%controlCount], func(n *note.Note) {
			if i > 0 {
				n.Withdrawn.Keys = []string{fmt.Sprintf("change-%d", i-1)}
			}
			n.Added.Keys = []note.Key{f.NewKey(fmt.Sprintf("change-%d", i), crew)}
		})
	}
	for _, h := range f.Hosts {
		h.Proc.Kill()
	}
	for _, h := range f.Hosts {
		f.restartHost(h)
	}
	for _, h := range f.Hosts {
		f.awaitNote(h, f.LastNote)
		newest := fmt.Sprintf("change-%d", changes-1)
		eventually(t, "newest key accepted at "+h.Name, func() bool { return f.checkKey(h, crew, newest) == nil })
		if err := f.checkKey(h, crew, fmt.Sprintf("change-%d", changes-2)); codeOf(err) != result.BadKey {
			t.Errorf("%s: key withdrawn by the last note: %v, want a bad key", h.Name, err)
		}
	}
}

// votingDataDir returns the id of the data folder with which a control host is an active voter, as
// another host reports it. It is empty while the host is not an active voter or the reported group
// is not of full size.
func (f *fleet) votingDataDir(reporter, voter *host) string {
	s, err := f.ControlStatus(f.context(), reporter)
	if err != nil || len(s.Controls) != controlCount {
		return ""
	}
	for _, c := range s.Controls {
		if c.Host == voter.Name && c.Voter && c.Active {
			return c.Disk
		}
	}
	return ""
}

// TestControlHostKilledAfterDiskReplacementKeepsNotes guards against notes lost with a second
// control host right after the repair of a first one. One control host loses its data folder, and
// another is killed as soon as the first one votes with its new folder. Notes from before and after
// must be in force at all other hosts.
func TestControlHostKilledAfterDiskReplacementKeepsNotes(t *testing.T) {
	f := startFleet(t, fleetOptions{hosts: controlCount + 2})
	f.apply(f.Hosts[1], func(n *note.Note) { n.Added.Keys = []note.Key{f.NewKey("before", crew)} })
	repaired, lost := f.Hosts[0], f.Hosts[1]
	survivor := f.Hosts[2]
	var formerDir string
	eventually(t, "the host votes", func() bool {
		formerDir = f.votingDataDir(survivor, repaired)
		return formerDir != ""
	})
	repaired.Proc.Kill()
	if err := os.RemoveAll(repaired.Settings.Control.DataDir); err != nil {
		t.Fatal(err)
	}
	f.restartHost(repaired)
	eventually(t, "the host votes with its new data folder", func() bool {
		dir := f.votingDataDir(survivor, repaired)
		return dir != "" && dir != formerDir
	})
	lost.Proc.Kill()
	f.apply(survivor, func(n *note.Note) { n.Added.Keys = []note.Key{f.NewKey("after", crew)} })
	for _, h := range []*host{repaired, survivor, f.Hosts[3], f.Hosts[4]} {
		f.awaitNote(h, f.LastNote)
		for _, id := range []string{"before", "after"} {
			eventually(t, "key "+id+" accepted at "+h.Name, func() bool { return f.checkKey(h, crew, id) == nil })
		}
	}
}
