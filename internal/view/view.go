// Package view provides the agreed state that a host may act on, together with the
// end of the configuration lease that permits it.
package view

import (
	"sync"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/clock"
)

// View is the agreed state at one revision with the lease for it.
type View struct {
	// State is nil until the host has received its first snapshot.
	State *agreed.State
	// Settled is a revision that every holder of a valid lease has applied.
	Settled uint64
	// ValidUntil is the end of the lease on the scale of package clock.
	ValidUntil time.Time
	// LeasedSince is when the lease was gained after the host had none, on the same scale.
	// Publisher sets it.
	LeasedSince time.Time
	// formerEnd is when the lease of the views before this one ended, zero if there was none.
	formerEnd time.Time
}

// Valid reports whether the host may act on the view now. Call it after any operation
// that may block or suspend the process, right before data is sent.
func (v View) Valid() bool {
	return v.State != nil && clock.Now().Before(v.ValidUntil)
}

// LostFor returns for how long the host has had no lease, zero while it has one. It returns
// false if the host never had one.
func (v View) LostFor() (time.Duration, bool) {
	if v.Valid() {
		return 0, true
	}
	end := v.formerEnd
	if v.ValidUntil.After(end) {
		end = v.ValidUntil
	}
	return clock.Since(end), !end.IsZero()
}

// Source provides the current view.
type Source interface {
	// Current returns the view that was last published.
	Current() View
	// Changed returns a channel that is closed at the next change of the state. A renewal
	// of the lease alone does not close it.
	Changed() <-chan struct{}
}

// Publisher is a Source whose owner publishes the views. It is safe for concurrent use.
type Publisher struct {
	mu      sync.RWMutex
	view    View
	changed chan struct{}
}

// NewPublisher returns a Publisher with an empty view, which is not valid.
func NewPublisher() *Publisher {
	return &Publisher{changed: make(chan struct{})}
}

// Current implements Source.
func (p *Publisher) Current() View {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.view
}

// Changed implements Source.
func (p *Publisher) Changed() <-chan struct{} {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.changed
}

// Publish replaces the view, and closes the channel of Changed when the state differs.
func (p *Publisher) Publish(v View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	stateChanged := p.view.State != v.State
	now := clock.Now()
	v.LeasedSince, v.formerEnd = p.view.LeasedSince, p.view.formerEnd
	switch {
	case now.Before(p.view.ValidUntil):
		v.formerEnd = now
	default:
		v.LeasedSince = now
		if p.view.ValidUntil.After(v.formerEnd) {
			v.formerEnd = p.view.ValidUntil
		}
	}
	p.view = v
	if stateChanged {
		close(p.changed)
		p.changed = make(chan struct{})
	}
}
