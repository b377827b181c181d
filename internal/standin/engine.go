package standin

import (
	"context"
	"database/sql"
	"os"
	"path/filepath"
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/standin/sqltext"
)

// pragmas are the SQLite settings of each connection. Durability is off since the
// database is rebuilt from the log at each start.
const pragmas = "?_pragma=journal_mode(MEMORY)&_pragma=synchronous(OFF)&_pragma=cache_spill(0)" +
	"&_pragma=busy_timeout(30000)&_pragma=case_sensitive_like(1)&_pragma=temp_store(MEMORY)"

// engine is an embedded SQLite database in a temporary folder. A transaction that
// writes holds writeSem from the start of its engine transaction to its end. Reads
// outside a writing transaction hold the read lock of commitMu and commits hold its
// write lock, so that no commit takes place during a read.
type engine struct {
	dir      string
	db       *sql.DB
	writeSem chan struct{}
	commitMu sync.RWMutex

	columnsMu sync.Mutex
	// columnTypes caches column types by table, then by column name.
	columnTypes map[string]map[string]uint32
}

func openEngine() (*engine, error) {
	dir, err := os.MkdirTemp("", "standin-")
	if err != nil {
		return nil, errors.Wrap(err, "database folder")
	}
	db, err := sql.Open("sqlite", "file:"+filepath.Join(dir, "data.db")+pragmas)
	if err != nil {
		os.RemoveAll(dir)
		return nil, errors.Wrap(err, "open database")
	}
	e := &engine{dir: dir, db: db, writeSem: make(chan struct{}, 1)}
	e.invalidateColumns()
	return e, nil
}

func (e *engine) close() {
	e.db.Close()
	os.RemoveAll(e.dir)
}

// lockWrite acquires the write semaphore. It fails only if ctx ends first.
func (e *engine) lockWrite(ctx context.Context) error {
	select {
	case e.writeSem <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *engine) unlockWrite() { <-e.writeSem }

// rowSet is the complete result of a statement. columns is nil if the statement
// yields no rows.
type rowSet struct {
	columns []column
	rows    [][]any
	// affected is the number of rows returned or changed.
	affected int64
}

// column is a result column. Its oid is the PostgreSQL type, sqltext.Unknown if
// the engine declares none.
type column struct {
	name string
	oid  uint32
}

// query runs SQL that returns rows and reads all of them.
func query(ctx context.Context, conn *sql.Conn, text string, args []any) (*rowSet, error) {
	rows, err := conn.QueryContext(ctx, text, args...)
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	set, err := describeRows(rows)
	if err != nil {
		return nil, err
	}
	for rows.Next() {
		row := make([]any, len(set.columns))
		targets := make([]any, len(row))
		for i := range row {
			targets[i] = &row[i]
		}
		if err := rows.Scan(targets...); err != nil {
			return nil, err
		}
		set.rows = append(set.rows, row)
	}
	set.affected = int64(len(set.rows))
	return set, rows.Err()
}

func describeRows(rows *sql.Rows) (*rowSet, error) {
	types, err := rows.ColumnTypes()
	if err != nil {
		return nil, err
	}
	set := &rowSet{columns: make([]column, len(types))}
	for i, t := range types {
		set.columns[i].name = t.Name()
		if declared := t.DatabaseTypeName(); declared != "" {
			set.columns[i].oid = sqltext.TypeOf(declared)
		}
	}
	return set, nil
}

// exec runs SQL that returns no rows.
func exec(ctx context.Context, conn *sql.Conn, text string, args []any) (*rowSet, error) {
	res, err := conn.ExecContext(ctx, text, args...)
	if err != nil {
		return nil, err
	}
	n, err := res.RowsAffected()
	return &rowSet{affected: n}, err
}

// invalidateColumns clears the cached column types. It is called whenever a schema
// change may have been made or undone.
func (e *engine) invalidateColumns() {
	e.columnsMu.Lock()
	defer e.columnsMu.Unlock()
	e.columnTypes = make(map[string]map[string]uint32)
}

// columnType returns the data type of a table's column. The name "#N" selects the
// column at the zero-based index N.
func (e *engine) columnType(ctx context.Context, conn *sql.Conn, table, name string) uint32 {
	e.columnsMu.Lock()
	types, ok := e.columnTypes[table]
	e.columnsMu.Unlock()
	if !ok {
		types = readColumns(ctx, conn, table)
		e.columnsMu.Lock()
		e.columnTypes[table] = types
		e.columnsMu.Unlock()
	}
	return types[name]
}

func readColumns(ctx context.Context, conn *sql.Conn, table string) map[string]uint32 {
	out := make(map[string]uint32)
	rows, err := conn.QueryContext(ctx, "select name, type from pragma_table_info(?1)", table)
	if err != nil {
		return out
	}
	defer rows.Close()
	for i := 0; rows.Next(); i++ {
		var name, declared string
		if err := rows.Scan(&name, &declared); err != nil {
			return out
		}
		out[name] = sqltext.TypeOf(declared)
		out["#"+strconv.Itoa(i)] = out[name]
	}
	return out
}
