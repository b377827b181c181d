package entry

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// withdrawKey removes the key of the test callers from the catalog.
func withdrawKey(s *agreed.State) { delete(s.Catalog.Keys, "crew-1") }

func TestWithdrawnKeyClosesIdleSession(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	conn := f.connect("")
	f.publish(withdrawKey)
	// The session must end without a request from the caller.
	front := conn.PgConn().Frontend()
	msg, err := front.Receive()
	if err != nil {
		t.Fatal(err)
	}
	refusal, ok := msg.(*pgproto3.ErrorResponse)
	if !ok || !strings.HasPrefix(refusal.Message, "GB1003 ") || refusal.Severity != "FATAL" {
		t.Fatalf("%+v", msg)
	}
	if _, err := pgx.Connect(testContext(t), f.url("crew", callerKey, "")); err == nil {
		t.Error("the withdrawn key was accepted at login")
	}
}

func TestWithdrawnKeyCancelsTransaction(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	conn := f.connect("")
	mustExec(t, conn, "create table entries (id int primary key)")
	mustExec(t, conn, "begin")
	mustExec(t, conn, "insert into entries values (1)")
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "select pg_sleep(100)")
		done <- err
	}()
	f.waitActive()
	f.publish(withdrawKey)
	wantCode(t, <-done, result.KeyWithdrawn)
	if n := queryInt(t, f.direct(0), "select count(*) from entries"); n != 0 {
		t.Error("the transaction was committed")
	}
}

// waitActive waits until a session uses an endpoint connection.
func (f *fixture) waitActive() {
	f.t.Helper()
	eventually(f.t, "statement sent", func() bool {
		for _, s := range f.server.activeSessions() {
			s.mu.Lock()
			active := s.active != nil
			s.mu.Unlock()
			if active {
				return true
			}
		}
		return false
	})
}

// Without a valid configuration lease the host may have missed a new primary or a withdrawn
// key, so it must refuse requests and logins. After a renewal the session goes on.
func TestExpiredConfigLeaseRefusesRequests(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	conn := f.connect("")
	mustExec(t, conn, "create table entries (id int primary key)")
	f.expire()
	_, err := conn.Exec(testContext(t), "insert into entries values (1)")
	wantCode(t, err, result.NoConfigLease)
	_, err = pgx.Connect(testContext(t), f.url("crew", callerKey, ""))
	wantCode(t, err, result.NoConfigLease)
	f.publish(func(*agreed.State) {})
	if n := queryInt(t, conn, "select count(*) from entries"); n != 0 {
		t.Errorf("%d rows, want 0", n)
	}
}

// While the group has no active primary, a write waits until its deadline.
func TestWriteWaitsWithoutPrimary(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	conn := f.connect("")
	mustExec(t, conn, "create table entries (id int primary key)")
	seal := func(s *agreed.State) {
		g := s.Groups[testService]
		g.Term, g.Phase = g.Term+1, agreed.PhaseSealed
		s.Groups[testService] = g
	}
	f.publish(seal)
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "insert into entries values (1)")
		done <- err
	}()
	shortDeadline := f.connect("galenabridge.deadline=50")
	_, err := shortDeadline.Exec(testContext(t), "insert into entries values (2)")
	wantCode(t, err, result.NoPrimary)
	f.publish(func(s *agreed.State) {
		g := s.Groups[testService]
		g.Phase = agreed.PhaseActive
		s.Groups[testService] = g
	})
	if err := <-done; err != nil {
		t.Fatalf("the waiting write failed: %v", err)
	}
	if n := queryInt(t, conn, "select count(*) from entries"); n != 1 {
		t.Errorf("%d rows, want 1", n)
	}
}

// A read whose required position cannot be determined during a failover must wait, as a write
// does, rather than be served without a position.
func TestReadWaitsForUnknownPosition(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	setPhase := func(phase agreed.Phase, term uint64) {
		f.publish(func(s *agreed.State) {
			g := s.Groups[testService]
			g.Phase, g.Term = phase, term
			s.Groups[testService] = g
		})
	}
	setPhase(agreed.PhaseSealed, 2)
	conn := f.connect("")
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "select 1")
		done <- err
	}()
	shortDeadline := f.connect("galenabridge.deadline=200")
	if _, err := shortDeadline.Exec(testContext(t), "select 1"); err == nil {
		t.Fatal("a read without a position was served")
	}
	setPhase(agreed.PhaseActive, 2)
	if err := <-done; err != nil {
		t.Fatalf("the waiting read failed: %v", err)
	}
}

