package entry

import (
	"context"
	"sync"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/pgback"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/view"
)

// Unlimited is a Limiter without limits.
type Unlimited struct{}

// Acquire implements Limiter.
func (Unlimited) Acquire(context.Context, string) error { return nil }

// FIFOGate is a Gate that admits requests to an endpoint's slots in order of
// arrival, whatever their workspace and class.
type FIFOGate struct {
	view view.Source

	mu    sync.Mutex
	slots map[string]*slots
}

type slots struct {
	taken int
	queue []chan struct{}
}

// NewFIFOGate returns a gate with the slots that the agreed state gives.
func NewFIFOGate(src view.Source) *FIFOGate {
	return &FIFOGate{view: src, slots: make(map[string]*slots)}
}

// Enter implements Gate.
func (g *FIFOGate) Enter(ctx context.Context, a Admission) (func(), error) {
	limit := 1
	if state := g.view.Current().State; state != nil {
		limit = max(state.Catalog.Services[a.Service].Slots, 1)
	}
	g.mu.Lock()
	s, ok := g.slots[a.Endpoint]
	if !ok {
		s = &slots{}
		g.slots[a.Endpoint] = s
	}
	if s.taken < limit && len(s.queue) == 0 {
		s.taken++
		g.mu.Unlock()
		return func() { g.leave(s) }, nil
	}
	turn := make(chan struct{})
	s.queue = append(s.queue, turn)
	g.mu.Unlock()
	select {
	case <-turn:
		return func() { g.leave(s) }, nil
	case <-ctx.Done():
		g.abandon(s, turn)
		return nil, result.New(result.DeadlineInQueue, "waiting for a slot of endpoint %s", a.Endpoint)
	}
}

// leave passes the slot to the first in the queue.
func (g *FIFOGate) leave(s *slots) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(s.queue) > 0 {
		close(s.queue[0])
		s.queue = s.queue[1:]
		return
	}
	s.taken--
}

func (g *FIFOGate) abandon(s *slots, turn chan struct{}) {
	g.mu.Lock()
	for i, other := range s.queue {
		if other == turn {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			g.mu.Unlock()
			return
		}
	}
	g.mu.Unlock()
	g.leave(s) // the slot was passed on meanwhile
}

// PrimaryRouter is a Router that sends every request to the primary.
type PrimaryRouter struct{ view view.Source }

// NewPrimaryRouter returns a router over the agreed state.
func NewPrimaryRouter(src view.Source) *PrimaryRouter { return &PrimaryRouter{view: src} }

// Pick implements Router.
func (r *PrimaryRouter) Pick(now time.Time, need Need) (string, error) {
	v := r.view.Current()
	if !v.Valid(now) {
		return "", result.New(result.NoConfigLease, "the lease ended")
	}
	group, ok := v.State.Groups[need.Service]
	if !ok || group.Phase != agreed.PhaseActive || group.Primary == "" {
		return "", result.New(result.NoPrimary, "service %s is %s: %s", need.Service, group.Phase, group.Reason)
	}
	if v.State.Catalog.Domains[v.State.Endpoints[group.Primary].Domain].Out {
		return "", result.New(result.NoPrimary, "the primary of service %s stands in a failure domain that is out", need.Service)
	}
	return group.Primary, nil
}

// Begin implements Router.
func (r *PrimaryRouter) Begin(string) {}

// End implements Router.
func (r *PrimaryRouter) End(Report) {}

// NoPositions is a Positions for routers that read from the primary only.
type NoPositions struct{}

// Required implements Positions.
func (NoPositions) Required(context.Context, string, string) (Position, error) {
	return Position{}, nil
}

// Acked implements Positions.
func (NoPositions) Acked(string, string, Position) {}

// PrimaryPositions asks the primary for its position before each read.
type PrimaryPositions struct {
	view    view.Source
	current func(ctx context.Context, endpoint string) (pgback.Status, error)
}

// Required implements Positions.
func (p *PrimaryPositions) Required(ctx context.Context, service, _ string) (Position, error) {
	state := p.view.Current().State
	if state == nil {
		return Position{}, result.New(result.NoConfigLease, "no state")
	}
	group := state.Groups[service]
	status, err := p.current(ctx, group.Primary)
	if err != nil {
		return Position{}, result.New(result.NoPrimary, "position of service %s: %v", service, err)
	}
	return Position{Term: group.Term, LSN: status.LSN}, nil
}

// Acked implements Positions.
func (p *PrimaryPositions) Acked(string, string, Position) {}
