package control

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/config"
	"github.com/galenabridge/galenabridge/internal/consensus"
	"github.com/galenabridge/galenabridge/internal/lease"
	"github.com/galenabridge/galenabridge/internal/metering"
	"github.com/galenabridge/galenabridge/internal/peer"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/store"
	"github.com/galenabridge/galenabridge/internal/view"
)

// Options configures a Host.
type Options struct {
	Fleet string
	// DataDir is the folder of the store.
	DataDir string
	// Bootstrap creates a new fleet whose first voters are those among Controls.
	Bootstrap bool
	Controls  []config.ControlHost
	// OpenMembership admits every control host that requests to join. Controls are
	// then the seeds, and the identity of a host is its peer address.
	OpenMembership bool
	// ToleratedLosses is consensus.Config.ToleratedLosses.
	ToleratedLosses int
	Peer            *peer.Node
	Lease           lease.Config
	Logger          *log.Logger
	Registry        prometheus.Registerer
	// EndpointManager probes and promotes endpoints; nil disables failover.
	EndpointManager EndpointManager
	// Fenced is set if promotion orders may be executed late and the platform rejects
	// an outdated order by its fence.
	Fenced bool
	// OpenStore opens the store in DataDir; nil selects store.Open.
	OpenStore func(dir string) (Store, error)
	// CompactEvery is the number of applied entries between two snapshots;
	// zero selects DefaultCompactEvery.
	CompactEvery uint64
	// Metering are the settings of the usage reports; the zero value disables them. They are sent
	// only if UsageReporter and View are set as well. UsageSource replaces the counts that this
	// host collects, in tests.
	Metering      metering.Config
	UsageReporter UsageReporter
	UsageSource   metering.TallySource
	// View has the configuration lease of this host, without which no report is sent.
	View view.Source
}

// Store keeps the durable state of a control host. Save stores all of its argument or, if it
// fails, nothing, and may be called again.
type Store interface {
	Load() (consensus.Stored, error)
	Save(consensus.Durable) error
	Reset() error
	Close() error
}

// openStore opens a data folder.
func openStore(dir string) (Store, error) {
	st, err := store.Open(dir, store.Options{})
	if err != nil {
		return nil, err
	}
	return st, nil
}

// DefaultCompactEvery is the number of applied entries between two snapshots.
const DefaultCompactEvery = 4096

// eventQueueSize is the number of events that can wait for the goroutine of a Host
// or a Subscriber.
const eventQueueSize = 4096

// Host is the control role of one host. The goroutine of Run owns all its state;
// other goroutines communicate with it by events.
type Host struct {
	opts    Options
	log     *log.Logger
	metrics *hostMetrics
	events  chan event
	// knownLeader is for proposers in other goroutines.
	knownLeader atomic.Pointer[leaderInfo]

	node *consensus.Node
	// formerContacts are the control hosts that the node knew when its data folder was last cleared.
	formerContacts []string
	// departures are the calls of LeaveGroup that wait.
	departures []chan struct{}
	// position is the position in the log up to which it is applied, for other goroutines.
	position atomic.Uint64
	orders   orderGuard
	store    Store
	state    *agreed.State
	recent   recentStates
	broker   *lease.Broker

	subscribers  map[lease.ID]*subscription
	pushes       pushState
	proposals    map[uint64]pendingProposal
	pendingReads pendingReads
	announced    map[string]announcedEndpoint // by endpoint ID
	// joinPositions are the positions required to join a group, by service.
	joinPositions map[string]joinPosition
	hostWatch     hostWatch
	// registered holds the registered processes of the state.
	registered    []lease.ID
	roundDeadline time.Time // when the lease round in flight times out
	nextRound     time.Time // when the next lease round is due
	nextTasks     time.Time // when the periodic tasks are due
	waitingFor    string    // the host that registrations wait for, as last logged
	saveErr       error     // of the last save to the store, nil after a success

	leading bool
	// confirmed is set once a quorum has confirmed this leader in its term. Only a
	// confirmed leader runs the leader's tasks.
	confirmed   bool
	confirmedAt time.Time
	term        uint64
	failover    *failoverDriver
	usage       *usageDriver
	// loadedAt is when this host loaded its store, startedEmpty whether it belonged to no group then, and
	// firstLedAt when it first became the leader. held counts the proposals whose acknowledgement is held
	// back.
	loadedAt, firstLedAt time.Time
	startedEmpty         bool
	held                 int
	// loggedBytes is the size of the entries applied since the last snapshot, snapshotBytes that of the
	// snapshot.
	loggedBytes, snapshotBytes int
	// usageRefused is the highest fence under which a report of this process was refused.
	usageRefused atomic.Uint64
	// confirming is the last confirmation that was requested, and quorumAt when the last one that
	// succeeded was requested.
	confirming confirmation
	quorumAt   time.Time
	ownerWatch ownerWatch
	// formerLeader is the leader that this host has followed, and formerHeard when it was
	// last heard.
	formerLeader string
	formerHeard  time.Time
	// proposedSilent is the last proposal of updateOwners, nil if it was applied.
	proposedSilent *silentProposal
	// tallies collects the counts of entry hosts. It is nil if usage reports are disabled, and
	// outlives a restart of Run.
	tallies *usageCollector
}

