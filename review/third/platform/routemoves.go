//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

// routeMoves has the route of a session moved to another service and back while a replica of the
// first one is behind by less than the route allows. In between the session writes on both services.
// Its reads afterwards must see its own acknowledged write (STALE, read_your_writes).
func routeMoves(rec *record, trouble bool) int {
	f, err := startFleet(rec, 3, 3, "logs-1", "logs-2")
	running = f
	if err != nil {
		rec.printf("start: %v", err)
		return couldNot
	}
	defer f.close()
	tenants := []tenant{{Name: "crew", APIKeys: []string{"key-crew"}, Priority: 1, RatePerS: 115, Burst: 115}}
	version := 7
	// put sends the configuration in which the database of the session is on a service.
	put := func(service string) bool {
		version += 3
		own := route{Name: "r-1", Host: "sonde", PathPrefix: "/", Kind: "read_your_writes", TimeoutMS: 1000, TargetMS: 400, Priority: 2, Service: service, MaxAttempts: 2, MaxStalenessMS: 2500}
		others := route{Name: "r-2", Host: "filing", PathPrefix: "/", Kind: "primary", TimeoutMS: 1000, TargetMS: 200, Priority: 1, Service: "logs-1", MaxAttempts: 2}
		return f.put(f.config(version, tenants, own, others))
	}
	entry := f.entries[0]
	if !put("logs-1") || !f.awaitService(entry, "sonde", "key-crew") || !f.awaitService(entry, "filing", "key-crew") {
		rec.printf("nothing is served")
		return couldNot
	}
	stopFiling := make(chan struct{})
	defer close(stopFiling)
	go file(f, entry, stopFiling)
	if trouble {
		f.groups[0].SetLag(1500 * time.Millisecond)
		rec.printf("replicas of logs-1 receive 1500 ms late from now on, 60 ms before")
	}
	time.Sleep(5 * time.Second)
	s, err := f.open(entry, "sonde", "key-crew", "session")
	if err != nil {
		rec.printf("%v", err)
		return couldNot
	}
	defer s.close()
	do := func(text string) reply {
		r := s.do(text)
		rec.printf("%s %s: %v %s, error %v, sent at %.3f", r.id, text, r.rows, r.last, r.err, r.sent.Sub(rec.begun).Seconds())
		return r
	}
	stale, judged := 0, 0
	for round := range 6 {
		value := fmt.Sprintf("v%d", round)
		if !do("WRITE x " + value).ok() {
			return couldNot
		}
		if trouble && !(put("logs-2") && awaitMove(f, do, round) && put("logs-1")) {
			return couldNot
		}
		for range 16 {
			r := do("READ x")
			if !r.ok() || !strings.Contains(r.last, "logs-1") {
				continue // run by the other service, before the route was back
			}
			judged++
			if got := strings.Join(r.rows, " "); got != value {
				stale++
				rec.printf("STALE: the session has read %q after its write of %q was acknowledged", got, value)
			}
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(4 * time.Second)
	}
	rec.printf("%d reads judged, %d without the own write of the session", judged, stale)
	switch {
	case stale > 0:
		return broken
	case judged < 20:
		return couldNot
	}
	return held
}

// awaitMove has the session write until a write has arrived at the second service, so that the route
// is known to lead there.
func awaitMove(f *fleet, do func(string) reply, round int) bool {
	for n := range 20 {
		value := fmt.Sprintf("moved%d-%d", round, n)
		if do("WRITE y " + value).ok() {
			if got, _ := f.groups[1].Item("y"); got == value {
				return true
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

// file writes on the first service as other clients do.
func file(f *fleet, m *machine, stop <-chan struct{}) {
	s, err := f.open(m, "filing", "key-crew", "filing")
	if err != nil {
		return
	}
	defer s.close()
	for n := 0; ; n++ {
		if r := s.do(fmt.Sprintf("WRITE f f%d", n)); r.err != nil {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(60 * time.Millisecond):
		}
	}
}
