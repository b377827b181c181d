// Package agreed defines the replicated state of a fleet: the catalog, the
// registered hosts, the endpoints of each database group and the group's term and
// primary. It is a deterministic state machine: commands from the consensus log are
// applied in order, and the differences between states are sent to subscribers as
// deltas. The package performs no I/O and reads no clock.
package agreed

import "github.com/galenabridge/galenabridge/internal/note"

// Host is a registered host of the fleet.
type Host struct {
	ID string `json:"id" cbor:"1,keyasint"`
	// PeerAddr is the IP address and port for messages between hosts.
	PeerAddr string `json:"peer_addr" cbor:"2,keyasint"`
	Domain   string `json:"domain" cbor:"3,keyasint"`
	// Incarnation increases with each start of the host's process.
	Incarnation uint64 `json:"incarnation" cbor:"4,keyasint"`
	Entry       bool   `json:"entry" cbor:"5,keyasint"`
	Control     bool   `json:"control" cbor:"6,keyasint"`
	// Registered is the revision at which this incarnation was registered.
	Registered uint64 `json:"registered" cbor:"7,keyasint"`
	// Absent is set once the configuration lease of this incarnation has ended. The process
	// must not act until it has registered again, and has given up its shares of rates.
	Absent bool `json:"absent,omitempty" cbor:"8,keyasint,omitempty"`
	// Link is the capacity of the host's network link in bytes a second, zero if unknown. The
	// home hosts are chosen by it, so all hosts must have the same information.
	Link int64 `json:"link,omitempty" cbor:"9,keyasint,omitempty"`
}

// Endpoint is one database server of a service's group.
type Endpoint struct {
	ID      string `json:"id" cbor:"1,keyasint"`
	Service string `json:"service" cbor:"2,keyasint"`
	Addr    string `json:"addr" cbor:"3,keyasint"`
	Domain  string `json:"domain" cbor:"4,keyasint"`
	// StartedMS is the start time of the endpoint's process as Unix time in
	// milliseconds, zero if not reported. It orders the processes that use the same
	// identity or address.
	StartedMS uint64 `json:"born,omitempty" cbor:"5,keyasint,omitempty"`
	// Seq numbers the announcement that last changed the record.
	Seq uint64 `json:"seq,omitempty" cbor:"6,keyasint,omitempty"`
	// Slots is the number of statements that the endpoint runs at once; zero means
	// that of the service.
	Slots int `json:"slots,omitempty" cbor:"7,keyasint,omitempty"`
	// Leaving is set if the endpoint must get no new work.
	Leaving bool `json:"leaving,omitempty" cbor:"8,keyasint,omitempty"`
}

// sameExceptSeq reports whether two records differ at most in Seq.
func (e Endpoint) sameExceptSeq(o Endpoint) bool {
	e.Seq, o.Seq = 0, 0
	return e == o
}

// Tombstone records that an endpoint's process has left, so that a late announcement
// does not add it again.
type Tombstone struct {
	StartedMS uint64 `json:"born" cbor:"1,keyasint"`
	// At is the revision at which the endpoint was removed.
	At uint64 `json:"at" cbor:"2,keyasint"`
}

// Document is the operator's document from which the catalog was made as a whole.
type Document struct {
	Number uint64 `json:"number" cbor:"1,keyasint"`
	// Source is the document as sent by the operator. Only control hosts keep it.
	Source []byte `json:"source,omitempty" cbor:"2,keyasint,omitempty"`
}

// Phase is the state of a database group.
type Phase string

// Phases of a group.
const (
	// PhaseForming: the group has had no primary yet. It needs a quorum of members, or is sealed if
	// none of them is a primary.
	PhaseForming Phase = "forming"
	// PhaseActive: the primary accepts writes under the group's term.
	PhaseActive Phase = "active"
	// PhaseSealed: no host may act under the term; a promotion is pending.
	PhaseSealed Phase = "sealed"
)

