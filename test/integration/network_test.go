//go:build fleet

package integration

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/Shopify/toxiproxy/v2/toxics"
	"github.com/rs/zerolog"
)

// holdToxic holds all traffic until it is removed. Connections stay open, so that neither side sees
// an error: a partition without connection resets.
type holdToxic struct{}

// Pipe implements toxics.Toxic.
func (holdToxic) Pipe(stub *toxics.ToxicStub) { <-stub.Interrupt }

func init() { toxics.Register("hold", new(holdToxic)) }

// network is the fault-injecting network between the processes of a fleet. Each process is a node.
// The node that dials a forwarding address is identified by the process that owns the socket, so
// that each pair of nodes has a link of its own and can be partitioned separately.
type network struct {
	t   *testing.T
	api *toxiproxy.ApiServer

	// mu guards the fields below and the captured bytes.
	mu        sync.Mutex
	nodeByPID map[int]string
	isolated  map[string]bool
	cuts      map[[2]string]bool
	links     map[linkKey]*link
	listeners []net.Listener
	// captured holds the bytes sent to each node that is captured.
	captured map[string]*strings.Builder
}

// linkKey identifies a link: the dialing node, the dialed node and the dialed address of that node.
type linkKey struct {
	from, to, backend string
}

// link is the proxy between two nodes. While held, it passes no traffic in either direction.
type link struct {
	key   linkKey
	proxy *toxiproxy.Proxy
	held  bool
}

func newNetwork(t *testing.T) *network {
	logger := zerolog.New(io.Discard)
	n := &network{
		t: t, api: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), logger), nodeByPID: make(map[int]string),
		isolated: make(map[string]bool), cuts: make(map[[2]string]bool), links: make(map[linkKey]*link),
		captured: make(map[string]*strings.Builder),
	}
	t.Cleanup(n.close)
	return n
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, ln := range n.listeners {
		ln.Close()
	}
	for _, l := range n.links {
		l.proxy.Stop()
	}
}

// register records that the process pid belongs to a node.
func (n *network) register(node string, pid int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodeByPID[pid] = node
}

// capture records all bytes that are sent to the node over connections opened from now on.
func (n *network) capture(node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.captured[node] = &strings.Builder{}
}

// sentTo returns the recorded bytes sent to a node. The node must be captured.
func (n *network) sentTo(node string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.captured[node].String()
}

// forward returns a new loopback address on which it listens. It forwards the connections to
// backend, an address of the node.
func (n *network) forward(node, backend string) string {
	n.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		n.t.Fatal(err)
	}
	n.mu.Lock()
	n.listeners = append(n.listeners, ln)
	n.mu.Unlock()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go n.serve(node, backend, conn)
		}
	}()
	return ln.Addr().String()
}

func (n *network) serve(node, backend string, conn net.Conn) {
	defer conn.Close()
	addr, err := n.linkAddr(linkKey{from: n.dialer(conn), to: node, backend: backend})
	if err != nil {
		return
	}
	upstream, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer upstream.Close()
	done := make(chan struct{}, 2)
	go n.copy(upstream, conn, node, done)
	go n.copy(conn, upstream, "", done)
	<-done
}

// copy copies one direction of a connection until it ends, and then signals done. If node is
// captured, the bytes are recorded as sent to it.
func (n *network) copy(dst io.Writer, src io.Reader, node string, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	n.mu.Lock()
	captured := n.captured[node]
	n.mu.Unlock()
	if captured != nil {
		src = io.TeeReader(src, &lockedWriter{mu: &n.mu, w: captured})
	}
	_, _ = io.Copy(dst, src) // either side may end the connection
}

type lockedWriter struct {
	mu *sync.Mutex
	w  io.Writer
}

func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}

// linkAddr returns the address of a link's proxy, which it starts on first use.
func (n *network) linkAddr(key linkKey) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l, ok := n.links[key]; ok {
		return l.proxy.Listen, nil
	}
	proxy := toxiproxy.NewProxy(n.api, key.from+">"+key.to+"@"+key.backend, "127.0.0.1:0", key.backend)
	if err := proxy.Start(); err != nil {
		return "", err
	}
	l := &link{key: key, proxy: proxy}
	n.links[key] = l
	n.update(l)
	return proxy.Listen, nil
}

// update holds or releases a link according to isolated and cuts. The caller must hold mu.
func (n *network) update(l *link) {
	held := n.isolated[l.key.from] || n.isolated[l.key.to] || n.cuts[[2]string{l.key.from, l.key.to}]
	if held == l.held {
		return
	}
	l.held = held
	for _, stream := range []string{"upstream", "downstream"} {
		name := "hold_" + stream
		if !held {
			if err := l.proxy.Toxics.RemoveToxic(context.Background(), name); err != nil {
				n.t.Errorf("heal %v: %v", l.key, err)
			}
			continue
		}
		spec := `{"name":"` + name + `","type":"hold","stream":"` + stream + `"}`
		if _, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(spec)); err != nil {
			n.t.Errorf("cut %v: %v", l.key, err)
		}
	}
}

// updateAll updates every link. The caller must hold mu.
func (n *network) updateAll() {
	for _, l := range n.links {
		n.update(l)
	}
}

// isolate partitions the node from all others, or removes that partition.
func (n *network) isolate(node string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[node] = on
	n.updateAll()
}

// cut partitions two nodes from each other in both directions, or removes that partition.
func (n *network) cut(a, b string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}] = on
	n.cuts[[2]string{b, a}] = on
	n.updateAll()
}

// heal removes all partitions.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated = make(map[string]bool)
	n.cuts = make(map[[2]string]bool)
	n.updateAll()
}
