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

// TestSoak runs random faults, two at once, under traffic. When a promise is
// broken it looks for the shortest schedule that still breaks one.
func TestSoak(t *testing.T) {
	if *soak == 0 {
		t.Skip("runs with -soak DURATION; see make soak")
	}
	steps := drawSchedule(*seed, *soak)
	t.Logf("seed %d, schedule:\n%s", *seed, describe(steps))
	if runSchedule(t, "all", steps) {
		return
	}
	runs := 0
	shortest := shrink(steps, func(rest []step) bool {
		runs++
		return !runSchedule(t, fmt.Sprintf("shrink-%d", runs), rest)
	})
	t.Errorf("a promise is broken; shortest schedule found:\n%s\nrepeat: make soak SEED=%d DURATION=%s",
		describe(shortest), *seed, *soak)
}

// runSchedule runs a fleet under the schedule and reports whether all promises
// held.
func runSchedule(t *testing.T, name string, steps []step) bool {
	return t.Run(name, func(t *testing.T) {
		f := startFleet(t, fleetOptions{})
		s := &soakRun{fleet: f, recorder: newRecorder()}
		s.createTables()
		load := s.startLoad()
		s.perform(steps)
		s.recover()
		awaitAcks(t, s.recorder, 50)
		load.stop()
		s.check()
	})
}

// soakRun is one run of a schedule.
type soakRun struct {
	*fleet
	recorder *recorder
	// notes serializes the notes of faults, procs the ends and starts of
	// processes.
	notes sync.Mutex
	procs sync.Mutex
}

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

func (s *soakRun) startLoad() *writers {
	ctx, cancel := context.WithCancel(context.Background())
	w := &writers{cancel: cancel}
	for i, h := range s.Hosts {
		service := services[i%len(services)]
		w.wg.Go(func() { s.fileRecords(ctx, s.recorder, h, service, fmt.Sprintf("soak-%d", i)) })
		w.wg.Go(func() { s.useShared(ctx, i, service) })
		w.wg.Go(func() { s.fileCorrections(ctx, i, service) })
	}
	s.t.Cleanup(w.stop)
	return w
}

// useShared writes and reads the record that all callers share, and roams.
func (s *soakRun) useShared(ctx context.Context, client int, service string) {
	rng := rand.New(rand.NewPCG(*seed, uint64(client)))
	for i := 0; ctx.Err() == nil; i++ {
		h := s.Hosts[rng.IntN(len(s.Hosts))]
		s.onShared(rng, h, client, service, i)
		sleepContext(ctx, 50*time.Millisecond)
	}
}

func (s *soakRun) onShared(rng *rand.Rand, h *host, client int, service string, i int) {
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
	s.recorder.op(op, invoke, err)
}

// fileCorrections sends corrections under request ids, each until it is done.
func (s *soakRun) fileCorrections(ctx context.Context, client int, service string) {
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("correction-%d-%d", client, i)
		done := false
		for attempt := 0; !done && ctx.Err() == nil; attempt++ {
			err := s.correctWithin(s.Hosts[(client+attempt)%len(s.Hosts)], service, id)
			done = err == nil || codeOf(err) == result.RequestAlreadyDone
			sleepContext(ctx, 50*time.Millisecond)
		}
		var last error
		if !done {
			last = context.Canceled
		}
		s.recorder.write(id, editors, last)
	}
}

func (s *soakRun) correctWithin(h *host, service, id string) error {
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

// perform causes the faults at their times and undoes each after its length.
func (s *soakRun) perform(steps []step) {
	start := time.Now()
	var wg sync.WaitGroup
	for _, st := range steps {
		wg.Go(func() {
			time.Sleep(time.Until(start.Add(st.At)))
			undo := s.cause(st)
			time.Sleep(time.Until(start.Add(st.At + st.Length)))
			undo()
		})
	}
	wg.Wait()
}

// cause starts a fault and returns how to undo it.
func (s *soakRun) cause(st step) func() {
	service := services[st.Pick%len(services)]
	switch st.Fault {
	case faultIsolatePrimary:
		return s.isolateNode(s.primaryOr(service, st.Pick).ID)
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
		return s.domainOut(domains[st.Pick%len(domains)])
	case faultRotateKey:
		return s.rotateKey(fmt.Sprintf("rotated-%d-%d", st.At, st.Pick))
	}
	return s.switchFault(st, s.primaryOr(service, st.Pick))
}

// switchFault uses the fault switches of an endpoint.
func (s *soakRun) switchFault(st step, e *endpoint) func() {
	on, drops, late, lag := true, 1000, 300, 3000
	request := standin.FaultRequest{}
	switch st.Fault {
	case faultStallPrimary:
		request.Stall = &on
	case faultDropAnswers:
		request.DropAfterCommit = &drops
	case faultLateAnswers:
		request.ResponseDelayMS = &late
	case faultLag:
		request.ReplayLagMS = &lag
	}
	s.tryFaults(e, request)
	none := 0
	return func() { s.tryFaults(e, standin.FaultRequest{Clear: true, ReplayLagMS: &none}) }
}

// tryFaults sets switches of an endpoint that may be dead.
func (s *soakRun) tryFaults(e *endpoint, r standin.FaultRequest) {
	if _, err := e.Status(s.context()); err == nil {
		s.faults(e, r)
	}
}

// primaryOr returns the primary, or an endpoint of the service when there is
// none.
func (s *soakRun) primaryOr(service string, pick int) *endpoint {
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

func (s *soakRun) isolateNode(name string) func() {
	s.net.isolate(name, true)
	return func() { s.net.isolate(name, false) }
}

func (s *soakRun) killHost(h *host) func() {
	s.procs.Lock()
	defer s.procs.Unlock()
	h.Proc.Kill()
	return func() {
		s.procs.Lock()
		defer s.procs.Unlock()
		if !h.Proc.Alive() {
			s.mustStart(h)
		}
	}
}

func (s *soakRun) killEndpoint(e *endpoint) func() {
	s.procs.Lock()
	defer s.procs.Unlock()
	e.Proc.Kill()
	return func() {
		s.procs.Lock()
		defer s.procs.Unlock()
		if !e.Proc.Alive() {
			s.restartEndpoint(e)
		}
	}
}

// tryNote applies a note through any host; a note may fail while control is cut
// off.
func (s *soakRun) tryNote(change func(*note.Note)) {
	s.notes.Lock()
	defer s.notes.Unlock()
	deadline := time.Now().Add(patience)
	for i := 0; time.Now().Before(deadline); i++ {
		h := s.Hosts[i%controlCount]
		c, err := s.Catalog(s.context(), h)
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
	s.t.Errorf("a note was not accepted within %s", patience)
}

func (s *soakRun) domainOut(domain string) func() {
	set := func(out bool) {
		s.tryNote(func(n *note.Note) {
			n.Changed.Domains = []note.Domain{{Name: domain, Region: "kr-central", Out: out}}
		})
	}
	set(true)
	return func() { set(false) }
}

func (s *soakRun) rotateKey(id string) func() {
	s.notes.Lock()
	key := s.NewKey(id, auditors)
	s.notes.Unlock()
	s.tryNote(func(n *note.Note) { n.Added.Keys = []note.Key{key} })
	return func() {
		s.tryNote(func(n *note.Note) { n.Withdrawn.Keys = []string{id} })
	}
}

// recover undoes what is left and waits until everything serves again.
func (s *soakRun) recover() {
	s.net.heal()
	s.awaitServing()
}

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
