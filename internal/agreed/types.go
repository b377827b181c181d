// Package agreed defines the replicated state of a fleet: the catalog of
// release notes, the registered hosts, the endpoints of each database group
// and the group's term and primary. Commands from the consensus log are applied
// in order and yield deltas for subscribers. The package performs no I/O and
// reads no clock.
package agreed

import "github.com/galenabridge/galenabridge/internal/note"

// Host is a registered host of galenabridge.
type Host struct {
	ID string `json:"id" cbor:"1,keyasint"`
	// PeerAddr is the IP address and port for messages between hosts.
	PeerAddr string `json:"peer_addr" cbor:"2,keyasint"`
	Domain   string `json:"domain" cbor:"3,keyasint"`
	// Incarnation grows with each start of the host's process.
	Incarnation uint64 `json:"incarnation" cbor:"4,keyasint"`
	Entry       bool   `json:"entry" cbor:"5,keyasint"`
	Control     bool   `json:"control" cbor:"6,keyasint"`
	// Registered is the revision at which this incarnation was registered.
	Registered uint64 `json:"registered" cbor:"7,keyasint"`
}

// Endpoint is one database server of a service's group.
type Endpoint struct {
	ID      string `json:"id" cbor:"1,keyasint"`
	Service string `json:"service" cbor:"2,keyasint"`
	Addr    string `json:"addr" cbor:"3,keyasint"`
	Domain  string `json:"domain" cbor:"4,keyasint"`
	// StartedMS orders the processes that use one identity or one address, as the
	// Unix time of the process's start in milliseconds; zero when not told.
	StartedMS uint64 `json:"born,omitempty" cbor:"5,keyasint,omitempty"`
	// Seq numbers the announcement that last changed the record.
	Seq uint64 `json:"seq,omitempty" cbor:"6,keyasint,omitempty"`
	// Slots is the number of statements that the endpoint runs at once; zero
	// when the service tells it.
	Slots int `json:"slots,omitempty" cbor:"7,keyasint,omitempty"`
	// Leaving: the endpoint gets no new work.
	Leaving bool `json:"leaving,omitempty" cbor:"8,keyasint,omitempty"`
}

// same reports whether two records differ at most in their announcement.
func (e Endpoint) sameExceptSeq(o Endpoint) bool {
	e.Seq, o.Seq = 0, 0
	return e == o
}

// Tombstone remembers an endpoint that left, so that a late announcement of it
// is recognised.
type Tombstone struct {
	StartedMS uint64 `json:"born" cbor:"1,keyasint"`
	// At is the revision at which it left.
	At uint64 `json:"at" cbor:"2,keyasint"`
}

// Document is the source of the catalog when it was put in force as a whole.
type Document struct {
	Number uint64 `json:"number" cbor:"1,keyasint"`
	// Source is what the operator sent. Only control hosts keep it.
	Source []byte `json:"source,omitempty" cbor:"2,keyasint,omitempty"`
}

// Phase is the state of a database group.
type Phase string

// Phases of a group.
const (
	// PhaseForming: fewer than a majority of endpoints has announced itself.
	PhaseForming Phase = "forming"
	// PhaseActive: the primary may be written to under the group's term.
	PhaseActive Phase = "active"
	// PhaseSealed: no host may act under the term; a promotion is pending.
	PhaseSealed Phase = "sealed"
)

// Group is the agreed state of a service's database group.
type Group struct {
	Service string   `json:"service" cbor:"1,keyasint"`
	Members []string `json:"members" cbor:"2,keyasint"`
	// Term counts the primaries of the group. It grows by one with each seal.
	Term    uint64 `json:"term" cbor:"3,keyasint"`
	Primary string `json:"primary" cbor:"4,keyasint"`
	Phase   Phase  `json:"phase" cbor:"5,keyasint"`
	// Timeline is the database timeline that the primary reported when the
	// term became active.
	Timeline uint32 `json:"timeline" cbor:"6,keyasint"`
	// Changed is the revision of the last change of this record.
	Changed uint64 `json:"changed" cbor:"7,keyasint"`
	// Candidate is the endpoint chosen for promotion in a sealed term, empty
	// before the choice. The choose command sets it; seal and activate clear it.
	// A group activates only with its candidate as the primary.
	Candidate string `json:"candidate,omitempty" cbor:"9,keyasint,omitempty"`
	// ChooserTerm is the control leader's consensus term in which the candidate was
	// chosen, and Attempt numbers the choices of a sealed term. The revision in
	// Changed is the fence of the promotion that the chooser may order.
	ChooserTerm uint64 `json:"chooser,omitempty" cbor:"10,keyasint,omitempty"`
	Attempt     uint64 `json:"attempt,omitempty" cbor:"11,keyasint,omitempty"`
	// Reason tells why the group is not active.
	Reason string `json:"reason,omitempty" cbor:"8,keyasint,omitempty"`
}

// State is the replicated state at one revision. A State is immutable once
// published.
type State struct {
	// Revision is the log index of the last command that changed the state.
	Revision  uint64              `json:"revision" cbor:"1,keyasint"`
	Fleet     string              `json:"fleet" cbor:"2,keyasint"`
	Catalog   note.Catalog        `json:"catalog" cbor:"3,keyasint"`
	History   []note.Stamp        `json:"history" cbor:"4,keyasint"`
	Hosts     map[string]Host     `json:"hosts" cbor:"5,keyasint"`
	Endpoints map[string]Endpoint `json:"endpoints" cbor:"6,keyasint"`
	Groups    map[string]Group    `json:"groups" cbor:"7,keyasint"`
	// EntryRemoved is the revision at which an entry host's process was last
	// removed or replaced. What only that process knew is lost.
	EntryRemoved uint64 `json:"departed,omitempty" cbor:"8,keyasint,omitempty"`
	// HostsChanged is the revision of the last change of Hosts.
	HostsChanged uint64 `json:"hosts_changed,omitempty" cbor:"9,keyasint,omitempty"`
	// OwnersEpoch grows by one with each change of the set of control hosts,
	// among which the owners of quotas are chosen.
	OwnersEpoch uint64 `json:"owners_epoch,omitempty" cbor:"10,keyasint,omitempty"`
	// Document is the source of the catalog, empty when release notes made it.
	Document Document `json:"document,omitzero" cbor:"11,keyasint,omitzero"`
	// Retired are endpoints that left, by identity.
	Retired map[string]Tombstone `json:"retired,omitempty" cbor:"12,keyasint,omitempty"`
}
