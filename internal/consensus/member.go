package consensus

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"
)

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// Kinds of membership changes. Each changes one member, so any majority of the
// voters before the change shares a voter with any majority after it.
const (
	AddLearner ChangeKind = iota + 1
	Promote
	Remove
)

// Change is a change of the membership by one member.
type Change struct {
	Kind   ChangeKind
	Member Member
}

// DesiredMember is a control host of the configuration.
type DesiredMember struct {
	Host  string
	Voter bool
}

// maxPromotionLag is the number of entries that a learner may lack when it is
// promoted.
const maxPromotionLag = 16

// joinRequestLifetime is the time for which a join request is valid, in ticks.
const joinRequestLifetime = 100

func compareMembers(a, b Member) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Disk, b.Disk))
}

// changeCommitted reports whether the latest membership change is committed.
func (n *Node) changeCommitted() bool {
	for i := len(n.log.entries) - 1; i >= 0; i-- {
		e := &n.log.entries[i]
		if e.Index <= n.log.commit {
			return true
		}
		if e.Kind == EntryMembership {
			return false
		}
	}
	return true
}

// ProposeChange appends a membership change and returns its index. It fails
// while an earlier change, or the first entry of the leader's term, is not
// committed.
func (n *Node) ProposeChange(c Change) (uint64, error) {
	if err := n.checkLeader(); err != nil {
		return 0, err
	}
	if n.log.commit < n.leaderState.termStartIndex || !n.changeCommitted() {
		return 0, errors.New("consensus: the previous membership change or the first entry of the term is not committed")
	}
	members, err := n.applyChange(c)
	if err != nil {
		return 0, err
	}
	n.appendEntry(Entry{Kind: EntryMembership, Members: members})
	return n.log.last(), nil
}

// applyChange returns the membership after a change.
func (n *Node) applyChange(c Change) ([]Member, error) {
	members := slices.Clone(n.members)
	index := slices.IndexFunc(members, func(m Member) bool { return m.Disk == c.Member.Disk })
	switch {
	case c.Kind == AddLearner && index < 0 && c.Member.Disk != 0 && c.Member.Host != "":
		members = append(members, Member{Host: c.Member.Host, Disk: c.Member.Disk})
		slices.SortFunc(members, compareMembers)
	case c.Kind == Promote && index >= 0 && !members[index].Voter:
		if !n.caughtUp(members[index]) {
			return nil, errors.Errorf("consensus: %s has not caught up", members[index].Host)
		}
		members[index].Voter = true
	case c.Kind == Remove && index >= 0:
		if members[index].Voter && n.voterCount() == 1 {
			return nil, errors.New("consensus: the last voter cannot be removed")
		}
		members = slices.Delete(members, index, index+1)
	default:
		return nil, errors.Errorf("consensus: change of kind %d is invalid for member %s/%x", c.Kind, c.Member.Host, c.Member.Disk)
	}
	return members, nil
}

// caughtUp reports whether the member is active, its log is known to match, and
// it lacks at most maxPromotionLag entries.
func (n *Node) caughtUp(m Member) bool {
	p := n.leaderState.progress[m.Disk]
	return p != nil && p.recentlyActive() && !p.probing && p.match+maxPromotionLag >= n.log.last()
}

// recentlyActive reports whether the follower responded in the present or the
// previous quorum check interval.
func (p *progress) recentlyActive() bool { return p.active || p.wasActive }

// NextChange returns the next change that brings the membership closer to the
// desired one, to be passed to ProposeChange by the leader. It adds joining hosts
// as learners, promotes learners that have caught up, and replaces the data
// folder of a host that returned with another one. It never removes a host; that
// is left to operators.
func (n *Node) NextChange(desired []DesiredMember) (Change, bool) {
	if n.checkLeader() != nil || n.log.commit < n.leaderState.termStartIndex || !n.changeCommitted() {
		return Change{}, false
	}
	for _, want := range desired {
		if c, ok := n.nextChangeForHost(want); ok {
			return c, true
		}
	}
	return Change{}, false
}

func (n *Node) nextChangeForHost(want DesiredMember) (Change, bool) {
	var current []Member
	for _, m := range n.members {
		if m.Host == want.Host {
			current = append(current, m)
		}
	}
	request, ok := n.leaderState.joinRequests[want.Host]
	valid := ok && n.ticks-request.tick <= joinRequestLifetime
	if valid && !slices.ContainsFunc(current, func(m Member) bool { return m.Disk == request.disk }) {
		return n.nextAdmission(want, current, request.disk)
	}
	return n.nextHostPromotion(want, current)
}

// nextAdmission adds a new data folder of a host as a learner. A former learner
// of the host is removed first; while a former member of it responds, there is no
// change.
func (n *Node) nextAdmission(want DesiredMember, current []Member, disk uint64) (Change, bool) {
	for _, m := range current {
		switch {
		case m.Disk == n.disk || n.leaderState.progress[m.Disk].recentlyActive():
			return Change{}, false
		case !m.Voter:
			return Change{Kind: Remove, Member: m}, true
		}
	}
	return Change{Kind: AddLearner, Member: Member{Host: want.Host, Disk: disk}}, true
}

// nextHostPromotion promotes the learner of a desired voter once it has caught
// up. The inactive voter of the same host that it replaces is removed first.
func (n *Node) nextHostPromotion(want DesiredMember, current []Member) (Change, bool) {
	learner := slices.IndexFunc(current, func(m Member) bool { return !m.Voter })
	if !want.Voter || learner < 0 || !n.caughtUp(current[learner]) {
		return Change{}, false
	}
	for _, m := range current {
		if m.Voter && (m.Disk == n.disk || n.leaderState.progress[m.Disk].recentlyActive()) {
			return Change{}, false
		}
		if m.Voter {
			return Change{Kind: Remove, Member: m}, true
		}
	}
	return Change{Kind: Promote, Member: current[learner]}, true
}
