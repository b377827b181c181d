package core

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// rollbackTimeout bounds the rollback of a transaction that the core ends.
const rollbackTimeout = 500 * time.Millisecond

// transaction is one in progress. Its connection is pinned to the session.
type transaction struct {
	lease    *lease
	route    note.Route
	readOnly bool
	// wrote: a statement that writes was sent.
	wrote bool
}

// begin starts a transaction at an endpoint.
func (s *Session) begin(st Statement) Reply {
	if s.state != Idle {
		return refuse(result.New(result.MalformedMessage, "a transaction is in progress"))
	}
	readOnly := st.Kind == BeginReadOnly
	op, err := s.admitted(st, !readOnly)
	if err != nil {
		return refuse(err)
	}
	l, err := op.beginAt()
	if err != nil {
		return refuse(err)
	}
	l.free()
	s.tx = &transaction{lease: l, route: op.route, readOnly: readOnly}
	s.state = InTransaction
	return Reply{}
}

// beginAt opens the transaction at an endpoint and confirms it. A begin that
// got no answer is given up with its connection, so that it may be repeated.
func (op *operation) beginAt() (*lease, *result.Error) {
	ctx, cancel := context.WithDeadline(op.session.srv.ctx, op.deadline)
	defer cancel()
	for {
		l, err := op.place(ctx)
		if err != nil {
			op.refund()
			return nil, err
		}
		op.offered = true
		st := Statement{Kind: op.st.Kind}
		a, _, sendErr := op.session.exchange(l, op.route, op.session.command(l, st, op.need.after))
		var reply Reply
		switch {
		case sendErr != nil:
			l.release(false)
			reply, _ = op.lost(l, false, sendErr)
		case a.Err != nil:
			l.release(a.State == Idle)
			reply, _ = op.refused(l, a)
		case a.State != InTransaction:
			l.release(false)
			reply = refuse(result.New(result.EndpointLost, "endpoint %s began no transaction", l.endpoint.record.ID))
		default:
			return l, nil
		}
		op.attempts++
		if op.attempts >= maxAttempts || pause(ctx, nil) != nil {
			return nil, op.refusal(reply.Err)
		}
	}
}

// runInTransaction runs a statement on the pinned connection.
func (s *Session) runInTransaction(st Statement) Reply {
	tx := s.tx
	if tx == nil {
		s.state = Failed
		return refuse(result.New(result.TransactionAborted, "the transaction was ended for its caller's silence"))
	}
	deadline := time.Now().Add(time.Duration(tx.route.Timeout) * time.Millisecond)
	if err := s.mayContinue(); err != nil {
		return s.abort(err)
	}
	tx.lease.enter()
	if err := s.restore(tx.lease, st, deadline); err != nil {
		return s.lostInTransaction(err)
	}
	if s.writes(st) {
		tx.wrote = true
	}
	a, _, err := s.exchange(tx.lease, tx.route, s.command(tx.lease, st, Position{}))
	tx.lease.free()
	switch {
	case err != nil:
		tx.lease.endpoint.suspect(s.workspace, err)
		return s.lostInTransaction(result.New(result.EndpointLost, "endpoint %s: %v", tx.lease.endpoint.record.ID, err))
	case a.Err != nil && a.State == InTransaction:
		return refuse(a.Err)
	case a.Err != nil:
		s.endTransaction()
		s.state = Failed
		return refuse(a.Err)
	case a.State != InTransaction:
		return s.lostInTransaction(result.New(result.EndpointLost, "endpoint %s left the transaction", tx.lease.endpoint.record.ID))
	}
	return Reply{Rows: a.Rows, Signature: a.Signature}
}

// enter begins a statement of the transaction. It waits for no slot: it has a
// connection, which comes free for others sooner.
func (l *lease) enter() {
	l.leave = func() {}
	l.endpoint.begin()
}

