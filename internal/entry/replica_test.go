package entry

import (
	"context"
	"maps"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/standin"
)

// waitReplicas waits until a replica has served a read of the caller.
func (f *fixture) waitReplicas(conn *pgx.Conn) {
	f.t.Helper()
	eventually(f.t, "a replica serves reads", func() bool {
		queryInt(f.t, conn, "select count(*) from records")
		return f.reads("replica") > 0
	})
}

// reads returns the number of reads served by endpoints of a role.
func (f *fixture) reads(role string) int {
	f.t.Helper()
	families, err := f.registry.Gather()
	if err != nil {
		f.t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() != "galenabridge_entry_reads_total" {
			continue
		}
		for _, m := range family.GetMetric() {
			if m.GetLabel()[0].GetValue() == role {
				return int(m.GetCounter().GetValue())
			}
		}
	}
	return 0
}

// Reads of a workspace are served by replicas and must include all its acknowledged writes, in
// any session and also while the replicas lag.
func TestReplicaReadsSeeOwnWrites(t *testing.T) {
	for name, lag := range map[string]time.Duration{"no lag": 0, "lag": 200 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, fixtureConfig{
				standin: func(o *standin.Options) { o.ReplayLag = lag },
			})
			writer := f.connect("")
			mustExec(t, writer, "create table entries (id int primary key)")
			early := f.connect("")
			for i := range 20 {
				mustExec(t, writer, "insert into entries values ($1)", i)
				for _, reader := range []*pgx.Conn{writer, early, f.connect("")} {
					if n := queryInt(t, reader, "select count(*) from entries"); n != i+1 {
						t.Fatalf("read %d entries after %d were acknowledged", n, i+1)
					}
				}
			}
			f.waitReplicas(writer)
		})
	}
}

// A query that writes looks like a read. A replica refuses it, and it must then run on the
// primary exactly once.
func TestWritingQueryRunsOnceOnPrimary(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	conn := f.connect("")
	mustExec(t, conn, "create table entries (id int)")
	f.waitReplicas(conn)
	const sql = "with note as (select 1) insert into entries select 1 returning id"
	for _, params := range []string{"", "default_query_exec_mode=simple_protocol"} {
		var id int
		err := f.connect(params).QueryRow(testContext(t), sql).Scan(&id)
		if err != nil || id != 1 {
			t.Fatalf("%q: %d, %v", params, id, err)
		}
	}
	if n := queryInt(t, f.direct(0), "select count(*) from entries"); n != 2 {
		t.Errorf("%d rows, want 2", n)
	}
}

func TestReadOnlyTransactionRunsOnReplica(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	conn := f.connect("")
	mustExec(t, conn, "create table entries (id int)")
	f.waitReplicas(conn)
	before := f.reads("primary")
	err := pgx.BeginTxFunc(testContext(t), conn, pgx.TxOptions{AccessMode: pgx.ReadOnly}, func(tx pgx.Tx) error {
		var n int
		if err := tx.QueryRow(testContext(t), "select count(*) from entries").Scan(&n); err != nil {
			return err
		}
		var replica bool
		if err := tx.QueryRow(testContext(t), "select pg_is_in_recovery()").Scan(&replica); err != nil {
			return err
		}
		if !replica {
			t.Error("the transaction runs on the primary")
		}
		if _, err := tx.Exec(testContext(t), "insert into entries values (1)"); err == nil {
			t.Error("a read-only transaction wrote")
		}
		return context.Canceled
	})
	if err != context.Canceled {
		t.Fatal(err)
	}
	if after := f.reads("primary"); after != before {
		t.Errorf("%d reads went to the primary, want 0", after-before)
	}
}

func TestMaxStalenessReadsLaggingReplica(t *testing.T) {
	f := newFixture(t, fixtureConfig{standin: func(o *standin.Options) { o.ReplayLag = 300 * time.Millisecond }})
	conn := f.connect("galenabridge.max_staleness=30000")
	mustExec(t, conn, "create table entries (id int)")
	f.waitReplicas(conn)
	before := f.reads("primary")
	for i := range 10 {
		mustExec(t, conn, "insert into entries values ($1)", i)
		queryInt(t, conn, "select count(*) from records")
	}
	if after := f.reads("primary"); after != before {
		t.Errorf("%d reads went to the primary, want 0", after-before)
	}
}

