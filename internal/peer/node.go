// Package peer carries typed messages between the hosts of a fleet: CBOR in
// WebSocket messages over TCP. Peers prove to each other that they hold the
// fleet secret before any message is passed on.
//
// Messages may be lost, and messages on different connections may overtake
// each other. Senders never block.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenabridge/galenabridge/internal/result"
)

// Options configure a Node.
type Options struct {
	// Host is the identity of this host.
	Host        string
	Fleet       string
	Secret      string
	Incarnation uint64
	// Listen is the IP address and port to accept peers on.
	Listen string
	// Advertise is the address that peers dial; empty means the address that
	// the listener is bound to.
	Advertise string
	// TLS is nil for plain TCP.
	TLS *tls.Config
	// Transport is nil for TCP.
	Transport Transport
	Registry  prometheus.Registerer
	Logger    *log.Logger
	// OnReplaced is called when a newer process of this host was seen.
	OnReplaced func()
}

// Identity names a connected peer.
type Identity struct {
	Host        string
	Incarnation uint64
	// Addr is the address at which the peer accepts connections.
	Addr string
}

// Handler receives one-way messages. It must not block.
type Handler func(from Identity, body []byte)

// CallHandler answers requests. It runs in a goroutine of its own. An error
// reaches the caller with its result code.
type CallHandler func(ctx context.Context, from Identity, body []byte) (any, error)

// Node is a host's end of all connections to its peers. It is safe for
// concurrent use.
type Node struct {
	opts    Options
	metrics *metrics

	mu           sync.Mutex
	listener     net.Listener
	links        map[string]*link
	incarnations map[string]uint64
	handlers     map[Kind]Handler
	calls        map[Kind]CallHandler
	pending      map[uint64]*pendingCall
	nextCall     uint64

	ctx         context.Context
	cancel      context.CancelFunc
	tasks       sync.WaitGroup
	callSlots   chan struct{}
	acceptSlots chan struct{}
	replaceOnce sync.Once
}

// Bounds on the work that peers can cause at once.
const (
	maxCalls   = 512
	maxAccepts = 512
)

// NewNode returns a Node that neither listens nor dials yet.
func NewNode(opts Options) *Node {
	if opts.Transport == nil {
		opts.Transport = &tcp{dialer: net.Dialer{Timeout: connectTimeout}}
	}
	if opts.Logger == nil {
		opts.Logger = log.Default()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Node{
		opts:         opts,
		metrics:      newMetrics(opts.Registry),
		links:        make(map[string]*link),
		incarnations: make(map[string]uint64),
		handlers:     make(map[Kind]Handler),
		calls:        make(map[Kind]CallHandler),
		pending:      make(map[uint64]*pendingCall),
		ctx:          ctx,
		cancel:       cancel,
		callSlots:    make(chan struct{}, maxCalls),
		acceptSlots:  make(chan struct{}, maxAccepts),
	}
}

// Host returns the identity of this host.
func (n *Node) Host() string { return n.opts.Host }

// Incarnation returns the incarnation of this process.
func (n *Node) Incarnation() uint64 { return n.opts.Incarnation }

// Addr returns the address that peers dial, once Listen has succeeded.
func (n *Node) Addr() string { return n.advertised() }

// Handle registers the handler of one-way messages of a kind. Register before
// Run.
func (n *Node) Handle(kind Kind, h Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[kind] = h
}

// HandleCall registers the handler of requests of a kind. Register before Run.
func (n *Node) HandleCall(kind Kind, h CallHandler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls[kind] = h
}

// On registers a handler of one-way messages of type T. Bodies that do not
// hold a T are counted as malformed and dropped.
func On[T any](n *Node, kind Kind, handle func(from Identity, msg T)) {
	n.Handle(kind, func(from Identity, body []byte) {
		var msg T
		if err := Unmarshal(body, &msg); err != nil {
			n.malformed(from.Host, kind, err)
			return
		}
		handle(from, msg)
	})
}

// OnCall registers a handler of requests of type T with answers of type R.
func OnCall[T, R any](n *Node, kind Kind, handle func(ctx context.Context, from Identity, msg T) (R, error)) {
	n.HandleCall(kind, func(ctx context.Context, from Identity, body []byte) (any, error) {
		var msg T
		if err := Unmarshal(body, &msg); err != nil {
			n.malformed(from.Host, kind, err)
			return nil, err
		}
		return handle(ctx, from, msg)
	})
}

// ObserveIncarnation records that a process of host with the given incarnation exists. It
// reports false when a newer one is known. Connections to older processes are
// closed.
func (n *Node) ObserveIncarnation(host string, incarnation uint64) bool {
	n.mu.Lock()
	known := n.incarnations[host]
	if incarnation > known {
		n.incarnations[host] = incarnation
	}
	l := n.links[host]
	n.mu.Unlock()
	if incarnation > known && l != nil {
		l.dropOlder(incarnation)
	}
	if host == n.opts.Host && incarnation > n.opts.Incarnation {
		n.replaced()
	}
	return incarnation >= known
}

// NewestIncarnation returns the incarnation of the newest process of a host that was
// observed, or zero.
func (n *Node) NewestIncarnation(host string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.incarnations[host]
}

// Send queues a one-way message to host. The address is dialed when there is
// no connection; it may be empty when the peer has connected by itself. Send
// does not block, and a nil error does not mean that the message arrives.
func (n *Node) Send(host, addr string, kind Kind, msg any) error {
	body, err := Marshal(msg)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	return n.send(host, addr, envelope{Kind: kind, Body: body})
}

func (n *Node) send(host, addr string, e envelope) error {
	data, err := Marshal(e)
	if err != nil {
		return errors.Wrap(err, "encode envelope")
	}
	if len(data) > MaxMessage {
		return result.New(result.MessageTooLarge, "message of %d bytes to a peer", len(data))
	}
	l := n.link(host)
	l.setAddr(addr)
	return l.queue.put(outgoing{kind: e.Kind, data: data})
}

// deliver passes a decoded message to its handler.
func (n *Node) deliver(from Identity, e envelope) {
	switch {
	case e.Reply:
		n.finishCall(from.Host, e)
	case e.ID != 0:
		n.serveCall(from, e)
	default:
		n.mu.Lock()
		handle := n.handlers[e.Kind]
		n.mu.Unlock()
		if handle != nil {
			handle(from, e.Body)
		}
	}
}

func (n *Node) malformed(host string, kind Kind, err error) {
	n.metrics.refuse(result.PeerMalformed)
	n.opts.Logger.Warn("peer_malformed", "peer", host, "kind", kind, "err", err.Error())
}

func (n *Node) replaced() {
	n.replaceOnce.Do(func() {
		n.opts.Logger.Error("host_replaced", "host", n.opts.Host, "incarnation", n.opts.Incarnation)
		if n.opts.OnReplaced != nil {
			n.opts.OnReplaced()
		}
	})
}

func (n *Node) advertised() string {
	if n.opts.Advertise != "" {
		return n.opts.Advertise
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listener == nil {
		return n.opts.Listen
	}
	return n.listener.Addr().String()
}

// link returns the link to host and starts it when it is new.
func (n *Node) link(host string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.links[host]
	if l != nil {
		return l
	}
	l = newLink(n, host)
	n.links[host] = l
	if n.begin() {
		go func() {
			defer n.tasks.Done()
			l.run(n.ctx)
		}()
	}
	return l
}

// begin counts a goroutine that Run waits for, unless the Node has stopped.
// The caller holds n.mu.
func (n *Node) begin() bool {
	if n.ctx.Err() != nil {
		return false
	}
	n.tasks.Add(1)
	return true
}
