package session

import (
	"maps"
	"slices"
	"time"

	"github.com/galenabridge/galenabridge/internal/result"
)

// peer is the state of another entry host.
type peer struct {
	incarnation uint64
	// unresponsive reports that the host did not answer a round in time and has not
	// answered since.
	unresponsive bool
}

// round is one attempt to determine positions. It serves only the reads that arrived
// before it started, because an answer may predate the writes that a later read must
// include.
type round struct {
	id      uint64
	started time.Time
	reads   []Read
	// awaited holds the hosts whose tables have not arrived yet.
	awaited map[string]bool
	// gathering reports that the tables of the hosts may still resolve the round.
	gathering bool
	tables    Table
	// primaryRequestedAt is when the primary's position was requested; zero when
	// it was not.
	primaryRequestedAt time.Time
	// floorChange is the value of floorChanges that the primary's answer covers;
	// zero when it covers none.
	floorChange uint64
}

// PositionTracker determines the positions for the reads of one service on one host. It is
// not safe for concurrent use. At most one round is in progress. A round that starts while
// floorRevision is nonzero is resolved only by the primary's position.
type PositionTracker struct {
	cfg     Config
	table   Table
	hasView bool
	view    View
	peers   map[string]*peer
	// floor covers the writes acknowledged by removed processes, whose tables
	// are lost.
	floor Position
	// floorRevision is the revision that must be settled before a new floor can
	// be set; zero when the floor is valid. floorChanges counts the times that a
	// new floor became necessary, so that an answer for an earlier one is ignored.
	floorRevision uint64
	floorChanges  uint64
	// lifeRevision is the revision that must be settled before a floor holds for the current life:
	// until then other hosts may acknowledge writes in the former one.
	lifeRevision uint64
	pending      []Read
	round        *round
	rounds       uint64
	lastRoundAt  time.Time // start of the last round
	effects      []Effect
}

// NewPositionTracker returns a tracker that resolves no read before its first View. It
// starts without a floor, because it has no record of the writes acknowledged by a former
// process of this host.
func NewPositionTracker(cfg Config) *PositionTracker {
	return &PositionTracker{cfg: cfg, peers: make(map[string]*peer)}
}

// Step applies one event and returns the effects in order. The slice is not reused.
func (s *PositionTracker) Step(now time.Time, event Event) []Effect {
	s.effects = nil
	switch ev := event.(type) {
	case View:
		s.setView(now, ev)
	case Read:
		s.pending = append(s.pending, ev)
	case Cancel:
		s.cancelRead(ev.ID)
	case Acked:
		s.table.recordAcked(ev.Workspace, ev.Position)
	case Replayed:
		s.table.prune(ev.Position)
	case Reply:
		s.handleReply(ev)
	case PrimaryPosition:
		s.handlePrimaryPosition(ev)
	case Tick:
	}
	s.checkTimeouts(now)
	s.startRound(now)
	return s.effects
}

// Snapshot returns a copy of this host's table to answer a peer's RequestTables.
func (s *PositionTracker) Snapshot() Table {
	return Table{Base: s.table.Base, Acked: maps.Clone(s.table.Acked)}
}

// NextDeadline returns the time at which Tick is due, or false when none is.
func (s *PositionTracker) NextDeadline() (time.Time, bool) {
	r := s.round
	switch {
	case r != nil && r.gathering:
		return r.started.Add(s.cfg.GatherTimeout), true
	case r != nil:
		return r.primaryRequestedAt.Add(s.cfg.PrimaryTimeout), true
	case len(s.pending) > 0 && s.hasView:
		return s.lastRoundAt.Add(s.cfg.MinRoundInterval), true
	}
	return time.Time{}, false
}

// setView applies a new view. A removed process, a new term or a new life makes a new floor
// necessary. A round that awaits a lost peer falls back to the primary.
func (s *PositionTracker) setView(now time.Time, v View) {
	if !s.hasView || v.Life != s.view.Life || v.Term != s.view.Term || v.LastRemovalRevision != s.view.LastRemovalRevision {
		if s.hasView && v.Life != s.view.Life {
			s.lifeRevision = v.LifeRevision
		}
		s.floorRevision = max(v.LastRemovalRevision, s.lifeRevision, 1)
		s.floorChanges++
	}
	s.hasView, s.view = true, v
	current := make(map[string]*peer, len(v.Peers))
	for _, p := range v.Peers {
		old := s.peers[p.Host]
		if old != nil && old.incarnation == p.Incarnation {
			current[p.Host] = old
			continue
		}
		current[p.Host] = &peer{incarnation: p.Incarnation}
	}
	for host, old := range s.peers {
		if next := current[host]; next == nil || next != old {
			s.handlePeerLost(now, host)
		}
	}
	s.peers = current
}

// handlePeerLost requests the primary's position if the round awaits a lost host.
func (s *PositionTracker) handlePeerLost(now time.Time, host string) {
	if r := s.round; r != nil && r.gathering && r.awaited[host] {
		r.gathering = false
		s.requestPrimary(now)
	}
}

