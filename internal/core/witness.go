package core

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
)

const (
	// maxWitnessed bounds the endpoints that a host probes for the control leader at a time.
	maxWitnessed = 64
	// witnessTime is how long it probes an endpoint that does not answer: as long as an
	// observation counts (failover.Config.LossTTL). The leader asks again if it needs more.
	witnessTime = 2 * time.Second
)

// Witness probes an endpoint for the control leader until it answers, for at most witnessTime,
// and reports each observation (Options.Observe). It does not block. A host without a lease, and
// one that probes the endpoint already, does nothing.
func (s *Server) Witness(id string) {
	v := s.opts.View.Current()
	if !v.Valid() {
		return
	}
	record, ok := v.State.Endpoints[id]
	if !ok || len(v.State.Catalog.Workspaces) == 0 {
		return
	}
	workspace := slices.Min(slices.Collect(maps.Keys(v.State.Catalog.Workspaces)))
	s.mu.Lock()
	e := s.endpoints[id]
	begin := !s.witnessed[id] && len(s.witnessed) < maxWitnessed && (e == nil || !e.isSuspected())
	if begin {
		s.witnessed[id] = true
	}
	s.mu.Unlock()
	if begin {
		s.spawn(func(ctx context.Context) { s.probeAsWitness(ctx, record, workspace) })
	}
}

// probeAsWitness probes the endpoint every probeInterval until it answers or witnessTime is over.
func (s *Server) probeAsWitness(ctx context.Context, record agreed.Endpoint, workspace string) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.witnessed, record.ID)
	}()
	for end := time.Now().Add(witnessTime); time.Now().Before(end) && s.probeEndpoint(ctx, record, workspace); {
		select {
		case <-ctx.Done():
			return
		case <-time.After(probeInterval):
		}
	}
}

// probeEndpoint opens a connection to an endpoint once and reports the evidence. It returns
// whether the endpoint was unreachable.
func (s *Server) probeEndpoint(ctx context.Context, record agreed.Endpoint, workspace string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	link, err := s.opts.Dialer.Dial(ctx, record, workspace)
	if err == nil {
		link.Close()
	}
	unreachable := err != nil && !isReachable(err)
	s.opts.Observe(Evidence{Service: record.Service, Endpoint: record.ID, Unreachable: unreachable})
	return unreachable
}
