package consensus

import (
	"cmp"
	"slices"
)

// replaceAfterTicks is the time without a response, in ticks, after which a member
// may be replaced: several times the longest election timeout (2 *
// DefaultElectionTicks), so that an election alone removes no member.
const replaceAfterTicks = 100

// NextOpenChange returns the next change of a group with open membership, which
// every control host may join, to be passed to ProposeChange by the leader. It
// keeps the number of live voters high without an operator. A member is silent when
// it has not responded for replaceAfterTicks.
//
//   - a joining host becomes a learner, and a voter once it has caught up;
//   - a caught-up learner replaces a silent voter, preferably a former data folder
//     of its own host;
//   - of an even number of voters a silent one is removed, since the group
//     tolerates as many failures without it;
//   - a silent learner is removed.
func (n *Node) NextOpenChange() (Change, bool) {
	if n.checkLeader() != nil || n.log.commit < n.leaderState.termStartIndex || !n.changeCommitted() {
		return Change{}, false
	}
	if c, ok := n.nextOpenAdmission(); ok {
		return c, true
	}
	if c, ok := n.nextOpenPromotion(); ok {
		return c, true
	}
	return n.nextOpenRemoval()
}

// nextOpenAdmission adds the data folder of a joining host as a learner, unless
// another data folder of the host is still active.
func (n *Node) nextOpenAdmission() (Change, bool) {
	hosts := make([]string, 0, len(n.leaderState.joinRequests))
	for host, j := range n.leaderState.joinRequests {
		if n.ticks-j.tick <= joinRequestLifetime {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	for _, host := range hosts {
		if _, member := n.member(n.leaderState.joinRequests[host].disk); member {
			continue
		}
		if c, ok := n.nextAdmission(DesiredMember{Host: host, Voter: true}, n.membersOf(host), n.leaderState.joinRequests[host].disk); ok {
			return c, true
		}
	}
	return Change{}, false
}

func (n *Node) membersOf(host string) []Member {
	return slices.DeleteFunc(slices.Clone(n.members), func(m Member) bool { return m.Host != host })
}

// nextOpenPromotion promotes a caught-up learner, after the removal of the silent
// voter that it replaces.
func (n *Node) nextOpenPromotion() (Change, bool) {
	for _, m := range n.members {
		if m.Voter || !n.caughtUp(m) {
			continue
		}
		for _, former := range n.membersOf(m.Host) {
			if former.Voter && !n.isActive(former) {
				return Change{Kind: Remove, Member: former}, true
			}
		}
		if silent, ok := n.longestSilentVoter(); ok {
			return Change{Kind: Remove, Member: silent}, true
		}
		return Change{Kind: Promote, Member: m}, true
	}
	return Change{}, false
}

// nextOpenRemoval removes a silent learner, or a silent voter when the number of
// voters is even and more than two.
func (n *Node) nextOpenRemoval() (Change, bool) {
	for _, m := range n.members {
		if !m.Voter && n.ticksSinceResponse(m) >= replaceAfterTicks {
			return Change{Kind: Remove, Member: m}, true
		}
	}
	if silent, ok := n.longestSilentVoter(); ok && n.voterCount()%2 == 0 && n.voterCount() > 2 {
		return Change{Kind: Remove, Member: silent}, true
	}
	return Change{}, false
}

// isActive reports whether the member responded in the present or the previous
// quorum check interval.
func (n *Node) isActive(m Member) bool {
	return m.Disk == n.disk || n.leaderState.progress[m.Disk].recentlyActive()
}

// ticksSinceResponse returns the ticks since the member's last response.
func (n *Node) ticksSinceResponse(m Member) uint64 {
	if m.Disk == n.disk {
		return 0
	}
	return n.ticks - n.leaderState.progress[m.Disk].lastResponse
}

// longestSilentVoter returns the voter with the oldest last response, if that is
// at least replaceAfterTicks ago.
func (n *Node) longestSilentVoter() (Member, bool) {
	var voters []Member
	for _, m := range n.members {
		if m.Voter && n.ticksSinceResponse(m) >= replaceAfterTicks {
			voters = append(voters, m)
		}
	}
	if len(voters) == 0 {
		return Member{}, false
	}
	return slices.MaxFunc(voters, func(a, b Member) int {
		return cmp.Or(cmp.Compare(n.ticksSinceResponse(a), n.ticksSinceResponse(b)), compareMembers(b, a))
	}), true
}

// SetPeers replaces the control hosts that receive join requests while the node
// belongs to no group.
func (n *Node) SetPeers(hosts []string) { n.cfg.Peers = slices.Clone(hosts) }
