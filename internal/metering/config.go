// Package metering counts the requests of each workspace by wall-clock window and decides which
// counts are reported to the platform. It performs no I/O and reads no clock: times are arguments.
package metering

import "time"

// Config are the settings of the usage reports. The zero Config disables them.
type Config struct {
	// Window is the length of a window, zero if no reports are required. Window k begins k
	// times Window after the Unix epoch.
	Window time.Duration
	// Late is how long after the end of a window its report is due.
	Late time.Duration
	// Lease is the time within which two hosts must not act in the order A, B, A.
	Lease time.Duration
	// Tolerance is the accepted deviation of a reported count, as a fraction of the true one.
	Tolerance float64
}
