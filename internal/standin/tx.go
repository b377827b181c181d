package standin

import (
	"context"
	"maps"

	"github.com/galenabridge/galenabridge/internal/standin/sqltext"
)

// engineTxKind is the kind of engine transaction that a session has open. A snapshot
// holds the read lock of engine.commitMu, a write transaction holds engine.writeSem.
type engineTxKind uint8

const (
	engineTxNone engineTxKind = iota
	engineTxSnapshot
	engineTxWrite
)

// txState is the state of a session's transaction. Without a snapshot each statement
// reads the data committed when it starts (read committed). The write semaphore and a
// write transaction of the engine are acquired at the first write or savepoint, or at
// the first statement of a block with snapshot isolation that may write.
type txState struct {
	// inBlock is set from BEGIN to the end of the transaction block.
	inBlock bool
	// implicit is set while the statements of one Query message, or the messages up
	// to Sync, share a transaction without BEGIN.
	implicit bool
	// failed is set after an error in a transaction block.
	failed     bool
	mode       txMode
	engineTx   engineTxKind
	changes    []change
	savepoints []savepoint
	// rollbackSettings are the settings to restore on rollback. commitSettings are
	// those to restore on commit; it is nil unless SET LOCAL was used.
	rollbackSettings map[string]string
	commitSettings   map[string]string
	// committedWrite is set once changes have been committed in the engine.
	committedWrite bool
}

type savepoint struct {
	name string
	// changeCount is the number of changes of the transaction before the savepoint.
	changeCount int
	// settings and commitSettings are the session's settings and those of txState before the
	// savepoint.
	settings, commitSettings map[string]string
}

// status returns the transaction status of ReadyForQuery.
func (t *txState) status() byte {
	switch {
	case t.inBlock && t.failed:
		return 'E'
	case t.inBlock:
		return 'T'
	}
	return 'I'
}

// begin opens a transaction block. Inside a block it does nothing.
func (s *session) begin(st *sqltext.Statement) {
	if s.tx.inBlock {
		return
	}
	s.openTx()
	s.tx.inBlock = true
	s.tx.mode = parseTxMode(st.Tokens, s.tx.mode)
}

// openTx starts an implicit transaction unless a transaction is open.
func (s *session) openTx() {
	if s.tx.inBlock || s.tx.implicit {
		return
	}
	isolation := s.settings[settingDefaultIsolation]
	s.tx = txState{
		implicit: true,
		mode: txMode{
			readOnly: isOn(s.settings[settingDefaultReadOnly]),
			snapshot: isolation == "repeatable read" || isolation == "serializable",
		},
		rollbackSettings: copySettings(s.settings),
	}
}

// ensureSnapshot opens a snapshot if the isolation level of a block requires one. On
// a primary, a block that is not read-only opens a write transaction instead.
func (s *session) ensureSnapshot(ctx context.Context) error {
	if s.tx.engineTx != engineTxNone || !s.tx.mode.snapshot || !s.tx.inBlock {
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

// ensureWrite acquires the write semaphore and opens a write transaction in the
// engine. It fails on a replica and in a read-only transaction.
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

// commit ends the transaction and reports whether it was committed. A failed
// transaction is rolled back.
func (s *session) commit() (bool, error) {
	if s.tx.failed {
		s.rollback()
		return false, nil
	}
	err := s.commitEngineTx()
	if err != nil {
		s.rollback()
		return false, err
	}
	if s.tx.commitSettings != nil {
		s.settings = s.tx.commitSettings
	}
	committedWrite := s.tx.committedWrite
	s.tx = txState{}
	if committedWrite && s.srv.faults.consumeDrop() {
		return false, errConnectionClosed
	}
	return true, nil
}

// commitEngineTx ends the engine transaction. A write transaction without changes is
// rolled back and leaves no record in the log.
func (s *session) commitEngineTx() error {
	switch s.tx.engineTx {
	case engineTxSnapshot:
		s.releaseSnapshot()
	case engineTxWrite:
		if len(s.tx.changes) == 0 {
			s.rollbackWrite()
			return nil
		}
		if err := s.srv.commit(s); err != nil {
			return err
		}
		s.tx.committedWrite = true
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

func (s *session) rollbackWrite() {
	_, _ = s.db.ExecContext(context.Background(), "rollback") // fails only if already rolled back
	s.eng.invalidateColumns()
	s.tx.engineTx = engineTxNone
	s.eng.unlockWrite()
}

// rollback ends the transaction and undoes its changes, including settings.
func (s *session) rollback() {
	s.rollbackEngineTx()
	if s.tx.rollbackSettings != nil {
		s.settings = s.tx.rollbackSettings
	}
	s.tx = txState{}
}

func (s *session) rollbackEngineTx() {
	switch s.tx.engineTx {
	case engineTxSnapshot:
		s.releaseSnapshot()
	case engineTxWrite:
		s.rollbackWrite()
	}
}

// abort handles an error of a statement. It rolls back an implicit transaction and
// marks a block as failed. Without savepoints the engine transaction of the block
// ends at once, otherwise ROLLBACK TO may still resume it.
func (s *session) abort() {
	if !s.tx.inBlock {
		s.rollback()
		return
	}
	s.tx.failed = true
	if len(s.tx.savepoints) == 0 {
		s.rollbackEngineTx()
		s.tx.changes = nil
	}
}

// setSavepoint runs SAVEPOINT. A block that may write opens its write transaction.
func (s *session) setSavepoint(ctx context.Context, name string) error {
	if !s.tx.inBlock {
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
	s.tx.savepoints = append(s.tx.savepoints, savepoint{
		name: name, changeCount: len(s.tx.changes), settings: maps.Clone(s.settings), commitSettings: maps.Clone(s.tx.commitSettings),
	})
	return nil
}

// endSavepoint runs RELEASE or, with rollback set, ROLLBACK TO, which keeps the
// savepoint and clears the failed state.
func (s *session) endSavepoint(ctx context.Context, name string, rollback bool) error {
	i := len(s.tx.savepoints) - 1
	for i >= 0 && s.tx.savepoints[i].name != name {
		i--
	}
	if i < 0 {
		return sqlErrorf(sqlStateInvalidSavepoint, "savepoint %q does not exist", name)
	}
	text, remaining := "release ", i
	if rollback {
		text, remaining = "rollback to ", i+1
	}
	if s.tx.engineTx == engineTxWrite {
		if _, err := s.db.ExecContext(ctx, text+quoteName(name)); err != nil {
			return err
		}
	}
	if rollback {
		s.tx.changes = s.tx.changes[:s.tx.savepoints[i].changeCount]
		s.tx.failed = false
		s.settings = maps.Clone(s.tx.savepoints[i].settings)
		s.tx.commitSettings = maps.Clone(s.tx.savepoints[i].commitSettings)
		s.eng.invalidateColumns()
	}
	s.tx.savepoints = s.tx.savepoints[:remaining]
	return nil
}

func quoteName(name string) string {
	return `"` + name + `"`
}
