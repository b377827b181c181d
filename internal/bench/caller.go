package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5"
)

// caller performs requests of one workspace one after another. It holds one
// connection for each service and reconnects through a random entry host with the
// probability Workspace.Roam after each request.
type caller struct {
	runner     *runner
	workspace  Workspace
	writes     *writeLog
	queue      chan request
	rng        *rand.Rand
	name       string
	writeCount int
	conns      map[string]*pgx.Conn
}

// requestTimeout bounds one request, including the time to connect.
const requestTimeout = 30 * time.Second

// run performs queued requests until ctx ends. Each request taken from the queue
// is marked as done in runner.pending exactly once.
func (c *caller) run(ctx context.Context) {
	defer c.closeAll()
	for {
		select {
		case req := <-c.queue:
			c.handle(ctx, req)
			c.runner.pending.Done()
		case <-ctx.Done():
			return
		}
		if c.rng.Float64() < c.workspace.Roam {
			c.closeAll()
		}
	}
}

// closeAll closes the caller's connections.
func (c *caller) closeAll() {
	for service, conn := range c.conns {
		closeConn(conn)
		delete(c.conns, service)
	}
}

func closeConn(conn *pgx.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = conn.Close(ctx) // the connection is not used again
}

// handle performs a request and records it with its latency and outcome.
func (c *caller) handle(ctx context.Context, req request) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	replica, err := c.execute(ctx, &req)
	if err != nil {
		c.removeClosed(req.service)
	}
	outcome, cause := classify(err)
	c.runner.recorder.recordRequest(sample{
		workspace: c.workspace.Name, class: c.workspace.Class, op: req.op, service: req.service,
		intended: req.intended, finished: time.Now(), outcome: outcome, cause: cause, replica: replica,
	})
}

// execute performs a request and reports whether a replica answered. An OpCheck
// request without a write reads a random acknowledged record.
func (c *caller) execute(ctx context.Context, req *request) (bool, error) {
	conn, err := c.connection(ctx, req.service)
	if err != nil {
		c.recordUnsent(req, connectError{err})
		return false, connectError{err}
	}
	switch req.op {
	case OpFile, OpCorrect:
		return false, c.write(ctx, conn, req)
	case OpHistory:
		return c.history(ctx, conn)
	}
	if req.written == nil {
		req.written = c.writes.randomAcked(req.service, c.rng)
	}
	return c.readBack(ctx, conn, req.written)
}

// connection returns the open connection to a service, or connects through a
// random entry host.
func (c *caller) connection(ctx context.Context, service string) (*pgx.Conn, error) {
	if conn := c.conns[service]; conn != nil && !conn.IsClosed() {
		return conn, nil
	}
	addr := c.runner.target.Addrs[c.rng.IntN(len(c.runner.target.Addrs))]
	config, err := pgx.ParseConfig(c.runner.target.URL(addr, c.workspace.Name, service))
	if err != nil {
		return nil, err
	}
	conn, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return nil, err
	}
	c.conns[service] = conn
	return conn, nil
}

// removeClosed removes the connection to a service from conns if it is closed.
func (c *caller) removeClosed(service string) {
	if conn := c.conns[service]; conn != nil && conn.IsClosed() {
		delete(c.conns, service)
	}
}

// newWrite returns a write with an id that no other caller uses.
func (c *caller) newWrite(service string) *sentWrite {
	c.writeCount++
	id := c.name + "-" + strconv.Itoa(c.writeCount)
	return &sentWrite{id: id, body: "body of " + id, service: service, workspace: c.workspace.Name}
}

// recordUnsent records a write that failed before it was sent. Its id is never used,
// so that the final check reports a violation if a row with this id is stored.
func (c *caller) recordUnsent(req *request, err error) {
	if req.op != OpFile && req.op != OpCorrect {
		return
	}
	w := c.newWrite(req.service)
	w.outcome, _ = classify(err)
	c.writes.add(req.op, w)
}

// write inserts a row and records the outcome. An acknowledged record is read back
// after the think time; corrections are only checked at the end of the run.
func (c *caller) write(ctx context.Context, conn *pgx.Conn, req *request) error {
	w := c.newWrite(req.service)
	text := "insert into records (id, workspace, body) values ($1, $2, $3)"
	if req.op == OpCorrect {
		text = "insert into corrections (id, workspace, body) values ($1, $2, $3)"
	}
	_, err := conn.Exec(ctx, text, w.id, w.workspace, w.body)
	w.outcome, _ = classify(err)
	c.writes.add(req.op, w)
	if err == nil && req.op == OpFile {
		c.scheduleReadBack(w)
	}
	return err
}

// scheduleReadBack queues a read of an acknowledged write after the think time.
// Any caller of the workspace may perform it.
func (c *caller) scheduleReadBack(w *sentWrite) {
	at := time.Now().Add(time.Duration(c.workspace.Think))
	c.runner.enqueueAt(at, c.queue, request{op: OpCheck, service: w.service, intended: at, written: w})
}

// readBack reads an acknowledged record and counts a violation if its body is
// missing or differs. If w is nil, it reads an id that is never written and expects
// no body. Each query returns its own nonce, which detects an answer that belongs to
// another request.
func (c *caller) readBack(ctx context.Context, conn *pgx.Conn, w *sentWrite) (bool, error) {
	id, want := "none", ""
	if w != nil {
		id, want = w.id, w.body
	}
	nonce := c.name + "/" + strconv.FormatUint(c.rng.Uint64(), 36)
	rows, err := conn.Query(ctx,
		"select $2::text as nonce, pg_is_in_recovery(), body from records where id = $1", id, nonce)
	if err != nil {
		return false, err
	}
	defer rows.Close()
	found, replica := "", false
	for rows.Next() {
		var got string
		if err := rows.Scan(&got, &replica, &found); err != nil {
			return false, err
		}
		if got != nonce {
			c.runner.recorder.recordViolation(func(v *Violations) {
				v.Foreign++
				v.addExample("request %s received the answer to %s", nonce, got)
			})
		}
	}
	if err := rows.Err(); err != nil {
		return false, err
	}
	if found != want {
		c.runner.recorder.recordViolation(func(v *Violations) {
			v.Stale++
			v.addExample("record %s of workspace %s reads %q", id, c.workspace.Name, found)
		})
	}
	return replica, nil
}

const historyQuery = `select pg_sleep(%.3f), pg_is_in_recovery(), workspace from records
	where workspace = $1 order by id limit 100`

// history reads many records and spends HistoryTime in the database. It counts a
// violation for each record of another workspace.
func (c *caller) history(ctx context.Context, conn *pgx.Conn) (bool, error) {
	text := fmt.Sprintf(historyQuery, seconds(time.Duration(c.workspace.HistoryTime)))
	rows, err := conn.Query(ctx, text, c.workspace.Name)
	if err != nil {
		return false, err
	}
	defer rows.Close()
	replica := false
	for rows.Next() {
		var slept, workspace string
		if err := rows.Scan(&slept, &replica, &workspace); err != nil {
			return false, err
		}
		if workspace != c.workspace.Name {
			c.runner.recorder.recordViolation(func(v *Violations) {
				v.Foreign++
				v.addExample("history of workspace %s holds a record of workspace %s", c.workspace.Name, workspace)
			})
		}
	}
	return replica, rows.Err()
}
