package capacity

import (
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/failover"
	"github.com/galenabridge/galenabridge/internal/lease"
	"github.com/galenabridge/galenabridge/internal/pgback"
)

// Item is the computed cost of one mechanism on one host of a role.
type Item struct {
	Name      string
	Mechanism string
	// Basis describes how the load follows from the target.
	Basis    string
	CPU      float64 // share of one core
	Traffic  float64 // bytes per second, both directions
	Messages float64 // per second
	Memory   float64 // bytes
}

// Role is the computed cost of one host of a role, of which the fleet has Count.
type Role struct {
	Name  string
	Count int
	Items []Item
}

// Total returns the sum of the items.
func (r Role) Total() Item {
	total := Item{Name: "total"}
	for _, i := range r.Items {
		total.CPU += i.CPU
		total.Traffic += i.Traffic
		total.Messages += i.Messages
		total.Memory += i.Memory
	}
	return total
}

// costModel computes the cost of a target from measured slopes. err reports the
// first slope that is missing; the results are valid only if it is nil.
type costModel struct {
	target       Target
	measurements Measurements
	err          error
}

// perUnit returns the cost of one unit of a slope's variable. The fit of a cost
// that does not depend on the variable may be slightly negative; it counts as zero.
func (c *costModel) perUnit(name string) float64 {
	s, ok := c.measurements.Get(name)
	if !ok && c.err == nil {
		c.err = errors.Errorf("no measurement of %s", name)
	}
	return max(s.PerUnit, 0)
}

// stateMemory returns the memory of the agreed state on every host, in bytes.
func (c *costModel) stateMemory() float64 {
	t := c.target
	return float64(t.Workspaces)*c.perUnit(SlopeStateMemory) +
		float64(t.Hosts+t.ControlHosts())*c.perUnit(SlopeHostMemory) +
		float64(t.Databases)*c.perUnit(SlopeDBMemory)
}

// snapshotBytes returns the size of the agreed state on the wire. Hosts and
// databases count with their size in memory, which is larger.
func (c *costModel) snapshotBytes() float64 {
	t := c.target
	return float64(t.Workspaces)*c.perUnit(SlopeStateBytes) +
		float64(t.Hosts+t.ControlHosts())*c.perUnit(SlopeHostMemory) +
		float64(t.Databases)*c.perUnit(SlopeDBMemory)
}

// homeDatabases returns the number of databases that an entry host serves.
func (c *costModel) homeDatabases() float64 {
	return float64(c.target.Databases*c.target.HomeHosts) / float64(c.target.Hosts)
}

// probesPerHost returns the number of probes that one entry host sends per second.
func (c *costModel) probesPerHost() float64 {
	watchers := min(c.target.Domains, failover.MaxWatcherDomains)
	primaries := float64(c.target.Databases*watchers) / failover.ProbeInterval.Seconds()
	replicas := float64((c.target.Endpoints()-c.target.Databases)*watchers) / failover.ReplicaProbeInterval.Seconds()
	return (primaries + replicas) / float64(c.target.Hosts)
}

// observationsPerHost returns the number of observations that one entry host
// reports per second while all endpoints are healthy.
func (c *costModel) observationsPerHost() float64 {
	watchers := min(c.target.Domains, failover.MaxWatcherDomains)
	return float64(c.target.Endpoints()*watchers) / failover.ReportInterval.Seconds() / float64(c.target.Hosts)
}

// hostChangesPerSecond returns the number of registrations and removals of hosts
// per second.
func (c *costModel) hostChangesPerSecond() float64 {
	return perSecond(2 * (c.target.RestartsPerDay + c.target.HostFailuresDay))
}

// pairsPerHost returns the number of quota keys that one entry host uses: one for
// the rate of each active workspace, and two for the connections and the slots of
// each endpoint.
func (c *costModel) pairsPerHost() float64 {
	return float64(c.target.ActiveWorkspaces) + 2*c.homeDatabases()*float64(c.target.EndpointsPerDatabase)
}

