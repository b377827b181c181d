package core

import (
	"context"
	"maps"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/budget"
	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/view"
)

// RemoteRequest is a statement of a session on another host. It carries whatever of the
// session's state the statement needs, so that the host that runs it keeps none outside of
// transactions.
type RemoteRequest struct {
	// Session identifies the session at the host that sends the request.
	Session uint64
	// Revision is the revision under which the sender admitted the caller. The statement
	// does not run under an earlier one.
	Revision uint64
	// Document is the highest number of a document that the sender knows to be in force. The
	// statement does not run under a lower one. Hosts of earlier builds send zero.
	Document  uint64
	Database  string
	Key       string
	Statement Statement
	Values    map[string]string
	// Prepared is the prepared statement that Statement executes, if it is an Execute.
	Prepared *PreparedStatement
	// Remaining is the time in which the statement must be sent to an endpoint.
	Remaining time.Duration
	// InTransaction: the statement belongs to the transaction that the session has here.
	InTransaction bool
	// MayDecline: another host can be asked if this one cannot reach the endpoint.
	MayDecline bool
	// Commit is the last commit of the session in the service of its route, nil if there is none.
	// Hosts of earlier builds set no service.
	Commit *SessionCommit
	// OtherCommits are those in other services. CommitsForgotten: it has written to more than these.
	OtherCommits     []SessionCommit
	CommitsForgotten bool
}

// PreparedStatement is the content of a prepared statement.
type PreparedStatement struct {
	Text   string
	Writes bool
}

// RemoteResponse is the answer to a RemoteRequest.
type RemoteResponse struct {
	// Declined: the statement did not run here and another host should be asked. A
	// transaction that it belongs to does not exist here any more.
	Declined bool
	// Unavailable: the host declines all statements now.
	Unavailable bool
	Rows        []string
	Signature   string
	Err         *result.Error
	State       State
	// Commit is the last commit of the session in the service on which the statement ran, nil if it
	// is the one in the request. Hosts of earlier builds set no service and always send one.
	Commit  *SessionCommit
	Timings RemoteTimings
	// Document is the number of the document under which the statement ran, or a higher one.
	Document uint64
}

// RemoteTimings tells where the time of a forwarded statement went.
type RemoteTimings struct {
	Rate, Slot, Connection, Endpoint time.Duration
	Attempts                         int
	EndpointID                       string
}

// Origin is the process that sent a RemoteRequest.
type Origin struct {
	Host        string
	Incarnation uint64
}

// remoteKey identifies a session of another host.
type remoteKey struct {
	origin  Origin
	session uint64
}

// maxRevisionWait bounds the wait for the revision of a forwarded statement. A host that
// takes longer to follow the agreed state declines.
const maxRevisionWait = 100 * time.Millisecond

// firstLeaseWait bounds it at a process that has not had a lease yet. When a fleet comes back
// all hosts get theirs at about the same time, and the other home hosts are no better off.
const firstLeaseWait = 300 * time.Millisecond

// remoteCaller is the Caller of a session on another host, which watches the connection.
type remoteCaller struct{}

func (remoteCaller) IsIdle() bool { return true }
func (remoteCaller) Disconnect()  {}

func (remoteCaller) Account() *budget.Account { return nil }

// AcceptsRemote reports whether the host runs statements for other hosts now.
func (s *Server) AcceptsRemote() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.remoteStopped && s.ctx.Err() == nil && s.opts.View.Current().Valid()
}

// StopRemote makes the server decline new statements of other hosts. Those of open
// transactions are still served.
func (s *Server) StopRemote() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remoteStopped = true
}

// RunRemote runs a statement for a session on another host.
func (s *Server) RunRemote(origin Origin, r RemoteRequest) RemoteResponse {
	if !s.beginRemote(r.InTransaction) {
		return RemoteResponse{Declined: true, Unavailable: true}
	}
	defer s.endRemote()
	key := remoteKey{origin, r.Session}
	if r.InTransaction {
		session := s.remoteTransaction(key)
		if session == nil {
			return RemoteResponse{Declined: true}
		}
		return session.runRemote(key, r)
	}
	s.observeDocument(r.Document)
	if !s.awaitRevision(r.Revision, s.newestDocument.Load(), min(r.Remaining, revisionWait(s.opts.View.Current()))) {
		return RemoteResponse{Declined: true, Unavailable: true}
	}
	session := &Session{
		srv: s, id: s.lastSessionID.Add(1), database: r.Database, key: r.Key, caller: remoteCaller{}, isRemote: true,
		prepared: map[string]preparedStatement{}, lastReplyAt: clock.Now(),
	}
	if r.MayDecline && session.lacksPrimary(r) {
		return RemoteResponse{Declined: true}
	}
	return session.runRemote(key, r)
}

// beginRemote counts a statement of another host as in progress. It returns false if the
// statement must be declined.
func (s *Server) beginRemote(inTransaction bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.remoteStopped && !inTransaction || s.ctx.Err() != nil {
		return false
	}
	s.remoteRunning++
	return true
}

func (s *Server) endRemote() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remoteRunning--
}

// remoteWork returns the number of statements and open transactions of other hosts.
func (s *Server) remoteWork() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.remoteRunning + len(s.remoteTransactions)
}

// revisionWait returns how long the host waits for the revision of a forwarded statement.
func revisionWait(v view.View) time.Duration {
	if _, had := v.LostFor(); !had {
		return firstLeaseWait
	}
	return maxRevisionWait
}

