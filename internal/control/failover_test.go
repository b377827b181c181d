package control_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/announce"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/standin"
)

// serveAnnouncements serves the announcement handler on a host and returns its
// address.
func (f *fleet) serveAnnouncements(name string) string {
	h := f.hosts[name]
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle("POST /v1/announce", announce.NewHandler(h.view, h.subscriber))
	server := &http.Server{Handler: mux}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l)
	}()
	f.t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	return l.Addr().String()
}

// startGroup starts three database endpoints that announce themselves to all hosts.
func (f *fleet) startGroup() *standin.Group {
	f.t.Helper()
	var admins []string
	for name := range f.hosts {
		admins = append(admins, f.serveAnnouncements(name))
	}
	group, err := standin.NewGroup(standin.Options{
		Service: "log", Database: "db", ConnectDelay: -1, ReplayLag: -1,
		Admins: admins, AnnounceInterval: 50 * time.Millisecond,
	}, 3, []string{"x", "y", "z"})
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = group.Run(ctx)
	}()
	f.t.Cleanup(func() {
		cancel()
		<-done
	})
	return group
}

// addService proposes the service of the group.
func (f *fleet) addService() {
	n := note.Note{Number: 1, Title: "service"}
	n.Added.Services = []note.Service{{
		Name: "log", Endpoints: 3, Slots: 5, Connections: 30, Database: "db", User: standin.DefaultUser,
	}}
	f.propose("c0", agreed.Command{ApplyNote: &agreed.ApplyNote{Note: n}}, 0)
}

// group returns the group in the view of a host.
func (h *testHost) group() agreed.Group {
	if s := h.view.Current().State; s != nil {
		return s.Groups["log"]
	}
	return agreed.Group{}
}

func TestFailoverReplacesPrimary(t *testing.T) {
	f := newFleet(t, 3)
	f.waitValid("c0", "c1", "c2")
	f.addService()
	group := f.startGroup()
	waitFor(t, "an active group with three members", func() bool {
		g := f.hosts["c1"].group()
		return g.Phase == agreed.PhaseActive && len(g.Members) == 3
	})
	first := f.hosts["c1"].group()
	if first.Term != 1 || first.Primary != "log-1" {
		t.Fatalf("group %+v, want term 1 with primary log-1", first)
	}
	group.Servers[0].Kill()
	waitFor(t, "another active primary", func() bool {
		g := f.hosts["c1"].group()
		return g.Phase == agreed.PhaseActive && g.Term > first.Term
	})
	second := f.hosts["c1"].group()
	if second.Primary == first.Primary || second.Timeline <= first.Timeline {
		t.Fatalf("group %+v, want another primary on a later timeline", second)
	}
}

// TestFailoverWhileLeaderIsolated isolates the control leader and kills the primary:
// the new leader must promote another one, and the isolated host must not act under
// the sealed term.
func TestFailoverWhileLeaderIsolated(t *testing.T) {
	f := newFleet(t, 3)
	f.waitValid("c0", "c1", "c2")
	f.addService()
	group := f.startGroup()
	waitFor(t, "an active group with three members", func() bool {
		g := f.hosts["c1"].group()
		return g.Phase == agreed.PhaseActive && len(g.Members) == 3
	})
	old := f.leader("c0", "c1", "c2")
	f.net.isolate(old, true)
	group.Servers[0].Kill()
	for name, h := range f.hosts {
		if name == old {
			continue
		}
		waitFor(t, "another active primary on "+name, func() bool {
			g := h.group()
			return g.Phase == agreed.PhaseActive && g.Term > 1 && g.Primary != "log-1"
		})
	}
	if g := f.hosts[old].group(); f.hosts[old].valid() && g.Term == 1 {
		t.Error("the isolated host has a valid view with the sealed term")
	}
}

// TestFailoverThroughOtherHosts checks that a leader that reaches no endpoint itself
// probes and promotes through other hosts.
func TestFailoverThroughOtherHosts(t *testing.T) {
	f := newFleet(t, 1, "c0")
	f.start("e0")
	f.start("e1")
	f.waitValid("c0", "e0", "e1")
	f.addService()
	group := f.startGroup()
	waitFor(t, "an active group with three members", func() bool {
		g := f.hosts["c0"].group()
		return g.Phase == agreed.PhaseActive && len(g.Members) == 3
	})
	group.Servers[0].Kill()
	waitFor(t, "another active primary", func() bool {
		g := f.hosts["c0"].group()
		return g.Phase == agreed.PhaseActive && g.Term > 1 && g.Primary != "log-1"
	})
}

// TestNoPromotionWithoutMajority kills two of three endpoints. No endpoint may be
// promoted, and the status must contain the reason.
func TestNoPromotionWithoutMajority(t *testing.T) {
	f := newFleet(t, 1)
	f.waitValid("c0")
	f.addService()
	group := f.startGroup()
	waitFor(t, "an active group with three members", func() bool {
		g := f.hosts["c0"].group()
		return g.Phase == agreed.PhaseActive && len(g.Members) == 3
	})
	group.Servers[0].Kill()
	group.Servers[1].Kill()
	waitFor(t, "the status to contain the reason", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		s, err := f.hosts["c0"].subscriber.Status(ctx)
		return err == nil && len(s.Groups) == 1 && s.Groups[0].Phase == agreed.PhaseSealed && s.Groups[0].Waiting != ""
	})
	// The view is updated after the leader's status. No promotion may show until then.
	waitFor(t, "the sealed group in the view", func() bool {
		g := f.hosts["c0"].group()
		if g.Phase == agreed.PhaseActive && g.Term > 1 {
			t.Fatalf("promoted without a majority: %+v", g)
		}
		return g.Phase == agreed.PhaseSealed
	})
}
