package standin

import (
	"context"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
	"modernc.org/sqlite"
	sqlite3 "modernc.org/sqlite/lib"
)

// SQLSTATE values that the stand-in answers with.
const (
	stateSyntax            = "42601"
	stateUndefinedTable    = "42P01"
	stateUndefinedColumn   = "42703"
	stateUndefinedFunction = "42883"
	stateDuplicateTable    = "42P07"
	stateUnique            = "23505"
	stateNotNull           = "23502"
	stateForeignKey        = "23503"
	stateCheck             = "23514"
	stateReadOnly          = "25006"
	stateFailedTx          = "25P02"
	stateNoTx              = "25P01"
	stateUndefinedObject   = "42704"
	stateActiveTx          = "25001"
	stateNoSavepoint       = "3B001"
	stateNoStatement       = "26000"
	stateNoPortal          = "34000"
	stateCanceled          = "57014"
	stateShutdown          = "57P01"
	stateStarting          = "57P03"
	stateTooMany           = "53300"
	stateBadPassword       = "28P01"
	stateNoDatabase        = "3D000"
	stateProtocol          = "08P01"
	stateBadText           = "22P02"
	stateBadCopy           = "22P04"
	stateUnsupported       = "0A000"
	stateNotPrerequisite   = "55000"
	stateInternal          = "XX000"
)

// stateError is an error with its SQLSTATE.
type stateError struct {
	state   string
	message string
	fatal   bool
}

// Error implements error.
func (e *stateError) Error() string { return e.message + " (" + e.state + ")" }

func errState(state, format string, args ...any) *stateError {
	return &stateError{state: state, message: fmt.Sprintf(format, args...)}
}

func fatal(state, format string, args ...any) *stateError {
	e := errState(state, format, args...)
	e.fatal = true
	return e
}

func (e *stateError) response() *pgproto3.ErrorResponse {
	severity := "ERROR"
	if e.fatal {
		severity = "FATAL"
	}
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: e.state, Message: e.message,
	}
}

var constraintStates = map[int]string{
	sqlite3.SQLITE_CONSTRAINT_UNIQUE:     stateUnique,
	sqlite3.SQLITE_CONSTRAINT_PRIMARYKEY: stateUnique,
	sqlite3.SQLITE_CONSTRAINT_NOTNULL:    stateNotNull,
	sqlite3.SQLITE_CONSTRAINT_FOREIGNKEY: stateForeignKey,
	sqlite3.SQLITE_CONSTRAINT_CHECK:      stateCheck,
	sqlite3.SQLITE_INTERRUPT:             stateCanceled,
	sqlite3.SQLITE_MISMATCH:              stateBadText,
	sqlite3.SQLITE_READONLY:              stateReadOnly,
}

var messageStates = []struct{ part, state string }{
	{"no such table", stateUndefinedTable},
	{"no such column", stateUndefinedColumn},
	{"has no column named", stateUndefinedColumn},
	{"no such function", stateUndefinedFunction},
	{"wrong number of arguments to function", stateUndefinedFunction},
	{"already exists", stateDuplicateTable},
	{"syntax error", stateSyntax},
	{"incomplete input", stateSyntax},
	{"unrecognized token", stateSyntax},
	{"missing argument", stateProtocol},
	{"missing named argument", stateProtocol},
	{"not supported", stateUnsupported},
}

// toState gives an error of the SQL engine or of the context its SQLSTATE.
func toState(err error) *stateError {
	var known *stateError
	if errors.As(err, &known) {
		return known
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return errState(stateCanceled, "canceling statement due to statement timeout")
	}
	if errors.Is(err, context.Canceled) {
		return errState(stateCanceled, "canceling statement due to user request")
	}
	message := err.Error()
	var engine *sqlite.Error
	if errors.As(err, &engine) {
		if state, ok := constraintStates[engine.Code()]; ok {
			return errState(state, "%s", message)
		}
	}
	for _, m := range messageStates {
		if strings.Contains(message, m.part) {
			return errState(m.state, "%s", message)
		}
	}
	if engine != nil && engine.Code() == sqlite3.SQLITE_ERROR {
		return errState(stateSyntax, "%s", message)
	}
	return errState(stateInternal, "%s", message)
}