// entryRole returns the control work of an ordinary entry host, to which the bounds
// apply.
func (c *costModel) entryRole() Role {
	t := c.target
	renewals := 1 / lease.DefaultConfig().RenewInterval.Seconds()
	replicas := c.homeDatabases() * float64(t.EndpointsPerDatabase-1)
	positionPolls := replicas/pgback.ReplicaPollInterval.Seconds() + c.homeDatabases()/pgback.PrimaryPollInterval.Seconds()
	rolePolls := c.homeDatabases() * float64(t.EndpointsPerDatabase) / pgback.RolePollInterval.Seconds()
	return Role{Name: "entry host", Count: t.Hosts, Items: []Item{
		{
			Name: "configuration lease", Mechanism: "one lease per host, renewed through a relay (003)",
			Basis:   "one renewal every 700 ms",
			CPU:     c.perUnit(SlopeSubscriptionCPU),
			Traffic: c.perUnit(SlopeRelayBytes), Messages: 2 * renewals,
		},
		{
			Name: "agreed state", Mechanism: "numbered deltas pushed by a relay, immutable state patched (004)",
			Basis:    "notes, registrations and failovers of the day",
			CPU:      t.DeltasPerSecond() * float64(t.Workspaces) * c.perUnit(SlopeApplyCPU),
			Traffic:  t.DeltasPerSecond() * c.perUnit(SlopeDeltaBytes),
			Messages: t.DeltasPerSecond(),
			Memory:   c.stateMemory(),
		},
		{
			Name: "watching endpoints", Mechanism: "rendezvous-chosen watchers per failure domain (008)",
			Basis:    "probes of primaries and replicas, spread over all hosts; assignment anew when hosts change",
			CPU:      c.probesPerHost()*c.perUnit(SlopeProbeCPU) + c.hostChangesPerSecond()*float64(t.Endpoints())*c.perUnit(SlopeAssignCPU),
			Traffic:  c.probesPerHost()*c.perUnit(SlopeProbeBytes) + c.observationsPerHost()*c.perUnit(SlopeObserveBytes)/2,
			Messages: c.probesPerHost() + c.observationsPerHost(),
		},
		{
			Name: "positions of endpoints in use", Mechanism: "monitor per endpoint of the home set (007, 010)",
			Basis:    "databases at home here, each endpoint polled",
			CPU:      positionPolls*c.perUnit(SlopePositionCPU) + rolePolls*c.perUnit(SlopeProbeCPU),
			Traffic:  positionPolls*c.perUnit(SlopePositionBytes) + rolePolls*c.perUnit(SlopeProbeBytes),
			Messages: positionPolls + rolePolls,
		},
		{
			Name: "quota leases", Mechanism: "holder, one request per owner with all keys that are due (005)",
			Basis:   "active workspaces, connections and slots of the endpoints in use",
			CPU:     c.pairsPerHost() * c.perUnit(SlopeQuotaHolderCPU),
			Traffic: c.pairsPerHost() * c.perUnit(SlopeQuotaBytes),
			Memory:  c.pairsPerHost() * c.perUnit(SlopeQuotaMemory),
		},
	}}
}

// relayRole returns the control work of a control host without a vote.
func (c *costModel) relayRole() Role {
	t := c.target
	subscribers := t.SubscribersPerRelay()
	restarts := perSecond(t.RestartsPerDay+t.HostFailuresDay) / float64(max(t.Relays, 1))
	ownedPairs := c.pairsPerHost() * float64(t.Hosts) / float64(t.ControlHosts())
	return Role{Name: "relay", Count: t.Relays, Items: []Item{
		{
			Name: "leases of subscribers", Mechanism: "broker; one upstream round for all waiting renewals (003)",
			Basis:    "hosts spread over the relays",
			CPU:      subscribers * c.perUnit(SlopeRelayCPU),
			Traffic:  subscribers * c.perUnit(SlopeRelayBytes),
			Messages: subscribers * c.perUnit(SlopeRelayMessages),
			Memory:   subscribers * c.perUnit(SlopeRelayMemory),
		},
		{
			Name: "deltas to subscribers", Mechanism: "encoded once per revision, pushed (004)",
			Basis:    "changes of the day",
			CPU:      t.DeltasPerSecond() * subscribers * c.perUnit(SlopeDeltaCPU),
			Traffic:  t.DeltasPerSecond() * subscribers * c.perUnit(SlopeDeltaBytes),
			Messages: t.DeltasPerSecond() * subscribers,
			Memory:   c.stateMemory(),
		},
		{
			Name: "snapshots to restarted hosts", Mechanism: "whole state on join (004)",
			Basis:   "restarts and failures of the day",
			Traffic: restarts * c.snapshotBytes(),
		},
		{
			Name: "quota owner", Mechanism: "owners by rendezvous hashing over control hosts (005)",
			Basis:   "pairs of the fleet over all control hosts",
			CPU:     ownedPairs * c.perUnit(SlopeQuotaOwnerCPU),
			Traffic: ownedPairs * c.perUnit(SlopeQuotaBytes),
			Memory:  ownedPairs * c.perUnit(SlopeQuotaMemory),
		},
	}}
}

