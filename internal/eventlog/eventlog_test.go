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

// blockedWriter is an output whose writes block until block is closed.
type blockedWriter struct{ block chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.block
	return len(p), nil
}

// syncBuffer is a bytes.Buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// TestWriterBlockedOutputDoesNotBlockCallers writes to an output that accepts no data, such
// as a full pipe. The goroutines that log must not block.
func TestWriterBlockedOutputDoesNotBlockCallers(t *testing.T) {
	s := blockedWriter{block: make(chan struct{})}
	w := New(s)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { w.Run(ctx); close(done) }()
	written := make(chan struct{})
	go func() {
		defer close(written)
		for i := range 10 * maxQueuedLines {
			_, _ = fmt.Fprintf(w, "level=info msg=event_%d n=1\n", i%maxEvents)
		}
	}()
	select {
	case <-written:
	case <-time.After(time.Minute):
		t.Fatal("Write blocks on the output")
	}
	close(s.block)
	cancel()
	<-done
}

// TestWriterRateLimitIsPerEvent floods the writer with one event. No line of another event
// may be dropped for it.
func TestWriterRateLimitIsPerEvent(t *testing.T) {
	out := &syncBuffer{}
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
		t.Error("a line of another event was dropped")
	}
	if n := strings.Count(text, "msg=statement_refused"); n > eventBurst+eventRate {
		t.Errorf("%d lines of one event exceed the rate limit", n)
	}
	if !strings.Contains(text, "msg=lines_left_out event=statement_refused count=") {
		t.Error("dropped lines are not reported")
	}
}

func TestWriterTruncatesLongLine(t *testing.T) {
	out := &syncBuffer{}
	w := New(out)
	_, _ = fmt.Fprintf(w, "msg=long text=%s\n", strings.Repeat("x", 3*maxLineBytes))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w.Run(ctx)
	if got := out.String(); len(got) != maxLineBytes || !strings.HasSuffix(got, "\n") {
		t.Errorf("wrote %d bytes, want exactly maxLineBytes with a newline at the end", len(got))
	}
}
