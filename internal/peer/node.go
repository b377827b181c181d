// Package peer carries typed messages between the hosts of a fleet, encoded as CBOR in
// WebSocket messages over TCP. Both sides of a connection prove that they hold the fleet
// secret before any message is delivered.
//
// Messages may be lost, and messages on different connections may be reordered. Sending
// never blocks.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenabridge/galenabridge/internal/activity"
	"github.com/galenabridge/galenabridge/internal/budget"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/supervise"
	"github.com/galenabridge/galenabridge/internal/tcpopt"
)

// Options configure a Node.
type Options struct {
	// Host is the name that identifies this host in the fleet.
	Host        string
	Fleet       string
	Secret      string
	Incarnation uint64 // higher for a newer process of the same host
	// Listen is the IP address and port to accept peers on.
	Listen string
	// Advertise is the address that peers dial. If empty, it is the address that
	// the listener is bound to.
	Advertise string
	// TLS configures mutual TLS; nil means no encryption.
	TLS *tls.Config
	// Transport opens the connections; nil means TCP.
	Transport Transport
	// CountBytes is called with the size of each message that was sent or received; it may be
	// nil.
	CountBytes func(bytes int)
	Registry   prometheus.Registerer
	Logger     *log.Logger
	// Memory pays for the requests of callers and their replies while they are read; nil means no limit.
	Memory *budget.Budget
	// OnReplaced is called once, when a newer process of this host is detected.
	OnReplaced func()
}

// Identity identifies the process at the other end of a connection.
type Identity struct {
	Host        string
	Incarnation uint64
	// Addr is the address at which the peer accepts connections.
	Addr string
}

// Handler receives one-way messages. It must not block.
type Handler func(from Identity, body []byte)

// CallHandler handles requests and returns the response. Each call runs in its own
// goroutine. An error is sent to the caller with its result code.
type CallHandler func(ctx context.Context, from Identity, body []byte) (any, error)

// Node manages the connections of this host to its peers, sends and receives messages and
// dispatches them to handlers. It is safe for concurrent use.
type Node struct {
	opts    Options
	metrics *metrics

	mu           sync.Mutex
	listener     net.Listener
	links        map[string]*link
	incarnations map[string]uint64
	handlers     map[Kind]Handler
	callHandlers map[Kind]CallHandler
	onLost       func(Identity)
	pending      map[uint64]*pendingCall
	lastCallID   uint64

	ctx         context.Context
	cancel      context.CancelFunc
	tasks       sync.WaitGroup
	callSlots   chan struct{}
	callerSlots chan struct{} // for kinds that are fromCallers
	acceptSlots chan struct{}
	replaceOnce sync.Once
}

// Limits on the concurrent work that peers can cause.
const (
	maxCalls       = 512  // requests of the fleet being handled
	maxCallerCalls = 2048 // requests of callers being handled
	maxAccepts     = 512  // handshakes in progress
)

// NewNode returns a Node with the given options. It does not listen until Listen or Run
// is called.
func NewNode(opts Options) *Node {
	if opts.Transport == nil {
		opts.Transport = &tcp{dialer: net.Dialer{Timeout: connectTimeout, Control: tcpopt.DialControl(unackedTimeout)}}
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
		callHandlers: make(map[Kind]CallHandler),
		pending:      make(map[uint64]*pendingCall),
		ctx:          ctx,
		cancel:       cancel,
		callSlots:    make(chan struct{}, maxCalls),
		callerSlots:  make(chan struct{}, maxCallerCalls),
		acceptSlots:  make(chan struct{}, maxAccepts),
	}
}

// Host returns the name that identifies this host in the fleet.
func (n *Node) Host() string { return n.opts.Host }

// Incarnation returns the incarnation of this process.
func (n *Node) Incarnation() uint64 { return n.opts.Incarnation }

// Addr returns the address that peers dial. It is valid once Listen has succeeded.
func (n *Node) Addr() string { return n.advertised() }

// Activity lists the counters that are reported in the log.
func (n *Node) Activity() []activity.Counter {
	out := prometheus.Labels{"direction": directionOut}
	return []activity.Counter{
		{Name: "sent_messages", Collector: n.metrics.messages, Label: "kind", Only: out},
		{Name: "sent_bytes", Collector: n.metrics.bytes, Label: "kind", Only: out},
	}
}

// Handle registers the handler of one-way messages of a kind. It must be called before
// Run.
func (n *Node) Handle(kind Kind, h Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[kind] = h
}

// HandleCall registers the handler of requests of a kind. It must be called before Run.
func (n *Node) HandleCall(kind Kind, h CallHandler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.callHandlers[kind] = h
}

// OnLost registers a function that is called when the last connection to a process of a
// peer was lost. It must not block, and must be registered before Run.
func (n *Node) OnLost(f func(Identity)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onLost = f
}

// reportLost calls the function registered with OnLost.
func (n *Node) reportLost(peer Identity) {
	n.mu.Lock()
	f := n.onLost
	n.mu.Unlock()
	if f != nil {
		f(peer)
	}
}