// leaderRole returns the work of the control leader.
func (c *costModel) leaderRole() Role {
	t := c.target
	announcements := float64(t.Endpoints()) / t.AnnounceInterval
	observations := c.observationsPerHost() * float64(t.Hosts)
	ownedPairs := c.pairsPerHost() * float64(t.Hosts) / float64(t.ControlHosts())
	return Role{Name: "control leader", Count: 1, Items: []Item{
		{
			Name: "leases of relays", Mechanism: "broker; quorum confirmed once per round (003)",
			Basis:   "all hosts, behind relays",
			CPU:     float64(t.Hosts) * c.perUnit(SlopeLeaderCPU),
			Traffic: float64(t.Hosts) * c.perUnit(SlopeLeaderBytes),
		},
		{
			Name: "log and deltas", Mechanism: "consensus log, synced; learners get the log (001, 002)",
			Basis:    "changes of the day to voters and relays",
			CPU:      t.DeltasPerSecond() * float64(t.ControlHosts()) * c.perUnit(SlopeDeltaCPU),
			Traffic:  t.DeltasPerSecond() * float64(t.ControlHosts()) * c.perUnit(SlopeDeltaBytes),
			Messages: t.DeltasPerSecond() * float64(t.ControlHosts()),
			Memory:   c.stateMemory(),
		},
		{
			Name: "announcements", Mechanism: "soft state at the leader, never in the log (004)",
			Basis:    "every endpoint at its interval",
			CPU:      announcements * c.perUnit(SlopeAnnounceCPU),
			Traffic:  announcements * c.perUnit(SlopeAnnounceBytes),
			Messages: announcements,
		},
		{
			Name: "observations and failover", Mechanism: "one machine per group at the leader (008)",
			Basis:    "reports of all watchers while the endpoints are well",
			CPU:      observations * c.perUnit(SlopeObserveCPU),
			Traffic:  observations * c.perUnit(SlopeObserveBytes),
			Messages: observations,
		},
		{
			Name: "quota owner", Mechanism: "as on relays (005)", Basis: "pairs of the fleet over all control hosts",
			CPU:     ownedPairs * c.perUnit(SlopeQuotaOwnerCPU),
			Traffic: ownedPairs * c.perUnit(SlopeQuotaBytes),
			Memory:  ownedPairs * c.perUnit(SlopeQuotaMemory),
		},
	}}
}

// callersRole returns the work of an entry host for callers, to which the bounds
// do not apply.
func (c *costModel) callersRole() Role {
	t := c.target
	callers := float64(t.CallerConnections) / float64(t.Hosts)
	statements := t.Statements / float64(t.Hosts)
	return Role{Name: "entry host, work for callers", Count: t.Hosts, Items: []Item{
		{
			Name: "caller connections", Mechanism: "one session task each (007)", Basis: "connections spread over all hosts",
			Memory: callers * c.perUnit(SlopeCallerMemory),
		},
		{
			Name: "statements", Mechanism: "pooled endpoint connections (007)", Basis: "statements spread over all hosts",
			CPU:      statements * c.perUnit(SlopeStatementCPU),
			Traffic:  statements * c.perUnit(SlopeStatementBytes),
			Messages: statements,
		},
		{
			Name: "logins", Mechanism: "SCRAM-SHA-256, bounded number at once", Basis: "one login an hour per connection",
			CPU: callers / 3600 * c.perUnit(SlopeLoginCPU),
		},
	}}
}

// modelRoles returns all roles; the first one is the entry host. It returns an error
// if a slope that the model needs is missing.
func modelRoles(t Target, m Measurements) ([]Role, error) {
	model := &costModel{target: t, measurements: m}
	roles := []Role{model.entryRole(), model.relayRole(), model.leaderRole(), model.callersRole()}
	return roles, model.err
}
