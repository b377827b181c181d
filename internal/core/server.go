package core

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenabridge/galenabridge/internal/activity"
	"github.com/galenabridge/galenabridge/internal/admit"
	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/budget"
	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/crossing"
	"github.com/galenabridge/galenabridge/internal/gate"
	"github.com/galenabridge/galenabridge/internal/limits"
	"github.com/galenabridge/galenabridge/internal/linkuse"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/pacing"
	"github.com/galenabridge/galenabridge/internal/route"
	"github.com/galenabridge/galenabridge/internal/supervise"
	"github.com/galenabridge/galenabridge/internal/view"
)

const (
	// sweepInterval is the time between two checks for idle transactions and
	// connections.
	sweepInterval = 500 * time.Millisecond
	// retryDelay is the wait before another attempt to route or send a statement that
	// has not run. A change of the agreed state ends it early where one is awaited.
	retryDelay = 20 * time.Millisecond
)

// Limiter enforces the rate and burst of workspaces across the fleet.
type Limiter interface {
	// Acquire takes tokens for one operation, waiting until ctx ends.
	Acquire(ctx context.Context, workspace string) error
	// TryAcquire takes tokens for one more attempt of an operation if they are there at once.
	TryAcquire(workspace string) bool
	// Refund returns the tokens of an operation that was not sent to any endpoint.
	Refund(workspace string)
}

// Options configures a Server. All fields but Forwarder, Meter, Traffic, Budget and Registerer are required.
type Options struct {
	View view.Source
	// Host is the ID of this host.
	Host string
	// Domain is the failure domain of this host.
	Domain  string
	Dialer  Dialer
	Limiter Limiter
	// Connections returns the maximum number of connections from this host to an
	// endpoint.
	Connections func(service, endpoint string) int
	// Observe receives evidence about the health of endpoints. It must not block.
	Observe func(Evidence)
	// Behind is called when other hosts act on a newer document than this one has. It must not
	// block; nil means that nobody is told.
	Behind func()
	// Forwarder runs statements at other hosts; nil means that all run on this one.
	Forwarder Forwarder
	// Meter is told of the statements that are sent to endpoints; nil means that none are counted.
	Meter Meter
	// Traffic measures the use of the host's network link; nil if the link is unknown.
	Traffic *linkuse.Meter
	// Budget is the memory for callers; nil means no limit.
	Budget *budget.Budget
	// CrossingMSPerKB is what 1,000 bytes between failure domains cost, as the wait of a caller in
	// milliseconds that is worth as much; zero if only the delay counts. If it is nil, reads prefer
	// the host's domain by a fixed cost, and nothing is decided or counted about crossing.
	CrossingMSPerKB *float64
	Log             *log.Logger
	Registerer      prometheus.Registerer
}

// Server serves client sessions. It is safe for concurrent use and implements
// limits.Pool. Locks are taken in the order Session.mu, Server.mu, endpoint.mu.
type Server struct {
	opts             Options
	metrics          *metrics
	gate             *gate.Gate
	primaryPositions *freshness
	hedges           *hedges
	crossings        *crossings

	mu        sync.Mutex
	baselines *pacing.Baseline
	endpoints map[string]*endpoint
	sessions  map[*Session]struct{}
	// remoteTransactions are the sessions on other hosts that have a transaction on this
	// one or begin it. remoteRunning counts the statements in progress for other hosts.
	remoteTransactions map[remoteKey]*Session
	remoteRunning      int
	remoteStopped      bool
	// witnessed are the endpoints that are probed for the control leader.
	witnessed map[string]bool

	lastSessionID atomic.Uint64
	// newestDocument is the highest number of a document that another host has acted on.
	newestDocument atomic.Uint64
	draining       atomic.Bool
	refusing       atomic.Bool // set with mu held
	// aborting: no transaction goes on beyond its statement in progress.
	aborting atomic.Bool
	// answerBy is when all callers must have been answered, set once a shutdown has begun.
	// answering ends then.
	answerBy      atomic.Pointer[time.Time]
	answering     context.Context
	stopAnswering context.CancelFunc

	ctx   context.Context
	stop  context.CancelFunc
	tasks sync.WaitGroup
}

// NewServer returns a Server. Run must be called to apply changes of the agreed state and
// to stop it.
func NewServer(opts Options) *Server {
	s := &Server{
		opts: opts, metrics: newMetrics(opts.Registerer, opts.Traffic), primaryPositions: newFreshness(), crossings: newCrossings(), baselines: pacing.NewBaseline(),
		hedges:    newHedges(),
		endpoints: make(map[string]*endpoint), sessions: make(map[*Session]struct{}),
		remoteTransactions: make(map[remoteKey]*Session), witnessed: make(map[string]bool),
	}
	s.gate = gate.New(admit.PolicyFair, s.slots, s.hasIdleConnection)
	s.gate.OnEarlyRefusal(func(class note.Class) { s.metrics.early.WithLabelValues(string(class)).Inc() })
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.answering, s.stopAnswering = context.WithCancel(s.ctx)
	return s
}

// slots returns how many statements of this host may run on an endpoint at once,
// each on a connection of its own. Further statements wait in the admission queue.
func (s *Server) slots(service, id string) int {
	limit := s.maxSlots(service, id)
	s.mu.Lock()
	e := s.endpoints[id]
	s.mu.Unlock()
	if e == nil {
		return limit
	}
	return e.allowedStatements(limit)
}

// maxSlots returns the configured limit on connections to an endpoint, and at least 1.
func (s *Server) maxSlots(service, id string) int {
	return max(s.opts.Connections(service, id), 1)
}

