package control

import (
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/consensus"
	"github.com/galenabridge/galenabridge/internal/lease"
	"github.com/galenabridge/galenabridge/internal/peer"
)

// electionConfirm identifies the first confirmation of a new leader. Lease
// rounds have greater numbers.
const electionConfirmID = 1

// roundTimeout is how long a lease round may take before it is repeated.
const roundTimeout = 800 * time.Millisecond

// roundInterval is the time between two lease rounds, unless the next one tells
// of a greater revision. Requests that arrive meanwhile share a round.
const roundInterval = 100 * time.Millisecond

// renewEvent is a request for a lease by a subscriber.
type renewEvent struct {
	from  peer.Identity
	renew lease.Renew
}

func (e renewEvent) handle(h *Host, now time.Time) {
	if e.renew.Relay && !h.leading {
		return // the relay will learn who leads
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

// turnAway tells a subscriber that this host has no state to offer, as after the
// loss of its data folder, so that it need not wait in silence.
func (h *Host) refuseRenew(from peer.Identity) {
	if err := h.opts.Peer.Send(from.Host, from.Addr, peer.KindRenewNo, renewRefusal{}); err != nil {
		h.log.Debug("renew_answer_failed", "peer", from.Host, "err", err.Error())
	}
}

// relayOKEvent is the leader's answer to a request of this host as a relay.
type relayOKEvent struct {
	ok lease.RenewOK
}

func (e relayOKEvent) handle(h *Host, _ time.Time) {
	if h.leading {
		return
	}
	h.finishLeaseRound(e.ok.Seq, e.ok.Revision, e.ok.Settled)
}

// pumpLeases starts a lease round when subscribers wait and none is in flight.
func (h *Host) startLeaseRound(now time.Time) {
	if now.Before(h.nextRound) && !h.broker.Progress() {
		return
	}
	round, ok := h.broker.Begin(now)
	if !ok {
		return
	}
	h.nextRound = now.Add(roundInterval)
	h.roundDeadline = now.Add(roundTimeout)
	if h.leading {
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

// expireRound repeats a round that was not answered in time.
func (h *Host) expireLeaseRound(now time.Time) {
	if !h.roundDeadline.IsZero() && now.After(h.roundDeadline) {
		h.roundDeadline = time.Time{}
		h.broker.Abort()
	}
}

// confirmAll takes the confirmations of a leader's quorum. They follow the
// application of all entries committed before.
func (h *Host) handleConfirmations(now time.Time, rd consensus.Ready) {
	for _, id := range rd.Dropped {
		if !h.failRead(id) {
			h.broker.Abort()
		}
	}
	for _, c := range rd.Confirmed {
		if !h.leading || c.Term != h.term {
			h.failRead(c.ID)
			continue
		}
		h.confirmLeadership(now)
		if c.ID != electionConfirmID && !h.finishRead(c.ID) {
			h.finishLeaseRound(c.ID, h.state.Revision, h.updateSettled(now))
		}
	}
}

// becomeConfirmed lets a leader take up its duties once it knows that it has
// applied everything committed by its predecessors.
func (h *Host) confirmLeadership(now time.Time) {
	if h.confirmed {
		return
	}
	h.confirmed = true
	h.confirmedAt = now
	if h.state.HostsChanged == 0 {
		h.broker.Found()
	}
	if h.opts.EndpointManager != nil {
		h.failover = newFailoverDriver(h)
	}
}

// answerRound answers the requests of a finished round.
func (h *Host) finishLeaseRound(id, revision, settled uint64) {
	for _, a := range h.broker.Finish(id, revision, settled) {
		kind := peer.KindRenewOK
		if a.Relay {
			kind = peer.KindRelayOK
		}
		if err := h.opts.Peer.Send(a.To.Host, "", kind, a.OK); err != nil {
			h.log.Debug("renew_answer_failed", "peer", a.To.Host, "err", err.Error())
		}
	}
}

// settle computes the settled revision on a confirmed leader and returns it.
func (h *Host) updateSettled(now time.Time) uint64 {
	if !h.leading || !h.confirmed {
		return h.broker.Settled()
	}
	before := h.broker.Settled()
	e := lease.Electorate{Holders: h.possibleHolders(), Changed: h.state.HostsChanged}
	settled := h.broker.Settle(now, h.state.Revision, e)
	if settled > before && h.failover != nil {
		h.failover.settled(now, settled)
	}
	return settled
}

// noteWait logs for whom the registration of a process waits, whenever that
// changes. Until it is settled the process serves nothing.
func (h *Host) logRegistrationWait() {
	settled, waits := h.broker.Settled(), ""
	if settled < h.state.HostsChanged {
		id, _ := h.broker.Slowest()
		waits = id.Host
	}
	if waits == h.waitingFor {
		return
	}
	h.waitingFor = waits
	id, revision := h.broker.Slowest()
	h.log.Info("registration_waits", "for", waits, "incarnation", id.Incarnation, "at", revision, "settled", settled,
		"registered", h.state.HostsChanged)
}

// present returns the registered processes that may hold leases. Where a host has
// one process at a time, those of which a newer process was met may not.
func (h *Host) possibleHolders() []lease.ID {
	if !h.opts.Lease.Exclusive {
		return h.registered
	}
	ids := make([]lease.ID, 0, len(h.registered))
	for _, id := range h.registered {
		if h.opts.Peer.Newest(id.Host) <= id.Incarnation {
			ids = append(ids, id)
		}
	}
	return ids
}

// processesOf returns the registered processes of a state.
func registeredProcesses(s *agreed.State) []lease.ID {
	ids := make([]lease.ID, 0, len(s.Hosts))
	for _, host := range s.Hosts {
		ids = append(ids, lease.ID{Host: host.ID, Incarnation: host.Incarnation})
	}
	return ids
}
