package entry

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/pgback"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/retry"
)

// createMarkerTable creates the table of request ids. The column "at" holds Unix time in
// milliseconds by the clock of the entry host.
const createMarkerTable = "CREATE TABLE IF NOT EXISTS galenabridge_requests " +
	"(id text PRIMARY KEY, digest text NOT NULL, at bigint NOT NULL); " +
	"CREATE INDEX IF NOT EXISTS galenabridge_requests_at ON galenabridge_requests (at)"

// SQLSTATEs of the insertion of a marker.
const (
	sqlstateUniqueViolation = "23505"
	sqlstateUndefinedTable  = "42P01"
)

// marker is the row that a request with an id writes in its own transaction. The row exists
// if and only if the request has committed, until it expires.
type marker struct {
	id     string
	digest retry.Digest
}

// takeMarker returns the marker for the next request and consumes the request id, or returns
// nil when there is none. Requests declared read-only need no marker.
func (s *session) takeMarker(u *unit, uc unitClass) (*marker, error) {
	id := s.params.requestID
	if id == "" || !uc.executes || s.readOnly() {
		return nil, nil
	}
	switch uc.kind {
	case kindWrite, kindRead:
	case kindBegin:
		if _, executed := u.statementClasses(); len(executed) > 1 {
			return nil, result.New(result.UnsupportedFeature, "a request id for BEGIN together with other statements in one pipeline")
		}
	default:
		return nil, nil
	}
	if u.simple && u.class.multi || !u.sync {
		return nil, result.New(result.UnsupportedFeature, "a request id for several statements; use a transaction")
	}
	s.params.requestID = ""
	return &marker{id: markerID(s.identity.workspace, id), digest: u.digest()}, nil
}

// markerID returns the id of a workspace's marker. It is unique for each pair, because a
// slash in the workspace is escaped.
func markerID(workspace, requestID string) string {
	return url.PathEscape(workspace) + "/" + requestID
}

// digest returns the digest of the unit's statements and parameters.
func (u *unit) digest() retry.Digest {
	parts := [][]byte{u.data}
	for _, o := range u.ops {
		if o.stmt != nil {
			parts = append(parts, []byte(o.stmt.name))
		}
	}
	return retry.DigestOf(parts...)
}

// hexDigest returns the digest in hexadecimal.
func (m *marker) hexDigest() string { return fmt.Sprintf("%x", m.digest[:]) }

// begin opens a transaction on the connection with the statement beginSQL and writes the marker.
// It returns a result.Error with code RequestAlreadyDone or RequestIDReused when the request
// has run, and a transport error when the connection is lost. It retries after it has created
// a missing table or deleted an expired marker.
func (m *marker) begin(ctx context.Context, co *checkout, beginSQL string) error {
	insert := fmt.Sprintf("%s; INSERT INTO galenabridge_requests (id, digest, at) VALUES (%s, '%s', %d)",
		beginSQL, quoteLiteral(m.id), m.hexDigest(), time.Now().UnixMilli())
	for range 3 {
		_, err := co.conn.Query(ctx, insert)
		if err == nil {
			return nil
		}
		var serverErr *pgback.ServerError
		if !errors.As(err, &serverErr) {
			return err
		}
		if _, err := co.conn.Query(ctx, "ROLLBACK"); err != nil {
			return err
		}
		switch serverErr.Code {
		case sqlstateUndefinedTable:
			if _, err := co.conn.Query(ctx, createMarkerTable); err != nil {
				return err
			}
		case sqlstateUniqueViolation:
			if err := m.checkExisting(ctx, co); err != nil {
				return err
			}
		default:
			return result.New(result.NoPrimary, "the marker of the request id cannot be written: %v", serverErr)
		}
	}
	return result.New(result.NoPrimary, "the marker of the request id cannot be written")
}

