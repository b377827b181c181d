package eventlog

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
)

// stuck is an output that nobody reads.
type stuck struct{ block chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.block
	return len(p), nil
}

// buffer is a bytes.Buffer for several tasks.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func TestAStuckOutputHoldsNobodyUp(t *testing.T) {
	s := stuck{block: make(chan struct{})}
	w := New(s)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { w.Run(ctx); close(done) }()
	written := make(chan struct{})
	go func() {
		defer close(written)
		for i := range 10 * queueLines {
			_, _ = fmt.Fprintf(w, "level=info msg=event_%d n=1\n", i%maxEvents)
		}
	}()
	select {
	case <-written:
	case <-time.After(time.Minute):
		t.Fatal("a task that logs waits for the output")
	}
	close(s.block)
	cancel()
	<-done
}

func TestAFloodLeavesRoomForOtherEvents(t *testing.T) {
	out := &buffer{}
	w := New(out)
	logger := log.NewWithOptions(w, log.Options{Formatter: log.LogfmtFormatter})
	for range 20 * eventBurst {
		logger.Warn("statement_refused", "request", "r")
	}
	logger.Info("lease_lost", "revision", 7)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w.Run(ctx)
	text := out.String()
	if !strings.Contains(text, "msg=lease_lost revision=7") {
		t.Error("a change of belief was left out")
	}
	if n := strings.Count(text, "msg=statement_refused"); n > eventBurst+eventRate {
		t.Errorf("%d lines of one event", n)
	}
	if !strings.Contains(text, "msg=lines_left_out event=statement_refused count=") {
		t.Error("nothing tells what was left out")
	}
}

func TestALongLineIsCut(t *testing.T) {
	out := &buffer{}
	w := New(out)
	_, _ = fmt.Fprintf(w, "msg=long text=%s\n", strings.Repeat("x", 3*maxLine))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w.Run(ctx)
	if got := out.String(); len(got) != maxLine || !strings.HasSuffix(got, "\n") {
		t.Errorf("%d bytes", len(got))
	}
}
