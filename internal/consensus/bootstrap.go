package consensus

import "slices"

// joinRequestInterval is the interval of join requests, in ticks.
const joinRequestInterval = 5

// bootstrapState is the state of a node that belongs to no group.
type bootstrapState struct {
	readyPeers map[string]joinRequest // other hosts without a group, by host
	// groupExists is set once a peer has responded that it belongs to a group.
	groupExists bool
	// leader is the leader of that group, empty when unknown. Only the leader
	// can add the node, and it need not be among the configured peers.
	leader string
}

// joinRequest is the last join request of a host: its disk identity and the tick
// of its arrival.
type joinRequest struct {
	disk uint64
	tick uint64
}

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
// reported that it belongs to none. If that host loses its disk and forms a second
// group, each of the other data folders can belong to only one of the two, so at
// most one has a quorum.
func (n *Node) tickOutsideGroup() {
	if n.ticks%joinRequestInterval == 0 {
		n.sendJoinRequests()
	}
	if n.hard.Fleet != 0 || n.bootstrap.groupExists || len(n.cfg.InitialVoters) == 0 {
		return
	}
	if slices.Min(n.cfg.InitialVoters) == n.cfg.Host && n.initialVotersReady() {
		n.bootstrapGroup()
	}
}

func (n *Node) sendJoinRequests() {
	for _, host := range n.Contacts() {
		n.send(Member{Host: host}, Message{Kind: KindJoinRequest})
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

// bootstrapGroup forms a group of the initial voters. Its log starts after an
// empty snapshot at index 1, and this node starts a pre-vote at once.
func (n *Node) bootstrapGroup() {
	members := []Member{{Host: n.cfg.Host, Disk: n.disk, Voter: true}}
	for _, host := range n.cfg.InitialVoters {
		if host != n.cfg.Host {
			members = append(members, Member{Host: host, Disk: n.bootstrap.readyPeers[host].disk, Voter: true})
		}
	}
	slices.SortFunc(members, compareMembers)
	n.hard = HardState{Term: 1, Commit: 1, Fleet: n.cfg.Rand.Uint64() | 1}
	n.log.restore(Snapshot{Index: 1, Term: 1, Members: slices.Compact(members)})
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
			n.bootstrap.readyPeers[m.From] = joinRequest{disk: m.FromDisk, tick: n.ticks}
		}
		return
	}
	n.respond(m, Message{Kind: KindJoinResponse, Leader: n.liveLeader()})
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
	n.bootstrap.groupExists = true
	if m.Leader != "" {
		n.bootstrap.leader = m.Leader
	}
}
