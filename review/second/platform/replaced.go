//go:build review

package main

import (
	"fmt"
	"path/filepath"
	"syscall"
	"time"
)

// replaceGap is the time between the two replacements, and calmTime that between the last one and the
// final fault.
const (
	replaceGap = 3 * time.Second
	calmTime   = 20 * time.Second
)

// runReplaced replaces two machines of the core as planned, one soon after the other, and lets two machines
// lose their disks long after that.
func runReplaced(w *world, trouble bool) (int, error) {
	crew := tenant{name: "crew", key: "key-of-the-crew-0001", rate: 2000, burst: 2000}
	db := route{host: "logbook", kind: "primary", service: "logs-a", timeout: 1000, target: 200}
	if err := w.deploy(5, 3, []string{"logs-a", "logs-b", "logs-c"}, []route{db}, []tenant{crew}); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		if err := w.replaceTwo(); err != nil {
			return 0, err
		}
	}
	w.logf("%d machines of the core run; calm for %v", len(w.running()), calmTime)
	time.Sleep(calmTime)
	return w.finalFault(db, crew, nil)
}

// replaceTwo starts a new machine and another one after replaceGap, and stops one of the first machines for
// good when each of them has had catch_up_s.
func (w *world) replaceTwo() error {
	former := w.byRole("control")[:2]
	begin := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(begin.Add(d))) }
	for i := range 2 {
		at(time.Duration(i) * replaceGap)
		if _, err := w.join(i+1, former[i].zone); err != nil {
			return err
		}
	}
	for i, n := range former {
		at(time.Duration(i)*replaceGap + catchUp + 50*time.Millisecond)
		n.remove()
	}
	return nil
}

// join adds a machine of the core with an empty disk at a new address.
func (w *world) join(number int, zone string) (*node, error) {
	w.seeds = nil
	for _, n := range w.running()[:seedCount] {
		w.seeds = append(w.seeds, n.ip+":"+controlPort)
	}
	n := &node{w: w, role: "control", name: fmt.Sprintf("control-new-%d", number), zone: zone, ip: fmt.Sprintf("%s%d", w.prefix, 70+number)}
	n.file = filepath.Join(w.dir, n.name+".toml")
	w.nodes = append(w.nodes, n)
	w.logf("%s is added", n.name)
	return n, n.start(false)
}

// remove stops a machine for good.
func (n *node) remove() {
	n.mu.Lock()
	n.down = true
	n.mu.Unlock()
	n.signal(syscall.SIGTERM)
}

// finalFault lets two machines lose their disks right after a configuration was acknowledged, and counts
// what is served later than recovery_s after they are back.
func (w *world) finalFault(r route, t tenant, spared *node) (int, error) {
	if served := w.servedShare(r, t, time.Second); served < 0.9 {
		return 0, fmt.Errorf("only %.2f of the requests are served before the final fault", served)
	}
	if _, err := w.order("/Config.Put", w.configuration(2, []route{r}, []tenant{t}), nil, 5*time.Second); err != nil {
		return 0, err
	}
	if err := w.wipeTwo(spared); err != nil {
		return 0, err
	}
	time.Sleep(recovery + 500*time.Millisecond)
	served := w.servedShare(r, t, 6*time.Second)
	w.logf("later than recovery_s after the machines are back, a share of %.3f of the requests is served", served)
	for _, n := range w.running() {
		status, body, err := call("GET", n, "/Config.Get", nil, time.Second)
		w.logf("GET /Config.Get at %s: %d, %d bytes, %v", n.name, status, len(body), err)
	}
	if served < 0.25 {
		w.logf("BROKEN: less than a quarter is served")
		return 1, nil
	}
	return 0, nil
}
