//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["evacuate"] = caseEvacuate }

// Limits and times of caseEvacuate.
const (
	evacuateLimit     = 5 * time.Second // evacuate_ms
	readPause         = 1300 * time.Millisecond
	readsInTx         = 8 // besides BEGIN and COMMIT
	evacuationClients = 6
)

// caseEvacuate evacuates a zone while clients read in read-only transactions. No request may reach
// a server of the zone later than evacuate_ms after the acknowledgement.
func caseEvacuate(w *world) (bool, error) {
	w.service.work = func(string, string) time.Duration { return 55 * time.Millisecond }
	var (
		all   sync.WaitGroup
		mu    sync.Mutex
		first = map[string]bool{} // ids of the first reads
	)
	begun := time.Now()
	for i := range evacuationClients {
		front := w.fleet.fronts[i%len(w.fleet.fronts)]
		s, err := open(w.rec, fmt.Sprintf("c%d", i+1), w.frontAddr(front), dbBounded, tenantKey)
		if err != nil {
			return false, fmt.Errorf("%w: %v", errSetup, err)
		}
		all.Go(func() {
			defer s.close()
			if !s.query("BEGIN READ", 4*time.Second).ok() {
				return
			}
			for n := range readsInTx {
				a := s.query("READ 1a4", 4*time.Second)
				if !a.ok() {
					return
				}
				if n == 0 {
					mu.Lock()
					first[a.id] = true
					mu.Unlock()
				}
				time.Sleep(readPause)
			}
			s.query("COMMIT", 4*time.Second)
		})
	}
	time.Sleep(time.Until(begun.Add(700 * time.Millisecond)))
	zone := ""
	for _, r := range w.service.snapshot() {
		mu.Lock()
		if first[r.id] && (zone == "" || r.server.zone != w.service.servers[0].zone) {
			zone = r.server.zone
		}
		mu.Unlock()
	}
	if zone == "" {
		return false, fmt.Errorf("%w: no transaction has begun", errSetup)
	}
	var acknowledged time.Time
	if w.trouble {
		var err error
		if acknowledged, err = w.fleet.order("/Evacuations.Start/"+zone, nil, 0); err != nil {
			return false, err
		}
	}
	all.Wait()
	if !w.trouble {
		return false, nil
	}
	var late []string
	for _, r := range w.service.snapshot() {
		if after := r.at.Sub(acknowledged); r.server.zone == zone && after > evacuateLimit {
			w.rec.add("EVAC: %s %q reached %s in %s %d ms after the acknowledgement", r.id, r.text, r.server.id, zone, after.Milliseconds())
			late = append(late, r.id)
		}
	}
	if len(late) > 0 {
		return true, fmt.Errorf("EVAC: %d requests reached the evacuated zone %s later than %v after the acknowledgement", len(late), zone, evacuateLimit)
	}
	return false, nil
}
