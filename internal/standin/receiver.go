package standin

import (
	"context"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/standin/sqltext"
)

const (
	followRetryDelay = 100 * time.Millisecond
	connectTimeout   = 5 * time.Second
	startReplication = "START_REPLICATION"
)

// follow streams the log from the upstream while this endpoint is a replica, and
// reconnects after a failure. It returns when ctx ends.
func (s *Server) follow(ctx context.Context) error {
	for {
		role, upstream, changed := s.watchRole()
		if role != RoleReplica || upstream == "" || upstream == s.Addr() {
			if err := waitForChange(ctx, changed, nil, -1); err != nil {
				return err
			}
			continue
		}
		if err := s.followUpstream(ctx, upstream, changed); err != nil {
			s.opts.Logger.Debug("standin_follow_failed", "id", s.opts.ID, "upstream", upstream, "err", err.Error())
		}
		if err := waitForChange(ctx, nil, nil, followRetryDelay); err != nil {
			return err
		}
	}
}

// followUpstream streams from one upstream until the connection fails or the role
// or the upstream of this endpoint changes, which closes changed.
func (s *Server) followUpstream(ctx context.Context, upstream string, changed <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	conn, err := s.dial(ctx, upstream, true)
	if err != nil {
		return err
	}
	hijacked, err := conn.Hijack()
	if err != nil {
		return err
	}
	defer hijacked.Conn.Close()
	stop := context.AfterFunc(ctx, func() { hijacked.Conn.Close() })
	defer stop()
	return s.receive(ctx, hijacked.Frontend)
}

// dial connects to another endpoint of the group. The connection is part of
// LinkReplication, also if it is not a replication connection.
func (s *Server) dial(ctx context.Context, addr string, replication bool) (*pgconn.PgConn, error) {
	host, portText, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, errors.Wrap(err, "endpoint address")
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, errors.Wrap(err, "endpoint port")
	}
	config, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, errors.Wrap(err, "connection settings")
	}
	config.Host, config.Port = host, uint16(port)
	config.User, config.Password, config.Database = s.opts.User, s.opts.Password, s.opts.Database
	config.ConnectTimeout = connectTimeout
	config.RuntimeParams = map[string]string{"application_name": s.opts.ID}
	if replication {
		config.RuntimeParams["replication"] = "true"
	}
	config.DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return newFaultConn(conn, s.faults, LinkReplication), nil
	}
	return pgconn.ConnectConfig(ctx, config)
}

// receive runs the replica's side of a stream: it sends the history of its log,
// reconciles the log with the primary's and flushes records until an error.
func (s *Server) receive(ctx context.Context, fe *pgproto3.Frontend) error {
	fe.SendQuery(&pgproto3.Query{String: startReplication})
	if err := fe.Flush(); err != nil {
		return err
	}
	if err := expectCopyBoth(fe); err != nil {
		return err
	}
	request := replicationRequest{ID: s.opts.ID, History: s.wal.timelines(), Flushed: s.wal.flushed()}
	if err := sendCopyData(fe, request); err != nil {
		return err
	}
	var first streamMessage
	if err := receiveStreamMessage(fe, &first); err != nil {
		return err
	}
	if err := s.reconcileLog(ctx, first); err != nil {
		return err
	}
	statusDone := make(chan struct{})
	go func() {
		defer close(statusDone)
		s.reportStatus(ctx, fe)
	}()
	err := s.receiveRecords(fe)
	<-statusDone
	return err
}

func expectCopyBoth(fe *pgproto3.Frontend) error {
	for {
		msg, err := fe.Receive()
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case *pgproto3.CopyBothResponse:
			return nil
		case *pgproto3.ErrorResponse:
			return sqlErrorf(m.Code, "%s", m.Message)
		}
	}
}

func sendCopyData(fe *pgproto3.Frontend, v any) error {
	data, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	fe.Send(&pgproto3.CopyData{Data: data})
	return fe.Flush()
}

func receiveStreamMessage(fe *pgproto3.Frontend, m *streamMessage) error {
	msg, err := fe.Receive()
	if err != nil {
		return err
	}
	data, ok := msg.(*pgproto3.CopyData)
	if !ok {
		return sqlErrorf(sqlStateProtocolViolation, "unexpected message %T", msg)
	}
	return cborDecoding.Unmarshal(data.Data, m)
}

// reconcileLog drops the records after the common position and adopts the
// primary's history. It fails unless this endpoint is still a replica.
func (s *Server) reconcileLog(ctx context.Context, first streamMessage) error {
	s.mu.Lock()
	isReplica := s.role == RoleReplica && !s.promoting
	s.mu.Unlock()
	if !isReplica {
		return errors.New("no longer a replica")
	}
	if s.wal.flushed() > first.From {
		if err := s.rebuild(ctx, first.From); err != nil {
			return err
		}
	}
	return s.wal.adoptHistory(first.History)
}

func (s *Server) receiveRecords(fe *pgproto3.Frontend) error {
	for {
		var m streamMessage
		if err := receiveStreamMessage(fe, &m); err != nil {
			return err
		}
		if err := s.flushRecords(m.Records); err != nil {
			return err
		}
	}
}

// flushRecords adds records to the log. It fails once a promotion has begun, so
// that the log does not grow past the start of the new timeline.
func (s *Server) flushRecords(records []record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != RoleReplica || s.promoting {
		return errors.New("no longer a replica")
	}
	return s.wal.appendReceived(records)
}

// reportStatus sends this replica's positions to the primary whenever the log
// changes.
func (s *Server) reportStatus(ctx context.Context, fe *pgproto3.Frontend) {
	for {
		changed := s.wal.watch()
		status := replicationStatus{Flushed: s.wal.flushed(), Replayed: s.wal.replayedLSN()}
		if err := sendCopyData(fe, status); err != nil {
			return
		}
		if err := waitForChange(ctx, changed, nil, -1); err != nil {
			return
		}
	}
}

// statWALReceiver returns the view pg_stat_wal_receiver. It has a row on a replica
// with an upstream, whether or not the stream is connected.
func (s *Server) statWALReceiver() sqltext.Relation {
	rel := sqltext.Relation{Columns: strings.Fields("status received_tli flushed_lsn sender")}
	role, upstream, _ := s.watchRole()
	if role == RoleReplica && upstream != "" {
		rel.Rows = [][]string{{
			"'streaming'", strconv.Itoa(int(s.wal.currentTimeline())), lsnLiteral(s.wal.flushed()), sqltext.Quote(upstream),
		}}
	}
	return rel
}
