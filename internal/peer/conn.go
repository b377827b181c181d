package peer

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/budget"
	"github.com/galenabridge/galenabridge/internal/result"
)

// closeStatusBase is the first WebSocket close status for private use (RFC 6455). The
// result codes of peers start at 5001 and are sent as closeStatusBase plus the code minus
// 5000.
const closeStatusBase = 4000

// conn is an authenticated connection to a peer.
type conn struct {
	ws     *websocket.Conn
	peer   Identity
	cancel context.CancelFunc
	ctx    context.Context
	// lastUse is the time of the last message in either direction, in Unix nanoseconds.
	// Pings do not count.
	lastUse atomic.Int64
	// lastHeard is the time of the last message or answer to a ping, in Unix nanoseconds.
	lastHeard atomic.Int64
	pinging   atomic.Bool
}

func newConn(ctx context.Context, ws *websocket.Conn, peer Identity) *conn {
	c := &conn{ws: ws, peer: peer}
	c.ctx, c.cancel = context.WithCancel(ctx)
	now := time.Now().UnixNano()
	c.lastUse.Store(now)
	c.lastHeard.Store(now)
	return c
}

func (c *conn) write(ctx context.Context, data []byte) error {
	ctx, stop := context.WithTimeout(ctx, writeTimeout)
	defer stop()
	c.lastUse.Store(time.Now().UnixNano())
	return c.ws.Write(ctx, websocket.MessageBinary, data)
}

// read reads the next message. memory pays for a request of a caller until the next read; if it has no
// room, the message is dropped, and the beginning of it is returned with budget.ErrFull.
func (c *conn) read(memory *budget.Account) ([]byte, error) {
	memory.Settle()
	_, in, err := c.ws.Reader(c.ctx)
	if err != nil {
		return nil, err
	}
	data, err := readMessage(in, memory)
	if err == nil || errors.Is(err, budget.ErrFull) {
		now := time.Now().UnixNano()
		c.lastUse.Store(now)
		c.lastHeard.Store(now)
	}
	return data, err
}

const (
	// firstReadBytes is the size of the first buffer for a message, above that of most.
	firstReadBytes = 512
	// accountedReadBytes is the size of a buffer above which it is accounted for.
	accountedReadBytes = 4 << 10
)

// readMessage reads a message in a buffer that doubles. Only requests of callers and the replies to
// them are accounted for; the fleet's own messages are always read.
func readMessage(in io.Reader, memory *budget.Account) ([]byte, error) {
	data, reserved := make([]byte, 0, firstReadBytes), int64(0)
	for {
		n, err := in.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
		if len(data) < cap(data) {
			continue
		}
		capacity := int64(2 * cap(data))
		if capacity <= accountedReadBytes {
			data = append(make([]byte, 0, capacity), data...)
			continue
		}
		if head, ok := decodeHead(data); ok && kinds[head.Kind].fromCallers {
			if full := memory.Reserve(capacity); full != nil {
				if _, err := io.Copy(io.Discard, in); err != nil {
					return nil, err
				}
				return data[:firstReadBytes], full
			}
			memory.Release(reserved)
			reserved = capacity
		}
		data = append(make([]byte, 0, capacity), data...)
	}
}

// checkLiveness sends a ping when nothing was heard for pingInterval, or idlePingInterval
// on a connection that is not in use. It closes the connection when a ping fails or when no
// message passed for idleTimeout, and returns once the connection is closed.
func (c *conn) checkLiveness() {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
		if since(&c.lastUse) > idleTimeout {
			c.cancel()
			return
		}
		interval := pingInterval
		if since(&c.lastUse) > activeTime {
			interval = idlePingInterval
		}
		if since(&c.lastHeard) < interval {
			continue
		}
		if err := c.ping(); err != nil {
			c.cancel()
			return
		}
	}
}

func (c *conn) ping() error {
	ctx, stop := context.WithTimeout(c.ctx, pingTimeout)
	defer stop()
	err := c.ws.Ping(ctx)
	if err == nil {
		c.lastHeard.Store(time.Now().UnixNano())
	}
	return err
}

// pingInBackground sends a ping unless one is in progress. A failure is left to
// checkLiveness.
func (c *conn) pingInBackground() {
	if !c.pinging.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.pinging.Store(false)
		_ = c.ping()
	}()
}

// since returns the time elapsed since stamp, a Unix time in nanoseconds.
func since(stamp *atomic.Int64) time.Duration {
	return time.Duration(time.Now().UnixNano() - stamp.Load())
}

// refuse closes the connection with a close status that carries the result code.
func (c *conn) refuse(code result.Code) {
	status := websocket.StatusCode(closeStatusBase + int(code) - int(result.PeerFleet) + 1)
	_ = c.ws.Close(status, result.Lookup(code).Name)
}

func (c *conn) close() {
	c.cancel()
	_ = c.ws.CloseNow()
}
