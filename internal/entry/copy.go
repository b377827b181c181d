package entry

import (
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/result"
)

// copyIn forwards the caller's COPY data until the caller ends the copy. With the extended
// protocol the copy ends with Sync.
func (r *relay) copyIn() error {
	if err := r.flushNow(); err != nil {
		return err
	}
	var out []byte
	for {
		msg, err := r.s.receiveCopy()
		if err != nil {
			return err
		}
		switch msg.(type) {
		case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail, *pgproto3.Sync:
			if out, err = msg.Encode(out); err != nil {
				return result.New(result.MalformedMessage, "%v", err)
			}
		case *pgproto3.Flush:
			continue
		default:
			return result.New(result.MalformedMessage, "%T is not expected during COPY", msg)
		}
		ended := r.endsCopy(msg)
		if ended || len(out) > flushBytes {
			if _, err := r.co.conn.Write(out); err != nil {
				return nil // the next read reports the lost connection
			}
			out = out[:0]
		}
		if ended {
			return nil
		}
	}
}

// endsCopy reports whether the message is the last one of the copy.
func (r *relay) endsCopy(msg pgproto3.FrontendMessage) bool {
	switch msg.(type) {
	case *pgproto3.CopyDone, *pgproto3.CopyFail:
		return r.u.simple
	case *pgproto3.Sync:
		return !r.u.simple
	}
	return false
}

// flushNow sends the queued output, which the caller needs before it sends its data.
func (r *relay) flushNow() error {
	if r.holdsOutput {
		return r.flushHeldOutput()
	}
	r.request.Streamed = true
	return r.s.conn.Flush()
}

// receiveCopy reads the next message of a copy. A shutdown does not interrupt a copy.
func (s *session) receiveCopy() (pgproto3.FrontendMessage, error) {
	for {
		msg, err := s.conn.Receive()
		var netErr net.Error
		if err == nil || !errors.As(err, &netErr) || !netErr.Timeout() {
			return msg, err
		}
		reason := s.stopReason()
		if result.CodeOf(reason) != result.ShuttingDown {
			return nil, reason
		}
		s.conn.ClearReadDeadline()
	}
}
