package budget

import (
	"container/list"
	"sync"
)

// Connections bounds the number of open connections of a port. When a new one exceeds the limit,
// the oldest one that waits is closed in its place: one that has not started a session, or that
// serves no request. It is safe for concurrent use.
type Connections struct {
	limit int // zero means none

	mu      sync.Mutex
	open    int
	waiting list.List      // of *Connection, oldest first
	owners  map[string]int // connections by owner, of those that have one
}

// ownerShare is the part of the connections that one owner may have, so that the idle ones of one
// cannot keep out the callers of all others. None of many owners comes near it.
const ownerShare = 0.75

// NewConnections returns a limit of n connections; zero means none.
func NewConnections(n int) *Connections {
	return &Connections{limit: n, owners: make(map[string]int)}
}

// Connection is one open connection.
type Connection struct {
	all     *Connections
	close   func()
	element *list.Element // in Connections.waiting, nil while it does not wait
	removed bool
	owner   *string
}

// Add adds a connection that waits. close closes it, and is called without locks. If there are too
// many, the oldest one that waits is closed, and evicted is true. Add returns nil if none can be.
func (c *Connections) Add(close func()) (added *Connection, evicted bool) {
	c.mu.Lock()
	var oldest *Connection
	if c.limit > 0 && c.open >= c.limit {
		front := c.waiting.Front()
		if front == nil {
			c.mu.Unlock()
			return nil, false
		}
		oldest = front.Value.(*Connection)
		oldest.removeLocked()
	}
	added = &Connection{all: c, close: close}
	added.element = c.waiting.PushBack(added)
	c.open++
	c.mu.Unlock()
	if oldest != nil {
		oldest.close()
	}
	return added, oldest != nil
}

// Open returns the number of open connections.
func (c *Connections) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// SetWaiting sets whether the connection waits, and may be closed in favor of others.
func (n *Connection) SetWaiting(waiting bool) {
	c := n.all
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case n.removed:
	case waiting && n.element == nil:
		n.element = c.waiting.PushBack(n)
	case !waiting && n.element != nil:
		c.waiting.Remove(n.element)
		n.element = nil
	}
}

// Keep ends the waiting of a connection for good and assigns it to an owner. It returns false, and
// changes nothing, if the owner has as many as it may or the connection was removed.
func (n *Connection) Keep(owner string) bool {
	c := n.all
	c.mu.Lock()
	defer c.mu.Unlock()
	if n.removed || c.limit > 0 && c.owners[owner] >= max(int(ownerShare*float64(c.limit)), 1) {
		return false
	}
	if n.element != nil {
		c.waiting.Remove(n.element)
		n.element = nil
	}
	c.owners[owner]++
	n.owner = &owner
	return true
}

// Remove removes a connection that was closed. Further calls have no effect.
func (n *Connection) Remove() {
	n.all.mu.Lock()
	defer n.all.mu.Unlock()
	n.removeLocked()
}

func (n *Connection) removeLocked() {
	if n.removed {
		return
	}
	n.removed = true
	n.all.open--
	if n.owner != nil {
		if n.all.owners[*n.owner]--; n.all.owners[*n.owner] == 0 {
			delete(n.all.owners, *n.owner)
		}
	}
	if n.element != nil {
		n.all.waiting.Remove(n.element)
		n.element = nil
	}
}
