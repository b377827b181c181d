package peer

import (
	"context"
	"sync"
	"time"

	"github.com/galenabridge/galenabridge/internal/result"
)

// Timing of connections.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// connectTimeout bounds the opening packets: a machine without power answers
	// nothing, and the system would send them again only after a second.
	connectTimeout   = 400 * time.Millisecond
	handshakeTimeout = 2 * time.Second
	writeTimeout     = 2 * time.Second
	// pingInterval is the silence after which a connection is probed.
	pingInterval = 1 * time.Second
	pingTimeout  = 2 * time.Second
	// idleTimeout closes connections that carry no messages.
	idleTimeout = 60 * time.Second
)

// link owns the connections to one peer and its outgoing queue.
type link struct {
	node  *Node
	host  string
	queue *queue

	mu    sync.Mutex
	addr  string
	conns []*conn // the newest last
}

func newLink(n *Node, host string) *link {
	dropped := func(kind Kind) { n.metrics.dropped.WithLabelValues(kind.String()).Inc() }
	return &link{node: n, host: host, queue: newQueue(dropped)}
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

// newest returns the connection to send on, or nil.
func (l *link) newest() *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) == 0 {
		return nil
	}
	return l.conns[len(l.conns)-1]
}

func (l *link) attach(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	if c.peer.Addr != "" {
		l.addr = c.peer.Addr
	}
	l.node.metrics.conns.Inc()
}

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

// dropOlder closes the connections to processes older than incarnation.
func (l *link) dropOlder(incarnation uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if c.peer.Incarnation < incarnation {
			c.cancel()
		}
	}
}

// run sends the queued messages and dials when there are some but no
// connection.
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
		if l.host == l.node.opts.Host {
			l.loop(msg)
			continue
		}
		c := l.newest()
		if c == nil {
			c = l.connect(ctx, &backoff)
		}
		if c == nil {
			l.node.metrics.dropped.WithLabelValues(msg.kind.String()).Inc()
			if ctx.Err() != nil {
				return
			}
			continue
		}
		l.write(ctx, c, msg)
	}
}

// loop passes a message of this host to itself.
func (l *link) loop(msg outgoing) {
	e, err := decodeEnvelope(msg.data)
	if err != nil {
		l.node.malformed(l.host, msg.kind, err)
		return
	}
	opts := l.node.opts
	self := Identity{Host: opts.Host, Incarnation: opts.Incarnation, Addr: l.node.advertised()}
	l.node.deliver(self, e)
}

// connect dials the peer once. After a failure it drops what is queued, fails
// the waiting requests and waits for the back-off time.
func (l *link) connect(ctx context.Context, backoff *time.Duration) *conn {
	addr := l.address()
	if addr != "" {
		c, err := l.node.dial(ctx, l, addr)
		if err == nil {
			*backoff = minBackoff
			return c
		}
		l.node.opts.Logger.Debug("peer_dial_failed", "peer", l.host, "addr", addr, "err", err.Error())
	}
	l.queue.clear()
	l.node.failCalls(l.host)
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(*backoff):
	}
	*backoff = min(2**backoff, maxBackoff)
	// The peer may have connected by itself in the meantime.
	return l.newest()
}

func (l *link) write(ctx context.Context, c *conn, msg outgoing) {
	if err := c.write(ctx, msg.data); err != nil {
		l.node.metrics.dropped.WithLabelValues(msg.kind.String()).Inc()
		l.detach(c)
		c.cancel()
		return
	}
	l.node.metrics.count(msg.kind, directionOut, len(msg.data))
}

// serve reads the connection until it fails. It detaches the connection and
// fails the waiting requests when none is left.
func (l *link) serve(c *conn) {
	defer func() {
		l.detach(c)
		if l.newest() == nil {
			l.node.failCalls(l.host)
		}
	}()
	probed := make(chan struct{})
	go func() {
		defer close(probed)
		c.probe()
	}()
	defer func() {
		c.close()
		<-probed
	}()
	for {
		data, err := c.read()
		if err != nil {
			return
		}
		e, err := decodeEnvelope(data)
		if err != nil {
			l.node.malformed(l.host, e.Kind, err)
			c.refuse(result.PeerMalformed)
			return
		}
		l.node.metrics.count(e.Kind, directionIn, len(data))
		l.node.deliver(c.peer, e)
	}
}
