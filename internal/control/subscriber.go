package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/config"
	"github.com/galenabridge/galenabridge/internal/lease"
	"github.com/galenabridge/galenabridge/internal/peer"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/view"
)

// Timing of a subscriber.
const (
	// silenceDivisor is the divisor of the lease duration that gives the time without
	// a grant after which the subscriber switches to another control host.
	silenceDivisor = 3
	subscriberTick = 50 * time.Millisecond
	// initialRenewInterval is the time between two lease requests of a host without a
	// lease. It is short since the control hosts may be starting at the same time.
	initialRenewInterval = 100 * time.Millisecond
	// initialSilenceTimeout is how long a host without a lease waits for an answer of
	// a control host that it does not reach before it tries another.
	initialSilenceTimeout = 350 * time.Millisecond
)

// silenceTimeout returns how long a subscriber waits for a grant of its upstream before it
// tries another. One that a host without a lease reaches is waiting for a leader, as the others
// are: an election after all control hosts have restarted takes 0.1 to 0.6 s.
func silenceTimeout(lease time.Duration, leased, reached bool) time.Duration {
	if leased || reached {
		return lease / silenceDivisor
	}
	return min(lease/silenceDivisor, initialSilenceTimeout)
}

// SubscriberOptions configures a Subscriber.
type SubscriberOptions struct {
	Fleet   string
	Domain  string
	Entry   bool
	Control bool
	// Link is the capacity of the host's network link in bytes a second, zero if unknown.
	Link     int64
	Controls []config.ControlHost
	// OpenMembership adds the control hosts of the agreed state to Controls, which
	// are then seeds.
	OpenMembership bool
	Peer           *peer.Node
	Lease          lease.Config
	Logger         *log.Logger
	Registry       prometheus.Registerer
	// View receives the agreed state and the end of the lease.
	View *view.Publisher
}

// Subscriber receives the agreed state on one host, holds the host's configuration
// lease and keeps the host registered. The goroutine of Run owns its state.
type Subscriber struct {
	opts   SubscriberOptions
	log    *log.Logger
	events chan subscriberEvent

	metrics *subscriberMetrics

	// currentUpstream is the control host that the subscriber uses. Other goroutines
	// read it.
	currentUpstream atomic.Pointer[config.ControlHost]

	state  *agreed.State
	holder *lease.Holder
	// candidates are the control hosts that can become the upstream.
	candidates []config.ControlHost
	// localChosen is set once a control host in the same failure domain was chosen.
	localChosen bool
	// lastGrant is when the upstream last granted a lease, or was chosen.
	lastGrant    time.Time
	lastRenew    time.Time
	registration registration
	// checkingSince is when the upstream was asked whether it answers, zero if it is not.
	checkingSince time.Time
	refusals      refusalPacing
	leaving       bool
	// leased is whether the view was valid at the last check; changes are logged.
	leased bool
}

// subscriberEvent is a message to the goroutine of a Subscriber.
type subscriberEvent interface {
	handle(s *Subscriber, now time.Time)
}

// NewSubscriber returns a Subscriber and registers its handlers with the peer
// node. Call it before the node runs.
func NewSubscriber(opts SubscriberOptions) *Subscriber {
	if opts.Logger == nil {
		opts.Logger = log.Default()
	}
	s := &Subscriber{
		opts:    opts,
		log:     opts.Logger,
		events:  make(chan subscriberEvent, eventQueueSize),
		metrics: newSubscriberMetrics(opts.Registry),
	}
	s.updateCandidates(agreed.New())
	s.setUpstream(s.firstUpstream())
	peer.On(opts.Peer, peer.KindDelta, func(from peer.Identity, p deltaPush) {
		d, err := p.delta()
		if err != nil {
			s.log.Warn("delta_refused", "peer", from.Host, "err", err.Error())
			return
		}
		s.post(deltaEvent{d})
	})
	peer.On(opts.Peer, peer.KindSnapshot, func(_ peer.Identity, p snapshotPush) {
		s.post(snapshotEvent{p})
	})
	peer.On(opts.Peer, peer.KindRenewNo, func(from peer.Identity, _ renewRefusal) {
		s.post(renewRefusedEvent{from.Host})
	})
	peer.On(opts.Peer, peer.KindSettled, func(from peer.Identity, p settledPush) {
		s.post(settledEvent{from: from.Host, settled: p.Settled})
	})
	peer.On(opts.Peer, peer.KindRenewOK, func(from peer.Identity, ok lease.RenewOK) {
		s.post(grantEvent{from.Host, ok})
	})
	return s
}

// post queues an event without blocking. A full queue drops it.
func (s *Subscriber) post(e subscriberEvent) {
	select {
	case s.events <- e:
	default:
	}
}

// Run receives the state until ctx ends, then publishes an empty view.
func (s *Subscriber) Run(ctx context.Context) error {
	now := clock.Now()
	if s.state == nil {
		s.state = agreed.New()
	}
	s.holder = lease.NewHolder(s.opts.Lease, initialSeq())
	s.updateCandidates(s.state)
	s.setUpstream(s.firstUpstream())
	s.lastGrant, s.lastRenew, s.leaving = now, time.Time{}, false
	defer s.opts.View.Publish(view.View{})
	ticker := time.NewTicker(subscriberTick)
	defer ticker.Stop()
	for {
		s.runDueTasks(ctx, clock.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case e := <-s.events:
			e.handle(s, clock.Now())
		}
	}
}

