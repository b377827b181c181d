package pgback

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Status queries. queryPrimary fails on a replica.
const (
	queryRole    = "SELECT pg_is_in_recovery(); SELECT timeline_id FROM pg_control_checkpoint()"
	queryPrimary = "SELECT pg_current_wal_lsn(); SELECT application_name, flush_lsn FROM pg_stat_replication"
)

// QueryReplayed is the SQL query for the replay position of a replica.
const QueryReplayed = "SELECT pg_last_wal_replay_lsn()"

// Status is the state that an endpoint reported.
type Status struct {
	Endpoint string
	// QueriedAt is when the query was started; the reported state is at least as recent.
	QueriedAt time.Time
	// Err is the reason why the query failed. If it is set, no other field except Endpoint
	// and QueriedAt is valid.
	Err        error
	InRecovery bool
	// Timeline is the database timeline.
	Timeline uint32
	// LSN is the current WAL position of a primary or the replay position of
	// a replica.
	LSN uint64
	// Flushed is set for a primary: the position that each connected replica has flushed to
	// disk, keyed by the application_name of the replica.
	Flushed map[string]uint64
}

// readStatus queries role, timeline and position.
func readStatus(ctx context.Context, c *Conn) (Status, error) {
	s := Status{Endpoint: c.Target.Endpoint, QueriedAt: time.Now()}
	results, err := c.Query(ctx, queryRole)
	if err != nil {
		return s, err
	}
	inRecovery, err := cell(results, 0, 0)
	if err != nil {
		return s, err
	}
	s.InRecovery = inRecovery == "t" || inRecovery == "1"
	text, err := cell(results, 1, 0)
	if err != nil {
		return s, err
	}
	timeline, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return s, errors.Wrap(err, "timeline")
	}
	s.Timeline = uint32(timeline)
	if s.InRecovery {
		err = s.readReplayed(ctx, c)
		return s, err
	}
	err = s.readPositions(ctx, c)
	return s, err
}

// refreshReplayed returns a copy of the status of a replica with a new replay position.
func (s *Status) refreshReplayed(ctx context.Context, c *Conn) (Status, error) {
	next := *s
	next.QueriedAt = time.Now()
	err := next.readReplayed(ctx, c)
	return next, err
}

// refreshPositions returns a copy of the status of a primary with new positions.
func (s *Status) refreshPositions(ctx context.Context, c *Conn) (Status, error) {
	next := *s
	next.QueriedAt = time.Now()
	err := next.readPositions(ctx, c)
	return next, err
}

// readReplayed queries the replay position of a replica.
func (s *Status) readReplayed(ctx context.Context, c *Conn) error {
	results, err := c.Query(ctx, QueryReplayed)
	if err != nil {
		return err
	}
	return s.setLSN(results)
}

// readPositions queries the position of a primary and the positions that its replicas have
// flushed.
func (s *Status) readPositions(ctx context.Context, c *Conn) error {
	results, err := c.Query(ctx, queryPrimary)
	if err != nil {
		return err
	}
	if err := s.setLSN(results); err != nil {
		return err
	}
	s.Flushed = make(map[string]uint64)
	if len(results) < 2 {
		return errors.New("the result of the status query is incomplete")
	}
	for _, row := range results[1] {
		if len(row) < 2 || row[1] == "" {
			continue
		}
		lsn, err := ParseLSN(row[1])
		if err != nil {
			return err
		}
		s.Flushed[row[0]] = lsn
	}
	return nil
}

// setLSN sets LSN from the first cell. If the cell is NULL, LSN keeps its value.
func (s *Status) setLSN(results []Rows) error {
	text, err := cell(results, 0, 0)
	if err != nil || text == "" {
		return err
	}
	s.LSN, err = ParseLSN(text)
	return err
}

// cell returns a column of the first row of a result.
func cell(results []Rows, result, column int) (string, error) {
	if len(results) <= result || len(results[result]) == 0 || len(results[result][0]) <= column {
		return "", errors.New("the result of the status query is incomplete")
	}
	return results[result][0][column], nil
}
