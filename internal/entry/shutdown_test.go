package entry

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/result"
)

// TestDrainEndsTransactionsOnceAborted guards against a transaction that goes on until the end of
// the process cuts off its commit.
func TestDrainEndsTransactionsOnceAborted(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	busy := f.connect("")
	mustExec(t, busy, "create table entries (id int primary key)")
	mustExec(t, busy, "begin")
	mustExec(t, busy, "insert into entries values (1)")
	drained := make(chan error, 1)
	go func() { drained <- f.server.Drain(testContext(t)) }()
	eventually(t, "draining", f.server.draining.Load)
	mustExec(t, busy, "insert into entries values (2)") // Drain waits for the transaction
	f.server.AbortTransactions()
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
	var pgErr *pgconn.PgError
	if _, err := busy.Exec(testContext(t), "commit"); err == nil || errors.As(err, &pgErr) && pgErr.Code != "57P01" {
		t.Errorf("commit answered %v, want the end of the session", err)
	}
	if n := queryInt(t, f.direct(0), "select count(*) from entries"); n != 0 {
		t.Errorf("%d rows, want 0", n)
	}
}

// TestInterruptedRequestAnsweredAtShutdown guards against a caller whose connection is closed
// without an answer while its request is in progress.
func TestInterruptedRequestAnsweredAtShutdown(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	conn := f.connect("")
	mustExec(t, conn, "create table entries (id int primary key)")
	mustExec(t, conn, "begin")
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "select pg_sleep(100); commit")
		done <- err
	}()
	f.waitActive()
	drained := make(chan error, 1)
	go func() { drained <- f.server.Drain(testContext(t)) }()
	eventually(t, "draining", f.server.draining.Load)
	f.server.InterruptRequests()
	wantCode(t, <-done, result.OutcomeUnknown)
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
}