// awaitRevision waits until the host may act on a revision and a document, for at most the timeout.
func (s *Server) awaitRevision(revision, document uint64, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	for {
		changed := s.opts.View.Changed()
		if v := s.opts.View.Current(); v.Valid() && v.State.Revision >= revision && documentNumber(v) >= document {
			return true
		}
		if pause(ctx, changed) != nil {
			return false
		}
	}
}

// lacksPrimary reports whether a statement needs a primary that this host suspects.
func (s *Session) lacksPrimary(r RemoteRequest) bool {
	v := s.srv.opts.View.Current()
	route, ok := v.State.Catalog.Routes[r.Database]
	writes := r.Statement.Kind == Write || r.Statement.Kind == Begin || r.Prepared != nil && r.Prepared.Writes
	if !ok || !writes && route.Policy != note.ReadPrimary {
		return false
	}
	e, ok := s.srv.usable(v, v.State.Groups[route.Service].Primary)
	return ok && e.load(clock.Now()).suspected
}

// runRemote runs a statement and returns the response with the state of the session. While
// it begins a transaction or has one, the session is registered under the key.
func (s *Session) runRemote(key remoteKey, r RemoteRequest) RemoteResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Statement.Kind == Begin || r.Statement.Kind == BeginReadOnly {
		s.srv.registerRemote(key, s)
	}
	s.values, s.remaining, s.timings = r.Values, r.Remaining, timings{}
	s.commits.receive(r)
	if r.Prepared != nil {
		s.prepared[r.Statement.Name] = preparedStatement{text: r.Prepared.Text, writes: r.Prepared.Writes}
	}
	document := s.srv.knownDocument()
	reply := s.serveRemote(r)
	s.abortIfStopping()
	s.lastReplyAt = clock.Now()
	if s.tx == nil {
		s.srv.unregisterRemote(key, s)
	}
	return RemoteResponse{
		Rows: reply.Rows, Signature: reply.Signature, Err: reply.Err, State: s.state,
		Commit: s.commits.changedBy(r), Timings: s.timings.remote(), Document: document,
	}
}

// serveRemote serves a statement with an account of its own. What came with the request is dropped
// afterwards, so that an open transaction holds none of it.
func (s *Session) serveRemote(r RemoteRequest) Reply {
	s.account = s.srv.opts.Budget.Open(nil)
	defer func() {
		s.account.Close()
		s.account, s.values, s.valueBytes = nil, nil, 0
		clear(s.prepared)
	}()
	s.account.SetWorkspace(s.workspace)
	for name, value := range r.Values {
		s.valueBytes += keptSize(name, value)
	}
	if err := s.reserveCopies(r.Statement, forwardCopies); err != nil {
		return refuse(err)
	}
	return s.serve(r.Statement)
}

// registerRemote registers a session that begins a transaction. A transaction that an
// earlier request of the same session has left behind is rolled back.
func (s *Server) registerRemote(key remoteKey, session *Session) {
	s.mu.Lock()
	former := s.remoteTransactions[key]
	s.remoteTransactions[key] = session
	s.mu.Unlock()
	if former != nil {
		s.spawn(func(context.Context) { former.abandon() })
	}
}

func (s *Server) unregisterRemote(key remoteKey, session *Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.remoteTransactions[key] == session {
		delete(s.remoteTransactions, key)
	}
}

// remoteTransaction returns the session that has an open transaction under the key, or nil.
func (s *Server) remoteTransaction(key remoteKey) *Session {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.remoteTransactions[key]
}

// EndRemoteTransaction rolls back the transaction of a session on another host, if it has
// one here. It does not block.
func (s *Server) EndRemoteTransaction(origin Origin, session uint64) {
	s.endRemoteTransactions(func(key remoteKey) bool { return key == remoteKey{origin, session} })
}

// EndRemoteTransactions rolls back the transactions of all sessions on a process of another
// host that was lost. It does not block.
func (s *Server) EndRemoteTransactions(origin Origin) {
	s.endRemoteTransactions(func(key remoteKey) bool { return key.origin == origin })
}

// endRemovedOrigins rolls back the transactions of processes that are no longer registered.
func (s *Server) endRemovedOrigins(state *agreed.State) {
	s.endRemoteTransactions(func(key remoteKey) bool {
		return state.Hosts[key.origin.Host].Incarnation != key.origin.Incarnation
	})
}

func (s *Server) endRemoteTransactions(selected func(remoteKey) bool) {
	for key, session := range s.openRemoteTransactions() {
		if selected(key) {
			s.unregisterRemote(key, session)
			s.spawn(func(context.Context) { session.abandon() })
		}
	}
}

// abandon rolls back the transaction of a session that sends no more statements. It waits
// for a statement in progress, such as the begin of the transaction.
func (s *Session) abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endTransaction()
}

// expireRemoteTransactions rolls back the transactions of sessions on other hosts that have
// been idle for at least the limit.
func (s *Server) expireRemoteTransactions(now time.Time, limit time.Duration) {
	for key, session := range s.openRemoteTransactions() {
		if session.expireTransaction(now, limit) {
			s.unregisterRemote(key, session)
		}
	}
}

func (s *Server) openRemoteTransactions() map[remoteKey]*Session {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.remoteTransactions)
}
