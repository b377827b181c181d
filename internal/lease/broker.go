package lease

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Broker answers the requests of the subscribers of a control host. At most one
// round is in flight; requests that arrive meanwhile wait for the next one. It is
// not safe for concurrent use.
type Broker struct {
	cfg      Config
	sessions map[sessionKey]*session
	// released holds, by sender, the number of its latest release. It is removed when
	// the sender makes another request.
	released  map[sessionKey]uint64
	waiting   []request
	inRound   []request
	round     uint64 // number of the round in flight, zero when there is none
	lastRound uint64
	settled   uint64
	// lastReported is the applied revision that the last round reported.
	lastReported uint64
	// listedHolders are the holders in the round with number listedRound. Later rounds
	// may refer to that list once listedAnswered is set.
	listedHolders  []ID
	listedRound    uint64
	listedAnswered bool
	// holdersRemoved is set when a holder was removed since the last round, so that a
	// relay reports it to the leader even if no request is waiting.
	holdersRemoved bool
	// unknownLeasesUntil is when all leases granted by former leaders have ended.
	unknownLeasesUntil time.Time
}

// sessionKey identifies a session. One process may have a session for its own lease
// and one for the leases that it relays.
type sessionKey struct {
	id    ID
	relay bool
}

// session holds the latest request and the counted leases of one subscriber.
type session struct {
	seq     uint64
	applied uint64
	holders []ID
	// holdersSeq is the number of the request that listed the holders.
	holdersSeq uint64
	// leaseEnd is the end of the granted leases as counted by the broker.
	leaseEnd time.Time
	// pending is set while the latest request may still be answered with a lease.
	pending bool
}

// active reports whether the subscriber may hold a valid lease, or be granted one by
// the round in flight or the next.
func (s *session) active(now time.Time) bool { return s.pending || now.Before(s.leaseEnd) }

// request is a Renew that waits for its answer.
type request struct {
	key sessionKey
	seq uint64
	// receivedAt is when the request arrived.
	receivedAt time.Time
}

// requestTimeoutDivisor gives the time limit of a waiting request as a fraction of the
// lease. By then its sender has switched to another control host, and a late answer
// would count a lease that is not renewed here.
const requestTimeoutDivisor = 3

// Round is one confirmation of the leader, on behalf of all waiting requests.
type Round struct {
	ID uint64
	// Applied is the least revision applied by the holders.
	Applied uint64
	// Holders are the processes that may hold a valid lease, in order of host and
	// incarnation. Base is set in their place when they are the same as in the
	// answered round with that number.
	Holders []ID
	Base    uint64
}

// Answer is an answer to a subscriber.
type Answer struct {
	To ID
	// Relay is set when it answers a request of a relay.
	Relay bool
	OK    RenewOK
}

// NewBroker returns a Broker without subscribers. Its rounds are numbered above seq,
// which must exceed all numbers that the process has used before.
func NewBroker(cfg Config, seq uint64) *Broker {
	return &Broker{cfg: cfg, lastRound: seq, sessions: make(map[sessionKey]*session), released: make(map[sessionKey]uint64)}
}

// Receive handles a request of a subscriber. The broker counts the lease from now on,
// until the request times out or the granted lease has ended. It ignores a request
// that arrives after a later one, or that refers to a list of holders that the broker
// does not have.
func (b *Broker) Receive(now time.Time, from ID, r Renew) {
	key := sessionKey{id: from, relay: r.Relay}
	if r.Seq <= b.released[key] {
		return // sent before the release, on another connection
	}
	if s := b.sessions[key]; r.Release && s != nil && s.seq > r.Seq {
		return // the sender has come back since, and holds leases of its later requests
	}
	delete(b.released, key)
	if r.Release {
		b.release(key, r)
		return
	}
	if !r.Relay && r.Applied == 0 {
		// The sender has no state to act on and gets no lease from the answer, so it
		// must not limit the settled revision.
		b.enqueue(now, key, r.Seq)
		return
	}
	b.Supersede(from)
	s := b.sessions[key]
	if s == nil {
		s = &session{}
		b.sessions[key] = s
	}
	if r.Seq <= s.seq || (r.Base != 0 && r.Base != s.holdersSeq) {
		return
	}
	s.seq = r.Seq
	s.applied = r.Applied
	switch {
	case !r.Relay:
		s.holders = []ID{from}
	case r.Base == 0:
		s.holders, s.holdersSeq = r.Holders, r.Seq
	}
	s.pending = true
	b.enqueue(now, key, r.Seq)
}

