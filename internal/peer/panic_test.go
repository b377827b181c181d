package peer

import (
	"context"
	"testing"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/result"
)

// TestPanicFailsOneMessage has handlers panic. It guards against one message that ends a whole
// process, and against an answer that says that such a request was not handled.
func TestPanicFailsOneMessage(t *testing.T) {
	received := make(chan struct{})
	messages := 0
	server := startNode(t, options("server", 1), func(n *Node) {
		OnCall(n, KindStatementProbe, func(context.Context, Identity, struct{}) (struct{}, error) { panic("planted") })
		On(n, KindTransactionEnd, func(Identity, struct{}) {
			if messages++; messages == 1 {
				panic("planted")
			}
			close(received)
		})
	})
	client := startNode(t, options("client", 1), nil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	err := client.Call(ctx, "server", server.Addr(), KindStatementProbe, struct{}{}, nil)
	if err == nil || errors.Is(err, ErrNotSent) || result.CodeOf(err) != 0 {
		t.Errorf("got %v, want an error without a result code", err)
	}
	for range 2 {
		if err := client.Send("server", server.Addr(), KindTransactionEnd, struct{}{}); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case <-received:
	case <-ctx.Done():
		t.Error("the message after the one that panicked was not delivered")
	}
}
