//go:build review

package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// firstAck starts the whole system for the first time. Right after the first configuration was
// acknowledged, two machines of the core lose their disks. They are back a second later at their
// addresses, with empty disks and bootstrap set to false.
func firstAck(rec *record, trouble bool) int {
	const patience = 60 * time.Second
	f, err := startFleet(rec, 5, 3, "logs")
	running = f
	if err != nil {
		rec.printf("start: %v", err)
		return couldNot
	}
	defer f.close()
	tenants := []tenant{{Name: "crew", APIKeys: []string{"key-crew"}, Priority: 1, RatePerS: 115, Burst: 115}}
	config := f.config(7, tenants, route{Name: "r-1", Host: "sonde", PathPrefix: "/", Kind: "primary", TimeoutMS: 1000, TargetMS: 200, Priority: 1, Service: "logs", MaxAttempts: 2})
	accepted := false
	for end := time.Now().Add(20 * time.Second); !accepted && time.Now().Before(end); {
		for _, c := range f.controls {
			status, _ := f.call(http.MethodPost, c.ip, "/Config.Put", config)
			rec.printf("Config.Put to %s: %d", c.ip, status)
			if accepted = status == http.StatusOK; accepted {
				break
			}
		}
		if !accepted {
			time.Sleep(50 * time.Millisecond)
		}
	}
	if !accepted {
		return couldNot
	}
	if delay, err := time.ParseDuration(os.Getenv("DELAY")); err == nil {
		time.Sleep(delay) // to find out how long the fault lasts; the case leaves it out
	}
	if trouble {
		var killed sync.WaitGroup
		for _, m := range f.controls[:2] {
			killed.Go(func() { f.kill(m) })
		}
		killed.Wait()
		for _, m := range f.controls[:2] {
			if err := os.RemoveAll(filepath.Join(m.dir, "data")); err != nil {
				return couldNot
			}
			rec.printf("%s has lost its disk", m.ip)
		}
		time.Sleep(time.Second)
		for _, m := range f.controls[:2] {
			if f.start(m) != nil {
				return couldNot
			}
		}
	}
	readBack, served := false, false
	for end := time.Now().Add(patience); time.Now().Before(end) && !(readBack && served); time.Sleep(500 * time.Millisecond) {
		for _, c := range f.controls {
			status, body := f.call(http.MethodGet, c.ip, "/Config.Get", nil)
			rec.printf("Config.Get of %s: %d %.60s", c.ip, status, bytes.TrimSpace(body))
			readBack = readBack || status == http.StatusOK && bytes.Equal(bytes.TrimSpace(body), config)
		}
		if s, err := f.open(f.entries[0], "sonde", "key-crew", fmt.Sprint("read", time.Now().Unix())); err == nil {
			r := s.do("READ x")
			s.close()
			rec.printf("READ x: %s, error %v", r.last, r.err)
			served = served || r.ok()
		} else {
			rec.printf("%v", err)
		}
	}
	rec.printf("read back: %v, served: %v", readBack, served)
	if !readBack || !served {
		return broken
	}
	return held
}
