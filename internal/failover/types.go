// Package failover decides when the primary of a database group is replaced
// and by which endpoint. It runs at the control leader as one deterministic
// state machine per group: events and the current time go in, effects come
// out. The package performs no I/O and reads no clock.
//
// A failover has four steps, each visible in the agreed state, so that a new
// control leader continues where the former one stopped:
//
//  1. Seal the term once watchers in a majority of failure domains report the
//     primary as lost, or its failure domain is out of use.
//  2. Wait until the seal is settled: no host may then act under the term.
//  3. Ask the members for their positions and choose a candidate that holds
//     every write a majority may have acknowledged.
//  4. Promote the candidate, verify it and activate the new term.
package failover

import (
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/note"
)

// ProbeInterval is the time between two probes of an endpoint by a watcher.
const ProbeInterval = 250 * time.Millisecond

// Load of watching.
const (
	// ReplicaProbeInterval is the time between two probes of a replica.
	ReplicaProbeInterval = time.Second
	// ReportInterval is the time between two reports on an endpoint that is well.
	// Whatever speaks against an endpoint is reported at every probe.
	ReportInterval = 5 * time.Second
	// MaxWatcherDomains bounds the failure domains that watch one endpoint.
	MaxWatcherDomains = 5
)

// Config holds the time limits of a Machine.
type Config struct {
	// SuspectAfter is how long a watcher must see an endpoint as lost before
	// its vote counts.
	SuspectAfter time.Duration
	// ObservationTTL is how long an observation against an endpoint counts
	// without a newer one, WellTTL one in its favour.
	ObservationTTL time.Duration
	HealthyTTL     time.Duration
	// AskInterval is the time between two requests for positions.
	QueryInterval time.Duration
	// AnswerTTL is how long an answer proves that an endpoint is alive.
	AnswerTTL time.Duration
	// ProposeTimeout is the wait before a command is proposed again.
	ProposeTimeout time.Duration
	// CandidateTimeout is how long a candidate may stay silent before another
	// one is chosen.
	CandidateTimeout time.Duration
	// PromoteTimeout bounds the time a candidate that answers may need.
	PromoteTimeout time.Duration
	// SecondBestGrace is how long the choice waits for other members when only
	// an endpoint that is suspected or out of use qualifies.
	FallbackGrace time.Duration
	// CatchUpTimeout bounds the wait of a planned switchover for a replica
	// that holds the last position of the primary.
	CatchUpTimeout time.Duration
	// DrainTime is how long a planned switchover waits for requests in progress.
	// Hosts give a primary that has to move no new work, but what they have sent it
	// is acknowledged only under its term, once a majority has it.
	DrainTime time.Duration
	// SwitchoverRetry is the time between two planned switchovers of a group.
	SwitchoverRetry time.Duration
	// FormGrace is how long a new group waits for its missing members once a
	// majority has answered.
	FormGrace time.Duration
	// BestGrace is how long the choice waits for further members of a group whose
	// endpoints acknowledge by themselves: each may hold a later position.
	PositionGrace time.Duration
	// OrderTimeout is how long an order that was accepted may take to show.
	OrderTimeout time.Duration
	// Fenced: orders carry fences and may run late. A group is activated only
	// once the latest order of this leader was accepted, which fails all earlier.
	Fenced bool
	// Chooser is the control leader's consensus term.
	Chooser uint64
}

// DefaultConfig returns the limits for probes every ProbeInterval.
func DefaultConfig() Config {
	return Config{
		SuspectAfter:     3 * ProbeInterval,
		ObservationTTL:   2 * time.Second,
		HealthyTTL:       2*ReportInterval + 2*time.Second,
		QueryInterval:    100 * time.Millisecond,
		AnswerTTL:        time.Second,
		ProposeTimeout:   time.Second,
		CandidateTimeout: 1500 * time.Millisecond,
		PromoteTimeout:   8 * time.Second,
		FallbackGrace:    time.Second,
		CatchUpTimeout:   3 * time.Second,
		DrainTime:        250 * time.Millisecond,
		SwitchoverRetry:  3 * time.Second,
		FormGrace:        3 * time.Second,
		PositionGrace:    300 * time.Millisecond,
		OrderTimeout:     3 * time.Second,
	}
}

// Event is an input of a Machine.
type Event interface{ isEvent() }

