package failover

import (
	"fmt"
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/note"
)

// targetState is the agreed state at the size of the target.
func targetState() *agreed.State {
	s := &agreed.State{
		Catalog:   note.Catalog{Services: map[string]note.Service{}, Domains: map[string]note.Domain{}},
		Hosts:     map[string]agreed.Host{},
		Endpoints: map[string]agreed.Endpoint{},
		Groups:    map[string]agreed.Group{},
	}
	for i := range 2000 {
		id := fmt.Sprintf("host%d", i)
		s.Hosts[id] = agreed.Host{ID: id, Domain: fmt.Sprintf("d%d", i%11), Entry: true}
	}
	for i := range 2200 {
		name := fmt.Sprintf("db%d", i)
		g := agreed.Group{Service: name, Term: 1, Phase: agreed.PhaseActive, Timeline: 1, Primary: name + "-0"}
		for j := range 3 {
			id := fmt.Sprintf("%s-%d", name, j)
			g.Members = append(g.Members, id)
			s.Endpoints[id] = agreed.Endpoint{ID: id, Service: name, Domain: fmt.Sprintf("d%d", (i+j)%11)}
		}
		s.Groups[name] = g
		s.Catalog.Services[name] = note.Service{Name: name, Endpoints: 3}
	}
	return s
}

// BenchmarkFleetTick is the cost of one tick over all groups of the target.
func BenchmarkFleetTick(b *testing.B) {
	f := NewMachineSet(DefaultConfig())
	now := time.Unix(0, 0)
	f.SetState(now, targetState(), nil)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		f.StepAll(now, Tick{})
	}
}

// BenchmarkFleetSetState is the cost of one change of the agreed state.
func BenchmarkFleetSetState(b *testing.B) {
	f := NewMachineSet(DefaultConfig())
	s := targetState()
	b.ReportAllocs()
	for b.Loop() {
		f.SetState(time.Unix(0, 0), s, nil)
	}
}

// BenchmarkObservation is the cost of one report of a watcher.
func BenchmarkObservation(b *testing.B) {
	f := NewMachineSet(DefaultConfig())
	now := time.Unix(0, 0)
	f.SetState(now, targetState(), nil)
	o := Observation{Watcher: "host0", Domain: "d0", Endpoint: "db0-0", Condition: Condition{Reachable: true, Timeline: 1}}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(ProbeInterval)
		f.Step(now, "db0", o)
	}
}
