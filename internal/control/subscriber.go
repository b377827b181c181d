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
	// silenceShare is the part of a lease that a control host may leave requests
	// unanswered before the subscriber turns to another one.
	silenceDivisor = 3
	// registerInterval is the time between two attempts to register, each of which
	// may take registerTimeout: after a loss of power many hosts wait for each.
	registerInterval = 300 * time.Millisecond
	registerTimeout  = time.Second
	subscriberTick   = 50 * time.Millisecond
	// startRenewInterval is the time between two requests of a host that has no
	// lease: the control hosts may be starting as well.
	initialRenewInterval = 100 * time.Millisecond
	// startSilence is how long a host without a lease waits for a control host: an
	// election of control hosts that have all started anew takes 0.1 to 0.6 s.
	initialSilenceTimeout = 350 * time.Millisecond
)

// SubscriberOptions configure a Subscriber.
type SubscriberOptions struct {
	Fleet    string
	Domain   string
	Entry    bool
	Control  bool
	Controls []config.ControlHost
	// OpenMembership follows the control hosts of the agreed state beside Controls, which
	// are then seeds.
	OpenMembership bool
	Peer           *peer.Node
	Lease          lease.Config
	Logger         *log.Logger
	Registry       prometheus.Registerer
	// View receives the agreed state with the lease.
	View *view.Box
}

// Subscriber follows the agreed state on one host, holds its configuration
// lease and keeps it registered. Run owns its state.
type Subscriber struct {
	opts   SubscriberOptions
	log    *log.Logger
	events chan subscriberEvent

	metrics *subscriberMetrics

	// current is the upstream, for other goroutines.
	current atomic.Pointer[config.ControlHost]

	state  *agreed.State
	holder *lease.Holder
	// known are the control hosts that the state and the settings name.
	candidates []config.ControlHost
	// homed is set once a control host of the own failure domain was chosen.
	localChosen bool
	// heard is when the upstream last granted a lease, or was chosen.
	lastGrant    time.Time
	lastRenew    time.Time
	lastRegister time.Time // when registration was last attempted
	leaving      bool
	leased       bool // as last logged
}

// subscriberEvent is a message to the task of a Subscriber.
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
	peer.On(opts.Peer, peer.KindDelta, func(_ peer.Identity, d agreed.Delta) {
		s.post(deltaEvent{d})
	})
	peer.On(opts.Peer, peer.KindSnapshot, func(_ peer.Identity, p snapshotPush) {
		s.post(snapshotEvent{p})
	})
	peer.On(opts.Peer, peer.KindRenewNo, func(from peer.Identity, _ renewRefusal) {
		s.post(renewRefusedEvent{from.Host})
	})
	peer.On(opts.Peer, peer.KindRenewOK, func(from peer.Identity, ok lease.RenewOK) {
		s.post(grantEvent{from.Host, ok})
	})
	return s
}

func (s *Subscriber) post(e subscriberEvent) {
	select {
	case s.events <- e:
	default:
	}
}

// Run follows the state until ctx ends, then withdraws the view.
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

// control is the upstream.
func (s *Subscriber) upstream() config.ControlHost { return *s.current.Load() }

// choose makes a control host the upstream.
func (s *Subscriber) setUpstream(c config.ControlHost) { s.current.Store(&c) }

// advance does what is due.
func (s *Subscriber) runDueTasks(ctx context.Context, now time.Time) {
	s.metrics.update(s, now)
	if s.leased {
		s.logLeaseChange(s.isRegistered())
	}
	silence, interval := s.opts.Lease.Duration/silenceDivisor, s.opts.Lease.RenewInterval
	if !s.leased {
		silence, interval = min(silence, initialSilenceTimeout), min(interval, initialRenewInterval)
	}
	if now.Sub(s.lastGrant) > silence {
		s.switchUpstream(now, s.nextUpstream())
		s.log.Info("control_host_silent", "next", s.upstream().Host)
	}
	if now.Sub(s.lastRenew) >= interval {
		s.renew(now)
	}
	if !s.isRegistered() && now.Sub(s.lastRegister) >= registerInterval {
		s.lastRegister = now
		s.register(ctx)
	}
}

// turn makes another control host the upstream. The host gives up what is on its
// way from the former one, which would otherwise count for the revision that it
// names now; a valid lease it keeps.
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

// isRegistered reports whether the state names this very process.
func (s *Subscriber) isRegistered() bool {
	host, ok := s.state.Hosts[s.opts.Peer.Host()]
	return ok && host == s.hostRecord(host.Registered)
}

func (s *Subscriber) hostRecord(registered uint64) agreed.Host {
	return agreed.Host{
		ID:          s.opts.Peer.Host(),
		PeerAddr:    s.opts.Peer.Addr(),
		Domain:      s.opts.Domain,
		Incarnation: s.opts.Peer.Incarnation(),
		Entry:       s.opts.Entry,
		Control:     s.opts.Control,
		Registered:  registered,
	}
}

// register proposes the registration in a goroutine; its result shows in the
// state.
func (s *Subscriber) register(ctx context.Context) {
	if s.leaving {
		return
	}
	c := s.upstream()
	p := proposal{Command: agreed.Command{RegisterHost: &agreed.RegisterHost{Host: s.hostRecord(0)}}}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, registerTimeout)
		defer cancel()
		out, err := callProposal(ctx, s.opts.Peer, c.Host, c.Addr, p)
		switch {
		case err != nil:
			s.log.Debug("register_failed", "control", c.Host, "err", err.Error())
		case out.Code == result.PeerIncarnation:
			s.log.Error("host_replaced", "detail", out.Detail)
		}
	}()
}

// publish publishes the state with the end of the lease. Until the registration
// of this process is settled, and once it was replaced, the view is not valid.
func (s *Subscriber) publish() {
	v := view.View{State: s.state, Settled: s.holder.Settled()}
	host, ok := s.state.Hosts[s.opts.Peer.Host()]
	registered := ok && host.Incarnation == s.opts.Peer.Incarnation() && v.Settled >= host.Registered
	if registered && !s.leaving {
		v.ValidUntil = s.holder.ValidUntil(s.state.Revision)
	}
	s.opts.View.Publish(v)
	s.logLeaseChange(registered)
}

// noteLease logs when the lease is gained or lost.
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
