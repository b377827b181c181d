package standin

import (
	"context"
	"net"
	"sync"
	"time"
)

// Link is a kind of connection that a fault can partition.
type Link string

// Links: connections of callers, replication streams and requests that announce
// the endpoint.
const (
	LinkCallers       Link = "callers"
	LinkReplication   Link = "replication"
	LinkAnnouncements Link = "announcements"
)

// Faults are the fault switches of an endpoint, all off initially. Methods are
// safe for concurrent use.
type Faults struct {
	mu           sync.Mutex
	stalled      bool
	delay        time.Duration
	pendingDrops int
	partitioned  map[Link]bool
	// changed is closed and replaced at each change of a switch.
	changed chan struct{}
}

func newFaults() *Faults {
	return &Faults{partitioned: make(map[Link]bool), changed: make(chan struct{})}
}

// update changes the switches and wakes the connections that wait for a change.
func (f *Faults) update(set func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	set()
	close(f.changed)
	f.changed = make(chan struct{})
}

// Stall switches a stall on or off. During a stall the endpoint accepts connections and
// messages of callers but does not respond.
func (f *Faults) Stall(on bool) {
	f.update(func() { f.stalled = on })
}

// DelayResponses delays each response by d. Zero means no delay.
func (f *Faults) DelayResponses(d time.Duration) {
	f.update(func() { f.delay = d })
}

// DropAfterCommit closes the connection instead of answering after each of the
// next n commits of writing transactions.
func (f *Faults) DropAfterCommit(n int) {
	f.update(func() { f.pendingDrops = n })
}

// Partition blocks all traffic of a link. Its connections stay open, and blocked
// traffic is delivered when the partition ends.
func (f *Faults) Partition(link Link, on bool) {
	f.update(func() { f.partitioned[link] = on })
}

// Clear turns every fault off.
func (f *Faults) Clear() {
	f.update(func() {
		f.stalled, f.delay, f.pendingDrops = false, 0, 0
		f.partitioned = make(map[Link]bool)
	})
}

// responseDelay returns the delay set by DelayResponses.
func (f *Faults) responseDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delay
}

// consumeDrop reports whether to drop the response to the current commit, and
// counts it against DropAfterCommit.
func (f *Faults) consumeDrop() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pendingDrops == 0 {
		return false
	}
	f.pendingDrops--
	return true
}

// waitForLink waits while the link is partitioned or, for LinkCallers, while the
// endpoint is stalled.
func (f *Faults) waitForLink(ctx context.Context, link Link) error {
	for {
		f.mu.Lock()
		blocked := f.partitioned[link] || f.stalled && link == LinkCallers
		changed := f.changed
		f.mu.Unlock()
		if !blocked {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// faultConn is a connection whose reads and writes block while its link is
// partitioned or, for LinkCallers, while the endpoint is stalled. With an empty link,
// nothing blocks. ctx ends when the connection is closed, which ends blocked calls.
type faultConn struct {
	net.Conn
	faults *Faults
	ctx    context.Context
	cancel context.CancelFunc

	mu   sync.Mutex
	link Link
}

func newFaultConn(conn net.Conn, faults *Faults, link Link) *faultConn {
	ctx, cancel := context.WithCancel(context.Background())
	return &faultConn{Conn: conn, faults: faults, ctx: ctx, cancel: cancel, link: link}
}

func (c *faultConn) setLink(link Link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.link = link
}

func (c *faultConn) waitForLink() error {
	c.mu.Lock()
	link := c.link
	c.mu.Unlock()
	if link == "" {
		return nil
	}
	if err := c.faults.waitForLink(c.ctx, link); err != nil {
		return net.ErrClosed
	}
	return nil
}

// Read implements net.Conn.
func (c *faultConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		return n, err
	}
	return n, c.waitForLink()
}

// Write implements net.Conn.
func (c *faultConn) Write(p []byte) (int, error) {
	if err := c.waitForLink(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *faultConn) Close() error {
	c.cancel()
	return c.Conn.Close()
}

// setPartitions partitions the given links and restores all others.
func (f *Faults) setPartitions(links []Link) {
	f.update(func() {
		f.partitioned = make(map[Link]bool)
		for _, link := range links {
			f.partitioned[link] = true
		}
	})
}
