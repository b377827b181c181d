package route

import (
	"slices"
	"time"
)

// pickReplica returns the replica for a read, or nil when none qualifies. The
// better of two local replicas is chosen, unless it carries SpillFactor times
// the load of the better of two remote ones.
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
	near := t.betterOfTwo(now, local)
	far := t.betterOfTwo(now, remote)
	switch {
	case near == nil:
		return far
	case far == nil:
		return near
	case t.full(near) && !t.full(far):
		return far
	case near.load(now, t.cfg) > t.cfg.SpillFactor*far.load(now, t.cfg):
		return far
	default:
		return near
	}
}

// full reports whether this host alone fills the slots of the endpoint.
func (t *Table) full(e *endpoint) bool {
	return e.member.Slots > 0 && e.running >= e.member.Slots
}

// qualifies reports whether the endpoint is a replica that may serve the read.
func (t *Table) qualifies(now time.Time, e *endpoint, need Need) bool {
	e.review(now, t.cfg)
	if !e.usable || !e.status.InRecovery || e.status.Timeline != t.view.Timeline {
		return false
	}
	if slices.Contains(need.Exclude, e.member.Endpoint) {
		return false
	}
	if need.MaxStaleness > 0 {
		return !e.freshAt.IsZero() && now.Sub(e.freshAt) <= need.MaxStaleness
	}
	return e.status.LSN >= need.Min.LSN
}

// betterOfTwo draws two candidates at random and returns the less loaded one.
func (t *Table) betterOfTwo(now time.Time, all []*endpoint) *endpoint {
	if len(all) == 0 {
		return nil
	}
	a := t.draw(now, all)
	b := t.draw(now, all)
	if b.load(now, t.cfg) < a.load(now, t.cfg) {
		return b
	}
	return a
}

// maxDraws bounds the attempts to draw by share.
const maxDraws = 8

// draw picks a candidate at random, those in slow start less often.
func (t *Table) draw(now time.Time, all []*endpoint) *endpoint {
	for range maxDraws {
		e := all[t.rand.IntN(len(all))]
		if t.rand.Float64() < e.ramp(now, t.cfg) {
			return e
		}
	}
	return all[t.rand.IntN(len(all))]
}