// upstream returns the control host in use.
func (s *Subscriber) upstream() config.ControlHost { return *s.currentUpstream.Load() }

// setUpstream stores the upstream for all goroutines.
func (s *Subscriber) setUpstream(c config.ControlHost) { s.currentUpstream.Store(&c) }

// runDueTasks switches the upstream after a timeout, renews the lease and registers
// the host, each when it is due.
func (s *Subscriber) runDueTasks(ctx context.Context, now time.Time) {
	s.metrics.update(s, now)
	if s.leased {
		s.logLeaseChange(s.isRegistered())
	}
	renewInterval := s.opts.Lease.RenewInterval
	if !s.leased {
		renewInterval = min(renewInterval, initialRenewInterval)
	}
	if now.Sub(s.lastGrant) > silenceTimeout(s.opts.Lease.Duration, s.leased, s.opts.Peer.Reaches(s.upstream().Host)) {
		s.switchUpstream(now, s.nextUpstream())
		s.log.Info("control_host_silent", "next", s.upstream().Host)
	}
	s.endUpstreamCheck(now)
	if now.Sub(s.lastRenew) >= renewInterval {
		s.renew(now)
	}
	if !s.isRegistered() && s.registration.due(now, s.upstream().Host) {
		s.register(ctx, now)
	}
}

// switchUpstream makes another control host the upstream and releases the lease
// requests in flight at the former one. Otherwise these would count there with the
// revision that the host has applied by now, and delay the settling of later revisions.
// A valid lease is kept.
func (s *Subscriber) switchUpstream(now time.Time, next config.ControlHost) {
	former := s.upstream()
	s.setUpstream(next)
	s.lastGrant, s.lastRenew = now, time.Time{}
	s.metrics.upstreamSwitches.Inc()
	if former == next {
		return
	}
	if err := s.opts.Peer.Send(former.Host, former.Addr, peer.KindRenew, s.holder.Release(s.leased)); err != nil {
		s.log.Debug("release_failed", "control", former.Host, "err", err.Error())
	}
}

// renew sends a lease request with the applied revision to the upstream.
func (s *Subscriber) renew(now time.Time) {
	if s.leaving {
		return
	}
	s.lastRenew = now
	c := s.upstream()
	if err := s.opts.Peer.Send(c.Host, c.Addr, peer.KindRenew, s.holder.Renew(now, s.state.Revision)); err != nil {
		s.log.Debug("renew_failed", "control", c.Host, "err", err.Error())
	}
}

// isRegistered reports whether the state contains this process with its current
// data.
func (s *Subscriber) isRegistered() bool {
	host, ok := s.state.Hosts[s.opts.Peer.Host()]
	want := s.hostRecord(host.Registered)
	want.Link = host.Link // control hosts of an earlier build do not record it
	return ok && host == want
}

// hostRecord returns this process as a registered host.
func (s *Subscriber) hostRecord(registered uint64) agreed.Host {
	return agreed.Host{
		ID:          s.opts.Peer.Host(),
		PeerAddr:    s.opts.Peer.Addr(),
		Domain:      s.opts.Domain,
		Incarnation: s.opts.Peer.Incarnation(),
		Entry:       s.opts.Entry,
		Control:     s.opts.Control,
		Registered:  registered,
		Link:        s.opts.Link,
	}
}

// register proposes the registration in a goroutine. Success shows in the state.
func (s *Subscriber) register(ctx context.Context, now time.Time) {
	if s.leaving {
		return
	}
	c := s.upstream()
	s.registration.begin(now, c.Host)
	command := agreed.Command{RegisterHost: &agreed.RegisterHost{Host: s.hostRecord(0)}}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, registerTimeout)
		defer cancel()
		out, err := callProposal(ctx, s.opts.Peer, c.Host, c.Addr, command, nil, false)
		switch {
		case err != nil:
			s.log.Debug("register_failed", "control", c.Host, "err", err.Error())
			s.post(registrationFailedEvent{begun: now})
		case out.Code == result.PeerIncarnation:
			s.log.Error("host_replaced", "detail", out.Detail)
		}
	}()
}

// publish publishes the state with the end of the lease. The view is not valid
// before the registration of this process is settled, after the process was
// replaced, while it is absent, or while it leaves.
func (s *Subscriber) publish() {
	v := view.View{State: s.state, Settled: s.holder.Settled()}
	host, ok := s.state.Hosts[s.opts.Peer.Host()]
	registered := ok && host.Incarnation == s.opts.Peer.Incarnation() && !host.Absent && v.Settled >= host.Registered
	if registered && !s.leaving {
		v.ValidUntil = s.holder.ValidUntil(s.state.Revision)
	}
	s.opts.View.Publish(v)
	s.logLeaseChange(registered)
}

// logLeaseChange logs when the lease is gained or lost.
func (s *Subscriber) logLeaseChange(registered bool) {
	valid := s.opts.View.Current().Valid()
	if valid == s.leased {
		return
	}
	s.leased = valid
	event := "lease_lost"
	if valid {
		event = "lease_gained"
	}
	s.log.Info(event, "revision", s.state.Revision, "settled", s.holder.Settled(), "registered", registered,
		"control", s.upstream().Host, "heard_ms", clock.Since(s.lastGrant).Milliseconds())
}
