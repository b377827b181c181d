package peer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/budget"
	"github.com/galenabridge/galenabridge/internal/result"
)

// Timeouts and intervals of connections.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// connectTimeout bounds the TCP connect. A machine that is down does not respond, and
	// the kernel would retransmit the SYN only after 1 s.
	connectTimeout = 400 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged. It is the silence after
	// which a forwarded statement is given up, and three losses of a packet fit into it.
	unackedTimeout   = time.Second
	handshakeTimeout = 2 * time.Second
	writeTimeout     = 2 * time.Second
	// pingInterval is the time without received messages after which a ping is sent on a
	// connection that was used within activeTime; idlePingInterval is that of others.
	pingInterval     = 1 * time.Second
	idlePingInterval = 10 * time.Second
	activeTime       = 5 * time.Second
	pingTimeout      = 2 * time.Second
	// idleTimeout is the time without messages after which a connection is closed.
	idleTimeout = 60 * time.Second
)

// link owns the connections to one peer and the queue of outgoing messages. There may be
// several connections when both hosts dial at the same time.
type link struct {
	node  *Node
	host  string
	queue *queue
	// attached receives a token when a connection is attached.
	attached chan struct{}

	mu    sync.Mutex
	addr  string
	conns []*conn // oldest first
}

func newLink(n *Node, host string) *link {
	countDropped := func(kind Kind) { n.metrics.dropped.WithLabelValues(kind.String()).Inc() }
	return &link{node: n, host: host, queue: newQueue(countDropped), attached: make(chan struct{}, 1)}
}

func (l *link) setAddr(addr string) {
	if addr == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addr = addr
}

func (l *link) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

// newestTo returns the most recently attached connection to the process with the given
// incarnation, or nil when there is none.
func (l *link) newestTo(incarnation uint64) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range slices.Backward(l.conns) {
		if c.peer.Incarnation == incarnation {
			return c
		}
	}
	return nil
}

// newest returns the most recently attached connection, or nil when there is none.
// Messages are sent on this one.
func (l *link) newest() *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) == 0 {
		return nil
	}
	return l.conns[len(l.conns)-1]
}

// attach adds an authenticated connection and adopts the address that the peer advertises.
func (l *link) attach(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	if c.peer.Addr != "" {
		l.addr = c.peer.Addr
	}
	l.node.metrics.conns.Inc()
	select {
	case l.attached <- struct{}{}:
	default:
	}
}

// detach removes a connection. It has no effect when the connection is not attached.
func (l *link) detach(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, other := range l.conns {
		if other == c {
			l.conns = append(l.conns[:i], l.conns[i+1:]...)
			l.node.metrics.conns.Dec()
			return
		}
	}
}

// closeOlder closes the connections to processes with a lower incarnation.
func (l *link) closeOlder(incarnation uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if c.peer.Incarnation < incarnation {
			c.cancel()
		}
	}
}

// run sends the queued messages until ctx ends. It dials the peer when a message is queued
// and no connection exists.
func (l *link) run(ctx context.Context) {
	backoff := minBackoff
	for {
		msg, ok := l.queue.take()
		if !ok {
			select {
			case <-ctx.Done():
				return
			case <-l.queue.wake:
			}
			continue
		}
		var c *conn
		if l.host != l.node.opts.Host {
			c = l.newest()
			if c == nil {
				c = l.connect(ctx, &backoff)
			}
			if c == nil {
				l.drop(msg)
				if ctx.Err() != nil {
					return
				}
				continue
			}
		}
		reached := l.node.opts.Incarnation
		if c != nil {
			reached = c.peer.Incarnation
		}
		if msg.incarnation != 0 && msg.incarnation != reached {
			l.node.metrics.misdirected.WithLabelValues(msg.kind.String()).Inc()
			l.drop(msg)
			continue
		}
		if msg.callID != 0 && !l.node.markSent(msg.callID, reached) {
			continue
		}
		if c == nil {
			l.deliverLocal(msg)
			continue
		}
		l.write(ctx, c, msg)
	}
}

