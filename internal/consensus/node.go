package consensus

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/result"
)

// Node is the consensus state machine of one control host. It is not safe for
// concurrent use. leaderState is set exactly while role is Leader.
type Node struct {
	cfg       Config
	disk      uint64
	boots     uint64
	hard      HardState
	savedHard HardState
	log       *raftLog

	role    Role
	leader  Member // zero when unknown
	members []Member
	// rejoin is set once the data folder must be replaced by an empty one.
	rejoin bool
	ticks  uint64

	// leaderContact is the tick of the last message from a leader, or of the last one in which the
	// node led.
	leaderContact    uint64
	electionElapsed  int
	electionTimeout  int
	votes            map[uint64]bool
	transferElection bool // the campaign is part of a leadership transfer

	leaderState  *leaderState      // set while leader
	incoming     *incomingSnapshot // snapshot being received
	controlHosts int               // of the fleet, zero if unknown
	bootstrap    bootstrapState
	departure    departure
	peerRecords  map[uint64]PeerRecord // by disk identity
	// peerBootUnsaved is set while a newer start count of a peer is not synced.
	peerBootUnsaved bool

	msgs           []Message
	confirmed      []Confirmation
	failedConfirms []uint64
	joinRequests   []Member
}

// New returns a node that continues from the content of its data folder.
func New(cfg Config, st Stored) (*Node, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	if st.Disk == 0 {
		return nil, errors.New("consensus: Stored.Disk is zero")
	}
	log, err := newLog(st)
	if err != nil {
		return nil, err
	}
	n := &Node{
		cfg: cfg, disk: st.Disk, boots: st.Boots, hard: st.Hard, savedHard: st.Hard, log: log,
		peerRecords: map[uint64]PeerRecord{},
		bootstrap:   newBootstrapState(),
	}
	for _, s := range st.Hard.PeerRecords {
		n.peerRecords[s.Disk] = s
	}
	n.members = log.members()
	n.resetInitialElectionTimer()
	return n, nil
}

// Tick advances the node's time by one TickInterval.
func (n *Node) Tick() {
	if n.rejoin {
		return
	}
	n.ticks++
	n.electionElapsed++
	if n.isOutsideGroup() {
		n.tickOutsideGroup()
	}
	n.tickDeparture()
	if n.role == Leader {
		n.leaderContact = n.ticks
		n.tickLeader()
		return
	}
	if n.electionElapsed >= n.electionTimeout && n.isVoter() {
		n.campaign(PreCandidate)
	}
}

// Step handles a message from a peer. It returns an error with a result code when
// the message is malformed or meant for another group or data folder.
func (n *Node) Step(m Message) error {
	if n.rejoin {
		return nil
	}
	if err := n.validate(&m); err != nil {
		return err
	}
	switch m.Kind {
	case KindJoinRequest:
		n.handleJoinRequest(&m)
		return nil
	case KindJoinResponse:
		n.handleJoinResponse(&m)
		return nil
	case KindRejoin:
		n.handleRejoin(&m)
		return nil
	}
	n.adoptFleet(m.Fleet)
	if !n.checkSender(&m) {
		return nil
	}
	if !n.checkTerm(&m) {
		return nil
	}
	n.dispatch(&m)
	return nil
}

// validate checks that the message is well formed and meant for this node.
func (n *Node) validate(m *Message) error {
	if m.Kind < KindPreVote || m.Kind > KindLeft || m.FromDisk == 0 {
		return result.New(result.PeerMalformed, "consensus message of kind %d from disk %x", m.Kind, m.FromDisk)
	}
	joins := n.cfg.FormWithoutLost && (m.Kind == KindJoinRequest || m.Kind == KindJoinResponse)
	if m.Fleet != 0 && n.hard.Fleet != 0 && m.Fleet != n.hard.Fleet && !joins {
		return result.New(result.PeerFleet, "host %s belongs to group %x, this host to %x", m.From, m.Fleet, n.hard.Fleet)
	}
	if m.Kind == KindJoinRequest || m.Kind == KindJoinResponse {
		return nil
	}
	if m.ToDisk != n.disk {
		return result.New(result.PeerIncarnation, "message for disk %x reached disk %x", m.ToDisk, n.disk)
	}
	if m.Fleet == 0 {
		return result.New(result.PeerMalformed, "message from %s carries no group identity", m.From)
	}
	if !m.consistent() {
		return result.New(result.PeerMalformed, "message of kind %d from %s has entries, positions or members that cannot be", m.Kind, m.From)
	}
	return nil
}

