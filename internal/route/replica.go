package route

import (
	"slices"
	"time"
)

// pickReplica returns the replica for a read, or nil when none qualifies. It draws
// two local and two remote replicas and takes the less loaded of each pair. The
// local one is preferred unless its load exceeds SpillFactor times that of the
// remote one, or its slots are full and those of the remote one are not.
func (t *Table) pickReplica(now time.Time, need Need) *endpoint {
	var local, remote []*endpoint
	for _, e := range t.members {
		if !t.qualifies(now, e, need) {
			continue
		}
		if e.member.Domain == t.cfg.Domain {
			local = append(local, e)
		} else {
			remote = append(remote, e)
		}
	}
	bestLocal := t.lessLoadedOfTwo(now, local)
	bestRemote := t.lessLoadedOfTwo(now, remote)
	switch {
	case bestLocal == nil:
		return bestRemote
	case bestRemote == nil:
		return bestLocal
	case t.slotsFull(bestLocal) && !t.slotsFull(bestRemote):
		return bestRemote
	case bestLocal.load(now, t.cfg) > t.cfg.SpillFactor*bestRemote.load(now, t.cfg):
		return bestRemote
	default:
		return bestLocal
	}
}

// slotsFull reports whether the requests of this host alone fill the slots of the
// endpoint.
func (t *Table) slotsFull(e *endpoint) bool {
	return e.member.Slots > 0 && e.inflight >= e.member.Slots
}

// qualifies reports whether the endpoint is a replica that may serve the read.
func (t *Table) qualifies(now time.Time, e *endpoint, need Need) bool {
	e.updateUsable(now, t.cfg)
	if !e.usable || !e.status.InRecovery || e.status.Timeline != t.view.Timeline {
		return false
	}
	if slices.Contains(need.Exclude, e.member.Endpoint) {
		return false
	}
	if need.MaxStaleness > 0 {
		return !e.freshAt.IsZero() && now.Sub(e.freshAt) <= need.MaxStaleness
	}
	return e.status.LSN >= need.MinPosition.LSN
}

// lessLoadedOfTwo draws two candidates at random and returns the less loaded one, or
// nil when there is none.
func (t *Table) lessLoadedOfTwo(now time.Time, all []*endpoint) *endpoint {
	if len(all) == 0 {
		return nil
	}
	a := t.drawCandidate(now, all)
	b := t.drawCandidate(now, all)
	if b.load(now, t.cfg) < a.load(now, t.cfg) {
		return b
	}
	return a
}

// maxDraws bounds the rejections of candidates in slow start.
const maxDraws = 8

// drawCandidate returns a random candidate. Those in slow start are drawn less often.
func (t *Table) drawCandidate(now time.Time, all []*endpoint) *endpoint {
	for range maxDraws {
		e := all[t.rand.IntN(len(all))]
		if t.rand.Float64() < e.ramp(now, t.cfg) {
			return e
		}
	}
	return all[t.rand.IntN(len(all))]
}
