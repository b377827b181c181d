package limits

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/peer"
	"github.com/galenabridge/galenabridge/internal/quota"
	"github.com/galenabridge/galenabridge/internal/view"
)

// requestBacklog bounds the requests that wait for an Owner. Holders repeat
// what is dropped.
const requestBacklog = 1024

// Owner grants the quotas that belong to this control host. Run owns its state.
type Owner struct {
	peers    *peer.Node
	view     view.Source
	cfg      Config
	log      *log.Logger
	requests chan ownerRequest

	quota  *quota.Owner
	state  *agreed.State
	limits map[string]quota.Limit
	// started is when this process began to follow the agreed state.
	started time.Time
	// known tells, as last logged, that all leases are known.
	known bool
}

type ownerRequest struct {
	from    peer.Identity
	request quota.Request
}

// NewOwner returns an Owner and registers its handler with the peer node. Call
// it before the node runs.
func NewOwner(peers *peer.Node, src view.Source, cfg Config, logger *log.Logger) *Owner {
	o := &Owner{
		peers: peers, view: src, cfg: cfg, log: logger,
		requests: make(chan ownerRequest, requestBacklog),
	}
	peer.On(peers, peer.KindQuota, func(from peer.Identity, r quota.Request) {
		select {
		case o.requests <- ownerRequest{from: from, request: r}:
		default:
		}
	})
	return o
}

// Run grants quotas until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	now := clock.Now()
	// A restarted task has forgotten its grants and counts as a new process. The
	// time of day orders processes: the suspended clock starts anew with a machine.
	o.quota = quota.NewOwner(quotaConfig(o.cfg.Lease), o.peers.Host(), uint64(time.Now().UnixNano()), now)
	o.state, o.limits, o.started = nil, map[string]quota.Limit{}, now
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		changed := o.view.Changed()
		o.follow(clock.Now())
		o.noteKnown(clock.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-ticker.C:
			o.quota.Tick(clock.Now())
		case r := <-o.requests:
			o.answer(clock.Now(), r)
		}
	}
}

// noteKnown logs when the owner comes to know all leases of its keys, or has to
// learn them anew.
func (o *Owner) noteKnown(now time.Time) {
	known, quiet := o.quota.LeasesKnown()
	if known == o.known {
		return
	}
	o.known = known
	if !known {
		o.log.Info("limits_unknown")
		return
	}
	o.log.Info("limits_known", "after_ms", now.Sub(o.started).Milliseconds(), "quiet_ms", now.Sub(quiet).Milliseconds())
}

func (o *Owner) answer(now time.Time, r ownerRequest) {
	if r.request.Host != r.from.Host || r.request.Incarnation != r.from.Incarnation {
		return // a host asks for itself only
	}
	o.quota.SetOwnerLease(o.view.Current().ValidUntil)
	reply := o.quota.Handle(now, r.request)
	if err := o.peers.Send(r.from.Host, r.from.Addr, peer.KindQuotaOK, reply); err != nil {
		o.log.Debug("quota_reply_failed", "peer", r.from.Host, "err", err.Error())
	}
}

// follow takes over a change of the agreed state.
func (o *Owner) follow(now time.Time) {
	state := o.view.Current().State
	if state == nil || state == o.state {
		return
	}
	o.quota.SetEpoch(now, state.OwnersEpoch, owners(state))
	o.quota.SetHolders(now, holders(state))
	o.setLimits(now, state)
	o.forgetDeparted(now, state)
	o.state = state
}

func (o *Owner) setLimits(now time.Time, state *agreed.State) {
	next := limitsOf(o.cfg, state)
	fresh := o.mayBeFresh(now, state)
	for key, limit := range next {
		old, known := o.limits[key]
		if !known || old != limit {
			o.quota.SetLimit(now, key, limit, fresh && !known)
		}
	}
	for key := range o.limits {
		if _, ok := next[key]; !ok {
			o.quota.SetLimit(now, key, quota.Limit{}, false)
		}
	}
	o.limits = next
}

// mayBeFresh reports whether a key that appears now cannot have leases that
// were granted before this process followed the state: either the fleet has its
// first catalog, or the process is older than any lease.
func (o *Owner) mayBeFresh(now time.Time, state *agreed.State) bool {
	if state.Catalog.Stamp.Number <= 1 || o.state != nil && o.state.Catalog.Stamp.Number == 0 {
		return true
	}
	return o.state != nil && now.Sub(o.started) > 2*(o.cfg.Lease.Duration+quota.DefaultLease)
}

// forgetDeparted reclaims the shares of processes that are no longer
// registered: a host is removed only after its configuration lease has ended.
func (o *Owner) forgetDeparted(now time.Time, state *agreed.State) {
	if o.state == nil {
		return
	}
	for id, was := range o.state.Hosts {
		if is, ok := state.Hosts[id]; !ok || is.Incarnation != was.Incarnation {
			o.quota.RemoveHolder(now, id, was.Incarnation)
		}
	}
}