// enqueue adds a request for the next round and replaces an earlier one of the same
// subscriber.
func (b *Broker) enqueue(now time.Time, key sessionKey, seq uint64) {
	b.waiting = slices.DeleteFunc(b.waiting, func(w request) bool { return w.key == key })
	b.waiting = append(b.waiting, request{key: key, seq: seq, receivedAt: now})
}

// BeginRound starts a round unless one is in flight. It reports false when there is
// neither a waiting request nor a removed holder to report.
func (b *Broker) BeginRound(now time.Time) (Round, bool) {
	if b.round != 0 {
		return Round{}, false
	}
	b.dropTimedOut(now)
	if len(b.waiting) == 0 && !b.holdersRemoved {
		return Round{}, false
	}
	b.expire(now)
	b.holdersRemoved = false
	b.lastRound++
	b.round = b.lastRound
	b.inRound, b.waiting = b.waiting, nil
	b.lastReported = b.minApplied()
	round := Round{ID: b.round, Applied: b.lastReported}
	holders := b.holders()
	if b.listedAnswered && slices.Equal(holders, b.listedHolders) {
		round.Base = b.listedRound
		return round, true
	}
	b.listedHolders, b.listedRound, b.listedAnswered = holders, b.round, false
	round.Holders = holders
	return round, true
}

// dropTimedOut drops requests that have waited for too long, and their pending leases.
func (b *Broker) dropTimedOut(now time.Time) {
	limit := b.cfg.Duration / requestTimeoutDivisor
	b.waiting = slices.DeleteFunc(b.waiting, func(w request) bool {
		if now.Sub(w.receivedAt) <= limit {
			return false
		}
		if s := b.sessions[w.key]; s != nil && s.seq == w.seq {
			s.pending = false
		}
		return true
	})
}

// HasProgress reports whether requests are waiting and the next round would report a
// greater revision than the last one.
func (b *Broker) HasProgress() bool {
	return len(b.waiting) > 0 && b.minApplied() > b.lastReported
}

// FinishRound ends the round in flight with the revisions that the leader confirmed,
// and returns the answers to the requests that arrived before the round began. It
// ignores other rounds.
func (b *Broker) FinishRound(id, revision, settled uint64) []Answer {
	if id == 0 || id != b.round {
		return nil
	}
	b.listedAnswered = true
	b.settled = max(b.settled, settled)
	var answers []Answer
	for _, r := range b.inRound {
		b.countLease(r)
		answers = append(answers, Answer{
			To:    r.key.id,
			Relay: r.key.relay,
			OK:    RenewOK{Seq: r.seq, Revision: revision, Settled: b.settled},
		})
	}
	b.round, b.inRound = 0, nil
	return answers
}

// countLease extends the counted lease of a request that is answered.
func (b *Broker) countLease(r request) {
	s := b.sessions[r.key]
	if s == nil {
		return
	}
	if end := r.receivedAt.Add(b.cfg.countedDuration()); end.After(s.leaseEnd) {
		s.leaseEnd = end
	}
	if s.seq == r.seq {
		s.pending = false
	}
}

// AbortRound ends the round in flight without a confirmation. Its requests wait for
// the next round, except those replaced by a later one of the same subscriber.
func (b *Broker) AbortRound() {
	later := b.waiting
	b.waiting = b.inRound
	for _, r := range later {
		b.waiting = slices.DeleteFunc(b.waiting, func(w request) bool { return w.key == r.key })
		b.waiting = append(b.waiting, r)
	}
	b.round, b.inRound = 0, nil
	b.listedAnswered = false
}

