package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/pgback"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/route"
	"github.com/galenabridge/galenabridge/internal/view"
)

// TableRouter is a Router with a routing table for each service. It is also an Observer of
// the endpoints' status. It is safe for concurrent use.
type TableRouter struct {
	view view.Source
	cfg  route.Config

	mu       sync.Mutex
	services map[string]*serviceTable
	// serviceOf maps each endpoint to the service that it belongs to.
	serviceOf map[string]string
}

// serviceTable is the routing table of a service and the revision of the agreed state that
// it reflects.
type serviceTable struct {
	table    *route.Table
	revision uint64
}

// NewTableRouter returns a router for a host in the given failure domain.
func NewTableRouter(src view.Source, domain string) *TableRouter {
	return &TableRouter{
		view: src, cfg: route.DefaultConfig(domain),
		services:  make(map[string]*serviceTable),
		serviceOf: make(map[string]string),
	}
}

// Pick implements Router.
func (r *TableRouter) Pick(now time.Time, need Need) (string, error) {
	v := r.view.Current()
	if !v.Valid() {
		return "", result.New(result.NoConfigLease, "the configuration lease ended")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table(now, v.State, need.Service).Pick(now, route.Need{
		ReadOnly:     need.ReadOnly,
		MinPosition:  route.Position(need.MinPosition),
		MaxStaleness: need.MaxStaleness,
		Exclude:      need.Exclude,
	})
}

// Begin implements Router.
func (r *TableRouter) Begin(endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.services[r.serviceOf[endpoint]]; ok {
		s.table.Begin(endpoint)
	}
}

// End implements Router.
func (r *TableRouter) End(report Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.services[r.serviceOf[report.Endpoint]]
	if !ok {
		return
	}
	s.table.End(time.Now(), route.Report{
		Endpoint: report.Endpoint, Failed: report.Failed, Latency: report.Latency,
	}, report.Began)
}

// Observe implements Observer.
func (r *TableRouter) Observe(service string, s pgback.Status) {
	state := r.view.Current().State
	if state == nil {
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table(now, state, service).Observe(now, route.Status{
		Endpoint: s.Endpoint, QueriedAt: s.QueriedAt, Failed: s.Err != nil,
		InRecovery: s.InRecovery, Timeline: s.Timeline, LSN: s.LSN,
	})
}

// table returns the service's table, updated to the state. The caller holds mu.
func (r *TableRouter) table(now time.Time, state *agreed.State, service string) *route.Table {
	s, ok := r.services[service]
	if !ok {
		s = &serviceTable{table: route.NewTable(r.cfg, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))}
		r.services[service] = s
	}
	if !ok || s.revision != state.Revision {
		s.revision = state.Revision
		s.table.SetView(now, routeView(state, service))
		for _, id := range state.Groups[service].Members {
			r.serviceOf[id] = service
		}
	}
	return s.table
}

// routeView converts the state of a service's group for package route.
func routeView(state *agreed.State, service string) route.View {
	group := state.Groups[service]
	svc := state.Catalog.Services[service]
	v := route.View{
		Service: service, Life: group.Life, Term: group.Term, Timeline: group.Timeline, Primary: group.Primary,
		Active: group.Phase == agreed.PhaseActive, Leaving: svc.Leaving, Reason: group.Reason,
	}
	for _, id := range group.Members {
		e := state.Endpoints[id]
		v.Members = append(v.Members, route.Member{
			Endpoint: id, Domain: e.Domain, OutOfUse: e.Leaving || state.DomainOut(e.Domain), Slots: svc.Slots,
		})
	}
	return v
}
