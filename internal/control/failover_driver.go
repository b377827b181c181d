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

// EndpointManager probes and promotes database endpoints.
type EndpointManager interface {
	// Probe returns the condition of an endpoint, read no earlier than the call.
	Probe(ctx context.Context, service note.Service, e agreed.Endpoint) failover.Condition
	// Promote orders an endpoint to become the primary. It has no effect on a
	// primary. The error is the reason why the order was not accepted.
	Promote(ctx context.Context, o failover.Order) (failover.OrderOutcome, error)
}

// failoverDriver sends events to the failover state machines and carries out their
// effects on a confirmed leader. Each leadership has its own driver; results for a former
// driver are dropped. A host that is not the leader has a nil driver. On a nil driver
// stop, stateChanged, commandDone, applyPending, tick and reason do nothing.
type failoverDriver struct {
	host       *Host
	machines   *failover.MachineSet
	ctx        context.Context
	cancel     context.CancelFunc
	lastTick   time.Time
	stateDirty bool
	// leavingEndpoints are the endpoints that request to be taken out of use.
	leavingEndpoints map[string]bool
	// probing holds the endpoints with a probe in flight.
	probing map[string]bool
	// results are the outcomes of commands, kept for applyPending.
	results []commandResult
}

// commandResult is the outcome of a command proposed by the driver. committed is set
// only if the command was also accepted, with result code zero.
type commandResult struct {
	service   string
	committed bool
}

func newFailoverDriver(h *Host) *failoverDriver {
	ctx, cancel := context.WithCancel(context.Background())
	cfg := failover.DefaultConfig()
	cfg.Fenced, cfg.ChooserTerm = h.opts.Fenced, h.term
	return &failoverDriver{
		host:       h,
		machines:   failover.NewMachineSet(cfg),
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

// stateChanged marks the agreed state as changed. The change is handled by
// applyPending.
func (d *failoverDriver) stateChanged() {
	if d != nil {
		d.stateDirty = true
	}
}

// commandDone records the outcome of a command of the driver for applyPending.
func (d *failoverDriver) commandDone(service string, committed bool) {
	if d != nil {
		d.results = append(d.results, commandResult{service, committed})
	}
}

// applyPending passes recorded state changes and command outcomes to the failover
// state machines. Unlike stateChanged and commandDone, which are called while the
// output of consensus is being handled, it may propose commands.
func (d *failoverDriver) applyPending(now time.Time) {
	if d == nil {
		return
	}
	if d.stateDirty {
		d.stateDirty = false
		d.run(now, d.machines.SetState(now, d.host.state, d.leavingEndpoints))
	}
	results := d.results
	d.results = nil
	for _, r := range results {
		d.run(now, d.machines.Step(now, r.service, failover.CommandResult{Committed: r.committed}))
	}
}

// tick advances the timers of the failover state machines every failoverTick.
func (d *failoverDriver) tick(now time.Time) {
	if d == nil || now.Sub(d.lastTick) < failoverTick {
		return
	}
	d.lastTick = now
	if leaving := d.host.leavingEndpoints(now); !maps.Equal(leaving, d.leavingEndpoints) {
		d.leavingEndpoints, d.stateDirty = leaving, true
	}
	d.run(now, d.machines.StepAll(now, failover.Tick{}))
}

// settled sends a new settled revision to the failover state machines.
func (d *failoverDriver) settled(now time.Time, revision uint64) {
	d.run(now, d.machines.StepAll(now, failover.Settled{Revision: revision}))
}

// reason returns why a group is not active or what it waits for.
func (d *failoverDriver) reason(service string) string {
	if d == nil {
		return ""
	}
	return d.machines.Reason(service)
}

// run carries out effects of the failover state machines.
func (d *failoverDriver) run(now time.Time, effects []failover.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case failover.Seal:
			d.propose(now, e.Service, agreed.Command{SealGroup: &agreed.SealGroup{Service: e.Service, Term: e.Term, Reason: e.Reason}})
		case failover.Choose:
			d.propose(now, e.Service, agreed.Command{ChooseCandidate: &agreed.ChooseCandidate{
				Service: e.Service, Term: e.Term, Candidate: e.Candidate, ChooserTerm: e.ChooserTerm, Attempt: e.Attempt,
			}})
		case failover.Activate:
			d.propose(now, e.Service, agreed.Command{ActivateGroup: &agreed.ActivateGroup{Service: e.Service, Term: e.Term, Primary: e.Primary, Timeline: e.Timeline}})
		case failover.QueryPositions:
			d.startProbes(e)
		case failover.Promote:
			d.promote(e)
		case failover.AskWitnesses:
			d.askWitnesses(e)
		case failover.Status:
			d.host.log.Info("group_status", "service", e.Service, "reason", e.Reason)
		}
	}
}

