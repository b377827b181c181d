package entry

import (
	"fmt"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/galenabridge/galenabridge/internal/result"
)

// Callers that share connections use the same statement name for different statements. Each
// must execute its own.
func TestPreparedStatementsOverPooledConnections(t *testing.T) {
	f := newFixture(t, fixtureConfig{connections: 4})
	mustExec(t, f.connect(""), "create table entries (id int primary key, word text)")
	const callers = 9
	var conns []*pgx.Conn
	for i := range callers {
		conn := f.connect("")
		// All callers use the same name; every other one for a different statement.
		sql := "insert into entries values ($1, 'even')"
		if i%2 == 1 {
			sql = "insert into entries values ($1, 'odd')"
		}
		if _, err := conn.Prepare(testContext(t), "file", sql); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	// The open transactions each occupy a connection, which moves the callers to others.
	for round := range 3 {
		for i, conn := range conns {
			mustExec(t, conn, "file", round*callers+i)
		}
		if round < 2 {
			mustExec(t, f.connect(""), "begin")
		}
	}
	check := f.connect("")
	for i, word := range []string{"even", "odd"} {
		want := 3 * ((callers + 1 - i) / 2)
		if n := queryInt(t, check, "select count(*) from entries where word = $1 and (id % 9) % 2 = "+fmt.Sprint(i), word); n != want {
			t.Errorf("%s: %d rows, want %d", word, n, want)
		}
	}
}

func TestClosedStatementCannotBeExecuted(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	conn := f.connect("")
	if _, err := conn.Prepare(testContext(t), "one", "select 1"); err != nil {
		t.Fatal(err)
	}
	if err := conn.Deallocate(testContext(t), "one"); err != nil {
		t.Fatal(err)
	}
	pg := conn.PgConn()
	if res := pg.ExecPrepared(testContext(t), "one", nil, nil, nil).Read(); res.Err == nil {
		t.Error("a closed statement was executed")
	}
	if n := queryInt(t, conn, "select 2"); n != 2 {
		t.Errorf("got %d, want 2", n)
	}
}

func TestBatchAnswersInOrder(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	conn := f.connect("")
	mustExec(t, conn, "create table entries (id int primary key)")
	const size = 300
	batch := &pgx.Batch{}
	for i := range size {
		batch.Queue("insert into entries values ($1)", i)
		batch.Queue("select id from entries where id = $1", i)
	}
	results := conn.SendBatch(testContext(t), batch)
	for i := range size {
		if _, err := results.Exec(); err != nil {
			t.Fatal(err)
		}
		var n int
		if err := results.QueryRow().Scan(&n); err != nil || n != i {
			t.Fatalf("answer %d is %d, %v", i, n, err)
		}
	}
	if err := results.Close(); err != nil {
		t.Fatal(err)
	}
}

func TestPipelineWithSeveralSyncs(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	conn := f.connect("")
	mustExec(t, conn, "create table entries (id int primary key)")
	pipeline := conn.PgConn().StartPipeline(testContext(t))
	for _, sql := range []string{"insert into entries values (1)", "insert into entries values (1)", "insert into entries values (2)"} {
		pipeline.SendQueryParams(sql, nil, nil, nil, nil)
		if err := pipeline.Sync(); err != nil {
			t.Fatal(err)
		}
	}
	failures := 0
	for range 3 {
		for {
			res, err := pipeline.GetResults()
			if err != nil {
				failures++
				continue
			}
			if _, synced := res.(interface{ Close() ([]byte, error) }); !synced && fmt.Sprintf("%T", res) == "*pgconn.PipelineSync" {
				break
			}
		}
	}
	if err := pipeline.Close(); err != nil {
		t.Fatal(err)
	}
	if n := queryInt(t, conn, "select count(*) from entries"); n != 2 || failures == 0 {
		t.Errorf("%d rows and %d failures, want 2 rows and a failure", n, failures)
	}
}

// TestFlushAnswersBeforeSync requests a description with Flush, as drivers do, before the
// pipeline goes on. The answers must not wait for Sync.
func TestFlushAnswersBeforeSync(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	conn := f.connect("")
	mustExec(t, conn, "create table entries (id int primary key)")
	front := conn.PgConn().Frontend()
	front.SendParse(&pgproto3.Parse{Query: "insert into entries values ($1)"})
	front.SendDescribe(&pgproto3.Describe{ObjectType: 'S'})
	front.Send(&pgproto3.Flush{})
	expect(t, front, "ParseComplete", "ParameterDescription", "NoData")
	front.SendBind(&pgproto3.Bind{Parameters: [][]byte{[]byte("7")}})
	front.SendExecute(&pgproto3.Execute{})
	front.SendSync(&pgproto3.Sync{})
	expect(t, front, "BindComplete", "CommandComplete", "ReadyForQuery")
	front.SendBind(&pgproto3.Bind{Parameters: [][]byte{[]byte("8")}})
	front.SendExecute(&pgproto3.Execute{})
	front.SendSync(&pgproto3.Sync{})
	expect(t, front, "BindComplete", "CommandComplete", "ReadyForQuery")
	if n := queryInt(t, f.connect(""), "select count(*) from entries"); n != 2 {
		t.Errorf("%d rows, want 2", n)
	}
}

// expect flushes the frontend and checks that messages of the given types follow.
func expect(t *testing.T, front *pgproto3.Frontend, types ...string) {
	t.Helper()
	if err := front.Flush(); err != nil {
		t.Fatal(err)
	}
	for _, want := range types {
		msg, err := front.Receive()
		if err != nil {
			t.Fatal(err)
		}
		if got := fmt.Sprintf("%T", msg); got != "*pgproto3."+want {
			t.Fatalf("got %s %+v, want %s", got, msg, want)
		}
	}
}

func TestPortalSuspension(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	conn := f.connect("")
	mustExec(t, conn, "create table entries (id int primary key)")
	mustExec(t, conn, "insert into entries values (1), (2), (3)")
	mustExec(t, conn, "begin")
	front := conn.PgConn().Frontend()
	front.SendParse(&pgproto3.Parse{Query: "select id from entries order by id"})
	front.SendBind(&pgproto3.Bind{DestinationPortal: "p"})
	front.SendExecute(&pgproto3.Execute{Portal: "p", MaxRows: 2})
	front.SendSync(&pgproto3.Sync{})
	expect(t, front, "ParseComplete", "BindComplete", "DataRow", "DataRow", "PortalSuspended", "ReadyForQuery")
	front.SendExecute(&pgproto3.Execute{Portal: "p", MaxRows: 2})
	front.SendSync(&pgproto3.Sync{})
	expect(t, front, "DataRow", "CommandComplete", "ReadyForQuery")
	mustExec(t, conn, "commit")
}

func TestCopyInAndOut(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	conn := f.connect("")
	mustExec(t, conn, "create table entries (id int primary key, word text)")
	var data strings.Builder
	const size = 4_000
	for i := range size {
		fmt.Fprintf(&data, "%d\tword %d\n", i, i)
	}
	pg := conn.PgConn()
	tag, err := pg.CopyFrom(testContext(t), strings.NewReader(data.String()), "copy entries from stdin")
	if err != nil || tag.RowsAffected() != size {
		t.Fatalf("COPY answered %s, %v; want every row", tag, err)
	}
	var out strings.Builder
	if _, err := pg.CopyTo(testContext(t), &out, "copy entries to stdout"); err != nil {
		t.Fatal(err)
	}
	if strings.Count(out.String(), "\n") != size || !strings.Contains(out.String(), "777\tword 777\n") {
		t.Errorf("%d bytes were copied out, want the copied lines", out.Len())
	}
	if _, err := pg.CopyFrom(testContext(t), strings.NewReader("1\tagain\n"), "copy entries from stdin"); err == nil {
		t.Error("a duplicate was accepted")
	}
	if n := queryInt(t, conn, "select count(*) from entries"); n != size {
		t.Errorf("%d rows, want as many as were copied", n)
	}
}

func TestSessionSettingsAppliedPerCaller(t *testing.T) {
	f := newFixture(t, fixtureConfig{connections: 2})
	a, b := f.connect(""), f.connect("TimeZone=Asia/Seoul")
	mustExec(t, a, "set statement_timeout = '4321'")
	mustExec(t, a, "set galenabridge.class = 'bulk'")
	show := func(conn *pgx.Conn, name string) string {
		var value string
		if err := conn.QueryRow(testContext(t), "show "+name).Scan(&value); err != nil {
			t.Fatalf("show %s: %v", name, err)
		}
		return value
	}
	for range 3 {
		if got := show(a, "statement_timeout"); got != "4321" {
			t.Errorf("own setting is %q, want 4321", got)
		}
		if got := show(b, "statement_timeout"); got == "4321" {
			t.Error("a session has the setting of another session")
		}
		if got := show(b, "timezone"); got != "Asia/Seoul" {
			t.Errorf("time zone %q, want Asia/Seoul", got)
		}
	}
	if got := show(a, "galenabridge.class"); got != "bulk" {
		t.Errorf("class %q, want bulk", got)
	}
	mustExec(t, a, "begin")
	mustExec(t, a, "set statement_timeout = '1'")
	mustExec(t, a, "rollback")
	if got := show(a, "statement_timeout"); got != "4321" {
		t.Errorf("a setting survived the rollback: %q", got)
	}
}

// A setting that the endpoint had undone with a savepoint was recorded for the session and for the
// connection, which then served sessions that had the same setting without it.
func TestSettingsOfSavepointAreUndone(t *testing.T) {
	f := newFixture(t, fixtureConfig{connections: 1})
	setter, other := f.connect(""), f.connect("")
	show := func(conn *pgx.Conn) string {
		var value string
		if err := conn.QueryRow(testContext(t), "show statement_timeout").Scan(&value); err != nil {
			t.Fatal(err)
		}
		return value
	}
	mustExec(t, other, "set statement_timeout = '4321'")
	for _, c := range []struct {
		statements []string
		want       string
	}{
		{[]string{"savepoint a", "set statement_timeout = '4321'", "rollback to savepoint A"}, "0"},
		{[]string{"savepoint a", "set statement_timeout = '4321'", "savepoint b", "set statement_timeout = '1'", "rollback to a", "release a"}, "0"},
		{[]string{"set statement_timeout = '4321'", "savepoint a", "set statement_timeout = '1'", "rollback work to a"}, "4321"},
		{[]string{"savepoint a", "set statement_timeout = '5'", "release savepoint a"}, "5"},
	} {
		mustExec(t, setter, "begin")
		for _, sql := range c.statements {
			mustExec(t, setter, sql)
		}
		mustExec(t, setter, "commit")
		if got := show(other); got != "4321" {
			t.Errorf("%v: another session's setting is %q, want 4321", c.statements, got)
		}
		if got := show(setter); got != c.want {
			t.Errorf("%v: the setting is %q, want %q", c.statements, got, c.want)
		}
	}
}

func TestUnsupportedFeaturesRefused(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	conn := f.connect("")
	for _, sql := range []string{"listen news", "create temp table x (id int)", "select pg_advisory_lock(1)"} {
		_, err := conn.Exec(testContext(t), sql)
		wantCode(t, err, result.UnsupportedFeature)
	}
	if n := queryInt(t, conn, "select 1"); n != 1 {
		t.Error("the session cannot be used after the refusal")
	}
}
