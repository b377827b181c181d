// Package connpool pools the connections to one endpoint, within a limit that may change
// at run time. It is independent of the protocol. Each connection has a key, such as the
// workspace with which it was opened, and serves only requests with that key.
package connpool

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds one dial.
	dialTimeout = 5 * time.Second
	// maxIdleTime is the time after which Sweep closes an idle connection.
	maxIdleTime = 60 * time.Second
	// redialDelay is the wait after a failed dial. It doubles with each further failure
	// up to maxRedialDelay: an endpoint may count the connections of a lost machine
	// against its limit for 3 s.
	redialDelay    = 100 * time.Millisecond
	maxRedialDelay = 400 * time.Millisecond
	// livenessCheckAfter is the idle time after which a connection is checked before
	// reuse.
	livenessCheckAfter = 200 * time.Millisecond
	// maxBypassTime is how long the first waiting request may be bypassed by later ones
	// with other keys. Under load each change of a connection's key occupies a slot of
	// the endpoint for 12 ms, so several requests must share one change.
	maxBypassTime = 150 * time.Millisecond
	// ownConnectionWait is how long a request waits for a connection of its key that is in
	// use, before the last connection of another key is closed for it. It is about the
	// time that a new connection takes.
	ownConnectionWait = 20 * time.Millisecond
	// keyRetention is how long a key counts as in use after its last request.
	keyRetention = 5 * time.Second
)

// ErrClosed is returned by Acquire after Close.
var ErrClosed = errors.New("the endpoint is no longer in use")

// Conn is a pooled connection.
type Conn interface {
	// Key returns the key of the requests that the connection serves. It is constant.
	Key() string
	// Alive reports, without blocking, whether an idle connection is still open and
	// has no unread data.
	Alive() bool
	// Reusable reports whether the connection may be checked out again.
	Reusable() bool
	Close()
}

// Dial opens a connection with a key.
type Dial[C Conn] func(ctx context.Context, key string) (C, error)

// Pool manages the connections to one endpoint. It is safe for concurrent use. Of the
// idle connections with a key the one used last is checked out first, so that those not
// needed reach maxIdleTime. At the limit, an idle connection is closed to open one for a
// waiting request with another key, rather one whose key has further connections.
//
// open counts the connections that are checked out, idle or being dialed. Each waiter
// receives exactly one grant unless it is removed from waiters first.
type Pool[C Conn] struct {
	dial Dial[C]

	mu        sync.Mutex
	limit     int
	open      int
	dialing   map[string]int       // dials in progress by key
	openByKey map[string]int       // open connections by key, without those being dialed
	idle      []idleConn[C]        // ordered by the time of their release
	waiters   []*waiter[C]         // ordered by their arrival
	lastUsed  map[string]time.Time // latest request by key, see keyRetention
	lastErr   error                // of the latest dial, nil if it succeeded
	// failures counts the failed dials since the last success. After a failure the next
	// dial starts no earlier than retryAt, and only one runs at a time.
	failures int
	retryAt  time.Time
	// retryScheduled: retryAfter has scheduled a call of openForWaiters.
	retryScheduled bool
	// ownConnectionWait is the constant of this name; tests change it.
	ownConnectionWait time.Duration
	closed            bool
	// peak is the greatest demand (see demand) since the last call of TakePeak.
	peak int
}

// idleConn is an idle connection with the time of its release.
type idleConn[C Conn] struct {
	conn       C
	releasedAt time.Time
}

type waiter[C Conn] struct {
	key        string
	enqueuedAt time.Time
	ready      chan grant[C]
}

type grant[C Conn] struct {
	conn C
	err  error
}

// New returns a pool that opens at most limit connections. While the limit is
// zero, requests wait.
func New[C Conn](dial Dial[C], limit int) *Pool[C] {
	return &Pool[C]{
		dial: dial, limit: max(limit, 0), dialing: map[string]int{}, openByKey: map[string]int{}, lastUsed: map[string]time.Time{},
		ownConnectionWait: ownConnectionWait,
	}
}

