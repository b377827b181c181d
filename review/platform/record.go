//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, one line each, with the time in
// milliseconds since the start of the case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// add writes a line and returns its time.
func (r *record) add(format string, args ...any) time.Time {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.1f %s\n", r.ms(now), fmt.Sprintf(format, args...))
	return now
}

// ms returns a time in milliseconds since the start.
func (r *record) ms(t time.Time) float64 { return float64(t.Sub(r.start).Microseconds()) / 1000 }
