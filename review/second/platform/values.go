//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// greyShare, greyTime are the dose of srv_grey: one of nine backends, as long and as often as the
	// site files of the pages have it at most.
	greyShare = 0.45
	greyTime  = 6500 * time.Millisecond
	// valuesTime is how long the clients of the case work.
	valuesTime = 16 * time.Second
)

// expectation is what a statement has to run with.
type expectation struct{ client, text, mode string }

// runValues lets two kinds of clients of one tenant use one database, while its primary fails part of
// its requests. The first kind sets a value in transactions; the second kind sets it once, outside of
// any transaction, and runs single statements. Only the statements of the second kind are judged.
func runValues(w *world, trouble bool) (int, error) {
	crew := tenant{name: "crew", key: "key-of-the-crew-0001", rate: 2000, burst: 2000}
	db := route{host: "logbook", kind: "primary", service: "logs-a", timeout: 1000, target: 200}
	if err := w.deploy(3, 3, []string{"logs-a", "logs-b", "logs-c"}, []route{db}, []tenant{crew}); err != nil {
		return 0, err
	}
	var mu sync.Mutex
	expected := map[string]expectation{}
	expect := func(client, text, mode string) string {
		id := newID()
		mu.Lock()
		defer mu.Unlock()
		expected[id] = expectation{client, text, mode}
		return id
	}
	end := time.Now().Add(valuesTime)
	if trouble {
		grey := w.groups[0].primary
		time.AfterFunc(4*time.Second, func() { w.setGrey(grey, greyShare) })
		time.AfterFunc(4*time.Second+greyTime, func() { w.setGrey(grey, 0) })
	}
	fronts := w.byRole("entry")
	var clients sync.WaitGroup
	for i := range 3 {
		clients.Go(func() { w.setInTransactions(fronts[i%len(fronts)], db, crew, fmt.Sprintf("editor-%d", i+1), end) })
		clients.Go(func() { w.setOnce(fronts[i%len(fronts)], db, crew, fmt.Sprintf("reader-%d", i+1), end, expect) })
	}
	clients.Wait()
	time.Sleep(300 * time.Millisecond)
	broken, judged := 0, 0
	for _, r := range w.allRuns() {
		e, ok := expected[r.id]
		if !ok {
			continue
		}
		judged++
		if r.values["mode"] != e.mode || len(r.values) != 1 {
			broken++
			w.logf("BROKEN: request %s of %s (%s) ran at %s with the values %v; acknowledged was mode=%s", r.id, e.client, e.text, r.backend, r.values, e.mode)
		}
	}
	w.logf("%d runs judged", judged)
	if judged < 50 {
		return 0, fmt.Errorf("only %d runs to judge", judged)
	}
	return broken, nil
}

// setGrey sets the share of requests that a backend fails while its health is good.
func (w *world) setGrey(b *backend, share float64) {
	b.g.mu.Lock()
	b.failShare = share
	b.g.mu.Unlock()
	w.logf("%s fails %.2f of its requests", b.id, share)
}

// setInTransactions runs transactions that set the value and write. Between them the value is another.
func (w *world) setInTransactions(n *node, r route, t tenant, name string, end time.Time) {
	var s *session
	for i := 0; time.Now().Before(end); i++ {
		if s == nil {
			var err error
			if s, err = open(n, r.host, t.key); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		for _, text := range []string{"SET mode plain", "BEGIN", "SET mode strict", fmt.Sprintf("WRITE item-%s v%d", name, i), "COMMIT"} {
			id := newID()
			a, err := s.query(id, text)
			if err != nil {
				s.close()
				s = nil
				break
			}
			if a.code != "" {
				break
			}
		}
		if s != nil && s.state != "I" { // an operation that ends outside I closes the session
			s.close()
			s = nil
		}
		time.Sleep(40 * time.Millisecond)
	}
	if s != nil {
		s.close()
	}
}

// setOnce sets the value once in a session and then runs single statements.
func (w *world) setOnce(n *node, r route, t tenant, name string, end time.Time, expect func(client, text, mode string) string) {
	var s *session
	for i := 0; time.Now().Before(end); i++ {
		if s == nil {
			var err error
			if s, err = open(n, r.host, t.key); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			a, err := s.query(newID(), "SET mode strict")
			if err != nil || a.code != "" {
				s.close()
				s = nil
				continue
			}
		}
		text := "READ item-" + name
		if i%4 == 0 {
			text = fmt.Sprintf("WRITE note-%s v%d", name, i)
		}
		id := expect(name, text, "strict")
		_, err := s.query(id, text)
		if err != nil {
			s.close()
			s = nil
		}
		time.Sleep(30 * time.Millisecond)
	}
	if s != nil {
		s.close()
	}
}
