package consensus

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"
)

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// Kinds of membership changes. One change concerns one member, so any majority
// before it shares a voter with any majority after it.
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

// Wanted names a control host that the settings list.
type DesiredMember struct {
	Host  string
	Voter bool
}

// catchUpEntries is how many entries a learner may lack when it is promoted.
const catchUpEntries = 16

// joinerTicks is how long a request to join is remembered.
const joinerTicks = 100

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
	if n.log.commit < n.lead.firstOwn || !n.changeCommitted() {
		return 0, errors.New("consensus: a membership change is in progress")
	}
	members, err := n.changed(c)
	if err != nil {
		return 0, err
	}
	n.appendEntry(Entry{Kind: EntryMembership, Members: members})
	return n.log.last(), nil
}

// changed returns the membership after a change.
func (n *Node) changed(c Change) ([]Member, error) {
	members := slices.Clone(n.members)
	at := slices.IndexFunc(members, func(m Member) bool { return m.Disk == c.Member.Disk })
	switch {
	case c.Kind == AddLearner && at < 0 && c.Member.Disk != 0 && c.Member.Host != "":
		members = append(members, Member{Host: c.Member.Host, Disk: c.Member.Disk})
		slices.SortFunc(members, compareMembers)
	case c.Kind == Promote && at >= 0 && !members[at].Voter:
		if !n.caughtUp(members[at]) {
			return nil, errors.Errorf("consensus: %s has not caught up", members[at].Host)
		}
		members[at].Voter = true
	case c.Kind == Remove && at >= 0:
		if members[at].Voter && n.voters() == 1 {
			return nil, errors.New("consensus: the last voter cannot be removed")
		}
		members = slices.Delete(members, at, at+1)
	default:
		return nil, errors.Errorf("consensus: change %d does not fit member %s/%x", c.Kind, c.Member.Host, c.Member.Disk)
	}
	return members, nil
}

func (n *Node) caughtUp(m Member) bool {
	p := n.lead.progress[m.Disk]
	return p != nil && p.live() && !p.probing && p.match+catchUpEntries >= n.log.last()
}

func (p *progress) live() bool { return p.active || p.recent }

// NextChange returns the next change that brings the group nearer to the
// wanted control hosts, to be passed to ProposeChange by the leader. It lets
// joining hosts in as learners, promotes learners that have caught up, and
// replaces the data folder of a host that returned with another one. It
// removes no host: that is for operators to order.
func (n *Node) NextChange(wanted []DesiredMember) (Change, bool) {
	if n.checkLeader() != nil || n.log.commit < n.lead.firstOwn || !n.changeCommitted() {
		return Change{}, false
	}
	for _, w := range wanted {
		if c, ok := n.nextChangeOf(w); ok {
			return c, true
		}
	}
	return Change{}, false
}

func (n *Node) nextChangeOf(w DesiredMember) (Change, bool) {
	var current []Member
	for _, m := range n.members {
		if m.Host == w.Host {
			current = append(current, m)
		}
	}
	joiner, joins := n.lead.joiners[w.Host]
	fresh := joins && n.ticks-joiner.tick <= joinerTicks
	if fresh && !slices.ContainsFunc(current, func(m Member) bool { return m.Disk == joiner.disk }) {
		return n.admit(w, current, joiner.disk)
	}
	return n.promote(w, current)
}

// admit lets a new data folder of a host in, after older learners of the host.
func (n *Node) admit(w DesiredMember, current []Member, disk uint64) (Change, bool) {
	for _, m := range current {
		switch {
		case m.Disk == n.disk || n.lead.progress[m.Disk].live():
			return Change{}, false
		case !m.Voter:
			return Change{Kind: Remove, Member: m}, true
		}
	}
	return Change{Kind: AddLearner, Member: Member{Host: w.Host, Disk: disk}}, true
}

// promote makes the caught-up learner of a wanted voter a voter, once the dead
// voter that it replaces is removed.
func (n *Node) promote(w DesiredMember, current []Member) (Change, bool) {
	learner := slices.IndexFunc(current, func(m Member) bool { return !m.Voter })
	if !w.Voter || learner < 0 || !n.caughtUp(current[learner]) {
		return Change{}, false
	}
	for _, m := range current {
		if m.Voter && (m.Disk == n.disk || n.lead.progress[m.Disk].live()) {
			return Change{}, false
		}
		if m.Voter {
			return Change{Kind: Remove, Member: m}, true
		}
	}
	return Change{Kind: Promote, Member: current[learner]}, true
}
