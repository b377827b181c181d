package failover

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
)

// Fleet holds one Machine per group of the agreed state. It is not safe for
// concurrent use.
type MachineSet struct {
	cfg      Config
	machines map[string]*Machine
	state    *agreed.State
	services []string // in order
	leaving  map[string]bool
	settled  uint64
}

// NewFleet returns a Fleet without groups. A new control leader starts with a
// new Fleet.
func NewMachineSet(cfg Config) *MachineSet {
	return &MachineSet{cfg: cfg, machines: make(map[string]*Machine)}
}

// SetState sends the agreed state to all machines. The leaving set names
// endpoints that asked to be taken out of use.
func (f *MachineSet) SetState(now time.Time, s *agreed.State, leaving map[string]bool) []Effect {
	f.state, f.leaving = s, leaving
	f.services = slices.Sorted(maps.Keys(s.Groups))
	electorate := NewElectorate(EntryHosts(s))
	for service := range f.machines {
		if _, ok := s.Groups[service]; !ok {
			delete(f.machines, service)
		}
	}
	var effects []Effect
	for _, service := range f.services {
		m := f.machines[service]
		if m == nil {
			m = New(f.cfg)
			f.machines[service] = m
			m.Step(now, Settled{Revision: f.settled})
		}
		effects = append(effects, m.Step(now, f.view(service, electorate))...)
	}
	return effects
}

// Step sends an event to the machine of a service. Unknown services are
// ignored.
func (f *MachineSet) Step(now time.Time, service string, event Event) []Effect {
	m := f.machines[service]
	if m == nil {
		return nil
	}
	return m.Step(now, event)
}

// StepAll sends an event, such as Settled or Tick, to all machines.
func (f *MachineSet) StepAll(now time.Time, event Event) []Effect {
	if s, ok := event.(Settled); ok {
		f.settled = max(f.settled, s.Revision)
	}
	var effects []Effect
	for _, service := range f.services {
		effects = append(effects, f.machines[service].Step(now, event)...)
	}
	return effects
}

// Reason tells why a group is not active, or what it waits for.
func (f *MachineSet) Reason(service string) string {
	if m := f.machines[service]; m != nil {
		return m.reason
	}
	return ""
}

func (f *MachineSet) view(service string, electorate *Electorate) View {
	s := f.state
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
			Leaving:   f.leaving[id] || s.Endpoints[id].Leaving,
		})
	}
	return v
}

// EntryHosts returns the registered hosts that watch endpoints.
func EntryHosts(s *agreed.State) []Watcher {
	var watchers []Watcher
	for _, h := range s.Hosts {
		if h.Entry {
			watchers = append(watchers, Watcher{Host: h.ID, Domain: h.Domain, Region: s.Catalog.Domains[h.Domain].Region})
		}
	}
	slices.SortFunc(watchers, func(a, b Watcher) int {
		return cmp.Compare(a.Host, b.Host)
	})
	return watchers
}
