package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/retry"
)

// setRequestID sets the id of the session's next request.
func setRequestID(t *testing.T, conn *pgx.Conn, id string) {
	t.Helper()
	mustExec(t, conn, "set galenabridge.request_id = '"+id+"'")
}

func TestRequestIDRunsOnce(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	conn := f.connect("")
	mustExec(t, conn, "create table entries (id int)")
	for _, params := range []string{"", "default_query_exec_mode=simple_protocol"} {
		id := "correction " + params
		setRequestID(t, conn, id)
		mustExec(t, conn, "insert into entries values ($1)", 1)
		other := f.connect(params)
		mustExec(t, other, "insert into entries values ($1)", 2)
		setRequestID(t, other, id)
		_, err := other.Exec(testContext(t), "insert into entries values ($1)", 3)
		wantCode(t, err, result.RequestIDReused)
		again := f.connect("")
		setRequestID(t, again, id)
		_, err = again.Exec(testContext(t), "insert into entries values ($1)", 1)
		wantCode(t, err, result.RequestAlreadyDone)
	}
	if n := queryInt(t, conn, "select count(*) from entries"); n != 4 {
		t.Errorf("%d rows, want 4", n)
	}
}

// The marker is written in the transaction of the request. When the request fails, the marker
// is rolled back too and the id stays free.
func TestRequestIDReusableAfterFailure(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	conn := f.connect("")
	mustExec(t, conn, "create table entries (id int primary key)")
	mustExec(t, conn, "insert into entries values (1)")
	for range 2 {
		setRequestID(t, conn, "a")
		if _, err := conn.Exec(testContext(t), "insert into entries values (1)"); err == nil {
			t.Fatal("a duplicate was accepted")
		}
	}
	mustExec(t, conn, "delete from entries")
	setRequestID(t, conn, "a")
	mustExec(t, conn, "insert into entries values (1)")
	if n := queryInt(t, conn, "select count(*) from entries"); n != 1 {
		t.Errorf("%d rows, want 1", n)
	}
}

// The answer is lost after the commit. The entry must look up the marker and report that the
// request has run, and must not run it again.
func TestRequestIDResolvesLostAnswer(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	conn := f.connect("")
	mustExec(t, conn, "create table entries (id int)")
	setRequestID(t, conn, "first")
	mustExec(t, conn, "insert into entries values (0)")
	f.group.Servers[0].Faults().DropAfterCommit(1)
	setRequestID(t, conn, "second")
	_, err := conn.Exec(testContext(t), "insert into entries values (1)")
	wantCode(t, err, result.RequestAlreadyDone)
	if n := queryInt(t, conn, "select count(*) from entries"); n != 2 {
		t.Errorf("%d rows, want 2", n)
	}
}

func TestRequestIDCoversTransaction(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	conn := f.connect("")
	mustExec(t, conn, "create table entries (id int)")
	insertOnce := func() error {
		setRequestID(t, conn, "whole")
		return pgx.BeginFunc(testContext(t), conn, func(tx pgx.Tx) error {
			_, err := tx.Exec(testContext(t), "insert into entries values ($1), ($2)", 1, 2)
			return err
		})
	}
	if err := insertOnce(); err != nil {
		t.Fatal(err)
	}
	wantCode(t, insertOnce(), result.RequestAlreadyDone)
	if n := queryInt(t, conn, "select count(*) from entries"); n != 2 {
		t.Errorf("%d rows, want 2", n)
	}
}

// Workspaces and request ids may contain slashes. Two pairs with the same marker id would make
// one workspace's request appear to have run already.
func TestMarkerIDUniquePerWorkspace(t *testing.T) {
	pairs := [][2]string{{"a", "b/c"}, {"a/b", "c"}, {"a%2Fb", "c"}, {"a", "b"}, {"", "a/b"}}
	seen := map[string][2]string{}
	for _, p := range pairs {
		id := markerID(p[0], p[1])
		if other, ok := seen[id]; ok {
			t.Errorf("%q and %q have the same marker id %q", p, other, id)
		}
		seen[id] = p
	}
}

func TestExpiredMarkersDeleted(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	primary := f.direct(0)
	mustExec(t, primary, createMarkerTable)
	now := time.Now()
	for id, at := range map[string]time.Time{"old": now.Add(-retry.MarkerTTL - time.Minute), "recent": now.Add(-retry.MarkerTTL + time.Hour)} {
		mustExec(t, primary, fmt.Sprintf("insert into galenabridge_requests values ('%s', '', %d)", id, at.UnixMilli()))
	}
	conn := f.connect("")
	mustExec(t, conn, "create table entries (id int)")
	setRequestID(t, conn, "new")
	mustExec(t, conn, "insert into entries values (1)")
	for end := now.Add(testTimeout); queryInt(t, primary, "select count(*) from galenabridge_requests where id = 'old'") != 0; {
		if time.Now().After(end) {
			t.Fatal("the expired marker was not deleted")
		}
		time.Sleep(time.Millisecond)
	}
	if n := queryInt(t, primary, "select count(*) from galenabridge_requests"); n != 2 {
		t.Errorf("%d markers are left, want the recent one and the new one", n)
	}
}
