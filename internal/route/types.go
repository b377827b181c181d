// Package route chooses the endpoint of a database group for a request. Writes
// go to the primary; reads go to a lightly loaded replica that is fresh enough,
// and to the primary only when no replica qualifies. The package performs no
// I/O, reads no clock and takes its randomness from the caller.
package route

import "time"

// Position is a log position in a term of a life of the group.
type Position struct {
	Term uint64
	// LSN is the log position in bytes.
	LSN uint64
	// Life is agreed.Group.Life.
	Life uint64
}

// Rand is a source of random numbers, such as *rand.Rand.
type Rand interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
	// Float64 returns a number in [0, 1).
	Float64() float64
}

// Config holds the settings of a Table.
type Config struct {
	// Domain is the failure domain of this host.
	Domain string
	// StatusTTL is how long a status of a replica is valid.
	StatusTTL time.Duration
	// EjectAfter is the number of consecutive failures that eject a replica.
	EjectAfter int
	// EjectBase is the duration of the first ejection. Each further one takes
	// twice as long, up to EjectMax.
	EjectBase time.Duration
	EjectMax  time.Duration
	// SlowStart is the time in which the share of a returned replica grows to
	// its full value.
	SlowStart time.Duration
	// SpillFactor is the ratio of the load of a local replica to that of a
	// remote one above which the remote one is preferred.
	SpillFactor float64
	// LatencyWindow is the time constant of the average latency.
	LatencyWindow time.Duration
}

// DefaultConfig returns the settings for a host in the given failure domain.
func DefaultConfig(domain string) Config {
	return Config{
		Domain:        domain,
		StatusTTL:     time.Second,
		EjectAfter:    3,
		EjectBase:     time.Second,
		EjectMax:      30 * time.Second,
		SlowStart:     10 * time.Second,
		SpillFactor:   2,
		LatencyWindow: 5 * time.Second,
	}
}

// View is the agreed state of the group of one service.
type View struct {
	Service string
	// Life and Term are agreed.Group.Life and agreed.Group.Term.
	Life, Term uint64
	// Timeline is the database timeline of the term.
	Timeline uint32
	Primary  string
	// Active reports that the primary may be used under the term.
	Active bool
	// Leaving reports that the service gets no new work.
	Leaving bool
	// Reason is the reason why the group is not active.
	Reason  string
	Members []Member
}

// Member is an endpoint of the group.
type Member struct {
	Endpoint string
	Domain   string
	// OutOfUse reports that the member gets no new work, for example because its failure
	// domain is out.
	OutOfUse bool
	// Slots is the number of requests that the endpoint runs at once; zero when
	// unlimited.
	Slots int
}

// Status is the status that an endpoint reported.
type Status struct {
	Endpoint string
	// QueriedAt is when the status was requested; the answer is at least as recent.
	QueriedAt  time.Time
	Failed     bool
	InRecovery bool
	Timeline   uint32
	// LSN is the current position of a primary or the replayed position of a
	// replica.
	LSN uint64
}

// Need describes what a request requires of an endpoint.
type Need struct {
	ReadOnly bool
	// MinPosition is the position that a replica must have replayed.
	MinPosition Position
	// MaxStaleness, when above zero, replaces MinPosition: the replica must hold
	// everything that was written this long ago.
	MaxStaleness time.Duration
	// Exclude lists endpoints at which a read has already failed.
	Exclude []string
}

// Report is the outcome of a request on an endpoint.
type Report struct {
	Endpoint string
	Failed   bool
	Latency  time.Duration
}
