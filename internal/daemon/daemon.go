// Package daemon builds a host for protocols other than PostgreSQL. It connects the peers,
// the control role, the shared limits and the session core, and runs them under a
// supervisor tree. The program supplies the adapter that communicates with callers,
// endpoints and operators.
package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenabridge/galenabridge/internal/activity"
	"github.com/galenabridge/galenabridge/internal/budget"
	"github.com/galenabridge/galenabridge/internal/config"
	"github.com/galenabridge/galenabridge/internal/control"
	"github.com/galenabridge/galenabridge/internal/core"
	"github.com/galenabridge/galenabridge/internal/failover"
	"github.com/galenabridge/galenabridge/internal/forward"
	"github.com/galenabridge/galenabridge/internal/lease"
	"github.com/galenabridge/galenabridge/internal/limits"
	"github.com/galenabridge/galenabridge/internal/linkuse"
	"github.com/galenabridge/galenabridge/internal/metering"
	"github.com/galenabridge/galenabridge/internal/peer"
	"github.com/galenabridge/galenabridge/internal/supervise"
	"github.com/galenabridge/galenabridge/internal/view"
)

const (
	// unreadyPeriod is how long a host continues to accept callers after its readiness
	// probe has started to fail. The balancer probes every second and removes a host
	// after the second failure.
	unreadyPeriod = 2200 * time.Millisecond
	// transactionShare is the fraction of the grace period after which open
	// transactions are aborted. Their statements in progress have the rest to be answered.
	transactionShare = 0.5
	// rateFloor is the value of limits.Config.RateFloor, a fraction of each rate. It is
	// low, so that most of each rate goes to the hosts that need it: callers are spread
	// unevenly, and the unused part of a host's floor is lost.
	rateFloor = 0.1
	// homeRateFloor is the value of limits.Config.HomeRateFloor. It carries most requests of
	// a workspace within its rate while the owner of its rate is being replaced.
	homeRateFloor = 0.5
	// deregisterTimeout bounds the deregistration at shutdown.
	deregisterTimeout = 300 * time.Millisecond
	// leaveGroupTimeout bounds the wait of a stopping control host until the others go on without
	// its vote: some intervals of the leader's periodic tasks.
	leaveGroupTimeout = time.Second
	// replyFlushTime is the time kept free between the last answers and the deregistration, in
	// which replies still reach callers and other hosts. It is as long before the last answers
	// that new statements are refused.
	replyFlushTime = 300 * time.Millisecond
)

// Options configure a Daemon.
type Options struct {
	Settings        *config.Settings
	Dialer          core.Dialer
	EndpointManager control.EndpointManager
	// Fenced is set if outdated orders to promote are rejected by their fence.
	Fenced bool
	// GracePeriod is the time that a graceful shutdown may take.
	GracePeriod time.Duration
	// Tolerance is how far a workspace may exceed its rate. It is the same on all hosts.
	Tolerance limits.Tolerance
	// LinkRate is the capacity of the host's network link in bytes a second, zero if it is
	// unknown or without limit.
	LinkRate int64
	// CrossingMSPerKB is core.Options.CrossingMSPerKB.
	CrossingMSPerKB *float64
	// Traffic counts the bytes of the adapter's connections against LinkRate. The daemon adds
	// those of connections to other hosts. It is nil if LinkRate is zero.
	Traffic *linkuse.Meter
	// CallerMemory is the memory in bytes that callers may make the host hold; zero means no limit.
	CallerMemory int64
	Logger       *log.Logger
	// IncarnationOffset is added to the time of day, which gives the incarnation of the
	// process; see ErrReplaced.
	IncarnationOffset time.Duration
	// Metering configures usage reports. It is the same on all hosts; the zero value disables
	// them.
	Metering metering.Config
	// UsageReporter sends the usage reports, if there are any; UsageSource replaces the collected
	// counts in tests.
	UsageReporter control.UsageReporter
	UsageSource   metering.TallySource
}

// ErrReplaced is returned by Run when the identity of the host belongs to a process with a
// higher incarnation. Only one process at a time can listen on the address that is the
// identity, so the higher incarnation came from a clock that has stepped back since. The
// host may be started again with a greater IncarnationOffset.
var ErrReplaced = errors.New("the identity of the host belongs to a process with a higher incarnation")

