package entry

import (
	"context"
	"crypto/rand"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/gate"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/pgback"
	"github.com/galenabridge/galenabridge/internal/pgfront"
	"github.com/galenabridge/galenabridge/internal/retry"
)

// Server serves callers on one address. mu guards the sessions, their numbers and the retry
// budgets.
type Server struct {
	opts     Options
	front    pgfront.Config
	log      *log.Logger
	metrics  *metrics
	backends *backends

	limiter    Limiter
	gate       Gate
	router     Router
	positions  Positions
	durability Durability
	// sharedPositions is the value of positions if that is the default implementation, or nil.
	sharedPositions *SharedPositions
	// number is the host number in cancel keys.
	number uint32

	listener   net.Listener
	handshakes chan struct{}
	tasks      sync.WaitGroup
	draining   atomic.Bool
	// aborting: a shutdown waits no longer for transactions.
	aborting atomic.Bool
	// answering ends when a shutdown waits no longer for requests in progress.
	answering     context.Context
	stopAnswering context.CancelFunc

	// markersWritten counts the markers written to primaries.
	markersWritten atomic.Uint64

	mu                sync.Mutex
	sessions          map[uint32]*session
	lastSessionNumber uint32
	budgets           *retry.Budgets
}

// NewServer checks the options and opens the listener.
func NewServer(opts Options) (*Server, error) {
	if opts.Settings == nil || opts.Settings.Entry == nil || opts.View == nil {
		return nil, errors.New("entry: settings and view are required")
	}
	front, err := opts.frontConfig()
	if err != nil {
		return nil, err
	}
	s := &Server{
		opts: opts, front: front, log: opts.Log,
		metrics:    newMetrics(opts.Registerer),
		handshakes: make(chan struct{}, maxHandshakes),
		sessions:   make(map[uint32]*session),
		number:     HostNumber(opts.Settings.Host),
		budgets:    retry.NewBudgets(retry.DefaultBudgetConfig()),
	}
	s.answering, s.stopAnswering = context.WithCancel(context.Background())
	if s.log == nil {
		s.log = log.New(io.Discard)
	}
	limit := opts.Connections
	if limit == nil {
		limit = evenShare(opts.View, minConnections, func(svc note.Service) int { return svc.Connections })
	}
	s.setDefaults()
	observers := append([]Observer{newUnresponsiveDetector(s.interruptReplica)}, opts.Observers...)
	for _, port := range []any{s.router, s.positions} {
		if o, ok := port.(Observer); ok {
			observers = append(observers, o)
		}
	}
	s.backends = newBackends(opts.View, limit, observers)
	s.listener, err = net.Listen("tcp", opts.Settings.Entry.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	return s, nil
}

// setDefaults sets the interfaces that the options leave nil.
func (s *Server) setDefaults() {
	s.limiter, s.gate, s.router = s.opts.Limiter, s.opts.Gate, s.opts.Router
	s.positions, s.durability = s.opts.Positions, s.opts.Durability
	if s.limiter == nil {
		s.limiter = Unlimited{}
	}
	if s.gate == nil {
		s.gate = gate.New(s.opts.gatePolicy(), s.opts.slots(), nil)
	}
	if s.positions == nil {
		s.sharedPositions = newSharedPositions(s.opts.View, s.opts.Settings.Host, s.opts.Peers, s.PrimaryStatus)
		s.sharedPositions.gatherTimeout = s.opts.GatherTimeout
		s.positions = s.sharedPositions
	}
	if s.router == nil {
		s.router = NewTableRouter(s.opts.View, s.opts.Settings.Domain)
	}
	if s.opts.Baseline {
		s.router, s.positions = NewPrimaryRouter(s.opts.View), NoPositions{}
	}
	if s.durability == nil {
		s.durability = &majorityDurability{view: s.opts.View, read: s.PrimaryStatus}
	}
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// PrimaryStatus reads the positions of an endpoint that is a primary. The reading begins
// after the call; concurrent calls share one reading.
func (s *Server) PrimaryStatus(ctx context.Context, endpoint string) (pgback.Status, error) {
	member, err := s.backends.get(endpoint)
	if err != nil {
		return pgback.Status{}, err
	}
	return member.monitor.Positions(ctx)
}

// Run serves callers until ctx ends, then closes their connections. For a graceful shutdown
// call Drain before ctx ends.
func (s *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() })
	defer stop()
	s.spawn(func() { s.backends.run(ctx) })
	s.spawn(func() { s.watchView(ctx) })
	if s.sharedPositions != nil {
		s.spawn(func() { s.sharedPositions.run(ctx) })
	}
	s.log.Info("entry_listening", "addr", s.Addr())
	err := s.accept(ctx)
	if s.draining.Load() {
		<-ctx.Done()
	}
	cancel()
	s.stopAnswering()
	s.closeSessions()
	s.tasks.Wait()
	if ctx.Err() != nil && errors.Is(err, net.ErrClosed) {
		return ctx.Err()
	}
	return err
}

// spawn runs a task that Run waits for.
func (s *Server) spawn(task func()) {
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		task()
	}()
}

// accept accepts callers until the listener is closed.
func (s *Server) accept(ctx context.Context) error {
	for {
		nc, err := s.listener.Accept()
		var netErr net.Error
		switch {
		case err == nil:
			s.spawn(func() { s.serve(nc) })
		case errors.Is(err, net.ErrClosed):
			return err
		case errors.As(err, &netErr):
			s.log.Warn("accept_failed", "err", err.Error())
			if pause(ctx, acceptRetryDelay) != nil {
				return ctx.Err()
			}
		default:
			return errors.Wrap(err, "accept")
		}
	}
}

// acceptRetryDelay is the wait after a failed accept, for example when the process has run out of
// file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// watchView applies each change of the agreed state to all sessions.
func (s *Server) watchView(ctx context.Context) {
	for {
		changed := s.opts.View.Changed()
		v := s.opts.View.Current()
		for _, session := range s.activeSessions() {
			session.applyView(v)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// activeSessions returns the registered sessions.
func (s *Server) activeSessions() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*session, 0, len(s.sessions))
	for _, session := range s.sessions {
		all = append(all, session)
	}
	return all
}

func (s *Server) closeSessions() {
	for _, session := range s.activeSessions() {
		session.kill()
	}
}

// newSecret returns the random secret of a cancel key.
func newSecret() []byte {
	secret := make([]byte, 4)
	_, _ = rand.Read(secret) // crypto/rand.Read never fails
	return secret
}
