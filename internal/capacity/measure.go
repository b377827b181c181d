package capacity

import (
	"fmt"
	"io"
	"time"
)

// System names the processes that are measured.
type System struct {
	Fleet  string
	Secret string
	Domain string
	// LeaderAdmin is the admin address of the only voter.
	LeaderAdmin string
	// RelayHost, RelayPeer and RelayAdmin are a control host without a vote.
	RelayHost  string
	RelayPeer  string
	RelayAdmin string
	// EntryAdmin is the admin address of an entry host, CallerURL a caller's
	// connection string for it.
	EntryAdmin string
	CallerURL  string
	// Standin is the address of a stand-in endpoint with its credentials.
	StandinAddr     string
	StandinDatabase string
	StandinUser     string
	StandinPassword string
}

// Plan sets how long and up to which sizes is measured.
type Plan struct {
	Window      time.Duration
	Subscribers []int
	// Notes is the number of release notes applied at the greatest number of
	// subscribers.
	Notes int
	// EventRates are events per second of announcements and observations.
	EventRates     []int
	ProbeRates     []int
	Callers        []int
	StatementRates []int
	Workspaces     []int
	QuotaPairs     []int
}

// DefaultPlan reaches the sizes of the target where one machine allows it.
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
		QuotaPairs:     []int{100, 300, 1000},
	}
}

// Names of the slopes.
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

// run collects the slopes of one measurement.
type run struct {
	system System
	plan   Plan
	out    io.Writer
	slopes []Slope
}

// Measure takes all measurements, with a line of progress for each.
func Measure(system System, plan Plan, progress io.Writer) ([]Slope, error) {
	r := &run{system: system, plan: plan, out: progress}
	steps := []struct {
		name string
		do   func() error
	}{
		{"state", r.measureState},
		{"quota", r.measureQuota},
		{"probes", r.measureProbes},
		{"callers", r.measureCallers},
		{"statements", r.measureStatements},
		{"subscribers", r.measureSubscribers},
	}
	for _, step := range steps {
		start := time.Now()
		if err := step.do(); err != nil {
			return r.slopes, fmt.Errorf("measure %s: %w", step.name, err)
		}
		fmt.Fprintf(r.out, "measured step=%s took=%s\n", step.name, time.Since(start).Round(time.Second))
	}
	return r.slopes, nil
}

// add fits and keeps a slope.
func (r *run) add(name, variable, unit string, points []Point) {
	s := Fit(name, variable, unit, points)
	r.slopes = append(r.slopes, s)
	fmt.Fprintf(r.out, "slope name=%s per_unit=%.4g base=%.4g r2=%.3f\n", name, s.PerUnit, s.Base, s.R2)
}

// series collects the points of several slopes over one variable.
type series struct {
	cpu, bytes, messages, memory []Point
}

func (s *series) add(x float64, r rates) {
	s.cpu = append(s.cpu, Point{x, r.cpu})
	s.bytes = append(s.bytes, Point{x, r.bytes})
	s.messages = append(s.messages, Point{x, r.messages})
	s.memory = append(s.memory, Point{x, r.memory})
}
