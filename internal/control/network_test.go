package control_test

import (
	"context"
	"errors"
	"net"
	"sync"
)

// network carries the connections between the hosts of a test and can isolate
// hosts: what passes an isolated host vanishes silently. Connections that lost
// bytes fail once the isolation ends.
type network struct {
	mu       sync.Mutex
	isolated map[string]bool
	byAddr   map[string]string // listener or dialer address to host
	reserved map[string]*reservation
}

func newNetwork() *network {
	return &network{isolated: map[string]bool{}, byAddr: map[string]string{}, reserved: map[string]*reservation{}}
}

func (n *network) isolate(host string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[host] = isolated
}

func (n *network) name(addr, host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.byAddr[addr] = host
}

func (n *network) cut(from, toAddr string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolated[from] || n.isolated[n.byAddr[toAddr]]
}

// port is the peer.Transport of one host.
type port struct {
	net  *network
	host string
}

func (p port) Listen(addr string) (net.Listener, error) {
	if r := p.net.reservation(addr); r != nil {
		return r.attach(p), nil
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p.net.name(l.Addr().String(), p.host)
	return listener{l, p}, nil
}

// reservation keeps an address over restarts of its host, so that nobody else
// can take it. Connections that nobody accepts are closed.
type reservation struct {
	net.Listener
	mu    sync.Mutex
	taker *attached
}

// attached is the listener of one process at a reserved address.
type attached struct {
	*reservation
	port   port
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// reserve binds a free address.
func (n *network) reserve() (*reservation, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &reservation{Listener: l}
	n.mu.Lock()
	n.reserved[l.Addr().String()] = r
	n.mu.Unlock()
	go r.serve()
	return r, nil
}

func (n *network) reservation(addr string) *reservation {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reserved[addr]
}

func (r *reservation) serve() {
	for {
		c, err := r.Listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		taker := r.taker
		r.mu.Unlock()
		if taker == nil {
			_ = c.Close()
			continue
		}
		select {
		case taker.conns <- c:
		case <-taker.closed:
			_ = c.Close()
		}
	}
}

func (r *reservation) attach(p port) net.Listener {
	p.net.name(r.Addr().String(), p.host)
	a := &attached{reservation: r, port: p, conns: make(chan net.Conn), closed: make(chan struct{})}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.taker = a
	return a
}

func (a *attached) Accept() (net.Conn, error) {
	select {
	case c := <-a.conns:
		return &lossyConn{Conn: c, port: a.port}, nil
	case <-a.closed:
		return nil, net.ErrClosed
	}
}

func (a *attached) Close() error {
	a.once.Do(func() {
		close(a.closed)
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.taker == a {
			a.taker = nil
		}
	})
	return nil
}

func (p port) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if p.net.cut(p.host, addr) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	p.net.name(c.LocalAddr().String(), p.host)
	return &lossyConn{Conn: c, port: p}, nil
}

type listener struct {
	net.Listener
	port port
}

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lossyConn{Conn: c, port: l.port}, nil
}

type lossyConn struct {
	net.Conn
	port port
	mu   sync.Mutex
	lost bool
}

func (c *lossyConn) Write(p []byte) (int, error) {
	cut := c.port.net.cut(c.port.host, c.RemoteAddr().String())
	c.mu.Lock()
	defer c.mu.Unlock()
	if cut {
		c.lost = true
		return len(p), nil
	}
	if c.lost {
		_ = c.Close()
		return 0, errors.New("connection lost bytes")
	}
	return c.Conn.Write(p)
}
