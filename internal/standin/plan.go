package standin

import (
	"context"
	"strings"

	"github.com/galenabridge/galenabridge/internal/standin/sqltext"
)

// plan finds the result columns of a prepared statement without running it.
func (s *session) plan(p *prepared) error {
	if p.planned || p.st == nil || !p.st.YieldsRows() {
		return nil
	}
	if s.tx.failed {
		return errFailedTx()
	}
	columns, err := s.resultColumns(p.st)
	if err != nil {
		return err
	}
	p.columns, p.planned = columns, true
	return nil
}

func (s *session) resultColumns(st *sqltext.Statement) ([]column, error) {
	if st.Class == sqltext.Show {
		return []column{{name: settingName(st.Tokens), oid: sqltext.Text}}, nil
	}
	tokens := st.DescribeQuery()
	if st.Volatile() {
		expanded, err := sqltext.Expand(tokens, &probe{functions{s: s, ctx: s.ctx}})
		if err != nil {
			return nil, err
		}
		tokens = expanded
	}
	text, err := sqltext.ToSQLite(tokens)
	if err != nil {
		return nil, errState(stateUnsupported, "%v", err)
	}
	if st.First() == "explain" {
		set, err := s.readText(s.ctx, text, make([]any, st.Params))
		if err != nil {
			return nil, err
		}
		s.finishColumns(st, set)
		return set.columns, nil
	}
	return s.probeColumns(s.ctx, st, text)
}

// probeColumns asks the engine for the columns; where it does not know a type,
// the first row's value tells.
func (s *session) probeColumns(ctx context.Context, st *sqltext.Statement, text string) ([]column, error) {
	nulls := make([]any, st.Params)
	set, err := s.readText(ctx, "select * from ("+text+") limit 0", nulls)
	if err != nil {
		return nil, err
	}
	for i := range set.columns {
		set.columns[i].name, _, _ = strings.Cut(set.columns[i].name, ":")
	}
	nameColumns(st, set.columns)
	if st.Class == sqltext.Read && hasUnknown(set.columns) {
		sample, err := s.readText(ctx, "select * from ("+text+") limit 1", nulls)
		if err != nil {
			return nil, err
		}
		set.rows = sample.rows
	}
	s.finishColumns(st, set)
	return set.columns, nil
}

func hasUnknown(columns []column) bool {
	for _, c := range columns {
		if c.oid == sqltext.Unknown {
			return true
		}
	}
	return false
}