// After a replica is killed, no read of the caller may fail.
func TestReadRetriesOnOtherEndpoint(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	conn := f.connect("")
	f.waitReplicas(conn)
	f.group.Servers[1].Kill()
	for range 50 {
		queryInt(t, conn, "select count(*) from records")
	}
}

// Replicas stall without closing their connections. Reads in progress must be interrupted and
// retried on the primary rather than wait for their deadline.
func TestReadMovesFromUnresponsiveReplica(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	conn := f.connect("")
	f.waitReplicas(conn)
	for _, s := range f.group.Servers[1:] {
		s.Faults().Stall(true)
	}
	// The router uses the replicas until their monitors time out.
	for range 20 {
		queryInt(t, conn, "select count(*) from records")
	}
	for _, s := range f.group.Servers[1:] {
		s.Faults().Stall(false)
	}
}

func TestDomainOutGetsNoReads(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	f.publish(func(s *agreed.State) {
		s.Endpoints = maps.Clone(s.Endpoints)
		s.Catalog.Domains = maps.Clone(s.Catalog.Domains)
		for id, e := range s.Endpoints {
			e.Domain = "domain of " + id
			s.Endpoints[id] = e
			s.Catalog.Domains[e.Domain] = note.Domain{Name: e.Domain, Out: id == "ledger-2"}
		}
	})
	conn := f.connect("")
	f.waitReplicas(conn)
	for range 200 {
		var id string
		if err := conn.QueryRow(testContext(t), "select current_setting('cluster_name')").Scan(&id); err != nil {
			t.Fatal(err)
		}
		if id == "ledger-2" {
			t.Fatal("an endpoint in a failure domain that is out served a read")
		}
	}
}

// TestReturnedServiceReadsOwnWrites guards against reads that are refused, or lack the workspace's own
// writes, after a service was withdrawn in a later term than that in which it has returned.
func TestReturnedServiceReadsOwnWrites(t *testing.T) {
	f := newFixture(t, fixtureConfig{standin: func(o *standin.Options) { o.ReplayLag = 50 * time.Millisecond }})
	f.publish(func(s *agreed.State) {
		g := s.Groups[testService]
		g.Term = 3
		s.Groups[testService] = g
	})
	conn := f.connect("")
	mustExec(t, conn, "create table entries (id int primary key)")
	mustExec(t, conn, "insert into entries values (0)")
	f.waitReplicas(conn)
	f.withdrawAndReturn()
	for i := range 10 {
		mustExec(t, conn, "insert into entries values ($1)", i+1)
		for _, reader := range []*pgx.Conn{conn, f.connect("")} {
			if n := queryInt(t, reader, "select count(*) from entries"); n != i+2 {
				t.Fatalf("read %d entries after %d were acknowledged", n, i+2)
			}
		}
	}
	before := f.reads("replica")
	eventually(t, "a replica serves reads", func() bool {
		queryInt(t, conn, "select count(*) from entries")
		return f.reads("replica") > before
	})
}

// withdrawAndReturn withdraws the service and puts it back, with the same endpoints, before the host
// has seen any of it.
func (f *fixture) withdrawAndReturn() {
	f.publish(func(s *agreed.State) {
		former, endpoints, services := s.Groups[testService], s.Endpoints, s.Catalog.Services
		for _, next := range []map[string]note.Service{nil, services} {
			c := agreed.PutCatalog{Document: agreed.Document{Number: s.Catalog.Stamp.Number + 1}, Catalog: s.Catalog}
			c.Catalog.Services = next
			applied, _ := agreed.Apply(s, s.Revision+1, agreed.Command{PutCatalog: &c})
			*s = *applied
		}
		g := s.Groups[testService]
		g.Members, g.Primary, g.Timeline, g.Term, g.Phase = former.Members, former.Primary, former.Timeline, 1, agreed.PhaseActive
		s.Groups[testService], s.Endpoints = g, endpoints
	})
}
