package core

import (
	"context"
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/note"
)

// TestReadAvoidsEndpointWithQueue guards against reads that queue at the nearest endpoint while
// the slots of others are free. The statements that wait there are not in progress yet.
func TestReadAvoidsEndpointWithQueue(t *testing.T) {
	f := newFixture(t)
	for _, id := range []string{"p", "r2"} {
		ep := f.state.Endpoints[id]
		ep.Domain = "remote"
		f.state.Endpoints[id] = ep
	}
	f.publish(time.Hour)
	pick := func() string {
		c, err := f.server.pickEndpoint(clock.Now(), need{service: "logs", workspace: "crew"})
		if err != nil {
			t.Fatal(err)
		}
		return c.endpoint.record.ID
	}
	if got := pick(); got != "r1" {
		t.Fatalf("chose %s, want the endpoint in the failure domain of the host", got)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &Session{srv: f.server, workspace: "crew"}
	request := s.slotRequest(choice{endpoint: f.server.endpoint(f.state.Endpoints["r1"])}, note.Route{Class: note.ClassInteractive}, time.Time{})
	for {
		release, ok := f.server.gate.TryAcquireSlot(request)
		if !ok {
			break
		}
		defer release()
	}
	const waiting = 10
	for range waiting {
		go func() {
			if release, err := f.server.gate.AcquireSlot(ctx, request); err == nil {
				release()
			}
		}()
	}
	eventually(t, "the requests do not wait", func() bool { return f.server.gate.Waiting("r1") == waiting })
	if got := pick(); got == "r1" {
		t.Error("chose the endpoint where statements wait, want one with free slots")
	}
}