// PossibleHolders returns the set of processes that may hold a valid lease. It contains
// all of ids while a new leader waits for the leases of former leaders.
func (b *Broker) PossibleHolders(now time.Time, ids []ID) map[ID]bool {
	possible := make(map[ID]bool)
	if now.Before(b.unknownLeasesUntil) {
		for _, id := range ids {
			possible[id] = true
		}
		return possible
	}
	b.expire(now)
	for _, id := range b.holders() {
		possible[id] = true
	}
	return possible
}

// BecomeLeader handles the election of this host as leader. Former leaders may have
// granted leases that this broker does not count, the last of which ends one counted
// lease time from now.
func (b *Broker) BecomeLeader(now time.Time) {
	b.unknownLeasesUntil = now.Add(b.cfg.countedDuration())
}

// Registrations describes the registered processes, which may act on the agreed
// state.
type Registrations struct {
	Holders []ID
	// Changed is the revision at which a process was last registered or removed.
	Changed uint64
}

// AssumeNoLeases ends the wait of a new leader when no process was ever registered,
// so that no lease of a former leader allows a process to act.
func (b *Broker) AssumeNoLeases() { b.unknownLeasesUntil = time.Time{} }

// Settle returns the settled revision: the greatest one known to be applied by every
// holder of a valid lease. The argument revision is the one that the leader has
// applied. Only the leader calls Settle. The result never decreases, since a lease
// granted later allows no process to act on an older revision.
//
// For one lease time after an election, a process may hold a lease of a former
// leader that this broker does not count. During that time the result increases only
// while every registered process is among the counted holders, and only if the
// registrations have not changed after the last settled revision: a process that
// was replaced or removed since may still hold a lease. With exclusive identities
// a replaced process has ended, and the lease of a removed one ended before its
// removal, so that only the registered processes matter.
func (b *Broker) Settle(now time.Time, revision uint64, registered Registrations) uint64 {
	b.expire(now)
	if now.Before(b.unknownLeasesUntil) && !b.allRegisteredCounted(registered) {
		return b.settled
	}
	b.settled = max(b.settled, min(revision, b.minApplied()))
	return b.settled
}

// ObserveSettled raises the settled revision to one reported by the leader.
func (b *Broker) ObserveSettled(settled uint64) { b.settled = max(b.settled, settled) }

// Settled returns the last settled revision.
func (b *Broker) Settled() uint64 { return b.settled }

// allRegisteredCounted reports whether no process other than the counted holders can
// hold a lease of a former leader that allows it to act; see Settle.
func (b *Broker) allRegisteredCounted(registered Registrations) bool {
	if registered.Changed > b.settled && !b.cfg.ExclusiveIdentity {
		return false
	}
	counted := b.holders()
	for _, id := range registered.Holders {
		index, ok := slices.BinarySearchFunc(counted, id, compareID)
		replaced := b.cfg.ExclusiveIdentity && index < len(counted) && counted[index].Host == id.Host
		if !ok && !replaced {
			return false
		}
	}
	return true
}

// expire removes the sessions without a valid or pending lease.
func (b *Broker) expire(now time.Time) {
	for key, s := range b.sessions {
		if !s.active(now) {
			delete(b.sessions, key)
		}
	}
}

// minApplied returns the least revision that a holder has applied, or math.MaxUint64
// when there is no holder.
func (b *Broker) minApplied() uint64 {
	least := uint64(math.MaxUint64)
	for _, s := range b.sessions {
		if len(s.holders) > 0 {
			least = min(least, s.applied)
		}
	}
	return least
}

// Slowest returns the process or relay whose leases allow acting on the least
// revision, with that revision. It is math.MaxUint64 when there is no holder.
func (b *Broker) Slowest() (id ID, revision uint64) {
	revision = math.MaxUint64
	for key, s := range b.sessions {
		if len(s.holders) > 0 && s.applied < revision {
			id, revision = key.id, s.applied
		}
	}
	return id, revision
}

// holders returns the processes that may hold a valid lease, in order of host and
// incarnation, without duplicates.
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
