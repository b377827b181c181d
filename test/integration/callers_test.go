//go:build fleet

package integration

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"golang.org/x/sync/errgroup"

	"github.com/galenabridge/galenabridge/internal/history"
	"github.com/galenabridge/galenabridge/internal/localfleet"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/standin"
)

// replayLag is the replay lag of the replicas in TestHealthyFleet. A read that is routed to a
// replica without a check of its position is stale for that long.
const replayLag = 500 * time.Millisecond

// TestHealthyFleet tests the guarantees that can be tested without faults of processes or links.
// Its parts share one fleet.
func TestHealthyFleet(t *testing.T) {
	f := startFleet(t, fleetOptions{lag: replayLag, capture: true, changeNote: func(n *note.Note) {
		n.Added.Workspaces = append(n.Added.Workspaces,
			note.Workspace{Name: "metered", Rate: meteredRate, Burst: meteredBurst, Class: note.ClassInteractive},
			note.Workspace{Name: "visitors", Rate: 1000, Burst: 1000, Class: note.ClassBulk, Open: true},
			note.Workspace{Name: "narrow", Rate: 1000, Burst: 1000, Class: note.ClassBulk, Services: services[:1]})
	}})
	for _, part := range []struct {
		name string
		test func(*testing.T, *fleet)
	}{
		{"ReadYourWritesOverAnyHost", testReadYourWrites},
		{"TransactionsNeverMix", testTransactionsIsolated},
		{"OnlyTheKeysOwnWorkspace", testKeyLimitedToWorkspace},
		{"NoDatabaseSeesAKey", testKeysNotSentToEndpoints},
		{"RateHoldsOverTheFleet", testRateLimitAcrossHosts},
		{"WholeOwnAnswers", testAnswersMatchRequests},
		{"WithdrawnKeyStopsConnection", testWithdrawnKey},
	} {
		t.Run(part.name, func(t *testing.T) {
			g := *f
			g.t = t
			part.test(t, &g)
			f.LastNote = g.LastNote
		})
	}
}

// testReadYourWrites reads each record right after its acknowledgement, over the writer's
// connection and over connections to other hosts that were opened before. A read routed to a replica
// that has not replayed the write would miss it.
func testReadYourWrites(t *testing.T, f *fleet) {
	rounds := 100
	if *long {
		rounds = 1000
	}
	service := services[0]
	conns := make([]*pgx.Conn, len(f.Hosts))
	for i, h := range f.Hosts {
		conns[i] = f.connect(h, crew, service)
	}
	ctx := f.context()
	missing := 0
	for i := range rounds {
		id := fmt.Sprintf("own-%d", i)
		writer := conns[i%len(conns)]
		if _, err := writer.Exec(ctx, "insert into records (id, workspace) values ($1, $2)", id, crew); err != nil {
			t.Fatal(err)
		}
		for _, reader := range []*pgx.Conn{writer, conns[(i+1)%len(conns)], conns[(i*7+3)%len(conns)]} {
			var n int64
			if err := reader.QueryRow(ctx, "select count(*) from records where id = $1", id).Scan(&n); err != nil {
				t.Fatal(err)
			}
			if n != 1 {
				missing++
			}
		}
	}
	if missing > 0 {
		t.Errorf("%d of %d reads missed an acknowledged record", missing, 3*rounds)
	}
}

