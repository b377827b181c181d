package standin

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/galenabridge/galenabridge/internal/standin/sqltext"
)

// preparedStatement is the result of a Parse message. st is nil for an empty
// query.
type preparedStatement struct {
	st     *sqltext.Statement
	params []uint32
	// columns are the result columns, nil if the statement returns no rows. They are
	// valid once columnsResolved is set.
	columns         []column
	columnsResolved bool
}

// portal is a prepared statement with its parameters bound.
type portal struct {
	statement *preparedStatement
	args      []any
	formats   []int16
	// result is nil until the statement has run. nextRow is the index of its first
	// unsent row.
	result  *rowSet
	tag     string
	nextRow int
}

// handleExtended handles one message of the extended query protocol.
func (s *session) handleExtended(msg pgproto3.FrontendMessage) error {
	s.openTx()
	switch m := msg.(type) {
	case *pgproto3.Parse:
		return s.parse(m)
	case *pgproto3.Bind:
		return s.bind(m)
	case *pgproto3.Describe:
		return s.describe(m)
	case *pgproto3.Execute:
		return s.execute(m)
	case *pgproto3.Close:
		s.closeObject(m)
		return nil
	}
	return sqlErrorf(sqlStateProtocolViolation, "unexpected message %T", msg)
}

func (s *session) parse(m *pgproto3.Parse) error {
	statements, err := sqltext.Parse(m.Query)
	if err != nil {
		return sqlErrorf(sqlStateSyntax, "%v", err)
	}
	if len(statements) > 1 {
		return sqlErrorf(sqlStateSyntax, "cannot insert multiple commands into a prepared statement")
	}
	if _, taken := s.statements[m.Name]; taken && m.Name != "" {
		return sqlErrorf("42P05", "prepared statement %q already exists", m.Name)
	}
	p := &preparedStatement{}
	if len(statements) == 1 {
		p.st = statements[0]
		if s.tx.failed && p.st.Class != sqltext.Commit && p.st.Class != sqltext.Rollback && p.st.Class != sqltext.RollbackTo {
			return failedTxError()
		}
		p.params = s.paramTypes(p.st, m.ParameterOIDs)
	}
	s.statements[m.Name] = p
	s.be.Send(&pgproto3.ParseComplete{})
	return nil
}

// paramTypes infers the parameter types of a statement. Types that the client
// declared take precedence.
func (s *session) paramTypes(st *sqltext.Statement, declared []uint32) []uint32 {
	types := st.ParamTypes(func(table, name string) uint32 {
		return s.eng.columnType(s.ctx, s.db, table, name)
	})
	for i, oid := range declared {
		if i < len(types) && oid != sqltext.Unknown {
			types[i] = oid
		}
	}
	return types
}

func (s *session) bind(m *pgproto3.Bind) error {
	p, ok := s.statements[m.PreparedStatement]
	if !ok {
		return sqlErrorf(sqlStateInvalidStatementName, "prepared statement %q does not exist", m.PreparedStatement)
	}
	if len(m.Parameters) != len(p.params) {
		return sqlErrorf(sqlStateProtocolViolation, "bind message supplies %d parameters, but prepared statement %q requires %d",
			len(m.Parameters), m.PreparedStatement, len(p.params))
	}
	args := make([]any, len(m.Parameters))
	for i, data := range m.Parameters {
		arg, err := decode(s.types, p.params[i], formatOf(m.ParameterFormatCodes, i), data)
		if err != nil {
			return err
		}
		args[i] = arg
	}
	s.portals[m.DestinationPortal] = &portal{
		statement: p, args: args, formats: append([]int16(nil), m.ResultFormatCodes...),
	}
	s.be.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		p, ok := s.statements[m.Name]
		if !ok {
			return sqlErrorf(sqlStateInvalidStatementName, "prepared statement %q does not exist", m.Name)
		}
		s.be.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.params})
		return s.describeRows(p, nil)
	}
	portal, ok := s.portals[m.Name]
	if !ok {
		return sqlErrorf(sqlStateInvalidCursorName, "portal %q does not exist", m.Name)
	}
	return s.describeRows(portal.statement, portal.formats)
}

func (s *session) describeRows(p *preparedStatement, formats []int16) error {
	if err := s.resolveColumns(p); err != nil {
		return err
	}
	if p.columns == nil {
		s.be.Send(&pgproto3.NoData{})
		return nil
	}
	s.be.Send(rowDescription(p.columns, formats))
	return nil
}

func (s *session) execute(m *pgproto3.Execute) error {
	portal, ok := s.portals[m.Portal]
	if !ok {
		return sqlErrorf(sqlStateInvalidCursorName, "portal %q does not exist", m.Portal)
	}
	if portal.statement.st == nil {
		s.be.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if portal.result == nil {
		if err := s.runPortal(portal); err != nil {
			return err
		}
	}
	return s.sendPortal(portal, int(m.MaxRows))
}

// runPortal runs the statement of a portal and keeps the whole result. It fails if
// the number of columns differs from the one described.
func (s *session) runPortal(portal *portal) error {
	ctx, done := s.statementContext()
	defer done()
	p := portal.statement
	if p.st.YieldsRows() && !s.tx.failed {
		if err := s.resolveColumns(p); err != nil {
			return err
		}
	}
	set, tag, err := s.runStatement(ctx, p.st, portal.args)
	if err != nil {
		return err
	}
	if p.columns != nil && len(set.columns) != len(p.columns) {
		return sqlErrorf(sqlStateNotSupported, "cached plan must not change result type")
	}
	portal.result, portal.tag = set, tag
	return nil
}

// sendPortal sends up to limit of the remaining rows, or all if limit is zero.
func (s *session) sendPortal(portal *portal, limit int) error {
	rows := portal.result.rows[portal.nextRow:]
	suspended := limit > 0 && len(rows) >= limit
	if suspended {
		rows = rows[:limit]
	}
	if err := s.sendRows(portal.statement.columns, rows, portal.formats); err != nil {
		return err
	}
	portal.nextRow += len(rows)
	if suspended {
		s.be.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	s.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(portal.tag)})
	return nil
}

func (s *session) closeObject(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		delete(s.statements, m.Name)
	} else {
		delete(s.portals, m.Name)
	}
	s.be.Send(&pgproto3.CloseComplete{})
}

// sync handles a Sync message. It commits the implicit transaction of the messages
// before it and, outside a transaction block, closes all portals.
func (s *session) sync() error {
	s.skipUntilSync = false
	if !s.tx.inBlock {
		if _, err := s.commit(); err != nil {
			if err := s.reportError(err, false); err != nil {
				return err
			}
		}
		s.portals = make(map[string]*portal)
	}
	return s.sendReady()
}
