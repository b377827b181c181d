package core

import (
	"sync"
	"time"

	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/hedge"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// Values of the label "outcome" of hedged reads. A hedge that was sent and not won was answered
// after the first attempt, or not at all.
const (
	hedgeSent     = "sent"
	hedgeWon      = "won"
	hedgeNoBudget = "no_budget"
)

// hedgeLogInterval is the least time between two log lines about hedged reads.
const hedgeLogInterval = time.Second

// hedges is the planner of the hedged reads of a server. It is safe for concurrent use.
type hedges struct {
	mu      sync.Mutex
	planner *hedge.Planner
	// loggedAt is the time of the last log line; unlogged counts the hedges since.
	loggedAt time.Time
	unlogged int
}

func newHedges() *hedges { return &hedges{planner: hedge.NewPlanner()} }

// hedgeRoute returns the times of a route for package hedge.
func hedgeRoute(r note.Route) hedge.Route {
	return hedge.Route{Target: time.Duration(r.Target) * time.Millisecond, Timeout: time.Duration(r.Timeout) * time.Millisecond}
}

func (h *hedges) plan(r hedge.Route, service string, k hedge.Key) (hedge.Plan, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.planner.Plan(r, service, k)
}

func (h *hedges) take(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.planner.Take(service)
}

func (h *hedges) giveBack(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.planner.GiveBack(service)
}

func (h *hedges) observe(k hedge.Key, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.planner.Observe(k, took)
}

// mayLog reports whether a hedge is logged now, and how many were not since the last line.
func (h *hedges) mayLog(now time.Time) (unlogged int, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.loggedAt) < hedgeLogInterval {
		h.unlogged++
		return 0, false
	}
	unlogged = h.unlogged
	h.loggedAt, h.unlogged = now, 0
	return unlogged, true
}

// succeeded reports whether the hedge was answered without an error. An endpoint where it
// failed is not tried again for the statement.
func (a *secondAttempt) succeeded(r attemptResult) bool {
	if r.checkout == nil {
		return false
	}
	a.log(r)
	e := r.checkout.endpoint
	if r.err == nil && r.answer.Err != nil && r.answer.Err.Code == result.ReplicaBehind {
		e.markBehind(clock.Now())
	}
	if r.err != nil || r.answer.Err != nil {
		a.hedged.op.need.exclude = append(a.hedged.op.need.exclude, e.record.ID)
		return false
	}
	return true
}

// conclude returns the reply for the answer of the hedge.
func (a *secondAttempt) conclude(r attemptResult) Reply {
	s := a.hedged.op.session
	s.srv.metrics.hedges.WithLabelValues(hedgeWon).Inc()
	s.recordAttempt(a.hedged.co, a.startedAt.Sub(a.hedged.sentAt))
	s.recordAttempt(r.checkout, time.Since(a.startedAt))
	reply, _ := a.hedged.op.conclude(r.checkout, r.exchanged)
	return reply
}

// log writes a line about the hedge, at most one in hedgeLogInterval.
func (a *secondAttempt) log(r attemptResult) {
	h := a.hedged
	srv := h.op.session.srv
	unlogged, ok := srv.hedges.mayLog(clock.Now())
	if !ok {
		return
	}
	srv.opts.Log.Info("read_hedged", "request", h.op.st.ID, "database", h.op.route.Database,
		"first", h.co.endpoint.record.ID, "second", r.checkout.endpoint.record.ID, "after_ms", a.startedAt.Sub(h.sentAt).Milliseconds(),
		"took_ms", r.took.Milliseconds(), "failed", r.err != nil || r.answer.Err != nil, "unlogged", unlogged)
}
