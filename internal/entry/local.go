package entry

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/galenabridge/galenabridge/internal/pgfront"
)

// oidText is the OID of the type text.
const oidText = 25

// answerLocal answers a unit at the entry, without an endpoint.
func (s *session) answerLocal(u *unit) error {
	if u.simple {
		if err := s.runLocal(u.text, u.class, true); err != nil {
			return s.localError(err, true)
		}
		return s.ready(s.status())
	}
	return s.answerOps(u, func(stmt *statement) error {
		return s.runLocal(stmt.query, stmt.class, false)
	})
}

// localError reports an error of a statement answered at the entry. endsWithReady: the answer
// ends with ReadyForQuery; otherwise messages are skipped up to Sync.
func (s *session) localError(err error, endsWithReady bool) error {
	s.srv.metrics.countError(err)
	if queueErr := s.conn.Queue(pgfront.ErrorMessage(err, pgfront.Error)); queueErr != nil {
		return queueErr
	}
	if !endsWithReady {
		s.skipToSync = true
		return s.conn.Flush()
	}
	return s.ready(s.status())
}

// answerOps answers the messages of a unit of the extended protocol. execute runs one
// statement and queues its result.
func (s *session) answerOps(u *unit, execute func(*statement) error) error {
	for _, o := range u.ops {
		if err := s.answerOp(o, execute); err != nil {
			return s.localError(err, u.sync)
		}
	}
	if !u.sync {
		return s.conn.Flush()
	}
	return s.ready(s.status())
}

func (s *session) answerOp(o op, execute func(*statement) error) error {
	switch o.kind {
	case opParse:
		s.statements[o.clientName] = o.stmt
		return s.conn.Queue(&pgproto3.ParseComplete{})
	case opBind:
		return s.conn.Queue(&pgproto3.BindComplete{})
	case opDescribeStatement:
		if err := s.conn.Queue(&pgproto3.ParameterDescription{}); err != nil {
			return err
		}
		return s.describeLocal(o.stmt)
	case opDescribePortal:
		return s.describeLocal(o.stmt)
	case opCloseStatement:
		delete(s.statements, o.clientName)
		return s.conn.Queue(&pgproto3.CloseComplete{})
	case opClosePortal:
		return s.conn.Queue(&pgproto3.CloseComplete{})
	case opExecute:
		if o.stmt == nil {
			return s.conn.Queue(&pgproto3.EmptyQueryResponse{})
		}
		return execute(o.stmt)
	}
	return nil
}

func (s *session) describeLocal(stmt *statement) error {
	if stmt == nil || parseCommand(stmt.query).verb != "SHOW" {
		return s.conn.Queue(&pgproto3.NoData{})
	}
	return s.conn.Queue(showColumns(parseCommand(stmt.query).name))
}

// runLocal runs a statement at the entry and queues its result. describe adds the row
// description, which the extended protocol sends separately.
func (s *session) runLocal(text string, c class, describe bool) error {
	cmd := parseCommand(text)
	switch {
	case c.kind == kindEmpty:
		return s.conn.Queue(&pgproto3.EmptyQueryResponse{})
	case cmd.verb == "SHOW":
		return s.show(cmd.name, describe)
	case cmd.verb == "DEALLOCATE" || cmd.verb == "DISCARD":
		return s.discard(cmd)
	}
	if cmd.verb == "RESET" {
		cmd.value = ""
	}
	if err := s.params.set(cmd.name, cmd.value); err != nil {
		return err
	}
	return s.conn.Queue(&pgproto3.CommandComplete{CommandTag: []byte(cmd.verb)})
}

func (s *session) show(name string, describe bool) error {
	value, err := s.params.get(name)
	if err != nil {
		return err
	}
	if describe {
		if err := s.conn.Queue(showColumns(name)); err != nil {
			return err
		}
	}
	if err := s.conn.Queue(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}}); err != nil {
		return err
	}
	return s.conn.Queue(&pgproto3.CommandComplete{CommandTag: []byte("SHOW")})
}

func showColumns(name string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(name), DataTypeOID: oidText, DataTypeSize: -1, TypeModifier: -1,
	}}}
}

// discard removes prepared statements, and with DISCARD ALL also the settings and
// parameters of the session. The parser reads DEALLOCATE PREPARE x as name "prepare".
func (s *session) discard(cmd command) error {
	tag := cmd.verb
	name := cmd.name
	if cmd.verb == "DEALLOCATE" && name == "prepare" {
		name = parseCommand("SHOW " + cmd.value).name
	}
	switch {
	case name == "all":
		tag += " ALL"
		clear(s.statements)
		if cmd.verb == "DISCARD" {
			s.settings = settings{}
			s.params = params{}
		}
	case cmd.verb == "DEALLOCATE":
		delete(s.statements, name)
	}
	return s.conn.Queue(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}
