package entry

import (
	"bytes"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/retry"
)

const (
	// flushSize is the output in bytes from which rows are passed on.
	flushBytes = 32 << 10
	// holdSize bounds the output in bytes that is held back until a write is
	// safe; past it the wait takes place in the middle of the answer.
	maxHeldBytes = 4 << 20
)

// SQLSTATEs of a replica that has provably not run a statement.
const (
	sqlstateReadOnly = "25006"
	// stateRecovery: a function cannot run during recovery.
	sqlstateInRecovery = "55000"
	// stateConflict: the statement conflicts with the replay of the log.
	sqlstateConflict = "40001"
)

// relay passes the answer to one unit from the endpoint to the caller.
type relay struct {
	s     *session
	co    *checkout
	u     *unit
	class unitClass
	plan  plan
	// within tells that a transaction was in progress before the unit.
	inTransaction bool
	// marker is the row that the transaction opened for the unit holds, or nil.
	marker *marker
	// request is what is known of the unit's fate.
	request retry.Request
	// sent is when the unit was sent.
	sent   time.Time
	writer chan error
	// mark is the queue's length before the first answer that is held back.
	heldFrom int
	holding  bool
	// wrote tells that a statement completed that may have written.
	mayHaveWritten bool
	// answered counts the answers before the one to Sync.
	answered int
	failed   bool
	tag      []byte
}

// run reads until the unit is answered.
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
			err = r.pass(msg)
		case *pgproto3.CopyInResponse:
			if err = r.pass(msg); err == nil {
				err = r.copyIn()
			}
		default:
			err = r.relayMessage(msg)
		}
		if err != nil {
			return outcomeAnswered, err
		}
		if !r.u.sync && (r.failed || r.answered >= r.plan.pending) {
			return outcomeAnswered, r.endSegment()
		}
	}
}

// relayMessage passes on one message that does not end the unit.
func (r *relay) relayMessage(msg pgproto3.BackendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.ParseComplete:
		r.answered++
		return r.parseComplete()
	case *pgproto3.CloseComplete:
		r.answered++
		return r.closeComplete()
	case *pgproto3.BindComplete, *pgproto3.NoData, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		r.answered++
		return r.pass(msg)
	case *pgproto3.RowDescription:
		r.answered++
		return r.pass(msg)
	case *pgproto3.CommandComplete:
		r.answered++
		return r.commandComplete(msg)
	case *pgproto3.NotificationResponse:
		return nil // LISTEN is not served
	}
	return r.pass(msg)
}

// pass queues a message for the caller and sends what has gathered.
func (r *relay) pass(msg pgproto3.BackendMessage) error {
	if err := r.s.conn.Queue(msg); err != nil {
		return err
	}
	queued := r.s.conn.Queued()
	switch {
	case r.holding && queued > maxHeldBytes:
		return r.releaseEarly()
	case !r.holding && queued > flushBytes:
		r.request.Streamed = true
		return r.s.conn.Flush()
	}
	return nil
}

func (r *relay) parseComplete() error {
	if len(r.plan.parses) == 0 {
		return result.New(result.OutcomeUnknown, "endpoint %s sent an answer too many", r.co.endpoint)
	}
	a := r.plan.parses[0]
	r.plan.parses = r.plan.parses[1:]
	r.co.conn.Session.Add(a.name)
	if a.injected {
		return nil
	}
	r.s.statements[a.clientName] = a.stmt
	return r.pass(&pgproto3.ParseComplete{})
}

func (r *relay) closeComplete() error {
	if len(r.plan.closes) == 0 {
		return result.New(result.OutcomeUnknown, "endpoint %s sent an answer too many", r.co.endpoint)
	}
	a := r.plan.closes[0]
	r.plan.closes = r.plan.closes[1:]
	if a.injected {
		return nil
	}
	if a.clientName != "" {
		delete(r.s.statements, a.clientName)
	}
	return r.pass(&pgproto3.CloseComplete{})
}

