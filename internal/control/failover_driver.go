package control

import (
	"context"
	"maps"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/failover"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/peer"
)

// Timing of the failover driver.
const (
	failoverTick   = 100 * time.Millisecond
	probeTimeout   = 800 * time.Millisecond
	promoteTimeout = 3 * time.Second
)

// EndpointManager reads the condition of endpoints and promotes them.
type EndpointManager interface {
	// Probe reads the condition of an endpoint after the call.
	Probe(ctx context.Context, service note.Service, e agreed.Endpoint) failover.Condition
	// Promote orders an endpoint to become the primary. It is harmless on a
	// primary. The error tells why the order was not accepted.
	Promote(ctx context.Context, o failover.Order) (failover.OrderOutcome, error)
}

// failoverDriver runs the decisions of package failover on a confirmed leader.
// A nil driver does nothing.
type failoverDriver struct {
	host       *Host
	fleet      *failover.Fleet
	ctx        context.Context
	cancel     context.CancelFunc
	lastTick   time.Time
	stateDirty bool
	leaving    map[string]bool
	// probing holds the endpoints with a request on its way.
	probing map[string]bool
	// results are effects of events that arrived while consensus was busy.
	results []commandResult
}

// commandResult is the outcome of a command of the driver.
type commandResult struct {
	service   string
	committed bool
}

func newFailoverDriver(h *Host) *failoverDriver {
	ctx, cancel := context.WithCancel(context.Background())
	cfg := failover.DefaultConfig()
	cfg.Fenced, cfg.Chooser = h.opts.Fenced, h.term
	return &failoverDriver{
		host:       h,
		fleet:      failover.NewFleet(cfg),
		ctx:        ctx,
		cancel:     cancel,
		stateDirty: true,
		probing:    make(map[string]bool),
	}
}

func (d *failoverDriver) stop() {
	if d != nil {
		d.cancel()
	}
}

// stateChanged notes that the agreed state has changed.
func (d *failoverDriver) stateChanged() {
	if d != nil {
		d.stateDirty = true
	}
}

// commandDone notes the outcome of a command of the driver.
func (d *failoverDriver) commandDone(service string, committed bool) {
	if d != nil {
		d.results = append(d.results, commandResult{service, committed})
	}
}

// refresh passes on what was noted. Unlike the methods that note, it may
// propose commands.
func (d *failoverDriver) applyPending(now time.Time) {
	if d == nil {
		return
	}
	if d.stateDirty {
		d.stateDirty = false
		d.run(now, d.fleet.SetState(now, d.host.state, d.leaving))
	}
	results := d.results
	d.results = nil
	for _, r := range results {
		d.run(now, d.fleet.Step(now, r.service, failover.CommandResult{Committed: r.committed}))
	}
}

// tick lets time pass.
func (d *failoverDriver) tick(now time.Time) {
	if d == nil || now.Sub(d.lastTick) < failoverTick {
		return
	}
	d.lastTick = now
	if leaving := d.host.leavingEndpoints(now); !maps.Equal(leaving, d.leaving) {
		d.leaving, d.stateDirty = leaving, true
	}
	d.run(now, d.fleet.StepAll(now, failover.Tick{}))
}

// settled passes on a new settled revision.
func (d *failoverDriver) settled(now time.Time, revision uint64) {
	d.run(now, d.fleet.StepAll(now, failover.Settled{Revision: revision}))
}

// reason tells why a group is not active or what it waits for.
func (d *failoverDriver) reason(service string) string {
	if d == nil {
		return ""
	}
	return d.fleet.Reason(service)
}

func (d *failoverDriver) run(now time.Time, effects []failover.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case failover.Seal:
			d.propose(now, e.Service, agreed.Command{SealGroup: &agreed.SealGroup{Service: e.Service, Term: e.Term, Reason: e.Reason}})
		case failover.Choose:
			d.propose(now, e.Service, agreed.Command{ChooseCandidate: &agreed.ChooseCandidate{
				Service: e.Service, Term: e.Term, Candidate: e.Candidate, ChooserTerm: e.Chooser, Attempt: e.Attempt,
			}})
		case failover.Activate:
			d.propose(now, e.Service, agreed.Command{ActivateGroup: &agreed.ActivateGroup{Service: e.Service, Term: e.Term, Primary: e.Primary, Timeline: e.Timeline}})
		case failover.AskPositions:
			d.probe(e)
		case failover.Promote:
			d.promote(e)
		case failover.Status:
			d.host.log.Info("group_status", "service", e.Service, "reason", e.Reason)
		}
	}
}

