//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"
)

const (
	// powerTime is how long a machine of the core is without power: as long as the site file of
	// nespra-bridge has it at most.
	powerTime = 7 * time.Second
	// catchUp and recovery are the bounds catch_up_s and recovery_s.
	catchUp  = 4 * time.Second
	recovery = 12 * time.Second
	// maxRounds is how often the outage is tried. It takes effect if the machine that has just joined
	// leads when the other one returns.
	maxRounds = 4
)

// powerOff ends the process of a machine at once. powerOn starts it again.
func (n *node) powerOff() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down = true
	_ = n.cmd.Process.Kill()
	n.w.logf("%s is without power", n.name)
}

// powerOn starts the process of a machine with the disk that it had, or with an empty one.
func (n *node) powerOn(wiped bool) error {
	if wiped {
		if err := os.RemoveAll(filepath.Join(n.w.dir, "data-"+n.name)); err != nil {
			return err
		}
	}
	n.w.logf("%s starts, with an empty disk: %v", n.name, wiped)
	return n.start(false)
}

// running returns the machines of the core that run and were not removed.
func (w *world) running() []*node {
	return slices.DeleteFunc(w.byRole("control"), func(n *node) bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.down
	})
}

// leaderNode returns the machine that leads the core, or nil.
func (w *world) leaderNode() *node {
	leader := w.leader()
	for _, n := range w.running() {
		if n.ip+":7560" == leader {
			return n
		}
	}
	return nil
}

// awaitLeader waits until a machine other than the given one leads.
func (w *world) awaitLeader(former *node, limit time.Duration) *node {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n := w.leaderNode(); n != nil && n != former {
			return n
		}
	}
	return nil
}

// runOutside replaces the leader of the core as planned while another machine of the core is without
// power, and lets two machines lose their disks long after all are back.
func runOutside(w *world, trouble bool) (int, error) {
	crew := tenant{name: "crew", key: "key-of-the-crew-0001", rate: 2000, burst: 2000}
	db := route{host: "logbook", kind: "primary", service: "logs-a", timeout: 1000, target: 200}
	if err := w.deploy(5, 3, []string{"logs-a", "logs-b", "logs-c"}, []route{db}, []tenant{crew}); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	var outside *node // the machine that was without power, once one that joined meanwhile leads
	for round := 1; round <= maxRounds && outside == nil; round++ {
		returned, joined, err := w.replaceLeader(round, trouble)
		if err != nil {
			return 0, err
		}
		time.Sleep(500 * time.Millisecond)
		leads := w.leaderNode() == joined
		w.logf("round %d: the machine that has joined leads: %v", round, leads)
		if leads || !trouble {
			outside = returned
		}
		time.Sleep(catchUp + settleWindow)
	}
	if outside == nil {
		return 0, fmt.Errorf("no round in which the new machine led")
	}
	w.logf("all %d machines of the core run; calm for some seconds", len(w.running()))
	time.Sleep(3 * time.Second)
	return w.finalFault(db, crew, outside)
}

// replaceLeader starts a new machine of the core and stops the leader for good, once the new one has had
// catch_up_s. With the disruption another machine is without power meanwhile, and if the first election
// gives the lead to a machine that it knows, that one is killed. It returns the machine that was without
// power and the new one.
func (w *world) replaceLeader(round int, trouble bool) (returned, joined *node, err error) {
	leader := w.leaderNode()
	if leader == nil {
		return nil, nil, fmt.Errorf("no leader")
	}
	for _, n := range w.running() {
		if n != leader {
			returned = n
			break
		}
	}
	begin := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(begin.Add(d))) }
	if trouble {
		returned.powerOff()
	}
	at(2 * time.Second)
	if joined, err = w.join(round, leader.zone); err != nil {
		return nil, nil, err
	}
	at(2*time.Second + catchUp + 50*time.Millisecond)
	leader = w.leaderNode()
	if leader == nil || leader == joined {
		return nil, nil, fmt.Errorf("no former leader to replace")
	}
	leader.remove()
	next := w.awaitLeader(leader, 2*time.Second)
	if trouble && next != nil && next != joined {
		next.kill(500 * time.Millisecond)
		w.awaitLeader(next, 2*time.Second)
	}
	at(powerTime)
	if trouble {
		err = returned.powerOn(false)
	}
	return returned, joined, err
}

// wipeTwo lets two machines of the core lose their disks, right after an acknowledgement. They start again
// after a second at their addresses, with empty disks.
func (w *world) wipeTwo(spared *node) error {
	leader := w.leaderNode()
	var chosen []*node
	for _, n := range w.running() {
		if n != leader && n != spared && len(chosen) < 2 {
			chosen = append(chosen, n)
		}
	}
	for _, n := range chosen {
		n.powerOff()
	}
	time.Sleep(time.Second)
	for _, n := range chosen {
		if err := n.powerOn(true); err != nil {
			return err
		}
	}
	return nil
}

// servedShare returns the share of requests that are served in a time, at all fronts.
func (w *world) servedShare(r route, t tenant, limit time.Duration) float64 {
	asked, served := 0, 0
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, n := range w.byRole("entry") {
			asked++
			s, err := open(n, r.host, t.key)
			if err != nil {
				w.logf("request %d at %s: %v", asked, n.name, err)
				continue
			}
			a, err := s.query(newID(), "READ item-1")
			s.close()
			if err == nil && a.code == "" {
				served++
			}
		}
	}
	w.logf("%d of %d requests served", served, asked)
	return float64(served) / float64(max(asked, 1))
}
