package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5"
)

// caller runs the requests of one workspace one after another, each service
// over its own connection, and roams between entry hosts.
type caller struct {
	r         *runner
	workspace Workspace
	ledger    *ledger
	queue     chan request
	rng       *rand.Rand
	name      string
	sent      int
	conns     map[string]*pgx.Conn
}

// requestTimeout bounds one request including its connection.
const requestTimeout = 30 * time.Second

func (c *caller) run(ctx context.Context) {
	defer c.leave()
	for {
		select {
		case req := <-c.queue:
			c.serve(ctx, req)
			c.r.pending.Done()
		case <-ctx.Done():
			return
		}
		if c.rng.Float64() < c.workspace.Roam {
			c.leave()
		}
	}
}

func (c *caller) leave() {
	for service, conn := range c.conns {
		closeConn(conn)
		delete(c.conns, service)
	}
}

func closeConn(conn *pgx.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = conn.Close(ctx) // the connection is of no further use
}

func (c *caller) serve(ctx context.Context, req request) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	replica, err := c.do(ctx, &req)
	if err != nil {
		c.drop(req.service)
	}
	outcome, cause := classify(err)
	c.r.recorder.done(sample{
		workspace: c.workspace.Name, class: c.workspace.Class, op: req.op, service: req.service,
		intended: req.intended, finished: time.Now(), outcome: outcome, cause: cause, replica: replica,
	})
}

// do performs a request. It reports whether a replica answered.
func (c *caller) do(ctx context.Context, req *request) (bool, error) {
	conn, err := c.connection(ctx, req.service)
	if err != nil {
		c.note(req, connectError{err})
		return false, connectError{err}
	}
	switch req.op {
	case OpFile, OpCorrect:
		return false, c.write(ctx, conn, req)
	case OpHistory:
		return c.history(ctx, conn)
	}
	if req.entry == nil {
		req.entry = c.ledger.pick(req.service, c.rng)
	}
	return c.check(ctx, conn, req.entry)
}

func (c *caller) connection(ctx context.Context, service string) (*pgx.Conn, error) {
	if conn := c.conns[service]; conn != nil && !conn.IsClosed() {
		return conn, nil
	}
	addr := c.r.target.Addrs[c.rng.IntN(len(c.r.target.Addrs))]
	config, err := pgx.ParseConfig(c.r.target.URL(addr, c.workspace.Name, service))
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

func (c *caller) drop(service string) {
	if conn := c.conns[service]; conn != nil && conn.IsClosed() {
		delete(c.conns, service)
	}
}

// newEntry names a record that no other caller writes.
func (c *caller) newEntry(service string) *entry {
	c.sent++
	id := c.name + "-" + strconv.Itoa(c.sent)
	return &entry{id: id, body: "body of " + id, service: service, workspace: c.workspace.Name}
}

// note records a write that failed before it was sent.
func (c *caller) note(req *request, err error) {
	if req.op != OpFile && req.op != OpCorrect {
		return
	}
	e := c.newEntry(req.service)
	e.outcome, _ = classify(err)
	c.ledger.record(req.op, e)
}

func (c *caller) write(ctx context.Context, conn *pgx.Conn, req *request) error {
	e := c.newEntry(req.service)
	text := "insert into records (id, workspace, body) values ($1, $2, $3)"
	if req.op == OpCorrect {
		text = "insert into corrections (id, workspace, body) values ($1, $2, $3)"
	}
	_, err := conn.Exec(ctx, text, e.id, e.workspace, e.body)
	e.outcome, _ = classify(err)
	c.ledger.record(req.op, e)
	if err == nil && req.op == OpFile {
		c.followUp(e)
	}
	return err
}

// followUp reads the entry back after the think time, through any caller.
func (c *caller) followUp(e *entry) {
	at := time.Now().Add(time.Duration(c.workspace.Think))
	c.r.later(at, c.queue, request{op: OpCheck, service: e.service, intended: at, entry: e})
}

// check reads an entry that must be there; without one it reads nothing.
func (c *caller) check(ctx context.Context, conn *pgx.Conn, e *entry) (bool, error) {
	id, want := "none", ""
	if e != nil {
		id, want = e.id, e.body
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
			c.r.recorder.violation(func(v *Violations) {
				v.Foreign++
				v.note("request %s was answered with %s", nonce, got)
			})
		}
	}
	if err := rows.Err(); err != nil {
		return false, err
	}
	if found != want {
		c.r.recorder.violation(func(v *Violations) {
			v.Stale++
			v.note("entry %s of %s reads %q", id, c.workspace.Name, found)
		})
	}
	return replica, nil
}

const historyQuery = `select pg_sleep(%.3f), pg_is_in_recovery(), workspace from records
	where workspace = $1 order by id limit 100`

// history reads many entries; all of them must be the workspace's own.
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
			c.r.recorder.violation(func(v *Violations) {
				v.Foreign++
				v.note("history of %s holds an entry of %s", c.workspace.Name, workspace)
			})
		}
	}
	return replica, rows.Err()
}
