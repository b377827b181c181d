//go:build fleet

package integration

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/galenabridge/galenabridge/internal/history"
	"github.com/galenabridge/galenabridge/internal/localfleet"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/standin"
)

// awaitNewPrimary waits until an endpoint other than old is the primary and returns it.
func (f *fleet) awaitNewPrimary(service string, old *endpoint) *endpoint {
	f.t.Helper()
	var found *endpoint
	eventually(f.t, "another primary of "+service, func() bool {
		found = f.Primary(f.context(), service)
		return found != nil && found != old
	})
	return found
}

// awaitAcks waits for n more acknowledged writes.
func awaitAcks(t *testing.T, r *recorder, n int) {
	t.Helper()
	before := r.countWrites(history.Acked)
	eventually(t, fmt.Sprintf("%d acknowledged writes", n), func() bool {
		return r.countWrites(history.Acked) >= before+n
	})
}

// awaitCaughtUp waits until the endpoint is a replica that has flushed as much as the primary of its
// service. Writes to the service must have stopped.
func (f *fleet) awaitCaughtUp(e *endpoint) {
	f.t.Helper()
	eventually(f.t, e.ID+" has caught up with the primary", func() bool {
		s, err := e.Status(f.context())
		if err != nil || s.Role != standin.RoleReplica {
			return false
		}
		p, err := f.primary(e.Service).Status(f.context())
		return err == nil && p.Timeline == s.Timeline && p.Flushed == s.Flushed
	})
}

// awaitReplica waits until the endpoint is a replica on the timeline of the primary.
func (f *fleet) awaitReplica(e *endpoint) {
	f.t.Helper()
	eventually(f.t, e.ID+" is a replica", func() bool {
		s, err := e.Status(f.context())
		p := f.Primary(f.context(), e.Service)
		if err != nil || p == nil || s.Role != standin.RoleReplica {
			return false
		}
		newest, err := p.Status(f.context())
		return err == nil && newest.Timeline == s.Timeline
	})
}

// TestPrimaryIsolatedWritesDiscarded guards against a split brain: an isolated primary still
// accepts writes sent to it directly. After its replacement, none of its own writes may return, and
// no write acknowledged to a caller may be lost.
func TestPrimaryIsolatedWritesDiscarded(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	service := services[0]
	r := newRecorder()
	w := f.startWriters(r, len(f.Hosts), service)
	awaitAcks(t, r, 100)

	old := f.primary(service)
	f.net.isolate(old.ID, true)
	cutAt := time.Now()
	next := f.awaitNewPrimary(service, old)
	promoted := time.Since(cutAt)
	awaitAcks(t, r, 100)
	t.Logf("%s replaced %s after %s; 100 more writes acknowledged after %s", next.ID, old.ID, promoted, time.Since(cutAt))

	if s, err := old.Status(f.context()); err != nil || s.Role != standin.RolePrimary {
		t.Fatalf("the isolated endpoint does not report that it is the primary: %+v, %v", s, err)
	}
	if _, err := f.connectDirect(old).Exec(f.context(), "insert into records (id) values ('orphan')"); err != nil {
		t.Fatalf("the isolated primary refused a write, so the test checks nothing: %v", err)
	}
	f.net.heal()
	f.stopAndAwaitCaughtUp(w, old)
	stored := f.storedIDs(service, "records")
	if stored["orphan"] != 0 {
		t.Error("a write of the replaced primary is stored")
	}
	r.check(t, stored)
}

// stopAndAwaitCaughtUp stops the writers and waits until the endpoint has caught up.
func (f *fleet) stopAndAwaitCaughtUp(w *writers, e *endpoint) {
	f.t.Helper()
	w.stop()
	f.awaitCaughtUp(e)
}

// TestPrimaryKilledRejoinsAsReplica kills the primary under writes and starts it again after its
// replacement. It must follow the new primary as a replica, and no acknowledged write may be lost.
func TestPrimaryKilledRejoinsAsReplica(t *testing.T) {
	f := startFleet(t, fleetOptions{hosts: controlCount})
	service := services[0]
	r := newRecorder()
	w := f.startWriters(r, 6, service)
	awaitAcks(t, r, 100)
	old := f.primary(service)
	old.Proc.Kill()
	f.awaitNewPrimary(service, old)
	awaitAcks(t, r, 100)
	f.restartEndpoint(old)
	f.stopAndAwaitCaughtUp(w, old)
	r.check(t, f.storedIDs(service, "records"))
}

