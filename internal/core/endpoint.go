package core

import (
	"context"
	"sync"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/connpool"
	"github.com/galenabridge/galenabridge/internal/pacing"
	"github.com/galenabridge/galenabridge/internal/result"
)

const (
	// suspicionInterval is the time between two attempts to reach an endpoint
	// that failed: three of them make a vote (failover.Config.SuspectAfter).
	suspicionInterval = 250 * time.Millisecond
	// suspicionTimeout bounds one attempt, well above a round trip between
	// failure domains and the opening of a connection (some 15 ms).
	suspicionTimeout = 400 * time.Millisecond
	// lagPause is how long reads keep off a replica that lacked a position: a few
	// times the usual lag.
	lagPause = 250 * time.Millisecond
)

// Evidence is what this host found out about an endpoint by using it.
type Evidence struct {
	Service  string
	Endpoint string
	// Lost: the endpoint cannot be reached. ReadOnly: it answers, but not as a
	// primary. Neither: it is well.
	Lost     bool
	ReadOnly bool
}

// endpoint is one endpoint in use.
type endpoint struct {
	record agreed.Endpoint
	pool   *connpool.Pool[*conn]
	srv    *Server

	mu       sync.Mutex
	inflight int
	// suspected is set while the endpoint is tried again and again.
	suspected bool
	// behindUntil is until when reads keep off for want of a position.
	behindUntil time.Time
	position    Position
	gone        bool
	// pace bounds the statements in progress by the time that they take.
	pace *pacing.Limit
}

func newEndpoint(srv *Server, e agreed.Endpoint, limit int) *endpoint {
	ep := &endpoint{record: e, srv: srv, pace: pacing.NewLimit(pacing.DefaultConfig())}
	ep.pool = connpool.New(ep.dial, limit)
	return ep
}

func (e *endpoint) dial(ctx context.Context, workspace string) (*conn, error) {
	link, err := e.srv.opts.Dialer.Dial(ctx, e.record, workspace)
	if err != nil {
		e.srv.metrics.dials.WithLabelValues("failed").Inc()
		return nil, err
	}
	e.srv.metrics.dials.WithLabelValues("ok").Inc()
	return newConn(link), nil
}

// reachable reports whether an error of a dial speaks for the endpoint: it has
// answered.
func reachable(err error) bool {
	switch result.CodeOf(err) {
	case result.EndpointMismatch, result.TooManyConnections, result.EndpointBusy:
		return true
	}
	return false
}

func (e *endpoint) begin() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inflight++
}

func (e *endpoint) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inflight--
}

// seen notes the position in an answer.
func (e *endpoint) seen(p Position) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.position = later(e.position, p)
}

// took notes by how much a statement took longer than usual.
func (e *endpoint) took(now time.Time, excess time.Duration) {
	most := e.srv.mostSlots(e.record.Service, e.record.ID)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pace.Observe(now, excess, most)
}

// allowed returns how many of most statements may be in progress.
func (e *endpoint) allowed(most int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pace.Allowed(most)
}

// behind notes that the endpoint lacked a position.
func (e *endpoint) behind(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behindUntil = now.Add(lagPause)
}

// load is what the choice of an endpoint depends on.
type load struct {
	inflight  int
	suspected bool
	behind    bool
	position  Position
}

func (e *endpoint) load(now time.Time) load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return load{inflight: e.inflight, suspected: e.suspected, behind: now.Before(e.behindUntil), position: e.position}
}

// unreachable tells at once that the endpoint took no connection, and suspects it.
func (e *endpoint) unreachable(workspace string, cause error) {
	e.srv.opts.Observe(Evidence{Service: e.record.Service, Endpoint: e.record.ID, Lost: true})
	e.suspect(workspace, cause)
}

// suspect tries the endpoint again and again until it answers, and tells what it
// finds. It returns at once.
func (e *endpoint) suspect(workspace string, cause error) {
	e.mu.Lock()
	if e.suspected || e.gone {
		e.mu.Unlock()
		return
	}
	e.suspected = true
	e.mu.Unlock()
	e.srv.opts.Log.Warn("endpoint_suspected", "service", e.record.Service, "endpoint", e.record.ID, "cause", cause.Error())
	e.srv.spawn(func(ctx context.Context) { e.pursue(ctx, workspace) })
}

func (e *endpoint) pursue(ctx context.Context, workspace string) {
	begun := clock.Now()
	for e.tryAgain(ctx, workspace) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(suspicionInterval):
		}
	}
	e.mu.Lock()
	e.suspected = false
	e.mu.Unlock()
	e.srv.opts.Log.Info("endpoint_regained", "service", e.record.Service, "endpoint", e.record.ID, "after_ms", clock.Since(begun).Milliseconds())
}

// tryAgain reports whether the endpoint remains suspected.
func (e *endpoint) tryAgain(ctx context.Context, workspace string) bool {
	e.mu.Lock()
	gone := e.gone
	e.mu.Unlock()
	if gone || ctx.Err() != nil {
		return false
	}
	tryCtx, cancel := context.WithTimeout(ctx, suspicionTimeout)
	defer cancel()
	link, err := e.srv.opts.Dialer.Dial(tryCtx, e.record, workspace)
	if err == nil {
		link.Close()
	}
	lost := err != nil && !reachable(err)
	e.srv.opts.Observe(Evidence{Service: e.record.Service, Endpoint: e.record.ID, Lost: lost})
	return lost
}

func (e *endpoint) close() {
	e.mu.Lock()
	e.gone = true
	e.mu.Unlock()
	e.pool.Close()
}
