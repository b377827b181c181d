package entry

import (
	"context"
	"crypto/subtle"
	"time"

	"github.com/galenabridge/galenabridge/internal/pgback"
	"github.com/galenabridge/galenabridge/internal/pgfront"
)

// The process number in a cancel key holds the host number in its upper bits and the
// session number in its lower bits.
const (
	sessionBits = 20
	sessionMask = 1<<sessionBits - 1
	// MaxHostNumbers is the number of distinct host numbers. Process numbers below 1<<31
	// stay positive for clients that read them as signed 32-bit numbers.
	MaxHostNumbers = 1 << (31 - sessionBits)
)

// cancelForwardTimeout bounds the forwarding of a cancel request to another host.
const cancelForwardTimeout = 2 * time.Second

// Cancel cancels the request in progress of a session of this host. It reports whether the
// key matches a session.
func (s *Server) Cancel(c pgfront.CancelKey) bool {
	s.mu.Lock()
	session := s.sessions[c.ProcessID&sessionMask]
	s.mu.Unlock()
	if session == nil || session.processID != c.ProcessID {
		return false
	}
	if subtle.ConstantTimeCompare(session.cancelSecret, c.Secret) != 1 {
		return false
	}
	session.cancel()
	return true
}

// routeCancel handles a caller's cancel request. It is forwarded unless the key belongs to
// a session of this host; the host number alone does not decide, since hosts may share one.
func (s *Server) routeCancel(c pgfront.CancelKey) {
	host := c.ProcessID >> sessionBits
	if host == s.number && s.Cancel(c) || s.opts.CancelForwarder == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelForwardTimeout)
	defer cancel()
	if err := s.opts.CancelForwarder.Forward(ctx, host, c); err != nil {
		s.log.Warn("cancel_not_forwarded", "host", host, "err", err.Error())
	}
}

// cancelOn sends a cancel request for the connection to its endpoint in the background.
func (s *Server) cancelOn(conn *pgback.Conn) {
	s.spawn(func() {
		if err := conn.Cancel(); err != nil {
			s.log.Warn("cancel_failed", "endpoint", conn.Target.Endpoint, "err", err.Error())
		}
	})
}

// registerSession assigns the session a process number and makes it reachable for cancel
// requests. Session numbers are unique among the host's open sessions and never 0.
func (s *Server) registerSession(ses *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		s.lastSessionNumber = (s.lastSessionNumber + 1) & sessionMask
		if _, taken := s.sessions[s.lastSessionNumber]; !taken && s.lastSessionNumber != 0 {
			break
		}
	}
	ses.processID = s.number<<sessionBits | s.lastSessionNumber
	s.sessions[s.lastSessionNumber] = ses
}

// unregisterSession releases the session's number.
func (s *Server) unregisterSession(ses *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, ses.processID&sessionMask)
}

// countRead counts a read by the role of the endpoint that served it. Statements that may
// write are not counted.
func (s *Server) countRead(uc unitClass, co *checkout) {
	if uc.kind != kindRead && !co.readOnly {
		return
	}
	role := "replica"
	if co.primary {
		role = "primary"
	}
	s.metrics.reads.WithLabelValues(role).Inc()
}
