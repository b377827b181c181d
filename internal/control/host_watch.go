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
	// removalDelayStart is the time from which hostRemovalDelay counts for a registered
	// process: when it last may have held a lease, was first seen in this leadership, or
	// its removal was last proposed.
	removalDelayStart map[lease.ID]time.Time
	lastLook          time.Time
	judgesFrom        time.Time
}

// newHostWatch returns the watch of a leadership. Leases last for leaseTime.
func newHostWatch(leaseTime time.Duration) hostWatch {
	return hostWatch{leaseTime: leaseTime, removalDelayStart: make(map[lease.ID]time.Time)}
}

// look returns the entry hosts to mark as absent, with their incarnations, and the hosts to
// remove. leased are the processes that may hold a valid lease; they are never named. The
// shares of absent hosts go to others, who then wait for no report from them.
func (w *hostWatch) look(now time.Time, state *agreed.State, leased map[lease.ID]bool) (absent map[string]uint64, removed []agreed.Host) {
	if !w.lastLook.IsZero() && now.Sub(w.lastLook) > maxLookGap {
		w.judgesFrom = now.Add(w.leaseTime)
		clear(w.removalDelayStart)
	}
	w.lastLook = now
	if now.Before(w.judgesFrom) {
		return nil, nil
	}
	absent = make(map[string]uint64)
	for _, host := range state.Hosts {
		id := lease.ID{Host: host.ID, Incarnation: host.Incarnation}
		start, seen := w.removalDelayStart[id]
		switch {
		case leased[id] || !seen:
			w.removalDelayStart[id] = now
		case now.Sub(start) >= hostRemovalDelay:
			w.removalDelayStart[id] = now
			removed = append(removed, host)
		}
		if host.Entry && !host.Absent && !leased[id] {
			absent[host.ID] = host.Incarnation
		}
	}
	maps.DeleteFunc(w.removalDelayStart, func(id lease.ID, _ time.Time) bool {
		host, ok := state.Hosts[id.Host]
		return !ok || host.Incarnation != id.Incarnation
	})
	return absent, removed
}
