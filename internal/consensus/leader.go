package consensus

import (
	"slices"

	"github.com/galenabridge/galenabridge/internal/result"
)

// leadership is the state of a leader in its term.
type leadership struct {
	progress map[uint64]*progress // by disk identity
	// firstOwn is the index of the leader's first entry in its term.
	firstOwn         uint64
	heartbeatElapsed int
	confirms         confirms
	transfer         uint64 // disk identity that takes over, zero for none
	joiners          map[string]newcomer
}

// progress is what a leader knows of a follower's log.
type progress struct {
	member Member
	match  uint64
	next   uint64
	boots  uint64
	// probing is set until the follower's log is known to match; one append is
	// then sent at a time. waiting is set while that append is unanswered.
	probing  bool
	waiting  bool
	inflight []uint64 // last index of each unanswered append
	snapshot *transfer
	active   bool // answered since the last check of the quorum
	recent   bool // answered in the interval before that
	// heard is set once the follower has answered this leader, which counts it as
	// active before that to give it the time to answer.
	heard bool
	// answered is the tick of the last answer, or of the member's admission.
	answered uint64
	round    uint64
}

func (n *Node) becomeLeader() {
	n.role, n.votes, n.forced = Leader, nil, false
	n.leader = Member{Host: n.cfg.Host, Disk: n.disk}
	n.resetElection()
	n.lead = &leadership{progress: map[uint64]*progress{}, joiners: map[string]newcomer{}, firstOwn: n.log.last() + 1}
	n.followMembers()
	n.appendEntry(Entry{Kind: EntryNoOp})
}

// followMembers gives each member a progress and forgets the others.
func (n *Node) followMembers() {
	old := n.lead.progress
	n.lead.progress = make(map[uint64]*progress, len(n.members))
	for _, m := range n.members {
		p := old[m.Disk]
		if p == nil {
			p = &progress{next: n.log.last() + 1, probing: true, active: true, answered: n.ticks}
		}
		p.member = m
		n.lead.progress[m.Disk] = p
	}
}

// each calls f for every follower in the order of the membership.
func (n *Node) each(f func(p *progress)) {
	for _, m := range n.members {
		if m.Disk != n.disk {
			f(n.lead.progress[m.Disk])
		}
	}
}

func (n *Node) tickLeader() {
	n.lead.heartbeatElapsed++
	if n.electionElapsed >= n.cfg.ElectionTicks {
		n.electionElapsed = 0
		n.lead.transfer = 0
		if !n.checkQuorum() {
			n.becomeFollower(n.hard.Term, Member{})
			return
		}
	}
	if n.lead.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.beginRound()
	}
}

// checkQuorum reports whether a majority of voters answered since the last
// check, and begins a new interval.
func (n *Node) checkQuorum() bool {
	count := 0
	for _, p := range n.lead.progress {
		if p.member.Voter && (p.active || p.member.Disk == n.disk) {
			count++
		}
		p.recent, p.active = p.active, false
	}
	return count >= n.quorum()
}

// Propose appends a command to the log and returns its index. The command is
// accepted once an entry with this index and the current term is committed;
// after a change of leader another entry may take its place.
func (n *Node) Propose(data []byte) (uint64, error) {
	if err := n.checkLeader(); err != nil {
		return 0, err
	}
	n.appendEntry(Entry{Kind: EntryCommand, Data: data})
	return n.log.last(), nil
}

func (n *Node) checkLeader() error {
	switch {
	case n.role != Leader && n.leader.Host != "":
		return result.New(result.NotLeader, "the leader is %s", n.leader.Host)
	case n.role != Leader:
		return result.New(result.NotLeader, "no leader is known")
	case n.lead.transfer != 0:
		return result.New(result.NotLeader, "the leader is handing over")
	}
	return nil
}

func (n *Node) appendEntry(e Entry) {
	e.Index, e.Term = n.log.last()+1, n.hard.Term
	n.log.append(e)
	if e.Kind == EntryMembership {
		n.members = e.Members
		n.followMembers()
	}
	n.broadcast()
}

func (n *Node) broadcast() {
	n.each(func(p *progress) { n.sendAppend(p, false) })
}

// advanceCommit commits what a majority of voters has synced.
func (n *Node) advanceCommit() {
	var matches []uint64
	for _, m := range n.members {
		switch {
		case !m.Voter:
		case m.Disk == n.disk:
			matches = append(matches, n.log.stable)
		default:
			matches = append(matches, n.lead.progress[m.Disk].match)
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-n.quorum()]
	term, known := n.log.term(index)
	if index <= n.log.commit || !known || term != n.hard.Term {
		return
	}
	n.log.commitTo(index)
	n.each(func(p *progress) { n.sendAppend(p, true) })
	n.committed()
}

// committed acts on a leader's commits.
func (n *Node) committed() {
	n.answerConfirms()
	if !n.isVoter() && n.changeCommitted() {
		n.becomeFollower(n.hard.Term, Member{})
	}
}

func (l *leadership) status(self uint64) []FollowerStatus {
	var all []FollowerStatus
	for disk, p := range l.progress {
		if disk != self {
			all = append(all, FollowerStatus{Member: p.member, Match: p.match, Active: p.heard && p.live()})
		}
	}
	slices.SortFunc(all, func(a, b FollowerStatus) int { return compareMembers(a.Member, b.Member) })
	return all
}

// TransferLeadership hands over to a voter on the named host. Proposals are
// refused until it has taken over or an election timeout has passed.
func (n *Node) TransferLeadership(host string) error {
	if err := n.checkLeader(); err != nil {
		return err
	}
	for _, m := range n.members {
		if m.Host != host || !m.Voter || m.Disk == n.disk {
			continue
		}
		n.lead.transfer = m.Disk
		n.electionElapsed = 0
		n.tryTransfer(n.lead.progress[m.Disk])
		return nil
	}
	return result.New(result.NotLeader, "host %s is no other voter", host)
}

func (n *Node) tryTransfer(p *progress) {
	if p.member.Disk != n.lead.transfer {
		return
	}
	if p.match == n.log.last() {
		n.send(p.member, Message{Kind: KindTimeoutNow})
		return
	}
	n.sendAppend(p, false)
}
