package standin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/xdg-go/scram"
)

// Server is one endpoint. Where both are held, mu is locked before the mutex of wal.
// The role changes only while roleMu and mu are held.
type Server struct {
	opts             Options
	ln               net.Listener
	faults           *Faults
	scram            *scram.Server
	wal              *wal
	replayLag        atomic.Int64 // in nanoseconds
	replicationDelay atomic.Int64 // in nanoseconds
	// sleepingCalls counts the running calls of pg_sleep.
	sleepingCalls atomic.Int64

	ctx         context.Context
	cancel      context.CancelFunc
	connections sync.WaitGroup

	// roleMu serializes promotions and demotions.
	roleMu sync.Mutex

	mu          sync.Mutex
	role        Role
	promoting   bool
	upstream    string
	eng         *engine
	sessions    map[uint32]*session
	callerCount int
	nextPID     uint32
	replicas    map[*connectedReplica]struct{}
	roleChanged chan struct{}
}

// New opens an endpoint's log, database and listener. Run serves it and releases
// them.
func New(opts Options) (*Server, error) {
	opts.setDefaults()
	wal, err := openWAL(opts.DataDir)
	if err != nil {
		return nil, err
	}
	scramServer, err := newScramServer(opts.User, opts.Password)
	if err != nil {
		return nil, err
	}
	eng, err := openEngine()
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		eng.close()
		return nil, errors.Wrap(err, "listen for callers")
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		opts: opts, ln: ln, faults: newFaults(), scram: scramServer, wal: wal, ctx: ctx, cancel: cancel,
		role: wal.file.loadRole(opts.Role), upstream: opts.Upstream, eng: eng,
		sessions: make(map[uint32]*session), replicas: make(map[*connectedReplica]struct{}),
		roleChanged: make(chan struct{}),
	}
	s.SetReplayLag(opts.ReplayLag)
	s.SetReplicationDelay(opts.ReplicationDelay)
	return s, nil
}

// Addr returns the address that the endpoint listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// ID returns the endpoint's identity in its group.
func (s *Server) ID() string { return s.opts.ID }

// Faults returns the fault switches.
func (s *Server) Faults() *Faults { return s.faults }

// SetReplayLag changes the time from flush to replay of transactions on this
// endpoint.
func (s *Server) SetReplayLag(d time.Duration) {
	s.replayLag.Store(int64(d))
	s.wal.notify()
}

// SetReplicationDelay changes the time from a commit on this endpoint to its
// flush on replicas.
func (s *Server) SetReplicationDelay(d time.Duration) { s.replicationDelay.Store(int64(d)) }

// Position returns the endpoint's role, timeline, and flushed and replayed
// positions.
func (s *Server) Position() (role Role, timeline uint32, flushed, replayed LSN) {
	s.mu.Lock()
	role = s.role
	s.mu.Unlock()
	return role, s.wal.currentTimeline(), s.wal.flushed(), s.wal.replayedLSN()
}

// Run serves until ctx ends or Kill is called, and returns nil then. It returns early
// with the error of a task that fails.
func (s *Server) Run(ctx context.Context) error {
	defer s.close()
	if err := s.restore(); err != nil {
		return err
	}
	var group run.Group
	tasks := []func(context.Context) error{s.accept, s.follow, s.replay, s.announce}
	if s.opts.Control != "" {
		tasks = append(tasks, s.serveControl)
	}
	for _, task := range tasks {
		taskCtx, cancel := context.WithCancel(s.ctx)
		group.Add(func() error { return task(taskCtx) }, func(error) { cancel() })
	}
	group.Add(func() error {
		select {
		case <-ctx.Done():
		case <-s.ctx.Done():
		}
		return nil
	}, func(error) { s.Kill() })
	s.opts.Logger.Info("standin_started", "id", s.opts.ID, "addr", s.Addr(), "role", s.role)
	err := group.Run()
	if ctx.Err() != nil || errors.Is(err, context.Canceled) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Kill stops the endpoint like a crash of its process: connections are closed
// without an error message.
func (s *Server) Kill() {
	s.ln.Close()
	s.mu.Lock()
	for _, session := range s.sessions {
		session.conn.Close()
	}
	s.mu.Unlock()
	s.cancel()
}

func (s *Server) close() {
	s.Kill()
	s.connections.Wait()
	s.engine().close()
	s.wal.file.close()
}

func (s *Server) accept(ctx context.Context) error {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return errors.Wrap(err, "accept")
		}
		s.connections.Add(1)
		go func() {
			defer s.connections.Done()
			s.serve(conn)
		}()
	}
}

func (s *Server) serve(conn net.Conn) {
	session := newSession(s, conn)
	stop := context.AfterFunc(s.ctx, func() { session.conn.Close() })
	defer stop()
	session.serve()
}

// register adds an authenticated session and assigns its process ID. Callers count
// towards Options.MaxConnections, replication connections do not.
func (s *Server) register(session *session, replication bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !replication {
		if s.callerCount >= s.opts.MaxConnections {
			return fatalErrorf(sqlStateTooManyConnections, "sorry, too many clients already")
		}
		s.callerCount++
		session.countedAsCaller = true
	}
	s.nextPID++
	session.pid = s.nextPID
	s.sessions[session.pid] = session
	return nil
}

func (s *Server) unregister(session *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if session.pid == 0 {
		return
	}
	delete(s.sessions, session.pid)
	if session.countedAsCaller {
		s.callerCount--
	}
}

func (s *Server) cancelStatement(pid uint32, secret []byte) {
	s.mu.Lock()
	session := s.sessions[pid]
	s.mu.Unlock()
	if session != nil {
		session.cancelStatement(secret)
	}
}

func (s *Server) log() *wal { return s.wal }

func (s *Server) engine() *engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.eng
}

func (s *Server) isPrimary() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role == RolePrimary
}

// commit commits the engine transaction of a session that holds the write semaphore
// and appends its changes to the log. Reads are excluded for both steps.
func (s *Server) commit(session *session) error {
	if !s.isPrimary() || s.engine() != session.eng {
		return fatalErrorf(sqlStateAdminShutdown, "the endpoint is no longer the primary")
	}
	eng := session.eng
	eng.commitMu.Lock()
	defer eng.commitMu.Unlock()
	if _, err := session.db.ExecContext(context.Background(), "commit"); err != nil {
		return err
	}
	_, err := s.wal.appendLocal(session.tx.changes)
	return err
}

// notifyLocked wakes the tasks that wait for a change of role or upstream. The
// caller holds mu.
func (s *Server) notifyLocked() {
	close(s.roleChanged)
	s.roleChanged = make(chan struct{})
}

// watchRole returns the current role and upstream, and a channel that is closed at
// their next change.
func (s *Server) watchRole() (Role, string, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role, s.upstream, s.roleChanged
}
