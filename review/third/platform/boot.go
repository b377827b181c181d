//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// firstStart starts the whole system for the first time, on empty disks and within 0.3 s. One core
// machine, a seed, is removed for good 0.15 s after its start, and an empty one is added a second later
// at another address; the settings then name it as a seed in place of the lost one. The operator sends
// the first configuration until it is accepted. With VARIANT=restart the process of the first seed is
// killed instead, and started again 0.5 s later at its address with bootstrap set to false.
func firstStart(rec *record, trouble bool) int {
	const patience = 60 * time.Second
	f, err := newFleet(rec, 5, 3, "logs")
	running = f
	if err != nil {
		rec.printf("start: %v", err)
		return couldNot
	}
	defer f.close()
	restart := os.Getenv("VARIANT") == "restart"
	lost, others := f.controls[1], []*machine{f.controls[0], f.controls[2], f.controls[3], f.controls[4]}
	if restart {
		lost, others = f.controls[0], f.controls[1:5:5]
	}
	if f.start(lost) != nil {
		return couldNot
	}
	time.Sleep(150 * time.Millisecond)
	if trouble {
		f.kill(lost)
	}
	for _, m := range append(others, f.entries...) {
		if f.start(m) != nil {
			return couldNot
		}
	}
	time.Sleep(500 * time.Millisecond)
	switch {
	case trouble && restart:
		err = f.start(lost)
	case trouble:
		time.Sleep(500 * time.Millisecond)
		err = f.replace(lost)
	}
	if err != nil {
		rec.printf("start: %v", err)
		return couldNot
	}
	f.heartbeats()
	tenants := []tenant{{Name: "crew", APIKeys: []string{"key-crew"}, Priority: 1, RatePerS: 115, Burst: 115}}
	config := f.config(7, tenants, route{Name: "r-1", Host: "sonde", PathPrefix: "/", Kind: "primary", TimeoutMS: 1000, TargetMS: 200, Priority: 1, Service: "logs", MaxAttempts: 2})
	accepted, begun := false, time.Now()
	for n := 0; !accepted && time.Since(begun) < patience; n++ {
		if trouble && !restart && n == 6 {
			f.renewSettings() // seed_lag_s later
		}
		ip := f.controls[n%len(f.controls)].ip
		status, answer := f.call(http.MethodPost, ip, "/Config.Put", config)
		rec.printf("Config.Put to %s: %d %.90s", ip, status, answer)
		accepted = status == http.StatusOK
		time.Sleep(500 * time.Millisecond)
	}
	for _, m := range append(f.controls, f.entries...) {
		select {
		case <-m.ended:
			rec.printf("the process of %s has ended by itself", m.ip)
			return couldNot
		default:
		}
	}
	if !accepted {
		rec.printf("five processes of the core have run for %v, and no configuration was accepted: nothing can be served", patience)
		return broken
	}
	rec.printf("accepted after %.1f s", time.Since(begun).Seconds())
	if !f.awaitService(f.entries[0], "sonde", "key-crew") {
		rec.printf("nothing is served")
		return broken
	}
	return held
}

// replace takes a machine of the core out of the list and adds an empty one at another address.
func (f *fleet) replace(lost *machine) error {
	m := f.newMachine(fmt.Sprintf("127.%d.1.%d", f.block, len(f.controls)+1), lost.number, true)
	m.started = 1 // the system does not start for the first time any more: bootstrap is false
	for i, c := range f.controls {
		if c == lost {
			f.controls[i] = m
		}
	}
	return f.start(m)
}

// renewSettings writes the settings of all machines anew, with the present seeds, and tells them.
func (f *fleet) renewSettings() {
	for _, m := range append(f.controls[:len(f.controls):len(f.controls)], f.entries...) {
		if err := os.WriteFile(filepath.Join(m.dir, "settings.toml"), []byte(f.settings(m)), 0o600); err != nil {
			f.rec.printf("settings: %v", err)
		}
		_ = m.cmd.Process.Signal(syscall.SIGHUP)
	}
	f.rec.printf("the settings name the seeds anew; SIGHUP")
}
