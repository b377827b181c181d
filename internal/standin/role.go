package standin

import (
	"context"

	"github.com/pkg/errors"
)

const createRecordsTable = "create table records(id text primary key, workspace text, body text, filed_at text)"

// restore replays the log kept on disk. On a primary with an empty log it creates
// the table "records" if Options.RecordsTable is set.
func (s *Server) restore() error {
	if s.wal.flushed() > firstLSN {
		if err := s.replayAll(s.ctx); err != nil {
			return err
		}
	}
	if err := s.wal.file.saveRole(s.role); err != nil {
		return err
	}
	if !s.opts.RecordsTable || !s.isPrimary() || s.wal.flushed() > firstLSN {
		return nil
	}
	if _, err := s.engine().db.ExecContext(s.ctx, createRecordsTable); err != nil {
		return errors.Wrap(err, "create table")
	}
	_, err := s.wal.appendLocal([]change{{SQL: createRecordsTable}})
	return err
}

// promote makes a replica the primary of a new timeline that starts at the end of
// its flushed log. It stops receiving, replays all flushed records, starts the
// timeline and then changes the role.
func (s *Server) promote(ctx context.Context) error {
	s.roleMu.Lock()
	defer s.roleMu.Unlock()
	if s.isPrimary() {
		return sqlErrorf(sqlStateNotInPrerequisiteState, "recovery is not in progress")
	}
	s.setPromoting(true)
	defer s.setPromoting(false)
	if err := s.replayAll(ctx); err != nil {
		return err
	}
	timelineID, err := s.wal.startTimeline(s.opts.ID)
	if err != nil {
		return err
	}
	if err := s.setRole(RolePrimary); err != nil {
		return err
	}
	s.opts.Logger.Info("standin_promoted", "id", s.opts.ID, "timeline", timelineID, "lsn", s.wal.flushed())
	return nil
}

// setPromoting stops or resumes receiving the primary's log.
func (s *Server) setPromoting(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.promoting = on
	s.notifyLocked()
}

// setRole saves the role and then makes it effective.
func (s *Server) setRole(role Role) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.wal.file.saveRole(role); err != nil {
		return err
	}
	s.role = role
	s.notifyLocked()
	return nil
}

// demote makes a primary a replica of upstream. It ends all sessions and rolls
// back their open transactions. On a replica it does nothing.
func (s *Server) demote(upstream string) error {
	s.roleMu.Lock()
	defer s.roleMu.Unlock()
	if !s.isPrimary() {
		return nil
	}
	if err := s.setRole(RoleReplica); err != nil {
		return err
	}
	s.SetUpstream(upstream)
	s.terminateSessions()
	s.opts.Logger.Info("standin_demoted", "id", s.opts.ID, "upstream", upstream)
	return nil
}

// SetUpstream sets the address of the primary that the endpoint follows as a
// replica.
func (s *Server) SetUpstream(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.upstream == addr {
		return
	}
	s.upstream = addr
	s.notifyLocked()
}

// terminateSessions ends all sessions, including those of replicas.
func (s *Server) terminateSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, session := range s.sessions {
		session.terminate()
	}
}

// rebuild drops the log after l and replaces the database by an empty one, into
// which the replay task applies the remaining log. It ends sessions both before and
// after the replacement, since sessions may open on the old database meanwhile.
func (s *Server) rebuild(ctx context.Context, l LSN) error {
	old := s.engine()
	s.terminateSessions()
	if err := old.lockWrite(ctx); err != nil {
		return err
	}
	defer old.unlockWrite()
	fresh, err := openEngine()
	if err != nil {
		return err
	}
	oldEnd := s.wal.flushed()
	if _, err := s.wal.truncate(l); err != nil {
		fresh.close()
		return err
	}
	s.mu.Lock()
	s.eng = fresh
	s.mu.Unlock()
	s.terminateSessions()
	old.close()
	s.opts.Logger.Warn("standin_log_dropped", "id", s.opts.ID, "from", l, "to", oldEnd)
	return nil
}
