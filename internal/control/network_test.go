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
}

func newNetwork() *network {
	return &network{isolated: map[string]bool{}, byAddr: map[string]string{}}
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
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p.net.name(l.Addr().String(), p.host)
	return listener{l, p}, nil
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
