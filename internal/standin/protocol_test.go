package standin_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/standin"
)

// sqlState returns the SQLSTATE of a server error, or the text of any other error.
func sqlState(err error) string {
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		return pg.Code
	}
	if err == nil {
		return ""
	}
	return err.Error()
}

// Each data type must survive an insert and a select in every combination of text and
// binary formats that the client's query modes use.
func TestTypesRoundTrip(t *testing.T) {
	group := startGroup(t, nil)
	conn := connect(t, group.Servers[0])
	mustExec(t, conn, `create table kinds(a int2, b int4, c int8, d float8, e text, f bool, g bytea,
		h timestamptz, i uuid, j varchar(20))`)
	when := time.Date(2026, 3, 4, 5, 6, 7, 891000, time.UTC)
	id := "6ba7b810-9dad-11d1-80b4-00c04fd430c8"
	mustExec(t, conn, "insert into kinds values ($1,$2,$3,$4,$5,$6,$7,$8,$9,$10)",
		int16(-2), int32(70000), int64(1)<<40, 1.25, "it's", true, []byte{0, 255}, when, id, "x")
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeCacheStatement, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol} {
		var a int16
		var b int32
		var c int64
		var d float64
		var e, i, j string
		var f bool
		var g []byte
		var h time.Time
		row := conn.QueryRow(testContext(t), "select * from kinds where c = $1 and e = $2", mode, int64(1)<<40, "it's")
		if err := row.Scan(&a, &b, &c, &d, &e, &f, &g, &h, &i, &j); err != nil {
			t.Fatalf("%v: %v", mode, err)
		}
		if a != -2 || b != 70000 || c != 1<<40 || d != 1.25 || e != "it's" || !f || !bytes.Equal(g, []byte{0, 255}) ||
			!h.Equal(when) || i != id || j != "x" {
			t.Errorf("%v: got %v %v %v %v %q %v %v %v %q %q", mode, a, b, c, d, e, f, g, h, i, j)
		}
	}
}

func TestErrorsCarrySQLSTATE(t *testing.T) {
	group := startGroup(t, nil)
	conn := connect(t, group.Servers[0])
	mustExec(t, conn, "insert into records values ('a', 'w', 'b', 'now')")
	cases := []struct{ text, want string }{
		{"insert into records values ('a', 'w', 'b', 'now')", "23505"},
		{"select from where", "42601"},
		{"selec 1", "42601"},
		{"select * from missing", "42P01"},
		{"select missing from records", "42703"},
		{"select missing(1)", "42883"},
		{"create table records(id text)", "42P07"},
		{"listen x", "0A000"},
	}
	for _, c := range cases {
		for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeDescribeExec, pgx.QueryExecModeSimpleProtocol} {
			_, err := conn.Exec(testContext(t), c.text, mode)
			if got := sqlState(err); got != c.want {
				t.Errorf("%s (%v): got %s, want %s", c.text, mode, got, c.want)
			}
		}
	}
}

func TestTransactionStatusAfterErrorsAndSavepoints(t *testing.T) {
	group := startGroup(t, nil)
	conn := connect(t, group.Servers[0])
	status := func(want byte) {
		t.Helper()
		if got := conn.PgConn().TxStatus(); got != want {
			t.Errorf("transaction status %c, want %c", got, want)
		}
	}
	status('I')
	mustExec(t, conn, "begin")
	status('T')
	mustExec(t, conn, "insert into records(id) values ('kept')")
	mustExec(t, conn, "savepoint s")
	mustExec(t, conn, "insert into records(id) values ('undone')")
	if _, err := conn.Exec(testContext(t), "select * from missing"); sqlState(err) != "42P01" {
		t.Fatal(err)
	}
	status('E')
	if _, err := conn.Exec(testContext(t), "select 1"); sqlState(err) != "25P02" {
		t.Fatal(err)
	}
	mustExec(t, conn, "rollback to savepoint s")
	status('T')
	mustExec(t, conn, "commit")
	status('I')
	if n := countRecords(t, conn); n != 1 {
		t.Errorf("%d records, want 1", n)
	}
	// A failed statement rolls back all statements of a multi-statement query.
	_, err := conn.Exec(testContext(t), "insert into records(id) values ('x'); select * from missing",
		pgx.QueryExecModeSimpleProtocol)
	if sqlState(err) != "42P01" || countRecords(t, conn) != 1 {
		t.Errorf("got %v and %d records, want SQLSTATE 42P01 and 1 record", err, countRecords(t, conn))
	}
	mustExec(t, conn, "start transaction read only")
	if _, err := conn.Exec(testContext(t), "delete from records"); sqlState(err) != "25006" {
		t.Error(err)
	}
	mustExec(t, conn, "rollback")
}

