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
	// maxRecentStates is the number of revisions kept as the base of deltas. A
	// subscriber further behind gets a snapshot.
	maxRecentStates = 256
	// resendDelay is how long a subscriber may lag behind the pushed revision before
	// the pushes are considered lost and repeated. It is many round trips between
	// failure domains (3 ms).
	resendDelay = 100 * time.Millisecond
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
	lastSeen    time.Time
}

// recentStates holds the last maxRecentStates states in ascending order of
// revision.
type recentStates struct {
	states []*agreed.State
}

func (r *recentStates) add(s *agreed.State) {
	r.states = append(r.states, s)
	if len(r.states) > maxRecentStates {
		r.states = slices.Delete(r.states, 0, len(r.states)-maxRecentStates)
	}
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
	if sub.acknowledge(now, applied) && sub.sent < h.state.Revision {
		h.push(now, id, sub, map[uint64]cbor.RawMessage{})
	}
}

// acknowledge records the revision that the host has applied. It reports whether
// the next push should start there: nothing is in flight, or what is in flight is
// considered lost after resendDelay without progress.
func (s *subscription) acknowledge(now time.Time, applied uint64) bool {
	if applied != s.applied {
		s.applied, s.behindSince = applied, now
	}
	if s.sent > applied && now.Sub(s.behindSince) < resendDelay {
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

// pushAll pushes the state to every subscriber that lacks it and drops expired
// subscriptions. Subscribers at the same revision share one encoded delta.
func (h *Host) pushAll(now time.Time) {
	encoded := make(map[uint64]cbor.RawMessage)
	for id, sub := range h.subscribers {
		if now.Sub(sub.lastSeen) > subscriptionTimeout {
			delete(h.subscribers, id)
			continue
		}
		if sub.sent < h.state.Revision {
			h.push(now, id, sub, encoded)
		}
	}
}

// push sends a delta, or a snapshot to a subscriber that is too far behind. encoded
// caches the encoded messages by the revision at which they start, a snapshot under
// noRevision.
func (h *Host) push(now time.Time, id lease.ID, sub *subscription, encoded map[uint64]cbor.RawMessage) {
	kind, from := peer.KindDelta, sub.sent
	base := h.recent.at(from)
	if base == nil {
		kind, from = peer.KindSnapshot, noRevision
	}
	data, ok := encoded[from]
	if !ok {
		var err error
		if data, err = h.encodePush(base); err != nil {
			h.log.Error("push_encode_failed", "err", err.Error())
			return
		}
		encoded[from] = data
	}
	if err := h.opts.Peer.Send(id.Host, sub.addr, kind, data); err != nil {
		h.log.Debug("push_failed", "peer", id.Host, "err", err.Error())
		return
	}
	sub.recordPush(now, h.state.Revision)
}

// noRevision is the cache key of a snapshot. It exceeds every revision.
const noRevision = ^uint64(0)

func (h *Host) encodePush(base *agreed.State) ([]byte, error) {
	if base != nil {
		return peer.Marshal(agreed.Diff(base, h.state))
	}
	state, err := h.state.ForSubscriber().Encode()
	if err != nil {
		return nil, err
	}
	return peer.Marshal(snapshotPush{State: state})
}
