// Package session determines the log position that a read must include for
// read-your-writes consistency, when the writes and the read of a workspace may
// go through different hosts. Each host keeps the positions of the writes that
// it has acknowledged, and a read collects them from all hosts. When that set
// may be incomplete, the current position of the primary is used instead. The
// package performs no I/O and reads no clock.
package session

import (
	"time"

	"github.com/galenabridge/galenabridge/internal/result"
)

// Position is a log position in a term of a life of the group.
type Position struct {
	Term uint64 `cbor:"1,keyasint"`
	// LSN is the log position in bytes.
	LSN uint64 `cbor:"2,keyasint"`
	// Life is agreed.Group.Life. Hosts of earlier builds send zero.
	Life uint64 `cbor:"3,keyasint,omitempty"`
}

// Before reports whether p lies before q. A later term holds every write that
// was acknowledged in an earlier one, and a later life those that its endpoints kept.
func (p Position) Before(q Position) bool {
	if p.Life != q.Life {
		return p.Life < q.Life
	}
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.LSN < q.LSN
}

// later returns the later of two positions.
func later(p, q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}

// Config holds the timeouts of a PositionTracker.
type Config struct {
	// GatherTimeout bounds the wait for the tables of the other hosts.
	GatherTimeout time.Duration
	// PrimaryTimeout bounds the wait for the primary's position.
	PrimaryTimeout time.Duration
	// MinRoundInterval is the least time between the starts of two rounds.
	MinRoundInterval time.Duration
}

// DefaultConfig returns the timeouts for hosts in one region.
func DefaultConfig() Config {
	return Config{
		GatherTimeout:    8 * time.Millisecond,
		PrimaryTimeout:   time.Second,
		MinRoundInterval: 4 * time.Millisecond,
	}
}

// Peer is the process of another entry host.
type Peer struct {
	Host        string
	Incarnation uint64
}

// Event is an input of PositionTracker.Step.
type Event interface{ isEvent() }

// View is the part of the agreed state that a PositionTracker depends on.
// Intermediate states may be skipped.
type View struct {
	// LastRemovalRevision is the revision at which an entry host's process was last
	// removed or replaced.
	LastRemovalRevision uint64
	// Settled is a revision that every holder of a configuration lease has
	// applied.
	Settled uint64
	// Life and Term are those in which the group was last active. LifeRevision is a revision in
	// that life.
	Life, Term, LifeRevision uint64
	// Peers are the other registered entry hosts that may acknowledge writes
	// of the service.
	Peers []Peer
}

// Read requests the position that a read of the workspace must include.
type Read struct {
	ID        uint64
	Workspace string
}

// Cancel withdraws a Read. No answer to it is produced after that.
type Cancel struct{ ID uint64 }

// Acked records a write that is about to be acknowledged on this host.
type Acked struct {
	Workspace string
	Position  Position
}

// Replayed reports a position that all replicas of the group have replayed.
type Replayed struct{ Position Position }

// Reply is the answer of a peer to RequestTables.
type Reply struct {
	Round       uint64
	Host        string
	Incarnation uint64
	Table       Table
}

// PrimaryPosition is the answer to RequestPrimaryPosition. OK requires that the host's view
// was valid and the primary unchanged when the answer arrived.
type PrimaryPosition struct {
	Round    uint64
	OK       bool
	Position Position
}

// Tick only advances the time.
type Tick struct{}

func (View) isEvent()            {}
func (Read) isEvent()            {}
func (Cancel) isEvent()          {}
func (Acked) isEvent()           {}
func (Replayed) isEvent()        {}
func (Reply) isEvent()           {}
func (PrimaryPosition) isEvent() {}
func (Tick) isEvent()            {}

// Effect is an output of PositionTracker.Step.
type Effect interface{ isEffect() }

// RequestTables requests the tables of other hosts. Each must be read after the
// host received the request.
type RequestTables struct {
	Round uint64
	Hosts []string
}

// RequestPrimaryPosition requests the current position of the primary, read
// after the request.
type RequestPrimaryPosition struct{ Round uint64 }

// Resolve answers a Read with the position that it must include.
type Resolve struct {
	ID       uint64
	Position Position
}

// Fail ends a Read whose position cannot be determined now.
type Fail struct {
	ID   uint64
	Code result.Code
}

func (RequestTables) isEffect()          {}
func (RequestPrimaryPosition) isEffect() {}
func (Resolve) isEffect()                {}
func (Fail) isEffect()                   {}
