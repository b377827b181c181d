package entry

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/retry"
)

const (
	// flushBytes is the size of the queued output from which it is sent to the caller.
	flushBytes = 32 << 10
	// maxHeldBytes bounds the output that is held back until a write is durable. A larger
	// answer waits for durability before its end and is then streamed.
	maxHeldBytes = 4 << 20
)

// SQLSTATEs with which a replica reports that it has not run a statement.
const (
	sqlstateReadOnly = "25006"
	// sqlstateInRecovery: a function cannot run during recovery.
	sqlstateInRecovery = "55000"
	// sqlstateConflict: the statement conflicts with the replay of the log.
	sqlstateConflict = "40001"
)

// relay relays the answer to one unit from the endpoint to the caller. Once a statement
// that may have written has completed, the output from its completion on is held back. If
// the write has been committed, this output is sent only after the write is durable and while
// the term still holds, and is dropped otherwise. If the transaction is still in progress,
// the output is sent at the end of the unit.
type relay struct {
	s     *session
	co    *checkout
	u     *unit
	class unitClass
	plan  plan
	// inTransaction: a transaction was in progress before the unit.
	inTransaction bool
	// marker is the marker row written by the transaction that was opened for the unit, or
	// nil.
	marker *marker
	// request tracks what is known of the unit's outcome.
	request retry.Request
	// sent is when the unit was sent.
	sent time.Time
	// writeResult receives the result of a write that runs concurrently with the answer; nil
	// when the unit was written before.
	writeResult chan error
	// heldFrom is the length of the output queue before the first message that is held back.
	heldFrom int
	// holdsOutput: the output from heldFrom on is held back.
	holdsOutput bool
	// mayHaveWritten: a statement completed that may have written.
	mayHaveWritten bool
	// committed and rolledBack: a statement of the unit ended a transaction in this way.
	committed, rolledBack bool
	// answerCount is the number of answers so far, without the one to Sync.
	answerCount int
	// failed: the endpoint reported an error.
	failed bool
	// tag is the tag of the last completed statement.
	tag []byte
}

// run relays messages until the unit is answered or must be sent to another endpoint.
func (r *relay) run() (attemptOutcome, error) {
	for {
		msg, err := r.co.conn.Receive()
		if err != nil {
			return r.connectionLost(err)
		}
		switch msg := msg.(type) {
		case *pgproto3.ReadyForQuery:
			return r.ready(msg.TxStatus)
		case *pgproto3.ErrorResponse:
			if r.primaryMayRun(msg) {
				return r.discardForPrimary()
			}
			r.failed = true
			err = r.forward(msg)
		case *pgproto3.CopyInResponse:
			if err = r.forward(msg); err == nil {
				err = r.copyIn()
			}
		default:
			err = r.relayMessage(msg)
		}
		if err != nil {
			return outcomeAnswered, err
		}
		if !r.u.sync && (r.failed || r.answerCount >= r.plan.pending) {
			return outcomeAnswered, r.endFlushUnit()
		}
	}
}

// relayMessage relays one message that does not end the unit.
func (r *relay) relayMessage(msg pgproto3.BackendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.ParseComplete:
		r.answerCount++
		return r.parseComplete()
	case *pgproto3.CloseComplete:
		r.answerCount++
		return r.closeComplete()
	case *pgproto3.BindComplete, *pgproto3.NoData, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		r.answerCount++
		return r.forward(msg)
	case *pgproto3.RowDescription:
		r.answerCount++
		return r.forward(msg)
	case *pgproto3.CommandComplete:
		r.answerCount++
		return r.commandComplete(msg)
	case *pgproto3.NotificationResponse:
		return nil // LISTEN is not supported
	}
	return r.forward(msg)
}

// forward queues a message for the caller and sends the queue once it is large enough.
func (r *relay) forward(msg pgproto3.BackendMessage) error {
	if err := r.s.conn.Queue(msg); err != nil {
		return err
	}
	queued := r.s.conn.Queued()
	switch {
	case r.holdsOutput && queued > maxHeldBytes:
		return r.flushHeldOutput()
	case !r.holdsOutput && queued > flushBytes:
		r.request.Streamed = true
		return r.s.conn.Flush()
	}
	return nil
}

