// Package connpool lends the connections of one endpoint, within a cap that may
// change while it runs. It knows no protocol. Connections have a key, such as
// the workspace that the endpoint was told, and serve requests of that key only.
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
	// redialDelay is the wait after a failed attempt to open a connection. It
	// doubles with each further failure up to maxRedialDelay: an endpoint may count
	// the connections of a lost machine for 3 s.
	redialDelay    = 100 * time.Millisecond
	maxRedialDelay = 400 * time.Millisecond
	// checkAfter is how long a connection rests before it is checked on reuse.
	checkAfter = 200 * time.Millisecond
	// fairAfter is how long the first request may wait while later ones of other
	// keys are served. Under load each change of a connection's key costs the
	// endpoint a slot for 12 ms, so that several requests must share one.
	fairAfter = 150 * time.Millisecond
	// keyMemory is how long a key counts as in use after its last request.
	keyMemory = 5 * time.Second
)

// ErrClosed reports that the endpoint is no longer in use.
var ErrClosed = errors.New("the endpoint is no longer in use")

// Conn is a pooled connection.
type Conn interface {
	// Key tells which requests the connection serves.
	Key() string
	// Alive reports, without waiting, whether a connection that has rested is
	// still open and silent.
	Alive() bool
	// Reusable reports whether the connection may be lent again.
	Reusable() bool
	Close()
}

// Dial opens a connection with a key.
type Dial[C Conn] func(ctx context.Context, key string) (C, error)

// Pool lends the connections of one endpoint. It is safe for concurrent use.
// Of the connections of a key the one used last is lent first, so that surplus
// ones fall idle. At the cap, an idle connection gives way to a key that waits.
type Pool[C Conn] struct {
	dial Dial[C]

	mu      sync.Mutex
	limit   int
	open    int
	dialing map[string]int
	held    map[string]int // open connections by key, without those being dialed
	idle    []resting[C]   // in the order of their return
	waiters []*waiter[C]   // in the order of their arrival
	used    map[string]time.Time
	lastErr error
	// failures counts the failed attempts since the last connection was opened. The
	// next attempt is made no earlier than retryAt, and one at a time.
	failures int
	retryAt  time.Time
	closed   bool
	// peak is the greatest number of lent and wanted connections since TakePeak.
	peak int
}

// resting is an idle connection.
type resting[C Conn] struct {
	conn  C
	since time.Time
}

type waiter[C Conn] struct {
	key   string
	since time.Time
	ready chan grant[C]
}

type grant[C Conn] struct {
	conn C
	err  error
}

// New returns a pool that opens at most limit connections. While the limit is
// zero, requests wait.
func New[C Conn](dial Dial[C], limit int) *Pool[C] {
	return &Pool[C]{dial: dial, limit: max(limit, 0), dialing: map[string]int{}, held: map[string]int{}, used: map[string]time.Time{}}
}

// SetLimit changes the cap on open connections. Connections over a lowered cap
// are closed as they are returned.
func (p *Pool[C]) SetLimit(limit int) {
	p.mu.Lock()
	p.limit = max(limit, 0)
	surplus := p.trim(time.Time{})
	surplus = append(surplus, p.grow()...)
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

// HasIdle reports whether a connection of the key is idle.
func (p *Pool[C]) HasIdle(key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle, func(r resting[C]) bool { return r.conn.Key() == key })
}

// wanted is the number of connections that are lent or waited for.
func (p *Pool[C]) wanted() int {
	dialing := 0
	for _, n := range p.dialing {
		dialing += n
	}
	return p.open - dialing - len(p.idle) + len(p.waiters)
}

// TakePeak returns how many connections the pool could use: the greatest number
// that was lent or waited for at once since the last call, and at least one for
// each key that was used lately.
func (p *Pool[C]) TakePeak() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for key, at := range p.used {
		if now.Sub(at) > keyMemory {
			delete(p.used, key)
		}
	}
	peak := max(p.peak, p.wanted(), len(p.used))
	p.peak = 0
	return peak
}

