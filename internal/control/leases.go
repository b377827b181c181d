package control

import (
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/consensus"
	"github.com/galenabridge/galenabridge/internal/lease"
	"github.com/galenabridge/galenabridge/internal/peer"
)

// electionConfirmID identifies the first confirmation of a new leader. Lease
// rounds and reads have greater numbers.
const electionConfirmID = 1

// roundTimeout is how long a lease round may take before its requests are moved to
// another round.
const roundTimeout = 800 * time.Millisecond

// roundInterval is the minimum time between two lease rounds, unless the next one
// reports a greater applied revision. Requests that arrive meanwhile share a round.
const roundInterval = 100 * time.Millisecond

// renewEvent is a lease request of a subscriber, or of a control host as a relay.
type renewEvent struct {
	from  peer.Identity
	renew lease.Renew
}

func (e renewEvent) handle(h *Host, now time.Time) {
	if e.renew.Relay && !h.leading {
		return // the relay learns the leader from consensus and repeats the request
	}
	id := lease.ID{Host: e.from.Host, Incarnation: e.from.Incarnation}
	h.broker.Receive(now, id, e.renew)
	switch {
	case e.renew.Release:
		delete(h.subscribers, id)
	case h.state.Revision == 0 && !h.leading:
		h.refuseRenew(e.from)
	case !e.renew.Relay:
		h.updateSubscriber(now, id, e.from.Addr, e.renew.Applied)
	}
	h.updateSettled(now)
}

// refuseRenew notifies a subscriber that this host has no state, for example after
// the loss of its data folder, so that it switches to another control host at once
// instead of after a timeout.
func (h *Host) refuseRenew(from peer.Identity) {
	if err := h.opts.Peer.SendTo(from, peer.KindRenewNo, renewRefusal{}); err != nil {
		h.log.Debug("renew_answer_failed", "peer", from.Host, "err", err.Error())
	}
}

// relayOKEvent is the leader's answer to a lease request of this host as a relay.
type relayOKEvent struct {
	ok lease.RenewOK
}

func (e relayOKEvent) handle(h *Host, _ time.Time) {
	if h.leading {
		return
	}
	h.finishLeaseRound(e.ok.Seq, e.ok.Revision, e.ok.Settled)
}

// startLeaseRound starts a lease round if requests wait and none is in flight. The
// leader confirms its quorum; a relay sends a request to the leader.
func (h *Host) startLeaseRound(now time.Time) {
	if now.Before(h.nextRound) && !h.broker.HasProgress() {
		return
	}
	round, ok := h.broker.BeginRound(now)
	if !ok {
		return
	}
	h.nextRound = now.Add(roundInterval)
	h.roundDeadline = now.Add(roundTimeout)
	if h.leading {
		h.confirming = confirmation{round.ID, now}
		if err := h.node.ConfirmQuorum(round.ID); err != nil {
			h.log.Debug("confirm_failed", "err", err.Error())
		}
		return
	}
	leader := h.node.Status().Leader
	if leader == "" {
		return
	}
	request := lease.Renew{Seq: round.ID, Applied: round.Applied, Relay: true, Holders: round.Holders, Base: round.Base}
	if err := h.opts.Peer.Send(leader, h.addr(leader), peer.KindRenew, request); err != nil {
		h.log.Debug("renew_failed", "leader", leader, "err", err.Error())
	}
}

// expireLeaseRound ends a round that was not answered in time. Its requests wait
// for the next round.
func (h *Host) expireLeaseRound(now time.Time) {
	if !h.roundDeadline.IsZero() && now.After(h.roundDeadline) {
		h.roundDeadline = time.Time{}
		h.broker.AbortRound()
	}
}

// handleConfirmations handles the confirmations by the leader's quorum. All entries
// committed before a confirmation have been applied by then.
func (h *Host) handleConfirmations(now time.Time, rd consensus.Ready) {
	for _, id := range rd.FailedConfirms {
		if !h.failRead(id) {
			h.broker.AbortRound()
		}
	}
	for _, c := range rd.Confirmed {
		if !h.leading || c.Term != h.term {
			h.failRead(c.ID)
			continue
		}
		h.recordQuorum(c.ID)
		h.confirmLeadership(now)
		if c.ID != electionConfirmID && !h.finishRead(c.ID) {
			h.finishLeaseRound(c.ID, h.state.Revision, h.updateSettled(now))
		}
	}
}

