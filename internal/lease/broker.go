package lease

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Broker answers the requests of the subscribers of a control host. It is not
// safe for concurrent use.
type Broker struct {
	cfg      Config
	sessions map[sessionKey]*session
	// released are the numbers of the releases of processes that have not come back.
	released map[sessionKey]uint64
	waiting  []request
	inRound  []request
	round    uint64 // the number of the round in flight, zero when there is none
	rounds   uint64
	settled  uint64
	// reported is the revision in the last round.
	reported uint64
	// listed are the holders in the round with number listedIn. The list may be
	// referred to once that round was answered.
	listed   []ID
	listedIn uint64
	answered bool
	// shrunk is set when a holder has given its leases up since the last round, so
	// that a relay tells the leader even if nobody else waits.
	shrunk bool
	// assumeUntil is when leases granted by former leaders have run out.
	assumeUntil time.Time
}

// sessionKey tells a process's own lease from those it relays.
type sessionKey struct {
	id    ID
	relay bool
}

// session is what a broker knows about the leases of one subscriber.
type session struct {
	seq     uint64
	applied uint64
	holders []ID
	// listed is the number of the request that named the holders.
	listed uint64
	// until is the end of the leases that were granted, as the broker counts them.
	until time.Time
	// pending is set while the latest request waits for its answer, which will
	// grant a lease.
	pending bool
}

// counts reports whether the subscriber may hold a valid lease, or be granted
// one by the round in flight or the next.
func (s *session) counts(now time.Time) bool { return s.pending || now.Before(s.until) }

// request is a Renew that waits for its answer.
type request struct {
	key sessionKey
	seq uint64
	// at is when the request arrived.
	at time.Time
}

// patienceShare is the part of a lease after which a request is given up: its
// sender has turned to another control host by then, and a late answer would
// count a lease that nobody renews here.
const patienceShare = 3

// Round asks for one confirmation of the leader.
type Round struct {
	ID uint64
	// Applied is the least revision applied by the holders.
	Applied uint64
	// Holders are the processes that may hold a valid lease, in order. Base is
	// set in their place when they are those of an earlier, answered round.
	Holders []ID
	Base    uint64
}

// Answer is an answer to a subscriber.
type Answer struct {
	To ID
	// Relay tells whether the subscriber asked as a relay.
	Relay bool
	OK    RenewOK
}

// NewBroker returns a Broker without subscribers. Its rounds are numbered above
// seq, which must exceed all numbers that the process has used before.
func NewBroker(cfg Config, seq uint64) *Broker {
	return &Broker{cfg: cfg, rounds: seq, sessions: make(map[sessionKey]*session), released: make(map[sessionKey]uint64)}
}

// Receive takes a request of a subscriber. From now on the broker counts the
// lease, until it has given the request up or the granted lease has ended.
// Requests that were overtaken, or that refer to a list
// of holders that the broker does not have, are ignored.
func (b *Broker) Receive(now time.Time, from ID, r Renew) {
	key := sessionKey{id: from, relay: r.Relay}
	if r.Seq <= b.released[key] {
		return // overtaken by the release on another connection
	}
	delete(b.released, key)
	if r.Release {
		b.release(key, r)
		return
	}
	if !r.Relay && r.Applied == 0 {
		// The sender has no state to act on and takes no lease from the answer, so
		// it must not hold the settled revision back.
		b.await(now, key, r.Seq)
		return
	}
	b.Supersede(from)
	s := b.sessions[key]
	if s == nil {
		s = &session{}
		b.sessions[key] = s
	}
	if r.Seq <= s.seq || (r.Base != 0 && r.Base != s.listed) {
		return
	}
	s.seq = r.Seq
	s.applied = r.Applied
	switch {
	case !r.Relay:
		s.holders = []ID{from}
	case r.Base == 0:
		s.holders, s.listed = r.Holders, r.Seq
	}
	s.pending = true
	b.await(now, key, r.Seq)
}

// await lets a request wait for the next round, in place of an earlier one.
func (b *Broker) await(now time.Time, key sessionKey, seq uint64) {
	b.waiting = slices.DeleteFunc(b.waiting, func(w request) bool { return w.key == key })
	b.waiting = append(b.waiting, request{key: key, seq: seq, at: now})
}

// Begin starts a round when requests wait and none is in flight.
func (b *Broker) BeginRound(now time.Time) (Round, bool) {
	if b.round != 0 {
		return Round{}, false
	}
	b.giveUp(now)
	if len(b.waiting) == 0 && !b.shrunk {
		return Round{}, false
	}
	b.expire(now)
	b.shrunk = false
	b.rounds++
	b.round = b.rounds
	b.inRound, b.waiting = b.waiting, nil
	b.reported = b.minimum()
	round := Round{ID: b.round, Applied: b.reported}
	holders := b.holders()
	if b.answered && slices.Equal(holders, b.listed) {
		round.Base = b.listedIn
		return round, true
	}
	b.listed, b.listedIn, b.answered = holders, b.round, false
	round.Holders = holders
	return round, true
}

// giveUp drops requests that have waited for long.
func (b *Broker) giveUp(now time.Time) {
	patience := b.cfg.Duration / patienceShare
	b.waiting = slices.DeleteFunc(b.waiting, func(w request) bool {
		if now.Sub(w.at) <= patience {
			return false
		}
		if s := b.sessions[w.key]; s != nil && s.seq == w.seq {
			s.pending = false
		}
		return true
	})
}

