package consensus

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/result"
)

// Node is the consensus state machine of one control host. It is not safe for
// concurrent use.
type Node struct {
	cfg   Config
	disk  uint64
	boots uint64
	hard  HardState
	saved HardState
	log   *raftLog

	role    Role
	leader  Member // zero when unknown
	members []Member
	// rejoin is set once the data folder was found to be unusable.
	rejoin bool
	ticks  uint64

	electionElapsed int
	electionTimeout int
	votes           map[uint64]bool
	forced          bool // this campaign was started by a hand-over

	lead     *leadership // set while leader
	incoming *assembly   // snapshot being received
	founding founding
	seen     map[uint64]PeerRecord // by disk identity
	// seenBoot is set while a peer's new start is not yet synced.
	seenBoot bool

	msgs      []Message
	confirmed []Confirmation
	dropped   []uint64
	joining   []Member
}

// New returns a node that continues from what its data folder holds.
func New(cfg Config, st Stored) (*Node, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	if st.Disk == 0 {
		return nil, errors.New("consensus: no disk identity")
	}
	log, err := newLog(st)
	if err != nil {
		return nil, err
	}
	n := &Node{
		cfg: cfg, disk: st.Disk, boots: st.Boots, hard: st.Hard, saved: st.Hard, log: log,
		seen:     map[uint64]PeerRecord{},
		founding: newFounding(),
	}
	for _, s := range st.Hard.PeerRecords {
		n.seen[s.Disk] = s
	}
	n.members = log.members()
	n.resetFirstElection()
	return n, nil
}

// Tick advances the node's time by one TickInterval.
func (n *Node) Tick() {
	if n.rejoin {
		return
	}
	n.ticks++
	n.electionElapsed++
	if n.isOutside() {
		n.tickOutside()
	}
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.electionElapsed >= n.electionTimeout && n.isVoter() {
		n.campaign(PreCandidate)
	}
}

// Step handles a message from a peer. An error names why it was refused.
func (n *Node) Step(m Message) error {
	if n.rejoin {
		return nil
	}
	if err := n.accept(&m); err != nil {
		return err
	}
	switch m.Kind {
	case KindJoinRequest:
		n.handleHello(&m)
		return nil
	case KindJoinResponse:
		n.handleWelcome(&m)
		return nil
	case KindRejoin:
		n.handleRejoin(&m)
		return nil
	}
	n.adoptFleet(m.Fleet)
	if !n.witness(&m) {
		return nil
	}
	if !n.alignTerm(&m) {
		return nil
	}
	n.dispatch(&m)
	return nil
}

// accept checks that the message is meant for this node.
func (n *Node) accept(m *Message) error {
	if m.Kind < KindPreVote || m.Kind > KindRejoin || m.FromDisk == 0 {
		return result.New(result.PeerMalformed, "consensus message of kind %d from disk %x", m.Kind, m.FromDisk)
	}
	if m.Fleet != 0 && n.hard.Fleet != 0 && m.Fleet != n.hard.Fleet {
		return result.New(result.PeerFleet, "host %s belongs to group %x, this host to %x", m.From, m.Fleet, n.hard.Fleet)
	}
	if m.Kind == KindJoinRequest || m.Kind == KindJoinResponse {
		return nil
	}
	if m.ToDisk != n.disk {
		return result.New(result.PeerIncarnation, "message for disk %x reached disk %x", m.ToDisk, n.disk)
	}
	if m.Fleet == 0 {
		return result.New(result.PeerMalformed, "message from %s names no group", m.From)
	}
	return nil
}

// alignTerm compares the term of a message with the node's own. It returns
// false when the message needs no further handling.
func (n *Node) alignTerm(m *Message) bool {
	switch {
	case m.Term > n.hard.Term:
		return n.alignNewerTerm(m)
	case m.Term < n.hard.Term:
		n.refuseOlderTerm(m)
		return false
	}
	return true
}

func (n *Node) alignNewerTerm(m *Message) bool {
	switch m.Kind {
	case KindPreVote:
		return true
	case KindPreVoteResponse:
		if !m.Reject {
			return true
		}
	case KindVote:
		if n.hearsLeader() && !m.Force {
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

// refuseOlderTerm tells a stale leader or candidate about the newer term, so
// that a node with a newer term is not left out for ever.
func (n *Node) refuseOlderTerm(m *Message) {
	switch {
	case m.fromLeader():
		n.answer(m, Message{Kind: KindAppendResponse, Reject: true, Hint: n.log.commit, Last: n.log.last()})
	case m.Kind == KindPreVote:
		n.answer(m, Message{Kind: KindPreVoteResponse, Reject: true})
	}
}

func (n *Node) dispatch(m *Message) {
	if m.fromLeader() {
		n.heardLeader(m)
	}
	switch m.Kind {
	case KindPreVote, KindVote:
		n.handleVote(m)
	case KindPreVoteResponse, KindVoteResponse:
		n.handleVoteAnswer(m)
	case KindAppend:
		n.handleAppend(m)
	case KindHeartbeat:
		n.handleHeartbeat(m)
	case KindSnapshot:
		n.handleSnapshot(m)
	case KindTimeoutNow:
		if n.isVoter() && n.role != Leader {
			n.forced = true
			n.campaign(Candidate)
		}
	case KindAppendResponse, KindHeartbeatResponse, KindSnapshotResponse:
		if n.role == Leader {
			n.handleFollowerAnswer(m)
		}
	}
}

// maxQueued bounds the messages that wait while the driver cannot save. Further
// ones are lost, as any message may be.
const maxQueued = 4096

// send fills in the sender's fields and queues a message. Term zero means the
// node's own term.
func (n *Node) send(to Member, m Message) {
	if len(n.msgs) >= maxQueued {
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

func (n *Node) answer(to *Message, m Message) {
	n.send(Member{Host: to.From, Disk: to.FromDisk}, m)
}

func (n *Node) adoptFleet(fleet uint64) {
	if n.hard.Fleet == 0 {
		n.hard.Fleet = fleet
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

func (n *Node) voters() int {
	count := 0
	for _, m := range n.members {
		if m.Voter {
			count++
		}
	}
	return count
}

func (n *Node) quorum() int { return n.voters()/2 + 1 }
