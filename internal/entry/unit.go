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
	// noStatement is a name that no statement has; closing it has no effect.
	noStatement = "gb_none"
	// statementDigest is the part of the SHA-256 digest, in bytes, that names a
	// statement. It resists collisions that a caller could look for.
	statementDigest = 16
)

// statement is a prepared statement of a caller. It is immutable.
type statement struct {
	// name is derived from the content, so that equal statements of different
	// callers share one prepared statement on an endpoint connection.
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
	name := "gb_" + hex.EncodeToString(digest[:statementDigest])
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
	// client is the statement's name as the caller knows it.
	client string
	// stmt is the statement that the message refers to; nil when unknown.
	stmt *statement
	// start and end delimit the encoded message within the unit.
	start int
	end   int
}

// unit is what is sent to an endpoint in one go: a simple query, or messages
// of the extended protocol up to Sync or Flush.
type unit struct {
	// simple is set for a simple query, whose class it is.
	simple bool
	text   string
	class  class
	ops    []op
	// data holds the encoded messages.
	data []byte
	// sync tells that the unit ends with Sync.
	sync bool
	// portals maps the portals bound in this unit to their statements.
	portals map[string]*statement
	// parsed maps the names parsed in this unit to their statements; nil marks
	// closed ones.
	parsed map[string]*statement
}

// newSimple returns the unit of a simple query.
func newSimple(text string) (*unit, error) {
	data, err := (&pgproto3.Query{String: text}).Encode(nil)
	if err != nil {
		return nil, result.New(result.MalformedMessage, "%v", err)
	}
	return &unit{simple: true, sync: true, text: text, class: classify(text), data: data}, nil
}

func newBatch() *unit {
	return &unit{portals: make(map[string]*statement), parsed: make(map[string]*statement)}
}

// lookup finds a statement by the caller's name for it.
func (u *unit) lookup(name string, session map[string]*statement) *statement {
	if stmt, ok := u.parsed[name]; ok {
		return stmt
	}
	return session[name]
}

// add appends a message of the extended protocol.
func (u *unit) add(msg pgproto3.FrontendMessage, session map[string]*statement) error {
	switch msg := msg.(type) {
	case *pgproto3.Parse:
		stmt := newStatement(msg.Query, msg.ParameterOIDs)
		u.parsed[msg.Name] = stmt
		client := msg.Name
		msg.Name = stmt.name
		return u.append(op{kind: opParse, client: client, stmt: stmt}, msg)
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
		client := msg.Name
		u.parsed[client] = nil
		msg.Name = noStatement
		return u.append(op{kind: opCloseStatement, client: client}, msg)
	}
	return result.New(result.MalformedMessage, "%T is not expected here", msg)
}

func nameOf(stmt *statement) string {
	if stmt == nil {
		return noStatement
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

// plan is a unit prepared for one endpoint connection.
type plan struct {
	encoded []byte
	// parses and closes tell, for each answer to Parse and Close in order,
	// what it answers.
	parses []answer
	closes []answer
	// pending is the number of answers before the one to Sync.
	pending int
}

// answer is what an answer of the endpoint stands for.
type answer struct {
	// injected answers are not passed on to the caller.
	injected bool
	client   string
	stmt     *statement
	// name is the statement's name on the endpoint connection.
	name string
}

// planFor adds the messages that prepare missing statements on the connection.
func (u *unit) planFor(state *pgback.SessionState) (plan, error) {
	if u.simple {
		return plan{encoded: u.data}, nil
	}
	b := planBuilder{state: state, known: make(map[string]bool)}
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

type planBuilder struct {
	plan  plan
	state *pgback.SessionState
	// known holds the statements that earlier messages of the unit prepare.
	known map[string]bool
}

func (b *planBuilder) has(name string) bool {
	return b.known[name] || b.state.Has(name)
}

func (b *planBuilder) add(o op, encoded []byte) error {
	switch o.kind {
	case opParse:
		if b.has(o.stmt.name) {
			if err := b.injectClose(o.stmt.name); err != nil {
				return err
			}
		}
		b.known[o.stmt.name] = true
		b.plan.parses = append(b.plan.parses, answer{client: o.client, stmt: o.stmt, name: o.stmt.name})
	case opBind, opDescribeStatement:
		if o.stmt != nil && !b.has(o.stmt.name) {
			if err := b.injectParse(o.stmt); err != nil {
				return err
			}
		}
	case opCloseStatement, opClosePortal:
		b.plan.closes = append(b.plan.closes, answer{client: o.client, stmt: o.stmt})
	}
	b.plan.encoded = append(b.plan.encoded, encoded...)
	b.plan.pending++
	return nil
}

func (b *planBuilder) injectParse(stmt *statement) error {
	if surplus, ok := b.state.EvictionCandidate(); ok && !b.known[surplus] {
		if err := b.injectClose(surplus); err != nil {
			return err
		}
	}
	msg := pgproto3.Parse{Name: stmt.name, Query: stmt.query, ParameterOIDs: stmt.oids}
	encoded, err := msg.Encode(b.plan.encoded)
	if err != nil {
		return result.New(result.MalformedMessage, "%v", err)
	}
	b.plan.encoded = encoded
	b.known[stmt.name] = true
	b.plan.parses = append(b.plan.parses, answer{injected: true, stmt: stmt, name: stmt.name})
	b.plan.pending++
	return nil
}

func (b *planBuilder) injectClose(name string) error {
	encoded, err := (&pgproto3.Close{ObjectType: 'S', Name: name}).Encode(b.plan.encoded)
	if err != nil {
		return result.New(result.MalformedMessage, "%v", err)
	}
	b.plan.encoded = encoded
	b.state.Remove(name)
	b.plan.closes = append(b.plan.closes, answer{injected: true, name: name})
	b.plan.pending++
	return nil
}
