package core

import (
	"sync"
	"time"

	"github.com/galenabridge/galenabridge/internal/budget"
	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/view"
)

// Session is the session of one caller. Do must not be called concurrently with
// itself; the other methods are safe for concurrent use.
//
// At most one of tx and remote is set, and only while state is InTransaction. After the
// server has expired the transaction, state stays InTransaction with neither until the next
// statement reports the abort.
type Session struct {
	srv      *Server
	id       uint64
	database string
	// key is the digest of the caller's key; empty when the caller presented none.
	key       string
	workspace string
	caller    Caller
	// account pays for what the session keeps and for its statement in progress.
	account *budget.Account

	// mu is held while a statement is served and while an idle transaction is
	// expired, so that an expiry never interrupts a statement.
	mu       sync.Mutex
	state    State
	values   map[string]string
	prepared map[string]preparedStatement
	// valueBytes is the size of the values, keptBytes that of all the session keeps.
	valueBytes, keptBytes int64
	commits               sessionCommits
	tx                    *transaction
	// remote is the transaction if another host runs it; tx is nil then.
	remote *remoteTransaction
	// isRemote: the caller is connected to another host, which forwards its statements.
	// remaining is then the time left for the one in progress.
	isRemote  bool
	remaining time.Duration
	// lastReplyAt is the time of the last reply, or of the opening of the session.
	lastReplyAt time.Time
	// timings is the time breakdown of the statement in progress.
	timings timings
	// closed: the caller's connection was closed by the server. No further statement
	// may be sent to an endpoint on its behalf.
	closed bool
	// cutOff: the last statement was refused because the host lost its lease long ago and no
	// other host ran it.
	cutOff bool
}

// Caller is the connection to the caller of a session.
type Caller interface {
	// IsIdle reports, without blocking, whether the connection is open and has no
	// unread request.
	IsIdle() bool
	// Disconnect closes the connection. It may be called more than once.
	Disconnect()
	// Account returns the account of the connection, which may be nil. The caller settles it
	// when a reply has been sent.
	Account() *budget.Account
}

// authorizationTimeout bounds the wait for the host's configuration lease when a session is
// opened or a statement is admitted. It is below the 2 s after which callers give up.
const authorizationTimeout = 1500 * time.Millisecond

// Open opens a session on a database. key is the digest of the caller's key, or empty.
// It waits up to authorizationTimeout for a valid configuration lease before it refuses,
// unless the lease was lost long ago.
func (s *Server) Open(database, key string, caller Caller) (*Session, *result.Error) {
	session := &Session{
		srv: s, id: s.lastSessionID.Add(1), database: database, key: key, caller: caller, account: caller.Account(),
		values: map[string]string{}, prepared: map[string]preparedStatement{}, lastReplyAt: clock.Now(),
	}
	if err := session.awaitAuthorization(authorizationTimeout); err != nil {
		s.opts.Log.Info("session_refused", "database", database, "code", int(err.Code), "detail", err.Detail)
		return nil, err
	}
	if err := s.register(session); err != nil {
		s.opts.Log.Info("session_refused", "database", database, "code", int(err.Code), "detail", err.Detail)
		return nil, err
	}
	s.metrics.sessions.Inc()
	session.account.SetWorkspace(session.workspace)
	return session, nil
}

// register adds a session unless new ones are refused.
func (s *Server) register(session *Session) *result.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusing.Load() {
		return errStopping()
	}
	s.sessions[session] = struct{}{}
	return nil
}

// awaitAuthorization waits until the caller is authorized, or until a view with a valid
// lease refuses it.
func (s *Session) awaitAuthorization(timeout time.Duration) *result.Error {
	timeoutTimer := time.NewTimer(timeout)
	defer timeoutTimer.Stop()
	for {
		changed := s.srv.opts.View.Changed()
		v := s.srv.opts.View.Current()
		_, err := s.authorize(v)
		if err == nil || v.Valid() && !s.srv.isBehind(v) {
			return err
		}
		if lostLongAgo(v) {
			return result.New(result.NoConfigLease, "the host has no configuration lease")
		}
		retryTimer := time.NewTimer(retryDelay)
		select {
		case <-changed:
		case <-retryTimer.C:
		case <-timeoutTimer.C:
			retryTimer.Stop()
			return result.New(result.NoConfigLease, "the host has no configuration lease")
		}
		retryTimer.Stop()
	}
}

// authorize returns the route of the session and sets its workspace. Without a valid
// lease the view may be stale, and a refusal is not final.
func (s *Session) authorize(v view.View) (note.Route, *result.Error) {
	if v.State == nil {
		return note.Route{}, result.New(result.NoConfigLease, "the host has not received the agreed state yet")
	}
	route, ok := v.State.Catalog.Routes[s.database]
	if !ok {
		return route, result.New(result.UnknownService, "no route has the database %q", s.database)
	}
	key, valid := v.State.Catalog.Keys[s.key]
	switch {
	case valid:
		s.workspace = key.Workspace
	case route.Open:
		s.workspace = ""
	default:
		return route, result.New(result.BadKey, "the key is not valid")
	}
	return route, nil
}

// Close ends the session and rolls back a transaction in progress.
func (s *Session) Close() {
	s.srv.mu.Lock()
	_, open := s.srv.sessions[s]
	delete(s.srv.sessions, s)
	s.srv.mu.Unlock()
	if !open {
		return
	}
	s.srv.metrics.sessions.Dec()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endTransaction()
}