// SetLimit changes the limit on open connections. Idle connections over a lowered limit
// are closed at once, the others when they are released.
func (p *Pool[C]) SetLimit(limit int) {
	p.mu.Lock()
	p.limit = max(limit, 0)
	surplus := p.trimIdle(time.Time{})
	surplus = append(surplus, p.openForWaiters()...)
	p.mu.Unlock()
	closeAll(surplus)
}

// Stats is a snapshot of the state of a pool.
type Stats struct {
	Limit   int
	Open    int
	Idle    int
	Waiting int
	// LastError is the error of the last dial, or nil if it succeeded.
	LastError error
}

// Stats returns a snapshot of the current state.
func (p *Pool[C]) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Limit: p.limit, Open: p.open, Idle: len(p.idle), Waiting: len(p.waiters), LastError: p.lastErr}
}

// HasIdle reports whether a connection with the key is idle.
func (p *Pool[C]) HasIdle(key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle, func(c idleConn[C]) bool { return c.conn.Key() == key })
}

// demand returns the number of connections that are checked out or waited for.
func (p *Pool[C]) demand() int {
	dialing := 0
	for _, n := range p.dialing {
		dialing += n
	}
	return p.open - dialing - len(p.idle) + len(p.waiters)
}

// TakePeak returns the demand for connections: the greatest number that was checked out
// or waited for at once since the last call, and at least one for each key that was
// requested within keyRetention.
func (p *Pool[C]) TakePeak() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for key, at := range p.lastUsed {
		if now.Sub(at) > keyRetention {
			delete(p.lastUsed, key)
		}
	}
	peak := max(p.peak, p.demand(), len(p.lastUsed))
	p.peak = 0
	return peak
}

// Acquire checks out a connection with the key. It waits until one is available, a dial
// fails while the key has no other connection, or ctx ends. During the delay after a
// failed dial, it returns the error of that dial at once if the key has no connection. Of
// the idle connections with the key it takes the one used last for which prefer returns
// true, or else the one used last; prefer may be nil. It returns ErrClosed after Close.
func (p *Pool[C]) Acquire(ctx context.Context, key string, prefer func(C) bool) (C, error) {
	var none C
	now := time.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return none, ErrClosed
	}
	p.lastUsed[key] = now
	conn, ok, dead := p.takeIdle(now, key, prefer)
	if ok {
		p.peak = max(p.peak, p.demand())
		p.mu.Unlock()
		closeAll(dead)
		return conn, nil
	}
	if p.openByKey[key] == 0 && p.dialing[key] == 0 && now.Before(p.retryAt) {
		err := p.lastErr
		p.mu.Unlock()
		closeAll(dead)
		return none, err
	}
	w := &waiter[C]{key: key, enqueuedAt: now, ready: make(chan grant[C], 1)}
	p.waiters = append(p.waiters, w)
	p.peak = max(p.peak, p.demand())
	surplus := append(dead, p.openForWaiters()...)
	p.mu.Unlock()
	closeAll(surplus)

	select {
	case g := <-w.ready:
		return g.conn, g.err
	case <-ctx.Done():
		p.cancelWaiter(w)
		return none, ctx.Err()
	}
}

// TryAcquire checks out an idle connection with the key as Acquire does, without waiting and
// without opening one. It reports false if there is none.
func (p *Pool[C]) TryAcquire(key string, prefer func(C) bool) (C, bool) {
	now := time.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		var none C
		return none, false
	}
	conn, ok, dead := p.takeIdle(now, key, prefer)
	if ok {
		p.lastUsed[key] = now
		p.peak = max(p.peak, p.demand())
	}
	p.mu.Unlock()
	closeAll(dead)
	return conn, ok
}

