package control

import (
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/failover"
)

// proposal asks a control host to propose a command.
type proposal struct {
	Command agreed.Command `cbor:"1,keyasint"`
	// Forwarded marks a proposal that a control host sent to the leader. It is
	// not forwarded again.
	Forwarded bool `cbor:"2,keyasint,omitempty"`
}

// snapshotPush carries the whole agreed state.
type snapshotPush struct {
	State []byte `cbor:"1,keyasint"`
}

// renewNo answers a request for a lease that a control host without any state
// cannot pass on.
type renewRefusal struct{}

// goodbye tells that the sender's process has stopped to act and leaves.
type goodbye struct {
	Host        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Announcement is what an endpoint tells about itself. It is soft state of the
// leader.
type Announcement struct {
	Endpoint agreed.Endpoint `cbor:"1,keyasint"`
	// Primary tells whether the endpoint considers itself the primary.
	Primary  bool   `cbor:"2,keyasint,omitempty"`
	Timeline uint32 `cbor:"3,keyasint,omitempty"`
	// LSN is its log position in bytes.
	LSN uint64 `cbor:"4,keyasint,omitempty"`
	// Leaving asks to be taken out of use.
	Leaving bool `cbor:"5,keyasint,omitempty"`
}

// Observation is a watcher's report as sent to the leader.
type Observation struct {
	Service   string             `cbor:"1,keyasint"`
	Endpoint  string             `cbor:"2,keyasint"`
	Domain    string             `cbor:"3,keyasint"`
	Condition failover.Condition `cbor:"4,keyasint"`
	// Watcher is the observing host.
	Watcher string `cbor:"5,keyasint"`
}

// statusRequest asks for the status of the control host.
type statusRequest struct {
	// Forwarded marks a request that a control host sent to the leader.
	Forwarded bool `cbor:"1,keyasint,omitempty"`
}

// Status describes the fleet as the control leader sees it, or as far as
// another control host knows it.
type Status struct {
	// Host is the control host that reports.
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
}

// ControlStatus describes a member of the consensus group.
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
	// Waiting tells why the group is not active or what it waits for.
	Waiting string `json:"waiting,omitempty" cbor:"20,keyasint,omitempty"`
}

// EndpointStatus describes an endpoint with what it last announced.
type EndpointStatus struct {
	agreed.Endpoint
	Primary  bool   `json:"primary" cbor:"20,keyasint"`
	Timeline uint32 `json:"timeline" cbor:"21,keyasint"`
	LSN      uint64 `json:"lsn" cbor:"22,keyasint"`
	// Age is the time since the last announcement; negative for none.
	Age time.Duration `json:"age_ns" cbor:"23,keyasint"`
	// Refused tells why an endpoint that announces itself is not a member.
	Refused string `json:"refused,omitempty" cbor:"24,keyasint,omitempty"`
}
