// Package view holds the agreed state that a host may act on, together with
// the configuration lease that bounds how long it may do so.
package view

import (
	"sync"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/clock"
)

// View is the agreed state at one revision with its lease.
type View struct {
	// State is nil until the host has received its first snapshot.
	State *agreed.State
	// Settled is a revision that every holder of a valid lease has applied.
	Settled uint64
	// ValidUntil is the end of the lease on the scale of package clock.
	ValidUntil time.Time
}

// Valid reports whether the host may act on the view now. Look at it after
// whatever may have held the process up, and before a byte is sent.
func (v View) Valid() bool {
	return v.State != nil && clock.Now().Before(v.ValidUntil)
}

// Source yields the current view.
type Source interface {
	// Current returns the view as last published.
	Current() View
	// Changed returns a channel that is closed when the state next changes.
	// Renewals of the lease alone do not close it.
	Changed() <-chan struct{}
}

// Box is a Source that its owner publishes to. It is safe for concurrent use.
type Publisher struct {
	mu      sync.RWMutex
	view    View
	changed chan struct{}
}

// NewBox returns an empty Box, whose view is not valid.
func NewPublisher() *Publisher {
	return &Publisher{changed: make(chan struct{})}
}

// Current implements Source.
func (b *Publisher) Current() View {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.view
}

// Changed implements Source.
func (b *Publisher) Changed() <-chan struct{} {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.changed
}

// Publish replaces the view and wakes watchers when the state differs.
func (b *Publisher) Publish(v View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	stateChanged := b.view.State != v.State
	b.view = v
	if stateChanged {
		close(b.changed)
		b.changed = make(chan struct{})
	}
}
