package core

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// rollbackTimeout bounds the rollback of a transaction that this package ends.
const rollbackTimeout = 500 * time.Millisecond

// transaction is a transaction in progress. Its connection is checked out by the
// session until it ends.
type transaction struct {
	checkout *checkout
	route    note.Route
	readOnly bool
	// wrote: a statement that may change data was sent.
	wrote bool
}

// begin starts a transaction at an endpoint and keeps the connection for it. The slot
// is freed, so that an idle transaction occupies none.
func (s *Session) begin(st Statement) Reply {
	if s.state != Idle {
		return refuse(result.New(result.MalformedMessage, "a transaction is in progress"))
	}
	if s.srv.aborting.Load() {
		return refuse(errStopping())
	}
	readOnly := st.Kind == BeginReadOnly
	a, err := s.authorizeStatement(!readOnly)
	if err != nil {
		return refuse(err)
	}
	if reply, host, ok := s.forward(st, a, !readOnly); ok {
		if reply.Err == nil {
			s.remote = &remoteTransaction{host: host, route: a.route}
			s.state = InTransaction
		}
		return reply
	}
	op, err := s.admit(st, a, !readOnly)
	if err != nil {
		return refuse(err)
	}
	co, err := op.beginTransaction()
	if err != nil {
		return refuse(err)
	}
	co.freeSlot()
	s.tx = &transaction{checkout: co, route: op.route, readOnly: readOnly}
	s.state = InTransaction
	return Reply{}
}

// beginTransaction starts the transaction at an endpoint and waits for confirmation. It
// retries a begin that was refused or not answered: the connection of a lost begin is
// closed, which discards whatever the endpoint had started.
func (op *operation) beginTransaction() (*checkout, *result.Error) {
	ctx, cancel := context.WithDeadline(op.session.srv.answering, op.deadline)
	defer cancel()
	for {
		co, err := op.acquire(ctx)
		if err != nil {
			op.refund()
			return nil, err
		}
		op.dispatched = true
		st := Statement{Kind: op.st.Kind}
		a, _, sendErr := op.session.exchange(co, op.route, op.session.command(co, st, op.need.after))
		var reply Reply
		switch {
		case sendErr != nil:
			co.release(false)
			reply, _ = op.afterConnectionLost(co, false, sendErr)
		case a.Err != nil:
			co.release(a.State == Idle)
			reply, _ = op.afterRefusal(co, a)
		case a.State != InTransaction:
			co.release(false)
			reply = refuse(result.New(result.EndpointLost, "endpoint %s did not begin a transaction", co.endpoint.record.ID))
		default:
			return co, nil
		}
		op.attempts++
		if op.attempts >= maxAttempts || pause(ctx, nil) != nil {
			return nil, withRetryAfter(reply.Err)
		}
	}
}

// runInTransaction runs a statement on the connection of the transaction.
func (s *Session) runInTransaction(st Statement) Reply {
	if s.remote != nil {
		return s.runInRemoteTransaction(st)
	}
	tx := s.tx
	if tx == nil {
		s.state = Failed
		return refuse(result.New(result.TransactionAborted, "the transaction was rolled back: it was idle, the host is stopping, or its endpoint is out of use"))
	}
	deadline := time.Now().Add(time.Duration(tx.route.Timeout) * time.Millisecond)
	if err := s.checkTransaction(); err != nil {
		return s.abortTransaction(err)
	}
	tx.checkout.startStatement()
	if err := s.restore(tx.checkout, st, deadline); err != nil {
		return s.failTransaction(err)
	}
	if s.writes(st) {
		tx.wrote = true
	}
	a, _, err := s.exchange(tx.checkout, tx.route, s.command(tx.checkout, st, LogPosition{}))
	tx.checkout.freeSlot()
	switch {
	case err != nil:
		tx.checkout.endpoint.suspect(s.workspace, err)
		return s.failTransaction(result.New(result.EndpointLost, "endpoint %s: %v", tx.checkout.endpoint.record.ID, err))
	case a.Err != nil && a.State == InTransaction:
		return refuse(a.Err)
	case a.Err != nil:
		s.endTransaction()
		s.state = Failed
		return refuse(a.Err)
	case a.State != InTransaction:
		return s.failTransaction(result.New(result.EndpointLost, "endpoint %s left the transaction", tx.checkout.endpoint.record.ID))
	}
	return Reply{Rows: a.Rows, Signature: a.Signature}
}

// startStatement begins a statement of the transaction. It does not wait for a slot: the
// transaction holds a connection already, and finishing sooner frees it for others.
func (co *checkout) startStatement() {
	co.releaseSlot = func() {}
	co.endpoint.beginStatement()
}

// checkTransaction checks access to the route, that the failure domain of the endpoint is in use,
// and that a transaction that may write is still under the term and the primary with which it
// began.
func (s *Session) checkTransaction() *result.Error {
	if err := s.checkAccess(s.tx.route); err != nil {
		return err
	}
	if s.inDomainOut() {
		return errDomainOut(s.tx.checkout.endpoint.record)
	}
	if !s.tx.readOnly && !s.srv.stillValid(s.tx.checkout.choice) {
		return result.New(result.EndpointLost, "endpoint %s is not the primary any more", s.tx.checkout.endpoint.record.ID)
	}
	return nil
}

// inDomainOut reports whether the transaction runs at an endpoint of this host's connections whose
// failure domain is out of use. The caller holds s.mu.
func (s *Session) inDomainOut() bool {
	v := s.srv.opts.View.Current()
	return s.tx != nil && v.State != nil && v.State.DomainOut(s.tx.checkout.endpoint.record.Domain)
}

