package pgfront

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/result"
)

// Severity is the severity of an ErrorResponse.
type Severity string

// Severities of an ErrorResponse.
const (
	// Error fails the request; the connection remains usable.
	Error Severity = "ERROR"
	// Fatal precedes the close of the connection.
	Fatal Severity = "FATAL"
)

// ErrorMessage converts err to an ErrorResponse. The message starts with the number of the
// result code. The text of an error that is not a result.Error is not sent.
func ErrorMessage(err error, severity Severity) *pgproto3.ErrorResponse {
	var resultErr *result.Error
	if !errors.As(err, &resultErr) {
		resultErr = &result.Error{Detail: "internal error"}
	}
	info := result.Lookup(resultErr.Code)
	hint := info.Action
	if resultErr.RetryAfter > 0 {
		hint = fmt.Sprintf("%s Retry after %d ms.", hint, resultErr.RetryAfter.Milliseconds())
	}
	detail := resultErr.Detail
	if info.NotRun {
		detail += " (not run)"
	}
	return &pgproto3.ErrorResponse{
		Severity:            string(severity),
		SeverityUnlocalized: string(severity),
		Code:                info.SQLState,
		Message:             fmt.Sprintf("GB%d %s: %s", resultErr.Code, info.Name, info.Meaning),
		Detail:              detail,
		Hint:                hint,
	}
}
