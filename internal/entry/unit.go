package entry

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/galenabridge/galenabridge/internal/pgback"
	"github.com/galenabridge/galenabridge/internal/result"
)

const (
	// absentStatement is a name that no statement has; closing it has no effect.
	absentStatement = "gb_none"
	// statementDigestBytes is the length of the SHA-256 prefix that names a statement. It
	// is long enough that a caller cannot construct collisions.
	statementDigestBytes = 16
)

// statement is a prepared statement of a caller. It is immutable.
type statement struct {
	// name is derived from the query and its parameter types, so that equal statements of
	// different callers share one prepared statement on an endpoint connection.
	name  string
	query string
	oids  []uint32
	class class
}

func newStatement(query string, oids []uint32) *statement {
	content := make([]byte, 0, len(query)+4*len(oids)+1)
	content = append(content, query...)
	content = append(content, 0)
	for _, oid := range oids {
		content = binary.BigEndian.AppendUint32(content, oid)
	}
	digest := sha256.Sum256(content)
	name := "gb_" + hex.EncodeToString(digest[:statementDigestBytes])
	return &statement{name: name, query: query, oids: append([]uint32(nil), oids...), class: classify(query)}
}

// opKind is the kind of a message of the extended protocol.
type opKind int

const (
	opParse opKind = iota
	opBind
	opDescribeStatement
	opDescribePortal
	opExecute
	opCloseStatement
	opClosePortal
)

// op is one message of the extended protocol.
type op struct {
	kind opKind
	// clientName is the caller's name of the statement.
	clientName string
	// stmt is the statement that the message refers to; nil when unknown.
	stmt *statement
	// start and end delimit the encoded message within the unit.
	start int
	end   int
}

// unit is what is sent to an endpoint together: a simple query, or the messages of the
// extended protocol up to Sync or Flush.
type unit struct {
	// simple: the unit is a simple query with the given text and class.
	simple bool
	text   string
	class  class
	// ops are the messages of the extended protocol, in order.
	ops []op
	// data holds the encoded messages, without Sync or Flush.
	data []byte
	// sync: the unit ends with Sync. It is set for a simple query as well.
	sync bool
	// portals maps the portals bound in this unit to their statements.
	portals map[string]*statement
	// parsed maps the caller's names parsed in this unit to their statements; nil marks
	// closed ones.
	parsed map[string]*statement
}

// newSimpleUnit returns the unit of a simple query.
func newSimpleUnit(text string) (*unit, error) {
	data, err := (&pgproto3.Query{String: text}).Encode(nil)
	if err != nil {
		return nil, result.New(result.MalformedMessage, "%v", err)
	}
	return &unit{simple: true, sync: true, text: text, class: classify(text), data: data}, nil
}

// newExtendedUnit returns an empty unit of the extended protocol.
func newExtendedUnit() *unit {
	return &unit{portals: make(map[string]*statement), parsed: make(map[string]*statement)}
}

// lookup returns the statement with the caller's name, or nil. Statements of the unit take
// precedence over those of the session.
func (u *unit) lookup(name string, session map[string]*statement) *statement {
	if stmt, ok := u.parsed[name]; ok {
		return stmt
	}
	return session[name]
}

// add appends a message of the extended protocol. The caller's statement names are replaced
// by names derived from the content; Close names no statement, because others may share it.
func (u *unit) add(msg pgproto3.FrontendMessage, session map[string]*statement) error {
	switch msg := msg.(type) {
	case *pgproto3.Parse:
		stmt := newStatement(msg.Query, msg.ParameterOIDs)
		u.parsed[msg.Name] = stmt
		clientName := msg.Name
		msg.Name = stmt.name
		return u.append(op{kind: opParse, clientName: clientName, stmt: stmt}, msg)
	case *pgproto3.Bind:
		stmt := u.lookup(msg.PreparedStatement, session)
		u.portals[msg.DestinationPortal] = stmt
		msg.PreparedStatement = nameOf(stmt)
		return u.append(op{kind: opBind, stmt: stmt}, msg)
	case *pgproto3.Describe:
		if msg.ObjectType == 'P' {
			return u.append(op{kind: opDescribePortal, stmt: u.portals[msg.Name]}, msg)
		}
		stmt := u.lookup(msg.Name, session)
		msg.Name = nameOf(stmt)
		return u.append(op{kind: opDescribeStatement, stmt: stmt}, msg)
	case *pgproto3.Execute:
		return u.append(op{kind: opExecute, stmt: u.portals[msg.Portal]}, msg)
	case *pgproto3.Close:
		if msg.ObjectType == 'P' {
			return u.append(op{kind: opClosePortal}, msg)
		}
		clientName := msg.Name
		u.parsed[clientName] = nil
		msg.Name = absentStatement
		return u.append(op{kind: opCloseStatement, clientName: clientName}, msg)
	}
	return result.New(result.MalformedMessage, "%T is not expected here", msg)
}

