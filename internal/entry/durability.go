package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/pgback"
	"github.com/galenabridge/galenabridge/internal/view"
)

// quorumPollInterval is the wait before the flushed positions are read again.
const quorumPollInterval = time.Millisecond

// majorityDurability is a Durability that reads from the primary its own position and the
// flushed positions of its replicas. The endpoint's monitor batches concurrent readings.
type majorityDurability struct {
	view view.Source
	read func(ctx context.Context, endpoint string) (pgback.Status, error)
}

// Wait implements Durability.
func (d *majorityDurability) Wait(ctx context.Context, service string, life, term uint64) (Position, error) {
	var target uint64
	for first := true; ; first = false {
		state := d.view.Current().State
		if state == nil {
			return Position{}, errors.New("no agreed state")
		}
		group := state.Groups[service]
		if group.Life != life || group.Term != term || group.Phase != agreed.PhaseActive {
			return Position{}, errors.Errorf("term %d of service %s has ended", term, service)
		}
		status, err := d.read(ctx, group.Primary)
		if err != nil {
			return Position{}, err
		}
		if first {
			target = status.LSN
		}
		if hasQuorum(group, state.Quorum(service), status, target) {
			return Position{Life: life, Term: term, LSN: target}, nil
		}
		if err := pause(ctx, quorumPollInterval); err != nil {
			return Position{}, err
		}
	}
}

// hasQuorum reports whether the primary and the members that have flushed lsn reach the
// quorum.
func hasQuorum(group agreed.Group, quorum int, status pgback.Status, lsn uint64) bool {
	count := 0
	for _, id := range group.Members {
		flushed, ok := status.Flushed[id]
		if id == group.Primary || ok && flushed >= lsn {
			count++
		}
	}
	return count >= quorum
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
