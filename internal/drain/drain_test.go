package drain

import (
	"testing"
	"time"
)

var epoch = time.Unix(1_000_000, 0)

// play records a second of requests, one in each gap, that start beside as many waiting ones, and
// returns the time afterwards. With none, a request waits for a millisecond after each start.
func play(m *Meter, now time.Time, gap time.Duration, waiting, slots int) time.Time {
	for end := now.Add(time.Second); now.Before(end); now = now.Add(gap) {
		m.Arrive(now)
		m.Start(now)
		m.SetWaiting(now, max(waiting, 1), slots)
		m.SetWaiting(now.Add(time.Millisecond), waiting, slots)
	}
	return now
}

// TestNoEstimateWhileUncertain guards against refusals from an estimate that is not backed by a
// lasting backlog: the starts then follow the arrivals and not the capacity.
func TestNoEstimateWhileUncertain(t *testing.T) {
	m := &Meter{}
	now := play(m, epoch, 10*time.Millisecond, 0, 4)
	m.SetWaiting(now, 50, 4) // a burst after a light load
	for _, age := range []time.Duration{minBacklog - time.Millisecond, 2 * minBacklog} {
		if _, ok := m.Rates(now.Add(age)); ok {
			t.Errorf("an estimate without a start from the backlog, after %v", age)
		}
	}
	now = play(m, now.Add(2*minBacklog), 10*time.Millisecond, 50, 4)
	if r, ok := m.Rates(now); !ok || r.starts < 60 || r.starts > 70 {
		t.Errorf("%v starts a second, known %v; want 100 in 1.5 s", r.starts, ok)
	}
	m.SetWaiting(now, 0, 4)
	if _, ok := m.Rates(now.Add(2 * maxBreak)); ok {
		t.Error("an estimate after the backlog has ended")
	}
}

// TestEstimateFollowsMoreSlots guards against refusals by the drain of fewer slots, after pacing
// has raised their number.
func TestEstimateFollowsMoreSlots(t *testing.T) {
	m := &Meter{}
	now := play(m, epoch, 20*time.Millisecond, 100, 2)
	before, _ := m.Rates(now)
	m.SetWaiting(now, 100, 6)
	after, _ := m.Rates(now)
	if !before.Hopeless(100, 0, time.Second) || after.Hopeless(100, 0, time.Second) {
		t.Error("want 100 requests before it to be hopeless with 2 slots, and not with 6")
	}
	m.SetWaiting(now, 100, 2)
	if r, _ := m.Rates(now); r.starts != before.starts {
		t.Errorf("%v starts a second after slots were added and removed, want %v as before", r.starts, before.starts)
	}
}
