package control

import (
	"testing"
	"time"
)

// TestSubscriptionResendsMissedDelta guards against a host that stays behind after it
// lost one push: it cannot apply the later ones, so the pushes must start again at
// its revision within resendDelay even while new pushes follow.
func TestSubscriptionResendsMissedDelta(t *testing.T) {
	now := time.Unix(100, 0)
	sub := &subscription{sent: 4, applied: 4}
	const step = 20 * time.Millisecond
	for i := range uint64(20) {
		sub.recordPush(now, 5+i)
		now = now.Add(step)
		if sub.acknowledge(now, 4) {
			if behind := now.Sub(time.Unix(100, 0)); behind > resendDelay+step {
				t.Errorf("resent after %v, want at most resendDelay and one step", behind)
			}
			if sub.sent != 4 {
				t.Errorf("the next push starts at %d, want 4", sub.sent)
			}
			return
		}
	}
	t.Error("the missed delta was never resent")
}

// TestSubscriptionKeepsPushInFlight checks that pushes to a host that makes progress
// are not repeated while one is in flight.
func TestSubscriptionKeepsPushInFlight(t *testing.T) {
	now := time.Unix(100, 0)
	sub := &subscription{sent: 4, applied: 4}
	for i := range uint64(20) {
		sub.recordPush(now, 6+i)
		now = now.Add(resendDelay / 2)
		if sub.acknowledge(now, 5+i) {
			t.Fatalf("push %d was repeated while one was in flight", i)
		}
	}
}
