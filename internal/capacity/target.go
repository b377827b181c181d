// Package capacity measures the resource use of the parts of galenabridge per unit
// of load and renders docs/CAPACITY.md from it.
//
// A Slope is the cost of one more unit of a variable, such as CPU time per
// subscriber, fitted to measurements of running processes or of code that runs in
// this process. The model multiplies the slopes by the load that follows from a
// Target, which gives the cost of one host of each role, and compares it to the
// Bounds.
package capacity

// Target is the size and load of the fleet that the page describes.
type Target struct {
	Hosts                int     `json:"hosts"`
	Databases            int     `json:"databases"`
	EndpointsPerDatabase int     `json:"endpoints_per_database"`
	CallerConnections    int     `json:"caller_connections"`
	Statements           float64 `json:"statements_per_second"`
	Regions              int     `json:"regions"`
	Domains              int     `json:"failure_domains"`
	Voters               int     `json:"voters"`
	// Relays is the number of control hosts without a vote. With the voters there
	// are at most 14.
	Relays            int     `json:"relays"`
	NotesPerDay       float64 `json:"notes_per_day"`
	RestartsPerDay    float64 `json:"restarts_per_day"`
	HostFailuresDay   float64 `json:"host_failures_per_day"`
	PrimaryChangesDay float64 `json:"primary_changes_per_day"`

	// The fields from here on are assumptions: no requirement states them.
	Workspaces       int `json:"assumed_workspaces"`
	KeysPerWorkspace int `json:"assumed_keys_per_workspace"`
	// ActiveWorkspaces is the number of workspaces that are active on one host
	// at a time.
	ActiveWorkspaces int     `json:"assumed_active_workspaces_per_host"`
	WriteShare       float64 `json:"assumed_write_share"`
	// HomeHosts is the number of entry hosts that hold connections to one
	// database.
	HomeHosts int `json:"assumed_home_hosts_per_database"`
	// AnnounceInterval is the time between two announcements of an endpoint, in
	// seconds.
	AnnounceInterval float64 `json:"assumed_announce_interval_s"`
}

// Bounds are the limits that users require for control work.
type Bounds struct {
	CPU           float64 `json:"cpu_core"`        // share of one core per host
	Memory        float64 `json:"memory_bytes"`    // bytes per host
	Traffic       float64 `json:"bytes_per_s"`     // bytes per second per host
	ControlHosts  int     `json:"control_hosts"`   // hosts set aside for control
	Dissemination float64 `json:"dissemination_s"` // seconds until a note is in force
	Failover      float64 `json:"failover_s"`      // seconds until a new primary serves
}

// Goal is a target with its bounds, as in the target file.
type Goal struct {
	Target Target `json:"target"`
	Bounds Bounds `json:"bounds"`
}

const secondsPerDay = 86400

// perSecond converts a rate per day to a rate per second.
func perSecond(perDay float64) float64 { return perDay / secondsPerDay }

// Endpoints returns the number of endpoints in the fleet.
func (t Target) Endpoints() int { return t.Databases * t.EndpointsPerDatabase }

// ControlHosts returns the number of hosts set aside for control.
func (t Target) ControlHosts() int { return t.Voters + t.Relays }

// SubscribersPerRelay returns the number of entry hosts that one relay serves when
// they are spread evenly. Without relays they are spread over the voters.
func (t Target) SubscribersPerRelay() float64 {
	servers := t.Relays
	if servers == 0 {
		servers = t.Voters
	}
	return float64(t.Hosts) / float64(servers)
}

// DeltasPerSecond returns the rate of changes of the agreed state: release notes,
// two commands per restart or failure of a host and three per change of a primary.
func (t Target) DeltasPerSecond() float64 {
	const commandsPerRestart = 2  // deregistration or removal, then registration
	const commandsPerFailover = 3 // seal, choice of the primary, its activation
	perDay := t.NotesPerDay +
		commandsPerRestart*(t.RestartsPerDay+t.HostFailuresDay) +
		commandsPerFailover*t.PrimaryChangesDay
	return perSecond(perDay)
}
