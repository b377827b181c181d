package capacity

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenabridge/galenabridge/internal/config"
	"github.com/galenabridge/galenabridge/internal/control"
	"github.com/galenabridge/galenabridge/internal/lease"
	"github.com/galenabridge/galenabridge/internal/peer"
	"github.com/galenabridge/galenabridge/internal/view"
)

// simulatedHosts is a growing set of entry hosts in this process. They subscribe
// to the agreed state at the relay and renew their configuration leases, but serve
// no callers.
type simulatedHosts struct {
	system System
	ctx    context.Context
	stop   context.CancelFunc
	tasks  sync.WaitGroup
	hosts  []*simulatedHost
}

// simulatedHost is a host with its own peer node. publisher holds the view that
// subscriber maintains.
type simulatedHost struct {
	subscriber *control.Subscriber
	publisher  *view.Publisher
}

func newSimulatedHosts(system System) *simulatedHosts {
	ctx, stop := context.WithCancel(context.Background())
	return &simulatedHosts{system: system, ctx: ctx, stop: stop}
}

// grow adds hosts until there are n, and waits until all of them hold a lease.
func (s *simulatedHosts) grow(n int) error {
	for len(s.hosts) < n {
		if err := s.add(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(leaseWaitTimeout)
	for _, h := range s.hosts {
		for !h.publisher.Current().Valid() {
			if time.Now().After(deadline) {
				return errors.Errorf("not all of %d subscribers obtained a lease within %s", n, leaseWaitTimeout)
			}
			time.Sleep(leasePollInterval)
		}
	}
	return nil
}

// Wait for the leases of new hosts.
const (
	leaseWaitTimeout  = 2 * time.Minute
	leasePollInterval = 20 * time.Millisecond
)

// add starts one more host.
func (s *simulatedHosts) add() error {
	logger := log.New(io.Discard)
	node := peer.NewNode(peer.Options{
		Host:  fmt.Sprintf("light-%d", len(s.hosts)),
		Fleet: s.system.Fleet, Secret: s.system.Secret,
		Incarnation: uint64(time.Now().UnixNano()),
		Listen:      "127.0.0.1:0",
		Registry:    prometheus.NewRegistry(), Logger: logger,
	})
	if err := node.Listen(); err != nil {
		return err
	}
	h := &simulatedHost{publisher: view.NewPublisher()}
	h.subscriber = control.NewSubscriber(control.SubscriberOptions{
		Fleet: s.system.Fleet, Domain: s.system.Domain, Entry: true,
		Controls: []config.ControlHost{{Host: s.system.RelayHost, Addr: s.system.RelayPeer}},
		Peer:     node, Lease: lease.DefaultConfig(), Logger: logger, View: h.publisher,
	})
	s.tasks.Go(func() { _ = node.Run(s.ctx) })
	s.tasks.Go(func() { _ = h.subscriber.Run(s.ctx) })
	s.hosts = append(s.hosts, h)
	return nil
}

// close stops all hosts and waits for their tasks.
func (s *simulatedHosts) close() {
	s.stop()
	s.tasks.Wait()
}