// Release returns a checked-out connection. A connection that is not reusable, because
// its state is unknown or a request was cancelled on it, is closed.
func (p *Pool[C]) Release(c C, reusable bool) {
	p.mu.Lock()
	var surplus []C
	if !reusable || !c.Reusable() || p.closed || p.open > p.limit {
		surplus = append(surplus, p.removeOpen(c))
	} else if !p.deliver(time.Now(), c) {
		surplus = append(surplus, p.removeOpen(c))
	}
	surplus = append(surplus, p.openForWaiters()...)
	p.mu.Unlock()
	closeAll(surplus)
}

// Sweep closes connections that have been idle for longer than maxIdleTime.
func (p *Pool[C]) Sweep(now time.Time) {
	p.mu.Lock()
	surplus := p.trimIdle(now.Add(-maxIdleTime))
	p.mu.Unlock()
	closeAll(surplus)
}

// Close closes idle connections and fails waiting and new requests with ErrClosed.
// Connections that are checked out are closed when they are released.
func (p *Pool[C]) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	for _, c := range idle {
		p.removeOpen(c.conn)
	}
	for _, w := range p.waiters {
		w.ready <- grant[C]{err: ErrClosed}
	}
	p.waiters = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.conn.Close()
	}
}

// deliver hands c to the first waiter with its key, or adds it to the idle connections.
// It returns false if the connection should be closed instead, because the first of
// all waiters has another key and has been bypassed for maxBypassTime.
func (p *Pool[C]) deliver(now time.Time, c C) bool {
	key := c.Key()
	at := slices.IndexFunc(p.waiters, func(w *waiter[C]) bool { return w.key == key })
	if at < 0 {
		p.idle = append(p.idle, idleConn[C]{conn: c, releasedAt: now})
		return true
	}
	if first := p.waiters[0]; at > 0 && p.dialing[first.key] == 0 && now.Sub(first.enqueuedAt) >= maxBypassTime {
		return false
	}
	w := p.waiters[at]
	p.waiters = slices.Delete(p.waiters, at, at+1)
	w.ready <- grant[C]{conn: c}
	return true
}

// takeIdle removes and returns the idle connection with the key that was used last, among
// the preferred ones if there are any. It also returns the dead connections that it
// removed, for the caller to close.
func (p *Pool[C]) takeIdle(now time.Time, key string, prefer func(C) bool) (conn C, ok bool, dead []C) {
	for {
		at := p.findIdle(key, prefer)
		if at < 0 {
			return conn, false, dead
		}
		candidate := p.idle[at]
		p.idle = slices.Delete(p.idle, at, at+1)
		if now.Sub(candidate.releasedAt) < livenessCheckAfter || candidate.conn.Alive() {
			return candidate.conn, true, dead
		}
		dead = append(dead, p.removeOpen(candidate.conn))
	}
}

// findIdle returns the index of the idle connection that takeIdle returns, or -1.
func (p *Pool[C]) findIdle(key string, prefer func(C) bool) int {
	fallback := -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i].conn
		switch {
		case c.Key() != key:
		case prefer == nil || prefer(c):
			return i
		case fallback < 0:
			fallback = i
		}
	}
	return fallback
}

// trimIdle removes idle connections over the limit, and those idle since before the given
// time. The caller closes them.
func (p *Pool[C]) trimIdle(before time.Time) []C {
	var surplus []C
	for len(p.idle) > 0 && (p.open > p.limit || p.idle[0].releasedAt.Before(before)) {
		surplus = append(surplus, p.evict(0))
	}
	return surplus
}

// surplusIdle returns the index of the connection that has been idle for longest among those
// whose key has further connections, or -1.
func (p *Pool[C]) surplusIdle() int {
	return slices.IndexFunc(p.idle, func(c idleConn[C]) bool { return p.openByKey[c.conn.Key()] > 1 })
}

// evict removes an idle connection. The caller closes it.
func (p *Pool[C]) evict(at int) C {
	c := p.idle[at].conn
	p.idle = slices.Delete(p.idle, at, at+1)
	return p.removeOpen(c)
}

