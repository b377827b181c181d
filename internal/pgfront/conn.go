// Package pgfront implements the server side of the PostgreSQL wire protocol towards
// callers. It negotiates TLS, reads the startup message, authenticates callers, and reads
// and writes messages with limits on size and time. Messages are decoded and encoded by
// pgproto3.
package pgfront

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/result"
)

const (
	// maxIdleBuffer is the maximum capacity, in bytes, of an empty output buffer that a
	// connection keeps. It limits the memory of idle connections.
	maxIdleBuffer = 4 << 10
	// lingerTimeout limits how long a connection being closed waits for the caller to close
	// its side.
	lingerTimeout = 2 * time.Second
)

// Config holds the limits of caller connections.
type Config struct {
	// TLS configures TLS for callers; nil means plain text only.
	TLS *tls.Config
	// RequireTLS refuses callers that do not use TLS.
	RequireTLS bool
	// MaxMessage is the maximum size of a message body, in bytes.
	MaxMessage int
	// LoginTimeout limits the startup and the authentication together.
	LoginTimeout time.Duration
	// WriteTimeout limits one flush to a caller that does not read.
	WriteTimeout time.Duration
}

// Conn is one caller's connection. It is not safe for concurrent use, except
// for Interrupt and Close.
type Conn struct {
	net     net.Conn
	backend *pgproto3.Backend
	cfg     Config
	out     []byte // encoded messages that are not flushed yet
}

func newConn(nc net.Conn, cfg Config) *Conn {
	backend := pgproto3.NewBackend(nc, io.Discard)
	backend.SetMaxBodyLen(cfg.MaxMessage)
	return &Conn{net: nc, backend: backend, cfg: cfg}
}

// RemoteAddr returns the caller's address.
func (c *Conn) RemoteAddr() net.Addr { return c.net.RemoteAddr() }

// Receive reads the next message. The message is only valid until the next call. It returns
// a result.Error for a message that violates the protocol or the size limit.
func (c *Conn) Receive() (pgproto3.FrontendMessage, error) {
	msg, err := c.backend.Receive()
	if err == nil {
		return msg, nil
	}
	return nil, asResult(err)
}

// asResult converts a decoding error into a result.Error. It returns network errors and
// io.EOF unchanged.
func asResult(err error) error {
	var tooLarge *pgproto3.ExceededMaxBodyLenErr
	if errors.As(err, &tooLarge) {
		return result.New(result.MessageTooLarge, "message of %d bytes exceeds the limit of %d bytes",
			tooLarge.ActualBodyLen, tooLarge.MaxExpectedBodyLen)
	}
	var netErr net.Error
	if errors.As(err, &netErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	return result.New(result.MalformedMessage, "%v", err)
}

// Queue appends a message to the output buffer. Flush sends it.
func (c *Conn) Queue(msg pgproto3.BackendMessage) error {
	out, err := msg.Encode(c.out)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	c.out = out
	return nil
}

// Queued returns the size of the output buffer in bytes.
func (c *Conn) Queued() int { return len(c.out) }

// Truncate shortens the output buffer to its first n bytes.
func (c *Conn) Truncate(n int) { c.out = c.out[:n] }

// Flush writes the output buffer to the caller. It returns a result.Error with code
// SlowClient when the write does not complete within WriteTimeout.
func (c *Conn) Flush() error { return c.FlushFirst(len(c.out)) }

// FlushFirst writes the first n bytes of the output buffer to the caller and removes them
// from the buffer, also on failure.
func (c *Conn) FlushFirst(n int) error {
	if n == 0 {
		return nil
	}
	if err := c.net.SetWriteDeadline(time.Now().Add(c.cfg.WriteTimeout)); err != nil {
		return errors.Wrap(err, "set write deadline")
	}
	_, err := c.net.Write(c.out[:n])
	rest := copy(c.out, c.out[n:])
	c.out = c.out[:rest]
	if rest == 0 && cap(c.out) > maxIdleBuffer {
		c.out = nil
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return result.New(result.SlowClient, "write did not complete within %s", c.cfg.WriteTimeout)
	}
	return errors.Wrap(err, "write to caller")
}

// Interrupt makes pending and later calls of Receive fail with a timeout error once wait
// has passed, until ClearReadDeadline is called.
func (c *Conn) Interrupt(wait time.Duration) {
	_ = c.net.SetReadDeadline(time.Now().Add(wait))
}

// ClearReadDeadline removes the deadline set by Interrupt or SetReadTimeout.
func (c *Conn) ClearReadDeadline() {
	_ = c.net.SetReadDeadline(time.Time{})
}

// SetReadTimeout sets a deadline for all following reads together.
func (c *Conn) SetReadTimeout(timeout time.Duration) {
	_ = c.net.SetReadDeadline(time.Now().Add(timeout))
}

// Close closes the connection immediately.
func (c *Conn) Close() error { return c.net.Close() }

// Refuse sends err as a fatal error and closes the connection after the caller has closed
// its side or lingerTimeout has passed.
func (c *Conn) Refuse(err error) {
	if c.Queue(ErrorMessage(err, Fatal)) == nil && c.Flush() == nil {
		c.linger()
	}
	_ = c.net.Close()
}

// linger closes the connection for writing and discards input until the caller closes its
// side. Closing with unread input would reset the connection, and the caller could lose the
// last message.
func (c *Conn) linger() {
	if half, ok := c.net.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	c.SetReadTimeout(lingerTimeout)
	_, _ = io.Copy(io.Discard, bufio.NewReaderSize(c.net, maxIdleBuffer))
}
