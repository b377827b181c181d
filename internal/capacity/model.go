package capacity

import (
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/failover"
	"github.com/galenabridge/galenabridge/internal/lease"
	"github.com/galenabridge/galenabridge/internal/pgback"
)

// Item is the worked cost of one mechanism on one host of a role.
type Item struct {
	Name      string
	Mechanism string
	// Basis tells how the load follows from the target.
	Basis    string
	CPU      float64 // share of one core
	Traffic  float64 // bytes per second, both directions
	Messages float64 // per second
	Memory   float64 // bytes
}

// Role is the worked cost of one host of a role.
type Role struct {
	Name  string
	Count int
	Items []Item
}

// Total adds up the items of a role.
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

// modeller works out items from slopes. It keeps the first missing slope as its
// error.
type modeller struct {
	t   Target
	m   Measurements
	err error
}

// per returns the cost of one unit. Small negative fits of costs that do not
// depend on the variable count as zero.
func (c *modeller) per(name string) float64 {
	s, ok := c.m.Get(name)
	if !ok && c.err == nil {
		c.err = errors.Errorf("no measurement of %s", name)
	}
	return max(s.PerUnit, 0)
}

// stateMemory is the memory of the agreed state on every host.
func (c *modeller) stateMemory() float64 {
	t := c.t
	return float64(t.Workspaces)*c.per(SlopeStateMemory) +
		float64(t.Hosts+t.ControlHosts())*c.per(SlopeHostMemory) +
		float64(t.Databases)*c.per(SlopeDBMemory)
}

// snapshotBytes is the size of the agreed state on the wire. Hosts and
// databases count with their memory, which is more.
func (c *modeller) snapshotBytes() float64 {
	t := c.t
	return float64(t.Workspaces)*c.per(SlopeStateBytes) +
		float64(t.Hosts+t.ControlHosts())*c.per(SlopeHostMemory) +
		float64(t.Databases)*c.per(SlopeDBMemory)
}

// homeDatabases is the number of databases that a host serves.
func (c *modeller) homeDatabases() float64 {
	return float64(c.t.Databases*c.t.HomeHosts) / float64(c.t.Hosts)
}

// probesPerHost is the number of probes per second of one entry host.
func (c *modeller) probesPerHost() float64 {
	watchers := min(c.t.Domains, failover.MaxWatcherDomains)
	primaries := float64(c.t.Databases*watchers) / failover.ProbeInterval.Seconds()
	replicas := float64((c.t.Endpoints()-c.t.Databases)*watchers) / failover.ReplicaProbeInterval.Seconds()
	return (primaries + replicas) / float64(c.t.Hosts)
}

// observationsPerHost is the number of reports per second while all endpoints
// are well.
func (c *modeller) observationsPerHost() float64 {
	watchers := min(c.t.Domains, failover.MaxWatcherDomains)
	return float64(c.t.Endpoints()*watchers) / failover.ReportInterval.Seconds() / float64(c.t.Hosts)
}

// hostChanges is the number of registrations and removals per second.
func (c *modeller) hostChanges() float64 {
	return perSecond(2 * (c.t.RestartsPerDay + c.t.HostFailuresDay))
}

// pairsPerHost is the number of quota keys that one entry host uses: the rates
// of its active workspaces, connections and slots of its endpoints.
func (c *modeller) pairsPerHost() float64 {
	return float64(c.t.ActiveWorkspaces) + 2*c.homeDatabases()*float64(c.t.EndpointsPerDatabase)
}

func (c *modeller) entryRole() Role {
	t := c.t
	renews := 1 / lease.DefaultConfig().RenewInterval.Seconds()
	replicas := c.homeDatabases() * float64(t.EndpointsPerDatabase-1)
	positions := replicas/pgback.ReplicaPollInterval.Seconds() + c.homeDatabases()/pgback.PrimaryPollInterval.Seconds()
	roles := c.homeDatabases() * float64(t.EndpointsPerDatabase) / pgback.RolePollInterval.Seconds()
	return Role{Name: "entry host", Count: t.Hosts, Items: []Item{
		{
			Name: "configuration lease", Mechanism: "one lease per host, renewed through a relay (003)",
			Basis:   "one renewal every 700 ms",
			CPU:     c.per(SlopeSubscriptionCPU),
			Traffic: c.per(SlopeRelayBytes), Messages: 2 * renews,
		},
		{
			Name: "agreed state", Mechanism: "numbered deltas pushed by a relay, immutable state patched (004)",
			Basis:    "notes, registrations and failovers of the day",
			CPU:      t.DeltasPerSecond() * float64(t.Workspaces) * c.per(SlopeApplyCPU),
			Traffic:  t.DeltasPerSecond() * c.per(SlopeDeltaBytes),
			Messages: t.DeltasPerSecond(),
			Memory:   c.stateMemory(),
		},
		{
			Name: "watching endpoints", Mechanism: "rendezvous-chosen watchers per failure domain (008)",
			Basis:    "probes of primaries and replicas, spread over all hosts; assignment anew when hosts change",
			CPU:      c.probesPerHost()*c.per(SlopeProbeCPU) + c.hostChanges()*float64(t.Endpoints())*c.per(SlopeAssignCPU),
			Traffic:  c.probesPerHost()*c.per(SlopeProbeBytes) + c.observationsPerHost()*c.per(SlopeObserveBytes)/2,
			Messages: c.probesPerHost() + c.observationsPerHost(),
		},
		{
			Name: "positions of endpoints in use", Mechanism: "monitor per endpoint of the home set (007, 010)",
			Basis:    "databases at home here, each endpoint polled",
			CPU:      positions*c.per(SlopePositionCPU) + roles*c.per(SlopeProbeCPU),
			Traffic:  positions*c.per(SlopePositionBytes) + roles*c.per(SlopeProbeBytes),
			Messages: positions + roles,
		},
		{
			Name: "quota leases", Mechanism: "holder, one request per owner with all keys that are due (005)",
			Basis:   "active workspaces, connections and slots of the endpoints in use",
			CPU:     c.pairsPerHost() * c.per(SlopeQuotaHolderCPU),
			Traffic: c.pairsPerHost() * c.per(SlopeQuotaBytes),
			Memory:  c.pairsPerHost() * c.per(SlopeQuotaMemory),
		},
	}}
}