// Progress reports whether the next round would tell of a greater revision
// than the last one.
func (b *Broker) HasProgress() bool {
	return len(b.waiting) > 0 && b.minimum() > b.reported
}

// Finish ends the round in flight with what the leader confirmed, and returns
// the answers to the requests that arrived before it began. Other rounds are
// ignored.
func (b *Broker) FinishRound(id, revision, settled uint64) []Answer {
	if id == 0 || id != b.round {
		return nil
	}
	b.answered = true
	b.settled = max(b.settled, settled)
	var answers []Answer
	for _, r := range b.inRound {
		b.granted(r)
		answers = append(answers, Answer{
			To:    r.key.id,
			Relay: r.key.relay,
			OK:    RenewOK{Seq: r.seq, Revision: revision, Settled: b.settled},
		})
	}
	b.round, b.inRound = 0, nil
	return answers
}

// granted counts the lease that an answer grants.
func (b *Broker) granted(r request) {
	s := b.sessions[r.key]
	if s == nil {
		return
	}
	if end := r.at.Add(b.cfg.counted()); end.After(s.until) {
		s.until = end
	}
	if s.seq == r.seq {
		s.pending = false
	}
}

// Abort ends the round in flight without a confirmation. Its requests wait for
// the next round, unless a later one of the same subscriber does.
func (b *Broker) AbortRound() {
	later := b.waiting
	b.waiting = b.inRound
	for _, r := range later {
		b.waiting = slices.DeleteFunc(b.waiting, func(w request) bool { return w.key == r.key })
		b.waiting = append(b.waiting, r)
	}
	b.round, b.inRound = 0, nil
	b.answered = false
}

// Held reports which of the processes may hold a valid lease.
func (b *Broker) PossibleHolders(now time.Time, ids []ID) map[ID]bool {
	held := make(map[ID]bool)
	if now.Before(b.assumeUntil) {
		for _, id := range ids {
			held[id] = true
		}
		return held
	}
	b.expire(now)
	for _, id := range b.holders() {
		held[id] = true
	}
	return held
}

// Lead tells the broker that its host was elected leader. Former leaders may
// have granted leases that this broker has not seen.
func (b *Broker) BecomeLeader(now time.Time) {
	b.assumeUntil = now.Add(b.cfg.counted())
}

// Electorate describes the registered processes that may act.
type Registrations struct {
	Holders []ID
	// Changed is the revision at which a process was last registered or removed.
	Changed uint64
}

// Found tells the broker of a leader that no process was ever registered, so
// that no lease of a former leader can allow anyone to act.
func (b *Broker) AssumeNoLeases() { b.assumeUntil = time.Time{} }

// Settle returns the greatest revision known to be applied by every holder of a
// valid lease; revision is what the leader has applied. Only the leader calls
// it. The result never falls: a lease granted later allows no older revision.
//
// For one lease time after an election, a process may hold a lease of a former
// leader that this broker does not count. In that time the result grows only
// while every registered process is among the counted holders, and only if the
// registrations have not changed after the last settled revision: a process that
// was replaced or removed since may still hold a lease. With exclusive identities
// a replaced process has ended, and a removed one's lease had, so that only the
// registered processes matter.
func (b *Broker) Settle(now time.Time, revision uint64, e Registrations) uint64 {
	b.expire(now)
	if now.Before(b.assumeUntil) && !b.allPresent(e) {
		return b.settled
	}
	b.settled = max(b.settled, min(revision, b.minimum()))
	return b.settled
}

// Learn takes a settled revision reported by the leader.
func (b *Broker) ObserveSettled(settled uint64) { b.settled = max(b.settled, settled) }

// Settled returns the last settled revision.
func (b *Broker) Settled() uint64 { return b.settled }

func (b *Broker) allPresent(e Registrations) bool {
	if e.Changed > b.settled && !b.cfg.ExclusiveIdentity {
		return false
	}
	present := b.holders()
	for _, id := range e.Holders {
		at, ok := slices.BinarySearchFunc(present, id, compareID)
		replaced := b.cfg.ExclusiveIdentity && at < len(present) && present[at].Host == id.Host
		if !ok && !replaced {
			return false
		}
	}
	return true
}

func (b *Broker) expire(now time.Time) {
	for key, s := range b.sessions {
		if !s.counts(now) {
			delete(b.sessions, key)
		}
	}
}

// minimum returns the least revision that a holder has applied, or the greatest
// number when there is no holder.
func (b *Broker) minimum() uint64 {
	least := uint64(math.MaxUint64)
	for _, s := range b.sessions {
		if len(s.holders) > 0 {
			least = min(least, s.applied)
		}
	}
	return least
}

// holders returns the processes that may hold a valid lease, in order.
// Slowest returns the process, or the relay, whose leases allow to act on the
// least revision.
func (b *Broker) Slowest() (id ID, revision uint64) {
	revision = math.MaxUint64
	for key, s := range b.sessions {
		if len(s.holders) > 0 && s.applied < revision {
			id, revision = key.id, s.applied
		}
	}
	return id, revision
}

func (b *Broker) holders() []ID {
	var ids []ID
	for _, s := range b.sessions {
		ids = append(ids, s.holders...)
	}
	slices.SortFunc(ids, compareID)
	return slices.Compact(ids)
}

func compareID(a, b ID) int {
	if n := cmp.Compare(a.Host, b.Host); n != 0 {
		return n
	}
	return cmp.Compare(a.Incarnation, b.Incarnation)
}
