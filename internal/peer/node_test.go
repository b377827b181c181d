package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	"github.com/galenabridge/galenabridge/internal/result"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 30 * time.Second

type greeting struct {
	Text string `cbor:"1,keyasint"`
}

func options(host string, incarnation uint64) Options {
	return Options{
		Host:        host,
		Fleet:       "fleet",
		Secret:      "a secret of the fleet",
		Incarnation: incarnation,
		Listen:      "127.0.0.1:0",
		Registry:    prometheus.NewRegistry(),
		Logger:      log.New(io.Discard),
	}
}

func startNode(t *testing.T, opts Options, register func(*Node)) *Node {
	t.Helper()
	n, _ := startProcess(t, opts, register)
	return n
}

func echo(n *Node) {
	OnCall(n, KindStatus, func(_ context.Context, from Identity, msg greeting) (greeting, error) {
		if msg.Text == "refuse" {
			return greeting{}, result.New(result.NotLeader, "not here")
		}
		return greeting{Text: from.Host + ":" + msg.Text}, nil
	})
}

func call(t *testing.T, from, to *Node, text string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var answer greeting
	err := from.Call(ctx, to.Host(), to.Addr(), KindStatus, greeting{Text: text}, &answer)
	return answer.Text, err
}

func TestCallBothWays(t *testing.T) {
	a := startNode(t, options("a", 1), echo)
	b := startNode(t, options("b", 1), echo)
	for _, pair := range [][2]*Node{{a, b}, {b, a}, {a, a}} {
		got, err := call(t, pair[0], pair[1], "hello")
		if want := pair[0].Host() + ":hello"; err != nil || got != want {
			t.Fatalf("got %q, %v; want %q", got, err, want)
		}
	}
	if _, err := call(t, a, b, "refuse"); result.CodeOf(err) != result.NotLeader {
		t.Fatalf("got %v, want the error code of the handler", err)
	}
	if got := counterValue(t, a.metrics.messages.WithLabelValues("status", directionOut)); got < 2 {
		t.Errorf("counted %v outgoing messages, want at least 2", got)
	}
}

func TestSendKeepsOrder(t *testing.T) {
	got := make(chan string, 100)
	a := startNode(t, options("a", 1), nil)
	b := startNode(t, options("b", 1), func(n *Node) {
		On(n, KindAnnounce, func(_ Identity, msg greeting) { got <- msg.Text })
	})
	for _, text := range []string{"1", "2", "3"} {
		if err := a.Send("b", b.Addr(), KindAnnounce, greeting{Text: text}); err != nil {
			t.Fatal(err)
		}
	}
	for _, want := range []string{"1", "2", "3"} {
		if text := <-got; text != want {
			t.Fatalf("got %s, want %s", text, want)
		}
	}
}

// TestConnectionOfPeerUsedWhileDialing sends to a peer that accepts connections and does not
// answer the handshake, as a process that has just started, and which then connects itself. The
// messages must go over that connection, not wait for the end of the dial and be dropped.
func TestConnectionOfPeerUsedWhileDialing(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silent.Close() })
	got := make(chan string, 1)
	a := startNode(t, options("a", 1), echo)
	b := startNode(t, options("b", 1), func(n *Node) {
		On(n, KindAnnounce, func(_ Identity, msg greeting) { got <- msg.Text })
	})
	if err := a.Send("b", silent.Addr().String(), KindAnnounce, greeting{Text: "hello"}); err != nil {
		t.Fatal(err)
	}
	dialing, err := silent.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialing.Close() })
	if _, err := call(t, b, a, "here"); err != nil {
		t.Fatal(err)
	}
	select {
	case <-got:
	case <-time.After(testTimeout):
		t.Error("the message was dropped although the peer has connected")
	}
}

