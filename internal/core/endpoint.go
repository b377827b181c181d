package core

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/budget"
	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/connpool"
	"github.com/galenabridge/galenabridge/internal/crossing"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/pacing"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/view"
)

const (
	// probeInterval is the time between two attempts to reach an endpoint that failed:
	// three failures make a vote (failover.Config.SuspectAfter).
	probeInterval = 250 * time.Millisecond
	// probeTimeout bounds one attempt. It is well above the time to open a connection
	// to another failure domain (some 15 ms).
	probeTimeout = 400 * time.Millisecond
	// replicaBehindBackoff is how long reads avoid a replica that lacked a position: a few
	// times the usual replication lag.
	replicaBehindBackoff = 250 * time.Millisecond
)

// Evidence is what this host observed about an endpoint by using it.
type Evidence struct {
	Service  string
	Endpoint string
	// Unreachable: the endpoint could not be reached.
	Unreachable bool
	// ReadOnly: the primary of the group refused a write because it is read-only. Evidence
	// with neither flag reports an endpoint that can be reached.
	ReadOnly bool
}

// endpoint holds the connection pool and the observed state of one endpoint process. It
// is safe for concurrent use.
type endpoint struct {
	record agreed.Endpoint
	pool   *connpool.Pool[*conn]
	srv    *Server

	mu       sync.Mutex
	inflight int
	// suspected is set while the endpoint is probed after a failure.
	suspected bool
	// behindUntil is the time until which reads avoid the endpoint because it lacked a
	// position.
	behindUntil time.Time
	position    LogPosition
	closed      bool
	// pace limits the statements in progress according to their latency.
	pace *pacing.Limit
	// latency is the latency of reads.
	latency crossing.Latency
	// roundTrip is the least time of a dial or of an exchange that takes no slot; zero: unknown.
	roundTrip time.Duration
}

func newEndpoint(srv *Server, e agreed.Endpoint, limit int) *endpoint {
	ep := &endpoint{record: e, srv: srv, pace: pacing.NewLimit(pacing.DefaultConfig(), srv.startOfPace(e))}
	ep.pool = connpool.New(ep.dial, limit)
	return ep
}

func (e *endpoint) dial(ctx context.Context, workspace string) (*conn, error) {
	at, before, begun := clock.Now(), e.srv.opts.View.Current(), time.Now()
	link, err := e.srv.opts.Dialer.Dial(ctx, e.record, workspace)
	if err != nil {
		e.srv.metrics.dials.WithLabelValues("failed").Inc()
		return nil, err
	}
	e.srv.metrics.dials.WithLabelValues("ok").Inc()
	e.observeRoundTrip(time.Since(begun))
	if before.State != nil {
		e.observePosition(logOf(before.State, e.record.Service), link.StartPosition())
	}
	e.observePrimary(at, before, link.StartPosition())
	return newConn(link), nil
}

// observePrimary records a position of the endpoint at a time if it was the active primary
// under the view of that time and still is.
func (e *endpoint) observePrimary(at time.Time, v view.View, p Position) {
	if !v.Valid() || v.State == nil {
		return
	}
	g := v.State.Groups[e.record.Service]
	log := logOf(v.State, e.record.Service)
	if c := (choice{endpoint: e, primary: true, log: log}); g.Primary == e.record.ID && e.srv.stillValid(c) {
		e.srv.primaryPositions.observe(log, at, p)
	}
}

// isReachable reports whether a dial error shows that the endpoint can be reached, because
// the endpoint itself sent the refusal.
func isReachable(err error) bool {
	switch result.CodeOf(err) {
	case result.EndpointMismatch, result.TooManyConnections, result.EndpointBusy:
		return true
	}
	return false
}

func (e *endpoint) beginStatement() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inflight++
}

func (e *endpoint) endStatement() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inflight--
}

// observePosition records the position in an answer of the endpoint, which was chosen under a log.
func (e *endpoint) observePosition(log Log, p Position) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.position.log != log {
		e.position = LogPosition{log: log}
	}
	e.position = e.position.laterOf(p)
}

