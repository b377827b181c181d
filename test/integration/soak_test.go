//go:build fleet

package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/galenabridge/galenabridge/internal/history"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/standin"
)

// TestSoak injects random faults under load and checks the recorded history against the guarantees.
// When one is violated, it searches for a shorter schedule that still violates one.
func TestSoak(t *testing.T) {
	if *soak == 0 {
		t.Skip("runs with -soak DURATION; see make soak")
	}
	steps := drawSchedule(*seed, *soak)
	t.Logf("seed %d, schedule:\n%s", *seed, describeSteps(steps))
	if runSchedule(t, "all", steps) {
		return
	}
	runs := 0
	shortest := shrink(steps, func(rest []faultStep) bool {
		runs++
		return !runSchedule(t, fmt.Sprintf("shrink-%d", runs), rest)
	})
	t.Errorf("a guarantee is violated; shortest failing schedule found:\n%s\nrepeat: make soak SEED=%d DURATION=%s",
		describeSteps(shortest), *seed, *soak)
}

// runSchedule runs a fleet under load and the schedule, waits for its recovery and reports whether
// all guarantees held.
func runSchedule(t *testing.T, name string, steps []faultStep) bool {
	return t.Run(name, func(t *testing.T) {
		f := startFleet(t, fleetOptions{})
		s := &soakRun{fleet: f, recorder: newRecorder()}
		s.createTables()
		load := s.startLoad()
		s.runSteps(steps)
		s.awaitRecovery()
		awaitAcks(t, s.recorder, 50)
		load.stop()
		s.check()
	})
}

// soakRun is one run of a schedule.
type soakRun struct {
	*fleet
	recorder *recorder
	// notesMu serializes the notes that faults apply, and the creation of their keys.
	notesMu sync.Mutex
	// procsMu serializes stopping and starting processes.
	procsMu sync.Mutex
}

// createTables creates the tables of both services, and the record that all callers share.
func (s *soakRun) createTables() {
	for _, service := range services {
		conn := s.connect(s.Hosts[0], crew, service)
		for _, text := range []string{
			"create table corrections (id text, body text)",
			"insert into records (id, body) values ('shared', '')",
		} {
			if _, err := conn.Exec(s.context(), text); err != nil {
				s.t.Fatal(err)
			}
		}
	}
}

// startLoad starts for each host a writer of records, a client of the shared record and a sender of
// corrections.
func (s *soakRun) startLoad() *writers {
	ctx, cancel := context.WithCancel(context.Background())
	w := &writers{cancel: cancel}
	for i, h := range s.Hosts {
		service := services[i%len(services)]
		w.wg.Go(func() { s.insertRecords(ctx, s.recorder, h, service, fmt.Sprintf("soak-%d", i)) })
		w.wg.Go(func() { s.accessSharedRecord(ctx, i, service) })
		w.wg.Go(func() { s.insertCorrections(ctx, i, service) })
	}
	s.t.Cleanup(w.stop)
	return w
}

// accessSharedRecord writes and reads the record that all callers share, each time through a random
// host.
func (s *soakRun) accessSharedRecord(ctx context.Context, client int, service string) {
	rng := rand.New(rand.NewPCG(*seed, uint64(client)))
	for i := 0; ctx.Err() == nil; i++ {
		h := s.Hosts[rng.IntN(len(s.Hosts))]
		s.accessSharedOnce(rng, h, client, service, i)
		sleepContext(ctx, 50*time.Millisecond)
	}
}

// accessSharedOnce runs and records one random kind of operation on the shared record.
func (s *soakRun) accessSharedOnce(rng *rand.Rand, h *host, client int, service string, i int) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	conn, err := pgx.Connect(ctx, s.URL(h, editors, service))
	if err != nil {
		return
	}
	defer closeConn(conn)
	op := history.Operation{Client: client, Record: service, Kind: history.OperationKind(rng.IntN(3))}
	invoke := time.Now()
	switch op.Kind {
	case history.OpWrite:
		op.Value = fmt.Sprintf("%d.%d", client, i)
		_, err = conn.Exec(ctx, "update records set body = $1 where id = 'shared'", op.Value)
	case history.OpStrongRead:
		err = conn.QueryRow(ctx, "update records set body = body where id = 'shared' returning body").Scan(&op.Value)
	default:
		err = conn.QueryRow(ctx, "select body from records where id = 'shared'").Scan(&op.Value)
	}
	s.recorder.recordOperation(op, invoke, err)
}