// nameOf returns the name of the statement on endpoint connections.
func nameOf(stmt *statement) string {
	if stmt == nil {
		return absentStatement
	}
	return stmt.name
}

func (u *unit) append(o op, msg pgproto3.FrontendMessage) error {
	o.start = len(u.data)
	data, err := msg.Encode(u.data)
	if err != nil {
		return result.New(result.MalformedMessage, "%v", err)
	}
	u.data = data
	o.end = len(data)
	u.ops = append(u.ops, o)
	return nil
}

// plan is a unit encoded for one endpoint connection, with the answers that it expects.
type plan struct {
	encoded []byte
	// parses and closes hold the expected answers to Parse and Close, each in order.
	parses []expectedAnswer
	closes []expectedAnswer
	// pending is the number of answers expected before the one to Sync.
	pending int
}

// expectedAnswer is the meaning of an expected ParseComplete or CloseComplete.
type expectedAnswer struct {
	// injected: the message was added by the entry; its answer is not relayed.
	injected   bool
	clientName string
	stmt       *statement
	// name is the statement's name on the endpoint connection.
	name string
}

// planFor encodes the unit for a connection and adds the messages that prepare the
// statements which the connection lacks.
func (u *unit) planFor(state *pgback.SessionState) (plan, error) {
	if u.simple {
		return plan{encoded: u.data}, nil
	}
	b := planBuilder{state: state, preparedInUnit: make(map[string]bool)}
	for _, o := range u.ops {
		if err := b.add(o, u.data[o.start:o.end]); err != nil {
			return plan{}, err
		}
	}
	if u.sync {
		encoded, err := (&pgproto3.Sync{}).Encode(b.plan.encoded)
		if err != nil {
			return plan{}, result.New(result.MalformedMessage, "%v", err)
		}
		b.plan.encoded = encoded
		return b.plan, nil
	}
	encoded, err := (&pgproto3.Flush{}).Encode(b.plan.encoded)
	b.plan.encoded = encoded
	return b.plan, err
}

// planBuilder builds a plan. state is the connection's; statements that the plan closes are
// removed from it at once, those that it prepares are added when the endpoint confirms them.
type planBuilder struct {
	plan  plan
	state *pgback.SessionState
	// preparedInUnit holds the names of the statements that earlier messages of the unit
	// prepare.
	preparedInUnit map[string]bool
}

// has reports whether the statement is prepared when the next message is processed.
func (b *planBuilder) has(name string) bool {
	return b.preparedInUnit[name] || b.state.HasStatement(name)
}

// add appends a message. A Parse of a statement that is already prepared is preceded by its
// Close, and a use of a statement that is not prepared by its Parse.
func (b *planBuilder) add(o op, encoded []byte) error {
	switch o.kind {
	case opParse:
		if b.has(o.stmt.name) {
			if err := b.injectClose(o.stmt.name); err != nil {
				return err
			}
		}
		b.preparedInUnit[o.stmt.name] = true
		b.plan.parses = append(b.plan.parses, expectedAnswer{clientName: o.clientName, stmt: o.stmt, name: o.stmt.name})
	case opBind, opDescribeStatement:
		if o.stmt != nil && !b.has(o.stmt.name) {
			if err := b.injectParse(o.stmt); err != nil {
				return err
			}
		}
	case opCloseStatement, opClosePortal:
		b.plan.closes = append(b.plan.closes, expectedAnswer{clientName: o.clientName, stmt: o.stmt})
	}
	b.plan.encoded = append(b.plan.encoded, encoded...)
	b.plan.pending++
	return nil
}

// injectParse adds a Parse and closes a statement when the connection has too many.
func (b *planBuilder) injectParse(stmt *statement) error {
	if candidate, ok := b.state.EvictionCandidate(); ok && !b.preparedInUnit[candidate] {
		if err := b.injectClose(candidate); err != nil {
			return err
		}
	}
	msg := pgproto3.Parse{Name: stmt.name, Query: stmt.query, ParameterOIDs: stmt.oids}
	encoded, err := msg.Encode(b.plan.encoded)
	if err != nil {
		return result.New(result.MalformedMessage, "%v", err)
	}
	b.plan.encoded = encoded
	b.preparedInUnit[stmt.name] = true
	b.plan.parses = append(b.plan.parses, expectedAnswer{injected: true, stmt: stmt, name: stmt.name})
	b.plan.pending++
	return nil
}

// injectClose adds a Close of a statement on the connection.
func (b *planBuilder) injectClose(name string) error {
	encoded, err := (&pgproto3.Close{ObjectType: 'S', Name: name}).Encode(b.plan.encoded)
	if err != nil {
		return result.New(result.MalformedMessage, "%v", err)
	}
	b.plan.encoded = encoded
	b.state.RemoveStatement(name)
	b.plan.closes = append(b.plan.closes, expectedAnswer{injected: true, name: name})
	b.plan.pending++
	return nil
}
