//go:build review

// Command review runs the cases of the review. It starts the project's daemon as separate
// processes on loopback addresses, with stand-ins for clients, servers and the platform that
// follow the users' pages. Its arguments are the name of a case and the path of the record. The
// exit code is 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
// TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// world is what all cases need: the fleet, one service with three servers, an operator's
// configuration and the record.
type world struct {
	rec     *record
	fleet   *fleet
	service *service
	trouble bool
	stop    chan struct{}
	version int
}

// Names of the configuration. The databases are of the three kinds of routes.
const (
	serviceName = "huvo11a"
	dbPrimary   = "lepu270"
	dbBounded   = "xapu221"
	dbOwn       = "fiti832"
	tenantKey   = "u6wsjnbanfqasnmgkcuy"
)

// maxRunTime bounds a case.
const maxRunTime = 110 * time.Second

var cases = map[string]func(*world) (broken bool, err error){}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review CASE RECORD")
		return 2
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w := &world{rec: rec, trouble: os.Getenv("TROUBLE") != "0", stop: make(chan struct{})}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	cleanUp := func() {
		if w.fleet != nil {
			w.fleet.stopAll()
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Println(dir)
		}
	}
	defer cleanUp()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(maxRunTime):
		}
		fmt.Println("the case took too long or was interrupted")
		cleanUp()
		os.Exit(2)
	}()
	if err := w.startUp(dir); err != nil {
		fmt.Println(err)
		return 2
	}
	broken, err := cases[os.Args[1]](w)
	switch {
	case errors.Is(err, errSetup):
		rec.add("result: could not run: %v", err)
		fmt.Println(err)
		return 2
	case broken:
		rec.add("result: the rule was broken")
		fmt.Println("the rule was broken:", err)
		return 1
	}
	rec.add("result: the rule held")
	fmt.Println("the rule held")
	return 0
}

// startUp starts five control machines, seven fronts, and a service with three servers, as the
// deployment nespra-bridge has them, and puts the first configuration in force.
func (w *world) startUp(dir string) error {
	var err error
	if w.service, err = newService(w.rec, serviceName, zones); err != nil {
		return err
	}
	promote, err := servePlatform(w.rec, w.service)
	if err != nil {
		return err
	}
	w.fleet, err = newFleet(w.rec, dir, promote, []string{"nen-a", "nen-a", "nen-b", "nen-b", "nen-c"},
		[]string{"nen-a", "nen-a", "nen-a", "nen-b", "nen-b", "nen-c", "nen-c"})
	if err != nil {
		return err
	}
	if err := w.fleet.startAll(); err != nil {
		return err
	}
	for _, b := range w.service.servers {
		go b.beatUntil(w.fleet, w.stop)
	}
	time.Sleep(3 * time.Second)
	if _, err := w.fleet.order("/Config.Put", w.config(), 0); err != nil {
		return err
	}
	if err := w.fleet.awaitReady(20 * time.Second); err != nil {
		return err
	}
	return w.awaitService(25 * time.Second)
}

// config returns the next version of the configuration.
func (w *world) config() map[string]any {
	w.version += 3
	route := func(name, db, kind string, timeout, target, staleness, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": db, "path_prefix": "/", "kind": kind, "timeout_ms": timeout, "target_latency_ms": target,
			"priority": priority, "service": serviceName, "max_attempts": 2, "max_staleness_ms": staleness, "public": false,
		}
	}
	return map[string]any{
		"version": w.version,
		"routes": []any{
			route("r-a", dbPrimary, "primary", 1000, 200, 0, 1), route("r-b", dbBounded, "bounded_staleness", 3000, 800, 1500, 2),
			route("r-c", dbOwn, "read_your_writes", 1000, 400, 2500, 2),
		},
		"services": []any{map[string]any{
			"name": serviceName, "health_path": "/health", "max_conns": maxConns, "protocol": "h1", "tls": false, "cold_start_s": 0.0,
			"cold_per_s": 0.0, "sync_replicas": 0,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000},
		"tenants": []any{map[string]any{
			"name": "nypu920", "api_keys": []string{tenantKey}, "priority": 1, "rate_per_s": 115, "burst": 115,
		}},
	}
}

func (w *world) frontAddr(n *node) string {
	return fmt.Sprintf("%s:%d", n.ip, w.fleet.port+portService)
}

// awaitService waits until writes and reads are served through every front.
func (w *world) awaitService(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, n := range w.fleet.fronts {
		for _, step := range []struct{ db, text string }{{dbPrimary, "WRITE 1a4 start"}, {dbBounded, "READ 1a4"}, {dbOwn, "READ 1a4"}} {
			for {
				if time.Now().After(end) {
					return fmt.Errorf("%w: no service through %s", errSetup, n.name)
				}
				if s, err := open(w.rec, "warm-up", w.frontAddr(n), step.db, tenantKey); err == nil {
					a := s.query(step.text, 3*time.Second)
					s.close()
					if a.ok() {
						break
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	return nil
}
