// Package pgfront is the caller's side of the PostgreSQL wire protocol: it
// negotiates TLS and the start-up, authenticates callers, and reads and writes
// messages with limits on size and time. Messages are decoded and encoded by
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
	// keepBuffer is the largest output buffer, in bytes, that a connection
	// keeps between answers.
	keepBuffer = 4 << 10
	// lingerTimeout bounds how long a closing connection waits for the caller
	// to read the last message.
	lingerTimeout = 2 * time.Second
)

// Config holds the limits of caller connections.
type Config struct {
	// TLS is the certificate for callers; nil serves plain text only.
	TLS *tls.Config
	// RequireTLS refuses callers that do not use TLS.
	RequireTLS bool
	// MaxMessage is the largest message accepted, in bytes.
	MaxMessage int
	// LoginTimeout bounds the start-up and the authentication.
	LoginTimeout time.Duration
	// WriteTimeout bounds one write to a caller that does not read.
	WriteTimeout time.Duration
}

// Conn is one caller's connection. It is not safe for concurrent use, except
// for Interrupt and Close.
type Conn struct {
	net     net.Conn
	backend *pgproto3.Backend
	cfg     Config
	out     []byte
}

func newConn(nc net.Conn, cfg Config) *Conn {
	backend := pgproto3.NewBackend(nc, io.Discard)
	backend.SetMaxBodyLen(cfg.MaxMessage)
	return &Conn{net: nc, backend: backend, cfg: cfg}
}

// RemoteAddr returns the caller's address.
func (c *Conn) RemoteAddr() net.Addr { return c.net.RemoteAddr() }

// Receive reads the next message. The message is valid until the next call. A
// message that breaks the protocol or the size limit yields a result.Error.
func (c *Conn) Receive() (pgproto3.FrontendMessage, error) {
	msg, err := c.backend.Receive()
	if err == nil {
		return msg, nil
	}
	return nil, describe(err)
}

// describe turns a decoding error into a numbered result and leaves errors of
// the transport as they are.
func describe(err error) error {
	var tooLarge *pgproto3.ExceededMaxBodyLenErr
	if errors.As(err, &tooLarge) {
		return result.New(result.MessageTooLarge, "message of %d bytes; the limit is %d",
			tooLarge.ActualBodyLen, tooLarge.MaxExpectedBodyLen)
	}
	var netErr net.Error
	if errors.As(err, &netErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	return result.New(result.MalformedMessage, "%v", err)
}

// Queue appends a message to the output buffer.
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

// Truncate drops what was queued after the first n bytes.
func (c *Conn) Truncate(n int) { c.out = c.out[:n] }

// Flush writes the output buffer to the caller. A caller that does not read in
// time yields a result.Error with code SlowClient.
func (c *Conn) Flush() error { return c.FlushFirst(len(c.out)) }

// FlushFirst writes the first n bytes of the output buffer to the caller.
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
	if rest == 0 && cap(c.out) > keepBuffer {
		c.out = nil
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return result.New(result.SlowClient, "no progress within %s", c.cfg.WriteTimeout)
	}
	return errors.Wrap(err, "write to caller")
}

// Interrupt makes a blocked Receive return a timeout error after the wait.
func (c *Conn) Interrupt(wait time.Duration) {
	_ = c.net.SetReadDeadline(time.Now().Add(wait))
}

// ClearReadDeadline undoes Interrupt.
func (c *Conn) ClearReadDeadline() {
	_ = c.net.SetReadDeadline(time.Time{})
}

// SetReadTimeout bounds the next reads in time.
func (c *Conn) SetReadTimeout(limit time.Duration) {
	_ = c.net.SetReadDeadline(time.Now().Add(limit))
}

// Close closes the connection at once.
func (c *Conn) Close() error { return c.net.Close() }

// Refuse sends err as a fatal error and closes the connection once the caller
// has had time to read it.
func (c *Conn) Refuse(err error) {
	if c.Queue(ErrorMessage(err, Fatal)) == nil && c.Flush() == nil {
		c.linger()
	}
	_ = c.net.Close()
}

// linger reads and drops input until the caller closes, because a close with
// unread input would discard the last message.
func (c *Conn) linger() {
	if half, ok := c.net.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	c.SetReadTimeout(lingerTimeout)
	_, _ = io.Copy(io.Discard, bufio.NewReaderSize(c.net, keepBuffer))
}
