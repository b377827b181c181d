package standin

import (
	"context"

	"github.com/galenabridge/galenabridge/internal/standin/sqltext"
)

// hold tells what a transaction holds in the SQL engine.
type engineTxKind uint8

const (
	engineTxNone engineTxKind = iota
	engineTxSnapshot
	engineTxWrite
)

// txState is the state of a session's transaction. Without a snapshot each
// statement reads what is committed when it starts (read committed); the engine
// transaction and the right to write are taken at the first write.
type txState struct {
	// block is set from BEGIN to the end of the transaction.
	block bool
	// implicit is set while statements of one query or up to Sync share a
	// transaction without BEGIN.
	implicit   bool
	failed     bool
	mode       txMode
	engineTx   engineTxKind
	changes    []change
	savepoints []savepoint
	// settings are those to return to on rollback; locals those to return to in
	// any case.
	rollbackSettings map[string]string
	commitSettings   map[string]string
	wrote            bool
}

type savepoint struct {
	name        string
	changeCount int
}

// status returns the transaction status of ReadyForQuery.
func (t *txState) status() byte {
	switch {
	case t.block && t.failed:
		return 'E'
	case t.block:
		return 'T'
	}
	return 'I'
}

// begin opens a transaction block.
func (s *session) begin(st *sqltext.Statement) {
	if s.tx.block {
		return
	}
	s.openTx()
	s.tx.block = true
	s.tx.mode = parseMode(st.Tokens, s.tx.mode)
}

// openTx prepares a transaction, explicit or not.
func (s *session) openTx() {
	if s.tx.block || s.tx.implicit {
		return
	}
	isolation := s.settings[settingIsolation]
	s.tx = txState{
		implicit: true,
		mode: txMode{
			readOnly: isOn(s.settings[settingReadOnly]),
			snapshot: isolation == "repeatable read" || isolation == "serializable",
		},
		rollbackSettings: copySettings(s.settings),
	}
}

// ensureRead takes a snapshot when the isolation level asks for one.
func (s *session) ensureSnapshot(ctx context.Context) error {
	if s.tx.engineTx != engineTxNone || !s.tx.mode.snapshot || !s.tx.block {
		return nil
	}
	if !s.tx.mode.readOnly && s.srv.isPrimary() {
		return s.ensureWrite(ctx, "a statement")
	}
	s.eng.commitMu.RLock()
	for _, text := range []string{"begin", "select count(*) from sqlite_master"} {
		if _, err := s.db.ExecContext(ctx, text); err != nil {
			s.eng.commitMu.RUnlock()
			return err
		}
	}
	s.tx.engineTx = engineTxSnapshot
	return nil
}

// ensureWrite takes the right to write for a command.
func (s *session) ensureWrite(ctx context.Context, command string) error {
	if !s.srv.isPrimary() || s.tx.mode.readOnly {
		return sqlErrorf(sqlStateReadOnlyTx, "cannot execute %s in a read-only transaction", command)
	}
	if s.tx.engineTx == engineTxWrite {
		return nil
	}
	if err := s.eng.lockWrite(ctx); err != nil {
		return err
	}
	if _, err := s.db.ExecContext(ctx, "begin immediate"); err != nil {
		s.eng.unlockWrite()
		return err
	}
	s.tx.engineTx = engineTxWrite
	return nil
}

// commit ends the transaction. A transaction that failed is rolled back; the
// first value reports a commit.
func (s *session) commit() (bool, error) {
	if s.tx.failed {
		s.rollback()
		return false, nil
	}
	err := s.commitEngine()
	if err != nil {
		s.rollback()
		return false, err
	}
	if s.tx.commitSettings != nil {
		s.settings = s.tx.commitSettings
	}
	wrote := s.tx.wrote
	s.tx = txState{}
	if wrote && s.srv.faults.consumeDrop() {
		return false, errConnectionClosed
	}
	return true, nil
}

func (s *session) commitEngine() error {
	switch s.tx.engineTx {
	case engineTxSnapshot:
		s.releaseSnapshot()
	case engineTxWrite:
		if len(s.tx.changes) == 0 {
			s.releaseWrite()
			return nil
		}
		if err := s.srv.commit(s); err != nil {
			return err
		}
		s.tx.wrote = true
		s.tx.engineTx = engineTxNone
		s.eng.unlockWrite()
	}
	return nil
}

func (s *session) releaseSnapshot() {
	_, _ = s.db.ExecContext(context.Background(), "rollback") // nothing was written
	s.eng.commitMu.RUnlock()
	s.tx.engineTx = engineTxNone
}

func (s *session) releaseWrite() {
	_, _ = s.db.ExecContext(context.Background(), "rollback") // fails only when it already happened
	s.eng.invalidateColumns()
	s.tx.engineTx = engineTxNone
	s.eng.unlockWrite()
}

// rollback ends the transaction without its changes.
func (s *session) rollback() {
	s.releaseEngine()
	if s.tx.rollbackSettings != nil {
		s.settings = s.tx.rollbackSettings
	}
	s.tx = txState{}
}

func (s *session) releaseEngine() {
	switch s.tx.engineTx {
	case engineTxSnapshot:
		s.releaseSnapshot()
	case engineTxWrite:
		s.releaseWrite()
	}
}

// abort marks the transaction as failed. Without savepoints its changes are
// undone at once.
func (s *session) abort() {
	if !s.tx.block {
		s.rollback()
		return
	}
	s.tx.failed = true
	if len(s.tx.savepoints) == 0 {
		s.releaseEngine()
		s.tx.changes = nil
	}
}

// setSavepoint serves SAVEPOINT.
func (s *session) setSavepoint(ctx context.Context, name string) error {
	if !s.tx.block {
		return sqlErrorf(sqlStateNoActiveTx, "SAVEPOINT can only be used in transaction blocks")
	}
	if !s.tx.mode.readOnly && s.srv.isPrimary() {
		if err := s.ensureWrite(ctx, "SAVEPOINT"); err != nil {
			return err
		}
		if _, err := s.db.ExecContext(ctx, "savepoint "+quoteName(name)); err != nil {
			return err
		}
	}
	s.tx.savepoints = append(s.tx.savepoints, savepoint{name: name, changeCount: len(s.tx.changes)})
	return nil
}

// endSavepoint serves RELEASE and ROLLBACK TO.
func (s *session) endSavepoint(ctx context.Context, name string, rollback bool) error {
	i := len(s.tx.savepoints) - 1
	for i >= 0 && s.tx.savepoints[i].name != name {
		i--
	}
	if i < 0 {
		return sqlErrorf(sqlStateInvalidSavepoint, "savepoint %q does not exist", name)
	}
	text, keep := "release ", i
	if rollback {
		text, keep = "rollback to ", i+1
	}
	if s.tx.engineTx == engineTxWrite {
		if _, err := s.db.ExecContext(ctx, text+quoteName(name)); err != nil {
			return err
		}
	}
	if rollback {
		s.tx.changes = s.tx.changes[:s.tx.savepoints[i].changeCount]
		s.tx.failed = false
		s.eng.invalidateColumns()
	}
	s.tx.savepoints = s.tx.savepoints[:keep]
	return nil
}

func quoteName(name string) string {
	return `"` + name + `"`
}
