package consensus

import "time"

// EntryKind is the type of a log entry.
type EntryKind uint8

// Kinds of log entries.
const (
	// EntryCommand holds a command of the application in Data.
	EntryCommand EntryKind = iota
	// EntryNoOp is appended by a new leader to commit entries of earlier terms.
	EntryNoOp
	// EntryMembership holds a new membership in Members. It takes effect when it
	// is appended, not when it is committed.
	EntryMembership
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index   uint64    `cbor:"1,keyasint"`
	Term    uint64    `cbor:"2,keyasint"`
	Kind    EntryKind `cbor:"3,keyasint,omitempty"`
	Data    []byte    `cbor:"4,keyasint,omitempty"`
	Members []Member  `cbor:"5,keyasint,omitempty"`
}

// entryOverhead approximates the encoded size of an entry without its data, in
// bytes.
const entryOverhead = 24

func (e Entry) size() int {
	return entryOverhead + len(e.Data) + entryOverhead*len(e.Members)
}

// Member is one member of the group. Voters elect leaders and commit entries;
// learners only receive the log.
type Member struct {
	// Host is the identity of the control host, used to address messages.
	Host string `cbor:"1,keyasint"`
	// Disk is the identity of the data folder, by which votes are counted.
	Disk  uint64 `cbor:"2,keyasint"`
	Voter bool   `cbor:"3,keyasint,omitempty"`
}

// Snapshot is the application state after the entry at Index. Empty Data means
// the initial state.
type Snapshot struct {
	Index   uint64   `cbor:"1,keyasint"`
	Term    uint64   `cbor:"2,keyasint"`
	Members []Member `cbor:"3,keyasint,omitempty"`
	Data    []byte   `cbor:"4,keyasint,omitempty"`
}

// HardState is the part of a node's state that must be synced before messages
// that depend on it are sent.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	// Vote is the disk identity voted for in Term, zero for none.
	Vote uint64 `cbor:"2,keyasint,omitempty"`
	// Commit may lag behind the commit index in memory; it only shortens the
	// replay after a restart.
	Commit uint64 `cbor:"3,keyasint,omitempty"`
	// Fleet is the random identity of the group, zero while the node belongs to
	// none.
	Fleet uint64 `cbor:"4,keyasint,omitempty"`
	// PeerRecords holds the records of the members' data folders.
	PeerRecords []PeerRecord `cbor:"5,keyasint,omitempty"`
}

// PeerRecord is the latest start count and term received from a peer's data
// folder. A lower start count, or a lower term after a newer start, shows that the
// folder was restored from an older copy.
type PeerRecord struct {
	Disk  uint64 `cbor:"1,keyasint"`
	Boots uint64 `cbor:"2,keyasint"`
	Term  uint64 `cbor:"3,keyasint"`
}

// Stored is the content of a data folder when a node starts.
type Stored struct {
	// Disk is the identity of the data folder. It is never zero.
	Disk uint64
	// Boots counts the starts with this data folder, this one included.
	Boots    uint64
	Hard     HardState
	Snapshot Snapshot
	// Entries may begin before Snapshot.Index; they are contiguous.
	Entries []Entry
}

// Durable is the state that must be synced, in one transaction, before the
// messages of the same Ready are sent.
type Durable struct {
	// Hard replaces the stored hard state when set.
	Hard *HardState
	// Snapshot replaces the stored snapshot when set. With it, stored entries
	// before FirstIndex are deleted, or all of them when ResetLog is set.
	Snapshot   *Snapshot
	FirstIndex uint64
	ResetLog   bool
	// Entries replace all stored entries from Entries[0].Index on.
	Entries []Entry
}

// Empty reports whether there is nothing to sync.
func (d Durable) Empty() bool {
	return d.Hard == nil && d.Snapshot == nil && len(d.Entries) == 0
}

// Confirmation is the result of ConfirmQuorum: this node was the leader after
// the call, and every entry committed before the call has an index of at most
// Index.
type Confirmation struct {
	ID    uint64
	Index uint64
	Term  uint64
}

// Ready is the pending work of a node, to be done by its driver in the order
// given in the package comment.
type Ready struct {
	Durable
	// Install is set when the application must replace its state by that of the
	// snapshot before it applies Committed.
	Install *Snapshot
	// Messages may be lost, reordered and duplicated.
	Messages []Message
	// Committed entries are delivered once per start, in log order.
	Committed []Entry
	Confirmed []Confirmation
	// FailedConfirms lists the ConfirmQuorum calls that failed because the node is
	// no longer the leader, by their IDs.
	FailedConfirms []uint64
	// JoinRequests lists the nodes that sent this leader a request to join the
	// group and are not members.
	JoinRequests []Member
	// Rejoin is set once the data folder proved to be an older copy of itself, to
	// lack synced entries, or to be removed from the group. The node then ignores
	// ticks and messages, and the driver must start a new node from an empty data
	// folder with a new identity.
	Rejoin bool
}

// Role is the Raft role of a node.
type Role uint8

// Roles of a node.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the lower-case name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre_candidate", "candidate", "leader"}[r]
}

// Status describes a node for metrics and operators.
type Status struct {
	Host  string
	Disk  uint64
	Fleet uint64
	Role  Role
	Term  uint64
	// Leader is the host of the known leader, empty for none.
	Leader string
	// First and Last bound the log entries in memory. Like them, Commit, Applied
	// and Snapshot are indexes of the log.
	First    uint64
	Last     uint64
	Commit   uint64
	Applied  uint64
	Snapshot uint64
	// Members is the committed membership. An uncommitted change is left out,
	// since the loss of its leader may undo it.
	Members   []Member
	Voter     bool
	Rejoin    bool
	Followers []FollowerStatus
}

// FollowerStatus is the leader's view of one follower.
type FollowerStatus struct {
	Member
	// Match is the last index up to which the follower's log is known to match.
	Match uint64
	// Active reports whether the follower responded in the present or the
	// previous check-quorum interval; an interval is one election timeout.
	Active bool
}

// Defaults of Config.
const (
	DefaultTickInterval    = 20 * time.Millisecond
	DefaultElectionTicks   = 15 // 300 ms, randomised up to 600 ms
	DefaultHeartbeatTicks  = 3  // 60 ms
	DefaultMaxAppendBytes  = 256 << 10
	DefaultMaxInflight     = 32 // append messages per follower
	DefaultChunkBytes      = 256 << 10
	DefaultTrailingEntries = 1024 // entries
	DefaultTrailingBytes   = 4 << 20
	DefaultToleratedLosses = 2 // data folders
)