func TestPipelinedBatchAndReturning(t *testing.T) {
	group := startGroup(t, nil)
	conn := connect(t, group.Servers[0])
	batch := &pgx.Batch{}
	for _, id := range []string{"a", "b", "c"} {
		batch.Queue("insert into records(id, body) values ($1, $2)", id, strings.Repeat(id, 3))
	}
	batch.Queue("select body from records where id = $1", "b").QueryRow(func(row pgx.Row) error {
		var body string
		if err := row.Scan(&body); err != nil {
			return err
		}
		if body != "bbb" {
			t.Errorf("body %q, want \"bbb\"", body)
		}
		return nil
	})
	if err := conn.SendBatch(testContext(t), batch).Close(); err != nil {
		t.Fatal(err)
	}
	var got string
	err := conn.QueryRow(testContext(t), "insert into records(id) values ($1) returning id", "d").Scan(&got)
	if err != nil || got != "d" {
		t.Fatalf("returned id %q, want \"d\": %v", got, err)
	}
}

// Rows copied in as text and in binary format must come out unchanged, and a COPY that
// fails at its second row must leave no row behind.
func TestCopyRoundTripAndFailedCopyRollback(t *testing.T) {
	group := startGroup(t, nil)
	conn := connect(t, group.Servers[0])
	in := "a\tw\tone\\ntwo\t\\N\nb\tw\tx\\ty\tz\n"
	tag, err := conn.PgConn().CopyFrom(testContext(t), strings.NewReader(in), "copy records from stdin")
	if err != nil || tag.RowsAffected() != 2 {
		t.Fatal(tag, err)
	}
	n, err := conn.CopyFrom(testContext(t), pgx.Identifier{"records"}, []string{"id", "body"},
		pgx.CopyFromRows([][]any{{"c", "binary"}, {"d", nil}}))
	if err != nil || n != 2 {
		t.Fatal(n, err)
	}
	var out bytes.Buffer
	if _, err := conn.PgConn().CopyTo(testContext(t), &out, "copy (select * from records order by id) to stdout"); err != nil {
		t.Fatal(err)
	}
	want := in + "c\t\\N\tbinary\t\\N\nd\t\\N\t\\N\t\\N\n"
	if out.String() != want {
		t.Errorf("got %q, want %q", out.String(), want)
	}
	_, err = conn.PgConn().CopyFrom(testContext(t), strings.NewReader("e\tw\tx\ty\na\tw\tx\ty\n"), "copy records from stdin")
	if sqlState(err) != "23505" || countRecords(t, conn) != 4 {
		t.Errorf("failed COPY: got %d records and %v, want 4 records and SQLSTATE 23505", countRecords(t, conn), err)
	}
}

func TestCancelRequestEndsStatement(t *testing.T) {
	group := startGroup(t, nil)
	conn := connect(t, group.Servers[0])
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "select pg_sleep(600)")
		done <- err
	}()
	for {
		if err := conn.PgConn().CancelRequest(testContext(t)); err != nil {
			t.Fatal(err)
		}
		select {
		case err := <-done:
			if sqlState(err) != "57014" {
				t.Fatal(err)
			}
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func TestStatementTimeoutEndsStatement(t *testing.T) {
	group := startGroup(t, nil)
	conn := connect(t, group.Servers[0])
	mustExec(t, conn, "set statement_timeout = 20")
	if _, err := conn.Exec(testContext(t), "select pg_sleep(600)"); sqlState(err) != "57014" {
		t.Fatal(err)
	}
	mustExec(t, conn, "discard all")
	var value string
	if err := conn.QueryRow(testContext(t), "show statement_timeout").Scan(&value); err != nil || value != "0" {
		t.Fatal(value, err)
	}
}

func TestConnectionRefusalSQLSTATE(t *testing.T) {
	group := startGroup(t, func(o *standin.Options) { o.MaxConnections = 1 })
	server := group.Servers[0]
	connect(t, server)
	cases := []struct{ url, want string }{
		{url(server), "53300"},
		{strings.Replace(url(server), "ledger%20secret", "wrong", 1), "28P01"},
		{strings.Replace(url(server), standin.DefaultUser+":", "someone:", 1), "28P01"},
		{strings.Replace(url(server), "/ledger?", "/other?", 1), "3D000"},
	}
	for _, c := range cases {
		conn, err := pgx.Connect(testContext(t), c.url)
		if err == nil {
			conn.Close(context.Background())
		}
		if got := sqlState(err); got != c.want {
			t.Errorf("%s: got %s, want %s", c.url, got, c.want)
		}
	}
}
