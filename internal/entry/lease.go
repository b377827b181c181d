package entry

import (
	"context"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/pgback"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/view"
)

// lease is a session's use of an endpoint connection and a slot.
type lease struct {
	endpoint string
	service  string
	term     uint64
	primary  bool
	conn     *pgback.Conn
	backend  *backend
	leave    func()
	// latency is the time of the first answer.
	latency time.Duration
	// lost tells that the endpoint failed.
	lost bool
	// readOnly tells that the caller declared the transaction read-only.
	readOnly bool
	// transaction tells that the endpoint reported a transaction in progress.
	transaction bool
}

// retryDelay is the wait before an endpoint is looked for again.
const retryDelay = 20 * time.Millisecond

// place finds an endpoint and takes a slot and a connection. It waits until
// ctx ends.
func (s *session) place(ctx context.Context, need Need) (*lease, error) {
	for {
		changed := s.srv.opts.View.Changed()
		l, err := s.tryPlace(ctx, need)
		if err == nil {
			return l, nil
		}
		if !waitable(err) || ctx.Err() != nil {
			return nil, err
		}
		// Nothing else is left: what was tried before may serve again.
		need.Exclude = nil
		timer := time.NewTimer(retryDelay)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return nil, err
		}
		if err := s.guard(); err != nil {
			return nil, err
		}
	}
}

// waitable reports whether a later attempt may succeed.
func waitable(err error) bool {
	switch result.CodeOf(err) {
	case result.NoPrimary, result.NoEndpoint:
		return true
	}
	return false
}

func (s *session) tryPlace(ctx context.Context, need Need) (*lease, error) {
	endpoint, err := s.srv.router.Pick(time.Now(), need)
	if err != nil {
		return nil, err
	}
	if need.ReadOnly && s.srv.isPrimary(need.Service, endpoint) {
		// No replica is known to have the position: later reads need news of them.
		s.srv.backends.nudge(need.Service, endpoint)
	}
	member, err := s.srv.backends.get(endpoint)
	if err != nil {
		return nil, result.New(result.NoEndpoint, "%v", err)
	}
	leave, err := s.srv.gate.AcquireSlot(ctx, s.admission(ctx, endpoint))
	if err != nil {
		return nil, err
	}
	conn, err := member.pool.Acquire(ctx)
	if err != nil {
		leave()
		s.srv.router.End(Report{Endpoint: endpoint, Failed: ctx.Err() == nil})
		if ctx.Err() != nil {
			return nil, result.New(result.DeadlineInQueue, "waiting for a connection to endpoint %s", endpoint)
		}
		return nil, result.New(result.NoEndpoint, "%v", err)
	}
	l := &lease{endpoint: endpoint, service: need.Service, conn: conn, backend: member, leave: leave}
	s.srv.router.Begin(endpoint)
	if err := s.recheck(l, need); err != nil {
		s.release(l, true)
		return nil, err
	}
	s.hold(l)
	if err := s.applySettings(l); err != nil {
		s.release(l, false)
		return nil, err
	}
	return l, nil
}

// recheck makes sure that the endpoint may still be used after the wait.
func (s *session) recheck(l *lease, need Need) error {
	if err := s.guard(); err != nil {
		return err
	}
	group := s.srv.opts.View.Current().State.Groups[l.service]
	l.term = group.Term
	l.primary = group.Primary == l.endpoint
	if !need.ReadOnly && (!l.primary || group.Phase != agreed.PhaseActive) {
		return result.New(result.NoPrimary, "endpoint %s is not the primary any more", l.endpoint)
	}
	return nil
}

// applySettings brings the connection's settings in line with the session's.
func (s *session) applySettings(l *lease) error {
	script := s.script()
	state := &l.conn.Session
	if state.Settings == script {
		return nil
	}
	text := script
	if state.Settings != "" {
		text = "RESET ALL;" + script
	}
	ctx, cancel := context.WithTimeout(context.Background(), resetTimeout)
	defer cancel()
	if _, err := l.conn.Query(ctx, text); err != nil {
		return result.New(result.UnsupportedFeature, "session settings: %v", err)
	}
	state.Settings = script
	return nil
}

// release returns the slot and the connection. A connection whose state is
// unknown is closed; one that a caller has changed is reset first.
func (s *session) release(l *lease, reusable bool) {
	s.unhold(l)
	l.conn.SetDeadline(time.Time{})
	l.leave()
	s.srv.router.End(Report{Endpoint: l.endpoint, Began: true, Failed: l.lost, Latency: l.latency})
	if !reusable || !l.conn.Session.Dirty {
		l.backend.pool.Release(l.conn, reusable)
		return
	}
	s.srv.tasks.Add(1)
	go func() {
		defer s.srv.tasks.Done()
		l.backend.pool.Release(l.conn, l.conn.Reset(resetTimeout) == nil)
	}()
}

// termHolds reports whether the host may act on the lease's term now.
func termHolds(v view.View, l *lease) bool {
	if !v.Valid() {
		return false
	}
	group := v.State.Groups[l.service]
	return group.Term == l.term && group.Phase == agreed.PhaseActive && group.Primary == l.endpoint
}

// isPrimary reports whether the endpoint is the primary of its group.
func (s *Server) isPrimary(service, endpoint string) bool {
	state := s.opts.View.Current().State
	return state != nil && state.Groups[service].Primary == endpoint
}
