// Package failover decides when the primary of a database group is replaced
// and by which endpoint. It runs at the control leader as one deterministic
// state machine per group: events and the current time go in, effects come
// out. The package performs no I/O and reads no clock.
//
// A failover has four steps, each visible in the agreed state, so that a new
// control leader continues where the former one stopped:
//
//  1. Seal the term once watchers in a majority of failure domains report the
//     primary as lost, or once a planned switchover is due since the primary or its
//     failure domain is being taken out of use.
//  2. Wait until the seal is settled: no host may then act under the former term.
//  3. Query the positions of the members and choose a candidate that holds every
//     write a majority may have acknowledged.
//  4. Promote the candidate, verify it and activate the new term.
//
// Invariants:
//
//   - A term has at most one primary. Seal, Choose and Activate name the term
//     that they expect and fail in any other.
//   - The first candidate of a term is chosen only after its seal is settled: no
//     host can acknowledge a write in the former term once positions are read.
//   - A candidate is recorded in the agreed state before it is promoted. It was
//     chosen from the answers of a majority, so a new leader may repeat the recorded
//     choice before a majority has answered it.
//   - Each promotion order carries the revision of its recorded choice as its
//     fence, and no fence is used twice.
//   - A sealed group becomes active only with its recorded candidate, after the
//     candidate answered as out of recovery on a timeline later than the group's or,
//     if it is the former primary, on the group's own.
package failover

import (
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/note"
)

// ProbeInterval is the time between two probes of an endpoint by a watcher.
const ProbeInterval = 250 * time.Millisecond

// Limits on the load that watchers cause.
const (
	// ReplicaProbeInterval is the time between two probes of a replica.
	ReplicaProbeInterval = time.Second
	// ReportInterval is the time between two reports on a healthy endpoint whose
	// condition has not changed. A loss is reported at every probe.
	ReportInterval = 5 * time.Second
	// MaxWatcherDomains is the maximum number of failure domains that watch one endpoint.
	MaxWatcherDomains = 5
)

// Config holds the time limits of a Machine.
type Config struct {
	// SuspectAfter is how long a watcher must report an endpoint as lost without
	// interruption before its vote counts.
	SuspectAfter time.Duration
	// LossTTL is how long an observation of a lost endpoint counts without a newer
	// one, HealthyTTL that of a healthy endpoint. HealthyTTL is longer because
	// healthy endpoints are reported only every ReportInterval.
	LossTTL    time.Duration
	HealthyTTL time.Duration
	// QueryInterval is the time between two requests for positions.
	QueryInterval time.Duration
	// AnswerTTL is how long an answer counts as proof that an endpoint is alive.
	AnswerTTL time.Duration
	// ProposeTimeout is the time after which an unconfirmed command is proposed again.
	ProposeTimeout time.Duration
	// CandidateTimeout is how long a candidate may stay unreachable before another
	// one is chosen.
	CandidateTimeout time.Duration
	// PromoteTimeout is the maximum time for the promotion of a candidate that answers.
	PromoteTimeout time.Duration
	// FallbackGrace is how long the choice waits for other members when only an
	// endpoint that is suspected or out of use qualifies.
	FallbackGrace time.Duration
	// CatchUpTimeout is the maximum time that a planned switchover waits for a
	// replica to reach the last position of the primary.
	CatchUpTimeout time.Duration
	// DrainTime is how long a planned switchover waits for requests in progress.
	// Hosts send no new work to a primary that is to be replaced, but requests
	// already sent are acknowledged only in its term, once a majority holds them.
	DrainTime time.Duration
	// SwitchoverInterval is the minimum time between two planned switchovers of a group.
	SwitchoverInterval time.Duration
	// FormingGrace is how long a new group waits for its missing members once a
	// majority has answered, and for one of them to be a primary.
	FormingGrace time.Duration
	// PositionGrace is how long the choice waits for further members of a group
	// whose endpoints decide acknowledgement (note.AckReplicas): each may hold a
	// later position.
	PositionGrace time.Duration
	// OrderTimeout is how long an accepted order may take until the candidate is
	// seen as primary.
	OrderTimeout time.Duration
	// Fenced is set when promotion orders may be executed late and the platform
	// checks their fences. A group is then activated only once the latest order of
	// this leader was accepted, after which the platform rejects all earlier ones.
	Fenced bool
	// ChooserTerm is the consensus term of this control leader.
	ChooserTerm uint64
}

