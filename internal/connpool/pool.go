// Package connpool lends the connections of one endpoint, within a cap that may
// change while it runs. It knows no protocol.
package connpool

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds the opening of one connection.
	dialTimeout = 5 * time.Second
	// keepIdle is how long a connection that nobody needs stays open.
	keepIdle = 60 * time.Second
	// redialDelay is the wait after a failed attempt to open a connection.
	redialDelay = 100 * time.Millisecond
)

// ErrClosed reports that the endpoint is no longer in use.
var ErrClosed = errors.New("the endpoint is no longer in use")

// Conn is a pooled connection.
type Conn interface {
	// Alive reports, without waiting, whether a connection that has rested is
	// still open and silent.
	Alive() bool
	// Reusable reports whether the connection may be lent again.
	Reusable() bool
	Close()
}

// Dial opens a connection.
type Dial[C Conn] func(ctx context.Context) (C, error)

// Pool lends the connections of one endpoint. It is safe for concurrent use.
// A connection that was used last is lent first, so that surplus connections
// fall idle and are closed.
type Pool[C Conn] struct {
	dial Dial[C]

	mu      sync.Mutex
	limit   int
	open    int
	dialing int
	idle    []resting[C]
	waiters []*waiter[C]
	lastErr error
	closed  bool
	// peak is the greatest number of lent and wanted connections since TakePeak.
	peak int
}

// resting is an idle connection.
type resting[C Conn] struct {
	conn  C
	since time.Time
}

type waiter[C Conn] struct {
	ready chan grant[C]
}

type grant[C Conn] struct {
	conn C
	err  error
}

// New returns a pool that opens at most limit connections. While the limit is
// zero, requests wait.
func New[C Conn](dial Dial[C], limit int) *Pool[C] {
	return &Pool[C]{dial: dial, limit: max(limit, 0)}
}

// SetLimit changes the cap on open connections. Connections over a lowered cap
// are closed as they are returned.
func (p *Pool[C]) SetLimit(limit int) {
	p.mu.Lock()
	p.limit = max(limit, 0)
	surplus := p.trim(time.Time{})
	p.grow()
	p.mu.Unlock()
	closeAll(surplus)
}

// Stats describes a pool.
type Stats struct {
	Limit   int
	Open    int
	Idle    int
	Waiting int
	// LastError is why the last attempt to open a connection failed, or nil.
	LastError error
}

// Stats returns the present state.
func (p *Pool[C]) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Limit: p.limit, Open: p.open, Idle: len(p.idle), Waiting: len(p.waiters), LastError: p.lastErr}
}

// wanted is the number of connections that are lent or waited for.
func (p *Pool[C]) wanted() int {
	return p.open - p.dialing - len(p.idle) + len(p.waiters)
}

// TakePeak returns the greatest number of connections that were lent or waited
// for at once since the last call.
func (p *Pool[C]) TakePeak() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	peak := max(p.peak, p.wanted())
	p.peak = 0
	return peak
}

// Acquire lends a connection, waiting until one is free or ctx ends. Of the
// idle ones it lends the one used last for which prefer holds, if any; prefer
// may be nil.
func (p *Pool[C]) Acquire(ctx context.Context, prefer func(C) bool) (C, error) {
	var none C
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return none, ErrClosed
	}
	if conn, ok := p.pop(time.Now(), prefer); ok {
		p.peak = max(p.peak, p.wanted())
		p.mu.Unlock()
		return conn, nil
	}
	w := &waiter[C]{ready: make(chan grant[C], 1)}
	p.waiters = append(p.waiters, w)
	p.peak = max(p.peak, p.wanted())
	p.grow()
	p.mu.Unlock()

	select {
	case g := <-w.ready:
		return g.conn, g.err
	case <-ctx.Done():
		p.abandon(w)
		return none, ctx.Err()
	}
}

