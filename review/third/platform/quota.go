//go:build review

package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// quota presses a tenant beyond its limit while all processes of the core are killed at one moment
// and are back within a second. It counts the reads that were both sent and answered, and so ran,
// within each window of 5 s.
func quota(rec *record, trouble bool) int {
	const (
		rate, burst = 40.0, 160.0
		window      = 5 * time.Second
		allowed     = (rate*5+burst)*1.1 + 20
	)
	f, err := startFleet(rec, 3, 3, "logs")
	running = f
	if err != nil {
		rec.printf("start: %v", err)
		return couldNot
	}
	defer f.close()
	tenants := []tenant{{Name: "crew", APIKeys: []string{"key-crew"}, Priority: 1, RatePerS: rate, Burst: burst}}
	reads := route{Name: "r-1", Host: "sonde", PathPrefix: "/", Kind: "bounded_staleness", TimeoutMS: 1000, TargetMS: 400, Priority: 1, Service: "logs", MaxAttempts: 2, MaxStalenessMS: 1500}
	if !f.put(f.config(1, tenants, reads)) {
		return couldNot
	}
	for _, m := range f.entries {
		if !f.awaitService(m, "sonde", "key-crew") {
			rec.printf("%s serves nothing", m.ip)
			return couldNot
		}
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	var served []reply
	refused, lost := 0, 0
	end := time.Now().Add(10 * time.Second)
	var clients sync.WaitGroup
	for i := range 12 {
		clients.Go(func() {
			var s *session
			for n := 0; time.Now().Before(end); n++ {
				if s == nil {
					var err error
					if s, err = f.open(f.entries[i%len(f.entries)], "sonde", "key-crew", fmt.Sprintf("c%d.%d", i, n)); err != nil {
						time.Sleep(100 * time.Millisecond)
						continue
					}
				}
				r := s.do("READ x")
				mu.Lock()
				switch {
				case r.ok():
					served = append(served, r)
				case r.err != nil:
					lost++
				default:
					refused++
				}
				mu.Unlock()
				if r.err != nil {
					_ = s.conn.Close()
					s = nil
				}
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		for _, m := range f.controls {
			_ = m.cmd.Process.Kill()
		}
		for _, m := range f.controls {
			f.kill(m)
		}
		time.Sleep(200 * time.Millisecond)
		for _, m := range f.controls {
			if err := f.start(m); err != nil {
				return couldNot
			}
		}
	}
	clients.Wait()
	slices.SortFunc(served, func(a, b reply) int { return a.sent.Compare(b.sent) })
	for _, r := range served {
		rec.printf("read %s sent at %.3f, answered at %.3f: %s", r.id, r.sent.Sub(rec.begun).Seconds(), r.answered.Sub(rec.begun).Seconds(), r.last)
	}
	most, from := 0, time.Time{}
	for i := range served {
		n := 0
		for _, r := range served[i:] {
			if r.sent.Sub(served[i].sent) > window {
				break
			}
			if r.answered.Sub(served[i].sent) <= window {
				n++
			}
		}
		if n > most {
			most, from = n, served[i].sent
		}
	}
	rec.printf("%d reads ran, %d refused, %d lost; the most within %v: %d from %.3f on; allowed: %.0f", len(served), refused, lost, window, most, from.Sub(rec.begun).Seconds(), allowed)
	if len(served) < 100 {
		return couldNot
	}
	if float64(most) > allowed {
		return broken
	}
	return held
}
