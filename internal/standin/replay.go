package standin

import (
	"context"
	"database/sql"
	"time"

	"github.com/pkg/errors"
)

// replayBatch is the maximum number of transactions in one engine transaction
// during replay.
const replayBatch = 64

// replay applies flushed transactions on a replica once the replay lag has passed.
// It returns when ctx ends or a transaction can't be applied.
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

// waitForChange waits until changed or roleChanged is closed or d has passed. A
// negative d means no time limit. It returns an error only when ctx ends.
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

// dueRecords returns the transactions to replay now or, if there is none, the time
// until the next one. The time is negative if nothing is left to replay.
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

// replayAll applies all flushed transactions regardless of the replay lag.
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

// replayRecords applies records in one engine transaction. It skips those that are
// already replayed, and all of them if the engine was replaced while it waited for
// the write semaphore.
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

// replayOn applies records over conn. The caller holds the write semaphore of eng.
func (s *Server) replayOn(eng *engine, conn *sql.Conn, records []record) error {
	ctx := context.Background() // a batch is not interrupted
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
