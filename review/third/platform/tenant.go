//go:build review

package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// tenantReturns withdraws a tenant and adds it again, several times, while its clients press beyond
// its limit.
func tenantReturns(rec *record, trouble bool) int {
	const (
		rate, burst = 4.0, 8.0
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
	crew := tenant{Name: "crew", APIKeys: []string{"key-crew"}, Priority: 1, RatePerS: rate, Burst: burst}
	other := tenant{Name: "other", APIKeys: []string{"key-other"}, Priority: 1, RatePerS: 100, Burst: 100}
	reads := route{Name: "r-1", Host: "sonde", PathPrefix: "/", Kind: "bounded_staleness", TimeoutMS: 1000, TargetMS: 400, Priority: 1, Service: "logs", MaxAttempts: 2, MaxStalenessMS: 1500}
	version := 7
	put := func(tenants ...tenant) bool {
		version += 2
		return f.put(f.config(version, tenants, reads))
	}
	if !put(crew, other) {
		return couldNot
	}
	for _, m := range f.entries {
		if !f.awaitService(m, "sonde", "key-other") {
			rec.printf("%s serves nothing", m.ip)
			return couldNot
		}
	}
	time.Sleep(5 * time.Second)
	served, refused, lost := press(f, "key-crew", 14*time.Second, func() {
		time.Sleep(4 * time.Second)
		for range 8 {
			if trouble {
				put(other)
			}
			time.Sleep(200 * time.Millisecond)
			if trouble {
				put(crew, other)
			}
			time.Sleep(700 * time.Millisecond)
		}
	})
	most := mostInWindow(rec, served, window)
	rec.printf("%d reads ran, %d refused, %d lost; the most within %v: %d; allowed: %.1f", len(served), refused, lost, window, most, allowed)
	switch {
	case len(served) < 20:
		return couldNot
	case float64(most) > allowed:
		return broken
	}
	return held
}

// press has 12 clients read as fast as they are answered, and every 30 ms at most, while during runs.
func press(f *fleet, key string, length time.Duration, during func()) (served []reply, refused, lost int) {
	var mu sync.Mutex
	end := time.Now().Add(length)
	var clients sync.WaitGroup
	for i := range 12 {
		clients.Go(func() {
			var s *session
			for n := 0; time.Now().Before(end); n++ {
				if s == nil {
					var err error
					if s, err = f.open(f.entries[i%len(f.entries)], "sonde", key, fmt.Sprintf("c%d.%d", i, n)); err != nil {
						time.Sleep(50 * time.Millisecond)
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
	during()
	clients.Wait()
	return served, refused, lost
}

// mostInWindow returns the greatest number of reads that were both sent and answered within a window.
func mostInWindow(rec *record, served []reply, window time.Duration) int {
	slices.SortFunc(served, func(a, b reply) int { return a.sent.Compare(b.sent) })
	for _, r := range served {
		rec.printf("read %s sent at %.3f, answered at %.3f: %s", r.id, r.sent.Sub(rec.begun).Seconds(), r.answered.Sub(rec.begun).Seconds(), r.last)
	}
	most := 0
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
		most = max(most, n)
	}
	return most
}