// leaderInfo is the role of this host and the known leader, empty for none.
type leaderInfo struct {
	leading bool
	leader  string
}

// event is a message to the goroutine of a Host.
type event interface {
	handle(h *Host, now time.Time)
}

// New returns a Host and registers its handlers with the peer node. Call it
// before the node runs.
func New(opts Options) *Host {
	if opts.CompactEvery == 0 {
		opts.CompactEvery = DefaultCompactEvery
	}
	if opts.OpenStore == nil {
		opts.OpenStore = openStore
	}
	if opts.Logger == nil {
		opts.Logger = log.Default()
	}
	h := &Host{opts: opts, log: opts.Logger, metrics: newHostMetrics(opts.Registry), events: make(chan event, eventQueueSize)}
	h.metrics.usage = newUsageMetrics(opts.Registry, opts.Metering.Window > 0)
	// The broker outlives a restart of Run: leases that it has relayed still count.
	h.broker = lease.NewBroker(opts.Lease, initialSeq())
	h.knownLeader.Store(&leaderInfo{})
	h.registerHandlers()
	h.tallies = newUsageCollector(h)
	if h.opts.UsageSource == nil && h.tallies != nil {
		h.opts.UsageSource = h.tallies
	}
	return h
}

// post queues an event without blocking and reports whether there was space. A
// dropped event is harmless: senders repeat requests that are not answered.
func (h *Host) post(e event) bool {
	select {
	case h.events <- e:
		return true
	default:
		return false
	}
}

// Run opens the store and serves until ctx ends.
func (h *Host) Run(ctx context.Context) error {
	if err := h.open(); err != nil {
		return err
	}
	defer h.close()
	ticker := time.NewTicker(consensus.DefaultTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			h.tick(clock.Now())
		case e := <-h.events:
			h.handleBatch(e)
		}
		if err := h.process(clock.Now()); err != nil {
			return err
		}
	}
}

// maxEventBatch limits the queued events handled before the output of consensus.
const maxEventBatch = 256

// handleBatch handles an event and those queued behind it, so that one sync of
// the store covers many proposals.
func (h *Host) handleBatch(e event) {
	e.handle(h, clock.Now())
	for range maxEventBatch {
		select {
		case e = <-h.events:
			e.handle(h, clock.Now())
		default:
			return
		}
	}
}

// open opens the store and loads its content.
func (h *Host) open() error {
	st, err := h.opts.OpenStore(h.opts.DataDir)
	if err != nil {
		return err
	}
	h.store = st
	if err := h.load(); err != nil {
		_ = st.Close()
		return err
	}
	return nil
}