// Daemon is one host. Run must be called at most once.
type Daemon struct {
	opts       Options
	log        *log.Logger
	registry   *prometheus.Registry
	peers      *peer.Node
	view       *view.Publisher
	subscriber *control.Subscriber
	control    *control.Host
	owner      *limits.Owner
	holder     *limits.Holder
	forwarder  *forward.Forwarder
	core       *core.Server
	usage      *control.UsageSender // nil if usage reports are disabled
	budget     *budget.Budget
	stopping   atomic.Bool
	// replaced is closed when a higher incarnation of this host was seen.
	replaced chan struct{}
}

// New builds a host and opens its peer listener. Run must follow.
func New(opts Options) (*Daemon, error) {
	d := &Daemon{
		opts: opts, log: opts.Logger, registry: prometheus.NewRegistry(), view: view.NewPublisher(),
		replaced: make(chan struct{}),
	}
	d.budget = budget.New(opts.CallerMemory, d.registry, d.log)
	d.peers = peer.NewNode(peer.Options{
		Host: opts.Settings.Host, Fleet: opts.Settings.Fleet, Secret: opts.Settings.FleetSecret,
		Incarnation: uint64(time.Now().Add(opts.IncarnationOffset).UnixNano()), Listen: opts.Settings.Peer.Listen,
		Advertise: opts.Settings.Peer.Advertise, Registry: d.registry, Logger: d.log, Memory: d.budget,
		CountBytes: opts.Traffic.Count, OnReplaced: func() { close(d.replaced) },
	})
	if err := d.peers.Listen(); err != nil {
		return nil, err
	}
	d.buildControl()
	d.buildEntry()
	return d, nil
}

// leaseConfig returns the times of the configuration lease. Its duration bounds how long an
// unreachable host delays a change of a primary, and how long a restarted fleet waits for
// leases that it has no record of. An election takes 0.1 to 0.6 s of the duration.
func leaseConfig() lease.Config {
	cfg := lease.DefaultConfig()
	cfg.Duration, cfg.RenewInterval = 2*time.Second, 400*time.Millisecond
	cfg.ExclusiveIdentity = true // the identity of a host is the address that its process listens on
	return cfg
}

// limitsConfig returns how the hosts share limits. Two connections of each endpoint are
// reserved for probes: endpoints are probed only during a change of their primary, by the
// control leader and by one host that suspects the primary.
func (d *Daemon) limitsConfig() limits.Config {
	cfg := limits.DefaultConfig()
	cfg.Lease = leaseConfig()
	cfg.FloorConnections, cfg.ProbeConnections, cfg.HeadroomConnections, cfg.RateFloor = 1, 2, 1, rateFloor
	cfg.HomesOnly, cfg.HomeRateFloor, cfg.Tolerance = true, homeRateFloor, d.opts.Tolerance
	return cfg
}

func (d *Daemon) buildControl() {
	leaseCfg := leaseConfig()
	seeds := config.SeedHosts(d.opts.Settings.Seeds)
	if c := d.opts.Settings.Control; c != nil {
		d.control = control.New(control.Options{
			Fleet: d.opts.Settings.Fleet, DataDir: c.DataDir, Bootstrap: c.Bootstrap, OpenMembership: true, Controls: seeds,
			ToleratedLosses: c.ToleratedLosses,
			Peer:            d.peers, Lease: leaseCfg, Logger: d.log, Registry: d.registry,
			EndpointManager: d.opts.EndpointManager, Fenced: d.opts.Fenced,
			Metering: d.opts.Metering, UsageReporter: d.opts.UsageReporter, UsageSource: d.opts.UsageSource, View: d.view,
		})
		d.owner = limits.NewOwner(d.peers, d.view, d.limitsConfig(), d.log)
	}
	control.ServeEndpointRequests(d.peers, d.view, d.opts.EndpointManager)
	d.subscriber = control.NewSubscriber(control.SubscriberOptions{
		Fleet: d.opts.Settings.Fleet, Domain: d.opts.Settings.Domain, OpenMembership: true, Controls: seeds,
		Entry: d.opts.Settings.Entry != nil, Control: d.opts.Settings.Control != nil,
		Link: d.opts.LinkRate, Peer: d.peers, Lease: leaseCfg, Logger: d.log, View: d.view, Registry: d.registry,
	})
}