// Acquire lends a connection with the key, waiting until one is free or ctx
// ends. Of the idle ones it lends the one used last for which prefer holds, if
// any; prefer may be nil.
func (p *Pool[C]) Acquire(ctx context.Context, key string, prefer func(C) bool) (C, error) {
	var none C
	now := time.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return none, ErrClosed
	}
	p.used[key] = now
	conn, ok, dead := p.pop(now, key, prefer)
	if ok {
		p.peak = max(p.peak, p.wanted())
		p.mu.Unlock()
		closeAll(dead)
		return conn, nil
	}
	if p.held[key] == 0 && p.dialing[key] == 0 && now.Before(p.retryAt) {
		err := p.lastErr
		p.mu.Unlock()
		closeAll(dead)
		return none, err
	}
	w := &waiter[C]{key: key, since: now, ready: make(chan grant[C], 1)}
	p.waiters = append(p.waiters, w)
	p.peak = max(p.peak, p.wanted())
	surplus := append(dead, p.grow()...)
	p.mu.Unlock()
	closeAll(surplus)

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
	var surplus []C
	if !reusable || !c.Reusable() || p.closed || p.open > p.limit {
		surplus = append(surplus, p.drop(c))
	} else if !p.give(time.Now(), c) {
		surplus = append(surplus, p.drop(c))
	}
	surplus = append(surplus, p.grow()...)
	p.mu.Unlock()
	closeAll(surplus)
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
	for _, r := range idle {
		p.drop(r.conn)
	}
	for _, w := range p.waiters {
		w.ready <- grant[C]{err: ErrClosed}
	}
	p.waiters = nil
	p.mu.Unlock()
	for _, r := range idle {
		r.conn.Close()
	}
}

// give lends c to the first waiter of its key or rests it. It reports false when
// the connection should rather be closed, so that the first of all waiters,
// which has another key, can have one.
func (p *Pool[C]) give(now time.Time, c C) bool {
	key := c.Key()
	at := slices.IndexFunc(p.waiters, func(w *waiter[C]) bool { return w.key == key })
	if at < 0 {
		p.idle = append(p.idle, resting[C]{conn: c, since: now})
		return true
	}
	if first := p.waiters[0]; at > 0 && p.dialing[first.key] == 0 && now.Sub(first.since) >= fairAfter {
		return false
	}
	w := p.waiters[at]
	p.waiters = slices.Delete(p.waiters, at, at+1)
	w.ready <- grant[C]{conn: c}
	return true
}

// pop returns the idle connection of the key that was used last, among those
// preferred if there are any, and the dead ones that it met.
func (p *Pool[C]) pop(now time.Time, key string, prefer func(C) bool) (conn C, ok bool, dead []C) {
	for {
		at := p.find(key, prefer)
		if at < 0 {
			return conn, false, dead
		}
		r := p.idle[at]
		p.idle = slices.Delete(p.idle, at, at+1)
		if now.Sub(r.since) < checkAfter || r.conn.Alive() {
			return r.conn, true, dead
		}
		dead = append(dead, p.drop(r.conn))
	}
}

func (p *Pool[C]) find(key string, prefer func(C) bool) int {
	last := -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i].conn
		switch {
		case c.Key() != key:
		case prefer == nil || prefer(c):
			return i
		case last < 0:
			last = i
		}
	}
	return last
}

// trim removes idle connections over the cap, and those idle since before the
// given time.
func (p *Pool[C]) trim(before time.Time) []C {
	var surplus []C
	for len(p.idle) > 0 && (p.open > p.limit || p.idle[0].since.Before(before)) {
		surplus = append(surplus, p.evict())
	}
	return surplus
}

// evict removes the connection that has been idle for longest.
func (p *Pool[C]) evict() C {
	c := p.idle[0].conn
	p.idle = slices.Delete(p.idle, 0, 1)
	return p.drop(c)
}