func errDomainOut(e agreed.Endpoint) *result.Error {
	return result.New(result.EndpointLost, "the failure domain %s of endpoint %s is out of use", e.Domain, e.ID)
}

// leaveDomainOut ends an idle transaction whose endpoint is in a failure domain that is out of use,
// and reports whether it did. It closes the connection: nothing more is sent to the endpoint, which
// rolls the transaction back. A statement in progress is left to end; the next one is refused.
func (s *Session) leaveDomainOut() bool {
	if !s.mu.TryLock() {
		return false
	}
	defer s.mu.Unlock()
	if !s.inDomainOut() {
		return false
	}
	s.srv.opts.Log.Info("transaction_left_domain", "database", s.database, "workspace", s.workspace, "endpoint", s.tx.checkout.endpoint.record.ID)
	s.closeTransaction()
	return true
}

// checkAccess checks that the lease is valid and that the caller's key still gives access
// to the workspace.
func (s *Session) checkAccess(route note.Route) *result.Error {
	v := s.srv.opts.View.Current()
	if !v.Valid() {
		return result.New(result.NoConfigLease, "the configuration lease ended")
	}
	if key, ok := v.State.Catalog.Keys[s.key]; s.key != "" && (!ok || key.Workspace != s.workspace) && !route.Open {
		return result.New(result.KeyWithdrawn, "the key was withdrawn")
	}
	return nil
}

// abortTransaction rolls the transaction back and reports to the caller that it was
// aborted.
func (s *Session) abortTransaction(cause *result.Error) Reply {
	if s.inDomainOut() {
		s.closeTransaction()
	}
	s.endTransaction()
	s.state = Failed
	return refuse(result.New(result.TransactionAborted, "%v", cause))
}

// failTransaction closes the connection, which makes the endpoint roll the transaction
// back, since no commit was sent.
func (s *Session) failTransaction(cause *result.Error) Reply {
	s.closeTransaction()
	s.state = Failed
	return refuse(result.New(result.TransactionAborted, "%v", cause))
}

// commit commits the transaction. The outcome is unknown when the connection fails
// after the commit of a transaction that wrote was sent.
func (s *Session) commit(st Statement) Reply {
	if s.state == Idle {
		return refuse(result.New(result.MalformedMessage, "no transaction is in progress"))
	}
	if s.remote != nil {
		return s.commitRemote(st)
	}
	tx := s.tx
	if s.state == Failed || tx == nil {
		s.endTransaction()
		s.state = Idle
		return refuse(result.New(result.TransactionAborted, "the transaction has failed and was rolled back"))
	}
	if err := s.checkTransaction(); err != nil {
		reply := s.abortTransaction(err)
		s.state = Idle
		return reply
	}
	tx.checkout.startStatement()
	a, sent, err := s.exchange(tx.checkout, tx.route, s.command(tx.checkout, st, LogPosition{}))
	s.state = Idle
	if err != nil {
		tx.checkout.endpoint.suspect(s.workspace, err)
		s.closeTransaction()
		return s.lostCommitReply(tx, sent, err)
	}
	s.tx = nil
	if a.Err != nil {
		// The endpoint has rolled back, which may revert session values that were set in the
		// transaction. Those of the session remain: it had them acknowledged.
		tx.checkout.conn.stateUnknown = true
		tx.checkout.release(a.State == Idle)
		return refuse(a.Err)
	}
	tx.checkout.release(a.State == Idle)
	if tx.wrote {
		s.recordCommit(tx.checkout.log, a.Position)
	}
	return Reply{Rows: a.Rows, Signature: a.Signature}
}

// lostCommitReply returns the reply to a commit whose connection failed.
func (s *Session) lostCommitReply(tx *transaction, sent bool, err error) Reply {
	id := tx.checkout.endpoint.record.ID
	if !sent || !tx.wrote {
		return refuse(result.New(result.TransactionAborted, "endpoint %s was lost before it could commit any change: %v", id, err))
	}
	return refuse(result.New(result.OutcomeUnknown, "endpoint %s did not answer the commit: %v", id, err))
}

// rollback rolls the transaction back at the request of the caller.
func (s *Session) rollback() Reply {
	if s.state == Idle {
		return refuse(result.New(result.MalformedMessage, "no transaction is in progress"))
	}
	s.endTransaction()
	s.state = Idle
	return Reply{}
}

// endTransaction rolls back in the background, at the endpoint or at the host that runs the
// transaction, and then releases the connection. It does not change the state of the
// session.
func (s *Session) endTransaction() {
	if remote := s.remote; remote != nil {
		s.remote = nil
		s.srv.opts.Forwarder.EndTransaction(remote.host, s.id)
		return
	}
	tx := s.tx
	if tx == nil {
		return
	}
	s.tx = nil
	tx.checkout.freeSlot()
	co := tx.checkout
	go func() {
		// The rollback may revert session values that were set in the transaction.
		co.conn.stateUnknown = true
		answers, _, err := co.conn.Exchange(time.Now().Add(rollbackTimeout), Command{Statement: Statement{Kind: Rollback}})
		co.release(err == nil && answers[0].Err == nil && answers[0].State == Idle)
	}()
}

// closeTransaction closes the connection of the transaction without a rollback command.
func (s *Session) closeTransaction() {
	if tx := s.tx; tx != nil {
		s.tx = nil
		tx.checkout.release(false)
	}
}

// asError is errors.As for an interface target.
func asError[T any](err error, target *T) bool { return errors.As(err, target) }
