package core

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenabridge/galenabridge/internal/admit"
	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/gate"
	"github.com/galenabridge/galenabridge/internal/limits"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/pacing"
	"github.com/galenabridge/galenabridge/internal/view"
)

const (
	// sweepInterval is the time between two looks at idle transactions and
	// connections.
	sweepInterval = 500 * time.Millisecond
	// retryPause is the wait before a statement that has not run is tried again,
	// unless the agreed state changes earlier.
	retryPause = 20 * time.Millisecond
)

// Limiter enforces the rate and burst of workspaces across the fleet.
type Limiter interface {
	// Acquire takes tokens for one operation, waiting until ctx ends.
	Acquire(ctx context.Context, workspace string) error
	// Refund gives back the tokens of an operation that was offered to no endpoint.
	Refund(workspace string)
}

// Options configure a Server. All but Registerer are required.
type Options struct {
	View view.Source
	// Host is the identity of the host.
	Host string
	// Domain is the failure domain of the host.
	Domain  string
	Dialer  Dialer
	Limiter Limiter
	// Connections returns the cap on connections of this host to an endpoint.
	Connections func(service, endpoint string) int
	// Observe takes what was found out about an endpoint. It must not block.
	Observe    func(Evidence)
	Log        *log.Logger
	Registerer prometheus.Registerer
}

// Server serves sessions. It implements limits.Pool.
type Server struct {
	opts    Options
	metrics *metrics
	gate    *gate.Gate
	fresh   *freshness

	mu        sync.Mutex
	usual     *pacing.Baseline
	endpoints map[string]*endpoint
	sessions  map[*Session]struct{}

	serial   atomic.Uint64
	draining atomic.Bool

	ctx   context.Context
	stop  context.CancelFunc
	tasks sync.WaitGroup
}

// NewServer returns a Server that Run must drive.
func NewServer(opts Options) *Server {
	s := &Server{
		opts: opts, metrics: newMetrics(opts.Registerer), fresh: newFreshness(), usual: pacing.NewBaseline(),
		endpoints: make(map[string]*endpoint), sessions: make(map[*Session]struct{}),
	}
	s.gate = gate.New(admit.PolicyFair, s.slots, s.ready)
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// slots is how many statements of this host run on an endpoint at once, each on a
// connection. The others wait in the order of the gate.
func (s *Server) slots(service, id string) int {
	most := s.mostSlots(service, id)
	s.mu.Lock()
	e := s.endpoints[id]
	s.mu.Unlock()
	if e == nil {
		return most
	}
	return e.allowed(most)
}

func (s *Server) mostSlots(service, id string) int {
	return max(s.opts.Connections(service, id), 1)
}

// ready reports whether a connection of the workspace to the endpoint is free.
func (s *Server) ready(id, workspace string) bool {
	s.mu.Lock()
	e := s.endpoints[id]
	s.mu.Unlock()
	return e != nil && e.pool.HasIdle(workspace)
}

// excess notes the time of a statement and returns by how much it is above the
// usual of its route and kind.
func (s *Server) excess(route note.Route, kind Kind, took time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usual.Excess(route.Database+" "+kind.String(), took)
}

// Run follows the agreed state until ctx ends, then closes all connections.
func (s *Server) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	defer s.shutDown()
	for {
		changed := s.opts.View.Changed()
		s.follow()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-ticker.C:
			s.sweep()
		}
	}
}

func (s *Server) shutDown() {
	for _, session := range s.list() {
		session.interrupt()
	}
	s.stop()
	s.mu.Lock()
	for id, e := range s.endpoints {
		e.close()
		delete(s.endpoints, id)
	}
	s.mu.Unlock()
	s.tasks.Wait()
}

// spawn runs a task that ends with the server.
func (s *Server) spawn(task func(ctx context.Context)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		task(s.ctx)
	}()
}

// follow closes what was used of endpoints that are no longer agreed.
func (s *Server) follow() {
	v := s.opts.View.Current()
	if v.State == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.endpoints {
		if now, ok := v.State.Endpoints[id]; !ok || !sameProcess(now, e.record) {
			e.close()
			delete(s.endpoints, id)
		}
	}
}

// sameProcess reports whether two records tell of one process.
func sameProcess(a, b agreed.Endpoint) bool {
	return a.ID == b.ID && a.Addr == b.Addr && a.Service == b.Service && a.StartedMS == b.StartedMS
}

// endpoint returns the endpoint of a record, which it begins to use.
func (s *Server) endpoint(record agreed.Endpoint) *endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.endpoints[record.ID]
	if ok && sameProcess(e.record, record) {
		return e
	}
	if s.ctx.Err() != nil {
		return nil
	}
	if ok {
		e.close()
	}
	e = newEndpoint(s, record, s.opts.Connections(record.Service, record.ID))
	s.endpoints[record.ID] = e
	return e
}

func (s *Server) sweep() {
	now := time.Now()
	for _, e := range s.used() {
		e.pool.Sweep(now)
	}
	v := s.opts.View.Current()
	if v.State == nil || v.State.Catalog.IdleTransaction <= 0 {
		return
	}
	limit := time.Duration(v.State.Catalog.IdleTransaction) * time.Millisecond
	for _, session := range s.list() {
		session.expire(clock.Now(), limit)
	}
}

func (s *Server) used() []*endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*endpoint, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		all = append(all, e)
	}
	return all
}

func (s *Server) list() []*Session {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*Session, 0, len(s.sessions))
	for session := range s.sessions {
		all = append(all, session)
	}
	return all
}

// Usage implements limits.Pool.
func (s *Server) Usage() []limits.Usage {
	var all []limits.Usage
	for _, e := range s.used() {
		u := limits.Usage{
			Service: e.record.Service, Endpoint: e.record.ID,
			Connections: e.pool.Stats().Open, ConnectionDemand: e.pool.TakePeak(),
			NoSlotLease: true,
		}
		all = append(all, u)
	}
	return all
}

// Resize implements limits.Pool.
func (s *Server) Resize() {
	for _, e := range s.used() {
		e.pool.SetLimit(s.opts.Connections(e.record.Service, e.record.ID))
	}
	s.gate.Resize()
}

// Drain lets sessions end: each is closed once it has no transaction and no
// statement in progress. It returns when all have ended or ctx has.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	for {
		all := s.list()
		if len(all) == 0 {
			return nil
		}
		for _, session := range all {
			session.closeIfIdle()
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d sessions are still open", len(all))
		case <-time.After(retryPause):
		}
	}
}

// Sessions returns the number of open sessions.
func (s *Server) Sessions() int { return len(s.list()) }

// AbortTransactions ends every transaction that waits for its caller, for the second half of
// a shutdown.
func (s *Server) AbortTransactions() {
	for _, session := range s.list() {
		session.expire(clock.Now(), 0)
	}
}
