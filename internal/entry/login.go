package entry

import (
	"net"
	"sort"

	"github.com/galenabridge/galenabridge/internal/pgfront"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/scramauth"
	"github.com/galenabridge/galenabridge/internal/view"
)

// reportedParams are the run-time parameters reported to callers after login.
var reportedParams = []pgfront.Parameter{
	{Name: "server_version", Value: "17.0"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "IntervalStyle", Value: "postgres"},
	{Name: "TimeZone", Value: "UTC"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "standard_conforming_strings", Value: "on"},
}

// serve logs a caller in and runs its session. At most maxHandshakes logins are in
// progress at a time; further callers are refused.
func (s *Server) serve(nc net.Conn) {
	select {
	case s.handshakes <- struct{}{}:
	default:
		s.refuseOverload(nc)
		return
	}
	session, err := s.login(nc)
	<-s.handshakes
	if err != nil {
		s.metrics.countError(err)
		s.log.Info("login_refused", "remote", nc.RemoteAddr(), "code", result.CodeOf(err), "reason", err)
		return
	}
	if session == nil {
		return
	}
	s.metrics.sessions.Inc()
	session.run()
	s.metrics.sessions.Dec()
	s.unregisterSession(session)
}

// refuseOverload refuses a caller because too many logins are in progress.
func (s *Server) refuseOverload(nc net.Conn) {
	conn, startup, err := pgfront.Accept(nc, s.front)
	if err != nil {
		return
	}
	if startup.Cancel != nil {
		_ = conn.Close()
		return
	}
	refusal := result.New(result.TooManyHandshakes, "%d callers are logging in", maxHandshakes)
	s.metrics.countError(refusal)
	conn.Refuse(refusal)
}

// login performs the handshake and opens a session. It returns a nil session for a cancel
// request.
func (s *Server) login(nc net.Conn) (*session, error) {
	conn, startup, err := pgfront.Accept(nc, s.front)
	if err != nil {
		return nil, err
	}
	if startup.Cancel != nil {
		s.routeCancel(*startup.Cancel)
		return nil, conn.Close()
	}
	session, err := s.openSession(conn, startup)
	if err != nil {
		conn.Refuse(err)
		return nil, err
	}
	return session, nil
}

// openSession authenticates the caller, registers its session and reports it ready.
func (s *Server) openSession(conn *pgfront.Conn, startup *pgfront.Startup) (*session, error) {
	ses := &session{srv: s, conn: conn, cancelSecret: newSecret(), statements: make(map[string]*statement)}
	if err := ses.authenticate(startup); err != nil {
		return nil, err
	}
	if err := ses.authorize(); err != nil {
		return nil, err
	}
	if err := ses.applyStartupParams(startup.Parameters); err != nil {
		return nil, err
	}
	s.backends.addService(ses.identity.service)
	s.registerSession(ses)
	if s.draining.Load() {
		ses.drain()
	}
	if err := conn.Ready(reportedParams, pgfront.CancelKey{ProcessID: ses.processID, Secret: ses.cancelSecret}); err != nil {
		s.unregisterSession(ses)
		return nil, err
	}
	return ses, nil
}

// authenticate verifies the caller's key against the agreed state. An open workspace
// without keys needs none.
func (s *session) authenticate(startup *pgfront.Startup) error {
	v := s.srv.opts.View.Current()
	if !v.Valid() {
		return result.New(result.NoConfigLease, "the configuration lease ended")
	}
	s.identity = identity{workspace: startup.Workspace, service: startup.Service}
	candidates := candidatesFor(v, startup.Workspace)
	ws, exists := v.State.Catalog.Workspaces[startup.Workspace]
	if exists && ws.Open && len(candidates) == 0 {
		s.identity.open = true
		return nil
	}
	keyID, err := s.conn.Authenticate(scramauth.NewConversation(startup.Workspace, candidates))
	if err != nil {
		return err
	}
	s.identity.key = v.State.Catalog.Keys[keyID]
	return nil
}

// candidatesFor returns the workspace's keys, ordered by their ids.
func candidatesFor(v view.View, workspace string) []scramauth.Candidate {
	var candidates []scramauth.Candidate
	for id, key := range v.State.Catalog.Keys {
		if key.Workspace == workspace {
			candidates = append(candidates, scramauth.Candidate{KeyID: id, Verifier: key.Verifier})
		}
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].KeyID < candidates[j].KeyID })
	return candidates
}

// applyStartupParams applies the run-time parameters of the start-up message. A session of
// an open workspace ignores database settings.
func (s *session) applyStartupParams(named map[string]string) error {
	for name, value := range named {
		if len(name) > len(paramPrefix) && name[:len(paramPrefix)] == paramPrefix {
			if err := s.params.set(name, value); err != nil {
				return err
			}
			continue
		}
		if s.identity.open {
			continue
		}
		if !validName(name) {
			return result.New(result.MalformedMessage, "parameter %q", name)
		}
		s.settings.add(name, value)
	}
	return nil
}

// validName reports whether a parameter name can be inserted into a SET statement unquoted.
func validName(name string) bool {
	for i := range len(name) {
		if !isWordByte(name[i]) {
			return false
		}
	}
	return name != ""
}
