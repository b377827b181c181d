// Package session finds the log position that a read must see so that its
// caller reads its own writes, whichever hosts the writes and the read go
// through. Each host remembers the positions of the writes that it has
// acknowledged; a read gathers them from all hosts. When that may be
// incomplete, the primary's current position takes its place. The package
// performs no I/O and reads no clock.
package session

import (
	"time"

	"github.com/galenabridge/galenabridge/internal/result"
)

// Position is a log position in a term of the group.
type Position struct {
	Term uint64 `cbor:"1,keyasint"`
	// LSN is the log position in bytes.
	LSN uint64 `cbor:"2,keyasint"`
}

// Before reports whether p lies before q. A later term holds every write that
// was acknowledged in an earlier one.
func (p Position) Before(q Position) bool {
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

// Config holds the time limits of a Service.
type Config struct {
	// GatherTimeout bounds the wait for the answers of the other hosts.
	GatherTimeout time.Duration
	// PrimaryTimeout bounds the wait for the primary's position.
	PrimaryTimeout time.Duration
	// Interval is the least time between the starts of two rounds.
	Interval time.Duration
}

// DefaultConfig returns the limits for hosts in one region.
func DefaultConfig() Config {
	return Config{
		GatherTimeout:  8 * time.Millisecond,
		PrimaryTimeout: time.Second,
		Interval:       4 * time.Millisecond,
	}
}

// Peer is another entry host.
type Peer struct {
	Host        string
	Incarnation uint64
}

// Event is an input of a Service.
type Event interface{ isEvent() }

// View is the agreed state as far as it matters here. Intermediate states may
// be left out.
type View struct {
	// Departed is the revision at which an entry host's process was last
	// removed or replaced.
	Departed uint64
	// Settled is a revision that every holder of a configuration lease has
	// applied.
	Settled uint64
	// Term is the group's last active term.
	Term uint64
	// Peers are the other registered entry hosts that may acknowledge writes
	// of the service.
	Peers []Peer
}

// Read asks for the position that a read of the workspace must see.
type Read struct {
	ID        uint64
	Workspace string
}

// Cancel withdraws a Read.
type Cancel struct{ ID uint64 }

// Acked records a write that is about to be acknowledged on this host.
type Acked struct {
	Workspace string
	Position  Position
}

// Replayed reports a position that all replicas of the group have replayed.
type Replayed struct{ Position Position }

// Reply is a peer's answer to RequestTables.
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

// Tick lets time pass.
type Tick struct{}

func (View) isEvent()            {}
func (Read) isEvent()            {}
func (Cancel) isEvent()          {}
func (Acked) isEvent()           {}
func (Replayed) isEvent()        {}
func (Reply) isEvent()           {}
func (PrimaryPosition) isEvent() {}
func (Tick) isEvent()            {}

// Effect is an output of a Service.
type Effect interface{ isEffect() }

// RequestTables requests the tables of other hosts, read after the request.
type RequestTables struct {
	Round uint64
	Hosts []string
}

// RequestPrimaryPosition requests the primary's current position, read after the request.
type RequestPrimaryPosition struct{ Round uint64 }

// Resolve answers a Read.
type Resolve struct {
	ID       uint64
	Position Position
}

// Fail ends a Read whose position cannot be found now.
type Fail struct {
	ID   uint64
	Code result.Code
}

func (RequestTables) isEffect()          {}
func (RequestPrimaryPosition) isEffect() {}
func (Resolve) isEffect()                {}
func (Fail) isEffect()                   {}
