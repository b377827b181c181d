package limits

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/peer"
	"github.com/galenabridge/galenabridge/internal/quota"
	"github.com/galenabridge/galenabridge/internal/route"
	"github.com/galenabridge/galenabridge/internal/view"
)

// Usage is a host's use of one endpoint.
type Usage struct {
	Service  string
	Endpoint string
	// Connections is the number of open connections. ConnectionDemand is the maximum
	// that was checked out or waited for at once since the last report.
	Connections      int
	ConnectionDemand int
	// Slots is the number of slots in use. SlotDemand is the maximum that was in use or
	// waited for at once since the last report.
	Slots      int
	SlotDemand int
	// UnleasedSlots is set if the host needs no lease of the endpoint's slots, because
	// the endpoint queues statements itself. Slots and SlotDemand are then ignored.
	UnleasedSlots bool
}

// Pool uses the connections and slots of an entry host's shares.
type Pool interface {
	// Usage lists the endpoints in use.
	Usage() []Usage
	// Resize adjusts the pools to changed shares.
	Resize()
}

// Holder holds the shares of this entry host. It implements entry.Limiter and is
// safe for concurrent use.
type Holder struct {
	peers *peer.Node
	view  view.Source
	log   *log.Logger
	pool  Pool
	cfg   Config

	mu    sync.Mutex
	quota *quota.Holder
	epoch uint64 // agreed.State.OwnersEpoch of the latest applied state
	// leasedSince is view.View.LeasedSince when it was last observed.
	leasedSince time.Time
	// connectionFloors are the numbers of connections per endpoint that need no lease on a
	// host that connects to it, by service. If homesOnly is set, only home hosts do.
	connectionFloors map[string]int
	homesOnly        bool
	homes            route.HomeTable
	// rateFloors are the parts of rates that need no lease, by workspace.
	rateFloors map[string]*floorBucket
	// retiredFloors are those of workspaces that were withdrawn and may return.
	retiredFloors map[string]*floorBucket
	// reserves are the tokens that may be spent while the owner of a rate is unknown, by
	// workspace.
	reserves map[string]*reserve
	// lastRound is when requestRound last ran.
	lastRound time.Time
	// appliedState is the state from which the floors were derived.
	appliedState *agreed.State
	queues       map[string]*queue
	wake         chan struct{}
}

// NewHolder returns a Holder and registers its handler with the peer node. Call it after the
// node listens and before it runs, and SetPool before Run.
func NewHolder(peers *peer.Node, src view.Source, cfg Config, logger *log.Logger) *Holder {
	var startedAt time.Time
	if cfg.Lease.ExclusiveIdentity {
		startedAt = clock.Now() // former processes have ended: this one listens on their address
	}
	h := &Holder{
		peers: peers, view: src, log: logger, cfg: cfg,
		quota:      quota.NewHolder(quotaConfig(cfg.Lease), peers.Host(), peers.Incarnation(), startedAt),
		queues:     make(map[string]*queue),
		rateFloors: make(map[string]*floorBucket), retiredFloors: make(map[string]*floorBucket),
		reserves: make(map[string]*reserve),
		wake:     make(chan struct{}, 1),
	}
	peer.On(peers, peer.KindQuotaOK, func(from peer.Identity, r quota.Reply) {
		r.Owner = from.Host
		h.receive(r)
	})
	return h
}

// SetPool sets the user of connections and slots. Call it before Run.
func (h *Holder) SetPool(p Pool) { h.pool = p }

// Connections returns how many connections to an endpoint the host may open.
func (h *Holder) Connections(service, endpoint string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.connectionFloor(service) + h.units(connectionKey(endpoint))
}

// connectionFloor returns how many connections to an endpoint of a service need no lease
// on this host. The caller holds h.mu.
func (h *Holder) connectionFloor(service string) int {
	if h.homesOnly && !h.homes.IsHome(h.peers.Host(), service) {
		return 0
	}
	return h.connectionFloors[service]
}

// Slots returns how many statements the host may run at once on an endpoint. A
// host without a lease may run one (floorSlots), so the hosts together may exceed
// the endpoint's slots if more hosts than slots are active.
func (h *Holder) Slots(_, endpoint string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.units(slotKey(endpoint)), floorSlots)
}

// units returns the number of leased units of a key. The caller holds h.mu.
func (h *Holder) units(key string) int {
	allowed, _ := h.quota.Units(clock.Now(), key)
	return int(allowed)
}

