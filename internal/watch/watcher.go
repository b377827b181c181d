package watch

import (
	"context"
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
}

// NewWatcher returns a watcher that passes its observations to report.
func NewWatcher(host, domain string, src view.Source, report func(control.Observation)) *Watcher {
	return &Watcher{host: host, domain: domain, view: src, report: report, prober: NewProber()}
}

// watched is an endpoint with the service that it belongs to.
type watched struct {
	service  note.Service
	endpoint agreed.Endpoint
}

// Run probes until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	running := make(map[string]watch)
	defer func() {
		stopAll(running)
		tasks.Wait()
		w.prober.Forget(func(string) bool { return false })
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
	w.prober.Forget(func(id string) bool {
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
	electorate := failover.NewElectorate(entryHosts(state))
	mine := make(map[string]watched)
	for id, e := range state.Endpoints {
		service, ok := state.Catalog.Services[e.Service]
		if ok && electorate.Watches(w.host, w.domain, id) {
			mine[id] = watched{service: service, endpoint: e}
		}
	}
	return mine
}

func entryHosts(state *agreed.State) []failover.Watcher {
	var hosts []failover.Watcher
	for _, h := range state.Hosts {
		if h.Entry {
			hosts = append(hosts, failover.Watcher{Host: h.ID, Domain: h.Domain})
		}
	}
	return hosts
}

// probe observes one endpoint at every interval.
func (w *Watcher) probe(ctx context.Context, target watched) {
	ticker := time.NewTicker(failover.ProbeInterval)
	defer ticker.Stop()
	for {
		w.observe(ctx, target)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (w *Watcher) observe(ctx context.Context, target watched) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	condition := w.prober.Probe(probeCtx, target.service, target.endpoint)
	if ctx.Err() != nil {
		return
	}
	w.report(control.Observation{
		Service:  target.service.Name,
		Endpoint: target.endpoint.ID,
		Domain:   w.domain,
		Seen:     condition,
		Watcher:  w.host,
	})
}
