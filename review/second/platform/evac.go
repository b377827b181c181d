//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// freezeTime is how long a machine of the core freezes, below the 4 s of the site files.
	freezeTime = 2500 * time.Millisecond
	// evacRounds is how often the zone is taken back and out again, until the rule is broken.
	evacRounds = 3
	// zoneOut is the zone that is evacuated.
	zoneOut = "zone-c"
)

// runEvacuation takes a zone out of use, back, and out again, while one machine of the core is frozen
// during the order that takes it back. The operator gives that machine up after a second and has its
// order acknowledged by another one.
func runEvacuation(w *world, trouble bool) (int, error) {
	crew := tenant{name: "crew", key: "key-of-the-crew-0001", rate: 2000, burst: 2000}
	db := route{host: "archive", kind: "bounded_staleness", service: "logs-a", stale: 1500, timeout: 3000, target: 800}
	if err := w.deploy(5, 3, []string{"logs-a", "logs-b", "logs-c"}, []route{db}, []tenant{crew}); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, n := range w.byRole("entry") {
		for range 2 {
			clients.Go(func() { w.readOn(n, db, crew, stop) })
		}
	}
	defer func() {
		close(stop)
		clients.Wait()
	}()
	time.Sleep(time.Second)
	if _, err := w.order("/Evacuations.Start/"+zoneOut, nil, nil, 5*time.Second); err != nil {
		return 0, err
	}
	broken := 0
	for round := 1; round <= evacRounds && broken == 0; round++ {
		time.Sleep(3 * time.Second)
		acked, err := w.takeBackAndOut(trouble)
		if err != nil {
			return 0, err
		}
		if broken, err = w.judgeEvacuation(acked); err != nil {
			return 0, err
		}
	}
	return broken, nil
}

// takeBackAndOut takes a zone back into use, and out of use again. One machine of the core freezes before
// the first order, which the operator sends there first. It returns the time of the last acknowledgement.
func (w *world) takeBackAndOut(trouble bool) (time.Time, error) {
	frozen := w.followerOtherThan(0)
	if frozen == nil {
		return time.Time{}, fmt.Errorf("no machine of the core that does not lead")
	}
	if trouble {
		frozen.signal(syscall.SIGSTOP)
		time.AfterFunc(freezeTime, func() { frozen.signal(syscall.SIGCONT) })
	}
	time.Sleep(100 * time.Millisecond)
	if _, err := w.order("/Evacuations.End/"+zoneOut, nil, frozen, 5*time.Second); err != nil {
		return time.Time{}, err
	}
	time.Sleep(300 * time.Millisecond)
	var next *node
	for _, n := range w.byRole("control") {
		if n != frozen {
			next = n
		}
	}
	return w.order("/Evacuations.Start/"+zoneOut, nil, next, 5*time.Second)
}

// judgeEvacuation counts the requests that backends of the zone run later than the bounds allow after an
// evacuation was acknowledged.
func (w *world) judgeEvacuation(acked time.Time) (int, error) {
	from := acked.Add(evacuate + outer)
	w.logf("zone %s is evacuated; judged from %.3f on", zoneOut, from.Sub(w.started).Seconds())
	time.Sleep(time.Until(from.Add(5 * time.Second)))
	broken, judged := 0, 0
	for _, r := range w.allRuns() {
		if r.at.Before(from) {
			continue
		}
		judged++
		if r.zone == zoneOut {
			broken++
			if broken <= 20 {
				w.logf("BROKEN: request %s (%s) ran at %s in %s at %.3f, %.1f s after the evacuation was acknowledged", r.id, r.text, r.backend, r.zone,
					r.at.Sub(w.started).Seconds(), r.at.Sub(acked).Seconds())
			}
		}
	}
	w.logf("%d runs judged, %d of them in %s", judged, broken, zoneOut)
	if judged < 100 {
		return 0, fmt.Errorf("only %d runs to judge", judged)
	}
	return broken, nil
}

// leader returns the peer address of the leader of the core, by the status that operators see.
func (w *world) leader() string {
	for _, n := range w.byRole("control") {
		status, body, err := call(http.MethodGet, n, "/v1/status", nil, 2*time.Second)
		if err != nil || status != http.StatusOK {
			continue
		}
		var s struct {
			Leader string `json:"leader"`
		}
		if json.Unmarshal(body, &s) == nil && s.Leader != "" {
			w.logf("the leader is %s", s.Leader)
			return s.Leader
		}
	}
	return ""
}

// readOn reads at a front until stop is closed.
func (w *world) readOn(n *node, r route, t tenant, stop <-chan struct{}) {
	var s *session
	for i := 0; ; i++ {
		select {
		case <-stop:
			if s != nil {
				s.close()
			}
			return
		case <-time.After(30 * time.Millisecond):
		}
		if s == nil {
			var err error
			if s, err = open(n, r.host, t.key); err != nil {
				continue
			}
		}
		_, err := s.query(newID(), fmt.Sprintf("READ item-%d", i%50))
		if err != nil {
			s.close()
			s = nil
		}
	}
}
