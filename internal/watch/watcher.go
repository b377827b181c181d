package watch

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/control"
	"github.com/galenabridge/galenabridge/internal/failover"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/view"
)

// probeTimeout bounds one probe of a watcher.
const probeTimeout = 2 * failover.ProbeInterval

// Watcher probes the endpoints that this host watches for its failure domain
// and reports each probe.
type Watcher struct {
	host   string
	domain string
	view   view.Source
	report func(control.Observation)
	prober *Prober
	// duties remembers the assignment of endpoints; it holds as long as the
	// registered hosts and the regions do.
	duties  map[string]bool
	hosts   uint64 // revision of the last change of the hosts
	regions map[string]string
}

// NewWatcher returns a watcher that passes its observations to report.
func NewWatcher(host, domain string, src view.Source, report func(control.Observation)) *Watcher {
	return &Watcher{host: host, domain: domain, view: src, report: report, prober: NewProber()}
}

// watched is an endpoint with the service that it belongs to.
type watched struct {
	service  note.Service
	endpoint agreed.Endpoint
	// primary tells that the endpoint is its group's primary, which is on the
	// timeline unless that is zero.
	primary  bool
	timeline uint32
}

// interval is the time between two probes.
func (w watched) interval() time.Duration {
	if w.primary {
		return failover.ProbeInterval
	}
	return failover.ReplicaProbeInterval
}

// lost reports whether a condition speaks against the endpoint.
func (w watched) lost(c failover.Condition) bool {
	if !c.Reachable || !w.primary {
		return !c.Reachable
	}
	return c.InRecovery || (w.timeline != 0 && c.Timeline != w.timeline)
}

// Run probes until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	running := make(map[string]watch)
	defer func() {
		stopAll(running)
		tasks.Wait()
		w.prober.CloseExcept(func(string) bool { return false })
	}()
	for {
		changed := w.view.Changed()
		w.adjust(ctx, &tasks, running, w.assigned())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// watch is a running probe of one endpoint.
type watch struct {
	watched
	stop context.CancelFunc
}

func stopAll(running map[string]watch) {
	for _, r := range running {
		r.stop()
	}
}

// adjust starts and stops probes so that exactly the wanted ones run.
func (w *Watcher) adjust(ctx context.Context, tasks *sync.WaitGroup, running map[string]watch, wanted map[string]watched) {
	for id, r := range running {
		if wanted[id] != r.watched {
			r.stop()
			delete(running, id)
		}
	}
	for id, target := range wanted {
		if _, ok := running[id]; ok {
			continue
		}
		ctx, stop := context.WithCancel(ctx)
		running[id] = watch{watched: target, stop: stop}
		tasks.Go(func() { w.probe(ctx, target) })
	}
	w.prober.CloseExcept(func(id string) bool {
		_, ok := running[id]
		return ok
	})
}

// assigned returns the endpoints that this host watches in the current view.
func (w *Watcher) assigned() map[string]watched {
	state := w.view.Current().State
	if state == nil {
		return nil
	}
	w.forgetDuties(state)
	var electorate *failover.Electorate
	mine := make(map[string]watched)
	for id, e := range state.Endpoints {
		duty, known := w.duties[id]
		if !known {
			if electorate == nil {
				electorate = failover.NewElectorate(failover.EntryHosts(state))
			}
			duty = electorate.Watches(w.host, w.domain, id)
			w.duties[id] = duty
		}
		service, ok := state.Catalog.Services[e.Service]
		if ok && duty {
			group := state.Groups[e.Service]
			mine[id] = watched{
				service: service, endpoint: e,
				primary: group.Primary == id, timeline: group.Timeline,
			}
		}
	}
	return mine
}

// forgetDuties drops the remembered assignment when what it rests on changed.
func (w *Watcher) forgetDuties(state *agreed.State) {
	regions := make(map[string]string, len(state.Catalog.Domains))
	for name, domain := range state.Catalog.Domains {
		regions[name] = domain.Region
	}
	if w.duties != nil && w.hosts == state.HostsChanged && maps.Equal(regions, w.regions) {
		return
	}
	w.duties = make(map[string]bool, len(state.Endpoints))
	w.hosts, w.regions = state.HostsChanged, regions
}

// probe observes one endpoint at every interval.
func (w *Watcher) probe(ctx context.Context, target watched) {
	ticker := time.NewTicker(target.interval())
	defer ticker.Stop()
	var last reported
	for {
		w.observe(ctx, target, &last)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// reported is the latest report on an endpoint.
type reported struct {
	at        time.Time
	condition failover.Condition
}

// due reports whether a condition must be reported: at every probe while it
// speaks against the endpoint, when it has changed, and now and then.
func (r reported) due(now time.Time, target watched, c failover.Condition) bool {
	if target.lost(c) || now.Sub(r.at) >= failover.ReportInterval {
		return true
	}
	c.Position, r.condition.Position = 0, 0
	return c != r.condition
}

func (w *Watcher) observe(ctx context.Context, target watched, last *reported) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	condition := w.prober.ProbeRole(probeCtx, target.service, target.endpoint)
	now := time.Now()
	if ctx.Err() != nil || !last.due(now, target, condition) {
		return
	}
	*last = reported{at: now, condition: condition}
	w.report(control.Observation{
		Service:   target.service.Name,
		Endpoint:  target.endpoint.ID,
		Domain:    w.domain,
		Condition: condition,
		Watcher:   w.host,
	})
}
