package standin_test

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/galenabridge/galenabridge/internal/standin"
)

// A connection dropped after the commit leaves the client without a response, but the
// write must remain.
func TestDropAfterCommitKeepsWrite(t *testing.T) {
	group := startGroup(t, nil)
	primary := group.Servers[0]
	conn := connect(t, primary)
	primary.Faults().DropAfterCommit(1)
	if _, err := conn.Exec(testContext(t), "insert into records(id) values ('a')"); err == nil {
		t.Fatal("insert succeeded, want a dropped connection after the commit")
	}
	if n := countRecords(t, connect(t, primary)); n != 1 {
		t.Errorf("%d records, want 1", n)
	}
}

// startQuery runs a query in a goroutine and returns the channel that receives its
// error.
func startQuery(conn *pgx.Conn) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "select 1")
		done <- err
	}()
	return done
}

// A query sent during a fault must neither complete nor fail before the fault is
// cleared, and must succeed afterwards on the same connection.
func TestStallAndPartitionDeferQueryUntilCleared(t *testing.T) {
	group := startGroup(t, nil)
	primary := group.Servers[0]
	faults := map[string]func(bool){
		"stall":     primary.Faults().Stall,
		"partition": func(on bool) { primary.Faults().Partition(standin.LinkCallers, on) },
	}
	for name, set := range faults {
		conn := connect(t, primary)
		set(true)
		done := startQuery(conn)
		select {
		case err := <-done:
			t.Errorf("%s: query returned during the fault: %v", name, err)
		case <-time.After(50 * time.Millisecond):
		}
		set(false)
		if err := <-done; err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A partition of the replication link must not affect callers, and replication must
// resume when it ends.
func TestPartitionLeavesOtherLinksOpen(t *testing.T) {
	group := startGroup(t, nil)
	primary, replica := group.Servers[0], group.Servers[1]
	conn := connect(t, primary)
	primary.Faults().Partition(standin.LinkReplication, true)
	mustExec(t, conn, "insert into records(id) values ('a')")
	_, _, flushed, _ := primary.Position()
	if _, _, got, _ := replica.Position(); got >= flushed {
		t.Error("the partitioned link delivered a transaction")
	}
	primary.Faults().Clear()
	waitFor(t, "flush after the partition", func() bool {
		_, _, got, _ := replica.Position()
		return got == flushed
	})
}

// An endpoint that is started on the data folder of a killed one must have its flushed
// position and its data.
func TestKilledEndpointResumesFromDataDir(t *testing.T) {
	opts := standin.Options{Service: "ledger", Password: password, RecordsTable: true, DataDir: t.TempDir()}
	first, err := standin.New(opts)
	if err != nil {
		t.Fatal(err)
	}
	runServer(t, first.Run)
	mustExec(t, connect(t, first), "insert into records(id, body) values ('a', $1)", "text")
	_, _, flushed, _ := first.Position()
	first.Kill()

	second, err := standin.New(opts)
	if err != nil {
		t.Fatal(err)
	}
	runServer(t, second.Run)
	var body string
	err = connect(t, second).QueryRow(testContext(t), "select body from records where id = 'a'").Scan(&body)
	if _, _, got, _ := second.Position(); err != nil || body != "text" || got != flushed {
		t.Errorf("body %q at %s, want %s: %v", body, got, flushed, err)
	}
}
