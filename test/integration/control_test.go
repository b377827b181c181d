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

	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// current returns the catalog in force as a host shows it.
func (f *fleet) current(h *host) (note.Catalog, error) {
	var c note.Catalog
	err := request(f.context(), http.MethodGet, "http://"+h.settings.Admin.Listen+"/v1/notes/current", nil, &c)
	return c, err
}

// awaitNumber waits until the host shows the note as in force.
func (f *fleet) awaitNumber(h *host, number uint64) {
	f.t.Helper()
	eventually(f.t, fmt.Sprintf("note %d in force at %s", number, h.name), func() bool {
		c, err := f.current(h)
		return err == nil && c.Stamp.Number == number
	})
}

// probe tells whether a key is accepted at a host, by connecting with it.
func (f *fleet) probe(h *host, workspace, key string) error {
	conn, err := pgx.Connect(f.context(), callerURL(h, workspace, f.keys[key], services[0]))
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
		number := f.last + 1
		notes := make([]note.Note, len(f.hosts))
		answers := make([]accepted, len(f.hosts))
		errs := make([]error, len(f.hosts))
		var wg sync.WaitGroup
		for i, h := range f.hosts {
			notes[i] = note.Note{Number: number, Title: fmt.Sprintf("round %d by operator %d", round, i)}
			notes[i].Added.Keys = []note.Key{f.newKey(fmt.Sprintf("race-%d-%d", round, i), crew)}
			wg.Go(func() { answers[i], errs[i] = f.post(h, notes[i]) })
		}
		wg.Wait()
		winner := -1
		for i := range f.hosts {
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
		f.last = number
		f.resendAll(notes, winner, answers[winner])
	}
}

// resendAll sends every note again, each to another host.
func (f *fleet) resendAll(notes []note.Note, winner int, first accepted) {
	f.t.Helper()
	for i, n := range notes {
		answer, err := f.post(f.hosts[(i+1)%len(f.hosts)], n)
		if i == winner {
			if err != nil || !answer.Repeated || answer.Stamp.Digest != first.Stamp.Digest {
				f.t.Errorf("resent note: %+v, %v", answer, err)
			}
			continue
		}
		var refused *statusError
		if !errors.As(err, &refused) || refused.status != http.StatusConflict {
			f.t.Errorf("note %d of a loser: %v", n.Number, err)
		}
	}
}

// TestIsolatedControlHostRevertsNothing isolates each control host in turn,
// behind connections that stay open, while keys change.
func TestIsolatedControlHostRevertsNothing(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	for round, cut := range f.hosts[:controlCount] {
		id := fmt.Sprintf("round-%d", round)
		other := f.hosts[(round+1)%controlCount]
		f.applyAt(other, func(n *note.Note) { n.Added.Keys = []note.Key{f.newKey(id, crew)} })
		for _, h := range f.hosts {
			eventually(t, "key "+id+" accepted at "+h.name, func() bool { return f.probe(h, crew, id) == nil })
		}
		f.net.isolate(cut.name, true)
		cutAt := time.Now()
		f.applyAt(other, func(n *note.Note) { n.Withdrawn.Keys = []string{id} })
		for _, h := range f.hosts {
			eventually(t, "key "+id+" refused at "+h.name, func() bool { return f.probe(h, crew, id) != nil })
		}
		t.Logf("%s isolated: key withdrawn and refused everywhere after %s", cut.name, time.Since(cutAt))
		if code := codeOf(f.probe(cut, crew, id)); code != result.NoConfigLease {
			t.Errorf("the isolated host answers code %d", code)
		}
		for range 20 {
			for _, h := range f.hosts {
				if f.probe(h, crew, id) == nil {
					t.Fatalf("the withdrawn key is accepted again at %s", h.name)
				}
			}
		}
		f.net.heal()
		f.awaitNumber(cut, f.last)
		eventually(t, cut.name+" serves again", func() bool { return f.probe(cut, crew, crew+"-1") == nil })
		if f.probe(cut, crew, id) == nil {
			t.Errorf("the withdrawn key is accepted at %s after it came back", cut.name)
		}
	}
}

// applyAt applies the next note through a host, sending it again until it is
// answered.
func (f *fleet) applyAt(h *host, change func(*note.Note)) {
	f.t.Helper()
	n := note.Note{Number: f.last + 1}
	change(&n)
	eventually(f.t, fmt.Sprintf("note %d accepted", n.Number), func() bool {
		_, err := f.post(h, n)
		return err == nil
	})
	f.last = n.Number
}

// TestRestartAfterHundredsOfChanges kills every host after many notes and
// starts them again.
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	f := startFleet(t, fleetOptions{hosts: controlCount + 2})
	changes := 200
	for i := range changes {
		f.applyAt(f.hosts[i%controlCount], func(n *note.Note) {
			if i > 0 {
				n.Withdrawn.Keys = []string{fmt.Sprintf("change-%d", i-1)}
			}
			n.Added.Keys = []note.Key{f.newKey(fmt.Sprintf("change-%d", i), crew)}
		})
	}
	for _, h := range f.hosts {
		h.proc.kill()
	}
	for _, h := range f.hosts {
		f.startHost(h)
	}
	for _, h := range f.hosts {
		f.awaitNumber(h, f.last)
		newest := fmt.Sprintf("change-%d", changes-1)
		eventually(t, "newest key accepted at "+h.name, func() bool { return f.probe(h, crew, newest) == nil })
		if err := f.probe(h, crew, fmt.Sprintf("change-%d", changes-2)); codeOf(err) != result.BadKey {
			t.Errorf("%s: a key of an old state: %v", h.name, err)
		}
	}
}

// TestSecondHostLostRightAfterRepair replaces the disk of one control host and
// kills another as soon as the first is back.
func TestSecondHostLostRightAfterRepair(t *testing.T) {
	f := startFleet(t, fleetOptions{hosts: controlCount + 2})
	f.applyAt(f.hosts[1], func(n *note.Note) { n.Added.Keys = []note.Key{f.newKey("before", crew)} })
	repaired, lost := f.hosts[0], f.hosts[1]
	repaired.proc.kill()
	if err := os.RemoveAll(repaired.settings.Control.DataDir); err != nil {
		t.Fatal(err)
	}
	f.startHost(repaired)
	f.awaitNumber(repaired, f.last)
	lost.proc.kill()
	survivor := f.hosts[2]
	f.applyAt(survivor, func(n *note.Note) { n.Added.Keys = []note.Key{f.newKey("after", crew)} })
	for _, h := range []*host{repaired, survivor, f.hosts[3], f.hosts[4]} {
		f.awaitNumber(h, f.last)
		for _, id := range []string{"before", "after"} {
			eventually(t, "key "+id+" accepted at "+h.name, func() bool { return f.probe(h, crew, id) == nil })
		}
	}
}