// retryAfter calls openForWaiters again after a delay, unless such a call is scheduled.
func (p *Pool[C]) retryAfter(delay time.Duration) {
	if p.retryScheduled {
		return
	}
	p.retryScheduled = true
	time.AfterFunc(delay, func() {
		p.mu.Lock()
		p.retryScheduled = false
		surplus := p.openForWaiters()
		p.mu.Unlock()
		closeAll(surplus)
	})
}

// removeOpen removes a connection from the counts of open ones. The caller closes it.
func (p *Pool[C]) removeOpen(c C) C {
	p.open--
	p.openByKey[c.Key()]--
	if p.openByKey[c.Key()] == 0 {
		delete(p.openByKey, c.Key())
	}
	return c
}

// openForWaiters dials connections in the background for the waiters that exceed the dials
// in progress for their key. It returns the idle connections that it evicted at the limit,
// for the caller to close.
func (p *Pool[C]) openForWaiters() []C {
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
		if p.failures > 0 && len(p.dialing) > 0 {
			return evicted
		}
		if wait := time.Until(p.retryAt); p.failures > 0 && wait > 0 {
			p.retryAfter(wait)
			return evicted
		}
		if p.open >= p.limit {
			if len(p.idle) == 0 || p.open > p.limit {
				return evicted
			}
			at := p.surplusIdle()
			if at < 0 && p.openByKey[w.key] > 0 {
				if wait := p.ownConnectionWait - time.Since(w.enqueuedAt); wait > 0 {
					p.retryAfter(wait)
					continue
				}
			}
			evicted = append(evicted, p.evict(max(at, 0)))
		}
		p.open++
		p.dialing[w.key]++
		go p.openConn(w.key)
	}
	return evicted
}

// openConn dials one connection and delivers it to a waiter or to the idle connections.
func (p *Pool[C]) openConn(key string) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := p.dial(ctx, key)
	p.mu.Lock()
	p.dialFinished(key)
	if err != nil {
		p.dialFailed(err)
		p.mu.Unlock()
		return
	}
	p.lastErr, p.failures, p.retryAt = nil, 0, time.Time{}
	p.openByKey[key]++
	var surplus []C
	if p.closed || !p.deliver(time.Now(), c) {
		surplus = append(surplus, p.removeOpen(c))
	}
	surplus = append(surplus, p.openForWaiters()...)
	p.mu.Unlock()
	closeAll(surplus)
}

func (p *Pool[C]) dialFinished(key string) {
	p.dialing[key]--
	if p.dialing[key] == 0 {
		delete(p.dialing, key)
	}
}

// dialFailed fails the waiters whose key has no open connection and no dial in progress,
// and schedules another dial if other waiters remain.
func (p *Pool[C]) dialFailed(err error) {
	p.open--
	p.lastErr = err
	delay := min(redialDelay<<min(p.failures, maxDoublings), maxRedialDelay)
	p.failures++
	p.retryAt = time.Now().Add(delay)
	p.waiters = slices.DeleteFunc(p.waiters, func(w *waiter[C]) bool {
		unservable := p.openByKey[w.key] == 0 && p.dialing[w.key] == 0
		if unservable {
			w.ready <- grant[C]{err: err}
		}
		return unservable
	})
	if len(p.waiters) > 0 {
		p.retryAfter(delay)
	}
}

// maxDoublings bounds the doublings of redialDelay.
const maxDoublings = 8

// cancelWaiter withdraws a waiter whose context has ended. A connection that was delivered
// in the meantime is released.
func (p *Pool[C]) cancelWaiter(w *waiter[C]) {
	p.mu.Lock()
	at := slices.Index(p.waiters, w)
	if at >= 0 {
		p.waiters = slices.Delete(p.waiters, at, at+1)
	}
	p.mu.Unlock()
	if at >= 0 {
		return
	}
	if g := <-w.ready; g.err == nil {
		p.Release(g.conn, true)
	}
}

func closeAll[C Conn](conns []C) {
	for _, c := range conns {
		c.Close()
	}
}