// Group is the agreed state of a service's database group. Its phase goes from
// forming to active or sealed, then alternates between sealed and active. Each term has at
// most one primary.
type Group struct {
	Service string   `json:"service" cbor:"1,keyasint"`
	Members []string `json:"members" cbor:"2,keyasint"`
	// Term is 1 when the group first becomes active, or is sealed before, and is incremented by each
	// seal after that.
	Term    uint64 `json:"term" cbor:"3,keyasint"`
	Primary string `json:"primary" cbor:"4,keyasint"`
	Phase   Phase  `json:"phase" cbor:"5,keyasint"`
	// Timeline is the database timeline reported by the primary when the term
	// became active.
	Timeline uint32 `json:"timeline" cbor:"6,keyasint"`
	// Changed is the revision of the last change of this record.
	Changed uint64 `json:"changed" cbor:"7,keyasint"`
	// Candidate is the endpoint chosen for promotion in a sealed term, empty
	// before the choice. The choose command sets it; seal and activate clear it.
	// A sealed group activates only with its candidate as the primary.
	Candidate string `json:"candidate,omitempty" cbor:"9,keyasint,omitempty"`
	// ChooserTerm is the consensus term of the control leader that chose the
	// candidate, and Attempt numbers the choices in a sealed term. Changed is the
	// fence of the promotion that this leader may order.
	ChooserTerm uint64 `json:"chooser,omitempty" cbor:"10,keyasint,omitempty"`
	Attempt     uint64 `json:"attempt,omitempty" cbor:"11,keyasint,omitempty"`
	// Reason is why the group is not active.
	Reason string `json:"reason,omitempty" cbor:"8,keyasint,omitempty"`
	// Life is the revision of the last withdrawal of any service before this one was added, zero
	// if there was none. A service that is withdrawn and returns thus begins another life, with
	// terms from 1 and logs of its own.
	Life uint64 `json:"life,omitempty" cbor:"12,keyasint,omitempty"`
}

// State is the replicated state at one revision. It is immutable once published;
// later states share its unchanged maps.
type State struct {
	// Revision is the log index of the last command that changed the state, apart from Usage.
	Revision  uint64              `json:"revision" cbor:"1,keyasint"`
	Fleet     string              `json:"fleet" cbor:"2,keyasint"`
	Catalog   note.Catalog        `json:"catalog" cbor:"3,keyasint"`
	History   []note.Stamp        `json:"history" cbor:"4,keyasint"`
	Hosts     map[string]Host     `json:"hosts" cbor:"5,keyasint"`
	Endpoints map[string]Endpoint `json:"endpoints" cbor:"6,keyasint"`
	Groups    map[string]Group    `json:"groups" cbor:"7,keyasint"`
	// EntryRemoved is the revision at which an entry host's process was last
	// removed or replaced. Information held only by that process is lost.
	EntryRemoved uint64 `json:"departed,omitempty" cbor:"8,keyasint,omitempty"`
	// HostsChanged is the revision of the last change of Hosts.
	HostsChanged uint64 `json:"hosts_changed,omitempty" cbor:"9,keyasint,omitempty"`
	// OwnersEpoch is incremented by each change of the hosts from which the owners of
	// quotas are chosen (QuotaOwners).
	OwnersEpoch uint64 `json:"owners_epoch,omitempty" cbor:"10,keyasint,omitempty"`
	// Document is the source of the catalog, empty if the catalog was made by release
	// notes.
	Document Document `json:"document,omitzero" cbor:"11,keyasint,omitzero"`
	// SilentOwners are the control hosts that own no quotas because the control leader
	// does not hear them, in sorted order.
	SilentOwners []string `json:"silent_owners,omitempty" cbor:"13,keyasint,omitempty"`
	// Retired holds the tombstones of endpoints that left, by identity.
	Retired map[string]Tombstone `json:"retired,omitempty" cbor:"12,keyasint,omitempty"`
	// ServiceWithdrawn is the revision at which a service was last withdrawn, zero if none was.
	// Subscribers do not receive it.
	ServiceWithdrawn uint64 `json:"service_withdrawn,omitempty" cbor:"15,keyasint,omitempty"`
	// Usage is the state of the usage reports. Subscribers do not receive it.
	Usage Usage `json:"usage,omitzero" cbor:"14,keyasint,omitzero"`
}
