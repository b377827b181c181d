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

// follow streams the primary's log while this endpoint is a replica.
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

// followOnce streams until the connection or this endpoint's role ends.
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

// dial connects to another endpoint of the group.
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

// receive runs the replica's side of a stream.
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
	acks := make(chan struct{})
	go func() {
		defer close(acks)
		s.reportStatus(ctx, fe)
	}()
	err := s.receiveRecords(fe)
	<-acks
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

// align drops what the primary's history does not have and takes it over.
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

// flushRecords adds records to the log unless a promotion has begun.
func (s *Server) flushRecords(records []record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != RoleReplica || s.promoting {
		return errors.New("no longer a replica")
	}
	return s.wal.appendReceived(records)
}

// sendStatus reports this replica's positions whenever they change.
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

// receiverRelation returns the view pg_stat_wal_receiver.
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