// View is the agreed state of the group and what the choice depends on. It is
// sent on start and after each change of the agreed state.
type View struct {
	Group agreed.Group
	// Size is the number of endpoints that the release note gives the group.
	Size    int
	Members []Member
	// Electorate is shared by all groups of a fleet.
	Electorate *Electorate
	// Leaving reports that the service is being taken out of use.
	Leaving bool
	// Ack and SyncReplicas are those of the service.
	Ack          note.AckPolicy
	SyncReplicas int
}

// Member is an endpoint of the group.
type Member struct {
	Endpoint string
	Domain   string
	// DomainOut reports that the member's failure domain is out of use.
	DomainOut bool
	// Leaving reports that the endpoint asked to be taken out of use.
	Leaving bool
}

// Condition is what one probe of an endpoint saw.
type Condition struct {
	Reachable  bool
	InRecovery bool
	Timeline   uint32
	// Position is the flushed position of a primary, or the received and
	// flushed position of a replica, in bytes.
	Position uint64
}

// Observation is a watcher's report on an endpoint. It counts from the time
// of its arrival, since the clocks of hosts are not compared.
type Observation struct {
	Watcher  string
	Domain   string
	Endpoint string
	Condition
}

// Answer is an endpoint's reply to AskPositions. An endpoint that cannot be
// reached is answered for with Reachable false.
type Answer struct {
	// Term is copied from the request.
	Term     uint64
	Endpoint string
	Condition
}

// Settled reports the greatest revision that every holder of a configuration
// lease has applied.
type Settled struct{ Revision uint64 }

// PromotionResult reports the outcome of Promote.
type PromotionResult struct {
	Term     uint64
	Endpoint string
	// Fence is that of the order.
	Fence   uint64
	Outcome OrderOutcome
}

// OrderOutcome is what is known of an order to promote.
type OrderOutcome int

// Outcomes of an order.
const (
	// OrderUnknown: it was not answered, and may still be carried out.
	OrderUnknown OrderOutcome = iota
	// OrderAccepted: the endpoint leads or will soon.
	OrderAccepted
	// OrderRefused: it will not be carried out.
	OrderRefused
)

// CommandResult reports the outcome of a proposed command. A committed one
// also shows in the next View.
type CommandResult struct{ Committed bool }

// Tick lets time pass. It is due at least every AskInterval.
type Tick struct{}

func (View) isEvent()            {}
func (Observation) isEvent()     {}
func (Answer) isEvent()          {}
func (Settled) isEvent()         {}
func (PromotionResult) isEvent() {}
func (CommandResult) isEvent()   {}
func (Tick) isEvent()            {}

// Effect is an output of a Machine.
type Effect interface{ isEffect() }

// Seal proposes the command that ends a term: the term grows by one, the
// phase becomes sealed and no host may act on the group.
type Seal struct {
	Service string
	// Term is the expected current term; the command fails in any other.
	Term   uint64
	Reason string
}

// Choose proposes the command that records the candidate of a sealed term.
type Choose struct {
	Service   string
	Term      uint64
	Candidate string
	// Chooser and Attempt make the record differ from every earlier choice, so
	// that its revision is a new fence.
	Chooser uint64
	Attempt uint64
}

// Activate proposes the command that makes the primary of a sealed or forming
// group known. On a sealed group the primary must be the recorded candidate.
type Activate struct {
	Service  string
	Term     uint64
	Primary  string
	Timeline uint32
}

// AskPositions requests the condition of endpoints, read after the request.
type QueryPositions struct {
	Service   string
	Term      uint64
	Endpoints []string
}

// Promote orders an endpoint to become the primary. Each order has a fence of
// its own, greater than any before.
type Promote struct {
	Service  string
	Term     uint64
	Endpoint string
	// Fence is the revision of the choice.
	Fence uint64
}

// Order is an order to promote an endpoint.
type Order struct {
	Service  note.Service
	Endpoint agreed.Endpoint
	// Fence is greater than that of any order given before for the service. An
	// order with a lower fence than one that was carried out must fail.
	Fence uint64
}

// Status reports why the group is not active, or what it waits for; an empty
// reason means that nothing is wrong.
type Status struct {
	Service string
	Reason  string
}

func (Seal) isEffect()           {}
func (Choose) isEffect()         {}
func (Activate) isEffect()       {}
func (QueryPositions) isEffect() {}
func (Promote) isEffect()        {}
func (Status) isEffect()         {}