// checkExisting reads the existing marker with the same id. It returns an error when that
// marker is still valid, and deletes it when it has expired.
func (m *marker) checkExisting(ctx context.Context, co *checkout) error {
	rows, err := co.conn.Query(ctx, "SELECT digest, at FROM galenabridge_requests WHERE id = "+quoteLiteral(m.id))
	if err != nil {
		return err
	}
	if len(rows) == 0 || len(rows[0]) == 0 {
		return nil
	}
	millis, err := strconv.ParseInt(rows[0][0][1], 10, 64)
	if err != nil {
		return errors.Wrap(err, "time of the marker")
	}
	found := &retry.Marker{RequestID: m.id, WrittenAt: time.UnixMilli(millis)}
	if rows[0][0][0] == m.hexDigest() {
		found.Digest = m.digest
	}
	if err := retry.CheckMarker(found, m.digest, time.Now()); err != nil {
		return err
	}
	_, err = co.conn.Query(ctx, fmt.Sprintf("DELETE FROM galenabridge_requests WHERE id = %s AND at = %d", quoteLiteral(m.id), millis))
	return err
}

// quoteLiteral returns the text as an SQL string literal.
func quoteLiteral(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}

// sendWithMarker runs a unit that is outside a transaction, together with its marker, in a
// transaction of its own.
func (s *session) sendWithMarker(ctx context.Context, u *unit, uc unitClass, timing *timing, m *marker) (attemptOutcome, error) {
	co := s.checkout
	beginSQL := "BEGIN"
	if uc.kind == kindBegin {
		beginSQL = u.statementTexts()[0]
	}
	timing.sent = time.Now()
	switch err := m.begin(ctx, co, beginSQL); {
	case result.CodeOf(err) == result.RequestAlreadyDone:
		return outcomeAnswered, s.refuseAlreadyDone(u, err)
	case result.CodeOf(err) != 0:
		s.returnCheckout(co, true)
		return outcomeAnswered, s.refuse(err, u.sync)
	case err != nil:
		co.lost = true
		s.discardConnection()
		return outcomeRetryElsewhere, nil
	}
	s.srv.sweepMarkers(co)
	if uc.kind == kindBegin {
		return outcomeAnswered, s.answerBegin(u, co)
	}
	return s.sendUnit(u, uc, timing, m)
}

// refuseAlreadyDone refuses a request that has run before, once its write is durable.
func (s *session) refuseAlreadyDone(u *unit, refusal error) error {
	co := s.checkout
	r := &relay{s: s, co: co}
	s.returnCheckout(co, true)
	if err := r.acknowledge(); err != nil {
		return s.refuse(err, u.sync)
	}
	return s.refuse(refusal, u.sync)
}

// returnCheckout releases the session's checkout.
func (s *session) returnCheckout(co *checkout, reusable bool) {
	s.checkout = nil
	s.release(co, reusable)
}

// answerBegin reports to the caller that the transaction with the marker is open.
func (s *session) answerBegin(u *unit, co *checkout) error {
	s.setTransaction(co, true)
	tag := &pgproto3.CommandComplete{CommandTag: []byte("BEGIN")}
	if u.simple {
		if err := s.conn.Queue(tag); err != nil {
			return err
		}
		return s.ready(txActive)
	}
	return s.answerOps(u, func(*statement) error { return s.conn.Queue(tag) })
}

// endMarkedTransaction commits the transaction that was opened for the marker, or rolls it
// back when it has failed. When the unit has ended the transaction itself, nothing is sent,
// and one that is open now belongs to the caller. It returns the transaction state for the
// caller.
func (r *relay) endMarkedTransaction(status byte) (byte, error) {
	if r.committed || r.rolledBack {
		if status == txIdle && !r.committed && string(r.tag) == "ROLLBACK" {
			r.mayHaveWritten = false
		}
		return status, nil
	}
	endSQL := "COMMIT"
	if status != txActive {
		endSQL = "ROLLBACK"
		r.mayHaveWritten = false
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.s.deadline())
	defer cancel()
	if _, err := r.co.conn.Query(ctx, endSQL); err != nil {
		return txIdle, err
	}
	return txIdle, nil
}

// commitFailed answers a unit whose transaction could not be ended, because the endpoint
// refused the commit or the connection was lost.
func (r *relay) commitFailed(err error) (attemptOutcome, error) {
	var serverErr *pgback.ServerError
	if !errors.As(err, &serverErr) {
		return r.connectionLost(err)
	}
	s := r.s
	s.conn.Truncate(r.safeLength())
	s.discardConnection()
	msg := &pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: serverErr.Code, Message: serverErr.Message,
	}
	if err := s.conn.Queue(msg); err != nil {
		return outcomeAnswered, err
	}
	return outcomeAnswered, s.ready(txIdle)
}
