//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["heartbeat"] = caseHeartbeat }

// Limits and times of caseHeartbeat.
const (
	drainLimit     = 7 * time.Second // drain_ms
	drainExtra     = 4 * time.Second // "a little longer (at times many seconds)"
	writeInterval  = 100 * time.Millisecond
	writingClients = 4
)

// caseHeartbeat sends one heartbeat with missing fields, as from another writer, under the id of
// the primary. Then the primary drains and exits. No request may reach it later than drain_ms after
// the acknowledgement that it drains.
func caseHeartbeat(w *world) (bool, error) {
	primary := w.service.servers[0]
	stop := make(chan struct{})
	var (
		writers sync.WaitGroup
		mu      sync.Mutex
		kept    = map[string]string{} // acknowledged data, by item
	)
	for i := range writingClients {
		writers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(writeInterval):
				}
				s, err := open(w.rec, fmt.Sprintf("c%d", i+1), w.frontAddr(w.fleet.fronts[rand.IntN(len(w.fleet.fronts))]), dbPrimary, tenantKey)
				if err != nil {
					continue
				}
				item, data := fmt.Sprintf("%x", 4096*(i+1)+n), fmt.Sprintf("data%d", n)
				if s.query("WRITE "+item+" "+data, 2*time.Second).ok() {
					mu.Lock()
					kept[item] = data
					mu.Unlock()
				}
				s.close()
			}
		})
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		// The zone, the version and cold_remaining_ms are missing.
		body := map[string]any{
			"service": serviceName, "address": primary.addr, "slots": slotsPerServer, "state": "ready", "db_role": "primary",
			"seq": 1000, "born": primary.born,
		}
		status, text := w.fleet.callControl(w.fleet.controls[1], http.MethodPost, "/Instances.Heartbeat/"+primary.id, body)
		w.rec.add("another writer sends a heartbeat without zone, version and cold_remaining_ms for %s: %d %s", primary.id, status, text)
	}
	time.Sleep(time.Second)
	acknowledged, err := primary.drain(w.fleet)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(acknowledged.Add(drainLimit + drainExtra)))
	primary.exit(w.fleet)
	exited := time.Now()
	time.Sleep(5 * time.Second)
	close(stop)
	writers.Wait()
	late := 0
	for _, r := range w.service.snapshot() {
		if after := r.at.Sub(acknowledged); r.server == primary && after > drainLimit && r.at.Before(exited) {
			w.rec.add("DRAIN: %s %q reached %s %d ms after the acknowledgement", r.id, r.text, primary.id, after.Milliseconds())
			late++
		}
	}
	missing := w.missing(kept)
	w.rec.add("%d of %d acknowledged writes are not in the log of the primary at the end", missing, len(kept))
	if late > 0 {
		return true, fmt.Errorf("DRAIN: %d requests reached the draining server later than %v after the acknowledgement; %d of %d acknowledged writes are gone", late, drainLimit, missing, len(kept))
	}
	return false, nil
}

// missing returns how many of the acknowledged writes the log does not hold.
func (w *world) missing(kept map[string]string) int {
	w.service.mu.Lock()
	defer w.service.mu.Unlock()
	held := map[string]string{}
	for _, e := range w.service.log {
		for item, data := range e.items {
			held[item] = data
		}
	}
	missing := 0
	for item, data := range kept {
		if held[item] != data {
			missing++
		}
	}
	return missing
}
