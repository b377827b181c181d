package control

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/config"
	"github.com/galenabridge/galenabridge/internal/lease"
	"github.com/galenabridge/galenabridge/internal/peer"
	"github.com/galenabridge/galenabridge/internal/view"
)

// TestSettlesRegistration checks that the settled revision is pushed only when a process waits
// for it.
func TestSettlesRegistration(t *testing.T) {
	state := agreed.New()
	state.Hosts["a"] = agreed.Host{ID: "a", Registered: 5}
	for _, c := range []struct {
		before, settled uint64
		want            bool
	}{{4, 4, false}, {4, 5, true}, {0, 9, true}, {5, 9, false}} {
		if got := settlesRegistration(state, c.before, c.settled); got != c.want {
			t.Errorf("from %d to %d: got %t, want %t", c.before, c.settled, got, c.want)
		}
	}
}

// TestSettledPushValidatesView gives a process a lease before its registration has settled, as
// all hosts of a fleet that registers. It guards against a wait for the next answer to a lease
// request, and against a push of a control host that is not the upstream.
func TestSettledPushValidatesView(t *testing.T) {
	node := peer.NewNode(peer.Options{Host: "e", Fleet: "test", Secret: "0123456789abcdef", Incarnation: 1, Registry: prometheus.NewRegistry(), Logger: log.New(io.Discard)})
	published := view.NewPublisher()
	s := NewSubscriber(SubscriberOptions{
		Fleet: "test", Entry: true, Controls: []config.ControlHost{{Host: "c"}}, Peer: node, Lease: lease.DefaultConfig(),
		Logger: log.New(io.Discard), Registry: prometheus.NewRegistry(), View: published,
	})
	now := time.Now()
	s.holder = lease.NewHolder(s.opts.Lease, 0)
	s.state = agreed.New()
	s.state.Revision = 9
	s.state.Hosts["e"] = agreed.Host{ID: "e", Incarnation: 1, Registered: 7}
	request := s.holder.Renew(now, 9)
	s.holder.HandleRenewOK(lease.RenewOK{Seq: request.Seq, Revision: 9, Settled: 6})
	s.publish()
	if published.Current().Valid() {
		t.Fatal("valid before the registration has settled")
	}
	settledEvent{from: "other", settled: 9}.handle(s, now)
	if published.Current().Valid() {
		t.Error("valid by the push of another control host")
	}
	settledEvent{from: "c", settled: 9}.handle(s, now)
	if !published.Current().Valid() {
		t.Error("not valid although the registration has settled")
	}
}

// TestRelayPassesSettledOfItsLeader checks that a relay believes only the leader that it knows.
func TestRelayPassesSettledOfItsLeader(t *testing.T) {
	h := newPushHost(t, 3)
	h.broker = lease.NewBroker(lease.DefaultConfig(), 0)
	h.knownLeader.Store(&leaderInfo{leader: "leader"})
	relaySettledEvent{from: "former", settled: 9}.handle(h, time.Unix(100, 0))
	if got := h.broker.Settled(); got != 0 {
		t.Errorf("settled %d by a host that is not the leader, want 0", got)
	}
	relaySettledEvent{from: "leader", settled: 9}.handle(h, time.Unix(100, 0))
	if got := h.broker.Settled(); got != 9 {
		t.Errorf("settled %d, want 9", got)
	}
}
