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
	"github.com/galenabridge/galenabridge/internal/view"
)

// Usage is what a host does with one endpoint.
type Usage struct {
	Service  string
	Endpoint string
	// Connections are open, ConnectionDemand the most that were lent or asked for
	// at once since the last report.
	Connections      int
	ConnectionDemand int
	// Slots are taken, SlotDemand the most that were taken or asked for.
	Slots      int
	SlotDemand int
	// NoSlotLease: the host asks for no slots, since the endpoint has a queue of its
	// own.
	NoSlotLease bool
}

// Pool is the part of an entry host that uses connections and slots.
type Pool interface {
	// Usage lists the endpoints in use.
	Usage() []Usage
	// Resize makes the host follow changed shares.
	Resize()
}

// Holder holds the shares of this entry host. It implements entry.Limiter.
type Holder struct {
	peers *peer.Node
	view  view.Source
	log   *log.Logger
	pool  Pool
	cfg   Config

	mu    sync.Mutex
	quota *quota.Holder
	epoch uint64 // of the set of owners
	// floors are the connections that need no lease, by service.
	floors map[string]int
	// rates are the floors of rates, by workspace.
	rates map[string]*floor
	// asked is when the last round began.
	asked time.Time
	// followed is the state from which the floors are.
	followed *agreed.State
	queues   map[string]*queue
	wake     chan struct{}
}

// NewHolder returns a Holder and registers its handler with the peer node. Call
// it before the node runs, and SetPool before Run.
func NewHolder(peers *peer.Node, src view.Source, cfg Config, logger *log.Logger) *Holder {
	h := &Holder{
		peers: peers, view: src, log: logger, cfg: cfg,
		quota:  quota.NewHolder(quotaConfig(cfg.Lease), peers.Host(), peers.Incarnation()),
		queues: make(map[string]*queue),
		rates:  make(map[string]*floor),
		wake:   make(chan struct{}, 1),
	}
	peer.On(peers, peer.KindQuotaOK, func(_ peer.Identity, r quota.Reply) { h.receive(r) })
	return h
}

// SetPool sets the user of connections and slots.
func (h *Holder) SetPool(p Pool) { h.pool = p }

// Connections returns how many connections to an endpoint the host may have.
func (h *Holder) Connections(service, endpoint string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.floors[service] + h.units(connectionKey(endpoint))
}

// Slots returns how many statements the host may run at once on an endpoint. A
// host without a lease may run one, so the hosts together may run more than the
// endpoint's slots when more hosts than that are active.
func (h *Holder) Slots(_, endpoint string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.units(slotKey(endpoint)), floorSlots)
}

func (h *Holder) units(key string) int {
	allowed, _ := h.quota.Units(clock.Now(), key)
	return int(allowed)
}

// follow takes over a change of the agreed state. The caller holds the lock.
func (h *Holder) follow(state *agreed.State) {
	if state == h.followed {
		return
	}
	h.followed = state
	size := sizeOf(h.cfg, state)
	h.floors = make(map[string]int, len(state.Catalog.Services))
	for name, service := range state.Catalog.Services {
		h.floors[name] = size.floor(service.Connections)
	}
	h.setRates(clock.Now(), state, size)
	if state.OwnersEpoch != h.epoch {
		h.epoch = state.OwnersEpoch
		h.quota.SetEpoch(h.epoch, owners(state))
	}
}

// Run asks owners for shares and serves waiting requests until ctx ends.
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
			h.round(clock.Now())
		case <-h.wake:
		case <-timer.C:
		}
		now := clock.Now()
		next := h.serve(now)
		if h.urgent() {
			if due := urgentInterval - now.Sub(h.asked); due > 0 {
				next = min(next, due)
			} else {
				h.round(now)
			}
		}
		timer.Reset(next)
	}
}

// urgentInterval is the least time between two rounds while requests wait: a
// host that has no share of a rate yet does not wait for the next tick. It is a
// few round trips between failure domains (3 ms).
const urgentInterval = 10 * time.Millisecond

// urgent reports whether requests wait for tokens that the fleet has. Those of a
// workspace over its rate wait for the next tick.
func (h *Holder) urgent() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, q := range h.queues {
		if !q.over {
			return true
		}
	}
	return false
}

// round reports the use of units and sends the requests that are due.
func (h *Holder) round(now time.Time) {
	state := h.view.Current().State
	if state == nil {
		return
	}
	usage := h.pool.Usage()
	h.mu.Lock()
	h.asked = now
	h.follow(state)
	for _, u := range usage {
		floor := h.floors[u.Service]
		h.quota.ReportUsage(now, connectionKey(u.Endpoint), float64(max(u.Connections-floor, 0)), float64(max(u.ConnectionDemand-floor, 0)))
		if !u.NoSlotLease {
			h.quota.ReportUsage(now, slotKey(u.Endpoint), float64(u.Slots), float64(u.SlotDemand))
		}
	}
	batches := h.quota.Requests(now)
	h.mu.Unlock()
	h.send(state, batches)
	h.pool.Resize()
}

func (h *Holder) send(state *agreed.State, batches []quota.Batch) {
	for _, b := range batches {
		addr := state.Hosts[b.Owner].PeerAddr
		if err := h.peers.Send(b.Owner, addr, peer.KindQuota, b.Request); err != nil {
			h.log.Debug("quota_request_failed", "peer", b.Owner, "err", err.Error())
		}
	}
}

func (h *Holder) receive(r quota.Reply) {
	h.mu.Lock()
	h.quota.Receive(clock.Now(), r)
	h.mu.Unlock()
	h.pool.Resize()
	h.notify()
}

// notify makes Run look at the waiting requests.
func (h *Holder) notify() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}
