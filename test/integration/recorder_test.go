//go:build fleet

package integration

import (
	"context"
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/galenabridge/galenabridge/internal/history"
	"github.com/galenabridge/galenabridge/internal/result"
)

var resultCode = regexp.MustCompile(`GB(\d{4})\b`)

// codeOf returns the result code that an error carries, or zero.
func codeOf(err error) result.Code {
	var pg *pgconn.PgError
	if !errors.As(err, &pg) {
		return 0
	}
	match := resultCode.FindStringSubmatch(pg.Message)
	if match == nil {
		return 0
	}
	n, _ := strconv.Atoi(match[1])
	return result.Code(n)
}

// outcomeOf returns the outcome of a request as an error reports it to the caller.
func outcomeOf(err error) history.Outcome {
	if err == nil {
		return history.Acked
	}
	if code := codeOf(err); code != 0 && result.Lookup(code).NotRun {
		return history.NotRun
	}
	return history.Unknown
}

// recorder records the history of callers' requests and their outcomes, with times measured from
// start. It is safe for concurrent use.
type recorder struct {
	start time.Time

	mu      sync.Mutex
	writes  []history.Write
	answers []history.Answer
	ops     []history.Operation
	// causes counts failed writes by their cause.
	causes map[string]int
}

func newRecorder() *recorder {
	return &recorder{start: time.Now(), causes: make(map[string]int)}
}

// recordWrite records a write and returns its outcome.
func (r *recorder) recordWrite(id, workspace string, err error) history.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	outcome := outcomeOf(err)
	r.writes = append(r.writes, history.Write{ID: id, Workspace: workspace, Outcome: outcome})
	if err != nil {
		r.causes[failureCause(err)]++
	}
	return outcome
}

// failureCause returns the name of the error's result code, its SQLSTATE or "connection".
func failureCause(err error) string {
	if code := codeOf(err); code != 0 {
		return result.Lookup(code).Name
	}
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		return pg.Code
	}
	return "connection"
}

// recordAnswer records the mark sent in a request and the one received in its answer.
func (r *recorder) recordAnswer(sent, received string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, history.Answer{Sent: sent, Received: received})
}

// recordOperation records an operation that began at invoke and has ended now.
func (r *recorder) recordOperation(o history.Operation, invoke time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o.Span = history.Span{Invoke: invoke.Sub(r.start), Return: time.Since(r.start)}
	o.Outcome = outcomeOf(err)
	r.ops = append(r.ops, o)
}

// countWrites returns how many writes have the outcome.
func (r *recorder) countWrites(outcome history.Outcome) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, w := range r.writes {
		if w.Outcome == outcome {
			n++
		}
	}
	return n
}

// check fails the test for each violation of the guarantees on writes, answers, operations and
// reads, and prints at most 20. stored holds the number of stored rows by id.
func (r *recorder) check(t *testing.T, stored map[string]int) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []history.Violation
	found = append(found, history.CheckStored(r.writes, stored)...)
	found = append(found, history.CheckAnswers(r.answers)...)
	found = append(found, history.CheckLinearizable(r.ops)...)
	found = append(found, history.CheckFreshReads(r.ops)...)
	for i, v := range found {
		if i == 20 {
			t.Errorf("and %d more", len(found)-i)
			break
		}
		t.Error(v)
	}
	t.Logf("%d writes, %d operations, %d answers; causes of failure: %v", len(r.writes), len(r.ops), len(r.answers), r.causes)
}

// storedIDs counts the rows of a table by id. It reads the service's primary directly, past the
// hosts.
func (f *fleet) storedIDs(service, table string) map[string]int {
	f.t.Helper()
	conn := f.connectDirect(f.primary(service))
	rows, err := conn.Query(f.context(), "select id from "+table)
	if err != nil {
		f.t.Fatal(err)
	}
	ids, err := pgx.CollectRows(rows, pgx.RowTo[string])
	if err != nil {
		f.t.Fatal(err)
	}
	stored := make(map[string]int)
	for _, id := range ids {
		stored[id]++
	}
	return stored
}

// writers are callers in the background that send requests until stopped.
type writers struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// stop ends the writers and waits for their last requests.
func (w *writers) stop() {
	w.cancel()
	w.wg.Wait()
}

// writerPause is the pause of a writer between two inserts.
const writerPause = 5 * time.Millisecond

// requestTimeout bounds one request of a writer.
const requestTimeout = 20 * time.Second

// startWriters starts count writers that insert one record after another. Each writer uses one host;
// they are spread over all hosts.
func (f *fleet) startWriters(r *recorder, count int, service string) *writers {
	ctx, cancel := context.WithCancel(context.Background())
	w := &writers{cancel: cancel}
	for i := range count {
		h := f.Hosts[i%len(f.Hosts)]
		name := fmt.Sprintf("%s-%d", service, i)
		w.wg.Go(func() { f.insertRecords(ctx, r, h, service, name) })
	}
	f.t.Cleanup(w.stop)
	return w
}

// insertRecords inserts records with unique ids until ctx ends, without retries, and reconnects
// when the connection is closed. A request in progress is not cancelled.
func (f *fleet) insertRecords(ctx context.Context, r *recorder, h *host, service, name string) {
	var conn *pgx.Conn
	for i := 0; ctx.Err() == nil; i++ {
		if conn == nil || conn.IsClosed() {
			dialed, err := f.dial(h, crew, service)
			if err != nil {
				sleepContext(ctx, 20*time.Millisecond)
				continue
			}
			conn = dialed
		}
		id := fmt.Sprintf("%s-%d", name, i)
		reqCtx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		_, err := conn.Exec(reqCtx, "insert into records (id, workspace, body) values ($1, $2, $3)", id, crew, name)
		cancel()
		r.recordWrite(id, crew, err)
		sleepContext(ctx, writerPause)
	}
	if conn != nil {
		closeConn(conn)
	}
}

func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
