// Package core serves client sessions independently of the wire protocol. It
// manages session values, prepared statements, transactions and log positions;
// it routes and admits each statement, restores the session state on the
// connection to the endpoint, and reports the outcome of the statement. A
// protocol front end decodes requests into Statements, and a Dialer provides the
// Links that carry Commands to endpoints.
package core

import (
	"cmp"
	"context"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/budget"
	"github.com/galenabridge/galenabridge/internal/connpool"
	"github.com/galenabridge/galenabridge/internal/result"
)

// Position is a commit position in the replicated log of a service.
type Position struct {
	// Term is the number of the primary under which the position was assigned.
	Term uint64
	// Number is the sequence number of the commit.
	Number uint64
}

// Compare orders positions by term, then number. It returns -1, 0 or 1.
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
	// Prepare creates a prepared statement, Execute runs it, Forget deallocates it.
	Prepare
	Execute
	Forget
	// Discard resets the session values and the prepared statements of a
	// connection. Only this package issues it.
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

// Statement is a request from a caller.
type Statement struct {
	// ID is the request ID chosen by the caller. It is empty in statements that this
	// package issues itself.
	ID   string
	Kind Kind
	// Name is the name of a session value or of a prepared statement.
	Name string
	// Text is the session value, the statement text or the arguments, unmodified.
	Text string
	// Writes reports, for Prepare, that the prepared statement may change data.
	Writes bool
}

// MeteredKind is the kind of a statement that is sent to an endpoint.
type MeteredKind struct {
	Kind Kind
	// InTransaction: the statement belongs to a transaction in progress, which its commit ends. The
	// begin of a transaction does not.
	InTransaction bool
}

// Meter counts the statements that endpoints run.
type Meter interface {
	// Begin is called right before a statement of a caller is sent to an endpoint, for each attempt:
	// reads, writes, executes, begins and commits, but not for rollbacks and what restores a session.
	// The workspace is empty if the caller presented no key. It must not block.
	Begin(workspace string, kind MeteredKind)
}

// State is the state of a session between statements.
type State int

// States of a session.
const (
	Idle State = iota
	InTransaction
	// Failed: only Commit and Rollback are accepted, and both roll back.
	Failed
)

// Reply is the answer to a Statement.
type Reply struct {
	// Rows and Signature are forwarded from the endpoint unmodified. Signature is
	// empty when the statement was answered without an endpoint.
	Rows      []string
	Signature string
	// Err is nil on success.
	Err   *result.Error
	State State
}

// Command is a statement as it is sent to an endpoint.
type Command struct {
	// Statement has an empty ID when this package issued it.
	Statement
	// MinPosition is the position that the endpoint must have applied; zero requires none.
	MinPosition Position
	// Account pays for the rows of the answer. A Link fails with budget.ErrFull if there is
	// no memory for them. It may be nil.
	Account *budget.Account
}

// Answer is the complete response of an endpoint to a Command.
type Answer struct {
	Rows      []string
	Signature string
	Err       *result.Error
	State     State
	// Position is the end of the endpoint's log; zero when it was not reported.
	Position Position
}

// Link is a connection to an endpoint. It is not safe for concurrent use.
type Link interface {
	connpool.Conn
	// StartPosition returns the position of the endpoint when it opened the connection.
	StartPosition() Position
	// Exchange sends the commands in one batch and returns their answers in order.
	// After an error the state of the connection is unknown; sent reports whether
	// any byte may have reached the endpoint.
	Exchange(deadline time.Time, commands ...Command) (answers []Answer, sent bool, err error)
}

// Dialer opens connections to endpoints on behalf of a workspace. It fails with
// result code EndpointMismatch when another endpoint answers at the address, and
// with TooManyConnections or EndpointBusy when the endpoint is healthy but
// accepts no more connections.
type Dialer interface {
	Dial(ctx context.Context, endpoint agreed.Endpoint, workspace string) (Link, error)
}
