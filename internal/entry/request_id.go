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

// createMarkers makes the table of request ids. The column "at" holds Unix
// time in milliseconds by the clock of the entry host.
const createMarkers = "CREATE TABLE IF NOT EXISTS galenabridge_requests " +
	"(id text PRIMARY KEY, digest text NOT NULL, at bigint NOT NULL); " +
	"CREATE INDEX IF NOT EXISTS galenabridge_requests_at ON galenabridge_requests (at)"

// SQLSTATEs that the insertion of a marker meets.
const (
	stateDuplicate = "23505"
	stateNoTable   = "42P01"
)

// marker is the row that a request with an id writes in its own transaction.
type marker struct {
	id     string
	digest retry.Digest
}

// takeMarker returns the marker for the next request and uses the request id
// up, or nil when there is none. What is declared read-only needs no marker.
func (s *session) takeMarker(u *unit, p purpose) (*marker, error) {
	id := s.param.requestID
	if id == "" || !p.executes || s.readOnly() {
		return nil, nil
	}
	switch p.kind {
	case kindWrite, kindRead:
	case kindBegin:
		if _, executed := u.classes(); len(executed) > 1 {
			return nil, result.New(result.UnsupportedFeature, "a request id for BEGIN and more in one pipeline")
		}
	default:
		return nil, nil
	}
	if u.simple && u.class.multi || !u.sync {
		return nil, result.New(result.UnsupportedFeature, "a request id for several statements; use a transaction")
	}
	s.param.requestID = ""
	return &marker{id: markerID(s.who.workspace, id), digest: u.digest()}, nil
}

// markerID names a workspace's request. No two pairs share a name: a slash in
// the workspace is escaped.
func markerID(workspace, requestID string) string {
	return url.PathEscape(workspace) + "/" + requestID
}

// digest identifies the unit's statements and parameters.
func (u *unit) digest() retry.Digest {
	parts := [][]byte{u.data}
	for _, o := range u.ops {
		if o.stmt != nil {
			parts = append(parts, []byte(o.stmt.name))
		}
	}
	return retry.DigestOf(parts...)
}

// text returns the digest in hexadecimal.
func (m *marker) text() string { return fmt.Sprintf("%x", m.digest[:]) }

// begin opens a transaction on the lease and writes the marker. It returns a
// result.Error with code RequestAlreadyDone or RequestIDReused when the request
// has run, and an error of the transport when the connection is lost.
func (m *marker) begin(ctx context.Context, l *lease, open string) error {
	insert := fmt.Sprintf("%s; INSERT INTO galenabridge_requests (id, digest, at) VALUES (%s, '%s', %d)",
		open, quote(m.id), m.text(), time.Now().UnixMilli())
	for range 3 {
		_, err := l.conn.Query(ctx, insert)
		if err == nil {
			return nil
		}
		var refused *pgback.ServerError
		if !errors.As(err, &refused) {
			return err
		}
		if _, err := l.conn.Query(ctx, "ROLLBACK"); err != nil {
			return err
		}
		switch refused.Code {
		case stateNoTable:
			if _, err := l.conn.Query(ctx, createMarkers); err != nil {
				return err
			}
		case stateDuplicate:
			if err := m.check(ctx, l); err != nil {
				return err
			}
		default:
			return result.New(result.NoPrimary, "the marker of the request id cannot be written: %v", refused)
		}
	}
	return result.New(result.NoPrimary, "the marker of the request id cannot be written")
}

// check reads the marker that is in the way. An expired one is deleted.
func (m *marker) check(ctx context.Context, l *lease) error {
	rows, err := l.conn.Query(ctx, "SELECT digest, at FROM galenabridge_requests WHERE id = "+quote(m.id))
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
	found := &retry.Marker{RequestID: m.id, Written: time.UnixMilli(millis)}
	if rows[0][0][0] == m.text() {
		found.Digest = m.digest
	}
	if err := retry.CheckMarker(found, m.digest, time.Now()); err != nil {
		return err
	}
	_, err = l.conn.Query(ctx, fmt.Sprintf("DELETE FROM galenabridge_requests WHERE id = %s AND at = %d", quote(m.id), millis))
	return err
}

func quote(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}

// sendMarked runs a unit outside a transaction together with its marker.
func (s *session) sendMarked(ctx context.Context, u *unit, p purpose, timing *timing, m *marker) (verdict, error) {
	l := s.lease
	open := "BEGIN"
	if p.kind == kindBegin {
		open = u.settingTexts()[0]
	}
	timing.sent = time.Now()
	switch err := m.begin(ctx, l, open); {
	case result.CodeOf(err) == result.RequestAlreadyDone:
		return doneHere, s.alreadyDone(u, err)
	case result.CodeOf(err) != 0:
		s.giveBack(l, true)
		return doneHere, s.refuse(err, u.sync)
	case err != nil:
		l.lost = true
		s.abandon()
		return retryOther, nil
	}
	s.srv.sweepMarkers(l)
	if p.kind == kindBegin {
		return doneHere, s.answerBegin(u, l)
	}
	return s.sendUnit(u, p, timing, m)
}

// alreadyDone refuses a request that has run once what it wrote is safe.
func (s *session) alreadyDone(u *unit, refusal error) error {
	l := s.lease
	r := &relay{s: s, l: l}
	s.giveBack(l, true)
	if err := r.acknowledge(); err != nil {
		return s.refuse(err, u.sync)
	}
	return s.refuse(refusal, u.sync)
}

// giveBack returns the session's lease.
func (s *session) giveBack(l *lease, reusable bool) {
	s.lease = nil
	s.release(l, reusable)
}

// answerBegin tells the caller that the transaction which holds the marker is
// open.
func (s *session) answerBegin(u *unit, l *lease) error {
	s.setTransaction(l, true)
	tag := &pgproto3.CommandComplete{CommandTag: []byte("BEGIN")}
	if u.simple {
		if err := s.conn.Queue(tag); err != nil {
			return err
		}
		return s.ready(txActive)
	}
	return s.answerOps(u, func(*statement) error { return s.conn.Queue(tag) })
}

// finishMarked ends the transaction that was opened for the marker. It reports
// the transaction state for the caller.
func (r *relay) finishMarked(status byte) (byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), r.s.deadline())
	defer cancel()
	end := "COMMIT"
	if status != txActive {
		end = "ROLLBACK"
		r.wrote = false
	}
	if status == txIdle {
		return status, nil
	}
	if _, err := r.l.conn.Query(ctx, end); err != nil {
		return txIdle, err
	}
	return txIdle, nil
}

// lostCommit answers a unit whose transaction could not be ended: the endpoint
// refused the commit, or the connection was lost.
func (r *relay) lostCommit(err error) (verdict, error) {
	var refused *pgback.ServerError
	if !errors.As(err, &refused) {
		return r.lost(err)
	}
	s := r.s
	s.conn.Truncate(r.keep())
	s.abandon()
	msg := &pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: refused.Code, Message: refused.Message,
	}
	if err := s.conn.Queue(msg); err != nil {
		return doneHere, err
	}
	return doneHere, s.ready(txIdle)
}
