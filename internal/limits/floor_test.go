package limits

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/route"
)

func floorConfig() Config {
	cfg := DefaultConfig()
	cfg.FloorConnections, cfg.ProbeConnections, cfg.RateFloor = 1, 2, 0.1
	return cfg
}

// TestRateFloorsAndLeasesSumToRate checks that the floors of all hosts and the
// leased part together make up the limit.
func TestRateFloorsAndLeasesSumToRate(t *testing.T) {
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
		size := sizeOf(floorConfig(), state, &route.HomeTable{})
		leased := limitsOf(floorConfig(), state, &route.HomeTable{})[rateKey("w")]
		floor := size.rateFloorFraction(w) * float64(hosts)
		if sum := leased.Rate + floor*w.Rate; sum > w.Rate*1.000001 || sum < w.Rate*0.999999 {
			t.Errorf("rates add up to %v, want %v", sum, w.Rate)
		}
		if sum := leased.Burst + floor*w.Burst; sum > w.Burst*1.000001 {
			t.Errorf("bursts add up to %v, want at most %v", sum, w.Burst)
		}
	})
}

// TestRateFloorWithoutOwner spends the floor of a host that gets no reply from an
// owner. A new process must start without the part of the burst that its former
// process may have spent.
func TestRateFloorWithoutOwner(t *testing.T) {
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
	h.updateRateFloors(now, state, sizeOf(floorConfig(), state, &route.HomeTable{}))
	if h.rateFloors["w"].take(now) {
		t.Error("new process has tokens that its former process may have spent")
	}
	if taken := takeAll(h.rateFloors["w"], now.Add(time.Second)); taken != 4 { // a tenth of 80, for one of two hosts
		t.Errorf("%d tokens after a second, want 4", taken)
	}
}

// takeAll takes all tokens that a bucket holds at a time and returns their number.
func takeAll(f *floorBucket, now time.Time) (taken int) {
	for f.take(now) {
		taken++
	}
	return taken
}

// TestReservesStayWithinTolerance spends all that the hosts may have of a rate in a
// window in which each of them restarts once, with the worst timing. The total must
// not exceed the limit plus the tolerance.
func TestReservesStayWithinTolerance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := floorConfig()
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
		size := sizeOf(cfg, state, &route.HomeTable{})
		leased := limitsOf(cfg, state, &route.HomeTable{})[rateKey("w")]
		begin := time.Unix(1000, 0)
		full := begin.Add(-time.Hour)
		spent := leased.Burst + leased.Rate*cfg.Tolerance.Window.Seconds()
		for range hosts {
			if size.rateFloorFraction(w) == 0 {
				break
			}
			former, next := newFloorBucket(full, w, size), newFloorBucket(begin, w, size)
			spent += float64(takeAll(former, begin) + takeAll(next, begin))
			spent += float64(takeAll(next, begin.Add(cfg.Tolerance.Window)))
		}
		allowed := w.Rate*cfg.Tolerance.Window.Seconds() + w.Burst + cfg.Tolerance.allowance(w)
		if spent > allowed*1.000001 {
			t.Errorf("%v operations in %v, want at most %v", spent, cfg.Tolerance.Window, allowed)
		}
	})
}

// TestIdleBurstStaysWithinTolerance checks that what a workspace without floors may accrue
// while nobody can spend any is at most the tolerance.
func TestIdleBurstStaysWithinTolerance(t *testing.T) {
	cfg := floorConfig()
	cfg.RateFloor, cfg.Tolerance = 0, Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	w := note.Workspace{Name: "w", Rate: 13, Burst: 13}
	state := agreed.New()
	state.Catalog.Workspaces["w"] = w
	state.Hosts["a"] = agreed.Host{ID: "a", Entry: true}
	limit := limitsOf(cfg, state, &route.HomeTable{})[rateKey("w")]
	if limit.IdleBurst <= 0 || limit.IdleBurst > cfg.Tolerance.allowance(w) {
		t.Errorf("idle burst %v, want more than 0 and at most the tolerance of %v", limit.IdleBurst, cfg.Tolerance.allowance(w))
	}
}

// homeFleet returns the sizes of a fleet whose hosts forward statements to home hosts, of a
// workspace and of the services.
func homeFleet(cfg Config, hosts, services int) (*agreed.State, fleetSize) {
	state := agreed.New()
	for i := range hosts {
		id := fmt.Sprintf("host%d", i)
		state.Hosts[id] = agreed.Host{ID: id, Domain: fmt.Sprint(i % 4), Entry: true}
	}
	for i := range services {
		name := fmt.Sprintf("service%d", i)
		state.Catalog.Services[name] = note.Service{Name: name}
	}
	return state, sizeOf(cfg, state, &route.HomeTable{})
}