func TestHandshakeRefusals(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Options)
		code   result.Code
	}{
		{"foreign fleet", func(o *Options) { o.Fleet = "other" }, result.PeerFleet},
		{"wrong secret", func(o *Options) { o.Secret = "some other secret" }, result.PeerAuth},
		{"old incarnation", func(o *Options) { o.Incarnation = 1 }, result.PeerIncarnation},
		{"no name", func(o *Options) { o.Host = "" }, result.PeerMalformed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := startNode(t, options("b", 1), echo)
			b.ObserveIncarnation("a", 2)
			replaced := make(chan struct{})
			opts := options("a", 2)
			opts.OnReplaced = func() { close(replaced) }
			test.change(&opts)
			a := startNode(t, opts, nil)
			if _, err := call(t, a, b, "hello"); !errors.Is(err, ErrUnreachable) {
				t.Fatalf("got %v, want ErrUnreachable", err)
			}
			refused := counterValue(t, a.metrics.refused.WithLabelValues(codeLabel(test.code))) +
				counterValue(t, b.metrics.refused.WithLabelValues(codeLabel(test.code)))
			if refused == 0 {
				t.Errorf("no refusal with code %d was counted", test.code)
			}
			if test.code == result.PeerIncarnation {
				<-replaced
			}
		})
	}
}

func TestCheckHelloOtherVersion(t *testing.T) {
	n := NewNode(options("a", 1))
	data, err := Marshal(hello{Version: ProtocolVersion + 1, Fleet: "fleet", Host: "b", Nonce: make([]byte, nonceSize)})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := n.checkHello(data); result.CodeOf(err) != result.PeerVersion {
		t.Fatalf("got %v, want PeerVersion", err)
	}
}

func TestNodeNewerProcessReplacesOlder(t *testing.T) {
	b := startNode(t, options("b", 1), echo)
	older := startNode(t, options("a", 1), nil)
	if _, err := call(t, older, b, "hello"); err != nil {
		t.Fatal(err)
	}
	newer := startNode(t, options("a", 2), nil)
	if _, err := call(t, newer, b, "hello"); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(testTimeout)
	for {
		if _, err := call(t, older, b, "hello"); err != nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("calls of the older process still succeed")
		}
	}
}

func TestCallMalformedBodyIsCounted(t *testing.T) {
	b := startNode(t, options("b", 1), echo)
	a := startNode(t, options("a", 1), nil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	err := a.Call(ctx, "b", b.Addr(), KindStatus, []int{1, 2}, nil)
	if result.CodeOf(err) != result.PeerMalformed {
		t.Fatalf("got %v, want PeerMalformed", err)
	}
	if got := counterValue(t, b.metrics.refused.WithLabelValues(codeLabel(result.PeerMalformed))); got != 1 {
		t.Errorf("counted %v malformed messages, want 1", got)
	}
}

func TestQueueFullDropsOldestDroppableMessage(t *testing.T) {
	var dropped []Kind
	q := newQueue(func(k Kind) { dropped = append(dropped, k) })
	for range queueMessages - 1 {
		if err := q.put(outgoing{kind: KindGoodbye}); err != nil {
			t.Fatal(err)
		}
	}
	for _, text := range []string{"first", "second"} {
		if err := q.put(outgoing{kind: KindRenew, data: []byte(text)}); err != nil {
			t.Fatal(err)
		}
	}
	if len(dropped) != 1 || string(q.items[len(q.items)-1].data) != "second" {
		t.Fatalf("dropped %v, want one message; the last in the queue is %q, want \"second\"", dropped, q.items[len(q.items)-1].data)
	}
	q.put(outgoing{kind: KindGoodbye})
	if err := q.put(outgoing{kind: KindGoodbye}); result.CodeOf(err) != result.QueueFull {
		t.Fatalf("got %v, want QueueFull", err)
	}
}

func FuzzDecodeEnvelope(f *testing.F) {
	good, err := Marshal(envelope{Kind: KindRenew, ID: 7, Reply: true, Body: []byte{0xa0}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte(strings.Repeat("\x81", 100)))
	f.Add([]byte{0xa1, 0x01, 0x19, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := decodeEnvelope(data)
		if err != nil {
			return
		}
		again, err := Marshal(e)
		if err != nil {
			t.Fatalf("encode the decoded envelope: %v", err)
		}
		if _, err := decodeEnvelope(again); err != nil {
			t.Fatalf("decode the encoded envelope: %v", err)
		}
	})
}

// value returns the value of a counter.
func counterValue(t *testing.T, c prometheus.Counter) float64 {
	t.Helper()
	reg := prometheus.NewRegistry()
	reg.MustRegister(c)
	families, err := reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	return families[0].Metric[0].Counter.GetValue()
}
