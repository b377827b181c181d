// Package pgback implements the client side of the PostgreSQL wire protocol towards
// endpoints. It opens connections with galenabridge's own credentials, pools them for each
// endpoint, and reads the endpoint's role and WAL position. Messages are
// decoded and encoded by pgproto3, and pgconn performs the startup.
package pgback

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// cancelTimeout limits the connect for a cancel request and, separately, its exchange.
const cancelTimeout = 2 * time.Second

// Target is the address of an endpoint and the credentials for it.
type Target struct {
	Endpoint string
	Addr     string
	Database string
	User     string
	Password string
}

// Conn is a connection to an endpoint. It is owned by one goroutine at a time;
// only MarkCancelled, Cancel, Interrupt and Close may be called by others.
type Conn struct {
	Target     Target
	Parameters map[string]string // reported by the endpoint at startup

	net      net.Conn
	frontend *pgproto3.Frontend
	pid      uint32
	secret   []byte

	// Session is the session state of the connection at the endpoint.
	Session SessionState

	cancelled atomic.Bool
}

// Dial opens a connection to the endpoint and authenticates.
func Dial(ctx context.Context, target Target) (*Conn, error) {
	cfg, err := connConfig(target)
	if err != nil {
		return nil, err
	}
	pg, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to endpoint %s", target.Endpoint)
	}
	if err := pg.SyncConn(ctx); err != nil {
		_ = pg.Close(ctx)
		return nil, errors.Wrapf(err, "start connection to endpoint %s", target.Endpoint)
	}
	raw, err := pg.Hijack()
	if err != nil {
		return nil, errors.Wrap(err, "hijack connection")
	}
	c := &Conn{
		Target:     target,
		Parameters: raw.ParameterStatuses,
		net:        raw.Conn,
		frontend:   pgproto3.NewFrontend(raw.Conn, raw.Conn),
		pid:        raw.PID,
		secret:     raw.SecretKey,
	}
	c.Session.Clear()
	return c, nil
}

func connConfig(target Target) (*pgconn.Config, error) {
	cfg, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, errors.Wrap(err, "connection settings")
	}
	host, port, err := net.SplitHostPort(target.Addr)
	if err != nil {
		return nil, errors.Wrapf(err, "address of endpoint %s", target.Endpoint)
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, errors.Wrapf(err, "port of endpoint %s", target.Endpoint)
	}
	cfg.Host = host
	cfg.Port = uint16(number)
	cfg.Database = target.Database
	cfg.User = target.User
	cfg.Password = target.Password
	cfg.Fallbacks = nil
	cfg.RuntimeParams = map[string]string{"application_name": "galenabridge"}
	return cfg, nil
}

// Write sends encoded messages and returns the number of bytes written. If it is zero, no
// data was sent to the endpoint.
func (c *Conn) Write(encoded []byte) (int, error) {
	n, err := c.net.Write(encoded)
	return n, errors.Wrap(err, "write to endpoint")
}

// Receive reads the next message. The message is only valid until the next call.
func (c *Conn) Receive() (pgproto3.BackendMessage, error) {
	msg, err := c.frontend.Receive()
	return msg, errors.Wrap(err, "read from endpoint")
}

// Interrupt makes pending and later calls of Receive and Write fail with a timeout error,
// until SetDeadline is called.
func (c *Conn) Interrupt() { _ = c.net.SetDeadline(time.Unix(1, 0)) }

// SetDeadline sets the deadline of reads and writes; the zero time removes it.
func (c *Conn) SetDeadline(t time.Time) { _ = c.net.SetDeadline(t) }

// Close closes the connection immediately. The endpoint rolls back a transaction
// in progress.
func (c *Conn) Close() { _ = c.net.Close() }

// MarkCancelled makes the pool close the connection instead of reusing it, because the
// endpoint could handle the cancel request late and cancel a statement of the next user. It
// must be called before Cancel.
func (c *Conn) MarkCancelled() { c.cancelled.Store(true) }

// Cancel sends a cancel request for the statement in progress over a separate connection.
// It waits until the endpoint has handled the request or the timeout expires.
func (c *Conn) Cancel() error {
	nc, err := net.DialTimeout("tcp", c.Target.Addr, cancelTimeout)
	if err != nil {
		return errors.Wrap(err, "connect for cancel")
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(time.Now().Add(cancelTimeout))
	request := pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}
	encoded, err := request.Encode(nil)
	if err != nil {
		return errors.Wrap(err, "encode cancel")
	}
	if _, err := nc.Write(encoded); err != nil {
		return errors.Wrap(err, "send cancel")
	}
	// The endpoint closes the connection after handling the request.
	_, _ = nc.Read(make([]byte, 1))
	return nil
}

// Reset discards the session state at the endpoint. After an error the connection must not
// be reused.
func (c *Conn) Reset(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if _, err := c.Query(ctx, "DISCARD ALL"); err != nil {
		return err
	}
	c.Session.Clear()
	return nil
}
