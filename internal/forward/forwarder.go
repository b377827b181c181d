package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/budget"
	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/core"
	"github.com/galenabridge/galenabridge/internal/peer"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/route"
	"github.com/galenabridge/galenabridge/internal/view"
)

const (
	// maxReadSilence and maxWriteSilence are how long a host may be silent before a
	// statement that only reads, or any other, is given up there. A read can run
	// elsewhere, a write has an unknown outcome then.
	maxReadSilence  = 400 * time.Millisecond
	maxWriteSilence = time.Second
	// probeInterval is the time between two probes of a host that is avoided, and
	// probeTimeout bounds one.
	probeInterval = 250 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
)

// Forwarder sends statements to their home hosts. It implements core.Forwarder and is safe
// for concurrent use.
type Forwarder struct {
	peers *peer.Node
	view  view.Source
	log   *log.Logger

	mu        sync.Mutex
	homes     route.HomeTable
	placement *placementReport
	// avoided are the hosts that get no statements until they answer a probe.
	avoided map[string]bool
}

// New returns a Forwarder. Run must be called for avoided hosts to be probed.
func New(peers *peer.Node, src view.Source, logger *log.Logger, reg prometheus.Registerer) *Forwarder {
	return &Forwarder{peers: peers, view: src, log: logger, avoided: make(map[string]bool), placement: newPlacementReport(reg, logger)}
}

// Run probes avoided hosts and follows the placement until ctx ends.
func (f *Forwarder) Run(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	since := make(map[string]time.Time)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			f.showPlacement()
			f.probeAvoided(ctx, since)
		}
	}
}

// probeAvoided probes all avoided hosts at once, and ends the avoidance of those that accept
// statements or have left the fleet. since holds when it first probed each.
func (f *Forwarder) probeAvoided(ctx context.Context, since map[string]time.Time) {
	var probes sync.WaitGroup
	for _, host := range f.avoidedHosts() {
		if since[host].IsZero() {
			since[host] = clock.Now()
		}
		probes.Go(func() {
			record, registered := f.record(host)
			if registered && !f.accepts(ctx, record) {
				return
			}
			f.mu.Lock()
			delete(f.avoided, host)
			f.mu.Unlock()
		})
	}
	probes.Wait()
	stillAvoided := f.avoidedHosts()
	for host, at := range since {
		if !slices.Contains(stillAvoided, host) {
			f.log.Info("home_host_regained", "peer", host, "after_ms", clock.Since(at).Milliseconds())
			delete(since, host)
		}
	}
}

// accepts reports whether a host answers a probe and runs statements for others.
func (f *Forwarder) accepts(ctx context.Context, host agreed.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var answer probeAnswer
	err := f.peers.Call(ctx, host.ID, host.PeerAddr, peer.KindStatementProbe, probe{}, &answer)
	return err == nil && answer.Accepts
}

func (f *Forwarder) avoidedHosts() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	hosts := make([]string, 0, len(f.avoided))
	for host := range f.avoided {
		hosts = append(hosts, host)
	}
	return hosts
}

// avoid makes Route leave out a host until it answers a probe.
func (f *Forwarder) avoid(host, cause string) {
	f.mu.Lock()
	already := f.avoided[host]
	f.avoided[host] = true
	f.mu.Unlock()
	if !already {
		f.log.Warn("home_host_avoided", "peer", host, "cause", cause)
	}
}

// Route implements core.Forwarder.
func (f *Forwarder) Route(service, workspace string, unable bool) []string {
	state := f.view.Current().State
	if state == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.update(state)
	choose := f.homes.Preferred
	if unable {
		choose = f.homes.Others
	}
	hosts := choose(f.peers.Host(), service, workspace)
	return slices.DeleteFunc(hosts, func(host string) bool { return f.avoided[host] })
}

// update applies a state to the home hosts and shows a changed placement. The caller holds f.mu.
func (f *Forwarder) update(state *agreed.State) {
	if f.homes.Update(state) {
		f.placement.update(f.homes.Placement(f.peers.Host()))
	}
}

// showPlacement updates the placement on a host whose link is known, so that a host without
// statements shows it as well.
func (f *Forwarder) showPlacement() {
	state := f.view.Current().State
	if state == nil || state.Hosts[f.peers.Host()].Link == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.update(state)
}

// Forward implements core.Forwarder.
func (f *Forwarder) Forward(ctx context.Context, host string, r core.RemoteRequest) (core.RemoteResponse, error) {
	record, registered := f.record(host)
	if !registered {
		return core.RemoteResponse{}, notRun{errors.Errorf("host %s is not registered", host)}
	}
	var response statementResponse
	err := f.peers.CallWatched(ctx, record.ID, record.PeerAddr, peer.KindStatement, encodeRequest(r), &response, maxSilence(r.Statement))
	var refusal *result.Error
	switch {
	case err == nil && response.Unavailable:
		f.avoid(host, "it runs no statements for other hosts now")
	case err == nil:
	case errors.As(err, &refusal) && refusal.Code != 0:
		return core.RemoteResponse{}, notRun{err} // refused by the queue of either side
	case errors.Is(err, budget.ErrFull):
		return core.RemoteResponse{}, err // this host has no memory for the answer
	case errors.Is(err, peer.ErrNotSent):
		f.avoidUnlessCancelled(host, err)
		return core.RemoteResponse{}, notRun{err}
	default:
		f.avoidUnlessCancelled(host, err)
		return core.RemoteResponse{}, err
	}
	return decodeResponse(response), nil
}

// avoidUnlessCancelled avoids a host that did not answer, unless its time was not up.
func (f *Forwarder) avoidUnlessCancelled(host string, err error) {
	if !errors.Is(err, context.Canceled) {
		f.avoid(host, err.Error())
	}
}

// maxSilence returns how long a host may be silent while it runs a statement.
func maxSilence(st core.Statement) time.Duration {
	switch st.Kind {
	case core.Read, core.Begin, core.BeginReadOnly:
		return maxReadSilence
	}
	return maxWriteSilence
}

// EndTransaction implements core.Forwarder.
func (f *Forwarder) EndTransaction(host string, session uint64) {
	record, registered := f.record(host)
	if !registered {
		return
	}
	if err := f.peers.Send(record.ID, record.PeerAddr, peer.KindTransactionEnd, transactionEnd{Session: session}); err != nil {
		f.log.Warn("transaction_end_failed", "peer", host, "err", err.Error())
	}
}

// record returns the registered record of a host.
func (f *Forwarder) record(host string) (agreed.Host, bool) {
	state := f.view.Current().State
	if state == nil {
		return agreed.Host{}, false
	}
	record, ok := state.Hosts[host]
	return record, ok
}

// notRun is the error of a statement that did not run. It matches core.ErrNotRun.
type notRun struct{ cause error }

func (e notRun) Error() string        { return e.cause.Error() }
func (e notRun) Unwrap() error        { return e.cause }
func (e notRun) Is(target error) bool { return target == core.ErrNotRun }