// confirmLeadership starts the leader's tasks after the first confirmation in its
// term: from then on everything committed by former leaders is applied.
func (h *Host) confirmLeadership(now time.Time) {
	if h.confirmed {
		return
	}
	h.confirmed = true
	h.confirmedAt = now
	if h.state.HostsChanged == 0 {
		h.broker.AssumeNoLeases()
	}
	if h.opts.EndpointManager != nil {
		h.failover = newFailoverDriver(h)
	}
	h.usage = newUsageDriver(h, now)
}

// confirmation is a request to a quorum to confirm this leader.
type confirmation struct {
	id    uint64
	begun time.Time
}

// recordQuorum records that a quorum has confirmed this leader after the confirmation was
// requested: no other one was elected before that time.
func (h *Host) recordQuorum(id uint64) {
	if id == h.confirming.id {
		h.quorumAt = h.confirming.begun
	}
}

// finishLeaseRound answers the requests of a confirmed round.
func (h *Host) finishLeaseRound(id, revision, settled uint64) {
	for _, a := range h.broker.FinishRound(id, revision, settled) {
		kind := peer.KindRenewOK
		if a.Relay {
			kind = peer.KindRelayOK
		}
		if err := h.opts.Peer.SendTo(peer.Identity{Host: a.To.Host, Incarnation: a.To.Incarnation}, kind, a.OK); err != nil {
			h.log.Debug("renew_answer_failed", "peer", a.To.Host, "err", err.Error())
		}
	}
}

// updateSettled returns the settled revision, the greatest one known to be applied
// by every holder of a lease. Only a confirmed leader recomputes it.
func (h *Host) updateSettled(now time.Time) uint64 {
	if !h.leading || !h.confirmed {
		return h.broker.Settled()
	}
	before := h.broker.Settled()
	registrations := lease.Registrations{Holders: h.possibleHolders(), Changed: h.state.HostsChanged}
	settled := h.broker.Settle(now, h.state.Revision, registrations)
	if settled > before && h.failover != nil {
		h.failover.settled(now, settled)
	}
	if settlesRegistration(h.state, before, settled) {
		h.pushSettled(settled)
	}
	return settled
}

// logRegistrationWait logs which host delays the settling of a registration,
// whenever that changes. A process cannot act until its registration is settled.
func (h *Host) logRegistrationWait() {
	settled, waitingFor := h.broker.Settled(), ""
	if settled < h.state.HostsChanged {
		id, _ := h.broker.Slowest()
		waitingFor = id.Host
	}
	if waitingFor == h.waitingFor {
		return
	}
	h.waitingFor = waitingFor
	id, revision := h.broker.Slowest()
	h.log.Info("registration_waits", "for", waitingFor, "incarnation", id.Incarnation, "at", revision, "settled", settled,
		"registered", h.state.HostsChanged)
}

// possibleHolders returns the registered processes that may hold leases. With
// exclusive identities a host has one process at a time, so a process may not hold
// one after a newer process of its host was seen.
func (h *Host) possibleHolders() []lease.ID {
	if !h.opts.Lease.ExclusiveIdentity {
		return h.registered
	}
	ids := make([]lease.ID, 0, len(h.registered))
	for _, id := range h.registered {
		if h.opts.Peer.NewestIncarnation(id.Host) <= id.Incarnation {
			ids = append(ids, id)
		}
	}
	return ids
}

// registeredProcesses returns the registered processes of a state.
func registeredProcesses(s *agreed.State) []lease.ID {
	ids := make([]lease.ID, 0, len(s.Hosts))
	for _, host := range s.Hosts {
		ids = append(ids, lease.ID{Host: host.ID, Incarnation: host.Incarnation})
	}
	return ids
}