// Do serves one statement and returns the reply. It blocks until the statement has
// been answered or refused.
func (s *Session) Do(st Statement) Reply {
	started := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.state == Idle && s.srv.refusing.Load() {
		return refuse(withRetryAfter(result.New(result.ShuttingDown, "the session has ended")))
	}
	s.timings = timings{}
	reply := s.serve(st)
	s.abortIfStopping()
	s.lastReplyAt = clock.Now()
	s.cutOff = reply.Err != nil && reply.Err.Code == result.NoConfigLease && lostLongAgo(s.srv.opts.View.Current())
	reply.State = s.state
	s.reportReply(st, reply, time.Since(started))
	return reply
}

// reportReply logs and counts a reply. A success is logged only when it took at least the
// route's target latency.
func (s *Session) reportReply(st Statement, reply Reply, took time.Duration) {
	var code result.Code
	if reply.Err != nil {
		code = reply.Err.Code
	}
	route := note.Route{Class: note.ClassBulk}
	if v := s.srv.opts.View.Current(); v.State != nil {
		route = v.State.Catalog.Routes[s.database]
	}
	s.srv.metrics.observeReply(st.Kind, code, s.workspace, route.Class, took)
	target := time.Duration(route.Target) * time.Millisecond
	switch {
	case code != 0:
		s.srv.opts.Log.Warn("statement_refused", s.logFields(st, took, "code", int(code), "result", result.Lookup(code).Name,
			"detail", reply.Err.Detail)...)
	case target > 0 && took >= target:
		s.srv.opts.Log.Info("statement_late", s.logFields(st, took, "target_ms", route.Target)...)
	}
}

// logFields returns the key-value pairs of a log line about a statement.
func (s *Session) logFields(st Statement, took time.Duration, more ...any) []any {
	all := []any{"request", st.ID, "kind", st.Kind.String(), "database", s.database, "workspace", s.workspace}
	all = append(all, more...)
	all = append(all, "took_ms", took.Milliseconds())
	return append(all, s.timings.logFields()...)
}

// serve dispatches a statement by its kind. A failed transaction accepts only Commit and
// Rollback.
func (s *Session) serve(st Statement) Reply {
	if s.state == Failed && st.Kind != Commit && st.Kind != Rollback {
		return refuse(result.New(result.MalformedMessage, "the transaction has failed; end it first"))
	}
	switch st.Kind {
	case Begin, BeginReadOnly:
		return s.begin(st)
	case Commit:
		return s.commit(st)
	case Rollback:
		return s.rollback()
	case SetValue:
		return s.setValue(st)
	case Prepare:
		return s.prepare(st)
	case Forget:
		s.forget(st.Name)
		return Reply{}
	case Read, Write, Execute:
		return s.run(st)
	default:
		return refuse(result.New(result.MalformedMessage, "unknown statement"))
	}
}

func refuse(err *result.Error) Reply { return Reply{Err: err} }

// ShouldClose reports whether the session should be closed after the current reply: no
// transaction is in progress, and the server is draining or the host is cut off from the rest
// of the fleet. The caller then connects to another host, which can serve it, where it would
// repeat its refused statement on this one.
func (s *Session) ShouldClose() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state == Idle && (s.cutOff || s.srv.draining.Load())
}

// minIdleBeforeClose is how long a session must have been idle before a shutdown
// closes it: a caller that has just connected or received a reply may already have
// sent its next request.
const minIdleBeforeClose = 150 * time.Millisecond

// closeIfIdle disconnects the caller unless a request or a transaction is in progress.
// A request that is read concurrently is refused and not sent to an endpoint.
func (s *Session) closeIfIdle() {
	if !s.mu.TryLock() {
		return
	}
	defer s.mu.Unlock()
	if s.state == Idle && clock.Since(s.lastReplyAt) >= minIdleBeforeClose && s.caller.IsIdle() {
		s.closed = true
		s.caller.Disconnect()
	}
}

// disconnect closes the caller's connection immediately.
func (s *Session) disconnect() { s.caller.Disconnect() }

// expireTransaction rolls back a transaction that has been idle for at least the limit, and
// reports whether it did. The reply to the caller's next statement reports the abort.
func (s *Session) expireTransaction(now time.Time, limit time.Duration) bool {
	if !s.mu.TryLock() {
		return false
	}
	defer s.mu.Unlock()
	if s.tx == nil && s.remote == nil || s.state != InTransaction || now.Sub(s.lastReplyAt) < limit {
		return false
	}
	s.srv.opts.Log.Info("transaction_expired", "database", s.database, "workspace", s.workspace, "idle_ms", now.Sub(s.lastReplyAt).Milliseconds())
	s.endTransaction()
	return true
}

// statementNeed returns the endpoint requirements of a statement outside of a
// transaction, or of the begin of one. A read requires the primary when the route says
// so or when no recent position of the primary is known for its staleness bound.
func (s *Session) statementNeed(route note.Route, writes bool) (n need) {
	n = need{service: route.Service, workspace: s.workspace, primary: true}
	if writes || route.Policy == note.ReadPrimary || route.MaxStaleness <= 0 {
		return n
	}
	v := s.srv.opts.View.Current()
	if v.State == nil {
		return n
	}
	log := logOf(v.State, route.Service)
	age := time.Duration(route.MaxStaleness) * time.Millisecond
	after, ok := s.srv.primaryPositions.bound(log, clock.Now(), age)
	own := Position{}
	if ok && route.Policy == note.ReadOwnWrites {
		own, ok = s.commits.required(log, s.srv.primaryPositions)
	}
	if !ok {
		n.unpositioned, n.log = true, log
		return n
	}
	n.primary, n.after = false, after.laterOf(own)
	n.target, n.timeout = readTimes(route)
	return n
}

// recordCommit records the position of an acknowledged commit of the session.
func (s *Session) recordCommit(log Log, p Position) {
	s.commits.record(SessionCommit{Log: log, Position: p, AckedAt: clock.Now()})
}

// State returns the transaction state of the session. It waits for a statement in
// progress.
func (s *Session) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}
