package pgback

import (
	"context"
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

// ErrPoolClosed reports that the endpoint is no longer in use.
var ErrPoolClosed = errors.New("the endpoint is no longer in use")

// Pool lends the connections of one endpoint. It is safe for concurrent use.
// A connection that was used last is lent first, so that surplus connections
// fall idle and are closed.
type Pool struct {
	target Target
	dial   func(context.Context, Target) (*Conn, error)

	mu      sync.Mutex
	limit   int
	open    int
	dialing int
	idle    []*Conn
	waiters []*waiter
	lastErr error
	closed  bool
	// peak is the greatest number of lent and wanted connections since TakePeak.
	peak int
}

type waiter struct {
	ready chan grant
}

type grant struct {
	conn *Conn
	err  error
}

// NewPool returns a pool that opens at most limit connections to the target.
// While the limit is zero, requests wait.
func NewPool(target Target, limit int) *Pool {
	return &Pool{target: target, dial: Dial, limit: max(limit, 0)}
}

// Target returns the endpoint and credentials of the pool.
func (p *Pool) Target() Target { return p.target }

// SetLimit changes the cap on open connections. Connections over a lowered cap
// are closed as they are returned.
func (p *Pool) SetLimit(limit int) {
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
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Limit: p.limit, Open: p.open, Idle: len(p.idle), Waiting: len(p.waiters), LastError: p.lastErr}
}

// wanted is the number of connections that are lent or waited for.
func (p *Pool) wanted() int {
	return p.open - p.dialing - len(p.idle) + len(p.waiters)
}

// TakePeak returns the greatest number of connections that were lent or waited
// for at once since the last call.
func (p *Pool) TakePeak() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	peak := max(p.peak, p.wanted())
	p.peak = 0
	return peak
}

// Acquire lends a connection, waiting until one is free or ctx ends.
func (p *Pool) Acquire(ctx context.Context) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrPoolClosed
	}
	if conn := p.pop(time.Now()); conn != nil {
		p.peak = max(p.peak, p.wanted())
		p.mu.Unlock()
		return conn, nil
	}
	w := &waiter{ready: make(chan grant, 1)}
	p.waiters = append(p.waiters, w)
	p.peak = max(p.peak, p.wanted())
	p.grow()
	p.mu.Unlock()

	select {
	case g := <-w.ready:
		return g.conn, g.err
	case <-ctx.Done():
		p.abandon(w)
		return nil, ctx.Err()
	}
}

// Release takes a connection back. A connection that is not reusable, because
// its state is unknown or a request was cancelled on it, is closed.
func (p *Pool) Release(c *Conn, reusable bool) {
	if c.cancelled.Load() {
		reusable = false
	}
	p.mu.Lock()
	if !reusable || p.closed || p.open > p.limit {
		p.open--
		p.grow()
		p.mu.Unlock()
		c.Close()
		return
	}
	c.idle = time.Now()
	p.give(c)
	p.mu.Unlock()
}

// Sweep closes connections that have been idle for long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	surplus := p.trim(now.Add(-keepIdle))
	p.mu.Unlock()
	closeAll(surplus)
}

// Close closes idle connections and makes the pool refuse new requests. Lent
// connections are closed when they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	for _, w := range p.waiters {
		w.ready <- grant{err: ErrPoolClosed}
	}
	p.waiters = nil
	p.mu.Unlock()
	closeAll(idle)
}

// give lends c to the first waiter or rests it.
func (p *Pool) give(c *Conn) {
	if len(p.waiters) > 0 {
		w := p.waiters[0]
		p.waiters = p.waiters[1:]
		w.ready <- grant{conn: c}
		return
	}
	p.idle = append(p.idle, c)
}

// pop returns the idle connection that was used last and is still open.
func (p *Pool) pop(now time.Time) *Conn {
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = p.idle[:last]
		if c.alive(now) {
			return c
		}
		p.open--
		c.Close()
	}
	return nil
}

// trim removes idle connections over the cap, and those idle since before the
// given time.
func (p *Pool) trim(before time.Time) []*Conn {
	var surplus []*Conn
	for len(p.idle) > 0 && (p.open > p.limit || p.idle[0].idle.Before(before)) {
		surplus = append(surplus, p.idle[0])
		p.idle = p.idle[1:]
		p.open--
	}
	return surplus
}

// grow opens connections in the background for waiters that no opening
// connection will serve.
func (p *Pool) grow() {
	for !p.closed && p.open < p.limit && p.dialing < len(p.waiters) {
		p.open++
		p.dialing++
		go p.openOne()
	}
}

func (p *Pool) openOne() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := p.dial(ctx, p.target)
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
	c.idle = time.Now()
	p.give(c)
	p.mu.Unlock()
}

// failed passes the error to the waiters when no open connection can serve
// them, and otherwise tries again later.
func (p *Pool) failed(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	p.open--
	p.lastErr = err
	if p.open == 0 {
		for _, w := range p.waiters {
			w.ready <- grant{err: err}
		}
		p.waiters = nil
		return
	}
	time.AfterFunc(redialDelay, p.retry)
}

func (p *Pool) retry() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grow()
}

func (p *Pool) abandon(w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.waiters {
		if other == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return
		}
	}
	// The waiter was served meanwhile: the connection is lent onwards.
	if g := <-w.ready; g.conn != nil {
		p.give(g.conn)
	}
}

func closeAll(conns []*Conn) {
	for _, c := range conns {
		c.Close()
	}
}
