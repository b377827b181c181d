package core

import (
	"sync"
	"time"

	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/view"
)

// Session is one caller's session. One task calls Do; the other methods may be
// called by any.
type Session struct {
	srv      *Server
	id       uint64
	database string
	// key is the digest of the caller's key, empty on an open route.
	key       string
	workspace string
	caller    Caller

	// mu is held while a statement is served and while an idle transaction is
	// ended, so that the two exclude each other.
	mu       sync.Mutex
	state    State
	values   map[string]string
	prepared map[string]shape
	// own is the position of the session's last commit.
	own Position
	// ownTerm is the group's term in which it was acknowledged.
	ownTerm uint64
	tx      *transaction
	// since is when the session last answered.
	since time.Time
	// spent is where the statement in progress has spent its time.
	spent spent
	// closed: the caller's connection was closed, and nothing may be sent on its
	// behalf any more.
	closed bool
}

// Caller is the caller's end of a session.
type Caller interface {
	// IsIdle reports, without waiting, whether no request is on its way.
	IsIdle() bool
	// Disconnect closes the connection. It may be called more than once.
	Disconnect()
}

// openTimeout bounds the wait of a new session for the host's lease: callers
// give up after 2 s.
const openTimeout = 1500 * time.Millisecond

// Open opens a session on a database for the caller who holds the key with the
// digest, empty for none.
func (s *Server) Open(database, key string, caller Caller) (*Session, *result.Error) {
	session := &Session{
		srv: s, id: s.serial.Add(1), database: database, key: key, caller: caller,
		values: map[string]string{}, prepared: map[string]shape{}, since: clock.Now(),
	}
	if err := session.await(openTimeout); err != nil {
		s.opts.Log.Info("session_refused", "database", database, "code", int(err.Code), "detail", err.Detail)
		return nil, err
	}
	s.mu.Lock()
	s.sessions[session] = struct{}{}
	s.mu.Unlock()
	s.metrics.sessions.Inc()
	return session, nil
}

// await waits until the caller may be let in or must be refused.
func (s *Session) await(timeout time.Duration) *result.Error {
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	for {
		changed := s.srv.opts.View.Changed()
		v := s.srv.opts.View.Current()
		_, err := s.authorize(v)
		if err == nil || v.Valid() {
			return err
		}
		pause := time.NewTimer(retryPause)
		select {
		case <-changed:
		case <-pause.C:
		case <-deadline.C:
			pause.Stop()
			return result.New(result.NoConfigLease, "the host has no configuration lease")
		}
		pause.Stop()
	}
}

// authorize returns the session's route and notes its workspace. The view may
// be without a lease: what it refuses is then not final.
func (s *Session) authorize(v view.View) (note.Route, *result.Error) {
	if v.State == nil {
		return note.Route{}, result.New(result.NoConfigLease, "the host has no state yet")
	}
	route, ok := v.State.Catalog.Routes[s.database]
	if !ok {
		return route, result.New(result.UnknownService, "no route has the database %q", s.database)
	}
	key, known := v.State.Catalog.Keys[s.key]
	switch {
	case known:
		s.workspace = key.Workspace
	case route.Open:
		s.workspace = ""
	default:
		return route, result.New(result.BadKey, "the key is not in force")
	}
	return route, nil
}

// Close ends the session: a transaction in progress is rolled back.
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
	if s.tx != nil {
		s.endTransaction()
	}
}

// Do serves one statement and returns its answer.
func (s *Session) Do(st Statement) Reply {
	started := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return refuse(result.New(result.ShuttingDown, "the session has ended"))
	}
	s.spent = spent{}
	reply := s.serve(st)
	s.since = clock.Now()
	reply.State = s.state
	s.report(st, reply, time.Since(started))
	return reply
}

// report logs and counts an answer. Successes are logged when they came later than
// the route's target.
func (s *Session) report(st Statement, reply Reply, took time.Duration) {
	var code result.Code
	if reply.Err != nil {
		code = reply.Err.Code
	}
	route := note.Route{Class: note.ClassBulk}
	if v := s.srv.opts.View.Current(); v.State != nil {
		route = v.State.Catalog.Routes[s.database]
	}
	s.srv.metrics.answered(st.Kind, code, s.workspace, route.Class, took)
	target := time.Duration(route.Target) * time.Millisecond
	switch {
	case code != 0:
		s.srv.opts.Log.Warn("statement_refused", s.fields(st, took, "code", int(code), "result", result.Lookup(code).Name,
			"detail", reply.Err.Detail)...)
	case target > 0 && took >= target:
		s.srv.opts.Log.Info("statement_late", s.fields(st, took, "target_ms", route.Target)...)
	}
}

