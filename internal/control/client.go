package control

import (
	"context"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/peer"
)

// Propose proposes a command through the upstream control host and returns its
// outcome. See Host.Propose.
func (s *Subscriber) Propose(ctx context.Context, c agreed.Command) (agreed.Outcome, error) {
	return retryProposal(ctx, func(ctx context.Context) (agreed.Outcome, error) {
		up := s.currentUpstream.Load()
		return callProposal(ctx, s.opts.Peer, up.Host, up.Addr, c, nil, false)
	})
}

// Status returns the leader's status of the fleet. If the upstream control host
// cannot reach the leader, it is the status of that control host.
func (s *Subscriber) Status(ctx context.Context) (Status, error) {
	up := s.currentUpstream.Load()
	var status Status
	err := s.opts.Peer.Call(ctx, up.Host, up.Addr, peer.KindStatus, statusRequest{}, &status)
	return status, err
}

// Announce forwards an endpoint's announcement to the leader, without
// acknowledgment. The endpoint's next announcement makes up for a lost one.
func (s *Subscriber) Announce(a Announcement) {
	s.sendBestEffort(peer.KindAnnounce, a)
}

// Observe forwards an observation of a watcher to the leader, without
// acknowledgment.
func (s *Subscriber) Observe(o Observation) {
	s.sendBestEffort(peer.KindObservation, o)
}

// sendBestEffort sends soft state to the upstream; a failed send is only logged.
func (s *Subscriber) sendBestEffort(kind peer.Kind, msg any) {
	up := s.currentUpstream.Load()
	if err := s.opts.Peer.Send(up.Host, up.Addr, kind, msg); err != nil {
		s.log.Debug("send_failed", "control", up.Host, "kind", kind, "err", err.Error())
	}
}