// hasIdleConnection reports whether a connection of the workspace to the endpoint is idle.
func (s *Server) hasIdleConnection(id, workspace string) bool {
	s.mu.Lock()
	e := s.endpoints[id]
	s.mu.Unlock()
	return e != nil && e.pool.HasIdle(workspace)
}

// latencyExcess records the latency of a statement and returns by how much it exceeds
// the usual latency of the route's database and the statement's kind.
func (s *Server) latencyExcess(route note.Route, kind Kind, took time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	expected := time.Duration(route.Target) * time.Millisecond / expectedTargetDivisor
	return s.baselines.Excess(route.Database+" "+kind.String(), took, expected)
}

// expectedTargetDivisor is the divisor of the target latency of a route that gives the time a
// statement is expected to take at an endpoint, before its usual latency is known.
const expectedTargetDivisor = 4

// startOfPace returns the number of statements that the host begins to send to an endpoint.
func (s *Server) startOfPace(e agreed.Endpoint) int {
	v := s.opts.View.Current()
	if v.State == nil {
		return pacing.StartOf(0, 1)
	}
	slots := e.Slots
	if slots == 0 {
		slots = v.State.Catalog.Services[e.Service].Slots
	}
	hosts := 0
	for _, h := range v.State.Hosts {
		if h.Entry {
			hosts++
		}
	}
	if !route.AllAtHome(hosts) {
		hosts = route.HomeHostCount
	}
	return pacing.StartOf(slots, hosts)
}

// Run applies changes of the agreed state and expires idle transactions and
// connections until ctx ends. It then disconnects all callers, closes all
// connections and waits for background tasks.
func (s *Server) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	var crossingTick <-chan time.Time // nil if nothing is decided about crossing
	if s.opts.CrossingMSPerKB != nil {
		ticker := time.NewTicker(crossing.Interval)
		defer ticker.Stop()
		crossingTick = ticker.C
	}
	defer s.shutDown()
	for {
		changed := s.opts.View.Changed()
		s.applyState()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-crossingTick:
			s.stepCrossings(clock.Now())
		case <-ticker.C:
			s.sweep()
			s.opts.Traffic.Report(s.opts.Log)
		}
	}
}

// shutDown disconnects all callers, closes the endpoints and waits for background tasks.
func (s *Server) shutDown() {
	for _, session := range s.openSessions() {
		session.disconnect()
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

// spawn runs a task in the background unless the server has stopped. The context of
// the task ends with the server.
func (s *Server) spawn(task func(ctx context.Context)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		defer supervise.Recover(s.opts.Log, "core")
		task(s.ctx)
	}()
}

// applyState closes the connections to endpoints that the agreed state no longer contains
// or that have been replaced by another process, and ends the transactions of hosts that it
// no longer contains and those at endpoints whose failure domain is out of use.
func (s *Server) applyState() {
	v := s.opts.View.Current()
	if v.State == nil {
		return
	}
	s.endRemovedOrigins(v.State)
	s.leaveDomainsOut(v.State)
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.endpoints {
		if current, ok := v.State.Endpoints[id]; !ok || !sameProcess(current, e.record) {
			e.close()
			delete(s.endpoints, id)
		}
	}
}

// leaveDomainsOut ends the idle transactions at endpoints whose failure domain is out of use.
func (s *Server) leaveDomainsOut(state *agreed.State) {
	if !state.AnyDomainOut() {
		return
	}
	for _, session := range s.openSessions() {
		session.leaveDomainOut()
	}
	for key, session := range s.openRemoteTransactions() {
		if session.leaveDomainOut() {
			s.unregisterRemote(key, session)
		}
	}
}

// sameProcess reports whether two records describe the same endpoint process.
func sameProcess(a, b agreed.Endpoint) bool {
	return a.ID == b.ID && a.Addr == b.Addr && a.Service == b.Service && a.StartedMS == b.StartedMS
}

// endpoint returns the endpoint for a record and creates it on first use. It returns
// nil after the server has stopped.
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

// sweep closes idle connections and expires transactions that have been idle for the
// limit in the catalog; a limit of 0 disables the expiry.
func (s *Server) sweep() {
	now := time.Now()
	for _, e := range s.endpointsInUse() {
		e.pool.Sweep(now)
	}
	v := s.opts.View.Current()
	if v.State == nil || v.State.Catalog.IdleTransaction <= 0 {
		return
	}
	limit := time.Duration(v.State.Catalog.IdleTransaction) * time.Millisecond
	for _, session := range s.openSessions() {
		session.expireTransaction(clock.Now(), limit)
	}
	s.expireRemoteTransactions(clock.Now(), limit)
}

func (s *Server) endpointsInUse() []*endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*endpoint, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		all = append(all, e)
	}
	return all
}

func (s *Server) openSessions() []*Session {
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
	for _, e := range s.endpointsInUse() {
		u := limits.Usage{
			Service: e.record.Service, Endpoint: e.record.ID,
			Connections: e.pool.Stats().Open, ConnectionDemand: e.pool.TakePeak(),
			UnleasedSlots: true,
		}
		all = append(all, u)
	}
	return all
}

// Resize implements limits.Pool.
func (s *Server) Resize() {
	for _, e := range s.endpointsInUse() {
		e.pool.SetLimit(s.opts.Connections(e.record.Service, e.record.ID))
	}
	s.gate.Resize()
}

// Activity lists the counters that are reported in the log.
func (s *Server) Activity() []activity.Counter { return s.metrics.activity() }

// Budget returns the memory for callers, which may be nil.
func (s *Server) Budget() *budget.Budget { return s.opts.Budget }

// Sessions returns the number of open sessions.
func (s *Server) Sessions() int { return len(s.openSessions()) }
