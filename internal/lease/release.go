package lease

import "slices"

// maxReleased bounds the recorded releases; all are discarded when it is reached. A
// request that arrives after its release has been discarded counts as
// a lease for a full lease time.
const maxReleased = 4096

// release drops the requests of a holder that has switched to another broker, and its
// lease unless the holder keeps it. The number of the release is recorded, so that
// Receive ignores an earlier request that arrives later.
func (b *Broker) release(key sessionKey, r Renew) {
	b.waiting = slices.DeleteFunc(b.waiting, func(w request) bool { return w.key == key })
	b.inRound = slices.DeleteFunc(b.inRound, func(w request) bool { return w.key == key })
	if len(b.released) >= maxReleased {
		clear(b.released)
	}
	b.released[key], b.holdersRemoved = r.Seq, true
	if s := b.sessions[key]; s != nil && r.KeepLeases {
		s.pending = false
		return
	}
	delete(b.sessions, key)
}

// StepDown drops the requests and leases of relays when the host is no longer leader.
// Relays send requests only to the leader, and a new leader counts all leases or
// waits until they have ended.
func (b *Broker) StepDown() {
	ofRelay := func(w request) bool { return w.key.relay }
	b.waiting = slices.DeleteFunc(b.waiting, ofRelay)
	b.inRound = slices.DeleteFunc(b.inRound, ofRelay)
	for key := range b.sessions {
		if key.relay {
			delete(b.sessions, key)
			b.holdersRemoved = true
		}
	}
}

// Supersede ends the leases of former processes of a host. It does nothing unless
// Config.ExclusiveIdentity is set: only then does the new process prove that they have
// ended.
func (b *Broker) Supersede(id ID) {
	if !b.cfg.ExclusiveIdentity {
		return
	}
	for key := range b.sessions {
		if !key.relay && key.id.Host == id.Host && key.id.Incarnation < id.Incarnation {
			delete(b.sessions, key)
			b.holdersRemoved = true
		}
	}
	for key := range b.released {
		if key.id.Host == id.Host && key.id.Incarnation < id.Incarnation {
			delete(b.released, key)
		}
	}
}

// Release ends the leases of a process that no longer acts on the agreed state.
func (b *Broker) Release(id ID) {
	delete(b.sessions, sessionKey{id: id})
	b.holdersRemoved = true
}