// applyState applies a changed agreed state. The caller holds h.mu.
func (h *Holder) applyState(state *agreed.State) {
	if state == h.appliedState {
		return
	}
	h.appliedState = state
	size := sizeOf(h.cfg, state, &h.homes)
	h.connectionFloors = make(map[string]int, len(state.Catalog.Services))
	for name, service := range state.Catalog.Services {
		h.connectionFloors[name] = size.connectionFloor(service.Connections)
	}
	h.homesOnly = size.homeHosts > 0
	h.updateRateFloors(clock.Now(), state, size)
	h.updateReserves(clock.Now(), state, size)
	owners := state.QuotaOwners()
	for _, owner := range owners {
		h.quota.ObserveOwner(owner, state.Hosts[owner].Incarnation)
	}
	if state.OwnersEpoch != h.epoch {
		h.epoch = state.OwnersEpoch
		h.quota.SetEpoch(h.epoch, owners)
	}
}

// observeLease ends the shares of rates when the configuration lease has lapsed since the
// last call. The caller holds h.mu.
func (h *Holder) observeLease(now time.Time) {
	since := h.view.Current().LeasedSince
	if since.Equal(h.leasedSince) {
		return
	}
	h.leasedSince = since
	h.quota.EndRates(now)
}

// Run requests shares from the owners and serves waiting requests until ctx ends.
func (h *Holder) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			h.requestRound(clock.Now())
		case <-h.wake:
		case <-timer.C:
		}
		now := clock.Now()
		next := h.serve(now)
		if due, ok := h.nextUrgentRound(now); ok && due > 0 {
			next = min(next, due)
		} else if ok {
			h.requestRound(now)
		}
		timer.Reset(next)
	}
}

// urgentInterval is the minimum time between two rounds of requests while callers
// wait, so that a host without a share of a rate need not wait for the next tick.
// It is a few times the round trip between failure domains (3 ms).
const urgentInterval = 10 * time.Millisecond

// nextUrgentRound returns the time until the next round of requests for workspaces that
// are not overloaded, of which the owners may grant tokens at once. It reports false if
// no request of such a workspace waits. Requests of overloaded workspaces wait for the
// next tick.
func (h *Holder) nextUrgentRound(now time.Time) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	due, waiting := time.Duration(0), false
	for workspace, q := range h.queues {
		if q.overloaded {
			continue
		}
		if retry := h.quota.RetryIn(now, rateKey(workspace)); !waiting || retry < due {
			due, waiting = retry, true
		}
	}
	return max(due, urgentInterval-now.Sub(h.lastRound)), waiting
}

// requestRound reports the use of connections and slots, and sends the requests that
// are due.
func (h *Holder) requestRound(now time.Time) {
	state := h.view.Current().State
	if state == nil {
		return
	}
	usage := h.pool.Usage()
	h.mu.Lock()
	h.lastRound = now
	h.observeLease(now)
	h.applyState(state)
	for _, u := range usage {
		floor := h.connectionFloor(u.Service)
		h.quota.ReportUsage(now, connectionKey(u.Endpoint), float64(max(u.Connections-floor, 0)), float64(max(u.ConnectionDemand-floor, 0)))
		if !u.UnleasedSlots {
			h.quota.ReportUsage(now, slotKey(u.Endpoint), float64(u.Slots), float64(u.SlotDemand))
		}
	}
	batches := h.quota.Requests(now)
	h.mu.Unlock()
	h.send(state, batches)
	h.pool.Resize()
}

// send sends requests to their owners. They leave out the holder, which is the sender of the
// message: a host sends a request for each token of a small rate.
func (h *Holder) send(state *agreed.State, batches []quota.Batch) {
	for _, b := range batches {
		b.Request.Host, b.Request.Incarnation = "", 0
		addr := state.Hosts[b.Owner].PeerAddr
		if err := h.peers.Send(b.Owner, addr, peer.KindQuota, b.Request); err != nil {
			h.log.Debug("quota_request_failed", "peer", b.Owner, "err", err.Error())
		}
	}
}

func (h *Holder) receive(r quota.Reply) {
	h.mu.Lock()
	now := clock.Now()
	h.observeLease(now)
	h.quota.Receive(now, r)
	h.mu.Unlock()
	h.pool.Resize()
	h.notify()
}

// notify wakes Run to serve waiting requests.
func (h *Holder) notify() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}
