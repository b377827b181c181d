package capacity

import (
	"fmt"
	"io"
	"time"
)

// System holds the addresses and credentials of the processes that are measured.
type System struct {
	Fleet  string
	Secret string
	Domain string
	// LeaderAdmin is the admin address of the only voter.
	LeaderAdmin string
	// RelayHost, RelayPeer and RelayAdmin are the name, peer address and admin
	// address of a control host without a vote.
	RelayHost  string
	RelayPeer  string
	RelayAdmin string
	// EntryAdmin is the admin address of an entry host, CallerURL a caller's
	// connection string for it.
	EntryAdmin string
	CallerURL  string
	// StandinAddr is the address of a stand-in endpoint. The fields below it are the
	// credentials for it.
	StandinAddr     string
	StandinDatabase string
	StandinUser     string
	StandinPassword string
}

// Plan sets the length of a measurement and the values of each variable.
type Plan struct {
	// Window is the length of one measurement.
	Window time.Duration
	// Subscribers are numbers of hosts subscribed at the relay.
	Subscribers []int
	// Notes is the number of release notes applied with the largest number of
	// subscribers.
	Notes int
	// EventRates are events per second of announcements and of observations.
	EventRates []int
	// ProbeRates are requests per second of role probes and of position polls.
	ProbeRates []int
	// Callers are numbers of idle caller connections to the entry host.
	Callers []int
	// StatementRates are statements per second at the entry host.
	StatementRates []int
	// Workspaces are numbers of workspaces in the agreed state.
	Workspaces []int
	// QuotaKeys are numbers of quota keys; every holder uses all of them.
	QuotaKeys []int
}

// DefaultPlan returns a plan that reaches the sizes of the target where one machine
// allows it.
func DefaultPlan() Plan {
	return Plan{
		Window:         10 * time.Second,
		Subscribers:    []int{0, 100, 200, 400, 800},
		Notes:          100,
		EventRates:     []int{0, 500, 1000, 2000},
		ProbeRates:     []int{0, 50, 100, 200},
		Callers:        []int{0, 1000, 2000, 3300},
		StatementRates: []int{0, 100, 340, 700},
		Workspaces:     []int{1000, 5000, 20000},
		QuotaKeys:      []int{100, 300, 1000},
	}
}

// Names of the slopes, as in the file of measurements.
const (
	SlopeRelayCPU        = "relay_cpu_per_subscriber"
	SlopeRelayBytes      = "relay_bytes_per_subscriber"
	SlopeRelayMessages   = "relay_messages_per_subscriber"
	SlopeRelayMemory     = "relay_memory_per_subscriber"
	SlopeLeaderCPU       = "leader_cpu_per_subscriber"
	SlopeLeaderBytes     = "leader_bytes_per_subscriber"
	SlopeSubscriptionCPU = "host_cpu_of_subscription"
	SlopeDeltaCPU        = "relay_cpu_per_delta_and_subscriber"
	SlopeDeltaBytes      = "relay_bytes_per_delta_and_subscriber"
	SlopeAnnounceCPU     = "leader_cpu_per_announcement"
	SlopeAnnounceBytes   = "leader_bytes_per_announcement"
	SlopeObserveCPU      = "leader_cpu_per_observation"
	SlopeObserveBytes    = "leader_bytes_per_observation"
	SlopeProbeCPU        = "host_cpu_per_probe"
	SlopeProbeBytes      = "host_bytes_per_probe"
	SlopePositionCPU     = "host_cpu_per_position_poll"
	SlopePositionBytes   = "host_bytes_per_position_poll"
	SlopeCallerMemory    = "entry_memory_per_idle_caller"
	SlopeLoginCPU        = "entry_cpu_per_login"
	SlopeStatementCPU    = "entry_cpu_per_statement"
	SlopeStatementBytes  = "entry_peer_bytes_per_statement"
	SlopeStateMemory     = "state_memory_per_workspace"
	SlopeStateBytes      = "snapshot_bytes_per_workspace"
	SlopeApplyCPU        = "delta_apply_seconds_per_workspace"
	SlopeAssignCPU       = "assign_seconds_per_endpoint"
	SlopeHostMemory      = "state_memory_per_host"
	SlopeDBMemory        = "state_memory_per_database"
	SlopeQuotaHolderCPU  = "holder_cpu_per_pair"
	SlopeQuotaOwnerCPU   = "owner_cpu_per_pair"
	SlopeQuotaBytes      = "quota_bytes_per_pair"
	SlopeQuotaMemory     = "owner_memory_per_pair"
)

// run is one execution of a plan. It collects the slopes.
type run struct {
	system   System
	plan     Plan
	progress io.Writer
	slopes   []Slope
}

// Measure executes the plan and writes a line to progress for each step and each
// slope. On an error it returns the slopes measured so far, too.
func Measure(system System, plan Plan, progress io.Writer) ([]Slope, error) {
	r := &run{system: system, plan: plan, progress: progress}
	steps := []struct {
		name string
		do   func() error
	}{
		{"state", r.measureState},
		{"quota", r.measureQuota},
		{"probes", r.measureProbes},
		{"callers", r.measureIdleCallers},
		{"statements", r.measureStatements},
		{"subscribers", r.measureSubscribers},
	}
	for _, step := range steps {
		start := time.Now()
		if err := step.do(); err != nil {
			return r.slopes, fmt.Errorf("measure %s: %w", step.name, err)
		}
		fmt.Fprintf(r.progress, "measured step=%s took=%s\n", step.name, time.Since(start).Round(time.Second))
	}
	return r.slopes, nil
}

// addSlope fits a line to the points and appends it to the slopes.
func (r *run) addSlope(name, variable, unit string, points []Point) {
	s := Fit(name, variable, unit, points)
	r.slopes = append(r.slopes, s)
	fmt.Fprintf(r.progress, "slope name=%s per_unit=%.4g base=%.4g r2=%.3f\n", name, s.PerUnit, s.Base, s.R2)
}

// series collects the points of the slopes of CPU, bytes, messages and memory over one
// variable.
type series struct {
	cpu, bytes, messages, memory []Point
}

func (s *series) add(x float64, r rates) {
	s.cpu = append(s.cpu, Point{x, r.cpu})
	s.bytes = append(s.bytes, Point{x, r.bytes})
	s.messages = append(s.messages, Point{x, r.messages})
	s.memory = append(s.memory, Point{x, r.memory})
}
