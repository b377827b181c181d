//go:build review

package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. A case returns the number of breaks of the rule.
var cases = map[string]func(w *world, trouble bool) (int, error){
	"replaced": runReplaced,
	"outside":  runOutside,
	"evac":     runEvacuation,
	"values":   runValues,
	"regress":  runRegress,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns its exit code.
func play(name, recordPath string) int {
	w, err := newWorld(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	w.logf("case %s, with the disruption: %v", name, trouble)
	broken, err := cases[name](w, trouble)
	for _, r := range w.allRuns() {
		w.logf("ran %s at %s in %s at %.3f for %s: %s; values %v", r.id, r.backend, r.zone, r.at.Sub(w.started).Seconds(), r.tenant, r.text, r.values)
	}
	switch {
	case err != nil:
		w.logf("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken > 0:
		w.logf("the rule was broken %d times", broken)
		fmt.Println("broken", broken, "times")
		return exitBroken
	}
	w.logf("the rule held")
	fmt.Println("held")
	return exitHeld
}

// deploy starts a small deployment with a first configuration and waits until each route serves a write
// or a read.
func (w *world) deploy(controls, entries int, services []string, routes []route, tenants []tenant) error {
	w.addNodes("control", controls)
	w.addNodes("entry", entries)
	for _, s := range services {
		w.addGroup(s)
	}
	if err := w.startBackends(); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	if _, err := w.order("/Config.Put", w.configuration(1, routes, tenants), nil, 20*time.Second); err != nil {
		return err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return err
	}
	for _, r := range routes {
		if err := w.awaitRoute(r, tenants[0], 20*time.Second); err != nil {
			return err
		}
	}
	w.logf("the deployment serves")
	return nil
}

// awaitRoute waits until a route serves a read.
func (w *world) awaitRoute(r route, t tenant, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, n := range w.byRole("entry") {
		for {
			s, err := open(n, r.host, t.key)
			if err == nil {
				a, err := s.query(newID(), "READ warm")
				s.close()
				if err == nil && a.code == "" {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s does not serve %s", n.name, r.host)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return nil
}
