package control_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/control"
	"github.com/galenabridge/galenabridge/internal/metering"
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

// TestUsageStateSurvivesSnapshots decides more windows than log entries are kept (CompactEvery),
// while one control host is down. It guards against a snapshot without the latest usage commands,
// which do not raise the revision: after a restart of all hosts the state must be there, and the
// host that was down must get it. No entry host may see any of it.
func TestUsageStateSurvivesSnapshots(t *testing.T) {
	f := newFleet(t, 3)
	f.waitValid("c0", "c1", "c2")
	f.hosts["c2"].stop()
	f.propose("c0", agreed.Command{ClaimUsage: &agreed.ClaimUsage{Host: "c0", Incarnation: 1, Window: 1}}, 0)
	waitFor(t, "the claim", func() bool { return f.hosts["c0"].usage().Fence > 0 })
	fence := f.hosts["c0"].usage().Fence
	const last = 450
	for window := int64(1); window <= last; window++ {
		f.propose("c0", agreed.Command{DecideUsage: &agreed.DecideUsage{Fence: fence, Window: window, Counts: map[string]uint64{"crew": 3}}}, 0)
	}
	waitFor(t, "the last window", func() bool { return f.hosts["c0"].usage().Decided == last })
	want := f.hosts["c0"].usage()
	if want.Pending != agreed.MaxUsagePending {
		t.Fatalf("usage %+v, want %d pending", want, agreed.MaxUsagePending)
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
			return u.Fence == want.Fence && u.Decided == last && u.Pending == want.Pending
		})
		if u := h.view.Current().State.Usage; u.Fence != 0 || len(u.Pending) > 0 {
			t.Errorf("the view of %s has usage state %+v", name, u)
		}
	}
}

var usageConfig = metering.Config{Window: 300 * time.Millisecond, Late: time.Second, Lease: time.Second}

// usageRecorder records the reports that all hosts send, and supplies counts that differ at each look.
type usageRecorder struct {
	mu    sync.Mutex
	looks uint64
	calls []usageCall
	// unanswered is the host whose calls get no answer.
	unanswered string
}

type usageCall struct {
	holder string
	fence  uint64
	window int64
	counts string
	at     time.Time
}

func (*usageRecorder) FleetTime(time.Time) (time.Time, bool) { return time.Now(), true }

func (r *usageRecorder) Tally(int64) metering.Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.looks++
	return metering.Tally{Counts: map[string]uint64{"crew": r.looks}}
}

// usageReporter is the reporter of one host. It reaches the platform also while the host is isolated.
type usageReporter struct {
	*usageRecorder
	host string
}

func (r usageReporter) Report(_ context.Context, u control.UsageReport) (metering.CallOutcome, error) {
	if !u.Allowed() {
		return metering.CallNotSent, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, usageCall{r.host, u.Fence, u.Window, fmt.Sprint(u.Counts), clock.Now()})
	if r.host == r.unanswered {
		return metering.CallUnknown, nil
	}
	return metering.CallAccepted, nil
}

func (r *usageRecorder) setUnanswered(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unanswered = host
}

// last returns the last call that another host than the given one has sent.
func (r *usageRecorder) last(other string) usageCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.calls) - 1; i >= 0; i-- {
		if r.calls[i].holder != other {
			return r.calls[i]
		}
	}
	return usageCall{}
}

// TestUsageHolderIsolated isolates the holder from the other hosts while it reaches the platform, which
// does not answer it, so that it repeats its call. It must stop well before its successor acts, and the
// successor must not change what was sent. (An isolated leader also steps down; the permission to send
// alone is checked by the model of package metering.)
func TestUsageHolderIsolated(t *testing.T) {
	f := newFleet(t, 3)
	f.waitValid("c0", "c1", "c2")
	f.usage = &usageRecorder{}
	for _, c := range f.controls {
		f.hosts[c.Host].stop()
	}
	for _, c := range f.controls {
		f.start(c.Host)
	}
	waitFor(t, "reports", func() bool { return f.usage.last("").window > 0 })
	former := f.usage.last("").holder
	f.usage.setUnanswered(former)
	f.net.isolate(former, true)
	waitFor(t, "reports of a successor", func() bool { return f.usage.last(former).window > 0 })
	f.net.isolate(former, false)
	f.usage.setUnanswered("")
	began := f.usage.last("").window
	waitFor(t, "more reports", func() bool { return f.usage.last("").window > began+5 })
	f.usage.mu.Lock()
	defer f.usage.mu.Unlock()
	counts, holders := map[int64]string{}, map[uint64]string{}
	for i, c := range f.usage.calls {
		if counts[c.window] != "" && counts[c.window] != c.counts || holders[c.fence] != "" && holders[c.fence] != c.holder {
			t.Errorf("window %d or fence %d twice: %+v", c.window, c.fence, f.usage.calls)
		}
		counts[c.window], holders[c.fence] = c.counts, c.holder
		if i > 0 && f.usage.calls[i-1].holder != c.holder && c.at.Sub(f.usage.calls[i-1].at) < usageConfig.Lease {
			t.Errorf("%s acted %v after %s", c.holder, c.at.Sub(f.usage.calls[i-1].at), f.usage.calls[i-1].holder)
		}
	}
}
