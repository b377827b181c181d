package entry

import (
	"context"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/pgback"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/view"
)

// checkout is an endpoint connection that a session has borrowed from the pool, and the
// slot in which its requests run. It is valid for one term of the group.
type checkout struct {
	endpoint    string
	domain      string // failure domain of the endpoint
	service     string
	life, term  uint64
	primary     bool
	conn        *pgback.Conn
	backend     *backend
	releaseSlot func()
	// latency is the time from sending the first unit to the end of its answer, as reported to
	// the router.
	latency time.Duration
	// lost: the connection to the endpoint failed.
	lost bool
	// readOnly: the caller declared the session or the transaction read-only.
	readOnly bool
	// inTransaction: the endpoint reported a transaction in progress. It is guarded by the
	// session's mu.
	inTransaction bool
	// unsyncedWrite: a unit that ended with Flush may have written, and the Sync that commits
	// it is still to come.
	unsyncedWrite bool
}

// retryDelay is the wait before a request looks for an endpoint again.
const retryDelay = 20 * time.Millisecond

// acquire picks an endpoint and takes a slot and a connection. While none can serve the
// need it retries, until ctx ends.
func (s *session) acquire(ctx context.Context, need Need) (*checkout, error) {
	for {
		changed := s.srv.opts.View.Changed()
		co, err := s.tryAcquire(ctx, need)
		if err == nil {
			return co, nil
		}
		if !isTransient(err) || ctx.Err() != nil {
			return nil, err
		}
		// All other endpoints failed too: one that failed before may serve again.
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
		if err := s.authorize(); err != nil {
			return nil, err
		}
	}
}

// isTransient reports whether a later attempt may succeed.
func isTransient(err error) bool {
	switch result.CodeOf(err) {
	case result.NoPrimary, result.NoEndpoint:
		return true
	}
	return false
}

// tryAcquire makes one attempt to pick an endpoint and to take a slot and a connection.
func (s *session) tryAcquire(ctx context.Context, need Need) (*checkout, error) {
	endpoint, err := s.srv.router.Pick(time.Now(), need)
	if err != nil {
		return nil, err
	}
	if need.ReadOnly && s.srv.isPrimary(need.Service, endpoint) {
		// No replica is known to have replayed the position: request newer positions for
		// the reads that follow.
		s.srv.backends.pollReplicas(need.Service, endpoint)
	}
	member, err := s.srv.backends.get(endpoint)
	if err != nil {
		return nil, result.New(result.NoEndpoint, "%v", err)
	}
	releaseSlot, err := s.srv.gate.AcquireSlot(ctx, s.slotRequest(ctx, endpoint))
	if err != nil {
		return nil, err
	}
	conn, err := member.pool.Acquire(ctx)
	if err != nil {
		releaseSlot()
		s.srv.router.End(Report{Endpoint: endpoint, Failed: ctx.Err() == nil})
		if ctx.Err() != nil {
			return nil, result.New(result.DeadlineInQueue, "waiting for a connection to endpoint %s", endpoint)
		}
		return nil, result.New(result.NoEndpoint, "%v", err)
	}
	co := &checkout{endpoint: endpoint, service: need.Service, conn: conn, backend: member, releaseSlot: releaseSlot}
	s.srv.router.Begin(endpoint)
	if err := s.revalidate(co, need); err != nil {
		s.release(co, true)
		return nil, err
	}
	s.setActive(co)
	if err := s.applySettings(co); err != nil {
		s.release(co, false)
		return nil, err
	}
	return co, nil
}

// revalidate checks after the wait that the session is still authorized and that the
// endpoint still has the required role. It records the term and role in the checkout.
func (s *session) revalidate(co *checkout, need Need) error {
	if err := s.authorize(); err != nil {
		return err
	}
	state := s.srv.opts.View.Current().State
	group := state.Groups[co.service]
	co.domain = state.Endpoints[co.endpoint].Domain
	co.life, co.term = group.Life, group.Term
	co.primary = group.Primary == co.endpoint
	if !need.ReadOnly && (!co.primary || group.Phase != agreed.PhaseActive) {
		return result.New(result.NoPrimary, "endpoint %s is no longer the primary", co.endpoint)
	}
	if state.DomainOut(co.domain) {
		return result.New(result.NoEndpoint, "the failure domain %s of endpoint %s is out of use", co.domain, co.endpoint)
	}
	return nil
}

// applySettings sets the session's settings on the connection, unless it has them already.
func (s *session) applySettings(co *checkout) error {
	script := s.script()
	state := &co.conn.Session
	if state.Settings == script {
		return nil
	}
	text := script
	if state.Settings != "" {
		text = "RESET ALL;" + script
	}
	ctx, cancel := context.WithTimeout(context.Background(), resetTimeout)
	defer cancel()
	if _, err := co.conn.Query(ctx, text); err != nil {
		return result.New(result.UnsupportedFeature, "session settings: %v", err)
	}
	state.Settings = script
	return nil
}

// release returns the slot and the connection. A connection whose state is unknown is
// closed; one whose session state may have changed is reset in the background before it
// is reused.
func (s *session) release(co *checkout, reusable bool) {
	s.clearActive(co)
	co.conn.SetDeadline(time.Time{})
	co.releaseSlot()
	s.srv.router.End(Report{Endpoint: co.endpoint, Began: true, Failed: co.lost, Latency: co.latency})
	if !reusable || !co.conn.Session.Dirty {
		co.backend.pool.Release(co.conn, reusable)
		return
	}
	s.srv.tasks.Add(1)
	go func() {
		defer s.srv.tasks.Done()
		co.backend.pool.Release(co.conn, co.conn.Reset(resetTimeout) == nil)
	}()
}

// termHolds reports whether the host may act now on the term of the checkout: the
// configuration lease is valid, the group is active, and its life, term and primary are the same.
func termHolds(v view.View, co *checkout) bool {
	if !v.Valid() {
		return false
	}
	group := v.State.Groups[co.service]
	return group.Life == co.life && group.Term == co.term && group.Phase == agreed.PhaseActive && group.Primary == co.endpoint
}

// isPrimary reports whether the endpoint is the primary of its group.
func (s *Server) isPrimary(service, endpoint string) bool {
	state := s.opts.View.Current().State
	return state != nil && state.Groups[service].Primary == endpoint
}
