package metering

import "time"

const (
	// RetainedWindows is the number of windows that hosts keep, the current one included: 60 s of
	// the default 5 s, more than the catch-up after an outage uses.
	RetainedWindows = 12
	// maxMessageEntries bounds the counts in one message, except that a window of a process is
	// never split. At some 14 bytes a count it is 56 KB, a quarter of a second of a 2 Mbit/s link.
	maxMessageEntries = 4096
)

// Process identifies one process of a host.
type Process struct {
	Host        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// WindowCounts holds counts of one window that a process has begun. They are cumulative: a
// receiver keeps the highest count, so repeats and reordering are harmless.
type WindowCounts struct {
	Window int64             `cbor:"1,keyasint"`
	Counts map[string]uint64 `cbor:"2,keyasint,omitempty"`
	// Final is set once the window has ended at the process. The receiver then has all counts of
	// the window, from this message and earlier acknowledged ones.
	Final bool `cbor:"3,keyasint,omitempty"`
}

// Report carries counts of one process.
type Report struct {
	Process Process `cbor:"1,keyasint"`
	// DayNS is the process's time of day when the batch was built, in nanoseconds of Unix time;
	// zero if the sender of the batch does not hear the process itself.
	DayNS   int64          `cbor:"2,keyasint,omitempty"`
	Windows []WindowCounts `cbor:"3,keyasint,omitempty"`
}

// Batch is a message to a control host: an entry host's own report, or those that another control
// host has stored.
type Batch struct {
	// MonoNS is the sender's monotonic clock when the batch was built, in nanoseconds. It shows the
	// receiver which batches are repeated or delayed.
	MonoNS  int64    `cbor:"1,keyasint"`
	Reports []Report `cbor:"2,keyasint"`
}

// Answer acknowledges a Batch.
type Answer struct {
	// Refused are the processes whose counts were not stored, since they are not registered.
	Refused []Process `cbor:"1,keyasint,omitempty"`
	// FleetNS is the fleet time in nanoseconds of Unix time, zero if it is unknown.
	FleetNS int64 `cbor:"2,keyasint,omitempty"`
	// Store identifies what holds the counts. When it changes, all retained windows are sent that
	// are above Decided.
	Store Store `cbor:"3,keyasint"`
	// Decided is the highest window whose counts are decided, as far as the sender knows.
	Decided int64 `cbor:"4,keyasint,omitempty"`
}

// Store identifies the process that stores reports, and the control leader that it follows.
type Store struct {
	Process Process `cbor:"1,keyasint"`
	Leader  string  `cbor:"2,keyasint,omitempty"`
	Term    uint64  `cbor:"3,keyasint,omitempty"`
}

// windowOf returns the number of the window that contains t.
func windowOf(t time.Time, window time.Duration) int64 {
	return t.UnixNano() / int64(window)
}

// windowEnd returns when a window ends.
func windowEnd(number int64, window time.Duration) time.Time {
	return time.Unix(0, (number+1)*int64(window))
}
