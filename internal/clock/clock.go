// Package clock reads the clock that measures leases, CLOCK_BOOTTIME. It is
// monotonic, unaffected by changes of the wall clock, and includes the time for
// which the machine was suspended, which Go's monotonic clock does not.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the boot of the machine as a time.Time, which is not a
// date. It may be compared only with other results of Now.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists in every kernel that Go supports.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(ts.Unix())
}

// Since returns the time elapsed since t, a result of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Deadline converts the deadline of a context, which uses Go's monotonic clock, to
// the time scale of Now.
func Deadline(t time.Time) time.Time { return Now().Add(time.Until(t)) }
