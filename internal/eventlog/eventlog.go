// Package eventlog writes log lines without blocking the goroutine that logs. Lines pass
// through a bounded queue, each event has its own rate limit, and dropped lines are
// reported by event and count.
package eventlog

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// TimeFormat is the time format of log lines. It has a resolution of 1 ms, so that the
// lines of several hosts can be ordered.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

const (
	// maxQueuedLines is the capacity of the queue: at most 1 MiB with maxLineBytes.
	maxQueuedLines = 1024
	// maxLineBytes is the maximum size of a line; the rest is truncated.
	maxLineBytes = 1024
	// eventRate (lines per second) and eventBurst (lines) limit each event, so that a
	// flood of refusals does not displace the events that report state changes.
	eventRate  = 50
	eventBurst = 200
	// maxEvents is the maximum number of events with a rate limit of their own. Lines of
	// further events are dropped and counted together.
	maxEvents = 256
	// summaryInterval is the interval of the reports on dropped lines.
	summaryInterval = time.Second
	// flushTimeout bounds the writing of the queued lines at shutdown.
	flushTimeout = 200 * time.Millisecond
)

// Writer is an io.Writer that expects one whole line per call of Write. It is safe for
// concurrent use.
type Writer struct {
	out   io.Writer
	lines chan []byte

	mu       sync.Mutex
	limiters map[string]*rate.Limiter
	dropped  map[string]int // dropped lines since the last summary, by event
}

// New returns a Writer whose lines Run writes to out.
func New(out io.Writer) *Writer {
	return &Writer{
		out: out, lines: make(chan []byte, maxQueuedLines),
		limiters: make(map[string]*rate.Limiter), dropped: make(map[string]int),
	}
}

// Write queues a line. It drops the line when its event exceeds the rate limit or the queue
// is full. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	event := eventOf(line)
	if !w.allow(event) {
		return len(line), nil
	}
	kept := bytes.Clone(line[:min(len(line), maxLineBytes)])
	if len(kept) > 0 && kept[len(kept)-1] != '\n' {
		kept[len(kept)-1] = '\n'
	}
	select {
	case w.lines <- kept:
	default:
		w.countDropped(event)
	}
	return len(line), nil
}

// eventOf returns the event of a logfmt line, which is the value of its key msg.
func eventOf(line []byte) string {
	_, rest, ok := bytes.Cut(line, []byte("msg="))
	if !ok {
		return "unnamed"
	}
	name, _, _ := bytes.Cut(rest, []byte(" "))
	return string(bytes.TrimSpace(name))
}

// allow applies the rate limit of the event and counts the line as dropped when it exceeds
// the limit.
func (w *Writer) allow(event string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	limiter := w.limiters[event]
	if limiter == nil {
		if len(w.limiters) >= maxEvents {
			w.dropped["other"]++
			return false
		}
		limiter = rate.NewLimiter(eventRate, eventBurst)
		w.limiters[event] = limiter
	}
	if limiter.Allow() {
		return true
	}
	w.dropped[event]++
	return false
}

func (w *Writer) countDropped(event string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped[event]++
}

// Run writes the queued lines until ctx ends, then flushes the rest.
func (w *Writer) Run(ctx context.Context) {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			w.flush()
			return
		case line := <-w.lines:
			_, _ = w.out.Write(line) // there is no other output to report the error to
		case <-ticker.C:
			w.writeSummary()
		}
	}
}

// flush writes the queued lines and a last summary. It stops after flushTimeout, without a
// summary, when lines are still being queued.
func (w *Writer) flush() {
	for end := time.Now().Add(flushTimeout); time.Now().Before(end); {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line)
		default:
			w.writeSummary()
			return
		}
	}
}

// writeSummary writes a line for each event with lines dropped since the last summary.
func (w *Writer) writeSummary() {
	w.mu.Lock()
	dropped := w.dropped
	w.dropped = make(map[string]int)
	w.mu.Unlock()
	now := time.Now().Format(TimeFormat)
	for _, event := range slices.Sorted(maps.Keys(dropped)) {
		_, _ = fmt.Fprintf(w.out, "time=%s level=warn msg=lines_left_out event=%s count=%d\n", now, event, dropped[event])
	}
}
