package control

import (
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/codec"
	"github.com/galenabridge/galenabridge/internal/failover"
	"github.com/galenabridge/galenabridge/internal/peer"
)

// proposal requests a control host to propose a command.
type proposal struct {
	// Command is encoded by agreed.Command.Encode.
	Command []byte `cbor:"1,keyasint"`
	// Forwarded marks a proposal that a control host has forwarded to the leader.
	// It is not forwarded again.
	Forwarded bool `cbor:"2,keyasint,omitempty"`
	// After is the precondition of an order; see orderGuard. Hosts of earlier builds neither send
	// nor check it.
	After *uint64 `cbor:"3,keyasint,omitempty"`
}

// snapshotPush carries the whole agreed state, encoded by agreed.State.Encode and packed: a
// state of a large fleet takes a second on a link of 2 Mbit/s, and all its hosts may need it at
// once.
type snapshotPush struct {
	Packed []byte `cbor:"2,keyasint"`
}

// maxSnapshotBytes bounds the size of a decompressed snapshot or delta.
const maxSnapshotBytes = 64 << 20

// newSnapshotPush encodes and packs a state.
func newSnapshotPush(s *agreed.State) (snapshotPush, error) {
	data, err := s.Encode()
	return snapshotPush{Packed: codec.Pack(data)}, err
}

// state unpacks and decodes the state.
func (p snapshotPush) state() (*agreed.State, error) {
	data, err := codec.Unpack(p.Packed, maxSnapshotBytes)
	if err != nil {
		return nil, err
	}
	return agreed.Decode(data)
}

// deltaPush carries an agreed.Delta, packed: that of a fleet that comes back has some 100 bytes
// for each host, for each of its hosts.
type deltaPush struct {
	Packed []byte `cbor:"1,keyasint"`
}

func newDeltaPush(d agreed.Delta) (deltaPush, error) {
	data, err := peer.Marshal(d)
	return deltaPush{Packed: codec.Pack(data)}, err
}

// delta unpacks and decodes the delta.
func (p deltaPush) delta() (agreed.Delta, error) {
	var d agreed.Delta
	data, err := codec.Unpack(p.Packed, maxSnapshotBytes)
	if err != nil {
		return d, err
	}
	return d, peer.Unmarshal(data, &d)
}

// documentReply is the answer to a documentRequest.
type documentReply struct {
	Number uint64 `cbor:"1,keyasint"`
	// Source is the packed source of the document.
	Source []byte `cbor:"2,keyasint"`
}

func newDocumentReply(d agreed.Document) documentReply {
	return documentReply{Number: d.Number, Source: codec.Pack(d.Source)}
}

// document unpacks the document.
func (r documentReply) document() (agreed.Document, error) {
	source, err := codec.Unpack(r.Source, maxSnapshotBytes)
	return agreed.Document{Number: r.Number, Source: source}, err
}

// renewRefusal answers a lease request at a control host that has no state yet and
// is not the leader.
type renewRefusal struct{}

// goodbye reports that the sender's process has stopped acting and leaves the fleet.
type goodbye struct {
	Host        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Announcement is an endpoint's report about itself. The leader keeps it in memory
// only.
type Announcement struct {
	Endpoint agreed.Endpoint `cbor:"1,keyasint"`
	// Primary is set if the endpoint considers itself the primary.
	Primary  bool   `cbor:"2,keyasint,omitempty"`
	Timeline uint32 `cbor:"3,keyasint,omitempty"`
	// LSN is its write-ahead log position in bytes.
	LSN uint64 `cbor:"4,keyasint,omitempty"`
	// Leaving requests that the endpoint be taken out of use.
	Leaving bool `cbor:"5,keyasint,omitempty"`
}

// Observation is the condition of an endpoint as probed by a watcher, sent to the
// leader.
type Observation struct {
	Service   string             `cbor:"1,keyasint"`
	Endpoint  string             `cbor:"2,keyasint"`
	Domain    string             `cbor:"3,keyasint"`
	Condition failover.Condition `cbor:"4,keyasint"`
	// Watcher is the observing host.
	Watcher string `cbor:"5,keyasint"`
}

// witnessRequest requests a host to probe an endpoint and to report what it observes.
type witnessRequest struct {
	Endpoint string `cbor:"1,keyasint"`
}

// ServeWitnessRequests passes the endpoints that the control leader wants this host to probe to a
// function, which must not block.
func ServeWitnessRequests(n *peer.Node, witness func(endpoint string)) {
	peer.On(n, peer.KindWitness, func(_ peer.Identity, r witnessRequest) { witness(r.Endpoint) })
}

// statusRequest requests the status of a control host or its leader.
type statusRequest struct {
	// Forwarded marks a request that a control host has forwarded to the leader.
	// The receiver answers with its own status.
	Forwarded bool `cbor:"1,keyasint,omitempty"`
}

// Status describes the fleet from the point of view of the reporting control host.
// Only the leader's status is complete, since only the leader has all leases, the
// announcements and the state of failover.
type Status struct {
	// Host is the reporting control host.
	Host     string `json:"host" cbor:"1,keyasint"`
	Role     string `json:"role" cbor:"2,keyasint"`
	Term     uint64 `json:"term" cbor:"3,keyasint"`
	Leader   string `json:"leader" cbor:"4,keyasint"`
	Revision uint64 `json:"revision" cbor:"5,keyasint"`
	Settled  uint64 `json:"settled" cbor:"6,keyasint"`

	Controls  []ControlStatus  `json:"controls" cbor:"7,keyasint"`
	Hosts     []HostStatus     `json:"hosts" cbor:"8,keyasint"`
	Groups    []GroupStatus    `json:"groups" cbor:"9,keyasint"`
	Endpoints []EndpointStatus `json:"endpoints" cbor:"10,keyasint"`
	// Usage is nil in a fleet without usage reports.
	Usage *UsageStatus `json:"usage,omitempty" cbor:"11,keyasint,omitempty"`
}

// ControlStatus describes a member of the consensus group. Match is the last log
// index known to be replicated to it; Active is set if it responds to the leader.
type ControlStatus struct {
	Host   string `json:"host" cbor:"1,keyasint"`
	Voter  bool   `json:"voter" cbor:"2,keyasint"`
	Match  uint64 `json:"match" cbor:"3,keyasint"`
	Active bool   `json:"active" cbor:"4,keyasint"`
	// Disk is the identity of the host's data folder in hexadecimal.
	Disk string `json:"disk" cbor:"5,keyasint"`
}

// HostStatus describes a registered host.
type HostStatus struct {
	agreed.Host
	// Leased reports that the host may hold a valid configuration lease.
	Leased bool `json:"leased" cbor:"20,keyasint"`
}

// GroupStatus describes a database group.
type GroupStatus struct {
	agreed.Group
	// Waiting is why the group is not active or what it waits for.
	Waiting string `json:"waiting,omitempty" cbor:"20,keyasint,omitempty"`
}

// EndpointStatus describes an endpoint and its last announcement.
type EndpointStatus struct {
	agreed.Endpoint
	Primary  bool   `json:"primary" cbor:"20,keyasint"`
	Timeline uint32 `json:"timeline" cbor:"21,keyasint"`
	LSN      uint64 `json:"lsn" cbor:"22,keyasint"`
	// Age is the time since the last announcement, negative if there was none.
	Age time.Duration `json:"age_ns" cbor:"23,keyasint"`
	// Refused is why an endpoint that announces itself is not a member.
	Refused string `json:"refused,omitempty" cbor:"24,keyasint,omitempty"`
}
