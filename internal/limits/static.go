package limits

import (
	"context"
	"sync"

	"golang.org/x/time/rate"

	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/view"
)

// Static is an entry.Limiter that gives every entry host an equal, fixed share of
// each workspace's rate. It is a baseline for benchmarks.
type Static struct {
	view view.Source

	mu      sync.Mutex
	buckets map[string]*rate.Limiter
}

// NewStatic returns a Static that follows the agreed state of src.
func NewStatic(src view.Source) *Static {
	return &Static{view: src, buckets: make(map[string]*rate.Limiter)}
}

// Acquire implements entry.Limiter.
func (s *Static) Acquire(ctx context.Context, workspace string) error {
	bucket := s.bucket(workspace)
	if bucket == nil {
		return result.New(result.UnknownWorkspace, "workspace %q", workspace)
	}
	if err := bucket.Wait(ctx); err != nil {
		return result.New(result.RateExceeded, "workspace %q is over its share of the rate on this host", workspace)
	}
	return nil
}

// bucket returns the workspace's bucket, adjusted to the agreed state.
func (s *Static) bucket(workspace string) *rate.Limiter {
	state := s.view.Current().State
	if state == nil {
		return nil
	}
	w, ok := state.Catalog.Workspaces[workspace]
	if !ok {
		return nil
	}
	hosts := 0
	for _, h := range state.Hosts {
		if h.Entry {
			hosts++
		}
	}
	share := rate.Limit(w.Rate / float64(max(hosts, 1)))
	burst := max(int(w.Burst)/max(hosts, 1), 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buckets[workspace]
	if !ok {
		b = rate.NewLimiter(share, burst)
		s.buckets[workspace] = b
	}
	if b.Limit() != share || b.Burst() != burst {
		b.SetLimit(share)
		b.SetBurst(burst)
	}
	return b
}
