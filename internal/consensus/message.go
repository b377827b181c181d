package consensus

// Kind is the type of a message between nodes.
type MessageKind uint8

// Kinds of messages.
const (
	// KindPreVote asks whether the receiver would vote for the sender in Term.
	KindPreVote MessageKind = iota + 1
	KindPreVoteResponse
	KindVote
	KindVoteResponse
	KindAppend
	KindAppendResponse
	KindHeartbeat
	KindHeartbeatResponse
	// KindSnapshot carries one chunk of a snapshot.
	KindSnapshot
	KindSnapshotResponse
	// KindTimeoutNow asks the receiver to start an election at once.
	KindTimeoutNow
	// KindJoinRequest is sent by a node that belongs to no group, or that may be
	// unknown to its group.
	KindJoinRequest
	// KindJoinResponse reports that the sender belongs to a group. It does not
	// add the receiver to it.
	KindJoinResponse
	// KindRejoin reports to the receiver that its data folder is outdated or was
	// removed from the group, and must be replaced by an empty one.
	KindRejoin
	// KindLeave reports to the leader that the sender is about to stop. KindLeft answers it once
	// the sender is no member of the group.
	KindLeave
	KindLeft
)

// Message is a message between two nodes. Fields that a kind does not use are
// zero.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	// From and To are hosts; FromDisk and ToDisk identify the nodes.
	From     string `cbor:"2,keyasint"`
	FromDisk uint64 `cbor:"3,keyasint"`
	To       string `cbor:"4,keyasint"`
	ToDisk   uint64 `cbor:"5,keyasint,omitempty"`
	Fleet    uint64 `cbor:"6,keyasint,omitempty"`
	Term     uint64 `cbor:"7,keyasint,omitempty"`
	// Boots counts the starts of the sender; in KindRejoin, of the receiver.
	Boots uint64 `cbor:"8,keyasint,omitempty"`
	// Index and LogTerm identify the entry before Entries (KindAppend), the last
	// entry of a candidate (KindPreVote, KindVote), the last matching entry
	// (KindAppendResponse) or the last entry included in a snapshot.
	Index   uint64  `cbor:"9,keyasint,omitempty"`
	LogTerm uint64  `cbor:"10,keyasint,omitempty"`
	Entries []Entry `cbor:"11,keyasint,omitempty"`
	Commit  uint64  `cbor:"12,keyasint,omitempty"`
	Reject  bool    `cbor:"13,keyasint,omitempty"`
	// Hint is the last index at which the log of a rejecting follower may match the
	// leader's.
	Hint uint64 `cbor:"14,keyasint,omitempty"`
	// Last is the last index in the log of a responding follower.
	Last uint64 `cbor:"15,keyasint,omitempty"`
	// Round numbers the heartbeat rounds of a leader.
	Round uint64 `cbor:"16,keyasint,omitempty"`
	// Force marks a vote request of a leadership transfer. Voters handle it even
	// while they have a live leader.
	Force bool `cbor:"17,keyasint,omitempty"`
	// Offset is the position of Chunk in the data of a snapshot, and in
	// KindSnapshotResponse the next expected position, in bytes. Total is the
	// length of the data in bytes.
	Offset  uint64   `cbor:"18,keyasint,omitempty"`
	Total   uint64   `cbor:"19,keyasint,omitempty"`
	Chunk   []byte   `cbor:"20,keyasint,omitempty"`
	Members []Member `cbor:"21,keyasint,omitempty"`
	// Leader is the host of the leader in KindJoinResponse, empty when unknown.
	Leader string `cbor:"22,keyasint,omitempty"`
	// Initial marks a KindJoinRequest of an initial voter at its first start. Earlier builds do not.
	Initial bool `cbor:"23,keyasint,omitempty"`
}

// maxSnapshotTotal bounds the data of a snapshot from a peer, in bytes.
const maxSnapshotTotal = 1 << 30

// consistent reports whether the fields of the message can be those of a node: entries follow the
// entry before them in ascending terms, and a snapshot has members and a size within its bound. A
// log that took others in would have gaps, which no host can load again.
func (m *Message) consistent() bool {
	switch m.Kind {
	case KindAppend:
		term := m.LogTerm
		for i := range m.Entries {
			e := &m.Entries[i]
			if e.Index != m.Index+uint64(i)+1 || e.Index == 0 || e.Term < term || e.Term > m.Term {
				return false
			}
			term = e.Term
		}
	case KindSnapshot:
		return m.Total <= maxSnapshotTotal && len(m.Members) > 0 && m.LogTerm <= m.Term
	}
	return true
}

// fromLeader reports whether the message is of a kind that only the leader of
// Term sends.
func (m *Message) fromLeader() bool {
	return m.Kind == KindAppend || m.Kind == KindHeartbeat || m.Kind == KindSnapshot
}
