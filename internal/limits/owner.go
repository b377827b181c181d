package limits

import (
	"context"
	"math"
	"time"

	"github.com/charmbracelet/log"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/peer"
	"github.com/galenabridge/galenabridge/internal/quota"
	"github.com/galenabridge/galenabridge/internal/route"
	"github.com/galenabridge/galenabridge/internal/view"
)

// requestBacklog bounds the requests that wait for an Owner. Requests beyond it are
// dropped; holders retry.
const requestBacklog = 1024

// Owner grants shares of the keys that this control host owns. Its state is
// accessed only by Run.
type Owner struct {
	peers    *peer.Node
	view     view.Source
	cfg      Config
	log      *log.Logger
	requests chan ownerRequest

	quota  *quota.Owner
	state  *agreed.State
	limits map[string]quota.Limit
	homes  route.HomeTable
	// startedAt is when Run started to follow the agreed state.
	startedAt time.Time
	// restarts is the number of former runs of the task in this process.
	restarts uint64
	// leasesKnown is the last logged value of quota.Owner.LeasesKnown.
	leasesKnown bool
	// backlogLogged is when the backlog of a key was last logged.
	backlogLogged map[string]time.Time
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

// Run grants shares until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	now := clock.Now()
	// A restarted task has lost its grants and counts as a new process. Holders know the
	// incarnation of the first run from the agreed state.
	o.quota = quota.NewOwner(quotaConfig(o.cfg.Lease), o.peers.Host(), o.peers.Incarnation()+o.restarts, now)
	o.restarts++
	o.state, o.limits, o.startedAt = nil, map[string]quota.Limit{}, now
	o.backlogLogged = make(map[string]time.Time)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		changed := o.view.Changed()
		o.applyState(clock.Now())
		o.logLeasesKnown(clock.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-ticker.C:
			o.quota.Tick(clock.Now())
		case r := <-o.requests:
			o.handle(clock.Now(), r)
		}
	}
}

// logLeasesKnown logs when all leases of the owner's keys have become known, and
// when they are unknown again.
func (o *Owner) logLeasesKnown(now time.Time) {
	known := o.quota.LeasesKnown()
	if known == o.leasesKnown {
		return
	}
	o.leasesKnown = known
	if !known {
		o.log.Info("limits_unknown")
		return
	}
	o.log.Info("limits_known", "after_ms", now.Sub(o.startedAt).Milliseconds())
}

func (o *Owner) handle(now time.Time, r ownerRequest) {
	// A host requests shares only for itself; see Holder.send.
	r.request.Host, r.request.Incarnation = r.from.Host, r.from.Incarnation
	o.quota.SetOwnerLease(o.view.Current().ValidUntil)
	reply := o.quota.Handle(now, r.request)
	if !r.request.ExpectsReply() {
		return // each token of a small rate is followed by such a request
	}
	o.logBacklogs(now, reply.Grants)
	reply.Owner = "" // the connection names it
	if err := o.peers.SendTo(r.from, peer.KindQuotaOK, reply); err != nil {
		o.log.Debug("quota_reply_failed", "peer", r.from.Host, "err", err.Error())
	}
}

// backlogLogInterval is the least time between two log lines about the backlog of a rate.
const backlogLogInterval = time.Second

// logBacklogs logs for which rates requests wait longer than a token takes to come.
func (o *Owner) logBacklogs(now time.Time, grants []quota.Grant) {
	for _, g := range grants {
		if g.BacklogMS == 0 || now.Sub(o.backlogLogged[g.Key]) < backlogLogInterval {
			continue
		}
		o.backlogLogged[g.Key] = now
		if s, ok := o.quota.Status(g.Key); ok {
			o.log.Info("rate_backlog", "key", g.Key, "backlog_ms", g.BacklogMS, "waiting", tenths(s.Waiting), "tokens", tenths(s.Pool),
				"leased", tenths(s.Leased), "demand", tenths(s.Demand), "rate", tenths(s.Limit.Rate), "burst", tenths(s.Limit.Burst), "holders", s.Holders)
		}
	}
}

// tenths rounds a number of tokens for the log.
func tenths(v float64) float64 { return math.Round(v*10) / 10 }

// applyState applies a changed agreed state.
func (o *Owner) applyState(now time.Time) {
	state := o.view.Current().State
	if state == nil || state == o.state {
		return
	}
	o.quota.SetEpoch(now, state.OwnersEpoch, state.QuotaOwners())
	present, absent := holderIDs(state)
	o.quota.SetHolders(now, present, absent)
	o.setLimits(now, state)
	o.removeDeparted(now, state)
	o.state = state
}

// setLimits passes added, changed and removed limits to the quota owner.
func (o *Owner) setLimits(now time.Time, state *agreed.State) {
	next := limitsOf(o.cfg, state, &o.homes)
	newNeverLeased := o.newKeysNeverLeased(now)
	for key, limit := range next {
		old, known := o.limits[key]
		if !known || old != limit {
			o.quota.SetLimit(now, key, limit, newNeverLeased && !known)
		}
	}
	for key := range o.limits {
		if _, ok := next[key]; !ok {
			o.quota.SetLimit(now, key, quota.Limit{}, false)
			delete(o.backlogLogged, key)
		}
	}
	o.limits = next
}

// newKeysNeverLeased reports whether no lease can exist of a key that is added now:
// either this process has seen the fleet without a catalog, or it has followed the state for
// longer than any lease lasts. The number of the catalog alone proves nothing: a process that starts
// under the first one may follow one that has granted its keys.
func (o *Owner) newKeysNeverLeased(now time.Time) bool {
	if o.state != nil && o.state.Catalog.Stamp.Number == 0 {
		return true
	}
	return o.state != nil && now.Sub(o.startedAt) > 2*(o.cfg.Lease.Duration+quota.DefaultShareLease)
}

// removeDeparted reclaims the shares of processes that are no longer registered, and those
// of rates of processes that have become absent. Either happens only after the configuration
// lease of the process has ended.
func (o *Owner) removeDeparted(now time.Time, state *agreed.State) {
	if o.state == nil {
		return
	}
	for id, former := range o.state.Hosts {
		current, ok := state.Hosts[id]
		switch {
		case !ok || current.Incarnation != former.Incarnation:
			o.quota.RemoveHolder(now, id, former.Incarnation)
		case current.Absent && !former.Absent:
			o.quota.EndRates(now, id, former.Incarnation)
		}
	}
}
