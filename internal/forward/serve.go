package forward

import (
	"context"

	"github.com/galenabridge/galenabridge/internal/core"
	"github.com/galenabridge/galenabridge/internal/peer"
)

// Serve registers the handlers that run statements of other hosts on a server. Call it
// before the node runs.
func Serve(peers *peer.Node, server *core.Server) {
	peer.OnCall(peers, peer.KindStatement, func(_ context.Context, from peer.Identity, r statementRequest) (statementResponse, error) {
		return encodeResponse(server.RunRemote(origin(from), decodeRequest(r))), nil
	})
	peer.OnCall(peers, peer.KindStatementProbe, func(context.Context, peer.Identity, probe) (probeAnswer, error) {
		return probeAnswer{Accepts: server.AcceptsRemote()}, nil
	})
	peer.On(peers, peer.KindTransactionEnd, func(from peer.Identity, end transactionEnd) {
		server.EndRemoteTransaction(origin(from), end.Session)
	})
	peers.OnLost(func(lost peer.Identity) { server.EndRemoteTransactions(origin(lost)) })
}

func origin(from peer.Identity) core.Origin {
	return core.Origin{Host: from.Host, Incarnation: from.Incarnation}
}
