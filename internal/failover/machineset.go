package failover

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
)

// MachineSet holds one Machine per group of the agreed state. It is not safe for
// concurrent use.
type MachineSet struct {
	cfg      Config
	machines map[string]*Machine
	// lives holds the life of the service of each machine.
	lives    map[string]uint64
	state    *agreed.State
	services []string // sorted, so that effects have a fixed order
	leaving  map[string]bool
	settled  uint64
}

// NewMachineSet returns a MachineSet without groups. A new control leader starts
// with a new MachineSet.
func NewMachineSet(cfg Config) *MachineSet {
	return &MachineSet{cfg: cfg, machines: make(map[string]*Machine), lives: make(map[string]uint64)}
}

// SetState sends the agreed state to all machines, starts those of new groups and
// drops those of removed ones, also of those that have returned since. The leaving set holds the endpoints that requested to
// be taken out of use.
func (ms *MachineSet) SetState(now time.Time, s *agreed.State, leaving map[string]bool) []Effect {
	ms.state, ms.leaving = s, leaving
	ms.services = slices.Sorted(maps.Keys(s.Groups))
	electorate := NewElectorate(EntryHosts(s))
	for service := range ms.machines {
		if g, ok := s.Groups[service]; !ok || g.Life != ms.lives[service] {
			delete(ms.machines, service)
			delete(ms.lives, service)
		}
	}
	var effects []Effect
	for _, service := range ms.services {
		m := ms.machines[service]
		if m == nil {
			m = New(ms.cfg)
			ms.machines[service], ms.lives[service] = m, s.Groups[service].Life
			m.Step(now, Settled{Revision: ms.settled})
		}
		effects = append(effects, m.Step(now, ms.view(service, electorate))...)
	}
	return effects
}

// Step sends an event to the machine of a service. It ignores unknown services.
func (ms *MachineSet) Step(now time.Time, service string, event Event) []Effect {
	m := ms.machines[service]
	if m == nil {
		return nil
	}
	return m.Step(now, event)
}

// StepAll sends an event, such as Settled or Tick, to all machines.
func (ms *MachineSet) StepAll(now time.Time, event Event) []Effect {
	if s, ok := event.(Settled); ok {
		ms.settled = max(ms.settled, s.Revision)
	}
	var effects []Effect
	for _, service := range ms.services {
		effects = append(effects, ms.machines[service].Step(now, event)...)
	}
	return effects
}

// Reason returns why a group is not active, or what it waits for.
func (ms *MachineSet) Reason(service string) string {
	if m := ms.machines[service]; m != nil {
		return m.reason
	}
	return ""
}

func (ms *MachineSet) view(service string, electorate *Electorate) View {
	s := ms.state
	group := s.Groups[service]
	v := View{
		Group:      group,
		Size:       s.Catalog.Services[service].Endpoints,
		Electorate: electorate,
		Leaving:    s.Catalog.Services[service].Leaving,

		Ack:          s.Catalog.Services[service].Ack,
		SyncReplicas: s.Catalog.Services[service].SyncReplicas,
	}
	for _, id := range group.Members {
		domain := s.Endpoints[id].Domain
		v.Members = append(v.Members, Member{
			Endpoint:  id,
			Domain:    domain,
			DomainOut: s.Catalog.Domains[domain].Out,
			Leaving:   ms.leaving[id] || s.Endpoints[id].Leaving,
		})
	}
	return v
}

// EntryHosts returns the registered entry hosts, which watch endpoints, by host id. Absent hosts
// have no say: they must not act, and their reports do not arrive while they are cut off, so that
// a primary that nobody else reaches would never be replaced.
func EntryHosts(s *agreed.State) []Watcher {
	var watchers []Watcher
	for _, h := range s.Hosts {
		if h.Entry && !h.Absent {
			watchers = append(watchers, Watcher{Host: h.ID, Domain: h.Domain, Region: s.Catalog.Domains[h.Domain].Region})
		}
	}
	slices.SortFunc(watchers, func(a, b Watcher) int {
		return cmp.Compare(a.Host, b.Host)
	})
	return watchers
}
