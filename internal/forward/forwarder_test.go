package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/core"
	"github.com/galenabridge/galenabridge/internal/peer"
	"github.com/galenabridge/galenabridge/internal/view"
)

// testFleetHosts is the number of hosts of a fleet in which not all are at home everywhere.
const testFleetHosts = 20

// testFleet is a fleet of which the first host, "caller", forwards statements. Of the others
// only those that were started run.
type testFleet struct {
	t         *testing.T
	view      *view.Publisher
	state     *agreed.State
	caller    *peer.Node
	forwarder *Forwarder
}

func newNode(t *testing.T, host, listen string, register func(*peer.Node)) (node *peer.Node, stop func()) {
	t.Helper()
	n := peer.NewNode(peer.Options{
		Host: host, Fleet: "fleet", Secret: "a secret of the fleet", Incarnation: uint64(time.Now().UnixNano()),
		Listen: listen, Registry: prometheus.NewRegistry(), Logger: log.New(io.Discard),
	})
	if register != nil {
		register(n)
	}
	if err := n.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Run(ctx)
	}()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return n, stop
}

func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	f := &testFleet{t: t, view: view.NewPublisher(), state: agreed.New()}
	f.caller, _ = newNode(t, "caller", "127.0.0.1:0", nil)
	f.state.Hosts, f.state.HostsChanged = map[string]agreed.Host{}, 1
	for i := range testFleetHosts {
		id := fmt.Sprintf("host%d", i)
		f.state.Hosts[id] = agreed.Host{ID: id, PeerAddr: "127.0.0.1:1", Domain: fmt.Sprint("d", i%4), Incarnation: 1, Entry: true}
	}
	f.publish()
	f.forwarder = New(f.caller, f.view, log.New(io.Discard), nil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.forwarder.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return f
}

func (f *testFleet) publish() {
	next := *f.state
	f.view.Publish(view.View{State: &next, ValidUntil: clock.Now().Add(time.Hour)})
}

// startHome starts a home host that answers statements and probes with the given responses.
func (f *testFleet) startHome(host string, answer statementResponse, accepts bool) (stop func()) {
	f.t.Helper()
	node, stop := newNode(f.t, host, "127.0.0.1:0", func(n *peer.Node) {
		peer.OnCall(n, peer.KindStatement, func(context.Context, peer.Identity, statementRequest) (statementResponse, error) { return answer, nil })
		peer.OnCall(n, peer.KindStatementProbe, func(context.Context, peer.Identity, probe) (probeAnswer, error) {
			return probeAnswer{Accepts: accepts}, nil
		})
	})
	record := f.state.Hosts[host]
	record.PeerAddr = node.Addr()
	f.state.Hosts[host] = record
	f.state.HostsChanged++
	f.publish()
	return stop
}

func (f *testFleet) forward(host string) (core.RemoteResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	return f.forwarder.Forward(ctx, host, core.RemoteRequest{Statement: core.Statement{Kind: core.Write}, Remaining: time.Second, MayDecline: true})
}

// awaitRoute waits until a host is the first that a workspace's statements go to, or is not.
func (f *testFleet) awaitRoute(host string, first bool) {
	f.t.Helper()
	for end := time.Now().Add(time.Minute); (f.forwarder.Route("service", "crew", false)[0] == host) != first; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("%s first among the hosts: want %v", host, first)
		}
	}
}

// TestUnreachableHomeHostAvoided checks that a statement for a host that is down is known
// not to have run, and that the host gets no further statements until it answers.
func TestUnreachableHomeHostAvoided(t *testing.T) {
	f := newTestFleet(t)
	home := f.forwarder.Route("service", "crew", false)[0]
	if _, err := f.forward(home); !errors.Is(err, core.ErrNotRun) {
		t.Fatalf("got %v, want ErrNotRun", err)
	}
	if got := f.forwarder.Route("service", "crew", false)[0]; got == home {
		t.Error("the host that is down is still asked first")
	}
	f.startHome(home, statementResponse{Signature: "sig"}, true)
	f.awaitRoute(home, true)
	if r, err := f.forward(home); err != nil || r.Signature != "sig" {
		t.Errorf("got %+v, %v; want the answer of the host", r, err)
	}
}

// TestUnavailableHomeHostAvoided checks that a host that declines all statements gets none,
// and one that declines a single statement is still asked.
func TestUnavailableHomeHostAvoided(t *testing.T) {
	f := newTestFleet(t)
	home := f.forwarder.Route("service", "crew", false)[0]
	stop := f.startHome(home, statementResponse{Declined: true}, false)
	if r, err := f.forward(home); err != nil || !r.Declined {
		t.Fatalf("got %+v, %v; want the statement declined", r, err)
	}
	if got := f.forwarder.Route("service", "crew", false)[0]; got != home {
		t.Error("a host that declined one statement is avoided")
	}
	stop()
	f.startHome(home, statementResponse{Declined: true, Unavailable: true}, false)
	for range 100 { // until the caller has noticed the new process
		if _, err := f.forward(home); err == nil {
			break
		}
	}
	if got := f.forwarder.Route("service", "crew", false)[0]; got == home {
		t.Error("a host that declines all statements is still asked first")
	}
	f.state.Hosts = map[string]agreed.Host{}
	f.state.HostsChanged++
	f.publish()
	for end := time.Now().Add(time.Minute); len(f.forwarder.avoidedHosts()) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a host that has left the fleet is still probed")
		}
	}
}