// On registers a handler of one-way messages of type T. Bodies that do not
// decode into a T are counted as malformed and dropped.
func On[T any](n *Node, kind Kind, handle func(from Identity, msg T)) {
	n.Handle(kind, func(from Identity, body []byte) {
		var msg T
		if err := Unmarshal(body, &msg); err != nil {
			n.countMalformed(from.Host, kind, err)
			return
		}
		handle(from, msg)
	})
}

// OnCall registers a handler of requests of type T with responses of type R. Bodies that
// do not decode into a T are counted as malformed and fail with PeerMalformed.
func OnCall[T, R any](n *Node, kind Kind, handle func(ctx context.Context, from Identity, msg T) (R, error)) {
	n.HandleCall(kind, func(ctx context.Context, from Identity, body []byte) (any, error) {
		var msg T
		if err := Unmarshal(body, &msg); err != nil {
			n.countMalformed(from.Host, kind, err)
			return nil, err
		}
		return handle(ctx, from, msg)
	})
}

// ObserveIncarnation records that a process of host with the given incarnation exists. It
// returns false when a newer one is recorded. Connections to older processes of the host
// are closed. The recorded incarnation of a host never decreases.
func (n *Node) ObserveIncarnation(host string, incarnation uint64) bool {
	n.mu.Lock()
	newest := n.incarnations[host]
	if incarnation > newest {
		n.incarnations[host] = incarnation
	}
	l := n.links[host]
	n.mu.Unlock()
	if incarnation > newest && l != nil {
		l.closeOlder(incarnation)
	}
	if host == n.opts.Host && incarnation > n.opts.Incarnation {
		n.reportReplaced()
	}
	return incarnation >= newest
}

// Reaches reports whether there is a connection to a host. It always reaches itself.
func (n *Node) Reaches(host string) bool {
	if host == n.opts.Host {
		return true
	}
	n.mu.Lock()
	l := n.links[host]
	n.mu.Unlock()
	return l != nil && l.newest() != nil
}

// NewestIncarnation returns the highest incarnation recorded for a host, or zero.
func (n *Node) NewestIncarnation(host string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.incarnations[host]
}

// Send queues a one-way message to host. The address is dialed when there is
// no connection; it may be empty when the peer has connected to this host. Send
// does not block, and a nil error does not mean that the message is delivered.
func (n *Node) Send(host, addr string, kind Kind, msg any) error {
	body, err := Marshal(msg)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	return n.send(host, addr, envelope{Kind: kind, Body: body})
}

// SendTo is Send to one process of a host. The message is dropped if only another process of the
// host can be reached: answers are meaningless to a process that did not ask.
func (n *Node) SendTo(to Identity, kind Kind, msg any) error {
	body, err := Marshal(msg)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	return n.sendTo(to, envelope{Kind: kind, Body: body})
}

// send queues a message for whichever process of the host is reached.
func (n *Node) send(host, addr string, e envelope) error {
	return n.sendTo(Identity{Host: host, Addr: addr}, e)
}

// sendTo queues a message for the process to, or for any process of the host if its
// incarnation is zero.
func (n *Node) sendTo(to Identity, e envelope) error {
	data, err := Marshal(e)
	if err != nil {
		return errors.Wrap(err, "encode envelope")
	}
	if len(data) > MaxMessage {
		return result.New(result.MessageTooLarge, "message of %d bytes to a peer", len(data))
	}
	l := n.link(to.Host)
	l.setAddr(to.Addr)
	msg := outgoing{kind: e.Kind, data: data, incarnation: to.Incarnation}
	if !e.Reply {
		msg.callID = e.ID
	}
	return l.queue.put(msg)
}

// deliver dispatches a received message to the pending call or the handler that it is for.
// A one-way message without a handler is dropped, as is one whose handler panics.
func (n *Node) deliver(from Identity, e envelope) {
	defer supervise.Recover(n.opts.Logger, "peer "+e.Kind.String())
	switch {
	case e.Reply:
		n.finishCall(from, e)
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

// countMalformed counts and logs a message that could not be decoded.
func (n *Node) countMalformed(host string, kind Kind, err error) {
	n.metrics.countRefusal(result.PeerMalformed)
	n.opts.Logger.Warn("peer_malformed", "peer", host, "kind", kind, "err", err.Error())
}

// reportReplaced calls Options.OnReplaced, at most once.
func (n *Node) reportReplaced() {
	n.replaceOnce.Do(func() {
		n.opts.Logger.Error("host_replaced", "host", n.opts.Host, "incarnation", n.opts.Incarnation)
		if n.opts.OnReplaced != nil {
			n.opts.OnReplaced()
		}
	})
}

// advertised returns the address that peers dial: the configured one, else the one that the
// listener is bound to, else, before Listen, the one to listen on.
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

// link returns the link to host. It creates and starts the link on first use.
func (n *Node) link(host string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.links[host]
	if l != nil {
		return l
	}
	l = newLink(n, host)
	n.links[host] = l
	if n.addTaskLocked() {
		go func() {
			defer n.tasks.Done()
			l.run(n.ctx)
		}()
	}
	return l
}

// addTaskLocked adds a goroutine to those that Run waits for. It returns false when the
// Node has stopped; the goroutine must then not be started. The caller holds n.mu.
func (n *Node) addTaskLocked() bool {
	if n.ctx.Err() != nil {
		return false
	}
	n.tasks.Add(1)
	return true
}
