package standin

import (
	"context"
	"strings"

	"github.com/galenabridge/galenabridge/internal/standin/sqltext"
)

// resolveColumns determines the result columns of a prepared statement without
// running it, so that Describe can be answered before Execute.
func (s *session) resolveColumns(p *preparedStatement) error {
	if p.columnsResolved || p.st == nil || !p.st.YieldsRows() {
		return nil
	}
	if s.tx.failed {
		return failedTxError()
	}
	columns, err := s.inferColumns(p.st)
	if err != nil {
		return err
	}
	p.columns, p.columnsResolved = columns, true
	return nil
}

// inferColumns returns the result columns of a statement. Parameters are bound to
// NULL, and the server's own functions are replaced without side effects.
func (s *session) inferColumns(st *sqltext.Statement) ([]column, error) {
	if st.Class == sqltext.Show {
		return []column{{name: settingName(st.Tokens), oid: sqltext.Text}}, nil
	}
	tokens := st.DescribeQuery()
	if st.Volatile() {
		expanded, err := sqltext.Expand(tokens, &describeResolver{functionResolver{s: s, ctx: s.ctx}})
		if err != nil {
			return nil, err
		}
		tokens = expanded
	}
	text, err := sqltext.ToSQLite(tokens)
	if err != nil {
		return nil, sqlErrorf(sqlStateNotSupported, "%v", err)
	}
	if st.FirstWord() == "explain" {
		set, err := s.queryEngine(s.ctx, text, make([]any, st.Params))
		if err != nil {
			return nil, err
		}
		s.finishColumns(st, set)
		return set.columns, nil
	}
	return s.probeColumns(s.ctx, st, text)
}

// probeColumns returns the columns that the engine reports for a query. For a column
// of a read without a declared type, the type is taken from the value in the first row.
func (s *session) probeColumns(ctx context.Context, st *sqltext.Statement, text string) ([]column, error) {
	nulls := make([]any, st.Params)
	set, err := s.queryEngine(ctx, "select * from ("+text+") limit 0", nulls)
	if err != nil {
		return nil, err
	}
	// SQLite appends a colon and a number to repeated column names of a subquery.
	for i := range set.columns {
		set.columns[i].name, _, _ = strings.Cut(set.columns[i].name, ":")
	}
	nameColumns(st, set.columns)
	if st.Class == sqltext.Read && hasUnknownType(set.columns) {
		firstRow, err := s.queryEngine(ctx, "select * from ("+text+") limit 1", nulls)
		if err != nil {
			return nil, err
		}
		set.rows = firstRow.rows
	}
	s.finishColumns(st, set)
	return set.columns, nil
}

func hasUnknownType(columns []column) bool {
	for _, c := range columns {
		if c.oid == sqltext.Unknown {
			return true
		}
	}
	return false
}