// TestPrimaryStallsNotRunHadNoEffect guards against a request that is reported as not run although
// it ran. The primary drops answers after the commit and stalls, so that requests end without one.
func TestPrimaryStallsNotRunHadNoEffect(t *testing.T) {
	f := startFleet(t, fleetOptions{hosts: controlCount})
	service := services[0]
	r := newRecorder()
	w := f.startWriters(r, 12, service)
	awaitAcks(t, r, 50)
	primary := f.primary(service)
	stall, drops := true, 5
	for range 3 {
		f.setFaults(primary, standin.FaultRequest{DropAfterCommit: &drops})
		awaitAcks(t, r, 50)
		f.setFaults(primary, standin.FaultRequest{Stall: &stall})
		time.Sleep(500 * time.Millisecond)
		f.setFaults(primary, standin.FaultRequest{Clear: true})
		awaitAcks(t, r, 50)
	}
	w.stop()
	if r.countWrites(history.Unknown) == 0 {
		t.Error("no request has an unknown outcome, so the test checks nothing")
	}
	r.check(t, f.storedIDs(service, "records"))
}

// TestCorrectionRetriedAfterLostReplyRunsOnce drops the answer to a commit and sends the request
// again with the same request id through other hosts. Without deduplication it would run twice.
func TestCorrectionRetriedAfterLostReplyRunsOnce(t *testing.T) {
	f := startFleet(t, fleetOptions{hosts: controlCount})
	service := services[1]
	setup := f.connect(f.Hosts[0], editors, service)
	if _, err := setup.Exec(f.context(), "create table corrections (id text, body text)"); err != nil {
		t.Fatal(err)
	}
	const rounds = 10
	drops := 1
	for i := range rounds {
		id := fmt.Sprintf("correction-%d", i)
		f.setFaults(f.primary(service), standin.FaultRequest{DropAfterCommit: &drops})
		err := f.insertCorrection(f.Hosts[i%len(f.Hosts)], service, id)
		for attempt := 1; err != nil && codeOf(err) != result.RequestAlreadyDone; attempt++ {
			if attempt > 20 {
				t.Fatalf("%s: %v", id, err)
			}
			time.Sleep(50 * time.Millisecond)
			err = f.insertCorrection(f.Hosts[(i+attempt)%len(f.Hosts)], service, id)
		}
	}
	f.setFaults(f.primary(service), standin.FaultRequest{Clear: true})
	stored := f.storedIDs(service, "corrections")
	for i := range rounds {
		if n := stored[fmt.Sprintf("correction-%d", i)]; n != 1 {
			t.Errorf("correction-%d is stored %d times, want once", i, n)
		}
	}
}

// insertCorrection inserts a correction with a request id.
func (f *fleet) insertCorrection(h *host, service, id string) error {
	conn, err := f.dial(h, editors, service)
	if err != nil {
		return err
	}
	defer closeConn(conn)
	if _, err := conn.Exec(f.context(), "set galenabridge.request_id = '"+id+"'"); err != nil {
		return err
	}
	_, err = conn.Exec(f.context(), "insert into corrections (id, body) values ($1, 'once')", id)
	return err
}

// TestHostKilledInTransactionRollsBack kills a host while a transaction through it is open. The
// transaction must leave no rows and must not block writes through other hosts.
func TestHostKilledInTransactionRollsBack(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	service := services[0]
	victim := f.Hosts[len(f.Hosts)-1]
	conn := f.connect(victim, crew, service)
	tx, err := conn.Begin(f.context())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(f.context(), "insert into records (id) values ('unfinished')"); err != nil {
		t.Fatal(err)
	}
	victim.Proc.Kill()
	if err := tx.Commit(f.context()); err == nil {
		t.Error("a transaction was committed through a killed host")
	}
	other := f.connect(f.Hosts[0], crew, service)
	if _, err := other.Exec(f.context(), "insert into records (id) values ('finished')"); err != nil {
		t.Fatalf("the killed host's transaction blocks others: %v", err)
	}
	stored := f.storedIDs(service, "records")
	if stored["unfinished"] != 0 || stored["finished"] != 1 {
		t.Errorf("stored %v, want only the finished transaction", stored)
	}
}

