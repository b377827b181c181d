package control

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/lease"
	"github.com/galenabridge/galenabridge/internal/peer"
)

// Limits of the distribution of states to subscribers.
const (
	// maxRecentStates is the number of pushed revisions kept as the base of deltas: those of
	// 2.5 s of changes. A subscriber further behind gets a snapshot.
	maxRecentStates = 64
	// maxRecentBytes bounds what they hold beside the last one, in bytes: a tenth of the memory of a
	// control host (280 MB).
	maxRecentBytes = 28 << 20
	// resendDelay is how long a subscriber may lag behind the pushed revision before
	// the pushes are considered lost and repeated. It is many round trips between
	// failure domains (3 ms).
	resendDelay = 100 * time.Millisecond
	// assumedRate is added to resendDelay for what was pushed since: bytes a second, less than
	// half of the thinnest link (2 Mbit/s). A snapshot that is still on its way over such a link
	// must not be followed by another.
	assumedRate = 100_000
	// pushInterval is the minimum time between two pushes to all subscribers. The first
	// change is pushed at once. When many hosts register at the same time, each push
	// carries the registrations of an interval, and is answered by one lease request.
	pushInterval = 40 * time.Millisecond
	// snapshotReuse is how long an encoded snapshot is sent to new subscribers, followed
	// by a delta. Encoding one takes far longer than sending it.
	snapshotReuse = time.Second
	// subscriptionTimeout ends the subscription of a host that sends no lease requests.
	subscriptionTimeout = 5 * time.Second
)

// subscription is a host that receives the agreed state from this one.
type subscription struct {
	addr string
	// sent is the revision last pushed, applied the one last acknowledged by the
	// host. sent is never below applied.
	sent    uint64
	applied uint64
	// behindSince is since when the host has lagged behind sent without progress.
	// Once it has missed a delta it cannot apply the later ones.
	behindSince time.Time
	// inFlight is the number of bytes pushed since the host last made progress.
	inFlight int
	lastSeen time.Time
}

// awaitsAnswer reports whether a push is on its way, or lost. The host gets the changes since in
// one push once it has answered: more pushes would fill a thin link with changes that later ones
// replace, and its lease would end behind them.
func (s *subscription) awaitsAnswer() bool { return s.sent > s.applied }

// resendAfter returns how long the host may lag without progress before pushes are repeated.
func (s *subscription) resendAfter() time.Duration {
	return resendDelay + time.Duration(s.inFlight)*time.Second/assumedRate
}

// recentStates holds the last states that were pushed, as subscribers have them, in ascending order of
// revision: at most maxRecentStates, and of maxRecentBytes beside the last one.
type recentStates struct {
	states []*agreed.State
	// sizes holds for each state the memory that the one after it does not share, in bytes, and zero
	// for the last one. total is their sum.
	sizes []int
	total int
}

func (r *recentStates) add(s *agreed.State) {
	n := len(r.states)
	if n > 0 && r.states[n-1].Revision >= s.Revision {
		return
	}
	if n > 0 {
		r.sizes[n-1] = r.states[n-1].UnsharedSize(s)
		r.total += r.sizes[n-1]
	}
	r.states, r.sizes = append(r.states, s.ForSubscriber()), append(r.sizes, 0)
	drop := 0
	for len(r.states)-drop > maxRecentStates || r.total > maxRecentBytes {
		r.total -= r.sizes[drop]
		drop++
	}
	r.states, r.sizes = slices.Delete(r.states, 0, drop), slices.Delete(r.sizes, 0, drop)
}

// last returns the latest state, or nil if none is held.
func (r *recentStates) last() *agreed.State {
	if len(r.states) == 0 {
		return nil
	}
	return r.states[len(r.states)-1]
}

// at returns the state at a revision, or nil if it is not held.
func (r *recentStates) at(revision uint64) *agreed.State {
	i, ok := slices.BinarySearchFunc(r.states, revision, func(s *agreed.State, revision uint64) int {
		switch {
		case s.Revision < revision:
			return -1
		case s.Revision > revision:
			return 1
		}
		return 0
	})
	if !ok {
		return nil
	}
	return r.states[i]
}

// updateSubscriber records the revision applied by a host, subscribing it if
// necessary, and pushes what it lacks.
func (h *Host) updateSubscriber(now time.Time, id lease.ID, addr string, applied uint64) {
	sub := h.subscribers[id]
	if sub == nil {
		sub = &subscription{sent: applied, applied: applied}
		h.subscribers[id] = sub
	}
	sub.addr, sub.lastSeen = addr, now
	sent, behind, inFlight := sub.sent, sub.behindSince, sub.inFlight
	if sub.acknowledge(now, applied) && sub.sent < h.pushes.pushed {
		if sent > applied {
			h.log.Info("push_repeated", "peer", id.Host, "sent", sent, "applied", applied, "after_ms", now.Sub(behind).Milliseconds(), "bytes", inFlight)
		}
		h.push(now, id, sub)
	}
}