func (d *failoverDriver) propose(now time.Time, service string, c agreed.Command) {
	index, err := d.host.appendCommand(c)
	if err != nil {
		d.commandDone(service, false)
		return
	}
	d.host.proposals[index] = pendingProposal{term: d.host.term, until: now.Add(proposalTimeout), service: service}
}

func (d *failoverDriver) endpointClient() endpointClient {
	return endpointClient{node: d.host.opts.Peer, endpoints: d.host.opts.EndpointManager, state: d.host.state, fenced: d.host.opts.Fenced}
}

// ask probes endpoints, each at most once at a time.
func (d *failoverDriver) probe(e failover.AskPositions) {
	reach := d.endpointClient()
	for _, id := range e.Endpoints {
		endpoint, ok := d.host.state.Endpoints[id]
		if !ok || d.probing[id] {
			continue
		}
		d.probing[id] = true
		go func() {
			ctx, cancel := context.WithTimeout(d.ctx, probeTimeout)
			defer cancel()
			seen := reach.probe(ctx, endpoint)
			d.deliver(probeEvent{driver: d, service: e.Service, answer: failover.Answer{Term: e.Term, Endpoint: id, Condition: seen}})
		}()
	}
}

func (d *failoverDriver) promote(e failover.Promote) {
	reach := d.endpointClient()
	endpoint, ok := d.host.state.Endpoints[e.Endpoint]
	if !ok {
		return
	}
	d.host.log.Info("promote", "service", e.Service, "endpoint", e.Endpoint, "term", e.Term, "fence", e.Fence)
	go func() {
		ctx, cancel := context.WithTimeout(d.ctx, promoteTimeout)
		defer cancel()
		outcome, err := reach.promote(ctx, endpoint, e.Fence)
		if err != nil {
			d.host.log.Warn("promote_failed", "service", e.Service, "endpoint", e.Endpoint, "fence", e.Fence, "err", err.Error())
		}
		d.deliver(promotionEvent{driver: d, service: e.Service, result: failover.PromotionResult{
			Term: e.Term, Endpoint: e.Endpoint, Fence: e.Fence, Outcome: outcome,
		}})
	}()
}

// report passes a result to the task of the Host, unless the driver has ended.
func (d *failoverDriver) deliver(e event) {
	select {
	case d.host.events <- e:
	case <-d.ctx.Done():
	}
}

// answerEvent is the result of a probe.
type probeEvent struct {
	driver  *failoverDriver
	service string
	answer  failover.Answer
}

func (e probeEvent) handle(h *Host, now time.Time) {
	if e.driver != h.failover {
		return
	}
	delete(e.driver.probing, e.answer.Endpoint)
	e.driver.run(now, e.driver.fleet.Step(now, e.service, e.answer))
}

// promotionEvent is the result of a promotion.
type promotionEvent struct {
	driver  *failoverDriver
	service string
	result  failover.PromotionResult
}

func (e promotionEvent) handle(h *Host, now time.Time) {
	if e.driver != h.failover {
		return
	}
	e.driver.run(now, e.driver.fleet.Step(now, e.service, e.result))
}

// observationEvent is a watcher's report.
type observationEvent struct {
	observation Observation
}

func (e observationEvent) handle(h *Host, now time.Time) {
	if !h.leading {
		h.forwardToLeader(peer.KindObservation, e.observation)
		return
	}
	if h.failover == nil {
		return
	}
	o := e.observation
	h.failover.run(now, h.failover.fleet.Step(now, o.Service, failover.Observation{
		Watcher: o.Watcher, Domain: o.Domain, Endpoint: o.Endpoint, Condition: o.Condition,
	}))
}

// Observe takes a report of the watcher of this host.
func (h *Host) Observe(o Observation) {
	h.post(observationEvent{observation: o})
}
