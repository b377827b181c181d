package failover

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/note"
)

// TestQuietServiceAsksWitnesses plays the loss of a primary that only the hosts of one failure
// domain use, as where a service has few callers or its other home hosts are cut off. It guards
// against a primary that is lost and never replaced, since nobody else looks at it.
func TestQuietServiceAsksWitnesses(t *testing.T) {
	h := newHarness(t, fourDomains)
	lost := Condition{}
	h.observeFor(2*time.Second, lost, "a", fourDomains[0])
	if _, sealed := last[Seal](h); sealed {
		t.Fatal("the term was sealed on the word of one failure domain")
	}
	asked := map[string]bool{}
	for _, effect := range h.effects {
		ask, ok := effect.(AskWitnesses)
		if !ok {
			continue
		}
		if ask.Service != "s" || ask.Endpoint != "a" {
			t.Fatalf("asked %+v, want the primary of s", ask)
		}
		for _, host := range ask.Hosts {
			asked[host] = true
		}
	}
	if asked["h1"] {
		t.Error("a host was asked in the failure domain that reports the loss")
	}
	// Some hosts of a domain may be cut off, so that in the end all of them are asked.
	for _, w := range fourDomains[1:] {
		if !asked[w.Host] {
			t.Errorf("%s was not asked in two seconds", w.Host)
		}
	}
	h.observeFor(time.Second, lost, "a", fourDomains[0], fourDomains[1], fourDomains[4])
	if _, sealed := last[Seal](h); !sealed {
		t.Error("the term is not sealed although three of four domains report the loss")
	}
}

// TestHealthyPrimaryAsksNoWitnesses checks that hosts are asked only while somebody reports a loss.
func TestHealthyPrimaryAsksNoWitnesses(t *testing.T) {
	h := newHarness(t, fourDomains)
	h.observeFor(3*time.Second, Condition{Reachable: true, Timeline: 1}, "a", fourDomains[0])
	h.observeFor(time.Second, Condition{}, "b", fourDomains[0])
	if ask, asked := last[AskWitnesses](h); asked {
		t.Errorf("%+v was asked while the primary is well", ask)
	}
	h.observeFor(300*time.Millisecond, Condition{}, "a", fourDomains[0])
	h.observe(fourDomains[0], "a", Condition{Reachable: true, Timeline: 1})
	before := len(h.effects)
	h.advance(time.Second)
	if slices.ContainsFunc(h.effects[before:], func(e Effect) bool { _, ok := e.(AskWitnesses); return ok }) {
		t.Error("hosts were asked after the primary had been reached again")
	}
}

// fourDomains are the hosts of four failure domains, three in each but the first.
var fourDomains = []Watcher{
	{Host: "h1", Domain: "d1"},
	{Host: "h2", Domain: "d2"}, {Host: "h3", Domain: "d2"}, {Host: "h4", Domain: "d2"},
	{Host: "h5", Domain: "d3"}, {Host: "h6", Domain: "d3"}, {Host: "h7", Domain: "d3"},
	{Host: "h8", Domain: "d4"}, {Host: "h9", Domain: "d4"}, {Host: "h10", Domain: "d4"},
}

// TestAbsentHostsHaveNoVote plays a cut between the control hosts and all hosts of two failure
// domains of three. Once these are absent, the primary that the hosts of the third do not reach is
// replaced: before that nobody else could report it.
func TestAbsentHostsHaveNoVote(t *testing.T) {
	now := time.Unix(0, 0)
	state := agreed.New()
	state.Revision = 1
	state.Catalog.Services["s"] = note.Service{Name: "s", Endpoints: 3}
	for i, domain := range []string{"d1", "d1", "d2", "d2", "d3", "d3"} {
		id := fmt.Sprint("h", i)
		state.Hosts[id] = agreed.Host{ID: id, Domain: domain, Incarnation: 1, Entry: true}
	}
	for _, id := range []string{"a", "b", "c"} {
		state.Endpoints[id] = agreed.Endpoint{ID: id, Service: "s", Domain: "d2"}
	}
	state.Groups["s"] = agreed.Group{Service: "s", Members: []string{"a", "b", "c"}, Term: 1, Primary: "a", Phase: agreed.PhaseActive}
	ms := NewMachineSet(DefaultConfig())
	// play reports the loss by a host and by those that are asked and reached, and returns
	// whether the term is sealed within two seconds.
	play := func() bool {
		effects := ms.SetState(now, state, nil)
		reporting := map[string]bool{"h0": true}
		for range 10 {
			now = now.Add(200 * time.Millisecond)
			for host := range reporting {
				effects = append(effects, ms.Step(now, "s", Observation{Watcher: host, Domain: "d1", Endpoint: "a"})...)
			}
			effects = append(effects, ms.StepAll(now, Tick{})...)
			for _, effect := range effects {
				if _, sealed := effect.(Seal); sealed {
					return true
				}
				if ask, ok := effect.(AskWitnesses); ok && slices.Contains(ask.Hosts, "h1") {
					reporting["h1"] = true
				}
			}
		}
		return false
	}
	if play() {
		t.Fatal("the term was sealed while two failure domains of three may reach the primary")
	}
	next := *state
	next.Revision++
	next.Hosts = maps.Clone(state.Hosts)
	for _, id := range []string{"h2", "h3", "h4", "h5"} {
		h := next.Hosts[id]
		h.Absent = true
		next.Hosts[id] = h
	}
	state = &next
	if !play() {
		t.Error("the term was not sealed although no host that may act reaches the primary")
	}
}

// TestMachineOfFormerLife guards against reports about the primary of a service before it was withdrawn
// that count after it has returned, where the leader has not seen it gone.
func TestMachineOfFormerLife(t *testing.T) {
	state := agreed.New()
	for i, domain := range []string{"d1", "d2", "d3"} {
		id := fmt.Sprint("h", i)
		state.Hosts[id] = agreed.Host{ID: id, Domain: domain, Incarnation: 1, Entry: true}
	}
	for _, id := range []string{"a", "b", "c"} {
		state.Endpoints[id] = agreed.Endpoint{ID: id, Service: "s", Domain: "d1"}
	}
	group := agreed.Group{Service: "s", Members: []string{"a", "b", "c"}, Term: 1, Primary: "a", Phase: agreed.PhaseActive}
	state.Groups["s"] = group
	// report has all hosts report the loss once more and returns whether the term is sealed.
	report := func(ms *MachineSet, now time.Time) bool {
		var effects []Effect
		for host := range state.Hosts {
			effects = append(effects, ms.Step(now, "s", Observation{Watcher: host, Domain: state.Hosts[host].Domain, Endpoint: "a"})...)
		}
		effects = append(effects, ms.StepAll(now, Tick{})...)
		return slices.ContainsFunc(effects, func(e Effect) bool { _, seal := e.(Seal); return seal })
	}
	start := time.Unix(100, 0)
	ms, needed := NewMachineSet(DefaultConfig()), 1
	ms.SetState(start, state, nil)
	for ; !report(ms, start.Add(time.Duration(needed)*200*time.Millisecond)); needed++ {
		if needed == 100 {
			t.Fatal("the term was not sealed")
		}
	}
	ms = NewMachineSet(DefaultConfig())
	ms.SetState(start, state, nil)
	now := start
	for range needed - 1 {
		now = now.Add(200 * time.Millisecond)
		report(ms, now)
	}
	returned := *state
	group.Life = 9
	returned.Groups = map[string]agreed.Group{"s": group}
	ms.SetState(now, &returned, nil)
	if report(ms, now.Add(200*time.Millisecond)) {
		t.Error("the term was sealed by reports about the former life")
	}
}
