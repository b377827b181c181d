package failover

import (
	"slices"
	"testing"
	"time"
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
