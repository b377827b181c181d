// Package bridge is the library entry point: it builds a host of galenabridge
// from its settings and runs it under a supervisor tree.
package bridge

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/galenabridge/galenabridge/internal/admin"
	"github.com/galenabridge/galenabridge/internal/config"
	"github.com/galenabridge/galenabridge/internal/control"
	"github.com/galenabridge/galenabridge/internal/entry"
	"github.com/galenabridge/galenabridge/internal/lease"
	"github.com/galenabridge/galenabridge/internal/limits"
	"github.com/galenabridge/galenabridge/internal/peer"
	"github.com/galenabridge/galenabridge/internal/view"
	"github.com/galenabridge/galenabridge/internal/watch"
)

// Policy selects how requests are admitted and routed.
type Policy string

// Policies.
const (
	// PolicyFair admits by class and workspace, and reads from replicas.
	PolicyFair Policy = "fair"
	// PolicyFIFO admits in order of arrival and uses the primary only. It is the
	// baseline of benchmarks.
	PolicyFIFO Policy = "fifo"
)

// Options configure a Host.
type Options struct {
	Settings *config.Settings
	// Logger receives events; nil discards them.
	Logger *log.Logger
	// Policy is PolicyFair when empty.
	Policy Policy
}

// deregisterTimeout bounds the deregistration at shutdown.
const deregisterTimeout = 3 * time.Second

// Host is one host of galenabridge. A Host runs once.
type Host struct {
	opts        Options
	settings    *config.Settings
	leaseConfig lease.Config
	log         *log.Logger
	registry    *prometheus.Registry
	peers       *peer.Node
	view        *view.Publisher
	subscriber  *control.Subscriber
	control     *control.Host
	owner       *limits.Owner
	holder      *limits.Holder
	entry       *entry.Server
	admin       *admin.Server
	// accepting is set while the entry role accepts callers. It is part of the balancer's
	// health check.
	accepting atomic.Bool
}

// New builds a host and opens its listeners. Run must follow, since only Run serves and
// closes them.
func New(opts Options) (*Host, error) {
	if opts.Settings == nil {
		return nil, errors.New("bridge: settings are required")
	}
	if opts.Logger == nil {
		opts.Logger = log.New(io.Discard)
	}
	h := &Host{
		opts:        opts,
		settings:    opts.Settings,
		leaseConfig: lease.DefaultConfig(),
		log:         opts.Logger.With("host", opts.Settings.Host),
		registry:    prometheus.NewRegistry(),
		view:        view.NewPublisher(),
	}
	h.registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	if err := h.build(); err != nil {
		return nil, errors.Wrapf(err, "host %s", opts.Settings.Host)
	}
	return h, nil
}

func (h *Host) build() error {
	if err := h.buildPeers(); err != nil {
		return err
	}
	h.buildControl()
	if err := h.buildEntry(); err != nil {
		return err
	}
	return h.buildAdmin()
}

func (h *Host) buildPeers() error {
	tlsConfig, err := peer.LoadTLS(h.settings.Peer.TLS)
	if err != nil {
		return err
	}
	h.peers = peer.NewNode(peer.Options{
		Host:        h.settings.Host,
		Fleet:       h.settings.Fleet,
		Secret:      h.settings.FleetSecret,
		Incarnation: uint64(time.Now().UnixNano()),
		Listen:      h.settings.Peer.Listen,
		Advertise:   advertiseAddr(h.settings.Peer),
		TLS:         tlsConfig,
		Registry:    h.registry,
		Logger:      h.log,
	})
	return h.peers.Listen()
}

// advertiseAddr returns the address to advertise. It is empty when the settings give none
// other than the listen address: the peer listener then advertises its actual address,
// since the listen address may have port 0.
func advertiseAddr(p config.Peer) string {
	if p.Advertise == p.Listen {
		return ""
	}
	return p.Advertise
}

func (h *Host) buildControl() {
	if c := h.settings.Control; c != nil {
		h.control = control.New(control.Options{
			Fleet:           h.settings.Fleet,
			DataDir:         c.DataDir,
			Bootstrap:       c.Bootstrap,
			Controls:        h.settings.Controls,
			Peer:            h.peers,
			Lease:           h.leaseConfig,
			Logger:          h.log,
			EndpointManager: watch.NewProber(),
			Registry:        h.registry,
		})
		h.owner = limits.NewOwner(h.peers, h.view, limits.DefaultConfig(), h.log)
	}
	control.ServeEndpointRequests(h.peers, h.view, watch.NewProber())
	h.subscriber = control.NewSubscriber(control.SubscriberOptions{
		Fleet:    h.settings.Fleet,
		Domain:   h.settings.Domain,
		Entry:    h.settings.Entry != nil,
		Control:  h.settings.Control != nil,
		Controls: h.settings.Controls,
		Peer:     h.peers,
		Lease:    h.leaseConfig,
		Logger:   h.log,
		View:     h.view,
		Registry: h.registry,
	})
}

func (h *Host) buildEntry() error {
	if h.settings.Entry == nil {
		return nil
	}
	link := entry.NewPeerLink(h.peers, h.view)
	opts := entry.Options{
		Settings:        h.settings,
		View:            h.view,
		Peers:           link,
		CancelForwarder: link,
		Log:             h.log,
		Registerer:      h.registry,
	}
	h.holder = limits.NewHolder(h.peers, h.view, limits.DefaultConfig(), h.log)
	if h.opts.Policy == PolicyFIFO {
		opts.Baseline = true
		opts.Limiter = limits.NewStatic(h.view)
	} else {
		opts.Limiter = h.holder
		opts.Connections = h.holder.Connections
		opts.Slots = h.holder.Slots
	}
	server, err := entry.NewServer(opts)
	if err != nil {
		return err
	}
	h.entry = server
	h.holder.SetPool(server)
	server.ServePeers(h.peers)
	return nil
}

// PeerAddr returns the address that other hosts dial.
func (h *Host) PeerAddr() string { return h.peers.Addr() }

// CallerAddr returns the address that callers connect to, empty without the
// entry role.
func (h *Host) CallerAddr() string {
	if h.entry == nil {
		return ""
	}
	return h.entry.Addr().String()
}

// AdminAddr returns the address of the admin interface.
func (h *Host) AdminAddr() string { return h.admin.Addr().String() }
