package entry

import (
	"context"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/view"
)

// Unlimited is a Limiter that admits every statement without a wait.
type Unlimited struct{}

// Acquire implements Limiter.
func (Unlimited) Acquire(context.Context, string) error { return nil }

// PrimaryRouter is a Router that sends every request, reads included, to the primary.
type PrimaryRouter struct{ view view.Source }

// NewPrimaryRouter returns a router over the agreed state.
func NewPrimaryRouter(src view.Source) *PrimaryRouter { return &PrimaryRouter{view: src} }

// Pick implements Router.
func (r *PrimaryRouter) Pick(now time.Time, need Need) (string, error) {
	v := r.view.Current()
	if !v.Valid() {
		return "", result.New(result.NoConfigLease, "the configuration lease ended")
	}
	group, ok := v.State.Groups[need.Service]
	if !ok || group.Phase != agreed.PhaseActive || group.Primary == "" {
		return "", result.New(result.NoPrimary, "service %s is %s: %s", need.Service, group.Phase, group.Reason)
	}
	if v.State.DomainOut(v.State.Endpoints[group.Primary].Domain) {
		return "", result.New(result.NoPrimary, "the primary of service %s is in a failure domain that is out", need.Service)
	}
	return group.Primary, nil
}

// Begin implements Router.
func (*PrimaryRouter) Begin(string) {}

// End implements Router.
func (*PrimaryRouter) End(Report) {}

// NoPositions is a Positions for routers that read from the primary only, where every
// acknowledged write is visible.
type NoPositions struct{}

// Required implements Positions.
func (NoPositions) Required(context.Context, string, string) (Position, error) {
	return Position{}, nil
}

// RecordAcked implements Positions.
func (NoPositions) RecordAcked(string, string, Position) {}
