package pgfront

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/result"
)

// Severity is the severity of an error message.
type Severity string

// Severities of error messages.
const (
	// Error ends the request.
	Error Severity = "ERROR"
	// Fatal ends the connection.
	Fatal Severity = "FATAL"
)

// ErrorMessage converts err to a message for the caller. The text begins with
// the number of the result code.
func ErrorMessage(err error, severity Severity) *pgproto3.ErrorResponse {
	var numbered *result.Error
	if !errors.As(err, &numbered) {
		numbered = &result.Error{Detail: "internal error"}
	}
	info := result.Lookup(numbered.Code)
	hint := info.Action
	if numbered.RetryAfter > 0 {
		hint = fmt.Sprintf("%s Retry after %d ms.", hint, numbered.RetryAfter.Milliseconds())
	}
	detail := numbered.Detail
	if info.NotRun {
		detail += " (not run)"
	}
	return &pgproto3.ErrorResponse{
		Severity:            string(severity),
		SeverityUnlocalized: string(severity),
		Code:                info.SQLState,
		Message:             fmt.Sprintf("GB%d %s: %s", numbered.Code, info.Name, info.Meaning),
		Detail:              detail,
		Hint:                hint,
	}
}