func (c *modeller) relayRole() Role {
	t := c.t
	subscribers := t.SubscribersPerRelay()
	restarts := perSecond(t.RestartsPerDay+t.HostFailuresDay) / float64(max(t.Relays, 1))
	owned := c.pairsPerHost() * float64(t.Hosts) / float64(t.ControlHosts())
	return Role{Name: "relay", Count: t.Relays, Items: []Item{
		{
			Name: "leases of subscribers", Mechanism: "broker; one upstream round for all waiting renewals (003)",
			Basis:    "hosts spread over the relays",
			CPU:      subscribers * c.per(SlopeRelayCPU),
			Traffic:  subscribers * c.per(SlopeRelayBytes),
			Messages: subscribers * c.per(SlopeRelayMessages),
			Memory:   subscribers * c.per(SlopeRelayMemory),
		},
		{
			Name: "deltas to subscribers", Mechanism: "encoded once per revision, pushed (004)",
			Basis:    "changes of the day",
			CPU:      t.DeltasPerSecond() * subscribers * c.per(SlopeDeltaCPU),
			Traffic:  t.DeltasPerSecond() * subscribers * c.per(SlopeDeltaBytes),
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
			CPU:     owned * c.per(SlopeQuotaOwnerCPU),
			Traffic: owned * c.per(SlopeQuotaBytes),
			Memory:  owned * c.per(SlopeQuotaMemory),
		},
	}}
}

func (c *modeller) leaderRole() Role {
	t := c.t
	announcements := float64(t.Endpoints()) / t.AnnounceInterval
	observations := c.observationsPerHost() * float64(t.Hosts)
	owned := c.pairsPerHost() * float64(t.Hosts) / float64(t.ControlHosts())
	return Role{Name: "control leader", Count: 1, Items: []Item{
		{
			Name: "leases of relays", Mechanism: "broker; quorum confirmed once per round (003)",
			Basis:   "all hosts, behind relays",
			CPU:     float64(t.Hosts) * c.per(SlopeLeaderCPU),
			Traffic: float64(t.Hosts) * c.per(SlopeLeaderBytes),
		},
		{
			Name: "log and deltas", Mechanism: "consensus log, synced; learners get the log (001, 002)",
			Basis:    "changes of the day to voters and relays",
			CPU:      t.DeltasPerSecond() * float64(t.ControlHosts()) * c.per(SlopeDeltaCPU),
			Traffic:  t.DeltasPerSecond() * float64(t.ControlHosts()) * c.per(SlopeDeltaBytes),
			Messages: t.DeltasPerSecond() * float64(t.ControlHosts()),
			Memory:   c.stateMemory(),
		},
		{
			Name: "announcements", Mechanism: "soft state at the leader, never in the log (004)",
			Basis:    "every endpoint at its interval",
			CPU:      announcements * c.per(SlopeAnnounceCPU),
			Traffic:  announcements * c.per(SlopeAnnounceBytes),
			Messages: announcements,
		},
		{
			Name: "observations and failover", Mechanism: "one machine per group at the leader (008)",
			Basis:    "reports of all watchers while the endpoints are well",
			CPU:      observations * c.per(SlopeObserveCPU),
			Traffic:  observations * c.per(SlopeObserveBytes),
			Messages: observations,
		},
		{
			Name: "quota owner", Mechanism: "as on relays (005)", Basis: "pairs of the fleet over all control hosts",
			CPU:     owned * c.per(SlopeQuotaOwnerCPU),
			Traffic: owned * c.per(SlopeQuotaBytes),
			Memory:  owned * c.per(SlopeQuotaMemory),
		},
	}}
}

// callersRole is the work for callers, which the bounds do not cover.
func (c *modeller) callersRole() Role {
	t := c.t
	callers := float64(t.CallerConnections) / float64(t.Hosts)
	statements := t.Statements / float64(t.Hosts)
	return Role{Name: "entry host, work for callers", Count: t.Hosts, Items: []Item{
		{
			Name: "caller connections", Mechanism: "one session task each (007)", Basis: "connections spread over all hosts",
			Memory: callers * c.per(SlopeCallerMemory),
		},
		{
			Name: "statements", Mechanism: "pooled endpoint connections (007)", Basis: "statements spread over all hosts",
			CPU:      statements * c.per(SlopeStatementCPU),
			Traffic:  statements * c.per(SlopeStatementBytes),
			Messages: statements,
		},
		{
			Name: "logins", Mechanism: "SCRAM-SHA-256, bounded number at once", Basis: "one login an hour per connection",
			CPU: callers / 3600 * c.per(SlopeLoginCPU),
		},
	}}
}

// roles works out all roles.
func roles(t Target, m Measurements) ([]Role, error) {
	c := &modeller{t: t, m: m}
	all := []Role{c.entryRole(), c.relayRole(), c.leaderRole(), c.callersRole()}
	return all, c.err
}