// pace has the latency of a statement that was sent at a time limit the statements in progress at
// its endpoint. While the host's own link is saturated it is the likely cause of the latency, and
// the sample is ignored: the endpoint would be paced with slots free.
func (s *Server) pace(e *endpoint, route note.Route, kind Kind, at, sentAt time.Time, took time.Duration) {
	if s.opts.Traffic.SaturatedSince(sentAt) {
		s.metrics.pacingIgnored.Inc()
		return
	}
	e.observeLatency(at, s.latencyExcess(route, kind, took))
	e.observeReadLatency(kind, took)
}

// observeLatency records by how much the latency of a statement exceeded the usual one.
func (e *endpoint) observeLatency(now time.Time, excess time.Duration) {
	limit := e.srv.maxSlots(e.record.Service, e.record.ID)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pace.Observe(now, excess, limit)
}

// allowedStatements returns how many statements may be in progress, up to limit.
func (e *endpoint) allowedStatements(limit int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pace.Allowed(limit)
}

// markBehind records that the endpoint lacked a required position.
func (e *endpoint) markBehind(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behindUntil = now.Add(replicaBehindBackoff)
}

// load is the observed state of an endpoint from which pickEndpoint computes its cost.
type load struct {
	inflight  int
	suspected bool
	behind    bool
	position  LogPosition
}

// lacks reports whether the endpoint has lacked a position lately and is not known to have passed the
// required one since.
func (l load) lacks(required LogPosition) bool {
	position, ok := required.in(l.position.log)
	return l.behind && (!ok || l.position.position.Compare(position) < 0)
}

func (e *endpoint) load(now time.Time) load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return load{inflight: e.inflight, suspected: e.suspected, behind: now.Before(e.behindUntil), position: e.position}
}

// reportUnreachable reports immediately that the endpoint accepted no connection, and
// starts to probe it.
func (e *endpoint) reportUnreachable(workspace string, cause error) {
	e.srv.opts.Observe(Evidence{Service: e.record.Service, Endpoint: e.record.ID, Unreachable: true})
	e.suspect(workspace, cause)
}

// suspect marks the endpoint as suspected and probes it in the background until it
// answers. It does nothing if the endpoint is suspected already or closed, nor at the end of a
// shutdown, which ends exchanges before their time, nor when this host lacks memory for an answer.
func (e *endpoint) suspect(workspace string, cause error) {
	if e.srv.pastAnswers() || errors.Is(cause, budget.ErrFull) {
		return
	}
	e.mu.Lock()
	if e.suspected || e.closed {
		e.mu.Unlock()
		return
	}
	e.suspected = true
	e.mu.Unlock()
	e.srv.opts.Log.Warn("endpoint_suspected", "service", e.record.Service, "endpoint", e.record.ID, "cause", cause.Error())
	e.srv.spawn(func(ctx context.Context) { e.probeUntilReachable(ctx, workspace) })
}

// probeUntilReachable probes the endpoint every probeInterval until it can be reached, is
// closed or ctx ends.
func (e *endpoint) probeUntilReachable(ctx context.Context, workspace string) {
	begun := clock.Now()
	for e.probe(ctx, workspace) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(probeInterval):
		}
	}
	e.mu.Lock()
	e.suspected = false
	e.mu.Unlock()
	e.srv.opts.Log.Info("endpoint_regained", "service", e.record.Service, "endpoint", e.record.ID, "after_ms", clock.Since(begun).Milliseconds())
}

// probe dials the endpoint once and reports the evidence. It returns whether the endpoint
// remains suspected.
func (e *endpoint) probe(ctx context.Context, workspace string) bool {
	e.mu.Lock()
	closed := e.closed
	e.mu.Unlock()
	if closed || ctx.Err() != nil {
		return false
	}
	return e.srv.probeEndpoint(ctx, e.record, workspace)
}

// isSuspected reports whether the endpoint is probed after a failure.
func (e *endpoint) isSuspected() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.suspected
}

func (e *endpoint) close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.pool.Close()
}
