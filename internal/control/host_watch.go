package control

import (
	"maps"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/lease"
	"github.com/galenabridge/galenabridge/internal/quota"
)

const (
	// hostRemovalDelay is how long a host stays registered after its lease expired. It is
	// as long as a share of a limit: a host that returns later has none left. One that
	// returns before acts again without waiting until a registration is settled.
	hostRemovalDelay = quota.DefaultShareLease
	// maxLookGap is the longest pause between two looks of a hostWatch after which it still
	// judges others by it. It is four intervals of the leader's tasks.
	maxLookGap = 4 * leaderTaskInterval
)

// hostWatch decides which hosts are absent and which leave the fleet, on the leader. A
// leader that was suspended judges nobody until the hosts had the time of a lease to renew
// theirs: the silence was its own.
type hostWatch struct {
	leaseTime time.Duration
	// processes are the registered processes.
	processes  map[lease.ID]watchedProcess
	lastLook   time.Time
	judgesFrom time.Time
}

// watchedProcess is what a hostWatch has seen of a registered process.
type watchedProcess struct {
	// removalDelayStart is the time from which hostRemovalDelay counts: when the process
	// last may have held a lease, was first seen in this leadership, or its removal was last
	// proposed.
	removalDelayStart time.Time
	// leased is set if the process was seen with a lease since it registered, and
	// registered is when it was seen to register, at the earliest.
	leased     bool
	registered time.Time
}

// newHostWatch returns the watch of a leadership. Leases last for leaseTime.
func newHostWatch(leaseTime time.Duration) hostWatch {
	return hostWatch{leaseTime: leaseTime, processes: make(map[lease.ID]watchedProcess)}
}

// look returns the entry hosts to mark as absent, with their incarnations, and the hosts to
// remove. leased are the processes that may hold a valid lease; they are never named. The
// shares of absent hosts go to others, who then wait for no report from them. A process that
// has just registered gets the time of a lease to be granted one.
func (w *hostWatch) look(now time.Time, state *agreed.State, leased map[lease.ID]bool) (absent map[string]uint64, removed []agreed.Host) {
	if !w.lastLook.IsZero() && now.Sub(w.lastLook) > maxLookGap {
		w.judgesFrom = now.Add(w.leaseTime)
		clear(w.processes)
	}
	w.lastLook = now
	if now.Before(w.judgesFrom) {
		return nil, nil
	}
	absent = make(map[string]uint64)
	for _, host := range state.Hosts {
		id := lease.ID{Host: host.ID, Incarnation: host.Incarnation}
		p, seen := w.processes[id]
		if !seen {
			p = watchedProcess{removalDelayStart: now, registered: now}
		}
		switch {
		case leased[id]:
			p.removalDelayStart, p.leased = now, true
		case now.Sub(p.removalDelayStart) >= hostRemovalDelay:
			p.removalDelayStart = now
			removed = append(removed, host)
		}
		switch {
		case host.Absent:
			p.registered, p.leased = now, false
		case host.Entry && !leased[id] && (p.leased || now.Sub(p.registered) >= w.leaseTime):
			absent[host.ID] = host.Incarnation
		}
		w.processes[id] = p
	}
	maps.DeleteFunc(w.processes, func(id lease.ID, _ watchedProcess) bool {
		host, ok := state.Hosts[id.Host]
		return !ok || host.Incarnation != id.Incarnation
	})
	return absent, removed
}
