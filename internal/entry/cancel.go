package entry

import (
	"context"
	"crypto/subtle"
	"time"

	"github.com/galenabridge/galenabridge/internal/pgback"
	"github.com/galenabridge/galenabridge/internal/pgfront"
)

// A cancel key's process number holds the host's number above the session's.
const (
	sessionBits = 20
	sessionMask = 1<<sessionBits - 1
	// MaxHostNumbers bounds the numbers of hosts, so that process numbers stay
	// positive in 32 bits.
	MaxHostNumbers = 1 << (31 - sessionBits)
)

// forwardTimeout bounds the forwarding of a cancel request.
const forwardTimeout = 2 * time.Second

// Cancel cancels the request of a session of this host. It reports whether the
// key matches one.
func (s *Server) Cancel(c pgfront.Cancel) bool {
	s.mu.Lock()
	session := s.sessions[c.ProcessID&sessionMask]
	s.mu.Unlock()
	if session == nil || session.pid != c.ProcessID {
		return false
	}
	if subtle.ConstantTimeCompare(session.key, c.Secret) != 1 {
		return false
	}
	session.cancel()
	return true
}

// routeCancel handles a caller's cancel request for any host.
func (s *Server) routeCancel(c pgfront.Cancel) {
	host := c.ProcessID >> sessionBits
	if host == s.number && s.Cancel(c) || s.opts.CancelForwarder == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	if err := s.opts.CancelForwarder.Forward(ctx, host, c); err != nil {
		s.log.Warn("cancel_not_forwarded", "host", host, "err", err.Error())
	}
}

// cancelOn sends a cancel request to the endpoint in the background.
func (s *Server) cancelOn(conn *pgback.Conn) {
	s.spawn(func() {
		if err := conn.Cancel(); err != nil {
			s.log.Warn("cancel_failed", "endpoint", conn.Target.Endpoint, "err", err.Error())
		}
	})
}

// add gives the session its number and makes it known.
func (s *Server) add(ses *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		s.serial = (s.serial + 1) & sessionMask
		if _, taken := s.sessions[s.serial]; !taken && s.serial != 0 {
			break
		}
	}
	ses.pid = s.number<<sessionBits | s.serial
	s.sessions[s.serial] = ses
}

func (s *Server) remove(ses *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, ses.pid&sessionMask)
}

// countRead counts a read by the role of the endpoint that served it.
func (s *Server) countRead(p purpose, l *lease) {
	if p.kind != kindRead && !l.readOnly {
		return
	}
	role := "replica"
	if l.primary {
		role = "primary"
	}
	s.metrics.reads.WithLabelValues(role).Inc()
}
