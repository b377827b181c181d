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

// probeTimeout is the time limit of one probe of a watcher.
const probeTimeout = 2 * failover.ProbeInterval

// Watcher probes the endpoints that this host watches for its failure domain, and
// reports their condition: at every probe while an endpoint is lost, otherwise when the
// condition changes and every failover.ReportInterval.
type Watcher struct {
	host   string
	domain string
	view   view.Source
	report func(control.Observation)
	prober *Prober
	// assignments caches whether this host watches an endpoint. It is valid as long as
	// the registered hosts and the regions of the failure domains stay the same.
	assignments  map[string]bool
	hostsChanged uint64 // revision of the last change of the hosts
	regions      map[string]string
}

// NewWatcher returns a watcher that passes its observations to report.
func NewWatcher(host, domain string, src view.Source, report func(control.Observation)) *Watcher {
	return &Watcher{host: host, domain: domain, view: src, report: report, prober: NewProber()}
}

// probeTarget is an endpoint to probe, with its service.
type probeTarget struct {
	service  note.Service
	endpoint agreed.Endpoint
	// primary is set for the primary of a group, which must be on the given timeline
	// unless that is zero.
	primary  bool
	timeline uint32
}

// interval is the time between two probes.
func (t probeTarget) interval() time.Duration {
	if t.primary {
		return failover.ProbeInterval
	}
	return failover.ReplicaProbeInterval
}

// reportsLoss reports whether the condition finds the endpoint lost. A primary is also
// lost when it is in recovery or on another timeline.
func (t probeTarget) reportsLoss(c failover.Condition) bool {
	if !c.Reachable || !t.primary {
		return !c.Reachable
	}
	return c.InRecovery || (t.timeline != 0 && c.Timeline != t.timeline)
}

// Run probes the assigned endpoints until ctx ends, and follows changes of the view.
func (w *Watcher) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	running := make(map[string]runningProbe)
	defer func() {
		stopAll(running)
		tasks.Wait()
		w.prober.CloseExcept(func(string) bool { return false })
	}()
	for {
		changed := w.view.Changed()
		w.reconcile(ctx, &tasks, running, w.assignedEndpoints())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// runningProbe is the running probe of one endpoint.
type runningProbe struct {
	probeTarget
	stop context.CancelFunc
}

func stopAll(running map[string]runningProbe) {
	for _, r := range running {
		r.stop()
	}
}

// reconcile starts and stops probes so that exactly the desired ones run.
func (w *Watcher) reconcile(ctx context.Context, tasks *sync.WaitGroup, running map[string]runningProbe, desired map[string]probeTarget) {
	for id, r := range running {
		if desired[id] != r.probeTarget {
			r.stop()
			delete(running, id)
		}
	}
	for id, target := range desired {
		if _, ok := running[id]; ok {
			continue
		}
		ctx, stop := context.WithCancel(ctx)
		running[id] = runningProbe{probeTarget: target, stop: stop}
		tasks.Go(func() { w.probe(ctx, target) })
	}
	w.prober.CloseExcept(func(id string) bool {
		_, ok := running[id]
		return ok
	})
}

// assignedEndpoints returns the endpoints that this host watches in the current view,
// by id.
func (w *Watcher) assignedEndpoints() map[string]probeTarget {
	state := w.view.Current().State
	if state == nil {
		return nil
	}
	w.dropStaleAssignments(state)
	var electorate *failover.Electorate
	targets := make(map[string]probeTarget)
	for id, e := range state.Endpoints {
		assigned, cached := w.assignments[id]
		if !cached {
			if electorate == nil {
				electorate = failover.NewElectorate(failover.EntryHosts(state))
			}
			assigned = electorate.Watches(w.host, w.domain, id)
			w.assignments[id] = assigned
		}
		service, ok := state.Catalog.Services[e.Service]
		if ok && assigned {
			group := state.Groups[e.Service]
			targets[id] = probeTarget{
				service: service, endpoint: e,
				primary: group.Primary == id, timeline: group.Timeline,
			}
		}
	}
	return targets
}

// dropStaleAssignments clears the cached assignments when the registered hosts or the
// regions have changed.
func (w *Watcher) dropStaleAssignments(state *agreed.State) {
	regions := make(map[string]string, len(state.Catalog.Domains))
	for name, domain := range state.Catalog.Domains {
		regions[name] = domain.Region
	}
	if w.assignments != nil && w.hostsChanged == state.HostsChanged && maps.Equal(regions, w.regions) {
		return
	}
	w.assignments = make(map[string]bool, len(state.Endpoints))
	w.hostsChanged, w.regions = state.HostsChanged, regions
}

// probe observes one endpoint at every interval until ctx ends.
func (w *Watcher) probe(ctx context.Context, target probeTarget) {
	ticker := time.NewTicker(target.interval())
	defer ticker.Stop()
	var last lastReport
	for {
		w.observe(ctx, target, &last)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// lastReport is the latest report on an endpoint.
type lastReport struct {
	at        time.Time
	condition failover.Condition
}

// mustReport reports whether a condition must be reported: at every probe while the
// endpoint is lost, when the condition other than the position has changed, and every
// failover.ReportInterval.
func (r lastReport) mustReport(now time.Time, target probeTarget, c failover.Condition) bool {
	if target.reportsLoss(c) || now.Sub(r.at) >= failover.ReportInterval {
		return true
	}
	c.Position, r.condition.Position = 0, 0
	return c != r.condition
}

// observe probes the endpoint once and reports its condition if that is due.
func (w *Watcher) observe(ctx context.Context, target probeTarget, last *lastReport) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	condition := w.prober.ProbeRole(probeCtx, target.service, target.endpoint)
	now := time.Now()
	if ctx.Err() != nil || !last.mustReport(now, target, condition) {
		return
	}
	*last = lastReport{at: now, condition: condition}
	w.report(control.Observation{
		Service:   target.service.Name,
		Endpoint:  target.endpoint.ID,
		Domain:    w.domain,
		Condition: condition,
		Watcher:   w.host,
	})
}
