package lease

import "slices"

// maxReleased bounds the releases that are remembered. Without one, a request that
// it has overtaken counts as a lease until that would have ended.
const maxReleased = 4096

// release ends the requests of a holder that has turned to another broker, and
// its lease unless it keeps that.
func (b *Broker) release(key sessionKey, r Renew) {
	b.waiting = slices.DeleteFunc(b.waiting, func(w request) bool { return w.key == key })
	b.inRound = slices.DeleteFunc(b.inRound, func(w request) bool { return w.key == key })
	if len(b.released) >= maxReleased {
		clear(b.released)
	}
	b.released[key], b.shrunk = r.Seq, true
	if s := b.sessions[key]; s != nil && r.Keeps {
		s.pending = false
		return
	}
	delete(b.sessions, key)
}

// Follow drops the requests and leases of relays, once the host does not lead any
// more: relays ask the leader, and a new one counts or waits for all leases.
func (b *Broker) StepDown() {
	ofRelay := func(w request) bool { return w.key.relay }
	b.waiting = slices.DeleteFunc(b.waiting, ofRelay)
	b.inRound = slices.DeleteFunc(b.inRound, ofRelay)
	for key := range b.sessions {
		if key.relay {
			delete(b.sessions, key)
			b.shrunk = true
		}
	}
}

// Supersede ends the leases of former processes of a host, where one process
// proves that the former ones have ended.
func (b *Broker) Supersede(id ID) {
	if !b.cfg.ExclusiveIdentity {
		return
	}
	for key := range b.sessions {
		if !key.relay && key.id.Host == id.Host && key.id.Incarnation < id.Incarnation {
			delete(b.sessions, key)
			b.shrunk = true
		}
	}
	for key := range b.released {
		if key.id.Host == id.Host && key.id.Incarnation < id.Incarnation {
			delete(b.released, key)
		}
	}
}

// Release ends the leases of a process that has stopped to act.
func (b *Broker) Release(id ID) {
	delete(b.sessions, sessionKey{id: id})
	b.shrunk = true
}
