package control_test

import (
	"context"
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/control"
	"github.com/galenabridge/galenabridge/internal/metering"
)

// usage returns the counts of a workspace in all windows that a control host retains.
func (h *testHost) tally(t *testing.T, window time.Duration, workspace string) (n uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	current := time.Now().UnixNano() / int64(window)
	for w := current - metering.RetainedWindows; w <= current+1; w++ {
		r, err := h.control.UsageReading(ctx, w)
		if err != nil {
			t.Fatal(err)
		}
		n += r.Counts[workspace]
	}
	return n
}

// TestUsageSurvivesLeader guards against counts that are lost with the leader, and against paths
// that are not connected: what an entry host has reported, which is stopped before the leader is,
// is known to the next leader.
func TestUsageSurvivesLeader(t *testing.T) {
	cfg := metering.Config{Window: 5 * time.Second}
	f := newMeteredFleet(t, 3, cfg)
	e := f.start("e")
	f.waitValid("c0", "c1", "c2", "e")
	f.propose("c0", testNote(1, "workspaces"), 0)
	f.waitNote(1, "c0", "c1", "c2", "e")
	counter := metering.NewCounter(cfg.Window, metering.Process{Host: "e", Incarnation: e.peer.Incarnation()})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = control.NewUsageSender(e.peer, e.subscriber, counter, logger()).Run(ctx) }()
	for range 100 {
		counter.Begin(clock.Now(), time.Now(), "w1")
		counter.Begin(clock.Now(), time.Now(), "not in the catalog")
	}
	controls := []string{"c0", "c1", "c2"}
	stored := func(names ...string) (hosts int) {
		for _, name := range names {
			if f.hosts[name].tally(t, cfg.Window, "w1") == 100 {
				hosts++
			}
		}
		return hosts
	}
	waitFor(t, "the counts at two control hosts", func() bool { return stored(controls...) >= 2 })
	e.stop()
	leader := f.leader(controls...)
	f.hosts[leader].stop()
	var others []string
	for _, name := range controls {
		if name != leader {
			others = append(others, name)
		}
	}
	next := f.leader(others...)
	waitFor(t, "the counts at the next leader", func() bool { return stored(next) == 1 })
	if n := f.hosts[next].tally(t, cfg.Window, "not in the catalog"); n != 0 {
		t.Errorf("%d requests of a workspace that is not in the catalog", n)
	}
}
