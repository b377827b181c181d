package control_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/consensus"
	"github.com/galenabridge/galenabridge/internal/control"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/store"
)

// disk is the disk of a host, which may be full. It outlives the host's processes.
type disk struct {
	full    atomic.Bool
	refused atomic.Int64 // saves
}

func (d *disk) open(dir string) (control.Store, error) {
	st, err := store.Open(dir, store.Options{})
	if err != nil {
		return nil, err
	}
	if d == nil {
		return st, nil
	}
	return &fillableStore{Store: st, disk: d}, nil
}

// fillableStore refuses to save while its disk is full.
type fillableStore struct {
	control.Store
	disk *disk
}

func (s *fillableStore) Save(d consensus.Durable) error {
	if s.disk.full.Load() && !d.Empty() {
		s.disk.refused.Add(1)
		return result.New(result.DiskFull, "no space left")
	}
	return s.Store.Save(d)
}

// TestDisksFullInTurnChangesGoOn fills the disks of the control hosts one after another,
// never two at once, while changes are proposed through every host. It guards against a
// fleet that takes no changes any more after all disks have room again, and against the loss
// of an acknowledged change. The last disk that fills up is the leader's.
func TestDisksFullInTurnChangesGoOn(t *testing.T) {
	f := newFleet(t, 5)
	f.waitValid("c0", "c1", "c2", "c3", "c4")
	accepted := uint64(0)
	// change proposes the next note through a host for at most a second. A note without
	// an answer may or may not be in force, so that the next one may repeat its number.
	change := func(host string) bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		number := accepted + 1
		out, err := f.hosts[host].control.Propose(ctx, testNote(number, fmt.Sprint("note ", number)))
		if err != nil || out.Code != 0 {
			return false
		}
		accepted = number
		return true
	}
	leader := func() string {
		for _, c := range f.controls {
			if f.hosts[c.Host].metric(t, "galenabridge_control_leading") == 1 {
				return c.Host
			}
		}
		return ""
	}
	for turn := range 6 {
		full := f.controls[turn%5].Host
		if turn == 5 {
			waitFor(t, "a leader", func() bool { full = leader(); return full != "" })
		}
		f.disks[full].full.Store(true)
		waitFor(t, "a save that the full disk of "+full+" refuses", func() bool {
			change(f.controls[(turn+1)%5].Host)
			return f.disks[full].refused.Load() > 0
		})
		waitFor(t, "changes beside the full disk of "+full, func() bool { return change(f.controls[(turn+2)%5].Host) })
		f.disks[full].full.Store(false)
		f.disks[full].refused.Store(0)
	}
	for _, c := range f.controls {
		waitFor(t, "a change through "+c.Host+" after all disks have room", func() bool { return change(c.Host) })
	}
	for _, c := range f.controls {
		f.hosts[c.Host].stop()
	}
	for _, c := range f.controls {
		f.start(c.Host)
	}
	f.waitNote(accepted, "c0", "c1", "c2", "c3", "c4")
}