// parseComplete matches the answer with the next Parse of the plan and records the
// statement. The answer to an injected Parse is not relayed.
func (r *relay) parseComplete() error {
	if len(r.plan.parses) == 0 {
		return result.New(result.OutcomeUnknown, "endpoint %s sent an unexpected answer to Parse", r.co.endpoint)
	}
	a := r.plan.parses[0]
	r.plan.parses = r.plan.parses[1:]
	r.co.conn.Session.AddStatement(a.name)
	if a.injected {
		return nil
	}
	r.s.statements[a.clientName] = a.stmt
	return r.forward(&pgproto3.ParseComplete{})
}

// closeComplete matches the answer with the next Close of the plan, as parseComplete does.
func (r *relay) closeComplete() error {
	if len(r.plan.closes) == 0 {
		return result.New(result.OutcomeUnknown, "endpoint %s sent an unexpected answer to Close", r.co.endpoint)
	}
	a := r.plan.closes[0]
	r.plan.closes = r.plan.closes[1:]
	if a.injected {
		return nil
	}
	if a.clientName != "" {
		delete(r.s.statements, a.clientName)
	}
	return r.forward(&pgproto3.CloseComplete{})
}

// commandComplete relays the end of a statement. From the first statement that may have
// written on, the output is held back.
func (r *relay) commandComplete(msg *pgproto3.CommandComplete) error {
	r.tag = append(r.tag[:0], msg.CommandTag...)
	r.s.srv.countRead(r.class, r.co)
	r.committed = r.committed || string(r.tag) == "COMMIT"
	r.rolledBack = r.rolledBack || string(r.tag) == "ROLLBACK"
	if r.co.primary && !r.co.readOnly && (r.marker != nil || !cannotHaveWritten(r.tag)) {
		r.mayHaveWritten = true
		if !r.holdsOutput {
			r.holdsOutput = true
			r.heldFrom = r.s.conn.Queued()
		}
	}
	return r.forward(msg)
}

// cannotHaveWritten reports whether a statement with the tag cannot have committed a write.
func cannotHaveWritten(tag []byte) bool {
	for _, verb := range []string{"BEGIN", "START TRANSACTION", "ROLLBACK", "SET", "RESET", "SHOW", "SAVEPOINT"} {
		if string(tag) == verb {
			return true
		}
	}
	return false
}

// safeLength returns the length of the queued output that may be sent even if the write
// turns out not to be durable.
func (r *relay) safeLength() int {
	if r.holdsOutput {
		return r.heldFrom
	}
	return r.s.conn.Queued()
}

// flushHeldOutput waits for durability before the end of the answer and sends the output held
// back so far.
func (r *relay) flushHeldOutput() error {
	if err := r.acknowledge(); err != nil {
		return err
	}
	r.holdsOutput = false
	r.request.Streamed = true
	return r.s.conn.Flush()
}

// primaryMayRun reports whether the error proves that a read has not run on a replica, so
// that the primary may run it. Nothing of the answer may have been sent yet.
func (r *relay) primaryMayRun(msg *pgproto3.ErrorResponse) bool {
	switch msg.Code {
	case sqlstateReadOnly, sqlstateInRecovery, sqlstateConflict:
	default:
		return false
	}
	declaredReadOnly := r.co.readOnly && msg.Code == sqlstateReadOnly
	return !r.co.primary && !declaredReadOnly && r.class.kind == kindRead && !r.request.InTransaction && !r.request.Streamed
}

// discardForPrimary discards the rest of the answer, so that the unit runs on the primary.
func (r *relay) discardForPrimary() (attemptOutcome, error) {
	for {
		msg, err := r.co.conn.Receive()
		if err != nil {
			r.s.conn.Truncate(0)
			r.s.discardConnection()
			return outcomeRetryPrimary, nil
		}
		if _, ok := msg.(*pgproto3.ReadyForQuery); ok {
			break
		}
	}
	r.s.conn.Truncate(0)
	r.returnCheckout()
	return outcomeRetryPrimary, nil
}

