package entry

import (
	"slices"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/galenabridge/galenabridge/internal/result"
)

// A failover can lose a write that only the primary has, so its commit must not be reported as a
// success. A request id makes the entry open the transaction; a pipeline of INSERT, COMMIT and
// Sync then commits it itself. The endpoint reports idle, endMarkedTransaction takes the unit
// for one that wrote nothing, and the commit is acknowledged without a wait for the majority.
// The same pipeline with a BEGIN of its own and no request id shows that the setup is sound.
func TestRequestIDPipelinedCommitWaitsForMajority(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	setup := f.connect("")
	mustExec(t, setup, "create table entries (id int primary key)")
	// The first request id creates the table of markers, which must exist before the partition.
	setRequestID(t, setup, "setup")
	mustExec(t, setup, "insert into entries values (0)")
	f.group.Servers[0].Faults().Partition("replication", true)
	primary := f.direct(0)
	// The deadline bounds the wait for the majority, which cannot be reached.
	const params = "galenabridge.deadline=500"

	check := func(t *testing.T, conn *pgx.Conn, statements ...string) {
		t.Helper()
		tags, err := runPipeline(t, conn, statements...)
		if n := queryInt(t, primary, "select count(*) from entries where id > 0"); n != 1 {
			t.Fatalf("%d rows on the primary, want 1: %v, %v", n, tags, err)
		}
		if slices.Contains(tags, "COMMIT") {
			t.Errorf("a commit without a majority was reported as a success: %v", tags)
		}
		wantCode(t, err, result.OutcomeUnknown)
	}
	t.Run("without request id", func(t *testing.T) {
		check(t, f.connect(params), "begin", "insert into entries values (1)", "commit")
	})
	mustExec(t, primary, "delete from entries where id = 1")
	t.Run("with request id", func(t *testing.T) {
		conn := f.connect(params)
		setRequestID(t, conn, "pipelined")
		check(t, conn, "insert into entries values (2)", "commit")
	})
}

// runPipeline sends the statements in one pipeline that ends with Sync. It returns the tags of
// the completed statements and the error that was reported, if any.
func runPipeline(t *testing.T, conn *pgx.Conn, statements ...string) (tags []string, reported error) {
	t.Helper()
	front := conn.PgConn().Frontend()
	for _, sql := range statements {
		front.SendParse(&pgproto3.Parse{Query: sql})
		front.SendBind(&pgproto3.Bind{})
		front.SendExecute(&pgproto3.Execute{})
	}
	front.SendSync(&pgproto3.Sync{})
	if err := front.Flush(); err != nil {
		t.Fatal(err)
	}
	for {
		msg, err := front.Receive()
		if err != nil {
			t.Fatal(err)
		}
		switch msg := msg.(type) {
		case *pgproto3.CommandComplete:
			tags = append(tags, string(msg.CommandTag))
		case *pgproto3.ErrorResponse:
			reported = pgconn.ErrorResponseToPgError(msg)
		case *pgproto3.ReadyForQuery:
			return tags, reported
		}
	}
}
