package entry

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/peer"
	"github.com/galenabridge/galenabridge/internal/pgfront"
	"github.com/galenabridge/galenabridge/internal/view"
)

// gatherRequest requests the positions of a service.
type gatherRequest struct {
	Service string `cbor:"1,keyasint"`
}

// cancelMessage is a caller's cancel request.
type cancelMessage struct {
	ProcessID uint32 `cbor:"1,keyasint"`
	Secret    []byte `cbor:"2,keyasint"`
}

// HostNumber returns the number of a host in cancel keys. Two hosts may share a number;
// cancel requests are then forwarded to both.
func HostNumber(host string) uint32 {
	return uint32(xxhash.Sum64String(host) % MaxHostNumbers)
}

// PeerLink calls the other entry hosts. It implements Peers and CancelForwarder.
type PeerLink struct {
	node *peer.Node
	view view.Source
}

// NewPeerLink returns a link that uses the host's node.
func NewPeerLink(node *peer.Node, src view.Source) *PeerLink {
	return &PeerLink{node: node, view: src}
}

// Gather implements Peers.
func (l *PeerLink) Gather(ctx context.Context, host, service string) (PositionTable, error) {
	var answer PositionTable
	state := l.view.Current().State
	if state == nil {
		return answer, errors.New("no agreed state")
	}
	addr := state.Hosts[host].PeerAddr
	err := l.node.Call(ctx, host, addr, peer.KindGather, gatherRequest{Service: service}, &answer)
	return answer, err
}

// Forward implements CancelForwarder.
func (l *PeerLink) Forward(ctx context.Context, number uint32, c pgfront.CancelKey) error {
	state := l.view.Current().State
	if state == nil {
		return errors.New("no agreed state")
	}
	msg := cancelMessage{ProcessID: c.ProcessID, Secret: c.Secret}
	for id, host := range state.Hosts {
		if !host.Entry || id == l.node.Host() || HostNumber(id) != number {
			continue
		}
		if err := l.node.Call(ctx, id, host.PeerAddr, peer.KindCancel, msg, nil); err != nil {
			return errors.Wrapf(err, "host %s", id)
		}
	}
	return nil
}

// ServePeers registers the handlers for calls of other entry hosts. It must be called
// before the node runs.
func (s *Server) ServePeers(node *peer.Node) {
	peer.OnCall(node, peer.KindGather, func(ctx context.Context, _ peer.Identity, msg gatherRequest) (PositionTable, error) {
		answer := PositionTable{Incarnation: node.Incarnation()}
		if s.sharedPositions == nil {
			return answer, errors.New("this host does not track positions")
		}
		table, err := s.sharedPositions.Snapshot(ctx, msg.Service)
		answer.Table = table
		return answer, err
	})
	peer.OnCall(node, peer.KindCancel, func(_ context.Context, _ peer.Identity, msg cancelMessage) (struct{}, error) {
		s.Cancel(pgfront.CancelKey{ProcessID: msg.ProcessID, Secret: msg.Secret})
		return struct{}{}, nil
	})
}