// fields are the pairs of a line about a statement.
func (s *Session) fields(st Statement, took time.Duration, more ...any) []any {
	all := []any{"request", st.ID, "kind", st.Kind.String(), "database", s.database, "workspace", s.workspace}
	all = append(all, more...)
	all = append(all, "took_ms", took.Milliseconds())
	return append(all, s.spent.fields()...)
}

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
		s.values[st.Name] = st.Text
		return Reply{}
	case Prepare:
		s.prepared[st.Name] = shape{text: st.Text, writes: st.Writes}
		return Reply{}
	case Forget:
		delete(s.prepared, st.Name)
		return Reply{}
	case Read, Write, Execute:
		return s.run(st)
	default:
		return refuse(result.New(result.MalformedMessage, "unknown statement"))
	}
}

func refuse(err *result.Error) Reply { return Reply{Err: err} }

// ShouldClose reports whether the session should end after the present answer, for a
// shutdown.
func (s *Session) ShouldClose() bool {
	if !s.srv.draining.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state == Idle
}

// restBeforeClose is how long a session must have rested before a shutdown
// closes it: the request of a caller that has just connected, or been answered,
// may be on its way.
const restBeforeClose = 150 * time.Millisecond

// closeIfIdle hangs up unless a request or a transaction is in progress. A
// request that was read meanwhile is not run.
func (s *Session) closeIfIdle() {
	if !s.mu.TryLock() {
		return
	}
	defer s.mu.Unlock()
	if s.state == Idle && clock.Since(s.since) >= restBeforeClose && s.caller.IsIdle() {
		s.closed = true
		s.caller.Disconnect()
	}
}

// interrupt hangs up at once.
func (s *Session) interrupt() { s.caller.Disconnect() }

// expire ends a transaction whose caller has been silent for the limit. The
// caller learns it from the answer to its next statement.
func (s *Session) expire(now time.Time, limit time.Duration) {
	if !s.mu.TryLock() {
		return
	}
	defer s.mu.Unlock()
	if s.tx == nil || s.state != InTransaction || now.Sub(s.since) < limit {
		return
	}
	s.srv.opts.Log.Info("transaction_expired", "database", s.database, "workspace", s.workspace, "idle_ms", now.Sub(s.since).Milliseconds())
	s.endTransaction()
}

// statementNeed tells what a statement outside of a transaction, or the begin of
// one, asks of an endpoint.
func (s *Session) statementNeed(route note.Route, writes bool) (n need) {
	n = need{service: route.Service, workspace: s.workspace, primary: true}
	if writes || route.Policy == note.ReadPrimary || route.MaxStaleness <= 0 {
		return n
	}
	v := s.srv.opts.View.Current()
	if v.State == nil {
		return n
	}
	term := v.State.Groups[route.Service].Term
	age := time.Duration(route.MaxStaleness) * time.Millisecond
	after, ok := s.srv.fresh.bound(route.Service, term, clock.Now(), age)
	if !ok {
		return n
	}
	if route.Policy == note.ReadOwnWrites {
		own, ok := s.ownPosition(route.Service, term)
		if !ok {
			return n
		}
		after = later(after, own)
	}
	n.primary, n.after = false, after
	return n
}

// ownPosition returns the position of the session's last commit. After a change
// of the primary it may have been rolled back, or stand under another number: a
// position that the new primary has shown since stands for it.
func (s *Session) ownPosition(service string, term uint64) (Position, bool) {
	if s.own == (Position{}) {
		return Position{}, true
	}
	if s.ownTerm == term {
		return s.own, true
	}
	p, ok := s.srv.fresh.bound(service, term, clock.Now(), sampleMemory)
	if ok {
		s.own, s.ownTerm = p, term
	}
	return p, ok
}

// committed notes the position of a commit of the session.
func (s *Session) committed(term uint64, p Position) {
	if p != (Position{}) {
		s.own, s.ownTerm = p, term
	}
}

// State returns the state of the session.
func (s *Session) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}