// TestReplicasLaggingReadsStayFresh reads each write right after its acknowledgement while every
// endpoint replays with a lag of ten minutes. A read answered by a replica would be stale.
func TestReplicasLaggingReadsStayFresh(t *testing.T) {
	f := startFleet(t, fleetOptions{hosts: controlCount})
	service := services[0]
	lag := int((10 * time.Minute).Milliseconds())
	for _, e := range f.Endpoints {
		f.setFaults(e, standin.FaultRequest{ReplayLagMS: &lag})
	}
	r := newRecorder()
	conns := make([]*pgx.Conn, len(f.Hosts))
	for i, h := range f.Hosts {
		conns[i] = f.connect(h, crew, service)
	}
	if _, err := conns[0].Exec(f.context(), "insert into records (id, body) values ('r', '')"); err != nil {
		t.Fatal(err)
	}
	for i := range 60 {
		f.writeAndRead(r, conns[i%len(conns)], conns[(i+1)%len(conns)], i)
	}
	r.check(t, nil)
}

// writeAndRead writes a value of the record r and reads it with both kinds of reads, and records
// all three operations.
func (f *fleet) writeAndRead(r *recorder, writer, reader *pgx.Conn, i int) {
	f.t.Helper()
	value := fmt.Sprintf("v%d", i)
	invoke := time.Now()
	_, err := writer.Exec(f.context(), "update records set body = $1 where id = 'r'", value)
	r.recordOperation(history.Operation{Client: 1, Record: "r", Kind: history.OpWrite, Value: value}, invoke, err)
	for _, strong := range []bool{false, true} {
		text, kind := "select body from records where id = 'r'", history.OpRead
		if strong {
			text, kind = "update records set body = body where id = 'r' returning body", history.OpStrongRead
		}
		var got string
		invoke = time.Now()
		err := reader.QueryRow(f.context(), text).Scan(&got)
		r.recordOperation(history.Operation{Client: 2, Record: "r", Kind: kind, Value: got}, invoke, err)
		if err != nil {
			f.t.Errorf("read: %v", err)
		}
	}
}

// servedBy returns the id of the endpoint that answers a read.
func servedBy(f *fleet, conn *pgx.Conn) (string, error) {
	var id string
	err := conn.QueryRow(f.context(), "select current_setting('cluster_name')").Scan(&id)
	return id, err
}

// domainOf returns the failure domain of an endpoint, or an empty string.
func (f *fleet) domainOf(id string) string {
	for _, e := range f.Endpoints {
		if e.ID == id {
			return e.Domain
		}
	}
	return ""
}

// TestDomainOutReceivesNoRequests takes the primary's failure domain out of use under writes and
// back into use. While it is out, another endpoint must be the primary and no endpoint of the domain
// may serve reads.
func TestDomainOutReceivesNoRequests(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	service := services[0]
	r := newRecorder()
	w := f.startWriters(r, len(f.Hosts), service)
	awaitAcks(t, r, 50)
	old := f.primary(service)
	f.setDomain(old.Domain, true)
	conns := make([]*pgx.Conn, len(f.Hosts))
	for i, h := range f.Hosts {
		conns[i] = f.connect(h, crew, service)
	}
	// inDomain reports whether one of the reads is served in the domain or fails.
	inDomain := func(reads int) bool {
		for i := range reads {
			id, err := servedBy(f, conns[i%len(conns)])
			if err != nil || f.domainOf(id) == old.Domain {
				return true
			}
		}
		return false
	}
	f.awaitNewPrimary(service, old)
	eventually(t, "no requests in the domain that is out", func() bool { return !inDomain(100) })
	if inDomain(500) {
		t.Error("the domain that is out received requests again")
	}
	f.setDomain(old.Domain, false)
	eventually(t, "requests in the domain that is back", func() bool { return inDomain(50) })
	w.stop()
	r.check(t, f.storedIDs(service, "records"))
}

