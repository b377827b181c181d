package peer

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"
)

// startProcess starts a process of a host that can be stopped before the test ends.
func startProcess(t *testing.T, opts Options, register func(*Node)) (n *Node, stop func()) {
	t.Helper()
	n = NewNode(opts)
	if register != nil {
		register(n)
	}
	if err := n.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		<-done
	})
	t.Cleanup(stop)
	return n, stop
}

// TestReplyNotDeliveredToNextProcess guards against a reply to a request of a former process of
// a host that is taken for the reply to a request of the next one, with the same call ID.
func TestReplyNotDeliveredToNextProcess(t *testing.T) {
	received, answer := make(chan string, 4), make(chan struct{})
	b := startNode(t, options("b", 1), func(n *Node) {
		OnCall(n, KindStatus, func(_ context.Context, from Identity, msg greeting) (greeting, error) {
			received <- msg.Text
			if from.Incarnation == 1 {
				<-answer
			} else {
				close(answer)
				// The reply to the former process is sent before this one.
				for counterValue(t, n.metrics.misdirected.WithLabelValues("status"))+counterValue(t, n.metrics.messages.WithLabelValues("status", directionOut)) == 0 {
					time.Sleep(time.Millisecond)
				}
			}
			return greeting{Text: "answer to " + msg.Text}, nil
		})
	})
	former, stop := startProcess(t, options("a", 1), nil)
	go func() { _, _ = call(t, former, b, "former") }()
	if text := <-received; text != "former" {
		t.Fatalf("received %q", text)
	}
	stop()
	next := startNode(t, options("a", 2), nil)
	got, err := call(t, next, b, "next")
	if err != nil || got != "answer to next" {
		t.Errorf("the next process got %q, %v; want the answer to its own request", got, err)
	}
}

// TestMessageForFormerProcessDropped guards against a one-way answer that reaches the next process
// of the host that asked.
func TestMessageForFormerProcessDropped(t *testing.T) {
	got := make(chan string, 4)
	register := func(n *Node) { On(n, KindQuotaOK, func(_ Identity, msg greeting) { got <- msg.Text }) }
	b := startNode(t, options("b", 1), echo)
	former, stop := startProcess(t, options("a", 1), register)
	if _, err := call(t, former, b, "hello"); err != nil {
		t.Fatal(err)
	}
	stop()
	next := startNode(t, options("a", 2), register)
	if _, err := call(t, next, b, "hello"); err != nil {
		t.Fatal(err)
	}
	for _, to := range []uint64{1, 2} {
		text := map[uint64]string{1: "former", 2: "next"}[to]
		if err := b.SendTo(Identity{Host: "a", Incarnation: to, Addr: next.Addr()}, KindQuotaOK, greeting{Text: text}); err != nil {
			t.Fatal(err)
		}
	}
	if text := <-got; text != "next" {
		t.Errorf("the next process got the message %q", text)
	}
}

// TestCallFailsWhenPeerIsReplaced guards against a call that waits for a process that has been
// replaced, while connections to the next process of the host keep the host reachable.
func TestCallFailsWhenPeerIsReplaced(t *testing.T) {
	received := make(chan struct{}, 1)
	a := startNode(t, options("a", 1), echo)
	former := startNode(t, options("b", 1), func(n *Node) {
		OnCall(n, KindStatus, func(ctx context.Context, _ Identity, _ greeting) (greeting, error) {
			received <- struct{}{}
			<-ctx.Done()
			return greeting{}, ctx.Err()
		})
	})
	failed := make(chan error, 1)
	go func() {
		_, err := call(t, a, former, "hello")
		failed <- err
	}()
	<-received
	next := startNode(t, options("b", 2), nil)
	if _, err := call(t, next, a, "hello"); err != nil {
		t.Fatal(err)
	}
	if err := <-failed; !errors.Is(err, ErrUnreachable) || errors.Is(err, ErrNotSent) {
		t.Errorf("got %v, want ErrUnreachable for a request that was sent", err)
	}
}

// TestLossOfFormerProcessReported guards against a former process whose loss is not reported
// because the next process of its host is connected already.
func TestLossOfFormerProcessReported(t *testing.T) {
	lost := make(chan Identity, 2)
	a := startNode(t, options("a", 1), func(n *Node) {
		echo(n)
		n.OnLost(func(p Identity) { lost <- p })
	})
	for _, incarnation := range []uint64{1, 2} {
		if _, err := call(t, startNode(t, options("b", incarnation), nil), a, "hello"); err != nil {
			t.Fatal(err)
		}
	}
	if p := <-lost; p.Host != "b" || p.Incarnation != 1 {
		t.Errorf("lost %+v, want process 1 of host b", p)
	}
}

// TestForeignReplyIgnored guards against a reply that is taken for the one to a request of another
// kind, or to a request that was written to another process.
func TestForeignReplyIgnored(t *testing.T) {
	n := startNode(t, options("a", 1), nil)
	id, call := n.startCall("b", KindStatus)
	own := Identity{Host: "b", Incarnation: 3}
	n.finishCall(own, envelope{Kind: KindStatus, ID: id, Reply: true})
	if !n.markSent(id, own.Incarnation) {
		t.Fatal("the call ended before its request was sent")
	}
	n.finishCall(own, envelope{Kind: KindDocument, ID: id, Reply: true})
	n.finishCall(Identity{Host: "b", Incarnation: 2}, envelope{Kind: KindStatus, ID: id, Reply: true})
	n.finishCall(Identity{Host: "c", Incarnation: 3}, envelope{Kind: KindStatus, ID: id, Reply: true})
	select {
	case out := <-call.outcome:
		t.Fatalf("a foreign reply ended the call: %+v", out)
	default:
	}
	n.finishCall(own, envelope{Kind: KindStatus, ID: id, Reply: true})
	if out := <-call.outcome; out.err != nil {
		t.Errorf("got %v, want the reply", out.err)
	}
}
