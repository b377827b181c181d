package standin

import (
	"context"

	"github.com/galenabridge/galenabridge/internal/standin/sqltext"
)

// hold tells what a transaction holds in the SQL engine.
type hold uint8

const (
	holdNothing hold = iota
	holdSnapshot
	holdWriter
)

// txState is the state of a session's transaction. Without a snapshot each
// statement reads what is committed when it starts (read committed); the engine
// transaction and the right to write are taken at the first write.
type txState struct {
	// block is set from BEGIN to the end of the transaction.
	block bool
	// implicit is set while statements of one query or up to Sync share a
	// transaction without BEGIN.
	implicit bool
	failed   bool
	mode     txMode
	held     hold
	changes  []change
	saves    []savepoint
	// settings are those to return to on rollback; locals those to return to in
	// any case.
	settings map[string]string
	locals   map[string]string
	wrote    bool
}

type savepoint struct {
	name string
	mark int
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
		settings: copySettings(s.settings),
	}
}

// ensureRead takes a snapshot when the isolation level asks for one.
func (s *session) ensureRead(ctx context.Context) error {
	if s.tx.held != holdNothing || !s.tx.mode.snapshot || !s.tx.block {
		return nil
	}
	if !s.tx.mode.readOnly && s.srv.isPrimary() {
		return s.ensureWrite(ctx, "a statement")
	}
	s.eng.reads.RLock()
	for _, text := range []string{"begin", "select count(*) from sqlite_master"} {
		if _, err := s.db.ExecContext(ctx, text); err != nil {
			s.eng.reads.RUnlock()
			return err
		}
	}
	s.tx.held = holdSnapshot
	return nil
}

// ensureWrite takes the right to write for a command.
func (s *session) ensureWrite(ctx context.Context, command string) error {
	if !s.srv.isPrimary() || s.tx.mode.readOnly {
		return errState(stateReadOnly, "cannot execute %s in a read-only transaction", command)
	}
	if s.tx.held == holdWriter {
		return nil
	}
	if err := s.eng.lockWriter(ctx); err != nil {
		return err
	}
	if _, err := s.db.ExecContext(ctx, "begin immediate"); err != nil {
		s.eng.unlockWriter()
		return err
	}
	s.tx.held = holdWriter
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
	if s.tx.locals != nil {
		s.settings = s.tx.locals
	}
	wrote := s.tx.wrote
	s.tx = txState{}
	if wrote && s.srv.faults.takeDrop() {
		return false, errGoodbye
	}
	return true, nil
}

func (s *session) commitEngine() error {
	switch s.tx.held {
	case holdSnapshot:
		s.releaseSnapshot()
	case holdWriter:
		if len(s.tx.changes) == 0 {
			s.releaseWriter()
			return nil
		}
		if err := s.srv.commit(s); err != nil {
			return err
		}
		s.tx.wrote = true
		s.tx.held = holdNothing
		s.eng.unlockWriter()
	}
	return nil
}

func (s *session) releaseSnapshot() {
	_, _ = s.db.ExecContext(context.Background(), "rollback") // nothing was written
	s.eng.reads.RUnlock()
	s.tx.held = holdNothing
}

func (s *session) releaseWriter() {
	_, _ = s.db.ExecContext(context.Background(), "rollback") // fails only when it already happened
	s.eng.forgetColumns()
	s.tx.held = holdNothing
	s.eng.unlockWriter()
}

// rollback ends the transaction without its changes.
func (s *session) rollback() {
	s.releaseEngine()
	if s.tx.settings != nil {
		s.settings = s.tx.settings
	}
	s.tx = txState{}
}

func (s *session) releaseEngine() {
	switch s.tx.held {
	case holdSnapshot:
		s.releaseSnapshot()
	case holdWriter:
		s.releaseWriter()
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
	if len(s.tx.saves) == 0 {
		s.releaseEngine()
		s.tx.changes = nil
	}
}

// setSavepoint serves SAVEPOINT.
func (s *session) setSavepoint(ctx context.Context, name string) error {
	if !s.tx.block {
		return errState(stateNoTx, "SAVEPOINT can only be used in transaction blocks")
	}
	if !s.tx.mode.readOnly && s.srv.isPrimary() {
		if err := s.ensureWrite(ctx, "SAVEPOINT"); err != nil {
			return err
		}
		if _, err := s.db.ExecContext(ctx, "savepoint "+quoteName(name)); err != nil {
			return err
		}
	}
	s.tx.saves = append(s.tx.saves, savepoint{name: name, mark: len(s.tx.changes)})
	return nil
}

// endSavepoint serves RELEASE and ROLLBACK TO.
func (s *session) endSavepoint(ctx context.Context, name string, undo bool) error {
	i := len(s.tx.saves) - 1
	for i >= 0 && s.tx.saves[i].name != name {
		i--
	}
	if i < 0 {
		return errState(stateNoSavepoint, "savepoint %q does not exist", name)
	}
	text, keep := "release ", i
	if undo {
		text, keep = "rollback to ", i+1
	}
	if s.tx.held == holdWriter {
		if _, err := s.db.ExecContext(ctx, text+quoteName(name)); err != nil {
			return err
		}
	}
	if undo {
		s.tx.changes = s.tx.changes[:s.tx.saves[i].mark]
		s.tx.failed = false
		s.eng.forgetColumns()
	}
	s.tx.saves = s.tx.saves[:keep]
	return nil
}

func quoteName(name string) string {
	return `"` + name + `"`
}
