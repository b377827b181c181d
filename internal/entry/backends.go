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

// idleSweepInterval is the time between two sweeps that close idle connections.
const idleSweepInterval = 10 * time.Second

// backends keeps a connection pool and a monitor for each endpoint of the services in use.
// It follows the agreed state. The maps and ctx are guarded by mu; no endpoint is started
// before run has set ctx.
type backends struct {
	view      view.Source
	limit     func(service, endpoint string) int
	observers []Observer

	mu       sync.RWMutex
	ctx      context.Context
	monitors sync.WaitGroup
	services map[string]bool
	members  map[string]*backend
}

// backend is the pool and the monitor of one endpoint. stop ends the monitor.
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

// run reconciles the set of endpoints with the agreed state until ctx ends, then closes all
// pools and waits for the monitors.
func (b *backends) run(ctx context.Context) {
	b.mu.Lock()
	b.ctx = ctx
	b.mu.Unlock()
	ticker := time.NewTicker(idleSweepInterval)
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

// addService starts the endpoints of a service on its first use.
func (b *backends) addService(service string) {
	b.mu.Lock()
	inUse := b.services[service]
	b.services[service] = true
	b.mu.Unlock()
	if !inUse {
		b.reconcile()
	}
}

// get returns the backend of an endpoint, or an error when the endpoint is not in use.
func (b *backends) get(endpoint string) (*backend, error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	member, ok := b.members[endpoint]
	if !ok {
		return nil, errors.Errorf("endpoint %s is not in use", endpoint)
	}
	return member, nil
}

// reconcile starts the members of the services in use and closes endpoints that are no
// longer members.
func (b *backends) reconcile() {
	state := b.view.Current().State
	b.mu.Lock()
	defer b.mu.Unlock()
	if state == nil || b.ctx == nil || b.ctx.Err() != nil {
		return
	}
	desired := make(map[string]bool)
	for service := range b.services {
		for _, id := range state.Groups[service].Members {
			if target, ok := targetOf(state, service, id); ok {
				desired[id] = true
				b.ensure(service, target)
			}
		}
	}
	for id, member := range b.members {
		if !desired[id] {
			member.close()
			delete(b.members, id)
		}
	}
}

// ensure starts the endpoint, or restarts it when its address or credentials have changed.
// The caller holds mu.
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
		// One connection of the limit is the monitor's.
		pool:    pgback.NewPool(target, limit-1),
		monitor: pgback.NewMonitor(target, publish),
		stop:    stop,
	}
	b.members[target.Endpoint] = member
	b.monitors.Add(1)
	go func() {
		defer b.monitors.Done()
		_ = member.monitor.Run(ctx)
	}()
}

// pollReplicas makes the monitors of a service's replicas read their positions soon.
func (b *backends) pollReplicas(service, primary string) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for id, member := range b.members {
		if member.service == service && id != primary {
			member.monitor.RequestPoll()
		}
	}
}

// poolUsage is the number of connections of one endpoint: those open now, and the number
// that the pool could have used since the last reading.
type poolUsage struct {
	service  string
	endpoint string
	open     int
	peak     int
}

// poolUsage returns the usage of each endpoint and resets the peaks.
func (b *backends) poolUsage() []poolUsage {
	b.mu.RLock()
	defer b.mu.RUnlock()
	all := make([]poolUsage, 0, len(b.members))
	for id, member := range b.members {
		all = append(all, poolUsage{service: member.service, endpoint: id, open: member.pool.Stats().Open, peak: member.pool.TakePeak()})
	}
	return all
}

// resize applies changed connection limits to the pools.
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
	b.monitors.Wait()
}

// targetOf returns the address and credentials of an endpoint. It reports false when the
// state has no such endpoint or service.
func targetOf(state *agreed.State, service, id string) (pgback.Target, bool) {
	endpoint, ok := state.Endpoints[id]
	svc, hasService := state.Catalog.Services[service]
	if !ok || !hasService {
		return pgback.Target{}, false
	}
	return pgback.Target{
		Endpoint: id, Addr: endpoint.Addr,
		Database: svc.Database, User: svc.User, Password: svc.Password,
	}, true
}

// minConnections is the smallest even share of an endpoint's connections: one for the
// monitor and one for requests.
const minConnections = 2

// evenShare divides a limit of a service evenly among the entry hosts; each gets at least
// the given minimum.
func evenShare(src view.Source, minimum int, limit func(note.Service) int) func(service, endpoint string) int {
	return func(service, _ string) int {
		state := src.Current().State
		if state == nil {
			return minimum
		}
		hosts := 0
		for _, h := range state.Hosts {
			if h.Entry {
				hosts++
			}
		}
		return max(limit(state.Catalog.Services[service])/max(hosts, 1), minimum)
	}
}
