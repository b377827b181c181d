package consensus

import "slices"

// joinRequestInterval is the interval of join requests, in ticks.
const joinRequestInterval = 5

// bootstrapState is the state of a node that belongs to no group.
type bootstrapState struct {
	readyPeers map[string]joinRequest // other hosts without a group, by host
	// fleetAt is the tick at which the node learned the identity of its group, zero if it knew it from its
	// data folder.
	fleetAt uint64
	// groupExists is set once a peer has responded that it belongs to a group.
	groupExists bool
	// leader is the leader of that group, empty when unknown. Only the leader
	// can add the node, and it need not be among the configured peers.
	leader string
}

// joinRequest is the last join request of a host: its disk identity, the tick of its arrival, and
// whether it came from an initial voter at its first start.
type joinRequest struct {
	disk    uint64
	tick    uint64
	initial bool
}

// formingPatience is the time in ticks that the initial voters have to form the group together. Then each
// of them in turn, with as long for the next, may form it of a majority of them.
const formingPatience = 100

func newBootstrapState() bootstrapState {
	return bootstrapState{readyPeers: map[string]joinRequest{}}
}

// isOutsideGroup reports whether the node may be unknown to the group, since it has
// no live leader. Its log may list it in an entry that was never committed, or lack
// the one that removed it: a voter that was replaced while it was down knows neither
// its successor nor a leader that joined meanwhile. A voter waits longer than any
// election timeout, so that an election alone makes none ask to join.
func (n *Node) isOutsideGroup() bool {
	if n.isVoter() {
		return n.leaderIsSilent()
	}
	return len(n.members) == 0 || n.electionElapsed >= n.electionTimeout
}

// tickOutsideGroup sends join requests to the other control hosts. The initial
// voter with the lowest host name forms a group once every other initial voter has
// reported that it belongs to none. If one of them is lost before that, another one forms it after
// formingPatience, of those that remain at their first start (Config.FormWithoutLost).
//
// Two groups may be formed, if hosts do not hear each other. The quorum of each is a majority of the initial
// voters, a data folder belongs to one group only, and a host that has lost its own is not at its first
// start any more, so that at most one group has a quorum. The members of the other one leave it
// (leavesFormedGroup).
func (n *Node) tickOutsideGroup() {
	if n.ticks%joinRequestInterval == 0 {
		n.sendJoinRequests()
	}
	if n.awaitsLostFounder() {
		n.requireRejoin()
		return
	}
	if n.hard.Fleet != 0 || n.bootstrap.groupExists || len(n.cfg.InitialVoters) == 0 {
		return
	}
	if slices.Min(n.cfg.InitialVoters) == n.cfg.Host && n.initialVotersReady() {
		n.bootstrapGroup(n.cfg.InitialVoters)
		return
	}
	if !n.cfg.FormWithoutLost || n.ticks < n.formingTurn() {
		return
	}
	if remaining := n.remainingInitialVoters(); quorumOf(len(remaining)) == quorumOf(len(n.cfg.InitialVoters)) {
		n.bootstrapGroup(remaining)
	}
}

// leavesFormedGroup reports whether the node should leave its group for another one that has committed
// entries: nothing was committed in its own, as far as it knows, and no leader of it is heard. The quorum of
// the other group proves that nothing was, and that nothing ever can be.
func (n *Node) leavesFormedGroup() bool {
	return n.cfg.FormWithoutLost && n.log.commit == formedIndex && n.role != Leader && n.leaderIsSilent()
}

// awaitsLostFounder reports whether this initial voter belongs to a group that will not come to be: it has
// voted in one whose members it never learned, as if the host that formed it was lost right then, or has
// heard no leader of one that it formed or joined, for longer than others wait for it. It has stored no entry
// of that group, and does not vote in it again with another data folder.
func (n *Node) awaitsLostFounder() bool {
	if !n.cfg.FormWithoutLost || len(n.cfg.InitialVoters) == 0 || n.hard.Fleet == 0 || n.role == Leader || n.log.last() > formedIndex {
		return false
	}
	patience := uint64(formingPatience)
	if len(n.members) > 0 {
		patience *= 4
	}
	return n.ticks-max(n.bootstrap.fleetAt, n.leaderContact) >= patience
}

// formedIndex is the index of the empty snapshot with which a group is formed.
const formedIndex = 1

// formingTurn returns the tick from which this initial voter may form the group without the others.
func (n *Node) formingTurn() uint64 {
	voters := slices.Sorted(slices.Values(n.cfg.InitialVoters))
	return formingPatience * uint64(1+slices.Index(voters, n.cfg.Host))
}

