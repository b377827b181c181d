package standin

import (
	"context"
	"net"
	"sync"
	"time"
)

// Link names a kind of connection that a fault can cut.
type Link string

// Links.
const (
	LinkCallers       Link = "callers"
	LinkReplication   Link = "replication"
	LinkAnnouncements Link = "announcements"
)

// Faults are the fault switches of an endpoint. All are off at first. It is
// safe for concurrent use.
type Faults struct {
	mu      sync.Mutex
	stalled bool
	late    time.Duration
	drops   int
	cut     map[Link]bool
	changed chan struct{}
}

func newFaults() *Faults {
	return &Faults{cut: make(map[Link]bool), changed: make(chan struct{})}
}

func (f *Faults) update(set func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	set()
	close(f.changed)
	f.changed = make(chan struct{})
}

// Stall makes the endpoint accept connections and messages without answering.
func (f *Faults) Stall(on bool) {
	f.update(func() { f.stalled = on })
}

// DelayResponses delays each response by d. Zero means no delay.
func (f *Faults) DelayResponses(d time.Duration) {
	f.update(func() { f.late = d })
}

// DropAfterCommit closes the connection instead of answering after each of the
// next n commits of writing transactions.
func (f *Faults) DropAfterCommit(n int) {
	f.update(func() { f.drops = n })
}

// Partition holds all traffic of a link while its connections stay open.
func (f *Faults) Partition(link Link, on bool) {
	f.update(func() { f.cut[link] = on })
}

// Clear turns every fault off.
func (f *Faults) Clear() {
	f.update(func() {
		f.stalled, f.late, f.drops = false, 0, 0
		f.cut = make(map[Link]bool)
	})
}

func (f *Faults) lateness() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.late
}

// takeDrop reports whether the answer to a commit is to be dropped.
func (f *Faults) takeDrop() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.drops == 0 {
		return false
	}
	f.drops--
	return true
}

// await waits while the link is cut or, on the callers' link, the endpoint is
// stalled.
func (f *Faults) await(ctx context.Context, link Link) error {
	for {
		f.mu.Lock()
		held := f.cut[link] || f.stalled && link == LinkCallers
		changed := f.changed
		f.mu.Unlock()
		if !held {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// gatedConn is a connection whose traffic is held while its link is cut.
type gatedConn struct {
	net.Conn
	faults *Faults
	ctx    context.Context
	cancel context.CancelFunc

	mu   sync.Mutex
	link Link
}

func newGatedConn(conn net.Conn, faults *Faults, link Link) *gatedConn {
	ctx, cancel := context.WithCancel(context.Background())
	return &gatedConn{Conn: conn, faults: faults, ctx: ctx, cancel: cancel, link: link}
}

func (c *gatedConn) setLink(link Link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.link = link
}

func (c *gatedConn) await() error {
	c.mu.Lock()
	link := c.link
	c.mu.Unlock()
	if link == "" {
		return nil
	}
	if err := c.faults.await(c.ctx, link); err != nil {
		return net.ErrClosed
	}
	return nil
}

// Read implements net.Conn.
func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		return n, err
	}
	return n, c.await()
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	if err := c.await(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *gatedConn) Close() error {
	c.cancel()
	return c.Conn.Close()
}

// cutOnly cuts the given links and restores the others.
func (f *Faults) cutOnly(links []Link) {
	f.update(func() {
		f.cut = make(map[Link]bool)
		for _, link := range links {
			f.cut[link] = true
		}
	})
}
