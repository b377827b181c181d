package standin

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/galenabridge/galenabridge/internal/standin/sqltext"
)

// sendBatch is the maximum number of transactions in one replication message.
const sendBatch = 256

// replicationRequest is the first message of a replica. It requests the stream
// after the last position that the replica's log shares with the primary's.
type replicationRequest struct {
	ID      string     `cbor:"1,keyasint"`
	History []timeline `cbor:"2,keyasint"`
	Flushed LSN        `cbor:"3,keyasint"`
}

// streamMessage carries transactions to a replica. The first message of a stream
// carries no transactions but the history and the position after which the stream
// starts.
type streamMessage struct {
	History []timeline `cbor:"1,keyasint,omitempty"`
	From    LSN        `cbor:"2,keyasint,omitempty"`
	Records []record   `cbor:"3,keyasint,omitempty"`
}

// replicationStatus reports a replica's positions to its primary.
type replicationStatus struct {
	Flushed  LSN `cbor:"1,keyasint"`
	Replayed LSN `cbor:"2,keyasint"`
}

// connectedReplica is a replica that is streaming from this primary. Its status is
// guarded by Server.mu.
type connectedReplica struct {
	id     string
	status replicationStatus
}

// serveReplication runs START_REPLICATION until the connection ends. A goroutine
// reads the replica's status messages meanwhile. It always returns an error.
func (s *session) serveReplication(st *sqltext.Statement) error {
	if !s.srv.isPrimary() {
		return sqlErrorf(sqlStateNotInPrerequisiteState, "recovery is in progress")
	}
	s.be.Send(&pgproto3.CopyBothResponse{})
	if err := s.be.Flush(); err != nil {
		return errConnectionClosed
	}
	var request replicationRequest
	if err := s.receiveCopyData(&request); err != nil {
		return errConnectionClosed
	}
	replica := &connectedReplica{id: request.ID}
	s.srv.addReplica(replica)
	defer s.srv.removeReplica(replica)
	ctx, cancel := context.WithCancel(s.ctx)
	go func() {
		defer cancel()
		s.receiveStatus(replica)
	}()
	err := s.stream(ctx, request)
	s.conn.Close()
	<-ctx.Done()
	s.srv.opts.Logger.Debug("standin_stream_ended", "id", s.srv.opts.ID, "replica", replica.id, "err", fmt.Sprint(err))
	return errConnectionClosed
}

func (s *session) receiveCopyData(v any) error {
	msg, err := s.be.Receive()
	if err != nil {
		return err
	}
	data, ok := msg.(*pgproto3.CopyData)
	if !ok {
		return sqlErrorf(sqlStateProtocolViolation, "unexpected message %T", msg)
	}
	return cborDecoding.Unmarshal(data.Data, v)
}

func (s *session) receiveStatus(replica *connectedReplica) {
	for {
		var status replicationStatus
		if err := s.receiveCopyData(&status); err != nil {
			return
		}
		s.srv.mu.Lock()
		replica.status = status
		s.srv.mu.Unlock()
	}
}

// stream sends the log from the common position on while this endpoint is the
// primary. It always returns an error.
func (s *session) stream(ctx context.Context, request replicationRequest) error {
	log := s.srv.log()
	history := log.timelines()
	sent := commonPosition(history, request.History, min(request.Flushed, log.flushed()))
	if err := s.sendStreamMessage(streamMessage{History: history, From: sent}); err != nil {
		return err
	}
	for {
		changed := log.watch()
		role, _, roleChanged := s.srv.watchRole()
		if role != RolePrimary {
			return sqlErrorf(sqlStateNotInPrerequisiteState, "no longer the primary")
		}
		records := log.recordsAfter(sent, sendBatch)
		if len(records) == 0 {
			if err := waitForChange(ctx, changed, roleChanged, -1); err != nil {
				return err
			}
			continue
		}
		last := records[len(records)-1]
		if err := s.waitReplicationDelay(ctx, last); err != nil {
			return err
		}
		if err := s.sendStreamMessage(streamMessage{Records: records}); err != nil {
			return err
		}
		sent = last.End
	}
}

// waitReplicationDelay waits until the replication delay has passed since r was
// flushed on this endpoint.
func (s *session) waitReplicationDelay(ctx context.Context, r record) error {
	delay := time.Duration(s.srv.replicationDelay.Load())
	return sleep(ctx, delay-time.Since(r.flushedAt))
}

func (s *session) sendStreamMessage(m streamMessage) error {
	data, err := cbor.Marshal(m)
	if err != nil {
		return err
	}
	s.be.Send(&pgproto3.CopyData{Data: data})
	return s.be.Flush()
}

func (s *Server) addReplica(replica *connectedReplica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replicas[replica] = struct{}{}
}

func (s *Server) removeReplica(replica *connectedReplica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.replicas, replica)
}

// statReplication returns the view pg_stat_replication. Positions are NULL until
// the replica has sent its first status.
func (s *Server) statReplication() sqltext.Relation {
	rel := sqltext.Relation{Columns: strings.Fields(
		"application_name state sent_lsn write_lsn flush_lsn replay_lsn sync_state")}
	s.mu.Lock()
	defer s.mu.Unlock()
	for replica := range s.replicas {
		flushed, replayed := nullLiteral, nullLiteral
		if replica.status.Flushed > 0 {
			flushed, replayed = lsnLiteral(replica.status.Flushed), lsnLiteral(replica.status.Replayed)
		}
		rel.Rows = append(rel.Rows, []string{
			sqltext.Quote(replica.id), "'streaming'", flushed, flushed, flushed, replayed, "'async'",
		})
	}
	return rel
}
