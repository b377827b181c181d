package control

import (
	"context"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/metering"
)

const (
	usageTick = 100 * time.Millisecond
	// maxUsageHistory is the number of windows kept for the status: two minutes.
	maxUsageHistory = 24
	// quorumShare is the fraction of the configuration lease for which a confirmation by a quorum
	// allows a leader to send. The lease alone does not tell that another leader was elected. A
	// confirmed leader renews it every 0.1 to 0.5 s.
	quorumShare = 0.5
)

// usageDriver carries out the actions of the usage schedule on a confirmed leader. Each leadership
// has its own. It is nil on other hosts and in fleets without usage reports. On a nil driver stop,
// stateChanged, applyPending and tick do nothing.
type usageDriver struct {
	host     *Host
	schedule *metering.Schedule
	ctx      context.Context
	cancel   context.CancelFunc
	lastTick time.Time
	dirty    bool
	// results are the outcomes of commands, kept for applyPending.
	results []bool
	// decision is the decision that was proposed last.
	decision metering.Action
	windows  []UsageWindowStatus
	waiting  string
}

// newUsageDriver returns the driver of a new leadership, or nil without usage reports.
func newUsageDriver(h *Host, now time.Time) *usageDriver {
	o := h.opts
	if o.Metering.Window <= 0 || o.UsageReporter == nil || o.UsageSource == nil || o.View == nil {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &usageDriver{
		host: h, ctx: ctx, cancel: cancel, dirty: true,
		schedule: metering.NewSchedule(metering.ScheduleOptions{
			Config: o.Metering, Host: o.Peer.Host(), Incarnation: o.Peer.Incarnation(), LeadingSince: now,
			ActFor: o.Lease.Duration,
		}),
	}
}

// stop ends the driver. A call in progress writes nothing more, but still waits for its answer:
// it may tell that the fence was refused.
func (d *usageDriver) stop() {
	if d != nil {
		d.cancel()
		d.host.metrics.usage.pending.Set(0) // the successor counts them
	}
}

// stateChanged marks the agreed state as changed, for applyPending.
func (d *usageDriver) stateChanged() {
	if d != nil {
		d.dirty = true
	}
}

// commandDone records the outcome of a command of the driver for applyPending.
func (d *usageDriver) commandDone(accepted bool) { d.results = append(d.results, accepted) }

// applyPending handles recorded state changes and command outcomes. It may propose commands.
func (d *usageDriver) applyPending(now time.Time) {
	if d == nil || !d.dirty && len(d.results) == 0 {
		return
	}
	for _, accepted := range d.results {
		d.schedule.CommandDone(now, accepted)
	}
	d.results, d.dirty = nil, false
	d.updateWindows()
	d.run(now)
}

// tick runs the schedule every usageTick.
func (d *usageDriver) tick(now time.Time) {
	if d == nil || now.Sub(d.lastTick) < usageTick {
		return
	}
	d.lastTick = now
	d.run(now)
	d.host.metrics.usage.pending.Set(float64(len(undelivered(d.host.state.Usage, d.schedule.Accepted()))))
}

// mayActUntil returns until when the host may send: its configuration lease is valid, and a quorum
// has confirmed this leader so recently that a successor does not act yet. The time is taken before
// the call, since a process that was suspended may have got a new lease by then without knowing of
// its successor.
func (d *usageDriver) mayActUntil() time.Time {
	lease := d.host.opts.Lease.Duration
	until := d.host.quorumAt.Add(time.Duration(quorumShare * float64(lease)))
	if v := d.host.opts.View.Current(); v.ValidUntil.Before(until) {
		return v.ValidUntil
	}
	return until
}

// run carries out the actions that are due.
func (d *usageDriver) run(now time.Time) {
	until := d.mayActUntil()
	for {
		a := d.schedule.Next(metering.ScheduleInput{
			Now: now, Usage: d.host.state.Usage, MayAct: clock.Now().Before(until) && d.host.opts.View.Current().Valid(),
			Source: d.host.opts.UsageSource, Refused: d.host.usageRefused.Load(),
		})
		switch a.Kind {
		case metering.Claim:
			d.host.log.Info("usage_claim", "former_holder", d.host.state.Usage.Holder, "former_fence", a.Fence, "window", a.Window)
			d.propose(now, agreed.Command{ClaimUsage: &agreed.ClaimUsage{
				Host: d.host.opts.Peer.Host(), Incarnation: d.host.opts.Peer.Incarnation(), Previous: a.Fence, Window: a.Window,
			}})
		case metering.Decide:
			d.decision = a
			d.propose(now, agreed.Command{DecideUsage: &agreed.DecideUsage{
				Fence: a.Fence, Window: a.Window, Counts: a.Tally.Counts, Accepted: a.Accepted,
			}})
		case metering.Send:
			d.send(a, until)
		default:
			d.waiting = a.Reason
			return
		}
	}
}

// propose appends a command to the log. Its outcome, also of a failed append, is passed to
// commandDone.
func (d *usageDriver) propose(now time.Time, c agreed.Command) {
	index, err := d.host.appendCommand(c)
	if err != nil {
		d.host.log.Warn("usage_command_failed", "err", err.Error())
		d.commandDone(false)
		return
	}
	d.host.proposals[index] = pendingProposal{term: d.host.term, deadline: now.Add(proposalTimeout), usage: d}
}

// send starts the call for a decided window.
func (d *usageDriver) send(a metering.Action, until time.Time) {
	h := d.host
	report := UsageReport{Fence: a.Fence, Window: a.Window, Counts: a.Counts, Allowed: func() bool {
		return d.ctx.Err() == nil && clock.Now().Before(until) && h.opts.View.Current().Valid()
	}}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), metering.CallTimeout)
		defer cancel()
		outcome, err := h.opts.UsageReporter.Report(ctx, report)
		if outcome == metering.CallRefused {
			h.refuseUsageFence(a.Fence) // also if the driver was stopped meanwhile
		}
		select {
		case h.events <- usageCallEvent{driver: d, fence: a.Fence, window: a.Window, outcome: outcome, err: err}:
		case <-d.ctx.Done():
		}
	}()
}

// refuseUsageFence raises the highest fence that this process must not use again.
func (h *Host) refuseUsageFence(fence uint64) {
	for {
		current := h.usageRefused.Load()
		if fence <= current || h.usageRefused.CompareAndSwap(current, fence) {
			return
		}
	}
}

// usageCallEvent is the result of a call.
type usageCallEvent struct {
	driver  *usageDriver
	fence   uint64
	window  int64
	outcome metering.CallOutcome
	err     error
}

func (e usageCallEvent) handle(h *Host, now time.Time) {
	if d := e.driver; d == h.usage {
		d.schedule.CallDone(now, e.fence, e.window, e.outcome)
		d.recordCall(now, e)
		d.run(now)
	}
}
