package peer

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenabridge/galenabridge/internal/budget"
	"github.com/galenabridge/galenabridge/internal/result"
)

// TestCallerMessagesWithinMemory guards against hosts whose memory other hosts fill with statements
// and answers: without room a request is refused as not run, the call of a reply fails, and the
// connection goes on with messages of the fleet and small ones.
func TestCallerMessagesWithinMemory(t *testing.T) {
	start := func(host string, memory *budget.Budget) *Node {
		n := NewNode(Options{
			Host: host, Fleet: "fleet", Secret: "a secret of the fleet", Incarnation: 1, Listen: "127.0.0.1:0",
			Registry: prometheus.NewRegistry(), Logger: log.New(t.Output()), Memory: memory,
		})
		OnCall(n, KindStatement, func(_ context.Context, _ Identity, answer string) (string, error) {
			return strings.Repeat("x", len(answer)), nil
		})
		OnCall(n, KindDocument, func(_ context.Context, _ Identity, text string) (int, error) { return len(text), nil })
		if err := n.Listen(); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = n.Run(ctx)
		}()
		t.Cleanup(func() { cancel(); <-done })
		return n
	}
	roomy, full := start("roomy", nil), start("full", budget.New(64<<10, nil, nil))
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	small, large := strings.Repeat("y", 1000), strings.Repeat("y", 500<<10)
	for range 3 {
		if err := roomy.Call(ctx, "full", full.Addr(), KindStatement, large, nil); result.CodeOf(err) != result.HostFull {
			t.Fatalf("a large statement: got %v, want HostFull", err)
		}
		var size int
		if err := roomy.Call(ctx, "full", full.Addr(), KindDocument, large, &size); err != nil || size != len(large) {
			t.Fatalf("a large message of the fleet: got %d bytes, %v", size, err)
		}
		if err := full.Call(ctx, "roomy", roomy.Addr(), KindStatement, large, nil); !errors.Is(err, budget.ErrFull) {
			t.Fatalf("a large answer: got %v, want ErrFull", err)
		}
		var answer string
		if err := full.Call(ctx, "roomy", roomy.Addr(), KindStatement, small, &answer); err != nil || len(answer) != len(small) {
			t.Fatalf("a small answer: got %d bytes, %v", len(answer), err)
		}
	}
}
