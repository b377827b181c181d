package control

import (
	"context"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/consensus"
	"github.com/galenabridge/galenabridge/internal/lease"
	"github.com/galenabridge/galenabridge/internal/peer"
	"github.com/galenabridge/galenabridge/internal/result"
)

// registerHandlers routes messages of the peer node to the goroutine of the Host.
func (h *Host) registerHandlers() {
	n := h.opts.Peer
	peer.On(n, peer.KindConsensus, func(from peer.Identity, m consensus.Message) {
		h.post(consensusEvent{from: from.Host, message: m})
	})
	peer.On(n, peer.KindRenew, func(from peer.Identity, r lease.Renew) {
		h.post(renewEvent{from: from, renew: r})
	})
	peer.On(n, peer.KindRelayOK, func(_ peer.Identity, ok lease.RenewOK) {
		h.post(relayOKEvent{ok: ok})
	})
	peer.On(n, peer.KindRelaySettled, func(from peer.Identity, p settledPush) {
		h.post(relaySettledEvent{from: from.Host, settled: p.Settled})
	})
	peer.On(n, peer.KindAnnounce, func(_ peer.Identity, a Announcement) {
		h.post(announceEvent{announcement: a})
	})
	peer.On(n, peer.KindObservation, func(_ peer.Identity, o Observation) {
		h.post(observationEvent{observation: o})
	})
	peer.OnCall(n, peer.KindProposal, h.serveProposal)
	peer.OnCall(n, peer.KindStatus, h.serveStatus)
	peer.OnCall(n, peer.KindGoodbye, h.serveGoodbye)
	peer.OnCall(n, peer.KindDocument, h.serveDocument)
}

// goodbyeEvent ends the lease and the subscription of a process that leaves.
type goodbyeEvent struct {
	id lease.ID
}

func (e goodbyeEvent) handle(h *Host, now time.Time) {
	h.broker.Release(e.id)
	delete(h.subscribers, e.id)
	h.updateSettled(now)
}

// serveGoodbye removes the host of a process that leaves. A host can remove only
// its own process.
func (h *Host) serveGoodbye(ctx context.Context, from peer.Identity, g goodbye) (agreed.Outcome, error) {
	if g.Host != from.Host || g.Incarnation != from.Incarnation {
		return agreed.Outcome{}, result.New(result.PeerMalformed, "a host can announce only its own departure")
	}
	h.post(goodbyeEvent{id: lease.ID{Host: g.Host, Incarnation: g.Incarnation}})
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	return h.Propose(ctx, agreed.Command{RemoveHost: &agreed.RemoveHost{ID: g.Host, Incarnation: g.Incarnation}})
}
