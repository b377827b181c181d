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

// SQLSTATE values of the errors that the stand-in returns.
const (
	sqlStateSyntax                 = "42601"
	sqlStateUndefinedTable         = "42P01"
	sqlStateUndefinedColumn        = "42703"
	sqlStateUndefinedFunction      = "42883"
	sqlStateDuplicateTable         = "42P07"
	sqlStateUniqueViolation        = "23505"
	sqlStateNotNullViolation       = "23502"
	sqlStateForeignKeyViolation    = "23503"
	sqlStateCheckViolation         = "23514"
	sqlStateReadOnlyTx             = "25006"
	sqlStateFailedTx               = "25P02"
	sqlStateNoActiveTx             = "25P01"
	sqlStateUndefinedObject        = "42704"
	sqlStateActiveTx               = "25001"
	sqlStateInvalidSavepoint       = "3B001"
	sqlStateInvalidStatementName   = "26000"
	sqlStateInvalidCursorName      = "34000"
	sqlStateQueryCanceled          = "57014"
	sqlStateAdminShutdown          = "57P01"
	sqlStateCannotConnectNow       = "57P03"
	sqlStateTooManyConnections     = "53300"
	sqlStateInvalidPassword        = "28P01"
	sqlStateInvalidDatabase        = "3D000"
	sqlStateProtocolViolation      = "08P01"
	sqlStateInvalidText            = "22P02"
	sqlStateBadCopyFormat          = "22P04"
	sqlStateNotSupported           = "0A000"
	sqlStateNotInPrerequisiteState = "55000"
	sqlStateInternal               = "XX000"
)

// sqlError is an error with its SQLSTATE. A fatal error ends the connection.
type sqlError struct {
	state   string
	message string
	fatal   bool
}

// Error implements error.
func (e *sqlError) Error() string { return e.message + " (" + e.state + ")" }

// sqlErrorf returns an error that fails the statement and keeps the connection.
func sqlErrorf(state, format string, args ...any) *sqlError {
	return &sqlError{state: state, message: fmt.Sprintf(format, args...)}
}

// fatalErrorf returns an error that ends the connection.
func fatalErrorf(state, format string, args ...any) *sqlError {
	e := sqlErrorf(state, format, args...)
	e.fatal = true
	return e
}

func (e *sqlError) response() *pgproto3.ErrorResponse {
	severity := "ERROR"
	if e.fatal {
		severity = "FATAL"
	}
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: e.state, Message: e.message,
	}
}

// sqliteCodeStates maps extended result codes of SQLite to SQLSTATE values.
var sqliteCodeStates = map[int]string{
	sqlite3.SQLITE_CONSTRAINT_UNIQUE:     sqlStateUniqueViolation,
	sqlite3.SQLITE_CONSTRAINT_PRIMARYKEY: sqlStateUniqueViolation,
	sqlite3.SQLITE_CONSTRAINT_NOTNULL:    sqlStateNotNullViolation,
	sqlite3.SQLITE_CONSTRAINT_FOREIGNKEY: sqlStateForeignKeyViolation,
	sqlite3.SQLITE_CONSTRAINT_CHECK:      sqlStateCheckViolation,
	sqlite3.SQLITE_INTERRUPT:             sqlStateQueryCanceled,
	sqlite3.SQLITE_MISMATCH:              sqlStateInvalidText,
	sqlite3.SQLITE_READONLY:              sqlStateReadOnlyTx,
}

// sqliteMessageStates maps parts of messages to SQLSTATE values, for errors that
// SQLite reports without a distinct code. The first match is used.
var sqliteMessageStates = []struct{ substring, state string }{
	{"no such table", sqlStateUndefinedTable},
	{"no such column", sqlStateUndefinedColumn},
	{"has no column named", sqlStateUndefinedColumn},
	{"no such function", sqlStateUndefinedFunction},
	{"wrong number of arguments to function", sqlStateUndefinedFunction},
	{"already exists", sqlStateDuplicateTable},
	{"syntax error", sqlStateSyntax},
	{"incomplete input", sqlStateSyntax},
	{"unrecognized token", sqlStateSyntax},
	{"missing argument", sqlStateProtocolViolation},
	{"missing named argument", sqlStateProtocolViolation},
	{"not supported", sqlStateNotSupported},
}

// toSQLError maps an error of the SQL engine or of a context to its SQLSTATE.
// Errors that match nothing map to an internal error.
func toSQLError(err error) *sqlError {
	var sqlErr *sqlError
	if errors.As(err, &sqlErr) {
		return sqlErr
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return sqlErrorf(sqlStateQueryCanceled, "canceling statement due to statement timeout")
	}
	if errors.Is(err, context.Canceled) {
		return sqlErrorf(sqlStateQueryCanceled, "canceling statement due to user request")
	}
	message := err.Error()
	var sqliteErr *sqlite.Error
	if errors.As(err, &sqliteErr) {
		if state, ok := sqliteCodeStates[sqliteErr.Code()]; ok {
			return sqlErrorf(state, "%s", message)
		}
	}
	for _, m := range sqliteMessageStates {
		if strings.Contains(message, m.substring) {
			return sqlErrorf(m.state, "%s", message)
		}
	}
	if sqliteErr != nil && sqliteErr.Code() == sqlite3.SQLITE_ERROR {
		return sqlErrorf(sqlStateSyntax, "%s", message)
	}
	return sqlErrorf(sqlStateInternal, "%s", message)
}
