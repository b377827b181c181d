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

// resetTimeout bounds the reset of an endpoint connection and the change of its settings.
const resetTimeout = 5 * time.Second

// maxStatements is the largest number of prepared statements of one session.
const maxStatements = 4096

// Transaction states in ReadyForQuery.
const (
	txIdle   = 'I'
	txActive = 'T'
	txFailed = 'E'
)

// session serves one caller. Its goroutine owns all fields but those guarded by mu, which
// cancel requests and changes of the agreed state access from other goroutines. checkout is
// set only while a unit runs, within a transaction, or between Flush and Sync.
type session struct {
	srv          *Server
	conn         *pgfront.Conn
	processID    uint32
	cancelSecret []byte
	identity     identity
	params       params
	settings     settings
	// pendingSet holds the SET statements of the transaction in progress, which take effect
	// when it commits.
	pendingSet pendingSettings
	// statements holds the prepared statements by the caller's names.
	statements map[string]*statement

	// checkout is the endpoint connection in use, or nil.
	checkout *checkout
	// transactionFailed: the entry has rolled back the transaction; statements are refused
	// until the caller ends it.
	transactionFailed bool
	// skipToSync: messages are ignored until Sync, after an error in a pipeline.
	skipToSync bool
	// batch collects the messages of the extended protocol up to Flush or Sync.
	batch *unit

	mu sync.Mutex
	// active is the checkout on which a request may be interrupted or cancelled.
	active *checkout
	// stopErr is the reason why the session must end, or nil.
	stopErr error
	// cancelWait ends the wait of the request in progress, or is nil.
	cancelWait func()
}

// run serves requests until the caller disconnects or the session must end.
func (s *session) run() {
	err := s.loop()
	if s.checkout != nil {
		s.discardConnection()
	}
	if result.CodeOf(err) != 0 {
		s.srv.metrics.countError(err)
		s.srv.log.Info("session_closed", "workspace", s.identity.workspace, "code", result.CodeOf(err), "reason", err)
		if result.CodeOf(err) != result.SlowClient {
			s.conn.Refuse(err)
		}
	}
	_ = s.conn.Close()
}

func (s *session) loop() error {
	for {
		if err := s.checkStop(); err != nil {
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

// checkStop returns the reason to end the session before its next message, or nil; see
// outlives.
func (s *session) checkStop() error {
	reason := s.stopReason()
	if reason == nil {
		return nil
	}
	if s.outlives(reason) {
		return nil
	}
	return reason
}

// busy reports whether the caller is within a transaction or a pipeline.
func (s *session) busy() bool {
	return s.checkout != nil || s.batch != nil || s.skipToSync
}

// receiveError handles an error of Receive. A timeout means that the session was interrupted:
// it ends with its stop reason, or continues if a shutdown has to wait for it.
func (s *session) receiveError(err error) error {
	var netErr net.Error
	if !errors.As(err, &netErr) || !netErr.Timeout() {
		return err
	}
	reason := s.stopReason()
	if reason == nil {
		return err
	}
	if s.outlives(reason) {
		s.conn.ClearReadDeadline()
		return s.loop()
	}
	return reason
}

// handle processes one message. done reports that the caller has ended the session.
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
		return false, nil // the rest of a COPY that failed
	case *pgproto3.FunctionCall:
		return false, s.refuse(result.New(result.UnsupportedFeature, "function calls of the wire protocol"), true)
	}
	return false, result.New(result.MalformedMessage, "%T is not expected here", msg)
}

// query serves a simple query. It ends a pipeline without Sync.
func (s *session) query(text string) error {
	s.skipToSync = false
	s.batch = nil
	u, err := newSimpleUnit(text)
	if err != nil {
		return err
	}
	return s.serve(u)
}

// collect appends a message of the extended protocol to the batch.
func (s *session) collect(msg pgproto3.FrontendMessage) error {
	if s.skipToSync {
		return nil
	}
	if s.batch == nil {
		s.batch = newExtendedUnit()
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

// sync serves the batch up to Sync. After an error in the pipeline it is an empty unit.
func (s *session) sync() error {
	u := s.batch
	s.batch = nil
	if s.skipToSync {
		s.skipToSync = false
		u = nil
	}
	if u == nil {
		u = newExtendedUnit()
	}
	u.sync = true
	return s.serve(u)
}

// flush serves the batch up to Flush.
func (s *session) flush() error {
	u := s.batch
	s.batch = nil
	if u == nil || s.skipToSync {
		return s.conn.Flush()
	}
	return s.serve(u)
}

// refuse answers a unit with an error. A transaction in progress is rolled back, because a
// part of it was refused. endsWithReady: the answer ends with ReadyForQuery; otherwise
// messages are skipped up to Sync.
func (s *session) refuse(err error, endsWithReady bool) error {
	s.srv.metrics.countError(err)
	if s.checkout != nil {
		s.transactionFailed = s.transactionFailed || s.checkout.inTransaction
		s.discardConnection()
	}
	if queueErr := s.conn.Queue(pgfront.ErrorMessage(err, pgfront.Error)); queueErr != nil {
		return queueErr
	}
	if !endsWithReady {
		s.skipToSync = true
		return s.conn.Flush()
	}
	return s.ready(s.status())
}

// status returns the transaction state to report to the caller.
func (s *session) status() byte {
	switch {
	case s.transactionFailed:
		return txFailed
	case s.checkout != nil && s.checkout.inTransaction:
		return txActive
	}
	return txIdle
}

// ready sends ReadyForQuery with all queued output.
func (s *session) ready(status byte) error {
	if err := s.conn.Queue(&pgproto3.ReadyForQuery{TxStatus: status}); err != nil {
		return err
	}
	return s.conn.Flush()
}

// discardConnection closes the endpoint connection, which rolls back its transaction.
func (s *session) discardConnection() {
	co := s.checkout
	s.checkout = nil
	s.pendingSet = pendingSettings{}
	s.release(co, false)
}

// script returns the SET statements that the session needs on an endpoint connection.
func (s *session) script() string {
	if s.identity.open || s.params.readOnly {
		return "SET default_transaction_read_only = on;" + s.settings.script
	}
	return s.settings.script
}

// readOnly reports whether the session is read-only.
func (s *session) readOnly() bool {
	return s.identity.open || s.params.readOnly || s.settings.readOnly()
}