// drop takes an open connection off the accounts; the caller closes it.
func (p *Pool[C]) drop(c C) C {
	p.open--
	p.held[c.Key()]--
	if p.held[c.Key()] == 0 {
		delete(p.held, c.Key())
	}
	return c
}

// grow opens connections in the background for waiters that no opening
// connection of their key will serve. It returns idle connections that gave way.
func (p *Pool[C]) grow() []C {
	var evicted []C
	if p.closed {
		return nil
	}
	waiting := make(map[string]int, len(p.waiters))
	for _, w := range p.waiters {
		waiting[w.key]++
		if waiting[w.key] <= p.dialing[w.key] {
			continue
		}
		if p.failures > 0 && (len(p.dialing) > 0 || time.Now().Before(p.retryAt)) {
			return evicted
		}
		if p.open >= p.limit {
			if len(p.idle) == 0 || p.open > p.limit {
				return evicted
			}
			evicted = append(evicted, p.evict())
		}
		p.open++
		p.dialing[w.key]++
		go p.openOne(w.key)
	}
	return evicted
}

func (p *Pool[C]) openOne(key string) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := p.dial(ctx, key)
	p.mu.Lock()
	p.dialed(key)
	if err != nil {
		p.failed(err)
		p.mu.Unlock()
		return
	}
	p.lastErr, p.failures, p.retryAt = nil, 0, time.Time{}
	p.held[key]++
	var surplus []C
	if p.closed || !p.give(time.Now(), c) {
		surplus = append(surplus, p.drop(c))
	}
	surplus = append(surplus, p.grow()...)
	p.mu.Unlock()
	closeAll(surplus)
}

func (p *Pool[C]) dialed(key string) {
	p.dialing[key]--
	if p.dialing[key] == 0 {
		delete(p.dialing, key)
	}
}

// failed passes the error to the waiters whom no open connection can serve. For
// the others another attempt follows.
func (p *Pool[C]) failed(err error) {
	p.open--
	p.lastErr = err
	delay := min(redialDelay<<min(p.failures, maxDoublings), maxRedialDelay)
	p.failures++
	p.retryAt = time.Now().Add(delay)
	p.waiters = slices.DeleteFunc(p.waiters, func(w *waiter[C]) bool {
		hopeless := p.held[w.key] == 0 && p.dialing[w.key] == 0
		if hopeless {
			w.ready <- grant[C]{err: err}
		}
		return hopeless
	})
	if len(p.waiters) > 0 {
		time.AfterFunc(delay, p.retry)
	}
}

// maxDoublings bounds the shift of redialDelay.
const maxDoublings = 8

func (p *Pool[C]) retry() {
	p.mu.Lock()
	surplus := p.grow()
	p.mu.Unlock()
	closeAll(surplus)
}

func (p *Pool[C]) abandon(w *waiter[C]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at := slices.Index(p.waiters, w); at >= 0 {
		p.waiters = slices.Delete(p.waiters, at, at+1)
		return
	}
	// The waiter was served meanwhile: the connection is lent onwards.
	if g := <-w.ready; g.err == nil {
		p.idle = append(p.idle, resting[C]{conn: g.conn, since: time.Now()})
		p.handOver(g.conn)
	}
}

// handOver lends an idle connection to a waiter of its key, if there is one.
func (p *Pool[C]) handOver(c C) {
	at := slices.IndexFunc(p.waiters, func(w *waiter[C]) bool { return w.key == c.Key() })
	if at < 0 {
		return
	}
	w := p.waiters[at]
	p.waiters = slices.Delete(p.waiters, at, at+1)
	p.idle = p.idle[:len(p.idle)-1]
	w.ready <- grant[C]{conn: c}
}

func closeAll[C Conn](conns []C) {
	for _, c := range conns {
		c.Close()
	}
}