// load creates the consensus node and the state from the store, and resets all
// soft state.
func (h *Host) load() error {
	stored, err := h.store.Load()
	if err != nil {
		return err
	}
	state, err := decodeSnapshot(stored.Snapshot)
	if err != nil {
		return err
	}
	if err := h.checkFleet(state); err != nil {
		return err
	}
	node, err := consensus.New(h.consensusConfig(), stored)
	if err != nil {
		return err
	}
	h.node = node
	h.state = state
	h.recent = recentStates{}
	h.recent.add(state)
	h.registered = registeredProcesses(state)
	h.node.SetControlHosts(controlHosts(state))
	h.broker.AbortRound()
	h.subscribers = make(map[lease.ID]*subscription)
	h.pushes = pushState{}
	h.proposals, h.held = make(map[uint64]pendingProposal), 0
	h.pendingReads = newPendingReads()
	h.announced = make(map[string]announcedEndpoint)
	h.joinPositions = make(map[string]joinPosition)
	h.hostWatch = newHostWatch(h.opts.Lease.Duration)
	h.orders = newOrderGuard(stored.Snapshot.Index)
	h.position.Store(stored.Snapshot.Index)
	h.leading, h.confirmed = false, false
	h.confirming, h.quorumAt = confirmation{}, time.Time{}
	h.loggedBytes, h.snapshotBytes = 0, len(stored.Snapshot.Data)
	h.loadedAt, h.startedEmpty = clock.Now(), stored.Hard.Fleet == 0
	return nil
}

// initialSeq returns a start for request numbers that exceeds those used by earlier
// runs in the same process.
func initialSeq() uint64 { return uint64(time.Now().UnixNano()) >> 1 }

// checkFleet returns an error if the state belongs to another fleet.
func (h *Host) checkFleet(s *agreed.State) error {
	if s.Fleet != "" && s.Fleet != h.opts.Fleet {
		return result.New(result.PeerFleet, "the data folder belongs to fleet %q", s.Fleet)
	}
	return nil
}

// checkSnapshot returns an error for a snapshot of another control host that this one cannot use.
func (h *Host) checkSnapshot(data []byte) error {
	state, err := decodeSnapshot(consensus.Snapshot{Data: data})
	if err == nil {
		err = h.checkFleet(state)
	}
	if err != nil {
		h.metrics.snapshotsRefused.Inc()
		h.log.Error("snapshot_refused", "bytes", len(data), "err", err.Error())
	}
	return err
}

// decodeSnapshot returns the state of a snapshot, the empty state if there is none.
func decodeSnapshot(snap consensus.Snapshot) (*agreed.State, error) {
	if len(snap.Data) == 0 {
		return agreed.New(), nil
	}
	return agreed.Decode(snap.Data)
}

func (h *Host) consensusConfig() consensus.Config {
	cfg := consensus.Config{
		Host: h.opts.Peer.Host(), ToleratedLosses: h.opts.ToleratedLosses,
		Rand:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		CheckSnapshot: h.checkSnapshot,
	}
	isInitialVoter := false
	for _, c := range h.opts.Controls {
		if c.Host != cfg.Host {
			cfg.Peers = append(cfg.Peers, c.Host)
		}
		if c.Voter && h.opts.Bootstrap {
			cfg.InitialVoters = append(cfg.InitialVoters, c.Host)
			isInitialVoter = isInitialVoter || c.Host == cfg.Host
		}
	}
	cfg.FormWithoutLost = h.opts.OpenMembership
	if h.opts.OpenMembership && !isInitialVoter {
		cfg.InitialVoters = nil // a host that is not a seed waits to be admitted
	}
	return cfg
}

// close ends the leadership, fails pending proposals and reads, and closes the store.
func (h *Host) close() {
	h.stopLeading()
	h.knownLeader.Store(&leaderInfo{})
	for index := range h.proposals {
		h.answerProposal(index, agreed.Outcome{}, result.New(result.NoQuorum, "the control host is stopping"))
	}
	h.pendingReads.failAll()
	if err := h.store.Close(); err != nil {
		h.log.Error("store_close_failed", "err", err.Error())
	}
}

// addr returns the peer address of a control host, empty when unknown.
func (h *Host) addr(host string) string {
	if addr := h.controlAddr(host); addr != "" {
		return addr
	}
	return h.state.Hosts[host].PeerAddr
}

// errQueueFull is returned when the event queue of a Host has no space, for example after
// Run has ended.
var errQueueFull = errors.New("the control role is overloaded or stopped")
