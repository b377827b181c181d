package session

import (
	"maps"
	"slices"
	"time"

	"github.com/galenabridge/galenabridge/internal/result"
)

// peer is another entry host as this one knows it.
type peer struct {
	incarnation uint64
	// silent reports that the host missed a round and has not answered since.
	silent bool
}

// round is one attempt to find positions. It serves the reads that arrived
// before it began, and only those: an answer may be older than a later read.
type round struct {
	id      uint64
	started time.Time
	reads   []Read
	// missing lists the hosts whose tables are still awaited.
	missing map[string]bool
	// gathering reports that the answers of the hosts may resolve the round.
	gathering bool
	tables    Table
	// askedPrimary is when the primary was asked; zero when it was not.
	askedPrimary time.Time
	// floorFor is the number of the change that the primary's answer covers.
	floorFor uint64
}

// Service finds positions for the reads of one service on one host. It is not
// safe for concurrent use.
type Service struct {
	cfg   Config
	table Table
	known bool
	view  View
	peers map[string]*peer
	// floor stands for the writes acknowledged by processes that are gone.
	floor Position
	// change is the revision that has to be settled before a new floor can be
	// taken; zero when the floor is in force. The number of changes tells two
	// of them apart.
	change  uint64
	changes uint64
	pending []Read
	round   *round
	rounds  uint64
	begun   time.Time // start of the last round
	effects []Effect
}

// NewService returns a Service that waits for its first View. The writes of
// this host's former process are unknown to it, so it begins without a floor.
func NewService(cfg Config) *Service {
	return &Service{cfg: cfg, peers: make(map[string]*peer)}
}

// Step applies one event and returns the effects in order.
func (s *Service) Step(now time.Time, event Event) []Effect {
	s.effects = nil
	switch ev := event.(type) {
	case View:
		s.setView(now, ev)
	case Read:
		s.pending = append(s.pending, ev)
	case Cancel:
		s.cancel(ev.ID)
	case Acked:
		s.table.acked(ev.Workspace, ev.Position)
	case Replayed:
		s.table.prune(ev.Position)
	case Reply:
		s.receive(ev)
	case PrimaryPosition:
		s.receivePrimary(ev)
	case Tick:
	}
	s.checkTimeouts(now)
	s.begin(now)
	return s.effects
}

// Snapshot returns a copy of this host's table for a peer that asks.
func (s *Service) Snapshot() Table {
	return Table{Base: s.table.Base, Acked: maps.Clone(s.table.Acked)}
}

// NextDeadline returns the time at which Tick is due, or false when none is.
func (s *Service) NextDeadline() (time.Time, bool) {
	r := s.round
	switch {
	case r != nil && r.gathering:
		return r.started.Add(s.cfg.GatherTimeout), true
	case r != nil:
		return r.askedPrimary.Add(s.cfg.PrimaryTimeout), true
	case len(s.pending) > 0 && s.known:
		return s.begun.Add(s.cfg.Interval), true
	}
	return time.Time{}, false
}

// setView takes in the hosts. A process that departed and a new term each call
// for a new floor.
func (s *Service) setView(now time.Time, v View) {
	if !s.known || v.Term != s.view.Term || v.Departed != s.view.Departed {
		s.change = max(v.Departed, 1)
		s.changes++
	}
	s.known, s.view = true, v
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
			s.giveUpOn(now, host)
		}
	}
	s.peers = current
}

// giveUpOn turns to the primary when a lost host's answer is missing.
func (s *Service) giveUpOn(now time.Time, host string) {
	if r := s.round; r != nil && r.gathering && r.missing[host] {
		r.gathering = false
		s.askPrimary(now)
	}
}

// begin starts the next round for the reads that wait.
func (s *Service) begin(now time.Time) {
	if s.round != nil || len(s.pending) == 0 || !s.known {
		return
	}
	if !s.begun.IsZero() && now.Sub(s.begun) < s.cfg.Interval {
		return
	}
	s.rounds++
	s.begun = now
	s.round = &round{id: s.rounds, started: now, reads: s.pending}
	s.pending = nil
	if s.change != 0 {
		s.askPrimary(now)
		return
	}
	s.gather(now)
}

// gather asks all other hosts, and the primary as well when one of them is
// unlikely to answer.
func (s *Service) gather(now time.Time) {
	r := s.round
	r.gathering = true
	r.missing = make(map[string]bool, len(s.peers))
	anySilent := false
	for host, p := range s.peers {
		r.missing[host] = true
		anySilent = anySilent || p.silent
	}
	if len(r.missing) == 0 {
		s.finishGather()
		return
	}
	hosts := slices.Sorted(maps.Keys(r.missing))
	s.effects = append(s.effects, RequestTables{Round: r.id, Hosts: hosts})
	if anySilent {
		s.askPrimary(now)
	}
}

// askPrimary asks for the primary's position once per round. The answer covers
// a lost process when no holder of a lease may still act beside its loss.
func (s *Service) askPrimary(now time.Time) {
	r := s.round
	if !r.askedPrimary.IsZero() {
		return
	}
	r.askedPrimary = now
	if s.view.Settled >= s.change {
		r.floorFor = s.changes
	}
	s.effects = append(s.effects, RequestPrimaryPosition{Round: r.id})
}

func (s *Service) receive(reply Reply) {
	p := s.peers[reply.Host]
	if p == nil || p.incarnation != reply.Incarnation {
		return
	}
	p.silent = false
	r := s.round
	if r == nil || r.id != reply.Round || !r.missing[reply.Host] {
		return
	}
	r.tables.merge(reply.Table)
	delete(r.missing, reply.Host)
	if len(r.missing) == 0 && r.gathering {
		s.finishGather()
	}
}

// finishGather resolves the round from the tables of all hosts.
func (s *Service) finishGather() {
	r := s.round
	s.round = nil
	for _, read := range r.reads {
		p := later(s.floor, s.table.at(read.Workspace))
		s.effects = append(s.effects, Resolve{ID: read.ID, Position: later(p, r.tables.at(read.Workspace))})
	}
}

func (s *Service) receivePrimary(answer PrimaryPosition) {
	r := s.round
	if r == nil || r.id != answer.Round {
		return
	}
	if !answer.OK {
		r.askedPrimary = time.Time{}
		if !r.gathering {
			s.failRound()
		}
		return
	}
	s.round = nil
	if r.floorFor == s.changes {
		s.floor, s.change = answer.Position, 0
	}
	for _, read := range r.reads {
		s.effects = append(s.effects, Resolve{ID: read.ID, Position: answer.Position})
	}
}

func (s *Service) failRound() {
	for _, read := range s.round.reads {
		s.effects = append(s.effects, Fail{ID: read.ID, Code: result.NoPrimary})
	}
	s.round = nil
}

func (s *Service) checkTimeouts(now time.Time) {
	r := s.round
	if r == nil {
		return
	}
	if r.gathering && now.Sub(r.started) >= s.cfg.GatherTimeout {
		r.gathering = false
		for host := range r.missing {
			if p := s.peers[host]; p != nil {
				p.silent = true
			}
		}
		s.askPrimary(now)
	}
	if !r.gathering && now.Sub(r.askedPrimary) >= s.cfg.PrimaryTimeout {
		s.failRound()
	}
}

func (s *Service) cancel(id uint64) {
	match := func(r Read) bool { return r.ID == id }
	s.pending = slices.DeleteFunc(s.pending, match)
	if s.round != nil {
		s.round.reads = slices.DeleteFunc(s.round.reads, match)
	}
}
