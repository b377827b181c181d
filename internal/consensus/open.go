package consensus

import (
	"cmp"
	"slices"
)

// replaceTicks is how long a member must be silent before it may lose its place
// to a newcomer: several times the longest election timeout (2 *
// DefaultElectionTicks), so that an election alone costs nobody the place.
const replaceTicks = 100

// NextOpenChange returns the next change of a group that takes in every control
// host that asks, to be passed to ProposeChange by the leader. It keeps the
// number of live voters high without an operator:
//
//   - a newcomer becomes a learner, and a voter once it has caught up;
//   - a caught-up newcomer takes the place of a silent voter, first of a former
//     data folder of its own host;
//   - of an even number of voters a silent one is removed, since the group bears
//     as many losses without it;
//   - a silent learner is removed.
func (n *Node) NextOpenChange() (Change, bool) {
	if n.checkLeader() != nil || n.log.commit < n.lead.firstOwn || !n.changeCommitted() {
		return Change{}, false
	}
	if c, ok := n.nextJoin(); ok {
		return c, true
	}
	if c, ok := n.nextPromotion(); ok {
		return c, true
	}
	return n.nextRemoval()
}

// nextJoin lets the data folder of a joining host in as a learner, unless
// another one of the host is still heard.
func (n *Node) nextJoin() (Change, bool) {
	hosts := make([]string, 0, len(n.lead.joiners))
	for host, j := range n.lead.joiners {
		if n.ticks-j.tick <= joinerTicks {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	for _, host := range hosts {
		if _, member := n.member(n.lead.joiners[host].disk); member {
			continue
		}
		if c, ok := n.admit(DesiredMember{Host: host, Voter: true}, n.membersOf(host), n.lead.joiners[host].disk); ok {
			return c, true
		}
	}
	return Change{}, false
}

func (n *Node) membersOf(host string) []Member {
	return slices.DeleteFunc(slices.Clone(n.members), func(m Member) bool { return m.Host != host })
}

// nextPromotion makes a caught-up learner a voter, after the silent voter whose
// place it takes was removed.
func (n *Node) nextPromotion() (Change, bool) {
	for _, m := range n.members {
		if m.Voter || !n.caughtUp(m) {
			continue
		}
		for _, former := range n.membersOf(m.Host) {
			if former.Voter && !n.heardOf(former) {
				return Change{Kind: Remove, Member: former}, true
			}
		}
		if silent, ok := n.longestSilent(); ok {
			return Change{Kind: Remove, Member: silent}, true
		}
		return Change{Kind: Promote, Member: m}, true
	}
	return Change{}, false
}

// nextRemoval removes a silent learner, or a silent voter of an even number.
func (n *Node) nextRemoval() (Change, bool) {
	for _, m := range n.members {
		if !m.Voter && n.silence(m) >= replaceTicks {
			return Change{Kind: Remove, Member: m}, true
		}
	}
	if silent, ok := n.longestSilent(); ok && n.voters()%2 == 0 && n.voters() > 2 {
		return Change{Kind: Remove, Member: silent}, true
	}
	return Change{}, false
}

// heardOf reports whether the member answered within an election timeout.
func (n *Node) heardOf(m Member) bool {
	return m.Disk == n.disk || n.lead.progress[m.Disk].live()
}

// silence returns the ticks since the member last answered.
func (n *Node) silence(m Member) uint64 {
	if m.Disk == n.disk {
		return 0
	}
	return n.ticks - n.lead.progress[m.Disk].answered
}

// longestSilent returns the voter that has been silent for longest, if one has
// been for replaceTicks.
func (n *Node) longestSilent() (Member, bool) {
	var voters []Member
	for _, m := range n.members {
		if m.Voter && n.silence(m) >= replaceTicks {
			voters = append(voters, m)
		}
	}
	if len(voters) == 0 {
		return Member{}, false
	}
	return slices.MaxFunc(voters, func(a, b Member) int {
		return cmp.Or(cmp.Compare(n.silence(a), n.silence(b)), compareMembers(b, a))
	}), true
}

// SetPeers replaces the control hosts that are asked while the node belongs to
// no group.
func (n *Node) SetPeers(hosts []string) { n.cfg.Peers = slices.Clone(hosts) }