// returnCheckout returns the connection after the endpoint has reported that it is idle. It
// waits for a concurrent write first.
func (r *relay) returnCheckout() {
	co := r.s.checkout
	if co.latency == 0 {
		co.latency = time.Since(r.sent)
	}
	r.s.checkout = nil
	reusable := r.writeResult == nil || <-r.writeResult == nil
	r.s.release(co, reusable)
}

// endFlushUnit completes a unit that ended with Flush. The session keeps the connection until
// Sync.
func (r *relay) endFlushUnit() error {
	if r.failed {
		r.s.skipToSync = true
	}
	r.co.unsyncedWrite = r.mayHaveWritten
	if r.holdsOutput && r.committed {
		if err := r.acknowledge(); err != nil {
			r.s.conn.Truncate(r.heldFrom)
			return r.s.refuse(err, false)
		}
	}
	return r.s.conn.Flush()
}

// ready ends the unit with the endpoint's transaction state. Outside a transaction the
// connection is returned, and a unit that may have written is answered only after the write
// is durable in a term that still holds.
func (r *relay) ready(status byte) (attemptOutcome, error) {
	s := r.s
	if r.marker != nil {
		ended, err := r.endMarkedTransaction(status)
		if err != nil {
			return r.commitFailed(err)
		}
		status = ended
	}
	r.request.Apply(retry.AnswerReceived)
	r.co.unsyncedWrite = false
	s.setTransaction(r.co, status != txIdle)
	r.recordSettings(status)
	if status != txIdle {
		return outcomeAnswered, r.continueTransaction(status)
	}
	if !r.mayHaveWritten {
		err := s.ready(txIdle)
		r.returnCheckout()
		return outcomeAnswered, err
	}
	termValid := termHolds(s.srv.opts.View.Current(), r.co)
	r.returnCheckout()
	err := r.termEnded()
	if termValid {
		err = r.acknowledge()
	}
	if err != nil {
		s.conn.Truncate(r.safeLength())
		return outcomeAnswered, s.refuse(err, true)
	}
	return outcomeAnswered, s.ready(txIdle)
}

// continueTransaction ends a unit that leaves a transaction open. A commit of an earlier
// transaction in the unit is reported only after its write is durable; otherwise the open
// one is rolled back.
func (r *relay) continueTransaction(status byte) error {
	if r.holdsOutput && r.committed {
		if err := r.acknowledge(); err != nil {
			r.s.conn.Truncate(r.heldFrom)
			return r.s.refuse(err, true)
		}
	}
	r.co.conn.SetDeadline(time.Time{})
	return r.s.ready(status)
}

// recordSettings records SET statements in the session once their transaction has committed.
func (r *relay) recordSettings(status byte) {
	s := r.s
	if !r.failed {
		for _, text := range r.u.statementTexts() {
			s.pendingSet.apply(text, r.class.kind == kindSet)
		}
	}
	if status != txIdle {
		return
	}
	pending := s.pendingSet
	s.pendingSet = pendingSettings{}
	if len(pending.statements) == 0 && !pending.undone {
		return
	}
	if string(r.tag) == "ROLLBACK" || r.failed || pending.undone {
		// The endpoint undoes settings with the transaction or to a savepoint.
		r.co.conn.Session.Dirty = true
	}
	if string(r.tag) == "ROLLBACK" || r.failed {
		return
	}
	for _, text := range pending.statements {
		s.settings.record(text)
	}
	r.co.conn.Session.Settings = s.script()
}

// statementTexts returns the statements of the unit.
func (u *unit) statementTexts() []string {
	if u.simple {
		return []string{u.text}
	}
	var texts []string
	for _, o := range u.ops {
		if o.kind == opExecute && o.stmt != nil {
			texts = append(texts, o.stmt.query)
		}
	}
	return texts
}
