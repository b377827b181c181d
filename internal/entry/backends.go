package entry

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/pgback"
	"github.com/galenabridge/galenabridge/internal/view"
)

// sweepInterval is the time between two searches for idle connections.
const sweepInterval = 10 * time.Second

// backends keeps a pool and a monitor for each endpoint of the services in
// use. It follows the agreed state.
type backends struct {
	view      view.Source
	limit     func(service, endpoint string) int
	observers []Observer

	mu       sync.RWMutex
	ctx      context.Context
	running  sync.WaitGroup
	services map[string]bool
	members  map[string]*backend
}

// backend is one endpoint in use.
type backend struct {
	service string
	pool    *pgback.Pool
	monitor *pgback.Monitor
	stop    context.CancelFunc
}

func newBackends(src view.Source, limit func(service, endpoint string) int, observers []Observer) *backends {
	return &backends{
		view: src, limit: limit, observers: observers,
		services: make(map[string]bool),
		members:  make(map[string]*backend),
	}
}

// run keeps the set of endpoints in line with the agreed state until ctx ends.
func (b *backends) run(ctx context.Context) {
	b.mu.Lock()
	b.ctx = ctx
	b.mu.Unlock()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		changed := b.view.Changed()
		b.reconcile()
		select {
		case <-changed:
		case now := <-ticker.C:
			b.sweep(now)
		case <-ctx.Done():
			b.closeAll()
			return
		}
	}
}

// use makes the endpoints of a service ready.
func (b *backends) use(service string) {
	b.mu.Lock()
	known := b.services[service]
	b.services[service] = true
	b.mu.Unlock()
	if !known {
		b.reconcile()
	}
}

// get returns an endpoint in use.
func (b *backends) get(endpoint string) (*backend, error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	member, ok := b.members[endpoint]
	if !ok {
		return nil, errors.Errorf("endpoint %s is not in use", endpoint)
	}
	return member, nil
}

func (b *backends) reconcile() {
	state := b.view.Current().State
	b.mu.Lock()
	defer b.mu.Unlock()
	if state == nil || b.ctx == nil || b.ctx.Err() != nil {
		return
	}
	wanted := make(map[string]bool)
	for service := range b.services {
		for _, id := range state.Groups[service].Members {
			if target, ok := targetOf(state, service, id); ok {
				wanted[id] = true
				b.ensure(service, target)
			}
		}
	}
	for id, member := range b.members {
		if !wanted[id] {
			member.close()
			delete(b.members, id)
		}
	}
}

// ensure starts the endpoint, anew when its address or credentials changed.
func (b *backends) ensure(service string, target pgback.Target) {
	limit := b.limit(service, target.Endpoint)
	if member, ok := b.members[target.Endpoint]; ok {
		if member.pool.Target() == target {
			member.pool.SetLimit(limit - 1)
			return
		}
		member.close()
	}
	ctx, stop := context.WithCancel(b.ctx)
	publish := func(s pgback.Status) {
		for _, o := range b.observers {
			o.Observe(service, s)
		}
	}
	member := &backend{
		service: service,
		// One connection is the monitor's.
		pool:    pgback.NewPool(target, limit-1),
		monitor: pgback.NewMonitor(target, publish),
		stop:    stop,
	}
	b.members[target.Endpoint] = member
	b.running.Add(1)
	go func() {
		defer b.running.Done()
		_ = member.monitor.Run(ctx)
	}()
}

// nudge asks the replicas of a service for their positions.
func (b *backends) nudge(service, primary string) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for id, member := range b.members {
		if member.service == service && id != primary {
			member.monitor.RequestPoll()
		}
	}
}

// poolUse is the use of one endpoint's connections.
type poolUse struct {
	service  string
	endpoint string
	open     int
	peak     int
}

// poolUse lists the endpoints in use, with their peaks since the last call.
func (b *backends) poolUse() []poolUse {
	b.mu.RLock()
	defer b.mu.RUnlock()
	all := make([]poolUse, 0, len(b.members))
	for id, member := range b.members {
		all = append(all, poolUse{service: member.service, endpoint: id, open: member.pool.Stats().Open, peak: member.pool.TakePeak()})
	}
	return all
}

// resize makes the pools follow changed caps.
func (b *backends) resize() {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for id, member := range b.members {
		member.pool.SetLimit(b.limit(member.service, id) - 1)
	}
}

func (m *backend) close() {
	m.stop()
	m.pool.Close()
}

func (b *backends) sweep(now time.Time) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, member := range b.members {
		member.pool.Sweep(now)
	}
}

func (b *backends) closeAll() {
	b.mu.Lock()
	for id, member := range b.members {
		member.close()
		delete(b.members, id)
	}
	b.mu.Unlock()
	b.running.Wait()
}

func targetOf(state *agreed.State, service, id string) (pgback.Target, bool) {
	endpoint, ok := state.Endpoints[id]
	svc, known := state.Catalog.Services[service]
	if !ok || !known {
		return pgback.Target{}, false
	}
	return pgback.Target{
		Endpoint: id, Addr: endpoint.Addr,
		Database: svc.Database, User: svc.User, Password: svc.Password,
	}, true
}

// minConnections is the least even share of an endpoint's connections: one for
// the monitor and one for requests.
const minConnections = 2

// evenShare shares a cap of a service evenly among the entry hosts; each gets at
// least the given number.
func evenShare(src view.Source, least int, whole func(note.Service) int) func(service, endpoint string) int {
	return func(service, _ string) int {
		state := src.Current().State
		if state == nil {
			return least
		}
		hosts := 0
		for _, h := range state.Hosts {
			if h.Entry {
				hosts++
			}
		}
		return max(whole(state.Catalog.Services[service])/max(hosts, 1), least)
	}
}
