package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/consensus"
)

// leaderTaskInterval is the interval of the leader's periodic tasks.
const leaderTaskInterval = 250 * time.Millisecond

// runLeaderTasks runs the periodic tasks of a confirmed leader once.
func (h *Host) runLeaderTasks(now time.Time) {
	if !h.confirmed {
		return
	}
	h.proposeFleetName()
	h.changeMembers()
	h.releaseHosts(now)
	h.expireAnnouncements(now)
	h.updateSettled(now)
}

// proposeFleetName records the configured fleet name in a state that has none.
func (h *Host) proposeFleetName() {
	if h.state.Fleet == "" {
		h.proposeNoReply(agreed.Command{NameFleet: &agreed.NameFleet{Fleet: h.opts.Fleet}})
	}
}

// proposeNoReply proposes a command without waiting for its outcome. The periodic
// tasks propose again as long as the state does not show the effect.
func (h *Host) proposeNoReply(c agreed.Command) {
	if _, err := h.appendCommand(c); err != nil {
		h.log.Warn("duty_failed", "err", err.Error())
	}
}

// changeMembers proposes the next single change that brings the members of the
// consensus group closer to the configured control hosts.
func (h *Host) changeMembers() {
	change, ok := h.nextMemberChange()
	if !ok {
		return
	}
	if _, err := h.node.ProposeChange(change); err != nil {
		h.log.Warn("member_change_failed", "peer", change.Member.Host, "err", err.Error())
		return
	}
	h.log.Info("member_change", "peer", change.Member.Host, "kind", change.Kind, "voters", h.node.Voters())
}

// nextMemberChange returns the next change of the members, if one is due. With open
// membership the consensus node determines it, otherwise the configured control hosts.
func (h *Host) nextMemberChange() (consensus.Change, bool) {
	if h.opts.OpenMembership {
		return h.node.NextOpenChange()
	}
	desired := make([]consensus.DesiredMember, 0, len(h.opts.Controls))
	for _, c := range h.opts.Controls {
		desired = append(desired, consensus.DesiredMember{Host: c.Host, Voter: c.Voter})
	}
	slices.SortFunc(desired, func(a, b consensus.DesiredMember) int { return cmp.Compare(a.Host, b.Host) })
	return h.node.NextChange(desired)
}

// releaseHosts proposes to mark entry hosts as absent whose lease has ended, and to remove
// hosts whose lease ended long ago.
func (h *Host) releaseHosts(now time.Time) {
	absent, removed := h.hostWatch.look(now, h.state, h.broker.PossibleHolders(now, h.registered))
	if len(absent) > 0 {
		h.log.Info("hosts_absent", "hosts", slices.Sorted(maps.Keys(absent)))
		h.proposeNoReply(agreed.Command{MarkAbsent: &agreed.MarkAbsent{Processes: absent}})
	}
	for _, host := range removed {
		h.log.Info("host_aged_out", "host", host.ID, "incarnation", host.Incarnation)
		h.proposeNoReply(agreed.Command{RemoveHost: &agreed.RemoveHost{ID: host.ID, Incarnation: host.Incarnation}})
	}
}