func (d *Daemon) buildEntry() {
	if d.opts.Settings.Entry == nil {
		return
	}
	d.holder = limits.NewHolder(d.peers, d.view, d.limitsConfig(), d.log)
	d.forwarder = forward.New(d.peers, d.view, d.log, d.registry)
	d.core = core.NewServer(core.Options{
		View: d.view, Host: d.opts.Settings.Host, Domain: d.opts.Settings.Domain, Dialer: d.opts.Dialer, Limiter: d.holder,
		Connections: d.holder.Connections, Observe: d.reportEvidence, Behind: d.subscriber.CheckUpstream, Forwarder: d.forwarder, Meter: d.buildMeter(), Traffic: d.opts.Traffic, Budget: d.budget,
		CrossingMSPerKB: d.opts.CrossingMSPerKB, Log: d.log, Registerer: d.registry,
	})
	d.holder.SetPool(d.core)
	forward.Serve(d.peers, d.core)
	control.ServeWitnessRequests(d.peers, d.core.Witness)
}

// reportEvidence reports evidence about an endpoint to the control leader.
func (d *Daemon) reportEvidence(e core.Evidence) {
	observed := failover.Condition{Reachable: !e.Unreachable, InRecovery: e.ReadOnly}
	if v := d.view.Current(); v.State != nil {
		observed.Timeline = v.State.Groups[e.Service].Timeline
	}
	d.subscriber.Observe(control.Observation{
		Service: e.Service, Endpoint: e.Endpoint, Domain: d.opts.Settings.Domain, Watcher: d.opts.Settings.Host, Condition: observed,
	})
}

// Core returns the session core of the entry role, or nil.
func (d *Daemon) Core() *core.Server { return d.core }

// Traffic returns the meter of the host's network link, or nil if the link is unknown.
func (d *Daemon) Traffic() *linkuse.Meter { return d.opts.Traffic }

// Budget returns the memory for callers.
func (d *Daemon) Budget() *budget.Budget { return d.budget }

// Control returns the control role, or nil.
func (d *Daemon) Control() *control.Host { return d.control }

// View returns the source of the agreed state that the host follows.
func (d *Daemon) View() view.Source { return d.view }

// Gatherer returns the metrics of the host.
func (d *Daemon) Gatherer() prometheus.Gatherer { return d.registry }

// leaseLossPatience is how long a host stays ready without a configuration lease. An election
// of the control leader takes up to 0.6 s; a host that has none for longer is probably cut off
// from the control hosts, and hosts that are not serve its callers.
const leaseLossPatience = time.Second

// Ready reports whether the host accepts callers: it has a configuration lease, or lost it
// less than leaseLossPatience ago, and is not stopping.
func (d *Daemon) Ready() bool {
	lost, had := d.view.Current().LostFor()
	return had && lost < leaseLossPatience && !d.stopping.Load()
}

// SetSeeds replaces the seeds, which are addresses of control hosts.
func (d *Daemon) SetSeeds(seeds []string) {
	d.subscriber.SetSeeds(config.SeedHosts(seeds))
	if d.control != nil {
		d.control.SetSeeds(seeds)
	}
}

// errShutdown ends the task group after a graceful shutdown.
var errShutdown = errors.New("shut down")

// Run serves until ctx ends, then shuts down gracefully and returns nil. The adapter's tasks
// run as long as the host does; when one ends, so does the host.
func (d *Daemon) Run(ctx context.Context, adapter ...supervise.Task) error {
	taskCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	var group run.Group
	add := func(task supervise.Task) {
		group.Add(func() error { return task.Run(taskCtx) }, func(error) { stopTasks() })
	}
	add(d.supervisedTasks())
	add(d.peers)
	for _, task := range adapter {
		add(task)
	}
	shutdownCtx, skipShutdown := context.WithCancel(ctx)
	group.Add(func() error {
		select {
		case <-d.replaced:
			return ErrReplaced
		case <-shutdownCtx.Done():
		}
		if ctx.Err() == nil {
			return nil // another task has failed
		}
		d.shutdown(taskCtx)
		return errShutdown
	}, func(error) { skipShutdown() })
	if err := group.Run(); !errors.Is(err, errShutdown) {
		return err
	}
	return nil
}

