//go:build review

package main

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// rollbackSlack is the bound rollback_slack_ms of the site files.
	rollbackSlack = 250 * time.Millisecond
	// coreFreeze is how long a machine of the core freezes: as in the site file of nespra-bridge.
	coreFreeze = 4 * time.Second
	// putDelay is the time from the beginning of the freeze to the order of the operator.
	putDelay = 30 * time.Millisecond
)

// sentRequest is a request as its client sees it.
type sentRequest struct {
	id   string
	at   time.Time // when its first byte was sent
	node *node
}

// runRegress moves a route from service to service by new versions of the configuration. While each is
// put, one machine of the core that does not lead is frozen.
func runRegress(w *world, trouble bool) (int, error) {
	services := []string{"logs-a", "logs-b", "logs-c"}
	var tenants []tenant
	for i := range 8 {
		tenants = append(tenants, tenant{name: fmt.Sprintf("crew-%d", i+1), key: fmt.Sprintf("key-of-the-crew-000%d", i+1), rate: 2000, burst: 2000})
	}
	db := route{host: "logbook", kind: "primary", service: services[0], timeout: 1000, target: 200}
	if err := w.deploy(5, 6, services, []route{db}, tenants); err != nil {
		return 0, err
	}
	var mu sync.Mutex
	var sent []sentRequest
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, n := range w.byRole("entry") {
		for _, t := range tenants {
			clients.Go(func() {
				w.workOn(n, db, t, stop, func(id string, at time.Time) {
					mu.Lock()
					defer mu.Unlock()
					sent = append(sent, sentRequest{id, at, n})
				})
			})
		}
	}
	versionOf := map[string]int{services[0]: 1}
	var err error
	time.Sleep(2 * time.Second)
	for i, service := range services[1:] {
		var frozen *node
		if frozen = w.followerOtherThan(i); frozen == nil {
			err = fmt.Errorf("no machine of the core that does not lead")
			break
		}
		if trouble {
			frozen.signal(syscall.SIGSTOP)
		}
		time.Sleep(putDelay)
		db.service = service
		versionOf[service] = i + 2
		first := w.byRole("control")[0]
		if first == frozen {
			first = w.byRole("control")[1]
		}
		if _, err = w.order("/Config.Put", w.configuration(i+2, []route{db}, tenants), first, 5*time.Second); err != nil {
			break
		}
		time.Sleep(coreFreeze - putDelay)
		if trouble {
			frozen.signal(syscall.SIGCONT)
		}
		time.Sleep(6 * time.Second)
	}
	close(stop)
	clients.Wait()
	if err != nil {
		return 0, err
	}
	return w.judgeRegress(sent, versionOf)
}

// judgeRegress counts the requests that a machine handles as only an older version allows, sent later
// than rollbackSlack after a backend has run a request that it took under a newer one.
func (w *world) judgeRegress(sent []sentRequest, versionOf map[string]int) (int, error) {
	runs := map[string]run{}
	services := map[string]string{}
	for _, g := range w.groups {
		for _, b := range g.backends {
			services[b.id] = g.service
		}
	}
	for _, r := range w.allRuns() {
		runs[r.id] = r
	}
	broken, judged := 0, 0
	for _, n := range w.byRole("entry") {
		seen := map[int]time.Time{} // by version: the first run at a backend
		for _, s := range sent {
			r, ok := runs[s.id]
			if !ok || s.node != n {
				continue
			}
			v := versionOf[services[r.backend]]
			if at, ok := seen[v]; !ok || r.at.Before(at) {
				seen[v] = r.at
			}
		}
		late := 0
		var worst time.Duration
		slices.SortFunc(sent, func(a, b sentRequest) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
		for _, s := range sent {
			r, ok := runs[s.id]
			if !ok || s.node != n {
				continue
			}
			judged++
			v := versionOf[services[r.backend]]
			for newer, at := range seen {
				if newer > v && s.at.Sub(at) > rollbackSlack {
					late++
					worst = max(worst, s.at.Sub(at))
					if late <= 8 {
						w.logf("BROKEN: request %s, sent to %s at %.3f, ran at %s of version %d; a backend had run one of this machine under version %d at %.3f",
							s.id, n.name, s.at.Sub(w.started).Seconds(), r.backend, v, newer, at.Sub(w.started).Seconds())
					}
					break
				}
			}
		}
		w.logf("%s: %d requests under an older version, the last %.0f ms after the newer one was seen", n.name, late, float64(worst.Milliseconds()))
		broken += late
	}
	w.logf("%d requests judged", judged)
	if judged < 500 {
		return 0, fmt.Errorf("only %d requests to judge", judged)
	}
	return broken, nil
}

// followerOtherThan returns the machine of the core at a place among those that do not lead, by the status
// that operators see. The last ones come first.
func (w *world) followerOtherThan(place int) *node {
	leader := w.leader()
	nodes := w.byRole("control")
	for _, i := range []int{2, 1, 0, 3, 4} { // the last zone has one machine of the core, the others two
		n := nodes[i]
		if n.ip+":7560" == leader {
			continue
		}
		if place == 0 {
			return n
		}
		place--
	}
	return nil
}

// workOn writes and reads at a front until stop is closed.
func (w *world) workOn(n *node, r route, t tenant, stop <-chan struct{}, sent func(id string, at time.Time)) {
	var s *session
	for i := 0; ; i++ {
		select {
		case <-stop:
			if s != nil {
				s.close()
			}
			return
		case <-time.After(50 * time.Millisecond):
		}
		if s == nil {
			var err error
			if s, err = open(n, r.host, t.key); err != nil {
				continue
			}
		}
		id, at := newID(), time.Now()
		sent(id, at)
		_, err := s.query(id, fmt.Sprintf("READ item-%d", i%50))
		if err != nil {
			s.close()
			s = nil
		}
	}
}
