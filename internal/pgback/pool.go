package pgback

import (
	"context"

	"github.com/galenabridge/galenabridge/internal/connpool"
)

// Pool is a pool of connections to one endpoint.
type Pool struct {
	*connpool.Pool[*Conn]
	target Target
}

// NewPool returns a pool that opens at most limit connections to the target.
func NewPool(target Target, limit int) *Pool {
	dial := func(ctx context.Context, _ string) (*Conn, error) { return Dial(ctx, target) }
	return &Pool{Pool: connpool.New(dial, limit), target: target}
}

// Target returns the endpoint and credentials of the pool.
func (p *Pool) Target() Target { return p.target }

// Acquire checks out a connection. It waits until one is available or ctx ends.
func (p *Pool) Acquire(ctx context.Context) (*Conn, error) { return p.Pool.Acquire(ctx, "", nil) }

// Key implements connpool.Conn. Connections are shared by all workspaces.
func (c *Conn) Key() string { return "" }

// Alive implements connpool.Conn.
func (c *Conn) Alive() bool { return connpool.IsIdle(c.net) }

// Reusable implements connpool.Conn.
func (c *Conn) Reusable() bool { return !c.cancelled.Load() }
