package daemon

import (
	"context"
	"io"
	"net"

	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/galenabridge/galenabridge/internal/config"
	"github.com/galenabridge/galenabridge/internal/metering"
)

// startDaemon runs a host of a fleet whose control host is seed, or a control host without one.
func startDaemon(t *testing.T, seed string, window time.Duration) *Daemon {
	s := &config.Settings{Fleet: "f", Domain: "d", FleetSecret: "0123456789abcdef", Entry: &config.Entry{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.Host, s.Peer.Listen, s.Seeds = l.Addr().String(), l.Addr().String(), []string{seed}
	_ = l.Close()
	if seed == "" {
		s.Seeds, s.Control = []string{s.Host}, &config.Control{DataDir: t.TempDir(), Bootstrap: true}
	}
	d, err := New(Options{Settings: s, Logger: log.New(io.Discard), Metering: metering.Config{Window: window}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = d.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return d
}

// usageMessages returns the number of messages of usage reports that a host sent or received.
func usageMessages(t *testing.T, d *Daemon) (n float64) {
	families, err := d.Gatherer().Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		for _, m := range family.GetMetric() {
			for _, label := range m.GetLabel() {
				if label.GetValue() == "usage" {
					n += m.GetCounter().GetValue()
				}
			}
		}
	}
	return n
}

// TestUsageDisabled guards against a cost of usage reports where they are not required: without a
// window there is no message, no goroutine and no state. With one, the same checks find them.
func TestUsageDisabled(t *testing.T) {
	for name, window := range map[string]time.Duration{"disabled": 0, "enabled": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			control := startDaemon(t, "", window)
			entry := startDaemon(t, control.opts.Settings.Host, window)
			enabled := window > 0
			ready := func() bool { return entry.Ready() && (!enabled || usageMessages(t, entry) > 0) }
			for end := time.Now().Add(60 * time.Second); !ready(); time.Sleep(10 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("the hosts are not ready")
				}
			}
			stacks := make([]byte, 1<<20)
			stacks = stacks[:runtime.Stack(stacks, true)]
			_, err := control.Control().UsageReading(context.Background(), 1)
			if strings.Contains(string(stacks), "UsageSender") != enabled || usageMessages(t, entry) > 0 != enabled ||
				(entry.usage != nil) != enabled || entry.buildMeter() != nil != enabled || (err == nil) != enabled {
				t.Errorf("enabled: %t, but %v messages, reporter %v, reading %v", enabled, usageMessages(t, entry), entry.usage, err)
			}
		})
	}
}
