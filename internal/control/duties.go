package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/consensus"
	"github.com/galenabridge/galenabridge/internal/lease"
)

// Timing of the leader's duties.
const (
	leaderTaskInterval = 250 * time.Millisecond
	// hostGrace is how long a host stays registered after its lease ran out.
	hostRemovalDelay = 2 * time.Second
)

// performDuties performs one round of the duties of a confirmed leader.
func (h *Host) runLeaderTasks(now time.Time) {
	if !h.confirmed {
		return
	}
	h.proposeFleetName()
	h.changeMembers()
	h.removeExpiredHosts(now)
	h.expireAnnouncements(now)
	h.updateSettled(now)
	h.logRegistrationWait()
}

func (h *Host) proposeFleetName() {
	if h.state.Fleet == "" {
		h.proposeNoReply(agreed.Command{NameFleet: &agreed.NameFleet{Fleet: h.opts.Fleet}})
	}
}

// proposeDuty proposes a command whose outcome shows in the state.
func (h *Host) proposeNoReply(c agreed.Command) {
	if _, err := h.appendCommand(c); err != nil {
		h.log.Warn("duty_failed", "err", err.Error())
	}
}

// changeMembers brings the members of the consensus group nearer to the control
// hosts of the settings.
func (h *Host) changeMembers() {
	change, ok := h.nextMemberChange()
	if !ok {
		return
	}
	if _, err := h.node.ProposeChange(change); err != nil {
		h.log.Warn("member_change_failed", "peer", change.Member.Host, "err", err.Error())
		return
	}
	h.log.Info("member_change", "peer", change.Member.Host, "kind", change.Kind)
}

func (h *Host) nextMemberChange() (consensus.Change, bool) {
	if h.opts.OpenMembership {
		return h.node.NextOpenChange()
	}
	wanted := make([]consensus.Wanted, 0, len(h.opts.Controls))
	for _, c := range h.opts.Controls {
		wanted = append(wanted, consensus.Wanted{Host: c.Host, Voter: c.Voter})
	}
	slices.SortFunc(wanted, func(a, b consensus.Wanted) int { return cmp.Compare(a.Host, b.Host) })
	return h.node.NextChange(wanted)
}

// ageHosts removes hosts whose lease ran out some time ago. While a host may
// still hold a lease it stays.
func (h *Host) removeExpiredHosts(now time.Time) {
	leased := h.broker.Held(now, h.registered)
	for _, host := range h.state.Hosts {
		id := lease.ID{Host: host.ID, Incarnation: host.Incarnation}
		if leased[id] {
			h.lastLeased[id] = now
			continue
		}
		held, known := h.lastLeased[id]
		if !known {
			h.lastLeased[id] = now
			continue
		}
		if now.Sub(held) < hostRemovalDelay {
			continue
		}
		h.lastLeased[id] = now
		h.log.Info("host_aged_out", "host", host.ID, "incarnation", host.Incarnation)
		h.proposeNoReply(agreed.Command{RemoveHost: &agreed.RemoveHost{ID: host.ID, Incarnation: host.Incarnation}})
	}
	maps.DeleteFunc(h.lastLeased, func(id lease.ID, _ time.Time) bool {
		host, ok := h.state.Hosts[id.Host]
		return !ok || host.Incarnation != id.Incarnation
	})
}
