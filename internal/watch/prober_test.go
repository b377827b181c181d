package watch

import (
	"context"
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/failover"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/standin"
)

const testTimeout = 30 * time.Second

func startGroup(t *testing.T) *standin.Group {
	t.Helper()
	group, err := standin.NewGroup(standin.Options{Service: "s", Database: "db", ReplayLag: -1}, 3, nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = group.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return group
}

func TestProbeReportsRolesAndPromotion(t *testing.T) {
	group := startGroup(t)
	p := NewProber()
	defer p.CloseExcept(func(string) bool { return false })
	service := note.Service{Name: "s", Database: "db", User: standin.DefaultUser}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	primary := agreed.Endpoint{ID: "s-1", Service: "s", Addr: group.Servers[0].Addr()}
	replica := agreed.Endpoint{ID: "s-2", Service: "s", Addr: group.Servers[1].Addr()}

	before := p.Probe(ctx, service, primary)
	if !before.Reachable || before.InRecovery || before.Timeline != 1 {
		t.Errorf("condition of the primary %+v, want out of recovery on timeline 1", before)
	}
	if c := p.Probe(ctx, service, replica); !c.Reachable || !c.InRecovery {
		t.Errorf("condition of the replica %+v, want in recovery", c)
	}
	for range 2 { // the second order has no effect
		outcome, err := p.Promote(ctx, failover.Order{Service: service, Endpoint: replica})
		if err != nil || outcome != failover.OrderAccepted {
			t.Fatal(outcome, err)
		}
	}
	c := p.Probe(ctx, service, replica)
	if c.InRecovery || c.Timeline != before.Timeline+1 {
		t.Errorf("condition after the promotion %+v, want out of recovery on the next timeline", c)
	}
}

func TestProbeReportsLostEndpoint(t *testing.T) {
	group := startGroup(t)
	p := NewProber()
	defer p.CloseExcept(func(string) bool { return false })
	service := note.Service{Name: "s", Database: "db", User: standin.DefaultUser}
	e := agreed.Endpoint{ID: "s-1", Service: "s", Addr: group.Servers[0].Addr()}
	if c := p.Probe(context.Background(), service, e); !c.Reachable {
		t.Fatalf("condition before the loss %+v, want reachable", c)
	}
	group.Servers[0].Kill()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if c := p.Probe(ctx, service, e); c.Reachable {
		t.Errorf("condition after the loss %+v, want unreachable", c)
	}
}
