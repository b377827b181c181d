package consensus

import "time"

// EntryKind tells what a log entry holds.
type EntryKind uint8

// Kinds of log entries.
const (
	// EntryCommand holds a command of the application in Data.
	EntryCommand EntryKind = iota
	// EntryNoOp is appended by a new leader to commit entries of earlier terms.
	EntryNoOp
	// EntryMembership holds a new membership in Members. It takes effect when it is
	// appended, not when it is committed.
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
	// Commit may lag behind; it only shortens the replay after a restart.
	Commit uint64 `cbor:"3,keyasint,omitempty"`
	// Fleet is the random identity of the log, zero before the node has one.
	Fleet uint64 `cbor:"4,keyasint,omitempty"`
	// Seen is what the node remembers of its peers' data folders.
	PeerRecords []PeerRecord `cbor:"5,keyasint,omitempty"`
}

// Seen names the latest start and term seen of a peer's data folder. A folder
// that shows less has been replaced by an older copy of itself.
type PeerRecord struct {
	Disk  uint64 `cbor:"1,keyasint"`
	Boots uint64 `cbor:"2,keyasint"`
	Term  uint64 `cbor:"3,keyasint"`
}

// Stored is what a data folder holds when a node starts.
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

// Durable is what must be synced, in one transaction, before the messages of
// the same Ready are sent.
type Durable struct {
	// Hard replaces the stored hard state when set.
	Hard *HardState
	// Snapshot replaces the stored snapshot when set. Stored entries before
	// First, and with Reset all stored entries, are deleted with it.
	Snapshot *Snapshot
	First    uint64
	Reset    bool
	// Entries replace all stored entries from Entries[0].Index on.
	Entries []Entry
}

// Empty reports whether there is nothing to sync.
func (d Durable) Empty() bool {
	return d.Hard == nil && d.Snapshot == nil && len(d.Entries) == 0
}

// Confirmation answers ConfirmQuorum: this node was the leader after the call,
// and every entry committed before the call has an index of at most Index.
type Confirmation struct {
	ID    uint64
	Index uint64
	Term  uint64
}

// Ready is the work that a node hands to its driver.
type Ready struct {
	Durable
	// Install is set when the application must replace its state by that of the
	// snapshot before it applies Committed.
	Install *Snapshot
	// Messages may be lost, reordered and duplicated.
	Messages []Message
	// Committed entries are handed out once per start, in order.
	Committed []Entry
	Confirmed []Confirmation
	// Dropped lists ConfirmQuorum calls that were given up because the node is
	// no longer the leader.
	Dropped []uint64
	// Joining lists nodes that asked this leader to be let into the group.
	JoinRequests []Member
	// Rejoin is set once peers have shown that the data folder is an older copy
	// of itself or was removed from the group. The node is then inert: the
	// driver must start anew from an empty data folder with a new identity.
	Rejoin bool
}

// Role is what a node does in its term.
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
	Leader   string
	First    uint64
	Last     uint64
	Commit   uint64
	Applied  uint64
	Snapshot uint64
	// Members is the committed membership: a change that a majority does not have
	// yet is not shown, since the loss of its leader could undo it.
	Members   []Member
	Voter     bool
	Rejoin    bool
	Followers []FollowerStatus
}

// FollowerStatus describes a follower as its leader sees it.
type FollowerStatus struct {
	Member
	Match uint64
	// Active reports whether the follower answered within an election timeout.
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
)