// TestDomainOutLeavesNoUnknownOutcomes takes the primary's domain out of use and back several times
// under writes. A planned change of the primary must not interrupt requests: every one ends with a
// known outcome.
func TestDomainOutLeavesNoUnknownOutcomes(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	service := services[0]
	r := newRecorder()
	w := f.startWriters(r, len(f.Hosts), service)
	for range 4 {
		awaitAcks(t, r, 200)
		old := f.primary(service)
		f.setDomain(old.Domain, true)
		f.awaitNewPrimary(service, old)
		awaitAcks(t, r, 200)
		f.setDomain(old.Domain, false)
		f.awaitReplica(old)
	}
	w.stop()
	r.check(t, f.storedIDs(service, "records"))
	if n := r.countWrites(history.Unknown); n > 0 {
		t.Errorf("%d requests have an unknown outcome", n)
	}
}

// setDomain applies a note that takes a failure domain out of use or back into use.
func (f *fleet) setDomain(domain string, out bool) {
	f.t.Helper()
	f.apply(f.Hosts[0], func(n *note.Note) {
		n.Changed.Domains = []note.Domain{{Name: domain, Region: "kr-central", Out: out}}
	})
}

// TestServiceLeavingRefusesRequests takes a service out of use while callers are connected to it.
// Their requests must be refused as not run, and the other service goes on.
func TestServiceLeavingRefusesRequests(t *testing.T) {
	f := startFleet(t, fleetOptions{hosts: controlCount})
	leaving := services[1]
	conns := make([]*pgx.Conn, len(f.Hosts))
	for i, h := range f.Hosts {
		conns[i] = f.connect(h, crew, leaving)
	}
	f.apply(f.Hosts[0], func(n *note.Note) {
		n.Changed.Services = []note.Service{{
			Name: leaving, Endpoints: endpointCount, Slots: 5, Connections: 50,
			Database: localfleet.Database, User: localfleet.ServiceUser, Password: localfleet.ServicePassword, Leaving: true,
		}}
	})
	for i, conn := range conns {
		var lastErr error
		eventually(t, f.Hosts[i].Name+" refuses requests for the leaving service", func() bool {
			_, lastErr = conn.Exec(f.context(), "insert into records (id) values (gen_random_uuid()::text)")
			return lastErr != nil
		})
		if outcomeOf(lastErr) != history.NotRun {
			t.Errorf("%s: %v, want a refusal as not run", f.Hosts[i].Name, lastErr)
		}
		if _, err := f.connect(f.Hosts[i], crew, services[0]).Exec(f.context(), "select 1"); err != nil {
			t.Errorf("%s: the other service: %v", f.Hosts[i].Name, err)
		}
	}
}

// TestHostShutdownFinishesOpenRequests shuts a host down while a statement and a transaction are in
// progress. Both must end with success before the host ends, and idle connections are closed.
func TestHostShutdownFinishesOpenRequests(t *testing.T) {
	f := startFleet(t, fleetOptions{hosts: controlCount + 1})
	service := services[0]
	leaving := f.Hosts[len(f.Hosts)-1]
	running, open, idle := f.connect(leaving, crew, service), f.connect(leaving, crew, service), f.connect(leaving, crew, service)
	tx, err := open.Begin(f.context())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(f.context(), "insert into records (id) values ('in transaction')"); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() {
		_, err := running.Exec(f.context(), "select pg_sleep(2)")
		done <- err
	}()
	eventually(t, "the statement runs", func() bool { return f.sleeping(service) })
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		f.shutDown(leaving)
	}()
	eventually(t, "the host drains", func() bool { return strings.Contains(leaving.Proc.Output(), "shutdown_begin") })
	if err := tx.Commit(f.context()); err != nil {
		t.Errorf("the shutdown broke the open transaction: %v", err)
	}
	if err := <-done; err != nil {
		t.Errorf("the shutdown broke the running statement: %v", err)
	}
	<-stopped
	if _, err := idle.Exec(f.context(), "select 1"); err == nil {
		t.Error("the host serves requests after its shutdown")
	}
	if f.storedIDs(service, "records")["in transaction"] != 1 {
		t.Error("the committed transaction is not stored")
	}
}

// sleeping reports whether an endpoint of the service runs a pg_sleep.
func (f *fleet) sleeping(service string) bool {
	for _, e := range f.Endpoints {
		if e.Service != service {
			continue
		}
		if s, err := e.Status(f.context()); err == nil && s.Sleeping > 0 {
			return true
		}
	}
	return false
}
