package control

import (
	"testing"
	"time"
)

// TestAMissedDeltaIsSentAgainWhileChangesGoOn loses one push to a host and goes
// on to push later ones, which the host cannot apply.
func TestAMissedDeltaIsSentAgainWhileChangesGoOn(t *testing.T) {
	now := time.Unix(100, 0)
	sub := &subscription{sent: 4, applied: 4}
	const step = 20 * time.Millisecond
	for i := range uint64(20) {
		sub.recordPush(now, 5+i)
		now = now.Add(step)
		if sub.acknowledge(now, 4) {
			if behind := now.Sub(time.Unix(100, 0)); behind > resendDelay+step {
				t.Errorf("sent again after %v", behind)
			}
			if sub.sent != 4 {
				t.Errorf("the next push starts at %d", sub.sent)
			}
			return
		}
	}
	t.Error("never sent again")
}

// TestAPushOnItsWayIsNotRepeated hears from a host that makes progress.
func TestAPushOnItsWayIsNotRepeated(t *testing.T) {
	now := time.Unix(100, 0)
	sub := &subscription{sent: 4, applied: 4}
	for i := range uint64(20) {
		sub.recordPush(now, 6+i)
		now = now.Add(resendDelay / 2)
		if sub.acknowledge(now, 5+i) {
			t.Fatalf("push %d is repeated", i)
		}
	}
}
