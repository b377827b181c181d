package standin

import (
	"context"
	"database/sql"
	"time"

	"github.com/pkg/errors"
)

// replayBatch is the number of transactions that are replayed at once.
const replayBatch = 64

// replay applies flushed transactions on a replica once they are due.
func (s *Server) replay(ctx context.Context) error {
	for {
		changed := s.wal.watch()
		role, _, roleChanged := s.watchRole()
		wait := time.Duration(-1)
		if role == RoleReplica {
			due, next := s.dueRecords(time.Now())
			if len(due) > 0 {
				if err := s.replayRecords(ctx, due); err != nil {
					return err
				}
				continue
			}
			wait = next
		}
		if err := waitForChange(ctx, changed, roleChanged, wait); err != nil {
			return err
		}
	}
}

// waitChange waits for a change of the log or the role, or for d unless it is
// negative.
func waitForChange(ctx context.Context, changed, roleChanged <-chan struct{}, d time.Duration) error {
	var expired <-chan time.Time
	if d >= 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-changed:
	case <-roleChanged:
	case <-expired:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// due returns the transactions to replay now, or the time until the next one;
// a negative time means that there is none.
func (s *Server) dueRecords(now time.Time) ([]record, time.Duration) {
	records := s.wal.recordsAfter(s.wal.replayedLSN(), replayBatch)
	lag := time.Duration(s.replayLag.Load())
	n := 0
	for n < len(records) && now.Sub(records[n].flushedAt) >= lag {
		n++
	}
	if n > 0 {
		return records[:n], 0
	}
	if len(records) == 0 {
		return nil, -1
	}
	return nil, lag - now.Sub(records[0].flushedAt)
}

// replayAll applies all that is flushed, due or not.
func (s *Server) replayAll(ctx context.Context) error {
	for {
		records := s.wal.recordsAfter(s.wal.replayedLSN(), replayBatch)
		if len(records) == 0 {
			return nil
		}
		if err := s.replayRecords(ctx, records); err != nil {
			return err
		}
	}
}

// apply replays the records that follow the replayed position, in one engine
// transaction.
func (s *Server) replayRecords(ctx context.Context, records []record) error {
	eng := s.engine()
	if err := eng.lockWrite(ctx); err != nil {
		return err
	}
	defer eng.unlockWrite()
	if eng != s.engine() {
		return nil
	}
	for len(records) > 0 && records[0].End <= s.wal.replayedLSN() {
		records = records[1:]
	}
	if len(records) == 0 {
		return nil
	}
	conn, err := eng.db.Conn(ctx)
	if err != nil {
		return errors.Wrap(err, "replay")
	}
	defer conn.Close()
	return s.replayOn(eng, conn, records)
}

func (s *Server) replayOn(eng *engine, conn *sql.Conn, records []record) error {
	ctx := context.Background() // a replay is not cut short
	if _, err := conn.ExecContext(ctx, "begin immediate"); err != nil {
		return errors.Wrap(err, "replay")
	}
	for _, r := range records {
		for _, c := range r.Changes {
			if _, err := conn.ExecContext(ctx, c.SQL, c.Args...); err != nil {
				_, _ = conn.ExecContext(ctx, "rollback") // the first error is reported
				return errors.Wrapf(err, "replay of %s at %s", c.SQL, r.End)
			}
		}
	}
	eng.invalidateColumns()
	eng.commitMu.Lock()
	defer eng.commitMu.Unlock()
	if _, err := conn.ExecContext(ctx, "commit"); err != nil {
		return errors.Wrap(err, "replay")
	}
	s.wal.setReplayed(records[len(records)-1])
	return nil
}