// complete handles the end of a statement, and holds it back when it may have
// written.
func (r *relay) commandComplete(msg *pgproto3.CommandComplete) error {
	r.tag = append(r.tag[:0], msg.CommandTag...)
	r.s.srv.countRead(r.class, r.co)
	if r.co.primary && !r.co.readOnly && (r.marker != nil || !cannotHaveWritten(r.tag)) {
		r.mayHaveWritten = true
		if !r.holding {
			r.holding = true
			r.heldFrom = r.s.conn.Queued()
		}
	}
	return r.pass(msg)
}

// harmlessTag reports whether the statement cannot have committed a write.
func cannotHaveWritten(tag []byte) bool {
	for _, verb := range []string{"BEGIN", "START TRANSACTION", "ROLLBACK", "SET", "RESET", "SHOW", "SAVEPOINT"} {
		if string(tag) == verb {
			return true
		}
	}
	return false
}

// keep is the length of the queue that may be passed on whatever happens.
func (r *relay) safeLength() int {
	if r.holding {
		return r.heldFrom
	}
	return r.s.conn.Queued()
}

// releaseEarly waits in the middle of a large answer.
func (r *relay) releaseEarly() error {
	if err := r.acknowledge(); err != nil {
		return err
	}
	r.holding = false
	r.request.Streamed = true
	return r.s.conn.Flush()
}

// runsElsewhere reports whether the error proves that a read has not run on a
// replica and the primary may run it.
func (r *relay) primaryMayRun(msg *pgproto3.ErrorResponse) bool {
	switch msg.Code {
	case sqlstateReadOnly, sqlstateInRecovery, sqlstateConflict:
	default:
		return false
	}
	declared := r.co.readOnly && msg.Code == sqlstateReadOnly
	return !r.co.primary && !declared && r.class.kind == kindRead && !r.request.InTransaction && !r.request.Streamed
}

// moveToPrimary drops the rest of the answer.
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

// returnLease gives the connection back after the endpoint reported that it is
// idle.
func (r *relay) returnCheckout() {
	co := r.s.checkout
	if co.latency == 0 {
		co.latency = time.Since(r.sent)
	}
	r.s.checkout = nil
	reusable := r.writer == nil || <-r.writer == nil
	r.s.release(co, reusable)
}

// endSegment ends a unit that ended with Flush; the connection stays with the
// session until Sync.
func (r *relay) endSegment() error {
	if r.failed {
		r.s.skipToSync = true
	}
	if r.holding && bytes.Equal(r.tag, []byte("COMMIT")) {
		if err := r.acknowledge(); err != nil {
			r.s.conn.Truncate(r.heldFrom)
			return r.s.refuse(err, false)
		}
	}
	return r.s.conn.Flush()
}

// ready ends the unit with the endpoint's transaction state.
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
	s.setTransaction(r.co, status != txIdle)
	r.recordSettings(status)
	if status != txIdle {
		r.co.conn.SetDeadline(time.Time{})
		return outcomeAnswered, s.ready(status)
	}
	if !r.mayHaveWritten {
		err := s.ready(txIdle)
		r.returnCheckout()
		return outcomeAnswered, err
	}
	holds := termHolds(s.srv.opts.View.Current(), r.co)
	r.returnCheckout()
	err := r.termEnded()
	if holds {
		err = r.acknowledge()
	}
	if err != nil {
		s.conn.Truncate(r.safeLength())
		return outcomeAnswered, s.refuse(err, true)
	}
	return outcomeAnswered, s.ready(txIdle)
}

// recordSettings keeps SET statements that have taken effect.
func (r *relay) recordSettings(status byte) {
	s := r.s
	if r.class.kind == kindSet && !r.failed {
		s.pendingSet = append(s.pendingSet, r.u.settingTexts()...)
	}
	if status != txIdle || len(s.pendingSet) == 0 {
		return
	}
	pending := s.pendingSet
	s.pendingSet = nil
	if string(r.tag) == "ROLLBACK" || r.failed {
		return
	}
	for _, text := range pending {
		s.settings.record(text)
	}
	r.co.conn.Session.Settings = s.script()
}

// settingTexts returns the SET and RESET statements of the unit.
func (u *unit) settingTexts() []string {
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
