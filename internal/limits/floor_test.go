package limits

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/note"
)

func openConfig() Config {
	cfg := DefaultConfig()
	cfg.FloorConnections, cfg.ProbeConnections, cfg.RateFloor = 1, 2, 0.1
	return cfg
}

// TestFloorsAndLeasesAddUpToTheRate adds what all hosts have without a lease to
// what the owner leases.
func TestFloorsAndLeasesAddUpToTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := agreed.New()
		w := note.Workspace{
			Name: "w", Rate: rapid.Float64Range(1, 1000).Draw(t, "rate"), Burst: rapid.Float64Range(1, 1000).Draw(t, "burst"),
		}
		state.Catalog.Workspaces["w"] = w
		hosts := rapid.IntRange(1, 100).Draw(t, "hosts")
		for i := range hosts {
			id := string(rune('a' + i))
			state.Hosts[id] = agreed.Host{ID: id, Entry: true}
		}
		size := sizeOf(openConfig(), state)
		leased := limitsOf(openConfig(), state)[rateKey("w")]
		floor := size.rateFloor(w) * float64(hosts)
		if sum := leased.Rate + floor*w.Rate; sum > w.Rate*1.000001 || sum < w.Rate*0.999999 {
			t.Errorf("rates add up to %v of %v", sum, w.Rate)
		}
		if sum := leased.Burst + floor*w.Burst; sum > w.Burst*1.000001 {
			t.Errorf("bursts add up to %v of %v", sum, w.Burst)
		}
	})
}

// TestAFloorNeedsNoOwner spends the floor of a host that no owner answers.
func TestAFloorNeedsNoOwner(t *testing.T) {
	state := agreed.New()
	state.Catalog.Workspaces["w"] = note.Workspace{Name: "w", Rate: 80, Burst: 80}
	for _, id := range []string{"a", "b"} {
		state.Hosts[id] = agreed.Host{ID: id, Entry: true}
	}
	f := newFleet(t, 0, 1)
	h := f.hosts["entry-0"].holder
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Unix(1000, 0)
	h.setRates(now, state, sizeOf(openConfig(), state))
	if h.rates["w"].take(now) {
		t.Error("a new process has tokens that a former one may have spent")
	}
	if taken := drain(h.rates["w"], now.Add(time.Second)); taken != 4 { // a tenth of 80, for one of two hosts
		t.Errorf("%d tokens after a second", taken)
	}
}

// drain takes all tokens that a floor has at a time.
func drain(f *floor, now time.Time) (taken int) {
	for f.take(now) {
		taken++
	}
	return taken
}

// TestReservesStayWithinTheTolerance spends whatever the hosts may have of a
// rate in a window in which each of them is restarted once, everything at the
// worst time.
func TestReservesStayWithinTheTolerance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := openConfig()
		cfg.Tolerance = Tolerance{
			Window:  time.Duration(rapid.IntRange(1, 10).Draw(t, "window_s")) * time.Second,
			Overage: rapid.Float64Range(0, 0.5).Draw(t, "overage"),
			Slack:   rapid.Float64Range(0, 50).Draw(t, "slack"),
		}
		w := note.Workspace{
			Name: "w", Rate: rapid.Float64Range(1, 1000).Draw(t, "rate"), Burst: rapid.Float64Range(1, 1000).Draw(t, "burst"),
		}
		state := agreed.New()
		state.Catalog.Workspaces["w"] = w
		hosts := rapid.IntRange(1, 100).Draw(t, "hosts")
		for i := range hosts {
			id := string(rune('a' + i))
			state.Hosts[id] = agreed.Host{ID: id, Entry: true}
		}
		size := sizeOf(cfg, state)
		leased := limitsOf(cfg, state)[rateKey("w")]
		begin := time.Unix(1000, 0)
		full := begin.Add(-time.Hour)
		spent := leased.Burst + leased.Rate*cfg.Tolerance.Window.Seconds()
		for range hosts {
			if size.rateFloor(w) == 0 {
				break
			}
			former, next := newFloor(full, w, size), newFloor(begin, w, size)
			spent += float64(drain(former, begin) + drain(next, begin))
			spent += float64(drain(next, begin.Add(cfg.Tolerance.Window)))
		}
		allowed := w.Rate*cfg.Tolerance.Window.Seconds() + w.Burst + cfg.Tolerance.allowance(w)
		if spent > allowed*1.000001 {
			t.Errorf("%v operations in %v, %v are allowed", spent, cfg.Tolerance.Window, allowed)
		}
	})
}

// TestANewProcessHasItsReserve serves callers who come back together after a
// restart before any owner has answered.
func TestANewProcessHasItsReserve(t *testing.T) {
	cfg := openConfig()
	cfg.Tolerance = Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	w := note.Workspace{Name: "w", Rate: 115, Burst: 115}
	state := agreed.New()
	state.Catalog.Workspaces["w"] = w
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
		state.Hosts[id] = agreed.Host{ID: id, Entry: true}
	}
	now := time.Unix(1000, 0)
	f := newFloor(now, w, sizeOf(cfg, state))
	if taken := drain(f, now); taken != 4 { // half of 89, for one of nine hosts
		t.Errorf("%d tokens at the start", taken)
	}
}
