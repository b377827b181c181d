package limits

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/route"
)

// TestReserveWithinWindow takes from a reserve at random times, changes its capacity and
// replaces it as a restarted host does. No window contains more than the greatest capacity.
func TestReserveWithinWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 5 * time.Second
		most := rapid.IntRange(1, 4).Draw(t, "capacity")
		now := time.Unix(1000, 0)
		r := newReserve(now, window, most)
		var taken []time.Time
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				r = newReserve(now, window, most)
			case 1:
				r.resize(now, rapid.IntRange(0, most).Draw(t, "new capacity"))
			default:
				if r.take(now) {
					taken = append(taken, now)
				}
			}
		}
		for i, first := range taken {
			n := 0
			for _, at := range taken[i:] {
				if at.Sub(first) <= window {
					n++
				}
			}
			if n > most {
				t.Fatalf("%d tokens in one window, want at most %d", n, most)
			}
		}
	})
}

// TestReservesAndIdleBurstWithinTolerance checks that what the hosts may spend of their reserves
// in a window, and what may accrue beyond the burst, leave a fifth of the tolerance, and that
// the reserves of lost processes and the tokens of their restart do not exceed it.
func TestReservesAndIdleBurstWithinTolerance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := largeFleetConfig()
		state, _ := homeFleet(cfg, rapid.IntRange(17, 250).Draw(t, "hosts"), rapid.IntRange(17, maxReserveServices).Draw(t, "services"))
		w := note.Workspace{Name: "w", Rate: rapid.Float64Range(1, 200).Draw(t, "rate"), Burst: rapid.Float64Range(1, 200).Draw(t, "burst")}
		state.Catalog.Workspaces["w"] = w
		size := sizeOf(cfg, state, &route.HomeTable{})
		reserves := 0
		for id := range state.Hosts {
			reserves += size.reserveTokens(id, w)
		}
		allowance := cfg.Tolerance.allowance(w)
		if sum := float64(reserves) + size.idleBurst(w); sum > allowance*0.8*1.000001 {
			t.Errorf("reserves of %d and %.1f beyond the burst, want at most four fifths of %.1f", reserves, size.idleBurst(w), allowance)
		}
		if sum := float64(reserves) + size.restartBurst(w); sum > allowance*1.000001 {
			t.Errorf("reserves of %d and %.1f at a restart, want at most %.1f", reserves, size.restartBurst(w), allowance)
		}
		if reserves < int(allowance*gapFraction) {
			t.Errorf("reserves of %d, want all of %.1f", reserves, allowance*gapFraction)
		}
	})
}

// largeFleetConfig returns the settings of a large fleet: statements run at home hosts, and the
// tolerance is that of the users.
func largeFleetConfig() Config {
	cfg := floorConfig()
	cfg.HomesOnly, cfg.HomeRateFloor = true, 0.5
	cfg.Tolerance = Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	return cfg
}

// TestReservesCarryOwnerGap plays a second without owners of any rate: 140 workspaces within
// their small rates, 20 services, 195 hosts. It guards against a fleet that serves nobody until
// new owners know all leases, and counts what callers get within the shortest latency target.
func TestReservesCarryOwnerGap(t *testing.T) {
	const workspaces, services, hosts, perSecond = 140, 20, 195, 7.5
	const gap = time.Second
	cfg := largeFleetConfig()
	state, _ := homeFleet(cfg, hosts, services)
	for i := range workspaces {
		name := fmt.Sprint("w", i)
		state.Catalog.Workspaces[name] = note.Workspace{Name: name, Rate: 12, Burst: 12}
	}
	size := sizeOf(cfg, state, &route.HomeTable{})
	rng := rand.New(rand.NewPCG(1, 2))
	begin := time.Unix(1000, 0)
	served, offered := 0, 0
	reserves := map[string]*reserve{}
	for name, w := range state.Catalog.Workspaces {
		for id := range state.Hosts {
			if tokens := size.reserveTokens(id, w); tokens > 0 {
				reserves[name+" "+id] = newReserve(begin.Add(-time.Minute), cfg.Tolerance.Window, tokens)
			}
		}
		for at := rng.ExpFloat64() / perSecond; at < gap.Seconds(); at += rng.ExpFloat64() / perSecond {
			offered++
			service := size.services[rng.IntN(services)]
			host := size.homes.FirstHomes([]string{service}, name)[0]
			if reserves[name+" "+host].take(begin.Add(time.Duration(at * float64(time.Second)))) {
				served++
			}
		}
	}
	if served*2 < offered {
		t.Errorf("%d of %d requests served without an owner, want at least half", served, offered)
	}
}

// TestQueueUsesReserveWithoutOwner has requests wait for a rate that has no owner. The reserve
// serves one of them, and none of a workspace that is over its rate.
func TestQueueUsesReserveWithoutOwner(t *testing.T) {
	for _, overloaded := range []bool{false, true} {
		f := newFleet(t, 0, 1)
		h := f.hosts["entry-0"].holder
		now := clock.Now()
		h.mu.Lock()
		h.appliedState = f.state // keeps the reserve
		h.reserves[testWorkspace] = newReserve(now.Add(-time.Minute), 5*time.Second, 1)
		h.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		w := &waiter{deadline: now.Add(testTimeout), ready: make(chan error, 1)}
		h.mu.Lock()
		q := &queue{waiters: []*waiter{w}, overloaded: overloaded}
		took := h.takeReserve(now, testWorkspace, q)
		again := h.takeReserve(now, testWorkspace, q)
		h.mu.Unlock()
		if took == overloaded || again {
			t.Errorf("overloaded %t: the reserve served %t and then %t, want %t and false", overloaded, took, again, !overloaded)
		}
		if !overloaded {
			h.mu.Lock()
			h.reserves[testWorkspace] = newReserve(now.Add(-time.Minute), 5*time.Second, 1)
			h.mu.Unlock()
			if err := h.Acquire(ctx, testWorkspace); err != nil {
				t.Errorf("got %v, want a token of the reserve", err)
			}
		}
	}
}

// TestReserveOnlyAtFirstHomes checks that hosts with floors, and hosts at which a workspace's
// statements do not arrive, hold no reserve.
func TestReserveOnlyAtFirstHomes(t *testing.T) {
	cfg := largeFleetConfig()
	w := note.Workspace{Name: "w", Rate: 12, Burst: 12}
	for _, c := range []struct{ hosts, services, least, most int }{{4, 20, 0, 0}, {9, 20, 4, 9}, {195, 8, 0, 0}, {195, 20, 10, 20}, {195, 33, 0, 0}} {
		state, _ := homeFleet(cfg, c.hosts, c.services)
		state.Catalog.Workspaces["w"] = w
		size := sizeOf(cfg, state, &route.HomeTable{})
		holders := 0
		for id := range state.Hosts {
			if size.reserveTokens(id, w) > 0 {
				holders++
			}
		}
		if holders < c.least || holders > c.most {
			t.Errorf("%d hosts, %d services: %d hosts hold a reserve, want %d to %d", c.hosts, c.services, holders, c.least, c.most)
		}
	}
	var none *reserve
	if none.take(time.Now()) {
		t.Error("a host without a reserve spends a token of it")
	}
}
