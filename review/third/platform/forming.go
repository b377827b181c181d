//go:build review

package main

import "time"

// firstPrimary has the primary of the only service crash for good right before the first configuration
// arrives. Its two replicas run, and the platform would promote either.
func firstPrimary(rec *record, trouble bool) int {
	const patience = 60 * time.Second
	f, err := startFleet(rec, 5, 3, "logs")
	running = f
	if err != nil {
		rec.printf("start: %v", err)
		return couldNot
	}
	defer f.close()
	time.Sleep(5 * time.Second)
	if trouble {
		f.groups[0].Primary().Crash()
		rec.printf("the primary %s has crashed for good", f.groups[0].Primary().ID)
	}
	tenants := []tenant{{Name: "crew", APIKeys: []string{"key-crew"}, Priority: 1, RatePerS: 115, Burst: 115}}
	route := func(host, kind string, stale int) route {
		return route{Name: "r-" + host, Host: host, PathPrefix: "/", Kind: kind, TimeoutMS: 1000, TargetMS: 400, Priority: 1, Service: "logs", MaxAttempts: 2, MaxStalenessMS: stale}
	}
	if !f.put(f.config(7, tenants, route("entries", "primary", 0), route("archive", "bounded_staleness", 1500))) {
		return couldNot
	}
	served := 0
	for end := time.Now().Add(patience); time.Now().Before(end) && served < 20; time.Sleep(250 * time.Millisecond) {
		for i, database := range []string{"entries", "archive"} {
			s, err := f.open(f.entries[i], database, "key-crew", database)
			if err != nil {
				rec.printf("%s: %v", database, err)
				continue
			}
			r := s.do("READ x")
			rec.printf("%s READ x: %s, error %v", database, r.last, r.err)
			s.close()
			if r.ok() {
				served++
			}
		}
	}
	orders := f.platform.Orders()
	rec.printf("%d reads served, %d orders to promote", served, len(orders))
	if served == 0 {
		return broken
	}
	return held
}
