package control

import (
	"context"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/peer"
)

// Propose proposes a command through the control host that this host follows
// and returns its outcome. See Host.Propose.
func (s *Subscriber) Propose(ctx context.Context, c agreed.Command) (agreed.Outcome, error) {
	return retryProposal(ctx, func(ctx context.Context) (agreed.Outcome, error) {
		up := s.current.Load()
		return callProposal(ctx, s.opts.Peer, up.Host, up.Addr, proposal{Command: c})
	})
}

// Status returns the status of the fleet as the leader sees it, or as far as
// the control host that this host follows knows it.
func (s *Subscriber) Status(ctx context.Context) (Status, error) {
	up := s.current.Load()
	var status Status
	err := s.opts.Peer.Call(ctx, up.Host, up.Addr, peer.KindStatus, statusRequest{}, &status)
	return status, err
}

// Announce passes an announcement of an endpoint on to the leader. It may be
// lost; endpoints announce themselves regularly.
func (s *Subscriber) Announce(a Announcement) {
	s.sendBestEffort(peer.KindAnnounce, a)
}

// Observe passes an observation of a watcher on to the leader. It may be lost.
func (s *Subscriber) Observe(o Observation) {
	s.sendBestEffort(peer.KindObservation, o)
}

func (s *Subscriber) sendBestEffort(kind peer.Kind, msg any) {
	up := s.current.Load()
	if err := s.opts.Peer.Send(up.Host, up.Addr, kind, msg); err != nil {
		s.log.Debug("send_failed", "control", up.Host, "kind", kind, "err", err.Error())
	}
}