// Release takes a connection back. A connection that is not reusable, because
// its state is unknown or a request was cancelled on it, is closed.
func (p *Pool[C]) Release(c C, reusable bool) {
	p.mu.Lock()
	if !reusable || !c.Reusable() || p.closed || p.open > p.limit {
		p.open--
		p.grow()
		p.mu.Unlock()
		c.Close()
		return
	}
	p.give(c)
	p.mu.Unlock()
}

// Sweep closes connections that have been idle for long.
func (p *Pool[C]) Sweep(now time.Time) {
	p.mu.Lock()
	surplus := p.trim(now.Add(-keepIdle))
	p.mu.Unlock()
	closeAll(surplus)
}

// Close closes idle connections and makes the pool refuse new requests. Lent
// connections are closed when they are released.
func (p *Pool[C]) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	for _, w := range p.waiters {
		w.ready <- grant[C]{err: ErrClosed}
	}
	p.waiters = nil
	p.mu.Unlock()
	for _, r := range idle {
		r.conn.Close()
	}
}

// give lends c to the first waiter or rests it.
func (p *Pool[C]) give(c C) {
	if len(p.waiters) > 0 {
		w := p.waiters[0]
		p.waiters = p.waiters[1:]
		w.ready <- grant[C]{conn: c}
		return
	}
	p.idle = append(p.idle, resting[C]{conn: c, since: time.Now()})
}

// checkAfter is how long a connection rests before it is checked on reuse.
const checkAfter = 200 * time.Millisecond

// pop returns the idle connection that was used last, among those preferred if
// there are any, and is still open.
func (p *Pool[C]) pop(now time.Time, prefer func(C) bool) (C, bool) {
	for len(p.idle) > 0 {
		at := len(p.idle) - 1
		for i := at; prefer != nil && i >= 0; i-- {
			if prefer(p.idle[i].conn) {
				at = i
				break
			}
		}
		r := p.idle[at]
		p.idle = slices.Delete(p.idle, at, at+1)
		if now.Sub(r.since) < checkAfter || r.conn.Alive() {
			return r.conn, true
		}
		p.open--
		r.conn.Close()
	}
	var none C
	return none, false
}

// trim removes idle connections over the cap, and those idle since before the
// given time.
func (p *Pool[C]) trim(before time.Time) []C {
	var surplus []C
	for len(p.idle) > 0 && (p.open > p.limit || p.idle[0].since.Before(before)) {
		surplus = append(surplus, p.idle[0].conn)
		p.idle = p.idle[1:]
		p.open--
	}
	return surplus
}

// grow opens connections in the background for waiters that no opening
// connection will serve.
func (p *Pool[C]) grow() {
	for !p.closed && p.open < p.limit && p.dialing < len(p.waiters) {
		p.open++
		p.dialing++
		go p.openOne()
	}
}

func (p *Pool[C]) openOne() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := p.dial(ctx)
	if err != nil {
		p.failed(err)
		return
	}
	p.mu.Lock()
	p.dialing--
	p.lastErr = nil
	if p.closed {
		p.open--
		p.mu.Unlock()
		c.Close()
		return
	}
	p.give(c)
	p.mu.Unlock()
}

// failed passes the error to the waiters when no open connection can serve
// them, and otherwise tries again later.
func (p *Pool[C]) failed(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	p.open--
	p.lastErr = err
	if p.open == 0 {
		for _, w := range p.waiters {
			w.ready <- grant[C]{err: err}
		}
		p.waiters = nil
		return
	}
	time.AfterFunc(redialDelay, p.retry)
}

func (p *Pool[C]) retry() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grow()
}

func (p *Pool[C]) abandon(w *waiter[C]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.waiters {
		if other == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return
		}
	}
	// The waiter was served meanwhile: the connection is lent onwards.
	if g := <-w.ready; g.err == nil {
		p.give(g.conn)
	}
}

func closeAll[C Conn](conns []C) {
	for _, c := range conns {
		c.Close()
	}
}
