// Package clock reads the time by which leases are measured. It grows steadily,
// never jumps with the time of day, and counts the time that the machine was
// suspended, which Go's monotonic clock does not.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the start of the machine as a time.Time without a
// meaning as a date. Times of Now may be compared with each other only.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists in every kernel that Go supports.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(ts.Unix())
}

// Since returns the time elapsed since a time of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Deadline converts a deadline of a context, which counts Go's monotonic clock,
// to the scale of Now.
func Deadline(t time.Time) time.Time { return Now().Add(time.Until(t)) }
