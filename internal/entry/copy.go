package entry

import (
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/result"
)

// copyIn passes the caller's data on until the caller ends the copy. With the
// extended protocol the copy ends with Sync.
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
		ended := r.copyEnds(msg)
		if ended || len(out) > flushSize {
			if _, err := r.l.conn.Write(out); err != nil {
				return nil // the next read reports the loss
			}
			out = out[:0]
		}
		if ended {
			return nil
		}
	}
}

func (r *relay) copyEnds(msg pgproto3.FrontendMessage) bool {
	switch msg.(type) {
	case *pgproto3.CopyDone, *pgproto3.CopyFail:
		return r.u.simple
	case *pgproto3.Sync:
		return !r.u.simple
	}
	return false
}

// flushNow sends what is queued to a caller that waits for it.
func (r *relay) flushNow() error {
	if r.held {
		return r.releaseEarly()
	}
	r.request.Streamed = true
	return r.s.conn.Flush()
}

// receiveCopy reads the next message of a copy. A shutdown does not cut it.
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