// remainingInitialVoters returns this host and the other initial voters that have lately reported that
// they belong to no group and are at their first start.
func (n *Node) remainingInitialVoters() []string {
	return slices.DeleteFunc(slices.Clone(n.cfg.InitialVoters), func(host string) bool {
		request, ok := n.bootstrap.readyPeers[host]
		return host != n.cfg.Host && (!ok || !request.initial || n.ticks-request.tick > 2*joinRequestInterval)
	})
}

func (n *Node) sendJoinRequests() {
	initial := len(n.members) == 0 && slices.Contains(n.cfg.InitialVoters, n.cfg.Host)
	for _, host := range n.Contacts() {
		n.send(Member{Host: host}, Message{Kind: KindJoinRequest, Initial: initial})
	}
}

// Contacts returns the other control hosts that the node knows: those of its settings, the members
// and the last known leader. A node that starts anew after Ready.Rejoin needs them as peers, since
// the hosts of its settings may all have been replaced.
func (n *Node) Contacts() []string {
	hosts := append(slices.Clone(n.cfg.Peers), n.cfg.InitialVoters...)
	for _, m := range n.members {
		hosts = append(hosts, m.Host)
	}
	hosts = append(hosts, n.bootstrap.leader, n.leader.Host)
	slices.Sort(hosts)
	return slices.DeleteFunc(slices.Compact(hosts), func(h string) bool { return h == "" || h == n.cfg.Host })
}

// initialVotersReady reports whether every other initial voter has sent a join
// request within two request intervals.
func (n *Node) initialVotersReady() bool {
	for _, host := range n.cfg.InitialVoters {
		request, ok := n.bootstrap.readyPeers[host]
		if host != n.cfg.Host && (!ok || n.ticks-request.tick > 2*joinRequestInterval) {
			return false
		}
	}
	return true
}

// bootstrapGroup forms a group of this host and other initial voters. Its log starts after an
// empty snapshot at index 1, and this node starts a pre-vote at once.
func (n *Node) bootstrapGroup(voters []string) {
	members := []Member{{Host: n.cfg.Host, Disk: n.disk, Voter: true}}
	for _, host := range voters {
		if host != n.cfg.Host {
			members = append(members, Member{Host: host, Disk: n.bootstrap.readyPeers[host].disk, Voter: true})
		}
	}
	slices.SortFunc(members, compareMembers)
	n.hard, n.bootstrap.fleetAt = HardState{Term: 1, Commit: formedIndex, Fleet: n.cfg.Rand.Uint64() | 1}, n.ticks
	n.log.restore(Snapshot{Index: formedIndex, Term: 1, Members: slices.Compact(members)})
	n.members = n.log.snap.Members
	n.electionElapsed = n.electionTimeout
}

// handleJoinRequest handles a join request. A node without a group records the
// sender as ready; one with a group responds with its leader, and the leader also
// passes the request of a non-member on to its driver. The request of a former
// voter with its data folder is like any other: it has forgotten nothing, and is a
// learner until it has caught up.
func (n *Node) handleJoinRequest(m *Message) {
	if len(n.members) == 0 {
		if m.Fleet == 0 {
			n.bootstrap.readyPeers[m.From] = joinRequest{disk: m.FromDisk, tick: n.ticks, initial: m.Initial}
		}
		return
	}
	foreign := m.Fleet != 0 && m.Fleet != n.hard.Fleet
	if foreign && n.log.commit <= formedIndex {
		return
	}
	n.respond(m, Message{Kind: KindJoinResponse, Leader: n.liveLeader()})
	if foreign {
		return // it has to leave its group first
	}
	if _, member := n.member(m.FromDisk); n.role != Leader || member {
		return
	}
	n.leaderState.joinRequests[m.From] = joinRequest{disk: m.FromDisk, tick: n.ticks}
	n.joinRequests = append(n.joinRequests, Member{Host: m.From, Disk: m.FromDisk})
}

// liveLeader returns the host of the leader, empty if none was heard for the longest election
// timeout. A host outside the group may remember a leader that is gone.
func (n *Node) liveLeader() string {
	if n.leaderIsSilent() {
		return ""
	}
	return n.leader.Host
}

// leaderIsSilent reports whether no leader was heard for the longest election timeout.
func (n *Node) leaderIsSilent() bool {
	return n.role != Leader && n.ticks-n.leaderContact >= uint64(2*n.cfg.ElectionTicks)
}

// handleJoinResponse records the leader that a peer knows. A peer that knows none may be outside
// the group itself, and does not replace what another one has reported.
func (n *Node) handleJoinResponse(m *Message) {
	if m.ToDisk != n.disk {
		return
	}
	if n.hard.Fleet != 0 && m.Fleet != 0 && m.Fleet != n.hard.Fleet {
		if m.Leader != "" && n.leavesFormedGroup() {
			n.requireRejoin()
		}
		return
	}
	n.bootstrap.groupExists = true
	if m.Leader != "" {
		n.bootstrap.leader = m.Leader
	}
}
