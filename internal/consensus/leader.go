package consensus

import (
	"slices"

	"github.com/galenabridge/galenabridge/internal/result"
)

// leaderState is the state of a leader in its term.
type leaderState struct {
	progress map[uint64]*progress // by disk identity
	// termStartIndex is the index of the leader's first entry in its term.
	termStartIndex   uint64
	heartbeatElapsed int
	confirmQueue     confirmQueue
	transferTarget   uint64 // disk identity that takes over, zero for none
	joinRequests     map[string]joinRequest
}

// progress is the leader's view of a follower. match is the last index known to
// match the leader's log, next the index of the next entry to send; match < next.
type progress struct {
	member Member
	match  uint64
	next   uint64
	boots  uint64
	// probing is set until the follower's log is known to match; one append is
	// then sent at a time. appendPending is set while it is unacknowledged.
	probing       bool
	appendPending bool
	inflight      []uint64 // last index of each unacknowledged append
	snapshot      *snapshotTransfer
	active        bool // responded since the last quorum check
	wasActive     bool // responded in the interval before that
	// responded is set once the follower has responded to this leader. Before
	// that the leader counts it as active, to give it time to respond.
	responded bool
	// lastResponse is the tick of the last response, or that at which the leader
	// began to track the member.
	lastResponse uint64
	ackedRound   uint64
	// leaving is the tick at which the process announced that it is about to stop, zero if it has
	// not. leavingBoots is its start count.
	leaving      uint64
	leavingBoots uint64
}

func (n *Node) becomeLeader() {
	n.role, n.votes, n.transferElection = Leader, nil, false
	n.leader = Member{Host: n.cfg.Host, Disk: n.disk}
	n.resetElectionTimer()
	n.leaderState = &leaderState{progress: map[uint64]*progress{}, joinRequests: map[string]joinRequest{}, termStartIndex: n.log.last() + 1}
	n.syncProgress()
	n.appendEntry(Entry{Kind: EntryNoOp})
}

// syncProgress creates the progress of new members and discards that of removed
// ones.
func (n *Node) syncProgress() {
	old := n.leaderState.progress
	n.leaderState.progress = make(map[uint64]*progress, len(n.members))
	for _, m := range n.members {
		p := old[m.Disk]
		if p == nil {
			p = &progress{next: n.log.last() + 1, probing: true, active: true, lastResponse: n.ticks}
		}
		p.member = m
		n.leaderState.progress[m.Disk] = p
	}
}

// forEachFollower calls f for every follower in the order of the membership.
func (n *Node) forEachFollower(f func(p *progress)) {
	for _, m := range n.members {
		if m.Disk != n.disk {
			f(n.leaderState.progress[m.Disk])
		}
	}
}

func (n *Node) tickLeader() {
	n.leaderState.heartbeatElapsed++
	if n.electionElapsed >= n.cfg.ElectionTicks {
		n.electionElapsed = 0
		n.leaderState.transferTarget = 0
		if !n.checkQuorum() {
			n.becomeFollower(n.hard.Term, Member{})
			return
		}
	}
	if n.leaderState.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.beginHeartbeatRound()
	}
}

// checkQuorum reports whether a majority of voters responded since the last
// check, and begins a new interval.
func (n *Node) checkQuorum() bool {
	count := 0
	for _, p := range n.leaderState.progress {
		if p.member.Voter && (p.active || p.member.Disk == n.disk) {
			count++
		}
		p.wasActive, p.active = p.active, false
	}
	return count >= n.quorum()
}

// Propose appends a command to the log and returns its index. The command is
// committed once an entry with this index and the current term is committed;
// after a change of leader another entry may take its index.
func (n *Node) Propose(data []byte) (uint64, error) {
	if err := n.checkLeader(); err != nil {
		return 0, err
	}
	n.appendEntry(Entry{Kind: EntryCommand, Data: data})
	return n.log.last(), nil
}

// checkLeader returns a NotLeader error unless this node leads and no leadership
// transfer is in progress.
func (n *Node) checkLeader() error {
	switch {
	case n.role != Leader && n.leader.Host != "":
		return result.New(result.NotLeader, "the leader is %s", n.leader.Host)
	case n.role != Leader:
		return result.New(result.NotLeader, "no leader is known")
	case n.leaderState.transferTarget != 0:
		return result.New(result.NotLeader, "the leader is transferring its leadership")
	}
	return nil
}

func (n *Node) appendEntry(e Entry) {
	e.Index, e.Term = n.log.last()+1, n.hard.Term
	n.log.append(e)
	if e.Kind == EntryMembership {
		n.members = e.Members
		n.syncProgress()
	}
	n.broadcast()
}

func (n *Node) broadcast() {
	n.forEachFollower(func(p *progress) { n.sendAppend(p, false) })
}

// advanceCommit commits the entries that a majority of voters has synced. Only an
// entry of the leader's own term is committed by counting replicas; entries of
// earlier terms are committed with it.
func (n *Node) advanceCommit() {
	var matches []uint64
	for _, m := range n.members {
		switch {
		case !m.Voter:
		case m.Disk == n.disk:
			matches = append(matches, n.log.stable)
		default:
			matches = append(matches, n.leaderState.progress[m.Disk].match)
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-n.quorum()]
	term, known := n.log.term(index)
	if index <= n.log.commit || !known || term != n.hard.Term {
		return
	}
	n.log.commitTo(index)
	n.forEachFollower(func(p *progress) { n.sendAppend(p, true) })
	n.afterCommit()
}

// afterCommit completes ConfirmQuorum calls, and steps down once the removal of this
// node from the voters is committed.
func (n *Node) afterCommit() {
	n.completeConfirms()
	if !n.isVoter() && n.changeCommitted() {
		n.handOver()
		n.becomeFollower(n.hard.Term, Member{})
	}
}

// handOver requests a voter with a complete log to start an election, so that the others do not wait
// for an election timeout.
func (n *Node) handOver() {
	for _, m := range n.members {
		p := n.leaderState.progress[m.Disk]
		if m.Voter && p.recentlyActive() && p.leaving == 0 && p.match == n.log.last() {
			n.send(m, Message{Kind: KindTimeoutNow})
			return
		}
	}
}

func (l *leaderState) status(self uint64) []FollowerStatus {
	var all []FollowerStatus
	for disk, p := range l.progress {
		if disk != self {
			all = append(all, FollowerStatus{Member: p.member, Match: p.match, Active: p.responded && p.recentlyActive()})
		}
	}
	slices.SortFunc(all, func(a, b FollowerStatus) int { return compareMembers(a.Member, b.Member) })
	return all
}

// TransferLeadership transfers the leadership to a voter on the given host.
// Proposals are rejected until the transfer is complete or an election timeout
// has passed.
func (n *Node) TransferLeadership(host string) error {
	if err := n.checkLeader(); err != nil {
		return err
	}
	for _, m := range n.members {
		if m.Host != host || !m.Voter || m.Disk == n.disk {
			continue
		}
		n.leaderState.transferTarget = m.Disk
		n.electionElapsed = 0
		n.continueTransfer(n.leaderState.progress[m.Disk])
		return nil
	}
	return result.New(result.NotLeader, "host %s is not another voter of the group", host)
}

// continueTransfer requests the transfer target to start an election once its log
// is complete. Until then it sends the missing entries.
func (n *Node) continueTransfer(p *progress) {
	if p.member.Disk != n.leaderState.transferTarget {
		return
	}
	if p.match == n.log.last() {
		n.send(p.member, Message{Kind: KindTimeoutNow})
		return
	}
	n.sendAppend(p, false)
}