// The connection is lost after the commit and before the answer: the caller must learn that
// the outcome is unknown, and the write must not be retried.
func TestLostAnswerOutcomeUnknown(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	conn := f.connect("")
	mustExec(t, conn, "create table entries (id int primary key)")
	f.group.Servers[0].Faults().DropAfterCommit(1)
	_, err := conn.Exec(testContext(t), "insert into entries values (1)")
	wantCode(t, err, result.OutcomeUnknown)
	mustExec(t, conn, "insert into entries values (2)")
	if n := queryInt(t, conn, "select count(*) from entries"); n != 2 {
		t.Errorf("%d rows, want 2", n)
	}
}

// A write that the primary has committed and no replica has flushed must not be acknowledged:
// a failover could lose it.
func TestWriteWithoutMajorityOutcomeUnknown(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	conn := f.connect("")
	mustExec(t, conn, "create table entries (id int primary key)")
	f.group.Servers[0].Faults().Partition("replication", true)
	mustExec(t, conn, "set galenabridge.deadline = '100'")
	_, err := conn.Exec(testContext(t), "insert into entries values (1)")
	wantCode(t, err, result.OutcomeUnknown)
}

// A primary is replaced while it executes a write. Its answer must not be relayed, because the
// write may be missing on the new primary.
func TestReplacedPrimaryLateAnswerDropped(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	conn := f.connect("")
	mustExec(t, conn, "create table entries (id int primary key)")
	f.group.Servers[0].Faults().Stall(true)
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "insert into entries values (1)")
		done <- err
	}()
	f.waitActive()
	f.publish(func(s *agreed.State) {
		g := s.Groups[testService]
		g.Term, g.Primary = g.Term+1, g.Members[1]
		s.Groups[testService] = g
	})
	wantCode(t, <-done, result.OutcomeUnknown)
	f.group.Servers[0].Faults().Stall(false)
}

// After the entry has rolled a transaction back, later statements of the caller must not run
// outside the transaction: they are refused until COMMIT or ROLLBACK, which answer ROLLBACK.
func TestLostTransactionFailedUntilEnd(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	conn := f.connect("")
	mustExec(t, conn, "create table entries (id int primary key)")
	mustExec(t, conn, "begin")
	mustExec(t, conn, "insert into entries values (1)")
	f.publish(func(s *agreed.State) {
		g := s.Groups[testService]
		g.Term++
		s.Groups[testService] = g
	})
	_, err := conn.Exec(testContext(t), "insert into entries values (2)")
	wantCode(t, err, result.EndpointLost)
	_, err = conn.Exec(testContext(t), "insert into entries values (3)")
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) || pgErr.Code != "25P02" {
		t.Fatalf("a statement after the rollback: %v, want SQLSTATE 25P02", err)
	}
	tag, err := conn.Exec(testContext(t), "commit")
	if err != nil || tag.String() != "ROLLBACK" {
		t.Fatalf("commit answered %s, %v; want ROLLBACK", tag, err)
	}
	if n := queryInt(t, conn, "select count(*) from entries"); n != 0 {
		t.Errorf("%d rows, want 0", n)
	}
}

func TestOversizedMessageRefused(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	conn := f.connect("")
	_, err := conn.Exec(testContext(t), "select '"+strings.Repeat("x", 2<<20)+"'")
	wantCode(t, err, result.MessageTooLarge)
	if n := queryInt(t, f.connect(""), "select 1"); n != 1 {
		t.Error("the server does not serve other callers")
	}
}