// TestHomeRateFloorsWithinLimit checks that the floors at the home hosts and the leased part
// make up the rate, and that the home hosts, hosts that take their places and their new
// processes stay within the tolerance in one window.
func TestHomeRateFloorsWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := floorConfig()
		cfg.HomesOnly, cfg.HomeRateFloor = true, rapid.Float64Range(0, 0.5).Draw(t, "floor")
		cfg.Tolerance = Tolerance{
			Window:  time.Duration(rapid.IntRange(1, 10).Draw(t, "window_s")) * time.Second,
			Overage: rapid.Float64Range(0, 0.5).Draw(t, "overage"),
			Slack:   rapid.Float64Range(0, 50).Draw(t, "slack"),
		}
		w := note.Workspace{
			Name: "w", Rate: rapid.Float64Range(1, 1000).Draw(t, "rate"), Burst: rapid.Float64Range(1, 1000).Draw(t, "burst"),
		}
		state, _ := homeFleet(cfg, rapid.IntRange(17, 100).Draw(t, "hosts"), rapid.IntRange(1, 20).Draw(t, "services"))
		state.Catalog.Workspaces["w"] = w
		link := rapid.SampledFrom([]int64{0, 20_000, 250_000}).Draw(t, "link") // with the placement if thin
		for id, h := range state.Hosts {
			h.Link = link
			state.Hosts[id] = h
		}
		size, leased := sizeOf(cfg, state, &route.HomeTable{}), limitsOf(cfg, state, &route.HomeTable{})[rateKey("w")]
		floors := 0
		for id := range state.Hosts {
			if size.hasRateFloor(id, w) {
				floors++
			}
		}
		if sum := leased.Rate + size.rateFloorFraction(w)*float64(floors)*w.Rate; sum > w.Rate*1.000001 || sum < w.Rate*0.999999 {
			t.Errorf("rates add up to %v, want %v", sum, w.Rate)
		}
		begin := time.Unix(1000, 0)
		spent := leased.Burst + leased.Rate*cfg.Tolerance.Window.Seconds()
		for range floors {
			former := newFloorBucket(begin.Add(-time.Hour), w, size)
			replacement, next := newFloorBucket(begin, w, size), newFloorBucket(begin, w, size)
			spent += float64(takeAll(former, begin) + takeAll(replacement, begin) + takeAll(next, begin))
			spent += float64(takeAll(next, begin.Add(cfg.Tolerance.Window)))
		}
		allowed := w.Rate*cfg.Tolerance.Window.Seconds() + w.Burst + cfg.Tolerance.allowance(w)
		if spent > allowed*1.000001 {
			t.Errorf("%v operations in %v, want at most %v", spent, cfg.Tolerance.Window, allowed)
		}
	})
}

// TestHomeRateFloorCarriesOwnerLoss guards against refusals of most requests within a small
// rate while no owner of the rate answers, as after the loss of a control host.
func TestHomeRateFloorCarriesOwnerLoss(t *testing.T) {
	cfg := floorConfig()
	cfg.HomesOnly, cfg.HomeRateFloor = true, 0.5
	cfg.Tolerance = Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	w := note.Workspace{Name: "w", Rate: 14, Burst: 14}
	const ownerLoss = 4 * time.Second // until the control host has lost its lease and is removed
	state, size := homeFleet(cfg, 83, 8)
	state.Catalog.Workspaces["w"] = w
	now := time.Unix(1000, 0)
	served := 0
	for id := range state.Hosts {
		if size.hasRateFloor(id, w) {
			f := newFloorBucket(now.Add(-time.Hour), w, size)
			for at := time.Duration(0); at <= ownerLoss; at += tickInterval {
				served += takeAll(f, now.Add(at))
			}
		}
	}
	if offered := w.Rate / 1.6 * ownerLoss.Seconds(); float64(served) < offered*3/4 {
		t.Errorf("%d requests served in %v without an owner, want at least three quarters of %.0f", served, ownerLoss, offered)
	}
}

// TestRateFloorNewProcessHasReserve checks that a restarted host can serve callers
// that reconnect at once, before any owner has replied.
func TestRateFloorNewProcessHasReserve(t *testing.T) {
	cfg := floorConfig()
	cfg.Tolerance = Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	w := note.Workspace{Name: "w", Rate: 115, Burst: 115}
	state := agreed.New()
	state.Catalog.Workspaces["w"] = w
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
		state.Hosts[id] = agreed.Host{ID: id, Entry: true}
	}
	now := time.Unix(1000, 0)
	f := newFloorBucket(now, w, sizeOf(cfg, state, &route.HomeTable{}))
	if taken := takeAll(f, now); taken != 4 { // half of 89, for one of nine hosts
		t.Errorf("%d tokens at the start, want 4", taken)
	}
}

// TestFloorOfReturningWorkspace guards against a workspace that is withdrawn and returns and gets its
// reserve each time, beyond its rate.
func TestFloorOfReturningWorkspace(t *testing.T) {
	cfg := floorConfig()
	cfg.Tolerance = Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	state := agreed.New()
	w := note.Workspace{Name: "w", Rate: 4, Burst: 8}
	state.Hosts["entry-0"] = agreed.Host{ID: "entry-0", Entry: true}
	f := newFleet(t, 0, 1)
	h := f.hosts["entry-0"].holder
	h.mu.Lock()
	defer h.mu.Unlock()
	taken := 0
	begin := time.Unix(1000, 0)
	// follow applies the state with or without the workspace and spends what its floor gives.
	follow := func(now time.Time, present bool) {
		if delete(state.Catalog.Workspaces, "w"); present {
			state.Catalog.Workspaces["w"] = w
		}
		h.updateRateFloors(now, state, sizeOf(cfg, state, &route.HomeTable{}))
		taken += takeAll(h.rateFloors["w"], now)
	}
	for i := range 10 {
		now := begin.Add(time.Duration(i) * 500 * time.Millisecond)
		follow(now, true)
		follow(now.Add(250*time.Millisecond), false)
	}
	size := sizeOf(cfg, state, &route.HomeTable{})
	if limit := size.tokenReserve(w) + 5*w.Rate + w.Burst; float64(taken) > limit {
		t.Errorf("%d tokens in 5 s, want at most the reserve, the rate and the burst, %.1f", taken, limit)
	}
	follow(begin.Add(time.Hour), false)
	if len(h.retiredFloors) != 0 {
		t.Error("a full bucket of a workspace that was withdrawn is kept")
	}
}