// startRound starts a round for the pending reads unless one is in progress or the
// last one started less than Config.MinRoundInterval ago.
func (s *PositionTracker) startRound(now time.Time) {
	if s.round != nil || len(s.pending) == 0 || !s.hasView {
		return
	}
	if !s.lastRoundAt.IsZero() && now.Sub(s.lastRoundAt) < s.cfg.MinRoundInterval {
		return
	}
	s.rounds++
	s.lastRoundAt = now
	s.round = &round{id: s.rounds, started: now, reads: s.pending}
	s.pending = nil
	if s.floorRevision != 0 {
		s.requestPrimary(now)
		return
	}
	s.gatherTables(now)
}

// gatherTables requests the tables of all other hosts. If one of them is
// unresponsive, it requests the primary's position at the same time.
func (s *PositionTracker) gatherTables(now time.Time) {
	r := s.round
	r.gathering = true
	r.awaited = make(map[string]bool, len(s.peers))
	anyUnresponsive := false
	for host, p := range s.peers {
		r.awaited[host] = true
		anyUnresponsive = anyUnresponsive || p.unresponsive
	}
	if len(r.awaited) == 0 {
		s.finishGather()
		return
	}
	hosts := slices.Sorted(maps.Keys(r.awaited))
	s.effects = append(s.effects, RequestTables{Round: r.id, Hosts: hosts})
	if anyUnresponsive {
		s.requestPrimary(now)
	}
}

// requestPrimary requests the primary's position, at most once at a time per round.
// The answer can serve as the new floor only if the removal is settled: until then the
// removed process may hold a lease and acknowledge further writes.
func (s *PositionTracker) requestPrimary(now time.Time) {
	r := s.round
	if !r.primaryRequestedAt.IsZero() {
		return
	}
	r.primaryRequestedAt = now
	if s.view.Settled >= s.floorRevision {
		r.floorChange = s.floorChanges
	}
	s.effects = append(s.effects, RequestPrimaryPosition{Round: r.id})
}

// handleReply merges the table of a peer. It ignores replies of other processes and
// of earlier rounds.
func (s *PositionTracker) handleReply(reply Reply) {
	p := s.peers[reply.Host]
	if p == nil || p.incarnation != reply.Incarnation {
		return
	}
	p.unresponsive = false
	r := s.round
	if r == nil || r.id != reply.Round || !r.awaited[reply.Host] {
		return
	}
	r.tables.merge(reply.Table, s.view.Life)
	delete(r.awaited, reply.Host)
	if len(r.awaited) == 0 && r.gathering {
		s.finishGather()
	}
}

// finishGather resolves the round with the merged tables of all hosts and the floor.
func (s *PositionTracker) finishGather() {
	r := s.round
	s.round = nil
	for _, read := range r.reads {
		p := later(s.floor, s.table.positionFor(read.Workspace))
		s.effects = append(s.effects, Resolve{ID: read.ID, Position: later(p, r.tables.positionFor(read.Workspace))})
	}
}

// handlePrimaryPosition resolves the round with the primary's position, which covers
// every acknowledged write. A failed request fails the round unless the tables may
// still resolve it.
func (s *PositionTracker) handlePrimaryPosition(answer PrimaryPosition) {
	r := s.round
	if r == nil || r.id != answer.Round {
		return
	}
	if !answer.OK {
		r.primaryRequestedAt = time.Time{}
		if !r.gathering {
			s.failRound()
		}
		return
	}
	s.round = nil
	if r.floorChange == s.floorChanges {
		s.floor, s.floorRevision = answer.Position, 0
	}
	for _, read := range r.reads {
		s.effects = append(s.effects, Resolve{ID: read.ID, Position: answer.Position})
	}
}

// failRound ends the round without positions.
func (s *PositionTracker) failRound() {
	for _, read := range s.round.reads {
		s.effects = append(s.effects, Fail{ID: read.ID, Code: result.NoPrimary})
	}
	s.round = nil
}

// checkTimeouts falls back from the peers to the primary after GatherTimeout, and fails
// the round after PrimaryTimeout.
func (s *PositionTracker) checkTimeouts(now time.Time) {
	r := s.round
	if r == nil {
		return
	}
	if r.gathering && now.Sub(r.started) >= s.cfg.GatherTimeout {
		r.gathering = false
		for host := range r.awaited {
			if p := s.peers[host]; p != nil {
				p.unresponsive = true
			}
		}
		s.requestPrimary(now)
	}
	if !r.gathering && now.Sub(r.primaryRequestedAt) >= s.cfg.PrimaryTimeout {
		s.failRound()
	}
}

// cancelRead removes a read, which then gets no answer.
func (s *PositionTracker) cancelRead(id uint64) {
	match := func(r Read) bool { return r.ID == id }
	s.pending = slices.DeleteFunc(s.pending, match)
	if s.round != nil {
		s.round.reads = slices.DeleteFunc(s.round.reads, match)
	}
}
