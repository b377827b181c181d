package standin

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"database/sql"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
	"github.com/pkg/errors"
)

const secretKeyBytes = 4

// session serves one connection. Only the goroutine of serve uses its fields, except
// cancel, conn, secret and cancelRunning, which is guarded by runningMu. During a
// replication stream, a second goroutine receives from be.
type session struct {
	srv    *Server
	conn   *faultConn
	be     *pgproto3.Backend
	ctx    context.Context
	cancel context.CancelFunc
	pid    uint32
	// countedAsCaller is set if the session counts towards Options.MaxConnections.
	countedAsCaller bool
	secret          []byte
	types           *pgtype.Map

	eng        *engine
	db         *sql.Conn
	settings   map[string]string
	tx         txState
	statements map[string]*preparedStatement
	portals    map[string]*portal
	// skipUntilSync is set after an error in the extended protocol. Messages up to
	// Sync are discarded.
	skipUntilSync bool

	runningMu sync.Mutex
	// cancelRunning cancels the running statement; it is nil if there is none.
	cancelRunning context.CancelFunc
}

// errConnectionClosed ends a session without a message to the client.
var errConnectionClosed = errors.New("connection closed")

func newSession(srv *Server, conn net.Conn) *session {
	wrapped := newFaultConn(conn, srv.faults, "")
	ctx, cancel := context.WithCancel(srv.ctx)
	secret := make([]byte, secretKeyBytes)
	_, _ = rand.Read(secret) // never fails
	return &session{
		srv: srv, conn: wrapped, be: pgproto3.NewBackend(wrapped, wrapped), ctx: ctx, cancel: cancel,
		secret: secret, types: pgtype.NewMap(), settings: copySettings(defaultSettings),
		statements: make(map[string]*preparedStatement), portals: make(map[string]*portal),
	}
}

// serve runs the session until its connection ends. A final sqlError is sent to the
// client.
func (s *session) serve() {
	defer s.conn.Close()
	defer s.cancel()
	err := s.startUp()
	if err == nil {
		err = s.loop()
	}
	s.close()
	var sqlErr *sqlError
	if errors.As(err, &sqlErr) {
		s.be.Send(sqlErr.response())
		_ = s.be.Flush() // the connection ends anyway
	}
}

func (s *session) close() {
	if s.db != nil {
		s.rollback()
		s.db.Close()
	}
	s.srv.unregister(s)
}

// startUp handles the connection's messages up to the first ReadyForQuery.
func (s *session) startUp() error {
	startup, err := s.receiveStartup()
	if err != nil {
		return err
	}
	params := startup.Parameters
	_, replication := params["replication"]
	s.conn.setLink(LinkCallers)
	if replication {
		s.conn.setLink(LinkReplication)
	}
	if err := s.conn.waitForLink(); err != nil {
		return err
	}
	if startup.ProtocolVersion != pgproto3.ProtocolVersion30 {
		s.be.Send(&pgproto3.NegotiateProtocolVersion{})
	}
	if err := s.authenticate(params["user"]); err != nil {
		return err
	}
	if db := params["database"]; db != "" && db != s.srv.opts.Database {
		return fatalErrorf(sqlStateInvalidDatabase, "database %q does not exist", db)
	}
	if err := s.srv.register(s, replication); err != nil {
		return err
	}
	if err := sleep(s.ctx, s.srv.opts.ConnectDelay); err != nil {
		return err
	}
	if err := s.openDatabase(); err != nil {
		return err
	}
	s.sendStartupParameters(params)
	return s.sendReady()
}

// openDatabase opens a connection to the current database.
func (s *session) openDatabase() error {
	s.eng = s.srv.engine()
	db, err := s.eng.db.Conn(s.ctx)
	if err != nil {
		return fatalErrorf(sqlStateCannotConnectNow, "the database is starting: %v", err)
	}
	s.db = db
	return nil
}

// receiveStartup returns the start-up message. It refuses encryption and handles a
// CancelRequest, after which the connection ends.
func (s *session) receiveStartup() (*pgproto3.StartupMessage, error) {
	for {
		msg, err := s.be.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		switch m := msg.(type) {
		case *pgproto3.StartupMessage:
			return m, nil
		case *pgproto3.CancelRequest:
			s.srv.cancelStatement(m.ProcessID, m.SecretKey)
			return nil, errConnectionClosed
		default: // SSLRequest, GSSEncRequest
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		}
	}
}

