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

// holdToxic holds all traffic until it is removed, while connections stay open:
// a silent partition.
type holdToxic struct{}

// Pipe implements toxics.Toxic.
func (holdToxic) Pipe(stub *toxics.ToxicStub) { <-stub.Interrupt }

func init() { toxics.Register("hold", new(holdToxic)) }

// network links the processes of a fleet. Each process is a node; whoever dials
// a node's front is told apart by the process that owns the connection, so that
// each pair of nodes has a link of its own.
type network struct {
	t   *testing.T
	api *toxiproxy.ApiServer

	mu       sync.Mutex
	pids     map[int]string
	isolated map[string]bool
	cuts     map[[2]string]bool
	links    map[linkKey]*link
	fronts   []net.Listener
	// seen keeps the bytes sent to nodes that are watched.
	seen map[string]*strings.Builder
}

type linkKey struct {
	from, to, backend string
}

type link struct {
	key   linkKey
	proxy *toxiproxy.Proxy
	held  bool
}

func newNetwork(t *testing.T) *network {
	logger := zerolog.New(io.Discard)
	n := &network{
		t: t, api: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), logger), pids: make(map[int]string),
		isolated: make(map[string]bool), cuts: make(map[[2]string]bool), links: make(map[linkKey]*link),
		seen: make(map[string]*strings.Builder),
	}
	t.Cleanup(n.close)
	return n
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, ln := range n.fronts {
		ln.Close()
	}
	for _, l := range n.links {
		l.proxy.Stop()
	}
}

// register tells which process is the node.
func (n *network) register(node string, pid int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pids[pid] = node
}

// watch keeps all bytes that are sent to the node from now on.
func (n *network) watch(node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seen[node] = &strings.Builder{}
}

// sentTo returns the bytes sent to a watched node.
func (n *network) sentTo(node string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.seen[node].String()
}

// front opens an address that leads to the node's address backend.
func (n *network) front(node, backend string) string {
	n.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		n.t.Fatal(err)
	}
	n.mu.Lock()
	n.fronts = append(n.fronts, ln)
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
	addr, err := n.linkAddr(linkKey{from: n.owner(conn), to: node, backend: backend})
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

// copy copies one direction; the end of either direction ends the connection.
func (n *network) copy(dst io.Writer, src io.Reader, node string, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	n.mu.Lock()
	seen := n.seen[node]
	n.mu.Unlock()
	if seen != nil {
		src = io.TeeReader(src, &lockedWriter{mu: &n.mu, w: seen})
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

// linkAddr returns the address of the link, which it opens when needed.
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

// update brings a link in line with the cuts.
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

func (n *network) updateAll() {
	for _, l := range n.links {
		n.update(l)
	}
}

// isolate holds all traffic from and to the node, or lets it pass again.
func (n *network) isolate(node string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[node] = on
	n.updateAll()
}

// cut holds the traffic between two nodes in both directions.
func (n *network) cut(a, b string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}] = on
	n.cuts[[2]string{b, a}] = on
	n.updateAll()
}

// heal removes every cut.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated = make(map[string]bool)
	n.cuts = make(map[[2]string]bool)
	n.updateAll()
}
