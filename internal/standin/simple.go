package standin

import (
	"context"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/galenabridge/galenabridge/internal/standin/sqltext"
)

// simpleQuery handles a Query message. Its statements share one implicit transaction
// unless they open a transaction block.
func (s *session) simpleQuery(text string) error {
	s.skipUntilSync = false
	if err := s.simpleStatements(text); err != nil {
		if err := s.reportError(err, false); err != nil {
			return err
		}
	}
	return s.sendReady()
}

func (s *session) simpleStatements(text string) error {
	statements, err := sqltext.Parse(text)
	if err != nil {
		return sqlErrorf(sqlStateSyntax, "%v", err)
	}
	if len(statements) == 0 {
		s.be.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	for i, st := range statements {
		last := i == len(statements)-1
		if err := s.simpleStatement(st, last); err != nil {
			return err
		}
	}
	return nil
}

// simpleStatement runs one statement of a Query message and sends its result. After
// the last one it commits the implicit transaction before CommandComplete, so that
// an error of the commit reaches the client in its place.
func (s *session) simpleStatement(st *sqltext.Statement, last bool) error {
	if st.Class == sqltext.StartReplication {
		return s.serveReplication(st)
	}
	s.openTx()
	ctx, done := s.statementContext()
	defer done()
	set, tag, err := s.runStatement(ctx, st, nil)
	if err != nil {
		return err
	}
	if set.columns != nil {
		s.finishColumns(st, set)
		s.be.Send(rowDescription(set.columns, nil))
		if err := s.sendRows(set.columns, set.rows, nil); err != nil {
			return err
		}
	}
	if last && !s.tx.inBlock {
		if _, err := s.commit(); err != nil {
			return err
		}
	}
	s.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}

// sendRows sends rows in the given formats, one per column as in Bind.
func (s *session) sendRows(columns []column, rows [][]any, formats []int16) error {
	for _, row := range rows {
		values := make([][]byte, len(row))
		for i, v := range row {
			data, err := encode(s.types, columns[i].oid, formatOf(formats, i), v)
			if err != nil {
				return err
			}
			values[i] = data
		}
		s.be.Send(&pgproto3.DataRow{Values: values})
	}
	return nil
}

// finishColumns completes the names and types of result columns from the select list
// of the statement, then from the values of the rows. The remaining ones get type
// text.
func (s *session) finishColumns(st *sqltext.Statement, set *rowSet) {
	nameColumns(st, set.columns)
	for i := range set.columns {
		for j := 0; set.columns[i].oid == sqltext.Unknown && j < len(set.rows); j++ {
			if v := set.rows[j][i]; v != nil {
				set.columns[i].oid = typeOfValue(v)
			}
		}
		if set.columns[i].oid == sqltext.Unknown {
			set.columns[i].oid = sqltext.Text
		}
	}
}

// nameColumns applies the names and types from the select list, if it has as many
// items as there are columns.
func nameColumns(st *sqltext.Statement, columns []column) {
	items := st.ResultColumns()
	if len(items) != len(columns) {
		return
	}
	for i, item := range items {
		if item.Name != "" {
			columns[i].name = item.Name
		}
		if item.Type != sqltext.Unknown {
			columns[i].oid = item.Type
		}
	}
}

// runStatement runs one statement and returns its rows and command tag. In a failed
// transaction it accepts only statements that end it or return to a savepoint.
func (s *session) runStatement(ctx context.Context, st *sqltext.Statement, args []any) (*rowSet, string, error) {
	if s.tx.failed && st.Class != sqltext.Commit && st.Class != sqltext.Rollback && st.Class != sqltext.RollbackTo {
		return nil, "", failedTxError()
	}
	switch st.Class {
	case sqltext.Read:
		set, err := s.read(ctx, st, args)
		return set, commandTag(st, set), err
	case sqltext.Write:
		set, err := s.write(ctx, st, args)
		return set, commandTag(st, set), err
	case sqltext.CopyIn:
		set, err := s.copyIn(ctx, st)
		return set, commandTag(st, set), err
	case sqltext.CopyOut:
		set, err := s.copyOut(ctx, st)
		return set, commandTag(st, set), err
	case sqltext.Unsupported, sqltext.StartReplication:
		return nil, "", unsupportedError(st)
	}
	return s.runSessionCommand(ctx, st)
}

// unsupportedError returns "feature not supported" for statements of PostgreSQL that the
// stand-in lacks, and a syntax error for all others.
func unsupportedError(st *sqltext.Statement) error {
	switch st.FirstWord() {
	case "lock", "listen", "notify", "unlisten", "prepare", "execute", "declare", "fetch", "close", "grant",
		"revoke", "vacuum", "analyze", "copy", "do", "call", "comment", "merge", "cluster", "reindex":
		return sqlErrorf(sqlStateNotSupported, "%s is not supported by the stand-in", st.FirstWord())
	}
	return sqlErrorf(sqlStateSyntax, "syntax error at or near %q", st.FirstWord())
}

func failedTxError() error {
	return sqlErrorf(sqlStateFailedTx, "current transaction is aborted, commands ignored until end of transaction block")
}

// commandTag returns the tag for CommandComplete, with the row count where
// PostgreSQL sends one.
func commandTag(st *sqltext.Statement, set *rowSet) string {
	if !st.CountsRows || set == nil {
		return st.Tag
	}
	return st.Tag + " " + strconv.FormatInt(set.affected, 10)
}

// read runs a statement that changes no data.
func (s *session) read(ctx context.Context, st *sqltext.Statement, args []any) (*rowSet, error) {
	text, err := s.engineSQL(ctx, st, args)
	if err != nil {
		return nil, err
	}
	if err := s.ensureSnapshot(ctx); err != nil {
		return nil, err
	}
	return s.queryEngine(ctx, text, args)
}

// queryEngine runs a query in the engine. Without an open engine transaction it
// excludes commits for its duration.
func (s *session) queryEngine(ctx context.Context, text string, args []any) (*rowSet, error) {
	if s.tx.engineTx == engineTxNone {
		s.eng.commitMu.RLock()
		defer s.eng.commitMu.RUnlock()
	}
	return query(ctx, s.db, text, args)
}

// engineSQL returns the statement in the dialect of SQLite, with the server's own
// functions replaced by their values.
func (s *session) engineSQL(ctx context.Context, st *sqltext.Statement, args []any) (string, error) {
	tokens := st.Tokens
	if st.Volatile() {
		expanded, err := sqltext.Expand(tokens, &functionResolver{s: s, ctx: ctx, args: args})
		if err != nil {
			return "", err
		}
		tokens = expanded
	}
	text, err := sqltext.ToSQLite(tokens)
	if err != nil {
		return "", sqlErrorf(sqlStateNotSupported, "%v", err)
	}
	return text, nil
}

// write runs a statement that changes data and adds it to the transaction's changes
// for the log. Locking queries and statements that change no rows are not logged.
func (s *session) write(ctx context.Context, st *sqltext.Statement, args []any) (*rowSet, error) {
	if err := s.ensureWrite(ctx, strings.ToUpper(st.FirstWord())); err != nil {
		return nil, err
	}
	text, err := s.engineSQL(ctx, st, args)
	if err != nil {
		return nil, err
	}
	runner := exec
	if st.Returning {
		runner = query
	}
	set, err := runner(ctx, s.db, text, args)
	if err != nil {
		return nil, err
	}
	if !st.CountsRows {
		s.eng.invalidateColumns()
	}
	if st.FirstWord() != "select" && (!st.CountsRows || set.affected > 0) {
		s.tx.changes = append(s.tx.changes, change{SQL: text, Args: args})
	}
	return set, nil
}
