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

// awaitNumber waits until the host shows the note as in force.
func (f *fleet) awaitNumber(h *host, number uint64) {
	f.t.Helper()
	eventually(f.t, fmt.Sprintf("note %d in force at %s", number, h.Name), func() bool {
		c, err := f.Catalog(f.context(), h)
		return err == nil && c.Stamp.Number == number
	})
}

// probe tells whether a key is accepted at a host, by connecting with it.
func (f *fleet) probe(h *host, workspace, key string) error {
	conn, err := pgx.Connect(f.context(), localfleet.CallerURL(h, workspace, f.Keys[key], services[0]))
	if err != nil {
		return err
	}
	closeConn(conn)
	return nil
}

// TestOperatorsRaceUnderEqualNumbers sends different notes of one number to
// several hosts at once and then all of them again.
func TestOperatorsRaceUnderEqualNumbers(t *testing.T) {
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
				t.Fatalf("round %d: operators %d and %d were both accepted", round, winner, i)
			}
			winner = i
		}
		if winner < 0 {
			t.Fatalf("round %d: nobody was accepted: %v", round, errs)
		}
		f.LastNote = number
		f.resendAll(notes, winner, answers[winner])
	}
}

// resendAll sends every note again, each to another host.
func (f *fleet) resendAll(notes []note.Note, winner int, first localfleet.NoteResponse) {
	f.t.Helper()
	for i, n := range notes {
		answer, err := f.PostNote(f.context(), f.Hosts[(i+1)%len(f.Hosts)], n)
		if i == winner {
			if err != nil || !answer.Repeated || answer.Stamp.Digest != first.Stamp.Digest {
				f.t.Errorf("resent note: %+v, %v", answer, err)
			}
			continue
		}
		var refused *localfleet.StatusError
		if !errors.As(err, &refused) || refused.Status != http.StatusConflict {
			f.t.Errorf("note %d of a loser: %v", n.Number, err)
		}
	}
}

// TestIsolatedControlHostRevertsNothing isolates each control host in turn,
// behind connections that stay open, while keys change.
func TestIsolatedControlHostRevertsNothing(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	for round, cut := range f.Hosts[:controlCount] {
		id := fmt.Sprintf("round-%d", round)
		other := f.Hosts[(round+1)%controlCount]
		f.apply(other, func(n *note.Note) { n.Added.Keys = []note.Key{f.NewKey(id, crew)} })
		for _, h := range f.Hosts {
			eventually(t, "key "+id+" accepted at "+h.Name, func() bool { return f.probe(h, crew, id) == nil })
		}
		f.net.isolate(cut.Name, true)
		cutAt := time.Now()
		f.apply(other, func(n *note.Note) { n.Withdrawn.Keys = []string{id} })
		for _, h := range f.Hosts {
			eventually(t, "key "+id+" refused at "+h.Name, func() bool { return f.probe(h, crew, id) != nil })
		}
		t.Logf("%s isolated: key withdrawn and refused everywhere after %s", cut.Name, time.Since(cutAt))
		if code := codeOf(f.probe(cut, crew, id)); code != result.NoConfigLease {
			t.Errorf("the isolated host answers code %d", code)
		}
		for range 20 {
			for _, h := range f.Hosts {
				if f.probe(h, crew, id) == nil {
					t.Fatalf("the withdrawn key is accepted again at %s", h.Name)
				}
			}
		}
		f.net.heal()
		f.awaitNumber(cut, f.LastNote)
		eventually(t, cut.Name+" serves again", func() bool { return f.probe(cut, crew, crew+"-1") == nil })
		if f.probe(cut, crew, id) == nil {
			t.Errorf("the withdrawn key is accepted at %s after it came back", cut.Name)
		}
	}
}

// TestRestartAfterHundredsOfChanges kills every host after many notes and
// starts them again.
func TestRestartAfterHundredsOfChanges(t *testing.T) {
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
		f.mustStart(h)
	}
	for _, h := range f.Hosts {
		f.awaitNumber(h, f.LastNote)
		newest := fmt.Sprintf("change-%d", changes-1)
		eventually(t, "newest key accepted at "+h.Name, func() bool { return f.probe(h, crew, newest) == nil })
		if err := f.probe(h, crew, fmt.Sprintf("change-%d", changes-2)); codeOf(err) != result.BadKey {
			t.Errorf("%s: a key of an old state: %v", h.Name, err)
		}
	}
}

// disk returns the data folder with which a control host votes and is heard in
// a committed group of full size, as another host reports it. It is empty
// while that is not so.
func (f *fleet) disk(reporter, voter *host) string {
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

// TestSecondHostLostRightAfterRepair replaces the disk of one control host and
// kills another as soon as the first is back.
func TestSecondHostLostRightAfterRepair(t *testing.T) {
	f := startFleet(t, fleetOptions{hosts: controlCount + 2})
	f.apply(f.Hosts[1], func(n *note.Note) { n.Added.Keys = []note.Key{f.NewKey("before", crew)} })
	repaired, lost := f.Hosts[0], f.Hosts[1]
	survivor := f.Hosts[2]
	var former string
	eventually(t, "the host votes", func() bool {
		former = f.disk(survivor, repaired)
		return former != ""
	})
	repaired.Proc.Kill()
	if err := os.RemoveAll(repaired.Settings.Control.DataDir); err != nil {
		t.Fatal(err)
	}
	f.mustStart(repaired)
	eventually(t, "the host votes with its new data folder", func() bool {
		disk := f.disk(survivor, repaired)
		return disk != "" && disk != former
	})
	lost.Proc.Kill()
	f.apply(survivor, func(n *note.Note) { n.Added.Keys = []note.Key{f.NewKey("after", crew)} })
	for _, h := range []*host{repaired, survivor, f.Hosts[3], f.Hosts[4]} {
		f.awaitNumber(h, f.LastNote)
		for _, id := range []string{"before", "after"} {
			eventually(t, "key "+id+" accepted at "+h.Name, func() bool { return f.probe(h, crew, id) == nil })
		}
	}
}
