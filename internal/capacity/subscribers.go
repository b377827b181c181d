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

// swarm is a growing set of light entry hosts in this process: they follow the
// agreed state through one control host and renew their leases, but serve no
// callers.
type swarm struct {
	system  System
	ctx     context.Context
	stop    context.CancelFunc
	tasks   sync.WaitGroup
	members []*swarmMember
}

type swarmMember struct {
	subscriber *control.Subscriber
	view       *view.Publisher
}

func newSwarm(system System) *swarm {
	ctx, stop := context.WithCancel(context.Background())
	return &swarm{system: system, ctx: ctx, stop: stop}
}

// grow adds subscribers until there are n, and waits until all hold a lease.
func (s *swarm) grow(n int) error {
	for len(s.members) < n {
		if err := s.add(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(settleTimeout)
	for _, m := range s.members {
		for !m.view.Current().Valid() {
			if time.Now().After(deadline) {
				return errors.Errorf("%d subscribers did not all get a lease in %s", n, settleTimeout)
			}
			time.Sleep(settlePoll)
		}
	}
	return nil
}

const (
	settleTimeout = 2 * time.Minute
	settlePoll    = 20 * time.Millisecond
)

func (s *swarm) add() error {
	logger := log.New(io.Discard)
	node := peer.NewNode(peer.Options{
		Host:  fmt.Sprintf("light-%d", len(s.members)),
		Fleet: s.system.Fleet, Secret: s.system.Secret,
		Incarnation: uint64(time.Now().UnixNano()),
		Listen:      "127.0.0.1:0",
		Registry:    prometheus.NewRegistry(), Logger: logger,
	})
	if err := node.Listen(); err != nil {
		return err
	}
	m := &swarmMember{view: view.NewPublisher()}
	m.subscriber = control.NewSubscriber(control.SubscriberOptions{
		Fleet: s.system.Fleet, Domain: s.system.Domain, Entry: true,
		Controls: []config.ControlHost{{Host: s.system.RelayHost, Addr: s.system.RelayPeer}},
		Peer:     node, Lease: lease.DefaultConfig(), Logger: logger, View: m.view,
	})
	s.tasks.Go(func() { _ = node.Run(s.ctx) })
	s.tasks.Go(func() { _ = m.subscriber.Run(s.ctx) })
	s.members = append(s.members, m)
	return nil
}

func (s *swarm) close() {
	s.stop()
	s.tasks.Wait()
}
