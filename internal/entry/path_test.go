package entry

import (
	"fmt"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/result"
)

func TestSimpleAndExtendedProtocol(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	conn := f.connect("")
	mustExec(t, conn, "create table entries (id int primary key, word text)")
	mustExec(t, conn, "insert into entries values ($1, $2)", 1, "osan")
	simple := f.connect("default_query_exec_mode=simple_protocol")
	mustExec(t, simple, "insert into entries values ($1, $2)", 2, "pohang")
	var word string
	if err := simple.QueryRow(testContext(t), "select word from entries where id = $1", 1).Scan(&word); err != nil || word != "osan" {
		t.Fatalf("read %q, %v; want osan", word, err)
	}
	if n := queryInt(t, conn, "select count(*) from entries"); n != 2 {
		t.Fatalf("%d rows, want 2", n)
	}
	if _, err := conn.Exec(testContext(t), "insert into entries values (1, 'again')"); err == nil {
		t.Error("a duplicate was accepted")
	}
	mustExec(t, conn, "insert into entries values ($1, $2)", 3, "heuksan")
}

func TestTransactionCommitAndRollback(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	conn := f.connect("")
	mustExec(t, conn, "create table entries (id int primary key)")
	for i, end := range []func(pgx.Tx) error{
		func(tx pgx.Tx) error { return tx.Commit(testContext(t)) },
		func(tx pgx.Tx) error { return tx.Rollback(testContext(t)) },
	} {
		tx, err := conn.Begin(testContext(t))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := tx.Exec(testContext(t), "insert into entries values ($1)", i); err != nil {
			t.Fatal(err)
		}
		if err := end(tx); err != nil {
			t.Fatal(err)
		}
	}
	if n := queryInt(t, conn, "select count(*) from entries"); n != 1 {
		t.Fatalf("%d rows, want 1", n)
	}
}

// Many callers share few connections. An answer or a row of another caller would show as a
// wrong value in runCaller.
func TestInterleavedCallersOwnAnswers(t *testing.T) {
	const callers, rounds = 200, 5
	// One of the five connections is the monitor's.
	f := newFixture(t, fixtureConfig{connections: 5})
	mustExec(t, f.connect(""), "create table entries (caller int, round int, primary key (caller, round))")
	var wg sync.WaitGroup
	failures := make(chan error, callers)
	for caller := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			failures <- runCaller(t, f, caller, rounds)
		}()
	}
	wg.Wait()
	close(failures)
	for err := range failures {
		if err != nil {
			t.Error(err)
		}
	}
	if n := queryInt(t, f.connect(""), "select count(*) from entries"); n != callers*rounds {
		t.Errorf("%d rows, want %d", n, callers*rounds)
	}
	member, err := f.server.backends.get("ledger-1")
	if err != nil {
		t.Fatal(err)
	}
	if open := member.pool.Stats().Open; open > 4 {
		t.Errorf("%d connections are open, want at most 4", open)
	}
}

// runCaller inserts entries in transactions and checks that the session reads its own rows and
// values only.
func runCaller(t *testing.T, f *fixture, caller, rounds int) error {
	ctx := testContext(t)
	conn, err := pgx.Connect(ctx, f.url("crew", callerKey, ""))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	for round := range rounds {
		err := pgx.BeginFunc(ctx, conn, func(tx pgx.Tx) error {
			if _, err := tx.Exec(ctx, "insert into entries values ($1, $2)", caller, round); err != nil {
				return err
			}
			var mine int
			if err := tx.QueryRow(ctx, "select count(*) from entries where caller = $1", caller).Scan(&mine); err != nil {
				return err
			}
			if mine != round+1 {
				return errors.Errorf("caller %d reads %d of its own entries in round %d", caller, mine, round)
			}
			return nil
		})
		if err != nil {
			return err
		}
		var echo string
		want := fmt.Sprintf("%d/%d", caller, round)
		if err := conn.QueryRow(ctx, "select $1::text", want).Scan(&echo); err != nil {
			return err
		}
		if echo != want {
			return errors.Errorf("caller %d got %q instead of %q", caller, echo, want)
		}
	}
	return nil
}

func TestLoginRefusals(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	for name, c := range map[string]struct {
		url  string
		code result.Code
	}{
		"wrong key":         {f.url("crew", "wrong", ""), result.BadKey},
		"unknown workspace": {f.url("nobody", "wrong", ""), result.BadKey},
		"unknown class":     {f.url("crew", callerKey, "galenabridge.class=royal"), result.UnknownClass},
		"unknown parameter": {f.url("crew", callerKey, "galenabridge.color=red"), result.UnknownSessionParam},
		"bad deadline":      {f.url("crew", callerKey, "galenabridge.deadline=soon"), result.BadDeadline},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := pgx.Connect(testContext(t), c.url)
			wantCode(t, err, c.code)
		})
	}
}