func TestMalformedMessageRefused(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	conn := f.connect("")
	raw := conn.PgConn().Conn()
	if _, err := raw.Write([]byte{'?', 0, 0, 0, 4}); err != nil {
		t.Fatal(err)
	}
	msg, err := conn.PgConn().Frontend().Receive()
	if err != nil {
		t.Fatal(err)
	}
	if refusal, ok := msg.(*pgproto3.ErrorResponse); !ok || refusal.Code != "08P01" {
		t.Errorf("%+v", msg)
	}
	nc, err := net.Dial("tcp", f.server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	if _, err := nc.Write([]byte("GET / HTTP/1.1\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	if n := queryInt(t, f.connect(""), "select 1"); n != 1 {
		t.Error("the server does not serve other callers")
	}
}

// A client that does not read its answer must be disconnected after the write timeout, so that
// it does not hold an endpoint connection.
func TestClientNotReadingDisconnected(t *testing.T) {
	f := newFixture(t, fixtureConfig{options: func(o *Options) { o.WriteTimeout = 50 * time.Millisecond }})
	conn := f.connect("")
	mustExec(t, conn, "create table entries (word text)")
	for range 8 {
		mustExec(t, conn, "insert into entries values ($1)", strings.Repeat("x", 512<<10))
	}
	front := conn.PgConn().Frontend()
	front.SendQuery(&pgproto3.Query{String: "select a.word from entries a, entries b"})
	if err := front.Flush(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "session closed", func() bool { return len(f.server.activeSessions()) == 0 })
	if n := queryInt(t, f.connect(""), "select count(*) from entries"); n != 8 {
		t.Errorf("%d rows, want 8", n)
	}
}

func TestCancelInterruptsStatement(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	conn := f.connect("")
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "select pg_sleep(100)")
		done <- err
	}()
	f.waitActive()
	if err := conn.PgConn().CancelRequest(testContext(t)); err != nil {
		t.Fatal(err)
	}
	var pgErr *pgconn.PgError
	if err := <-done; !errors.As(err, &pgErr) || pgErr.Code != "57014" {
		t.Fatalf("%v", err)
	}
	if n := queryInt(t, conn, "select 1"); n != 1 {
		t.Error("the session cannot be used after the cancellation")
	}
}

func TestDrainWaitsForTransactions(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	idle, busy := f.connect(""), f.connect("")
	mustExec(t, busy, "create table entries (id int primary key)")
	mustExec(t, busy, "begin")
	drained := make(chan error, 1)
	go func() { drained <- f.server.Drain(testContext(t)) }()
	msg, err := idle.PgConn().Frontend().Receive()
	if err != nil {
		t.Fatal(err)
	}
	if notice, ok := msg.(*pgproto3.ErrorResponse); !ok || notice.Code != "57P01" {
		t.Errorf("%+v", msg)
	}
	mustExec(t, busy, "insert into entries values (1)")
	mustExec(t, busy, "commit")
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
	if n := queryInt(t, f.direct(0), "select count(*) from entries"); n != 1 {
		t.Errorf("%d rows, want 1", n)
	}
}

// Callers without a key may read, and no statement may undo the read-only setting.
func TestOpenWorkspaceReadOnly(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	mustExec(t, f.connect(""), "create table entries (id int primary key)")
	conn, err := pgx.Connect(testContext(t), f.url("pull", "", ""))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close(context.Background()) }()
	if n := queryInt(t, conn, "select count(*) from entries"); n != 0 {
		t.Errorf("%d rows, want 0", n)
	}
	for _, sql := range []string{
		"insert into entries values (1)", "begin read write", "set default_transaction_read_only = off",
		"select 1; insert into entries values (1)",
	} {
		if _, err := conn.Exec(testContext(t), sql); err == nil {
			t.Errorf("%q was accepted", sql)
		}
	}
	if n := queryInt(t, f.direct(0), "select count(*) from entries"); n != 0 {
		t.Errorf("%d rows, want 0", n)
	}
}

func TestWorkspaceRestrictedToServices(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	f.publish(func(s *agreed.State) {
		s.Catalog.Workspaces["crew"] = note.Workspace{Name: "crew", Rate: 1, Burst: 1, Class: "bulk", Services: []string{"other"}}
	})
	_, err := pgx.Connect(testContext(t), f.url("crew", callerKey, ""))
	wantCode(t, err, result.NotAllowed)
	_, err = pgx.Connect(testContext(t), strings.Replace(f.url("crew", callerKey, ""), "/"+testService, "/other", 1))
	wantCode(t, err, result.UnknownService)
}
