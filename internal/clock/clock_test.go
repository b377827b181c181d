package clock

import (
	"testing"
	"time"
)

func TestNowIncreasesWithoutMonotonicReading(t *testing.T) {
	first := Now()
	if first != first.Round(0) {
		t.Error("the time contains a monotonic clock reading")
	}
	if second := Now(); second.Before(first) {
		t.Errorf("%v after %v", second, first)
	}
	if Since(first) < 0 {
		t.Error("Since returned a negative duration")
	}
}

func TestDeadlineKeepsRemainingTime(t *testing.T) {
	const left = time.Hour
	got := -Since(Deadline(time.Now().Add(left)))
	if got > left || got < left-time.Minute {
		t.Errorf("%v left, want at most %v and at most a minute less", got, left)
	}
}
