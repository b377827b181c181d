//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = caseStop }

// Times of the transactions of caseStop, from the SIGTERM.
const (
	graceS           = 6 * time.Second
	transactionBegin = 1900 * time.Millisecond
	busyFrom         = 2750 * time.Millisecond
	busyStatements   = 6
	statementWork    = 75 * time.Millisecond
	middleWrite      = 4300 * time.Millisecond
	firstCommit      = 5300 * time.Millisecond
	commitGap        = 35 * time.Millisecond
	stopClients      = 4
)

// caseStop stops one front while clients have transactions that write. A request that the front
// has passed on must be answered.
func caseStop(w *world) (bool, error) {
	w.service.work = func(string, string) time.Duration { return statementWork }
	front := w.fleet.fronts[0]
	var sessions []*clientSession
	for i := range stopClients {
		s, err := open(w.rec, fmt.Sprintf("c%d", i+1), w.frontAddr(front), dbPrimary, tenantKey)
		if err != nil {
			return false, fmt.Errorf("%w: %v", errSetup, err)
		}
		sessions = append(sessions, s)
	}
	stopped := time.Now()
	if w.trouble {
		stopped = w.fleet.signal(front, syscall.SIGTERM)
	}
	var (
		mu      sync.Mutex
		answers []answer
		all     sync.WaitGroup
	)
	for i, s := range sessions {
		all.Go(func() {
			defer s.close()
			for _, a := range transact(s, stopped, i) {
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
	}
	all.Wait()
	time.Sleep(2 * time.Second)
	return checkLost(w, stopped, answers)
}

// transact runs one transaction and returns the answers to its statements. It ends early after an
// error.
func transact(s *clientSession, stopped time.Time, number int) (all []answer) {
	at := func(d time.Duration) { time.Sleep(time.Until(stopped.Add(d))) }
	step := func(text string) bool {
		a := s.query(text, 4*time.Second)
		all = append(all, a)
		return a.ok()
	}
	write := func() bool { return step(fmt.Sprintf("WRITE %x data%d", 100+number, len(all))) }
	at(transactionBegin)
	if !step("BEGIN") || !write() {
		return all
	}
	at(busyFrom + time.Duration(number)*10*time.Millisecond)
	for range busyStatements {
		if !write() {
			return all
		}
	}
	at(middleWrite)
	if !write() {
		return all
	}
	at(firstCommit + time.Duration(number)*commitGap)
	step("COMMIT")
	return all
}

// checkLost applies the rule LOST around a SIGTERM: a request was passed on to a server and the
// connection ended without a complete answer. Requests that were sent up to 3 s after the SIGTERM
// are left out, since their servers may have been at work at the end of grace_s.
func checkLost(w *world, stopped time.Time, answers []answer) (bool, error) {
	ran := map[string]run{}
	for _, r := range w.service.snapshot() {
		ran[r.id] = r
	}
	var lost []string
	for _, a := range answers {
		r, passedOn := ran[a.id]
		since := a.sent.Sub(stopped)
		if a.err == nil || !passedOn || since <= 3*time.Second || since > graceS+time.Second {
			continue
		}
		w.rec.add("LOST: %s %q was sent %d ms after the SIGTERM and run by %s; the client got no answer", a.id, r.text, since.Milliseconds(), r.server.id)
		lost = append(lost, a.id+" "+r.text)
	}
	if len(lost) > 0 {
		return true, fmt.Errorf("LOST: run and never answered: %s", strings.Join(lost, ", "))
	}
	return false, nil
}
