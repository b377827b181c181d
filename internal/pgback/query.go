package pgback

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// Rows are the rows of one statement in text format. NULL becomes an empty string.
type Rows [][]string

// ServerError is an ErrorResponse of the endpoint. The connection remains usable.
type ServerError struct {
	// Code is the SQLSTATE.
	Code    string
	Message string
}

// Error implements error.
func (e *ServerError) Error() string { return "endpoint error " + e.Code + ": " + e.Message }

// Query runs one or more SQL statements in one round trip with the simple query protocol
// and returns the rows of each. After an error other than a ServerError the connection must
// not be reused.
func (c *Conn) Query(ctx context.Context, sql string) ([]Rows, error) {
	stop := context.AfterFunc(ctx, c.Interrupt)
	defer stop()
	encoded, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		return nil, errors.Wrap(err, "encode query")
	}
	if _, err := c.Write(encoded); err != nil {
		return nil, err
	}
	return c.collect()
}

// collect reads the results up to ReadyForQuery. It returns the first ServerError, if any.
func (c *Conn) collect() ([]Rows, error) {
	var results []Rows
	var rows Rows
	var serverErr error
	for {
		msg, err := c.Receive()
		if err != nil {
			return nil, err
		}
		switch msg := msg.(type) {
		case *pgproto3.DataRow:
			rows = append(rows, textRow(msg))
		case *pgproto3.CommandComplete:
			results = append(results, rows)
			rows = nil
		case *pgproto3.ErrorResponse:
			if serverErr == nil {
				serverErr = &ServerError{Code: msg.Code, Message: msg.Message}
			}
		case *pgproto3.ReadyForQuery:
			return results, serverErr
		}
	}
}

func textRow(msg *pgproto3.DataRow) []string {
	row := make([]string, len(msg.Values))
	for i, value := range msg.Values {
		row[i] = string(value)
	}
	return row
}