// propose appends a command of a service's state machine to the log. The outcome, also
// of a failed append, is passed to commandDone.
func (d *failoverDriver) propose(now time.Time, service string, c agreed.Command) {
	index, err := d.host.appendCommand(c)
	if err != nil {
		d.commandDone(service, false)
		return
	}
	d.host.proposals[index] = pendingProposal{term: d.host.term, deadline: now.Add(proposalTimeout), service: service}
}

func (d *failoverDriver) endpointClient() endpointClient {
	return endpointClient{node: d.host.opts.Peer, endpoints: d.host.opts.EndpointManager, state: d.host.state, fenced: d.host.opts.Fenced}
}

// startProbes starts probes of endpoints, at most one at a time for each endpoint.
func (d *failoverDriver) startProbes(e failover.QueryPositions) {
	client := d.endpointClient()
	for _, id := range e.Endpoints {
		endpoint, ok := d.host.state.Endpoints[id]
		if !ok || d.probing[id] {
			continue
		}
		d.probing[id] = true
		go func() {
			ctx, cancel := context.WithTimeout(d.ctx, probeTimeout)
			defer cancel()
			condition := client.probe(ctx, endpoint)
			d.deliver(probeEvent{driver: d, service: e.Service, answer: failover.Answer{Term: e.Term, Endpoint: id, Condition: condition}})
		}()
	}
}

// askWitnesses asks hosts to probe an endpoint. Their observations come as those of others do.
func (d *failoverDriver) askWitnesses(e failover.AskWitnesses) {
	h := d.host
	h.log.Info("witnesses_asked", "service", e.Service, "endpoint", e.Endpoint, "hosts", e.Hosts)
	for _, host := range e.Hosts {
		if err := h.opts.Peer.Send(host, h.state.Hosts[host].PeerAddr, peer.KindWitness, witnessRequest{Endpoint: e.Endpoint}); err != nil {
			h.log.Debug("witness_request_failed", "peer", host, "err", err.Error())
		}
	}
}

// promote starts the promotion of an endpoint.
func (d *failoverDriver) promote(e failover.Promote) {
	client := d.endpointClient()
	endpoint, ok := d.host.state.Endpoints[e.Endpoint]
	if !ok {
		return
	}
	d.host.log.Info("promote", "service", e.Service, "endpoint", e.Endpoint, "term", e.Term, "fence", e.Fence)
	go func() {
		ctx, cancel := context.WithTimeout(d.ctx, promoteTimeout)
		defer cancel()
		outcome, err := client.promote(ctx, endpoint, e.Fence)
		if err != nil {
			d.host.log.Warn("promote_failed", "service", e.Service, "endpoint", e.Endpoint, "fence", e.Fence, "err", err.Error())
		}
		d.deliver(promotionEvent{driver: d, service: e.Service, result: failover.PromotionResult{
			Term: e.Term, Endpoint: e.Endpoint, Fence: e.Fence, Outcome: outcome,
		}})
	}()
}

// deliver sends an event to the goroutine of the Host, unless the driver was
// stopped. Unlike Host.post it waits for space in the queue.
func (d *failoverDriver) deliver(e event) {
	select {
	case d.host.events <- e:
	case <-d.ctx.Done():
	}
}

// probeEvent is the result of a probe.
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
	e.driver.run(now, e.driver.machines.Step(now, e.service, e.answer))
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
	e.driver.run(now, e.driver.machines.Step(now, e.service, e.result))
}

// observationEvent is an observation by a watcher.
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
	h.failover.run(now, h.failover.machines.Step(now, o.Service, failover.Observation{
		Watcher: o.Watcher, Domain: o.Domain, Endpoint: o.Endpoint, Condition: o.Condition,
	}))
}

// Observe queues an observation by the watcher of this host.
func (h *Host) Observe(o Observation) {
	h.post(observationEvent{observation: o})
}