// testTransactionsIsolated runs transactions of three rows from many callers over few endpoint
// connections and rolls back every second one of each caller. If statements of two transactions
// were mixed on one connection, a committed transaction would not have exactly three rows or a
// rolled back one would have some.
func testTransactionsIsolated(t *testing.T, f *fleet) {
	const callers, rounds = 36, 5
	service := services[1]
	setup := f.connect(f.Hosts[0], crew, service)
	if _, err := setup.Exec(f.context(), "create table parts (token text, part int4)"); err != nil {
		t.Fatal(err)
	}
	ctx := f.context()
	var work errgroup.Group
	for c := range callers {
		conn := f.connect(f.Hosts[c%len(f.Hosts)], crew, service)
		work.Go(func() error {
			for round := range rounds {
				if err := insertThreeParts(f, conn, fmt.Sprintf("%d-%d", c, round), round%2 == 0); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := work.Wait(); err != nil {
		t.Fatal(err)
	}
	rows, err := setup.Query(ctx, "select token, count(*) from parts group by token")
	if err != nil {
		t.Fatal(err)
	}
	tokens := 0
	for rows.Next() {
		var token string
		var n int64
		if err := rows.Scan(&token, &n); err != nil {
			t.Fatal(err)
		}
		tokens++
		if n != 3 || strings.HasSuffix(token, "-1") || strings.HasSuffix(token, "-3") {
			t.Errorf("token %s has %d parts, want 3 of a committed transaction", token, n)
		}
	}
	if want := callers * 3; tokens != want {
		t.Errorf("%d committed transactions, want %d", tokens, want)
	}
}

// insertThreeParts inserts three rows in a transaction, which must see them, and commits it or
// rolls it back.
func insertThreeParts(f *fleet, conn *pgx.Conn, token string, commit bool) error {
	ctx := f.context()
	tx, err := conn.Begin(ctx)
	if err != nil {
		return err
	}
	for part := range 3 {
		if _, err := tx.Exec(ctx, "insert into parts (token, part) values ($1, $2)", token, part); err != nil {
			return err
		}
	}
	var n int64
	if err := tx.QueryRow(ctx, "select count(*) from parts where token = $1", token).Scan(&n); err != nil {
		return err
	}
	if n != 3 {
		return fmt.Errorf("transaction %s sees %d of its parts", token, n)
	}
	if commit {
		return tx.Commit(ctx)
	}
	return tx.Rollback(ctx)
}

// testKeyLimitedToWorkspace connects with names and keys that do not match, and tests that a
// workspace open without a key can read but not write.
func testKeyLimitedToWorkspace(t *testing.T, f *fleet) {
	h := f.Hosts[1]
	cases := []struct {
		name, url string
		want      result.Code
	}{
		{"wrong key", localfleet.CallerURL(h, crew, "no key of anybody", services[0]), result.BadKey},
		{"key of another workspace", localfleet.CallerURL(h, crew, f.Keys[editors+"-1"], services[0]), result.BadKey},
		// Same code as for a wrong key, so that callers cannot find out the names of workspaces.
		{"unknown workspace", localfleet.CallerURL(h, "nobody", f.Keys[crew+"-1"], services[0]), result.BadKey},
		{"unknown service", localfleet.CallerURL(h, crew, f.Keys[crew+"-1"], "nothing"), result.UnknownService},
	}
	for _, c := range cases {
		conn, err := pgx.Connect(f.context(), c.url)
		if err == nil {
			closeConn(conn)
		}
		if got := codeOf(err); got != c.want {
			t.Errorf("%s: code %d (%v), want %d", c.name, got, err, c.want)
		}
	}
	open, err := pgx.Connect(f.context(), localfleet.CallerURL(h, "visitors", "", services[0]))
	if err != nil {
		t.Fatalf("connect to the open workspace without a key: %v", err)
	}
	defer closeConn(open)
	if _, err := open.Exec(f.context(), "select count(*) from records"); err != nil {
		t.Errorf("read in the open workspace: %v", err)
	}
	if _, err := open.Exec(f.context(), "insert into records (id) values ('by a visitor')"); err == nil {
		t.Error("a write in the open workspace succeeded without a key")
	}
}

// testKeysNotSentToEndpoints searches all bytes sent to the endpoints for the callers' keys. It
// also searches for the callers' statements, since without captured statements the search for keys
// would prove nothing.
func testKeysNotSentToEndpoints(t *testing.T, f *fleet) {
	const mark = "mark of a caller"
	for _, h := range f.Hosts {
		for _, service := range services {
			conn := f.connect(h, editors, service)
			if _, err := conn.Exec(f.context(), "insert into records (id, body) values ($1, $2)", mark+h.Name, mark); err != nil {
				t.Fatal(err)
			}
		}
	}
	marks := 0
	for _, e := range f.Endpoints {
		sent := f.net.sentTo(e.ID)
		marks += strings.Count(sent, mark)
		for id, key := range f.Keys {
			if strings.Contains(sent, key) {
				t.Errorf("endpoint %s was sent the key %s", e.ID, id)
			}
		}
	}
	if marks == 0 {
		t.Error("the callers' statements were not among the captured bytes")
	}
}

// Rate limit of the workspace "metered": requests per second and the largest burst.
const (
	meteredRate  = 40
	meteredBurst = 20
)

// testRateLimitAcrossHosts sends more than a workspace's rate through all hosts at once. The rate
// applies to the fleet: a limit that each host applied alone would let a multiple of it pass.
func testRateLimitAcrossHosts(t *testing.T, f *fleet) {
	f.apply(f.Hosts[0], func(n *note.Note) { n.Added.Keys = []note.Key{f.NewKey("metered-1", "metered")} })
	ctx := f.context()
	start := time.Now()
	spans := make([][]history.Span, len(f.Hosts))
	var work errgroup.Group
	for i, h := range f.Hosts {
		var conn *pgx.Conn
		eventually(t, "key accepted by "+h.Name, func() bool {
			var err error
			conn, err = f.dial(h, "metered", services[0])
			return err == nil
		})
		defer closeConn(conn)
		work.Go(func() error {
			for time.Since(start) < 5*time.Second {
				invoke := time.Since(start)
				_, err := conn.Exec(ctx, "insert into records (id) values (gen_random_uuid()::text)")
				if err == nil {
					spans[i] = append(spans[i], history.Span{Invoke: invoke, Return: time.Since(start)})
				} else if codeOf(err) != result.RateExceeded {
					return err
				}
			}
			return nil
		})
	}
	if err := work.Wait(); err != nil {
		t.Fatal(err)
	}
	var all []history.Span
	for _, s := range spans {
		all = append(all, s...)
	}
	for _, v := range history.CheckRate(all, meteredRate, meteredBurst) {
		t.Error(v)
	}
	if len(all) == 0 {
		t.Error("no request was served within the rate")
	}
	t.Logf("%d requests served in %s at a rate of %d and a burst of %d", len(all), time.Since(start), meteredRate, meteredBurst)
}

// testAnswersMatchRequests delays answers of the endpoints while some callers disconnect before
// their answer. An endpoint connection reused too early would pass the rest of such an answer to
// another caller.
func testAnswersMatchRequests(t *testing.T, f *fleet) {
	delayMS := 50
	for _, e := range f.Endpoints {
		f.setFaults(e, standin.FaultRequest{ResponseDelayMS: &delayMS})
	}
	r := newRecorder()
	var work errgroup.Group
	for c := range 27 {
		h := f.Hosts[c%len(f.Hosts)]
		work.Go(func() error { return f.queryWithMarks(r, h, c) })
	}
	if err := work.Wait(); err != nil {
		t.Fatal(err)
	}
	for _, e := range f.Endpoints {
		f.setFaults(e, standin.FaultRequest{Clear: true})
	}
	r.check(t, nil)
	if len(r.answers) == 0 {
		t.Error("no answers")
	}
}

// queryWithMarks sends a unique mark in each of ten requests and records the mark received. It
// disconnects from every third request without waiting for the answer.
func (f *fleet) queryWithMarks(r *recorder, h *host, caller int) error {
	for i := range 10 {
		conn, err := f.dial(h, crew, services[0])
		if err != nil {
			return err
		}
		mark := fmt.Sprintf("%d/%d", caller, i)
		if i%3 == 1 {
			// Send a query and disconnect without waiting for the answer.
			sent := conn.PgConn().Conn()
			conn.PgConn().Frontend().SendQuery(&pgproto3.Query{String: "select 'abandoned " + mark + "'"})
			_ = conn.PgConn().Frontend().Flush() // the connection is closed next
			sent.Close()
			continue
		}
		var got string
		err = conn.QueryRow(f.context(), "select $1::text", mark).Scan(&got)
		closeConn(conn)
		if err != nil {
			return err
		}
		r.recordAnswer(mark, got)
	}
	return nil
}

// testWithdrawnKey withdraws one of two keys with which a workspace is connected to every host.
// Open connections with the withdrawn key must be refused too, and those with the other key go on.
func testWithdrawnKey(t *testing.T, f *fleet) {
	f.apply(f.Hosts[0], func(n *note.Note) { n.Added.Keys = []note.Key{f.NewKey(crew+"-2", crew)} })
	var withdrawn, kept []*pgx.Conn
	for _, h := range f.Hosts {
		var conn *pgx.Conn
		eventually(t, "second key accepted by "+h.Name, func() bool {
			var err error
			conn, err = pgx.Connect(f.context(), localfleet.CallerURL(h, crew, f.Keys[crew+"-2"], services[0]))
			return err == nil
		})
		defer closeConn(conn)
		withdrawn = append(withdrawn, conn)
		kept = append(kept, f.connect(h, crew, services[0]))
	}
	f.apply(f.Hosts[0], func(n *note.Note) { n.Withdrawn.Keys = []string{crew + "-2"} })
	start := time.Now()
	for i, conn := range withdrawn {
		var lastErr error
		eventually(t, "withdrawn key refused by "+f.Hosts[i].Name, func() bool {
			_, lastErr = conn.Exec(f.context(), "select 1")
			return lastErr != nil
		})
		if code := codeOf(lastErr); code != result.KeyWithdrawn {
			t.Errorf("%s: code %d (%v), want the code of a withdrawn key", f.Hosts[i].Name, code, lastErr)
		}
		_, err := pgx.Connect(f.context(), localfleet.CallerURL(f.Hosts[i], crew, f.Keys[crew+"-2"], services[0]))
		if codeOf(err) != result.BadKey {
			t.Errorf("%s: new connection with the withdrawn key: %v, want a bad key", f.Hosts[i].Name, err)
		}
	}
	t.Logf("withdrawn key refused everywhere after %s", time.Since(start))
	for i, conn := range kept {
		if _, err := conn.Exec(f.context(), "select 1"); err != nil {
			t.Errorf("%s: statement with the key that stays valid: %v", f.Hosts[i].Name, err)
		}
	}
}