// supervisedTasks returns the tree of tasks that are restarted when they fail.
func (d *Daemon) supervisedTasks() *supervise.Tree {
	tree := supervise.New(d.opts.Settings.Host, d.log)
	if d.control != nil {
		tree.Add("control", d.control)
		tree.Add("owner", d.owner)
	}
	tree.Add("subscriber", d.subscriber)
	tree.Add("activity", d.activityReporter())
	if d.core != nil {
		tree.Add("holder", d.holder)
		tree.Add("forwarder", d.forwarder)
		tree.Add("core", d.core)
	}
	if d.usage != nil {
		tree.Add("usage", d.usage)
	}
	return tree
}

// activityInterval is the interval of the log lines about the host's activity.
const activityInterval = 5 * time.Second

// activityReporter returns the task that logs the activity of the host.
func (d *Daemon) activityReporter() *activity.Reporter {
	counters := d.peers.Activity()
	if d.core != nil {
		counters = append(counters, d.core.Activity()...)
	}
	return &activity.Reporter{Interval: activityInterval, Counters: counters, Log: d.log}
}

// shutdown makes the host unready, drains the sessions and deregisters the host.
func (d *Daemon) shutdown(ctx context.Context) {
	killed := time.Now().Add(d.opts.GracePeriod)
	d.stopping.Store(true)
	d.log.Info("stop", "grace_ms", d.opts.GracePeriod.Milliseconds())
	if d.core != nil {
		d.drain(ctx)
		d.log.Info("drained", "sessions", d.core.Sessions())
	}
	d.deregister(ctx)
	if d.control != nil {
		d.leaveGroup(ctx, killed)
	}
}

// deregister removes the host from the agreed state.
func (d *Daemon) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	if d.usage != nil {
		d.usage.Flush(ctx)
	}
	if err := d.subscriber.Leave(ctx); err != nil {
		d.log.Warn("deregister_failed", "err", err.Error())
	}
}

// leaveGroup waits until the control hosts go on without the vote of this one, if they have more
// than they need. The time at which the process is killed limits the wait.
func (d *Daemon) leaveGroup(ctx context.Context, killed time.Time) {
	ctx, cancel := context.WithTimeout(ctx, min(leaveGroupTimeout, time.Until(killed)/2))
	defer cancel()
	if err := d.control.LeaveGroup(ctx); err != nil {
		d.log.Warn("leave_group_failed", "err", err.Error())
	}
	if err := d.peers.Flush(ctx); err != nil {
		d.log.Debug("messages_unsent", "err", err.Error())
	}
}

// drain accepts callers for the unreadyPeriod, then closes each session once it has no
// transaction and no statement in progress. Transactions still open after transactionShare
// of the grace period are aborted. All callers are answered before the process ends, since a
// caller whose request was passed on cannot tell whether it ran.
func (d *Daemon) drain(ctx context.Context) {
	start := time.Now()
	abortAt := start.Add(time.Duration(float64(d.opts.GracePeriod) * transactionShare))
	end := start.Add(d.opts.GracePeriod - deregisterTimeout - replyFlushTime)
	d.core.StopRemote() // other hosts have other home hosts at once
	d.core.AnswerBy(end)
	sleep(ctx, min(unreadyPeriod, time.Until(abortAt)))
	if err := d.drainSessions(ctx, abortAt); err != nil {
		d.core.AbortTransactions()
		if err := d.drainSessions(ctx, end.Add(-replyFlushTime)); err != nil {
			d.log.Warn("drain_incomplete", "err", err.Error())
		}
	}
	d.core.RefuseNew()
	if err := d.drainSessions(ctx, end.Add(replyFlushTime/2)); err != nil {
		d.log.Warn("drain_incomplete", "err", err.Error())
	}
	flushCtx, cancel := context.WithTimeout(ctx, replyFlushTime/2)
	defer cancel()
	if err := d.peers.Flush(flushCtx); err != nil {
		d.log.Warn("replies_unsent", "err", err.Error())
	}
}

// drainSessions waits until all sessions have closed, at most until the deadline.
func (d *Daemon) drainSessions(ctx context.Context, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return d.core.Drain(ctx)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