// insertCorrections sends corrections with request ids and retries each through the other hosts
// until it has run.
func (s *soakRun) insertCorrections(ctx context.Context, client int, service string) {
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("correction-%d-%d", client, i)
		done := false
		for attempt := 0; !done && ctx.Err() == nil; attempt++ {
			err := s.tryCorrection(s.Hosts[(client+attempt)%len(s.Hosts)], service, id)
			done = err == nil || codeOf(err) == result.RequestAlreadyDone
			sleepContext(ctx, 50*time.Millisecond)
		}
		var last error
		if !done {
			last = context.Canceled
		}
		s.recorder.recordWrite(id, editors, last)
	}
}

// tryCorrection sends a correction once, with the timeout requestTimeout.
func (s *soakRun) tryCorrection(h *host, service, id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	conn, err := pgx.Connect(ctx, s.URL(h, editors, service))
	if err != nil {
		return err
	}
	defer closeConn(conn)
	if _, err := conn.Exec(ctx, "set galenabridge.request_id = '"+id+"'"); err != nil {
		return err
	}
	_, err = conn.Exec(ctx, "insert into corrections (id, body) values ($1, 'once')", id)
	return err
}

// runSteps injects the faults at their times and removes each after its length. It returns when all
// are removed.
func (s *soakRun) runSteps(steps []faultStep) {
	start := time.Now()
	var wg sync.WaitGroup
	for _, st := range steps {
		wg.Go(func() {
			time.Sleep(time.Until(start.Add(st.At)))
			undo := s.injectFault(st)
			time.Sleep(time.Until(start.Add(st.At + st.Length)))
			undo()
		})
	}
	wg.Wait()
}

// injectFault injects a fault and returns the function that removes it.
func (s *soakRun) injectFault(st faultStep) func() {
	service := services[st.Pick%len(services)]
	switch st.Fault {
	case faultIsolatePrimary:
		return s.isolateNode(s.primaryOrAny(service, st.Pick).ID)
	case faultIsolateReplica:
		return s.isolateNode(s.Endpoints[st.Pick%len(s.Endpoints)].ID)
	case faultIsolateControl:
		return s.isolateNode(s.Hosts[st.Pick%controlCount].Name)
	case faultIsolateEntry:
		return s.isolateNode(s.Hosts[controlCount+st.Pick%(len(s.Hosts)-controlCount)].Name)
	case faultKillEndpoint:
		return s.killEndpoint(s.Endpoints[st.Pick%len(s.Endpoints)])
	case faultKillHost:
		return s.killHost(s.Hosts[st.Pick%len(s.Hosts)])
	case faultDomainOut:
		return s.takeDomainOut(domains[st.Pick%len(domains)])
	case faultRotateKey:
		return s.rotateKey(fmt.Sprintf("rotated-%d-%d", st.At, st.Pick))
	}
	return s.setEndpointFault(st, s.primaryOrAny(service, st.Pick))
}

// setEndpointFault injects a fault that the stand-in endpoint e simulates itself, and returns the
// function that clears it.
func (s *soakRun) setEndpointFault(st faultStep, e *endpoint) func() {
	on, drops, delayMS, lagMS := true, 1000, 300, 3000
	request := standin.FaultRequest{}
	switch st.Fault {
	case faultStallPrimary:
		request.Stall = &on
	case faultDropAnswers:
		request.DropAfterCommit = &drops
	case faultDelayAnswers:
		request.ResponseDelayMS = &delayMS
	case faultReplayLag:
		request.ReplayLagMS = &lagMS
	}
	s.setFaultsIfAlive(e, request)
	noLag := 0
	return func() { s.setFaultsIfAlive(e, standin.FaultRequest{Clear: true, ReplayLagMS: &noLag}) }
}