// checkTerm compares the term of a message with the node's own. It returns false
// when the message needs no further handling.
func (n *Node) checkTerm(m *Message) bool {
	switch {
	case m.Term > n.hard.Term:
		return n.handleNewerTerm(m)
	case m.Term < n.hard.Term:
		n.rejectOlderTerm(m)
		return false
	}
	return true
}

// handleNewerTerm adopts the term of a message, except that of a pre-vote or of its
// grant, which no node has entered yet. A vote request is ignored while the leader
// is live, unless it is part of a leadership transfer.
func (n *Node) handleNewerTerm(m *Message) bool {
	switch m.Kind {
	case KindPreVote:
		return true
	case KindPreVoteResponse:
		if !m.Reject {
			return true
		}
	case KindVote:
		if n.hasRecentLeader() && !m.Force {
			return false
		}
	}
	var leader Member
	if m.fromLeader() {
		leader = Member{Host: m.From, Disk: m.FromDisk}
	}
	n.becomeFollower(m.Term, leader)
	return true
}

// rejectOlderTerm responds to a stale leader or pre-candidate with the newer term.
// Without a response, a follower with a newer term would ignore the leader for
// ever and stay cut off from the group.
func (n *Node) rejectOlderTerm(m *Message) {
	switch {
	case m.fromLeader():
		n.respond(m, Message{Kind: KindAppendResponse, Reject: true, Hint: n.log.commit, Last: n.log.last()})
	case m.Kind == KindPreVote:
		n.respond(m, Message{Kind: KindPreVoteResponse, Reject: true})
	}
}

func (n *Node) dispatch(m *Message) {
	if m.fromLeader() {
		n.recordLeaderContact(m)
	}
	switch m.Kind {
	case KindPreVote, KindVote:
		n.handleVote(m)
	case KindPreVoteResponse, KindVoteResponse:
		n.handleVoteResponse(m)
	case KindAppend:
		n.handleAppend(m)
	case KindHeartbeat:
		n.handleHeartbeat(m)
	case KindSnapshot:
		n.handleSnapshot(m)
	case KindTimeoutNow:
		if n.isVoter() && n.role != Leader {
			n.transferElection = true
			n.campaign(Candidate)
		}
	case KindLeave:
		n.handleLeave(m)
	case KindLeft:
		n.departure.left = true
	case KindAppendResponse, KindHeartbeatResponse, KindSnapshotResponse:
		if n.role == Leader {
			n.handleFollowerResponse(m)
		}
	}
}

// maxQueuedMessages bounds the outgoing messages queued while the driver cannot
// save. Further ones are dropped; the protocol tolerates lost messages.
const maxQueuedMessages = 4096

// send sets the sender's fields and queues a message. A zero Term or Boots is replaced
// by the node's own value.
func (n *Node) send(to Member, m Message) {
	if len(n.msgs) >= maxQueuedMessages {
		return
	}
	m.From, m.FromDisk = n.cfg.Host, n.disk
	m.To, m.ToDisk = to.Host, to.Disk
	m.Fleet = n.hard.Fleet
	if m.Boots == 0 {
		m.Boots = n.boots
	}
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.msgs = append(n.msgs, m)
}

func (n *Node) respond(to *Message, m Message) {
	n.send(Member{Host: to.From, Disk: to.FromDisk}, m)
}

func (n *Node) adoptFleet(fleet uint64) {
	if n.hard.Fleet == 0 {
		n.hard.Fleet, n.bootstrap.fleetAt = fleet, n.ticks
	}
}

func (n *Node) isVoter() bool {
	m, ok := n.member(n.disk)
	return ok && m.Voter
}

func (n *Node) member(disk uint64) (Member, bool) {
	i := slices.IndexFunc(n.members, func(m Member) bool { return m.Disk == disk })
	if i < 0 {
		return Member{}, false
	}
	return n.members[i], true
}

// Voters returns the number of voters, including that of a change that is not committed yet.
func (n *Node) Voters() int { return n.voterCount() }

func (n *Node) voterCount() int {
	count := 0
	for _, m := range n.members {
		if m.Voter {
			count++
		}
	}
	return count
}

func (n *Node) quorum() int { return quorumOf(n.voterCount()) }

// quorumOf returns the number of votes that a group needs.
func quorumOf(voters int) int { return voters/2 + 1 }
