package bench

import (
	"regexp"
	"strconv"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/history"
	"github.com/galenabridge/galenabridge/internal/result"
)

// Causes of failure other than the names of result codes and "sqlstate_" followed by
// the SQLSTATE of any other database error.
const (
	causeConnectFailed    = "connect_failed"
	causeConnectionLost   = "connection_lost"
	causeWrongAnswer      = "wrong_answer"
	causeGeneratorOverrun = "generator_overrun"
)

// resultCode finds the code of a result in an error message of the proxy.
var resultCode = regexp.MustCompile(`GB(\d{4})\b`)

// classify returns the outcome of a request that ended with err, and the cause by
// which the failure is counted. Only errors that exclude that the statement ran
// count as NotRun; any other error leaves the outcome unknown.
func classify(err error) (history.Outcome, string) {
	if err == nil {
		return history.Acked, ""
	}
	var connectErr connectError
	if errors.As(err, &connectErr) {
		return history.NotRun, causeConnectFailed
	}
	var pg *pgconn.PgError
	if !errors.As(err, &pg) {
		return history.Unknown, causeConnectionLost
	}
	match := resultCode.FindStringSubmatch(pg.Message)
	if match == nil {
		return history.Unknown, "sqlstate_" + pg.Code
	}
	code, _ := strconv.Atoi(match[1])
	info := result.Lookup(result.Code(code))
	if info.NotRun {
		return history.NotRun, info.Name
	}
	return history.Unknown, info.Name
}

// connectError wraps a failure to connect, after which the request was not sent.
type connectError struct{ error }

func (e connectError) Unwrap() error { return e.error }
