package core

import (
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// remoteTransaction is a transaction of this host's session that another host runs.
type remoteTransaction struct {
	host  string
	route note.Route
	// wrote: a statement that may change data was sent.
	wrote bool
}

// runInRemoteTransaction runs a statement in the transaction at the other host, which checks
// the lease and the caller's key. Without an answer nothing of the transaction is kept, since
// its commit was not sent.
func (s *Session) runInRemoteTransaction(st Statement) Reply {
	tx := s.remote
	if err := s.reserveCopies(st, forwardCopies); err != nil {
		return refuse(err)
	}
	tx.wrote = tx.wrote || s.writes(st)
	response, err := s.callTransactionHost(st)
	switch {
	case err != nil:
		return s.abortTransaction(result.New(result.EndpointLost, "host %s: %v", tx.host, err))
	case response.Declined:
		return s.abortTransaction(result.New(result.EndpointLost, "host %s does not have the transaction any more", tx.host))
	}
	reply := s.acceptResponse(tx.host, tx.route, response, s.writes(st))
	if response.State != InTransaction {
		s.remote = nil
		s.state = Failed
	}
	return reply
}

// commitRemote commits the transaction at the other host.
func (s *Session) commitRemote(st Statement) Reply {
	tx := s.remote
	response, err := s.callTransactionHost(st)
	s.state = Idle
	switch {
	case err == nil && !response.Declined:
		s.remote = nil
		return s.acceptResponse(tx.host, tx.route, response, tx.wrote)
	case err == nil, errors.Is(err, ErrNotRun), !tx.wrote:
		s.endTransaction()
		return refuse(result.New(result.TransactionAborted, "host %s was lost before it could commit any change", tx.host))
	}
	s.remote = nil
	return refuse(result.New(result.OutcomeUnknown, "host %s did not answer the commit: %v", tx.host, err))
}

// callTransactionHost runs a statement in the transaction at the other host.
func (s *Session) callTransactionHost(st Statement) (RemoteResponse, error) {
	route := s.remote.route
	r := s.remoteRequest(st, route, time.Now().Add(time.Duration(route.Timeout)*time.Millisecond))
	r.InTransaction = true
	return s.callHost(s.remote.host, r, route)
}
