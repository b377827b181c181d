package control_test

import (
	"context"
	"testing"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/control"
)

// usage returns what a control host itself knows of the usage reports, zero if nothing.
func (h *testHost) usage() control.UsageStatus {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if s, err := h.control.LocalStatus(ctx); err == nil && s.Usage != nil {
		return *s.Usage
	}
	return control.UsageStatus{}
}

// TestUsageStateSurvivesSnapshots decides more windows than log entries are kept (CompactEvery), while
// one control host is down. It guards against a snapshot without the latest usage commands, which do
// not raise the revision: after a restart each host must have the state, and no view may have it.
func TestUsageStateSurvivesSnapshots(t *testing.T) {
	f := newFleet(t, 3)
	f.waitValid("c0", "c1", "c2")
	f.hosts["c2"].stop()
	f.propose("c0", agreed.Command{ClaimUsage: &agreed.ClaimUsage{Host: "c0", Incarnation: 1, Window: 1}}, 0)
	waitFor(t, "the claim", func() bool { return f.hosts["c0"].usage().Fence > 0 })
	fence := f.hosts["c0"].usage().Fence
	const last = 450
	for window := int64(1); window <= last; window++ {
		f.propose("c0", agreed.Command{DecideUsage: &agreed.DecideUsage{Fence: fence, Window: window}}, 0)
	}
	for _, name := range []string{"c0", "c1"} {
		f.hosts[name].stop()
	}
	for _, name := range []string{"c0", "c1", "c2"} {
		f.start(name)
	}
	f.waitValid("c0", "c1", "c2")
	for name, h := range f.hosts {
		waitFor(t, "the usage state on "+name, func() bool {
			u := h.usage()
			return u.Fence == fence && u.Decided == last && u.Pending == agreed.MaxUsagePending
		})
		if u := h.view.Current().State.Usage; u.Fence != 0 || len(u.Pending) > 0 {
			t.Errorf("the view of %s has usage state %+v", name, u)
		}
	}
}