// sendStartupParameters applies the settings of the start-up message and sends
// AuthenticationOk, the reported settings and the cancel key.
func (s *session) sendStartupParameters(params map[string]string) {
	s.be.Send(&pgproto3.AuthenticationOk{})
	for name, value := range params {
		switch name {
		case "user", "database", "replication", "options":
		default:
			s.settings[name] = value
		}
	}
	for _, r := range reportedSettings {
		s.be.Send(&pgproto3.ParameterStatus{Name: r.name, Value: s.settings[r.key]})
	}
	s.be.Send(&pgproto3.ParameterStatus{Name: "session_authorization", Value: s.srv.opts.User})
	s.be.Send(&pgproto3.ParameterStatus{Name: "in_hot_standby", Value: onOff(!s.srv.isPrimary())})
	s.be.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.secret})
}

func onOff(b bool) string {
	if b {
		return "on"
	}
	return "off"
}

func (s *session) loop() error {
	for {
		msg, err := s.be.Receive()
		if s.ctx.Err() != nil {
			return fatalErrorf(sqlStateAdminShutdown, "terminating connection due to administrator command")
		}
		if err != nil {
			return errConnectionClosed
		}
		if err := s.srv.faults.waitForLink(s.ctx, s.link()); err != nil {
			return fatalErrorf(sqlStateAdminShutdown, "terminating connection due to administrator command")
		}
		if err := s.handle(msg); err != nil {
			return err
		}
		if s.ctx.Err() != nil {
			return fatalErrorf(sqlStateAdminShutdown, "terminating connection due to administrator command")
		}
	}
}

func (s *session) link() Link {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	return s.conn.link
}

// handle handles one message. An error ends the connection.
func (s *session) handle(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Query:
		return s.simpleQuery(m.String)
	case *pgproto3.Sync:
		return s.sync()
	case *pgproto3.Flush:
		return s.be.Flush()
	case *pgproto3.Terminate:
		return errConnectionClosed
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // remaining data of a failed COPY
	}
	if s.skipUntilSync {
		return nil
	}
	err := s.handleExtended(msg)
	if err == nil {
		return nil
	}
	return s.reportError(err, true)
}

// reportError aborts the transaction and sends the error to the client. With skip
// set, messages up to Sync are discarded. Fatal errors are returned instead and end
// the connection.
func (s *session) reportError(err error, skip bool) error {
	sqlErr := toSQLError(err)
	if sqlErr.fatal || errors.Is(err, errConnectionClosed) {
		return err
	}
	s.abort()
	s.skipUntilSync = skip
	s.be.Send(sqlErr.response())
	return nil
}

// sendReady sends ReadyForQuery and flushes all buffered responses, after the delay
// set by Faults.DelayResponses.
func (s *session) sendReady() error {
	if err := sleep(s.ctx, s.srv.faults.responseDelay()); err != nil {
		return fatalErrorf(sqlStateAdminShutdown, "terminating connection due to administrator command")
	}
	s.be.Send(&pgproto3.ReadyForQuery{TxStatus: s.tx.status()})
	return s.be.Flush()
}

// statementContext returns the context of one statement, which a CancelRequest or the
// statement timeout cancels, and a function to call at the statement's end.
func (s *session) statementContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(s.ctx)
	if limit := statementTimeout(s.settings); limit > 0 {
		ctx, cancel = context.WithTimeout(s.ctx, limit)
	}
	s.runningMu.Lock()
	s.cancelRunning = cancel
	s.runningMu.Unlock()
	return ctx, func() {
		s.runningMu.Lock()
		s.cancelRunning = nil
		s.runningMu.Unlock()
		cancel()
	}
}

// cancelStatement cancels the running statement if secret is the session's secret
// key.
func (s *session) cancelStatement(secret []byte) {
	if subtle.ConstantTimeCompare(secret, s.secret) != 1 {
		return
	}
	s.runningMu.Lock()
	defer s.runningMu.Unlock()
	if s.cancelRunning != nil {
		s.cancelRunning()
	}
}

// terminate ends the session with an "administrator command" error. The read
// deadline interrupts a session that is waiting for a message.
func (s *session) terminate() {
	s.cancel()
	_ = s.conn.SetReadDeadline(time.Now())
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
