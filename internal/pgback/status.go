package pgback

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Queries for the endpoint's own functions.
const (
	queryRole    = "SELECT pg_is_in_recovery(); SELECT timeline_id FROM pg_control_checkpoint()"
	queryPrimary = "SELECT pg_current_wal_lsn(); SELECT application_name, flush_lsn FROM pg_stat_replication"
)

// QueryReplayed asks a replica for its position.
const QueryReplayed = "SELECT pg_last_wal_replay_lsn()"

// Status is the state of an endpoint as it reported it.
type Status struct {
	Endpoint string
	// Asked is when the question was sent: the answer is at least as new.
	Asked time.Time
	// Err tells why the endpoint could not be asked; the other fields are then
	// unset.
	Err        error
	InRecovery bool
	// Timeline is the database timeline.
	Timeline uint32
	// LSN is the current log position of a primary or the replayed position of
	// a replica.
	LSN uint64
	// Flushed holds, on a primary, the position that each connected replica
	// has on its disk, by the name under which the replica connected.
	Flushed map[string]uint64
}

// readStatus asks for role, timeline and position.
func readStatus(ctx context.Context, c *Conn) (Status, error) {
	s := Status{Endpoint: c.Target.Endpoint, Asked: time.Now()}
	results, err := c.Query(ctx, queryRole)
	if err != nil {
		return s, err
	}
	role, err := cell(results, 0, 0)
	if err != nil {
		return s, err
	}
	s.InRecovery = role == "t" || role == "1"
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

// replayedAnew returns the status of a replica with its position read anew.
func (s *Status) replayedAnew(ctx context.Context, c *Conn) (Status, error) {
	next := *s
	next.Asked = time.Now()
	err := next.readReplayed(ctx, c)
	return next, err
}

// positionsAnew returns the status of a primary with its positions read anew.
func (s *Status) positionsAnew(ctx context.Context, c *Conn) (Status, error) {
	next := *s
	next.Asked = time.Now()
	err := next.readPositions(ctx, c)
	return next, err
}

// readReplayed asks a replica for its position.
func (s *Status) readReplayed(ctx context.Context, c *Conn) error {
	results, err := c.Query(ctx, QueryReplayed)
	if err != nil {
		return err
	}
	return s.setLSN(results)
}

// readPositions asks a primary for its position and those of its replicas.
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
		return errors.New("the endpoint's answer is incomplete")
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

func (s *Status) setLSN(results []Rows) error {
	text, err := cell(results, 0, 0)
	if err != nil || text == "" {
		return err
	}
	s.LSN, err = ParseLSN(text)
	return err
}

func cell(results []Rows, result, column int) (string, error) {
	if len(results) <= result || len(results[result]) == 0 || len(results[result][0]) <= column {
		return "", errors.New("the endpoint's answer is incomplete")
	}
	return results[result][0][column], nil
}