// drop counts a message that could not be sent, and fails its call.
func (l *link) drop(msg outgoing) {
	l.node.metrics.dropped.WithLabelValues(msg.kind.String()).Inc()
	l.node.failUnsentCall(msg.callID)
}

// deliverLocal passes a message addressed to this host to the local handlers.
func (l *link) deliverLocal(msg outgoing) {
	e, err := decodeEnvelope(msg.data)
	if err != nil {
		l.node.countMalformed(l.host, msg.kind, err)
		return
	}
	opts := l.node.opts
	self := Identity{Host: opts.Host, Incarnation: opts.Incarnation, Addr: l.node.advertised()}
	l.node.deliver(self, e)
}

// connect dials the peer once, or returns a connection that the peer opens meanwhile. On
// failure it drops the queued messages, fails the pending requests and waits until the backoff
// time has passed since the dial began: a dial that timed out has waited already.
func (l *link) connect(ctx context.Context, backoff *time.Duration) *conn {
	begun := time.Now()
	if c := l.dialOrAwait(ctx); c != nil {
		*backoff = minBackoff
		return c
	}
	for _, msg := range l.queue.clear() {
		l.node.failUnsentCall(msg.callID)
	}
	l.node.failSentCalls(l.host)
	wait := time.NewTimer(*backoff - time.Since(begun))
	defer wait.Stop()
	*backoff = min(2**backoff, maxBackoff)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-wait.C:
			return l.newest()
		case <-l.attached:
			if c := l.newest(); c != nil {
				*backoff = minBackoff
				return c
			}
		}
	}
}

// dialOrAwait dials the peer and returns the connection, or one that the peer has opened in the
// meantime; nil if there is neither. A process that has just started may accept a connection
// long before it answers the handshake, and connect to this host first.
func (l *link) dialOrAwait(ctx context.Context) *conn {
	addr := l.address()
	if addr == "" || !l.node.addTask() {
		return nil
	}
	dialed := make(chan *conn, 1)
	go func() {
		defer l.node.tasks.Done()
		c, err := l.node.dial(ctx, l, addr)
		if err != nil {
			l.node.opts.Logger.Debug("peer_dial_failed", "peer", l.host, "addr", addr, "err", err.Error())
		}
		dialed <- c
	}()
	for {
		select {
		case c := <-dialed:
			return c
		case <-l.attached:
			if c := l.newest(); c != nil {
				return c
			}
		}
	}
}

func (l *link) write(ctx context.Context, c *conn, msg outgoing) {
	if err := c.write(ctx, msg.data); err != nil {
		l.node.metrics.dropped.WithLabelValues(msg.kind.String()).Inc()
		l.node.failSentCall(msg.callID)
		l.detach(c)
		c.cancel()
		return
	}
	l.node.count(msg.kind, directionOut, len(msg.data))
}

// serve reads messages from c until it fails or sends a malformed message, then closes and
// detaches it. When no connection to the same process remains, the requests that were sent to it
// fail: another process of the host cannot answer them.
func (l *link) serve(c *conn) {
	defer func() {
		l.detach(c)
		if l.newestTo(c.peer.Incarnation) == nil {
			l.node.failCallsTo(c.peer)
			l.node.reportLost(c.peer)
		}
	}()
	checkDone := make(chan struct{})
	go func() {
		defer close(checkDone)
		c.checkLiveness()
	}()
	defer func() {
		c.close()
		<-checkDone
	}()
	memory := l.node.opts.Memory.Open(nil)
	defer memory.Close()
	for {
		data, err := c.read(memory)
		if errors.Is(err, budget.ErrFull) {
			l.node.dropMessage(c.peer, data)
			continue
		}
		if err != nil {
			return
		}
		e, err := decodeEnvelope(data)
		if err != nil {
			l.node.countMalformed(l.host, e.Kind, err)
			c.refuse(result.PeerMalformed)
			return
		}
		l.node.count(e.Kind, directionIn, len(data))
		l.node.deliver(c.peer, e)
	}
}
