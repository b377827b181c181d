// Package eventlog writes log lines without ever holding up the task that logs:
// lines pass through a bounded queue, each event has a budget, and what is left
// out is told by event and count.
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

// TimeFormat is that of the time of each line, to the millisecond, so that the
// lines of several hosts can be put in order.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

const (
	// queueLines bounds the lines that wait for the output: at most 1 MB.
	queueLines = 1024
	// maxLine bounds one line, in bytes; the rest is cut off.
	maxLine = 1024
	// eventRate and eventBurst are the budget of one event, in lines a second: a
	// flood of refusals leaves room for changes of what the host believes.
	eventRate  = 50
	eventBurst = 200
	// maxEvents bounds the events with a budget of their own.
	maxEvents = 256
	// summaryInterval is the time between two accounts of what was left out.
	summaryInterval = time.Second
	// flushTimeout bounds the writing of the last lines at the end.
	flushTimeout = 200 * time.Millisecond
)

// Writer is an io.Writer of whole lines. It is safe for concurrent use.
type Writer struct {
	out   io.Writer
	lines chan []byte

	mu      sync.Mutex
	budgets map[string]*rate.Limiter
	left    map[string]int // lines left out, by event
}

// New returns a Writer to an output, which Run writes to.
func New(out io.Writer) *Writer {
	return &Writer{
		out: out, lines: make(chan []byte, queueLines),
		budgets: make(map[string]*rate.Limiter), left: make(map[string]int),
	}
}

// Write queues a line, or leaves it out. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	event := eventOf(line)
	if !w.allows(event) {
		return len(line), nil
	}
	kept := bytes.Clone(line[:min(len(line), maxLine)])
	if len(kept) > 0 && kept[len(kept)-1] != '\n' {
		kept[len(kept)-1] = '\n'
	}
	select {
	case w.lines <- kept:
	default:
		w.leaveOut(event)
	}
	return len(line), nil
}

// eventOf returns the name of the event in a line of key=value pairs.
func eventOf(line []byte) string {
	_, rest, ok := bytes.Cut(line, []byte("msg="))
	if !ok {
		return "unnamed"
	}
	name, _, _ := bytes.Cut(rest, []byte(" "))
	return string(bytes.TrimSpace(name))
}

func (w *Writer) allows(event string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	budget := w.budgets[event]
	if budget == nil {
		if len(w.budgets) >= maxEvents {
			w.left["other"]++
			return false
		}
		budget = rate.NewLimiter(eventRate, eventBurst)
		w.budgets[event] = budget
	}
	if budget.Allow() {
		return true
	}
	w.left[event]++
	return false
}

func (w *Writer) leaveOut(event string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left[event]++
}

// Run writes lines until ctx ends, and then what is left of them.
func (w *Writer) Run(ctx context.Context) {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			w.flush()
			return
		case line := <-w.lines:
			_, _ = w.out.Write(line) // nobody is left to tell
		case <-ticker.C:
			w.summarize()
		}
	}
}

func (w *Writer) flush() {
	for end := time.Now().Add(flushTimeout); time.Now().Before(end); {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line)
		default:
			w.summarize()
			return
		}
	}
}

// summarize tells what was left out since the last account.
func (w *Writer) summarize() {
	w.mu.Lock()
	left := w.left
	w.left = make(map[string]int)
	w.mu.Unlock()
	now := time.Now().Format(TimeFormat)
	for _, event := range slices.Sorted(maps.Keys(left)) {
		_, _ = fmt.Fprintf(w.out, "time=%s level=warn msg=lines_left_out event=%s count=%d\n", now, event, left[event])
	}
}
