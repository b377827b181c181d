package control_test

import (
	"context"
	"errors"
	"net"
	"sync"
)

// network carries the connections between the hosts of a test and can isolate
// hosts. Bytes sent by or to an isolated host are dropped without an error.
// Connections that have lost bytes fail once the isolation ends.
type network struct {
	mu           sync.Mutex
	isolated     map[string]bool
	byAddr       map[string]string // listener or dialer address to host
	reservations map[string]*reservation
}

func newNetwork() *network {
	return &network{isolated: map[string]bool{}, byAddr: map[string]string{}, reservations: map[string]*reservation{}}
}

func (n *network) isolate(host string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[host] = isolated
}

// setHost records the host of a listener or dialer address.
func (n *network) setHost(addr, host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.byAddr[addr] = host
}

// dropped reports whether bytes from a host to an address are dropped.
func (n *network) dropped(from, toAddr string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolated[from] || n.isolated[n.byAddr[toAddr]]
}

// transport is the peer.Transport of one host.
type transport struct {
	net  *network
	host string
}

func (p transport) Listen(addr string) (net.Listener, error) {
	if r := p.net.reservation(addr); r != nil {
		return r.attach(p), nil
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p.net.setHost(l.Addr().String(), p.host)
	return listener{l, p}, nil
}

// reservation keeps an address bound while its host restarts, so that no other
// process can bind it. Connections are closed while no process listens.
type reservation struct {
	net.Listener
	mu      sync.Mutex
	current *reservedListener
}

// reservedListener is the listener of one process at a reserved address.
type reservedListener struct {
	*reservation
	transport transport
	conns     chan net.Conn
	closed    chan struct{}
	once      sync.Once
}

// reserve binds a free address.
func (n *network) reserve() (*reservation, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &reservation{Listener: l}
	n.mu.Lock()
	n.reservations[l.Addr().String()] = r
	n.mu.Unlock()
	go r.serve()
	return r, nil
}

func (n *network) reservation(addr string) *reservation {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reservations[addr]
}

func (r *reservation) serve() {
	for {
		c, err := r.Listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		current := r.current
		r.mu.Unlock()
		if current == nil {
			_ = c.Close()
			continue
		}
		select {
		case current.conns <- c:
		case <-current.closed:
			_ = c.Close()
		}
	}
}

func (r *reservation) attach(p transport) net.Listener {
	p.net.setHost(r.Addr().String(), p.host)
	a := &reservedListener{reservation: r, transport: p, conns: make(chan net.Conn), closed: make(chan struct{})}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current = a
	return a
}

func (a *reservedListener) Accept() (net.Conn, error) {
	select {
	case c := <-a.conns:
		return &lossyConn{Conn: c, transport: a.transport}, nil
	case <-a.closed:
		return nil, net.ErrClosed
	}
}

func (a *reservedListener) Close() error {
	a.once.Do(func() {
		close(a.closed)
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.current == a {
			a.current = nil
		}
	})
	return nil
}

func (p transport) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if p.net.dropped(p.host, addr) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	p.net.setHost(c.LocalAddr().String(), p.host)
	return &lossyConn{Conn: c, transport: p}, nil
}

type listener struct {
	net.Listener
	transport transport
}

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lossyConn{Conn: c, transport: l.transport}, nil
}

// lossyConn drops written bytes while one of its hosts is isolated.
type lossyConn struct {
	net.Conn
	transport    transport
	mu           sync.Mutex
	hasLostBytes bool
}

func (c *lossyConn) Write(p []byte) (int, error) {
	dropped := c.transport.net.dropped(c.transport.host, c.RemoteAddr().String())
	c.mu.Lock()
	defer c.mu.Unlock()
	if dropped {
		c.hasLostBytes = true
		return len(p), nil
	}
	if c.hasLostBytes {
		_ = c.Close()
		return 0, errors.New("connection lost bytes")
	}
	return c.Conn.Write(p)
}