// DefaultConfig returns the limits that fit probes every ProbeInterval.
func DefaultConfig() Config {
	return Config{
		SuspectAfter:       3 * ProbeInterval,
		LossTTL:            2 * time.Second,
		HealthyTTL:         2*ReportInterval + 2*time.Second,
		QueryInterval:      100 * time.Millisecond,
		AnswerTTL:          time.Second,
		ProposeTimeout:     time.Second,
		CandidateTimeout:   1500 * time.Millisecond,
		PromoteTimeout:     8 * time.Second,
		FallbackGrace:      time.Second,
		CatchUpTimeout:     3 * time.Second,
		DrainTime:          250 * time.Millisecond,
		SwitchoverInterval: 3 * time.Second,
		FormingGrace:       3 * time.Second,
		PositionGrace:      300 * time.Millisecond,
		OrderTimeout:       3 * time.Second,
	}
}

// Event is an input of a Machine.
type Event interface{ isEvent() }

// View is the event that carries the agreed state of the group and the other
// inputs of the choice. It is sent on start and after each change of the agreed
// state.
type View struct {
	Group agreed.Group
	// Size is the number of endpoints that the catalog declares for the service.
	Size    int
	Members []Member
	// Electorate is shared by all groups of a fleet.
	Electorate *Electorate
	// Leaving reports that the service is being taken out of use.
	Leaving bool
	// Ack and SyncReplicas are the service's settings.
	Ack          note.AckPolicy
	SyncReplicas int
}

// Member is an endpoint of the group.
type Member struct {
	Endpoint string
	Domain   string
	// DomainOut reports that the member's failure domain is out of use.
	DomainOut bool
	// Leaving reports that the endpoint requested to be taken out of use.
	Leaving bool
}

// Condition is the result of one probe of an endpoint.
type Condition struct {
	Reachable  bool
	InRecovery bool
	Timeline   uint32
	// Position is the flushed position of a primary, or the received and
	// flushed position of a replica, in bytes.
	Position uint64
}

// Observation is a watcher's report on an endpoint. Its age is measured from its
// arrival, since the clocks of hosts are not compared.
type Observation struct {
	Watcher  string
	Domain   string
	Endpoint string
	Condition
}

// Answer is an endpoint's reply to QueryPositions. Reachable is false when the
// endpoint could not be reached.
type Answer struct {
	// Term is copied from the request.
	Term     uint64
	Endpoint string
	Condition
}

// Settled reports the greatest revision that every holder of a configuration
// lease has applied.
type Settled struct{ Revision uint64 }

// PromotionResult reports the outcome of the order of a Promote effect.
type PromotionResult struct {
	Term     uint64
	Endpoint string
	// Fence is copied from the order.
	Fence   uint64
	Outcome OrderOutcome
}

// OrderOutcome is the known outcome of an order to promote.
type OrderOutcome int

// Outcomes of an order.
const (
	// OrderUnknown means that the order got no answer and may still be executed.
	OrderUnknown OrderOutcome = iota
	// OrderAccepted means that the endpoint is the primary or will be soon.
	OrderAccepted
	// OrderRefused means that the order will not be executed.
	OrderRefused
)

// CommandResult reports the outcome of a proposed command. The effect of a
// committed one is in the next View.
type CommandResult struct{ Committed bool }

// Tick lets the Machine act on the passage of time. It must be sent at least
// every QueryInterval.
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

// Seal proposes the command that ends a term: the term grows by one, the phase becomes
// sealed and no host that applies the command may act on the group.
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
	// ChooserTerm, the leader's consensus term, and Attempt make the record differ from
	// every earlier choice, so that its revision is a new fence.
	ChooserTerm uint64
	Attempt     uint64
}

// Activate proposes the command that makes a sealed or forming group active with
// the given primary. In a sealed group the primary must be the recorded candidate.
type Activate struct {
	Service  string
	Term     uint64
	Primary  string
	Timeline uint32
}

// QueryPositions requests the condition of endpoints. It must be read after the
// request was made.
type QueryPositions struct {
	Service   string
	Term      uint64
	Endpoints []string
}

// Promote requests an order that makes an endpoint the primary. The fence of each order
// is greater than those of all earlier orders for the service.
type Promote struct {
	Service  string
	Term     uint64
	Endpoint string
	// Fence is the revision at which the choice was recorded.
	Fence uint64
}

// Order is the order to promote an endpoint, as passed to the database platform.
type Order struct {
	Service  note.Service
	Endpoint agreed.Endpoint
	// Fence is greater than that of any earlier order for the service. An order with
	// a lower fence than one that was executed must fail.
	Fence uint64
}

// Status reports why the group is not active, or what it waits for. The reason is
// empty when the group is active and needs no change.
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
