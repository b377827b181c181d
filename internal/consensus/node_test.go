package consensus

import (
	"fmt"
	"slices"
	"testing"
)

// requireNoViolation fails the test if the checker found a violated property.
func (c *cluster) requireNoViolation() {
	c.t.Helper()
	if v := c.checker.violation; v != "" {
		c.t.Fatal(v)
	}
}

func TestSingleVoterCommits(t *testing.T) {
	c := newCluster(t, 1, "a")
	c.propose("x")
	c.propose("y")
	if got := c.procs["a"].state.commands; !slices.Equal(got, []string{"x", "y"}) {
		t.Fatalf("applied %v, want [x y]", got)
	}
	c.requireNoViolation()
}

func TestReplicationSurvivesLeaderChange(t *testing.T) {
	c := newCluster(t, 2, "a", "b", "c")
	c.propose("x")
	old := c.leader()
	c.stop(old.cfg.Host)
	c.runUntil("another leader", func() bool { return c.leader() != nil })
	c.propose("y")
	c.start(old.cfg.Host)
	c.propose("z")
	for h, p := range c.procs {
		if !slices.Equal(p.state.commands, []string{"x", "y", "z"}) {
			t.Errorf("%s applied %v, want [x y z]", h, p.state.commands)
		}
	}
	c.requireNoViolation()
}

func TestRestartContinuesFromDisk(t *testing.T) {
	c := newCluster(t, 3, "a", "b", "c")
	c.snapshotEvery = 10
	for i := range 50 {
		c.propose(fmt.Sprint(i))
	}
	for _, h := range c.hosts {
		c.start(h)
	}
	c.propose("after")
	if got := len(c.procs["a"].state.commands); got != 51 {
		t.Fatalf("%d commands after the restart, want 51", got)
	}
	c.requireNoViolation()
}

func TestConfirmQuorumNeedsReachableQuorum(t *testing.T) {
	c := newCluster(t, 4, "a", "b", "c")
	c.propose("x")
	p := c.leader()
	if err := p.node.ConfirmQuorum(7); err != nil {
		t.Fatal(err)
	}
	c.processReady(p)
	if len(p.confirmed) != 0 {
		t.Fatal("confirmed before any follower responded")
	}
	c.runUntil("confirmed", func() bool { return len(p.confirmed) == 1 })
	c.isolate(p.cfg.Host, true)
	if err := p.node.ConfirmQuorum(8); err != nil {
		t.Fatal(err)
	}
	c.processReady(p)
	c.runUntil("dropped", func() bool { return slices.Contains(p.failedConfirms, 8) })
	if len(p.confirmed) != 1 {
		t.Fatal("an isolated leader confirmed a call")
	}
	c.requireNoViolation()
}

// Without pre-vote, a node that was cut off would return with a higher term and
// force the leader to step down.
func TestIsolatedNodeReturnKeepsLeaderAndTerm(t *testing.T) {
	c := newCluster(t, 5, "a", "b", "c")
	c.propose("x")
	p := c.leader()
	term := p.node.hard.Term
	other := c.hosts[0]
	if other == p.cfg.Host {
		other = c.hosts[1]
	}
	c.isolate(other, true)
	for range 200 {
		c.round()
	}
	c.isolate(other, false)
	for range 200 {
		c.round()
	}
	if c.leader() != p || p.node.hard.Term != term {
		t.Fatalf("the leader was replaced, or its term changed from %d to %d", term, p.node.hard.Term)
	}
	c.requireNoViolation()
}
