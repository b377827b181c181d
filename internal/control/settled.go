package control

import (
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/peer"
)

// settledPush tells the settled revision to a host that may wait for it: a process acts once its
// registration has settled. The answer to its next lease request would tell it as well, 0.1 to
// 0.5 s later while a whole fleet registers.
type settledPush struct {
	Settled uint64 `cbor:"1,keyasint"`
}

// settlesRegistration reports whether a registration settles when the settled revision rises.
func settlesRegistration(state *agreed.State, before, settled uint64) bool {
	if settled == before {
		return false
	}
	for _, host := range state.Hosts {
		if host.Registered > before && host.Registered <= settled {
			return true
		}
	}
	return false
}

// pushSettled sends the settled revision to all subscribers, and from the leader to the other
// control hosts, which pass it on.
func (h *Host) pushSettled(settled uint64) {
	push := settledPush{Settled: settled}
	for id, sub := range h.subscribers {
		h.sendSettled(id.Host, sub.addr, peer.KindSettled, push)
	}
	if !h.leading {
		return
	}
	for id, host := range h.state.Hosts {
		if host.Control && id != h.opts.Peer.Host() {
			h.sendSettled(id, host.PeerAddr, peer.KindRelaySettled, push)
		}
	}
}

func (h *Host) sendSettled(host, addr string, kind peer.Kind, push settledPush) {
	if err := h.opts.Peer.Send(host, addr, kind, push); err != nil {
		h.log.Debug("push_failed", "peer", host, "err", err.Error())
	}
}

// relaySettledEvent is a settled revision that another control host has sent.
type relaySettledEvent struct {
	from    string
	settled uint64
}

func (e relaySettledEvent) handle(h *Host, _ time.Time) {
	if h.leading || e.from != h.knownLeader.Load().leader || e.settled <= h.broker.Settled() {
		return
	}
	h.broker.ObserveSettled(e.settled)
	h.pushSettled(e.settled)
}

// settledEvent is a settled revision that a control host has sent to a subscriber.
type settledEvent struct {
	from    string
	settled uint64
}

func (e settledEvent) handle(s *Subscriber, _ time.Time) {
	if e.from == s.upstream().Host {
		s.holder.ObserveSettled(e.settled)
		s.publish()
	}
}