// mayContinue checks that the host may still act for the caller and under the
// term in which the transaction began.
func (s *Session) mayContinue() *result.Error {
	v := s.srv.opts.View.Current()
	switch {
	case !v.Valid():
		return result.New(result.NoConfigLease, "the configuration lease ended")
	case !s.tx.readOnly && !s.srv.holds(s.tx.lease.choice):
		return result.New(result.EndpointLost, "endpoint %s is not the primary any more", s.tx.lease.endpoint.record.ID)
	}
	if key, ok := v.State.Catalog.Keys[s.key]; s.key != "" && (!ok || key.Workspace != s.workspace) && !s.tx.route.Open {
		return result.New(result.KeyWithdrawn, "the key was withdrawn")
	}
	return nil
}

// abort rolls the transaction back and tells the caller that nothing is kept.
func (s *Session) abort(cause *result.Error) Reply {
	s.endTransaction()
	s.state = Failed
	return refuse(result.New(result.TransactionAborted, "%v", cause))
}

// lostInTransaction closes the connection, which rolls the transaction back: no
// commit was sent.
func (s *Session) lostInTransaction(cause *result.Error) Reply {
	s.dropTransaction()
	s.state = Failed
	return refuse(result.New(result.TransactionAborted, "%v", cause))
}

// commit ends the transaction. Its outcome is in doubt when the endpoint does
// not answer.
func (s *Session) commit(st Statement) Reply {
	if s.state == Idle {
		return refuse(result.New(result.MalformedMessage, "no transaction is in progress"))
	}
	tx := s.tx
	if s.state == Failed || tx == nil {
		s.endTransaction()
		s.state = Idle
		return refuse(result.New(result.TransactionAborted, "the transaction has failed and was rolled back"))
	}
	if err := s.mayContinue(); err != nil {
		reply := s.abort(err)
		s.state = Idle
		return reply
	}
	tx.lease.enter()
	a, sent, err := s.exchange(tx.lease, tx.route, s.command(tx.lease, st, Position{}))
	s.state = Idle
	if err != nil {
		tx.lease.endpoint.suspect(s.workspace, err)
		s.dropTransaction()
		return s.commitLost(tx, sent, err)
	}
	s.tx = nil
	tx.lease.release(a.State == Idle)
	if a.Err != nil {
		return refuse(a.Err)
	}
	if tx.wrote {
		s.committed(tx.lease.term, a.Position)
	}
	return Reply{Rows: a.Rows, Signature: a.Signature}
}

func (s *Session) commitLost(tx *transaction, sent bool, err error) Reply {
	id := tx.lease.endpoint.record.ID
	if !sent || !tx.wrote {
		return refuse(result.New(result.TransactionAborted, "endpoint %s was lost before it could keep anything: %v", id, err))
	}
	return refuse(result.New(result.OutcomeUnknown, "endpoint %s did not answer the commit: %v", id, err))
}

// rollback ends the transaction for the caller.
func (s *Session) rollback() Reply {
	if s.state == Idle {
		return refuse(result.New(result.MalformedMessage, "no transaction is in progress"))
	}
	s.endTransaction()
	s.state = Idle
	return Reply{}
}

// endTransaction rolls back at the endpoint in the background and gives the
// connection back. The state is left to the caller.
func (s *Session) endTransaction() {
	tx := s.tx
	if tx == nil {
		return
	}
	s.tx = nil
	tx.lease.free()
	l := tx.lease
	go func() {
		// The endpoint may undo values that were set inside of the transaction.
		l.conn.unknown = true
		answers, _, err := l.conn.Exchange(time.Now().Add(rollbackTimeout), Command{Statement: Statement{Kind: Rollback}})
		l.release(err == nil && answers[0].Err == nil && answers[0].State == Idle)
	}()
}

// dropTransaction closes the connection of the transaction.
func (s *Session) dropTransaction() {
	if tx := s.tx; tx != nil {
		s.tx = nil
		tx.lease.release(false)
	}
}

// asError is errors.As for an interface target.
func asError[T any](err error, target *T) bool { return errors.As(err, target) }
