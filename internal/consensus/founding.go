package consensus

import "slices"

// helloTicks is the interval of requests to be let into a group.
const helloTicks = 5

// founding is the state of a node that belongs to no group.
type founding struct {
	heard map[string]newcomer // other founders without a group, by host
	// welcomed is set once a peer has answered that a group exists.
	welcomed bool
	// leader is the leader of that group, empty when not told. Only it can let
	// the node in, and it need not be among the peers.
	leader string
}

// newcomer is a node without a group, and when it was last heard.
type newcomer struct {
	disk uint64
	tick uint64
}

func newFounding() founding {
	return founding{heard: map[string]newcomer{}}
}

// isOutside reports whether the node may be unknown to the group: it does not
// vote and hears no leader. Its log may name it nonetheless, by an entry that
// was never committed.
func (n *Node) isOutside() bool {
	return !n.isVoter() && (len(n.members) == 0 || n.electionElapsed >= n.electionTimeout)
}

// tickOutside asks the other control hosts for a group. The founder with the
// least name founds one once every founder has said that it knows none. Should
// a founder lose its disk meanwhile and found another group, the disk
// identities of the others can take part in one of the two only, so at most
// one has a quorum.
func (n *Node) tickOutside() {
	if n.ticks%helloTicks == 0 {
		n.sendHellos()
	}
	if n.hard.Fleet != 0 || n.founding.welcomed || len(n.cfg.InitialVoters) == 0 {
		return
	}
	if slices.Min(n.cfg.InitialVoters) == n.cfg.Host && n.foundersReady() {
		n.found()
	}
}

func (n *Node) sendHellos() {
	hosts := append(slices.Clone(n.cfg.Peers), n.cfg.InitialVoters...)
	if n.founding.leader != "" {
		hosts = append(hosts, n.founding.leader)
	}
	for _, m := range n.members {
		hosts = append(hosts, m.Host)
	}
	slices.Sort(hosts)
	for _, host := range slices.Compact(hosts) {
		if host != n.cfg.Host {
			n.send(Member{Host: host}, Message{Kind: KindJoinRequest})
		}
	}
}

func (n *Node) foundersReady() bool {
	for _, host := range n.cfg.InitialVoters {
		f, heard := n.founding.heard[host]
		if host != n.cfg.Host && (!heard || n.ticks-f.tick > 2*helloTicks) {
			return false
		}
	}
	return true
}

// found begins a group whose log starts after an empty snapshot.
func (n *Node) found() {
	members := []Member{{Host: n.cfg.Host, Disk: n.disk, Voter: true}}
	for _, host := range n.cfg.InitialVoters {
		if host != n.cfg.Host {
			members = append(members, Member{Host: host, Disk: n.founding.heard[host].disk, Voter: true})
		}
	}
	slices.SortFunc(members, compareMembers)
	n.hard = HardState{Term: 1, Commit: 1, Fleet: n.cfg.Rand.Uint64() | 1}
	n.log.restore(Snapshot{Index: 1, Term: 1, Members: slices.Compact(members)})
	n.members = n.log.snap.Members
	n.electionElapsed = n.electionTimeout
}

func (n *Node) handleHello(m *Message) {
	if len(n.members) == 0 {
		if m.Fleet == 0 {
			n.founding.heard[m.From] = newcomer{disk: m.FromDisk, tick: n.ticks}
		}
		return
	}
	n.answer(m, Message{Kind: KindJoinResponse, Leader: n.leader.Host})
	if _, member := n.member(m.FromDisk); n.role != Leader || member {
		return
	}
	n.lead.joiners[m.From] = newcomer{disk: m.FromDisk, tick: n.ticks}
	n.joining = append(n.joining, Member{Host: m.From, Disk: m.FromDisk})
}

func (n *Node) handleWelcome(m *Message) {
	if m.ToDisk == n.disk {
		n.founding.welcomed = true
		n.founding.leader = m.Leader
	}
}
