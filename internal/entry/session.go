package entry

import (
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/pgfront"
	"github.com/galenabridge/galenabridge/internal/result"
)

// resetTimeout bounds the reset of an endpoint connection.
const resetTimeout = 5 * time.Second

// maxStatements bounds the prepared statements of one caller.
const maxStatements = 4096

// Transaction states as reported to callers.
const (
	txIdle   = 'I'
	txActive = 'T'
	txFailed = 'E'
)

// session serves one caller. Its goroutine owns all fields but those under mu.
type session struct {
	srv   *Server
	conn  *pgfront.Conn
	pid   uint32
	key   []byte
	who   identity
	param params
	set   settings
	// pendingSet holds SET statements of a transaction in progress.
	pendingSet []string
	statements map[string]*statement

	// lease is held within a transaction or between Flush and Sync.
	lease *lease
	// failed tells that a transaction was rolled back by the entry, so that
	// statements are refused until the caller ends it.
	failed bool
	// skip tells that messages are dropped until Sync.
	skip bool
	// batch collects messages of the extended protocol.
	batch *unit

	mu      sync.Mutex
	held    *lease
	reason  error
	stopped func()
}

// run serves requests until the caller leaves or the session must end.
func (s *session) run() {
	err := s.loop()
	if s.lease != nil {
		s.abandon()
	}
	if result.CodeOf(err) != 0 {
		s.srv.metrics.result(err)
		s.srv.log.Info("session_closed", "workspace", s.who.workspace, "code", result.CodeOf(err), "reason", err)
		if result.CodeOf(err) != result.SlowClient {
			s.conn.Refuse(err)
		}
	}
	_ = s.conn.Close()
}

func (s *session) loop() error {
	for {
		if err := s.boundary(); err != nil {
			return err
		}
		msg, err := s.conn.Receive()
		if err != nil {
			return s.receiveError(err)
		}
		done, err := s.handle(msg)
		if done || err != nil {
			return err
		}
	}
}

// boundary ends the session between two statements when it has been told to.
func (s *session) boundary() error {
	reason := s.stopReason()
	if reason == nil {
		return nil
	}
	if result.CodeOf(reason) == result.ShuttingDown && s.busy() {
		return nil
	}
	return reason
}

// busy reports whether the caller is within a transaction or a pipeline.
func (s *session) busy() bool {
	return s.lease != nil || s.batch != nil || s.skip
}

func (s *session) receiveError(err error) error {
	var netErr net.Error
	if !errors.As(err, &netErr) || !netErr.Timeout() {
		return err
	}
	reason := s.stopReason()
	if reason == nil {
		return err
	}
	if result.CodeOf(reason) == result.ShuttingDown && s.busy() {
		s.conn.ClearReadDeadline()
		return s.loop()
	}
	return reason
}

// handle serves one message.
func (s *session) handle(msg pgproto3.FrontendMessage) (done bool, err error) {
	switch msg := msg.(type) {
	case *pgproto3.Terminate:
		return true, nil
	case *pgproto3.Query:
		return false, s.query(msg.String)
	case *pgproto3.Sync:
		return false, s.sync()
	case *pgproto3.Flush:
		return false, s.flush()
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
		return false, s.collect(msg)
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return false, nil // left over from a COPY that failed
	case *pgproto3.FunctionCall:
		return false, s.refuse(result.New(result.UnsupportedFeature, "function calls of the wire protocol"), true)
	}
	return false, result.New(result.MalformedMessage, "%T is not expected here", msg)
}

func (s *session) query(text string) error {
	s.skip = false
	s.batch = nil
	u, err := newSimple(text)
	if err != nil {
		return err
	}
	return s.serve(u)
}

// collect appends a message to the batch.
func (s *session) collect(msg pgproto3.FrontendMessage) error {
	if s.skip {
		return nil
	}
	if s.batch == nil {
		s.batch = newBatch()
	}
	if err := s.batch.add(msg, s.statements); err != nil {
		return err
	}
	if len(s.statements)+len(s.batch.parsed) > maxStatements {
		s.batch = nil
		return s.refuse(result.New(result.UnsupportedFeature, "more than %d prepared statements", maxStatements), false)
	}
	if limit := s.srv.front.MaxMessage; len(s.batch.data) > limit {
		s.batch = nil
		return s.refuse(result.New(result.MessageTooLarge, "a pipeline without Sync is larger than %d bytes", limit), false)
	}
	return nil
}

func (s *session) sync() error {
	u := s.batch
	s.batch = nil
	if s.skip {
		s.skip = false
		u = nil
	}
	if u == nil {
		u = newBatch()
	}
	u.sync = true
	return s.serve(u)
}

func (s *session) flush() error {
	u := s.batch
	s.batch = nil
	if u == nil || s.skip {
		return s.conn.Flush()
	}
	return s.serve(u)
}

// refuse answers a request that was not run. A transaction in progress is
// rolled back, because a part of it was refused.
func (s *session) refuse(err error, ends bool) error {
	s.srv.metrics.result(err)
	if s.lease != nil {
		s.failed = s.failed || s.lease.transaction
		s.abandon()
	}
	if queueErr := s.conn.Queue(pgfront.ErrorMessage(err, pgfront.Error)); queueErr != nil {
		return queueErr
	}
	if !ends {
		s.skip = true
		return s.conn.Flush()
	}
	return s.ready(s.status())
}

// status is the transaction state as the caller knows it.
func (s *session) status() byte {
	switch {
	case s.failed:
		return txFailed
	case s.lease != nil && s.lease.transaction:
		return txActive
	}
	return txIdle
}

// ready tells the caller that the next request may come.
func (s *session) ready(status byte) error {
	if err := s.conn.Queue(&pgproto3.ReadyForQuery{TxStatus: status}); err != nil {
		return err
	}
	return s.conn.Flush()
}

// abandon closes the endpoint connection, which rolls back a transaction.
func (s *session) abandon() {
	l := s.lease
	s.lease = nil
	s.pendingSet = nil
	s.release(l, false)
}

// script is the settings that the session needs on an endpoint connection.
func (s *session) script() string {
	if s.who.open || s.param.readOnly {
		return "SET default_transaction_read_only = on;" + s.set.script
	}
	return s.set.script
}

// readOnly reports whether the caller declared the session read-only.
func (s *session) readOnly() bool {
	return s.who.open || s.param.readOnly || s.set.readOnly()
}
