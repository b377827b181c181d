//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["restart"] = caseRestart }

// Items of caseRestart, with the values that the servers hold.
const (
	formerItem  = "a1a" // read by the clients of the process that is killed
	laterItem   = "b2b" // read by those of the next one
	formerValue = "valueofa1a"
	laterValue  = "valueofb2b"
)

// Sizes and times of caseRestart.
const (
	historyWork   = 400 * time.Millisecond // audit-read takes at most 410 ms
	writeWork     = 11 * time.Millisecond
	formerReaders = 16
	laterClients  = 42 // the sessions that stand open, about 292 over seven fronts
	laterWriters  = 14 // of them
	beforeKill    = 40 * time.Millisecond
	restartDelay  = 100 * time.Millisecond
	laterTime     = 2500 * time.Millisecond
	writerPause   = 100 * time.Millisecond
	rollGap       = 2 * time.Second
	calmTime      = 5 * time.Second // above settle_window_ms
)

// promises are the codes that promise that nothing of an attempt is kept.
var promises = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "CONNLIMIT"}

// caseRestart first stops and starts all fronts in turn, as planned work. Later it kills one front
// after the other, while it has reads in progress, and starts it again after a short delay. Clients
// then use it again. No client may get the answer to another one's request.
func caseRestart(w *world) (bool, error) {
	w.service.workOf = func(text string) time.Duration {
		if strings.HasPrefix(text, "READ") {
			return historyWork
		}
		return writeWork
	}
	for item, value := range map[string]string{formerItem: formerValue, laterItem: laterValue} {
		s, err := open(w.rec, "first", w.frontAddr(w.fleet.fronts[0]), dbPrimary, tenantKey)
		if err != nil || !s.query("WRITE "+item+" "+value, 2*time.Second).ok() {
			return false, fmt.Errorf("%w: the items were not written", errSetup)
		}
		s.close()
	}
	if err := w.rollFronts(); err != nil {
		return false, err
	}
	for _, front := range w.fleet.fronts {
		if err := w.restartFront(front); err != nil {
			return true, err
		}
	}
	return false, nil
}

// rollFronts stops and starts the fronts in turn and waits until the fleet is calm again.
func (w *world) rollFronts() error {
	var all sync.WaitGroup
	for _, front := range w.fleet.fronts {
		w.fleet.signal(front, syscall.SIGTERM)
		all.Go(func() {
			<-front.exited
			_ = w.fleet.start(front)
		})
		time.Sleep(rollGap)
	}
	all.Wait()
	if err := w.fleet.awaitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(calmTime)
	return nil
}

// laterResults collects what the clients of the new process were told.
type laterResults struct {
	mu       sync.Mutex
	mixed    []string
	acked    map[string]string
	promised map[string]string
}

// restartFront kills and starts one front, and returns an error if a client got the answer to
// another one's request.
func (w *world) restartFront(front *node) error {
	var all sync.WaitGroup
	for i := range formerReaders {
		all.Go(func() {
			s, err := open(w.rec, fmt.Sprintf("former%d", i+1), w.frontAddr(front), dbBounded, tenantKey)
			if err != nil {
				return
			}
			defer s.close()
			s.query("READ "+formerItem, 4*time.Second)
		})
	}
	time.Sleep(beforeKill)
	if w.trouble {
		w.fleet.signal(front, syscall.SIGKILL)
		<-front.exited
		time.Sleep(restartDelay)
		if err := w.fleet.start(front); err != nil {
			return nil
		}
	}
	results := &laterResults{acked: map[string]string{}, promised: map[string]string{}}
	begun := time.Now()
	for i := range laterClients {
		all.Go(func() { w.useFront(front, i, begun, results) })
	}
	all.Wait()
	time.Sleep(200 * time.Millisecond)
	kept := len(results.promised) - w.missing(results.promised)
	missing := w.missing(results.acked)
	if len(results.mixed) == 0 && kept == 0 && missing == 0 {
		return nil
	}
	w.rec.add("after the restart of %s: %d foreign answers; %d writes were promised not to be kept and were committed; %d acknowledged writes are not in the log",
		front.name, len(results.mixed), kept, missing)
	return fmt.Errorf("after the restart of %s %d answers belonged to other requests (MIXED) %v; %d writes were committed although their clients were promised that nothing is kept (REFUSED); %d acknowledged writes are not in the log",
		front.name, len(results.mixed), results.mixed[:min(1, len(results.mixed))], kept, missing)
}

// useFront runs operations of one client at a front and checks each answer.
func (w *world) useFront(front *node, number int, begun time.Time, results *laterResults) {
	name, database, writes := fmt.Sprintf("later%d", number+1), dbBounded, number < laterWriters
	if writes {
		database = dbPrimary
	}
	var s *clientSession
	for n := 0; time.Since(begun) < laterTime; n++ {
		if s == nil {
			var err error
			if s, err = open(w.rec, name, w.frontAddr(front), database, tenantKey); err != nil {
				time.Sleep(20 * time.Millisecond)
				continue
			}
		}
		text, rows := "READ "+laterItem, laterValue
		item, data := fmt.Sprintf("%s%02x%02x", strings.TrimPrefix(front.name, "front-"), number, n), "data"+front.name+name
		if writes {
			text, rows = "WRITE "+item+" "+data, ""
		}
		a := s.query(text, 4*time.Second)
		results.check(w.rec, front, name, a, text, rows)
		if writes {
			results.addWrite(a, item, data)
			time.Sleep(writerPause)
		}
		if a.err != nil || s.state != "I" {
			s.close()
			s = nil
		}
	}
	if s != nil {
		s.close()
	}
}

// check records a success without a server's signature for the statement, or with other rows.
func (r *laterResults) check(rec *record, front *node, name string, a answer, text, rows string) {
	if !a.ok() || strings.Contains(a.last, "."+a.id+".") && strings.Join(a.rows, " ") == rows {
		return
	}
	rec.add("MIXED: client %s sent %s %q to %s and got rows %q, %s", name, a.id, text, front.name, a.rows, a.last)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mixed = append(r.mixed, fmt.Sprintf("%s %s: rows %q", a.id, text, a.rows))
}

// addWrite records what a client was told about a write.
func (r *laterResults) addWrite(a answer, item, data string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.ok() {
		r.acked[item] = data
	}
	for _, code := range promises {
		if a.err == nil && strings.HasPrefix(a.last, "ERROR "+code+" ") {
			r.promised[item] = data
		}
	}
}
