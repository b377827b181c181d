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
	dutyInterval = 250 * time.Millisecond
	// hostGrace is how long a host stays registered after its lease ran out.
	hostGrace = 2 * time.Second
)

// performDuties performs one round of the duties of a confirmed leader.
func (h *Host) performDuties(now time.Time) {
	if !h.confirmed {
		return
	}
	h.nameFleet()
	h.changeMembers()
	h.ageHosts(now)
	h.forgetAnnouncements(now)
	h.settle(now)
	h.noteWait()
}

func (h *Host) nameFleet() {
	if h.state.Fleet == "" {
		h.proposeDuty(agreed.Command{NameFleet: &agreed.NameFleet{Fleet: h.opts.Fleet}})
	}
}

// proposeDuty proposes a command whose outcome shows in the state.
func (h *Host) proposeDuty(c agreed.Command) {
	if _, err := h.proposeNow(c); err != nil {
		h.log.Warn("duty_failed", "err", err.Error())
	}
}

// changeMembers brings the members of the consensus group nearer to the control
// hosts of the settings.
func (h *Host) changeMembers() {
	change, ok := h.nextChange()
	if !ok {
		return
	}
	if _, err := h.node.ProposeChange(change); err != nil {
		h.log.Warn("member_change_failed", "peer", change.Member.Host, "err", err.Error())
		return
	}
	h.log.Info("member_change", "peer", change.Member.Host, "kind", change.Kind)
}

func (h *Host) nextChange() (consensus.Change, bool) {
	if h.opts.OpenMembership {
		return h.node.NextOpenChange()
	}
	wanted := make([]consensus.DesiredMember, 0, len(h.opts.Controls))
	for _, c := range h.opts.Controls {
		wanted = append(wanted, consensus.DesiredMember{Host: c.Host, Voter: c.Voter})
	}
	slices.SortFunc(wanted, func(a, b consensus.DesiredMember) int { return cmp.Compare(a.Host, b.Host) })
	return h.node.NextChange(wanted)
}

// ageHosts removes hosts whose lease ran out some time ago. While a host may
// still hold a lease it stays.
func (h *Host) ageHosts(now time.Time) {
	leased := h.broker.PossibleHolders(now, h.registered)
	for _, host := range h.state.Hosts {
		id := lease.ID{Host: host.ID, Incarnation: host.Incarnation}
		if leased[id] {
			h.lastHeld[id] = now
			continue
		}
		held, known := h.lastHeld[id]
		if !known {
			h.lastHeld[id] = now
			continue
		}
		if now.Sub(held) < hostGrace {
			continue
		}
		h.lastHeld[id] = now
		h.log.Info("host_aged_out", "host", host.ID, "incarnation", host.Incarnation)
		h.proposeDuty(agreed.Command{RemoveHost: &agreed.RemoveHost{ID: host.ID, Incarnation: host.Incarnation}})
	}
	maps.DeleteFunc(h.lastHeld, func(id lease.ID, _ time.Time) bool {
		host, ok := h.state.Hosts[id.Host]
		return !ok || host.Incarnation != id.Incarnation
	})
}
