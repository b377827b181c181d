// Package core serves the sessions of callers without knowing how they speak.
// It knows sessions with their values and prepared statements, transactions,
// statements, log positions and outcomes; it routes each statement to an
// endpoint, admits it, restores the session's state there, and tells truthfully
// what became of it. A dialect decodes what callers send into Statements and
// carries Commands to endpoints.
package core

import (
	"cmp"
	"context"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/connpool"
	"github.com/galenabridge/galenabridge/internal/result"
)

// Position is a place in the log of a service's endpoints.
type Position struct {
	// Term counts the primaries that the endpoints have had.
	Term uint64
	// Number counts the commits.
	Number uint64
}

// Compare orders positions by term, then number.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Term, o.Term), cmp.Compare(p.Number, o.Number))
}

// later returns the greater of two positions.
func later(p, o Position) Position {
	if p.Compare(o) < 0 {
		return o
	}
	return p
}

// Kind is the kind of a statement.
type Kind int

// Kinds of statements.
const (
	Read Kind = iota + 1
	Write
	Begin
	BeginReadOnly
	Commit
	Rollback
	// SetValue sets a value of the session.
	SetValue
	// Prepare names a shape of a statement, Execute runs it, Forget drops the name.
	Prepare
	Execute
	Forget
	// Discard drops the values and names that a connection holds. Only the core
	// issues it.
	Discard
)

// String returns the name of the kind used in logs and metrics.
func (k Kind) String() string {
	names := [...]string{
		"unknown", "read", "write", "begin", "begin_read_only", "commit", "rollback",
		"set_value", "prepare", "execute", "forget", "discard",
	}
	if k < 0 || int(k) >= len(names) {
		return names[0]
	}
	return names[k]
}

// Statement is a request of a caller.
type Statement struct {
	// ID is the caller's name of the request.
	ID   string
	Kind Kind
	// Name is that of a value or of a prepared statement.
	Name string
	// Text is the value, the shape, or the arguments, unchanged.
	Text string
	// Writes tells of Prepare that the statement writes.
	Writes bool
}

// State is the state of a session between statements.
type State int

// States of a session.
const (
	Idle State = iota
	InTransaction
	// Failed: the transaction can only be ended, which rolls it back.
	Failed
)

// Reply answers a Statement.
type Reply struct {
	// Rows and Signature are those of the endpoint, unchanged. Signature is empty
	// when the core has answered.
	Rows      []string
	Signature string
	// Err is set in place of a success.
	Err   *result.Error
	State State
}

// Command is a statement on its way to an endpoint.
type Command struct {
	// Statement is issued by the core itself when its ID is empty.
	Statement
	// After is the position that the endpoint must have; zero asks for none.
	After Position
}

// Answer is an endpoint's complete answer to a Command.
type Answer struct {
	Rows      []string
	Signature string
	Err       *result.Error
	State     State
	// Position is the end of the endpoint's log; zero when not told.
	Position Position
}

// Link is a connection to an endpoint. One task uses it at a time.
type Link interface {
	connpool.Conn
	// Exchange sends the commands at once and returns their answers in order. An
	// error leaves the connection in doubt; sent tells whether any byte may have
	// reached the endpoint.
	Exchange(deadline time.Time, commands ...Command) (answers []Answer, sent bool, err error)
}

// Dialer opens connections to endpoints on behalf of a workspace. It fails with
// result code EndpointMismatch when another endpoint answers, and with
// TooManyConnections or EndpointBusy when the endpoint is well but takes none.
type Dialer interface {
	Dial(ctx context.Context, endpoint agreed.Endpoint, workspace string) (Link, error)
}
