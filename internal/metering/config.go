// Package metering counts the requests of each workspace by wall-clock window. It performs no
// I/O and reads no clock: times are arguments.
package metering

import "time"

// Config are the settings of usage reports.
type Config struct {
	// Window is the length of a window; zero or less disables usage reports.
	Window time.Duration
	// Late is the time after the end of a window at which its report is due.
	Late time.Duration
	// Lease is the time within which two hosts may not alternate as reporters.
	Lease time.Duration
	// Tolerance is the share by which a reported count may differ from the true one.
	Tolerance float64
}