// acknowledge records the revision that the host has applied. It reports whether
// the next push should start there: nothing is in flight, or what is in flight is
// considered lost after resendAfter without progress.
func (s *subscription) acknowledge(now time.Time, applied uint64) bool {
	if applied != s.applied {
		s.applied, s.behindSince, s.inFlight = applied, now, 0
	}
	if s.sent > applied && now.Sub(s.behindSince) < s.resendAfter() {
		return false
	}
	s.sent = applied
	return true
}

// recordPush records a push up to a revision.
func (s *subscription) recordPush(now time.Time, revision uint64) {
	if s.sent <= s.applied {
		s.behindSince = now
	}
	s.sent = revision
}

// pushState is the state of the pushes to all subscribers.
type pushState struct {
	next time.Time // when the next push is due at the earliest
	due  bool      // the state has changed since the last push
	// pushed is the revision of the last push, catalog the number of its note or document.
	pushed, catalog uint64
	// encoded are the messages that lead to the revision encodedFor, by the revision at
	// which they start.
	encoded    map[uint64]cbor.RawMessage
	encodedFor uint64
	// snapshot is the message with the state at snapshotRevision, encoded at snapshotAt.
	snapshot         cbor.RawMessage
	snapshotRevision uint64
	snapshotAt       time.Time
}

// pushChanges pushes the state to all subscribers, or leaves it to the tick that follows
// pushInterval after the last push. A new catalog is pushed at once: an operator who withdraws a
// change right after it was acknowledged would have it in force for that long. Catalogs are rare
// beside registrations, and a host that has not answered the last push gets none.
func (h *Host) pushChanges(now time.Time) {
	if now.Before(h.pushes.next) && h.state.Catalog.Stamp.Number == h.pushes.catalog {
		h.pushes.due = true
		return
	}
	h.pushes.next, h.pushes.due = now.Add(pushInterval), false
	h.pushAll(now)
}

// pushAll pushes the state to every subscriber that lacks it and has answered the push before, and
// drops expired subscriptions.
func (h *Host) pushAll(now time.Time) {
	h.recent.add(h.state)
	h.pushes.pushed, h.pushes.catalog = h.state.Revision, h.state.Catalog.Stamp.Number
	for id, sub := range h.subscribers {
		if now.Sub(sub.lastSeen) > subscriptionTimeout {
			delete(h.subscribers, id)
			continue
		}
		if sub.sent < h.state.Revision && !sub.awaitsAnswer() {
			h.push(now, id, sub)
		}
	}
}

// push sends a delta to the latest pushed state. A subscriber that is too far behind gets a
// snapshot before it.
func (h *Host) push(now time.Time, id lease.ID, sub *subscription) {
	target := h.recent.last()
	if target == nil || h.recent.at(sub.sent) == nil && !h.pushSnapshot(now, id, sub, target) {
		return
	}
	if sub.sent == target.Revision {
		return
	}
	data, err := h.encodedDelta(sub.sent, target)
	if err != nil {
		h.log.Error("push_encode_failed", "err", err.Error())
		return
	}
	h.sendPush(now, id, sub, peer.KindDelta, data, target.Revision)
}

// pushSnapshot sends a snapshot of a state or of one pushed shortly before, and reports whether
// it was sent. It is newer than what the subscriber has, which may be a revision that another
// control host has pushed and this one has not: the subscriber ignores an older one.
func (h *Host) pushSnapshot(now time.Time, id lease.ID, sub *subscription, target *agreed.State) bool {
	p := &h.pushes
	if p.snapshot == nil || p.snapshotRevision <= sub.sent || now.Sub(p.snapshotAt) > snapshotReuse || h.recent.at(p.snapshotRevision) == nil {
		push, err := newSnapshotPush(target.ForSubscriber())
		if err == nil {
			p.snapshot, err = peer.Marshal(push)
		}
		if err != nil {
			h.log.Error("push_encode_failed", "err", err.Error())
			return false
		}
		p.snapshotRevision, p.snapshotAt = target.Revision, now
	}
	return h.sendPush(now, id, sub, peer.KindSnapshot, p.snapshot, p.snapshotRevision)
}

// encodedDelta returns the delta from a revision to a state. Subscribers at the same revision
// share it.
func (h *Host) encodedDelta(from uint64, target *agreed.State) (cbor.RawMessage, error) {
	p := &h.pushes
	if p.encoded == nil || p.encodedFor != target.Revision {
		p.encoded, p.encodedFor = make(map[uint64]cbor.RawMessage), target.Revision
	}
	data, ok := p.encoded[from]
	if !ok {
		push, err := newDeltaPush(agreed.Diff(h.recent.at(from), target))
		if err != nil {
			return nil, err
		}
		if data, err = peer.Marshal(push); err != nil {
			return nil, err
		}
		p.encoded[from] = data
	}
	return data, nil
}

// sendPush sends a message that leads a subscriber to a revision.
func (h *Host) sendPush(now time.Time, id lease.ID, sub *subscription, kind peer.Kind, data cbor.RawMessage, revision uint64) bool {
	if err := h.opts.Peer.SendTo(peer.Identity{Host: id.Host, Incarnation: id.Incarnation, Addr: sub.addr}, kind, data); err != nil {
		h.log.Debug("push_failed", "peer", id.Host, "err", err.Error())
		return false
	}
	sub.recordPush(now, revision)
	sub.inFlight += len(data)
	return true
}
