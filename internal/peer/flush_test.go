package peer

import (
	"context"
	"testing"
	"time"
)

// TestFlushAwaitsReplies guards against a process that ends between the end of a caller's request
// and the sending of its reply.
func TestFlushAwaitsReplies(t *testing.T) {
	received, proceed := make(chan struct{}), make(chan struct{})
	b := startNode(t, options("b", 1), func(n *Node) {
		OnCall(n, KindStatement, func(context.Context, Identity, greeting) (greeting, error) {
			close(received)
			<-proceed
			return greeting{Text: "ran"}, nil
		})
	})
	a := startNode(t, options("a", 1), nil)
	got := make(chan string, 1)
	go func() {
		var answer greeting
		_ = a.Call(context.Background(), "b", b.Addr(), KindStatement, greeting{}, &answer)
		got <- answer.Text
	}()
	<-received
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if err := b.Flush(ctx); err == nil {
		t.Error("flushed while a request is being handled")
	}
	close(proceed)
	if err := b.Flush(context.Background()); err != nil {
		t.Fatal(err)
	}
	if sent := counterValue(t, b.metrics.messages.WithLabelValues("statement", directionOut)); sent != 1 {
		t.Errorf("%v replies are sent after Flush, want 1", sent)
	}
	if text := <-got; text != "ran" {
		t.Errorf("got the reply %q", text)
	}
}
