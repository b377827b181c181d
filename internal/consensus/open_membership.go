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
// brings the group to the state in which every host that runs is a voter, and every
// voter runs, without an operator. A member is silent when it has not responded for
// replaceAfterTicks, and dispensable when it is silent or about to stop.
//
//   - a joining host becomes a learner, and a voter once it has caught up;
//   - a caught-up learner replaces a former data folder of its own host, or else a
//     dispensable voter if the group has at least minVoters;
//   - of more than minVoters voters a dispensable one is removed;
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

// minVoters is the number of voters below which the group is not shrunk: with fewer, the loss of
// ToleratedLosses data folders may lose a committed entry. A voter that is down keeps its place
// there, since it returns with what it has stored.
func (n *Node) minVoters() int {
	tolerated := n.cfg.ToleratedLosses
	if n.controlHosts > 0 {
		tolerated = min(tolerated, max(DefaultToleratedLosses, (n.controlHosts-1)/2))
	}
	return 2*tolerated + 1
}

// BearsLosses reports whether every committed entry survives the loss of ToleratedLosses data folders:
// the committed members have minVoters voters. A group that has just been formed has fewer until the
// other control hosts have joined.
func (n *Node) BearsLosses() bool { return n.voterCount() >= n.minVoters() && n.changeCommitted() }

// SetControlHosts sets the number of control hosts that the fleet has, zero if it is unknown. The
// settings of a host may name more losses than so many hosts can bear; waiting for voters that the
// fleet does not have would keep those that have left.
func (n *Node) SetControlHosts(count int) { n.controlHosts = count }

// nextOpenPromotion promotes a caught-up learner, after the removal of the voter that
// it replaces. The former data folder of a host is lost once the host has another, but
// a new leader learns only after some time that it does not respond; until then its
// successor waits, since both would count as voters.
func (n *Node) nextOpenPromotion() (Change, bool) {
	for _, m := range n.members {
		if m.Voter || !n.caughtUp(m) {
			continue
		}
		former, exists := n.formerVoter(m.Host)
		switch {
		case exists && n.isActive(former):
			continue
		case exists:
			return Change{Kind: Remove, Member: former}, true
		}
		if voter, ok := n.dispensableVoter(); ok && n.voterCount() >= n.minVoters() {
			return Change{Kind: Remove, Member: voter}, true
		}
		return Change{Kind: Promote, Member: m}, true
	}
	return Change{}, false
}

// formerVoter returns the voter with another data folder of a learner's host, if there is one.
func (n *Node) formerVoter(host string) (Member, bool) {
	for _, m := range n.membersOf(host) {
		if m.Voter {
			return m, true
		}
	}
	return Member{}, false
}

// nextOpenRemoval removes a silent learner, or a dispensable voter of more than
// minVoters.
func (n *Node) nextOpenRemoval() (Change, bool) {
	for _, m := range n.members {
		if !m.Voter && n.ticksSinceResponse(m) >= replaceAfterTicks {
			return Change{Kind: Remove, Member: m}, true
		}
	}
	if voter, ok := n.dispensableVoter(); ok && n.voterCount() > n.minVoters() {
		return Change{Kind: Remove, Member: voter}, true
	}
	return Change{}, false
}

// dispensableVoter returns the voter that has been silent for the longest time, or else
// one that is about to stop and without which the active voters are a quorum.
func (n *Node) dispensableVoter() (Member, bool) {
	if silent, ok := n.longestSilentVoter(); ok {
		return silent, true
	}
	for _, m := range n.members {
		if m.Voter && n.isLeaving(m) && n.activeVotersWithout(m) >= quorumOf(n.voterCount()-1) {
			return m, true
		}
	}
	return Member{}, false
}

func (n *Node) activeVotersWithout(without Member) int {
	count := 0
	for _, m := range n.members {
		if m.Voter && m.Disk != without.Disk && n.isActive(m) {
			count++
		}
	}
	return count
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