// setFaultsIfAlive sets injected faults of an endpoint that may be down because of another fault.
func (s *soakRun) setFaultsIfAlive(e *endpoint, r standin.FaultRequest) {
	if _, err := e.Status(s.context()); err == nil {
		s.setFaults(e, r)
	}
}

// primaryOrAny returns the first endpoint of the service that reports that it is the primary, or
// another endpoint of the service when there is none.
func (s *soakRun) primaryOrAny(service string, pick int) *endpoint {
	var members []*endpoint
	for _, e := range s.Endpoints {
		if e.Service != service {
			continue
		}
		members = append(members, e)
		if st, err := e.Status(s.context()); err == nil && st.Role == standin.RolePrimary {
			return e
		}
	}
	return members[pick%len(members)]
}

// isolateNode partitions a node from all others and returns the function that heals it.
func (s *soakRun) isolateNode(name string) func() {
	s.net.isolate(name, true)
	return func() { s.net.isolate(name, false) }
}

// killHost kills a host and returns the function that starts it again unless it runs already.
func (s *soakRun) killHost(h *host) func() {
	s.procsMu.Lock()
	defer s.procsMu.Unlock()
	h.Proc.Kill()
	return func() {
		s.procsMu.Lock()
		defer s.procsMu.Unlock()
		if !h.Proc.Alive() {
			s.restartHost(h)
		}
	}
}

// killEndpoint kills an endpoint and returns the function that starts it again unless it runs
// already.
func (s *soakRun) killEndpoint(e *endpoint) func() {
	s.procsMu.Lock()
	defer s.procsMu.Unlock()
	e.Proc.Kill()
	return func() {
		s.procsMu.Lock()
		defer s.procsMu.Unlock()
		if !e.Proc.Alive() {
			s.restartEndpoint(e)
		}
	}
}

// applyNote applies a note through the control hosts in turn and retries until one accepts it,
// since notes are refused while there is no quorum.
func (s *soakRun) applyNote(change func(*note.Note)) {
	s.notesMu.Lock()
	defer s.notesMu.Unlock()
	deadline := time.Now().Add(waitTimeout)
	for i := 0; time.Now().Before(deadline); i++ {
		h := s.Hosts[i%controlCount]
		c, err := s.CurrentCatalog(s.context(), h)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		n := note.Note{Number: c.Stamp.Number + 1}
		change(&n)
		if _, err := s.PostNote(s.context(), h, n); err == nil {
			return
		}
	}
	s.t.Errorf("a note was not accepted within %s", waitTimeout)
}

// takeDomainOut takes a failure domain out of use and returns the function that puts it back.
func (s *soakRun) takeDomainOut(domain string) func() {
	set := func(out bool) {
		s.applyNote(func(n *note.Note) {
			n.Changed.Domains = []note.Domain{{Name: domain, Region: "kr-central", Out: out}}
		})
	}
	set(true)
	return func() { set(false) }
}

// rotateKey adds a key and returns the function that withdraws it.
func (s *soakRun) rotateKey(id string) func() {
	s.notesMu.Lock()
	key := s.NewKey(id, auditors)
	s.notesMu.Unlock()
	s.applyNote(func(n *note.Note) { n.Added.Keys = []note.Key{key} })
	return func() {
		s.applyNote(func(n *note.Note) { n.Withdrawn.Keys = []string{id} })
	}
}

// awaitRecovery heals all partitions and waits until every host serves every service.
func (s *soakRun) awaitRecovery() {
	s.net.heal()
	s.awaitServing()
}

// check checks the history against the records stored at the primaries of all services.
func (s *soakRun) check() {
	stored := make(map[string]int)
	for _, service := range services {
		for _, table := range []string{"records", "corrections"} {
			for id, n := range s.storedIDs(service, table) {
				stored[id] += n
			}
		}
	}
	s.recorder.check(s.t, stored)
}
