package standin

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/galenabridge/galenabridge/internal/standin/sqltext"
)

// runSessionCommand runs statements for transaction control, settings and prepared
// statements, and returns their rows and command tag.
func (s *session) runSessionCommand(ctx context.Context, st *sqltext.Statement) (*rowSet, string, error) {
	var err error
	tag := st.Tag
	empty := &rowSet{}
	switch st.Class {
	case sqltext.Begin:
		s.begin(st)
	case sqltext.Commit:
		var committed bool
		if committed, err = s.commit(); !committed {
			tag = "ROLLBACK"
		}
	case sqltext.Rollback:
		s.rollback()
	case sqltext.Savepoint:
		err = s.setSavepoint(ctx, lastName(st))
	case sqltext.Release:
		err = s.endSavepoint(ctx, lastName(st), false)
	case sqltext.RollbackTo:
		err = s.endSavepoint(ctx, lastName(st), true)
	case sqltext.Set:
		err = s.set(st)
	case sqltext.Show:
		set, err := s.show(settingName(st.Tokens))
		return set, tag, err
	case sqltext.Reset:
		s.reset(settingName(st.Tokens))
	case sqltext.Discard:
		err = s.discard()
	case sqltext.Deallocate:
		s.deallocate(lastName(st))
	}
	return empty, tag, err
}

func lastName(st *sqltext.Statement) string {
	return st.Tokens[len(st.Tokens)-1].Name()
}

// set runs SET. Of SET SESSION CHARACTERISTICS only the access mode takes effect.
func (s *session) set(st *sqltext.Statement) error {
	tokens := st.Tokens
	if len(tokens) > 2 && tokens[1].Is("transaction") {
		s.tx.mode = parseTxMode(tokens, s.tx.mode)
		return nil
	}
	if len(tokens) > 4 && tokens[1].Is("session") && tokens[2].Is("characteristics") {
		mode := parseTxMode(tokens, txMode{readOnly: isOn(s.settings[settingDefaultReadOnly])})
		s.assign(assignment{name: settingDefaultReadOnly, value: onOff(mode.readOnly)})
		return nil
	}
	a, err := parseSet(tokens)
	if err != nil {
		return err
	}
	if a.name == settingTxReadOnly {
		s.tx.mode.readOnly = isOn(a.value)
		return nil
	}
	if a.value == "default" {
		a.value = defaultSettings[a.name]
	}
	s.assign(a)
	return nil
}

// assign changes a setting and sends it to the client if it is a reported one. The
// first SET LOCAL of a transaction copies the settings to tx.commitSettings. Later
// changes without LOCAL are made in that copy too, so that they outlast the commit.
func (s *session) assign(a assignment) {
	switch {
	case a.local && s.tx.commitSettings == nil:
		s.tx.commitSettings = copySettings(s.settings)
	case !a.local && s.tx.commitSettings != nil:
		s.tx.commitSettings[a.name] = a.value
	}
	s.settings[a.name] = a.value
	for _, r := range reportedSettings {
		if r.key == a.name {
			s.be.Send(&pgproto3.ParameterStatus{Name: r.name, Value: a.value})
		}
	}
}

func (s *session) show(name string) (*rowSet, error) {
	value, ok := s.setting(name)
	if !ok {
		return nil, sqlErrorf(sqlStateUndefinedObject, "unrecognized configuration parameter %q", name)
	}
	return &rowSet{
		columns:  []column{{name: name, oid: sqltext.Text}},
		rows:     [][]any{{value}},
		affected: 1,
	}, nil
}

// setting returns the value of a setting, including those derived from the state of
// the transaction and the server.
func (s *session) setting(name string) (string, bool) {
	switch name {
	case settingTxReadOnly:
		return onOff(s.tx.mode.readOnly || !s.srv.isPrimary()), true
	case "cluster_name":
		return s.srv.opts.ID, true
	case "in_hot_standby":
		return onOff(!s.srv.isPrimary()), true
	case "transaction_isolation":
		if s.tx.mode.snapshot {
			return "repeatable read", true
		}
		return "read committed", true
	}
	value, ok := s.settings[name]
	return value, ok
}

func (s *session) reset(name string) {
	if name == "all" {
		for _, r := range reportedSettings {
			s.assign(assignment{name: r.key, value: defaultSettings[r.key]})
		}
		s.settings = copySettings(defaultSettings)
		return
	}
	value, ok := defaultSettings[name]
	if !ok {
		delete(s.settings, name)
		return
	}
	s.assign(assignment{name: name, value: value})
}

func (s *session) discard() error {
	if s.tx.inBlock {
		return sqlErrorf(sqlStateActiveTx, "DISCARD ALL cannot run inside a transaction block")
	}
	s.reset("all")
	s.tx.rollbackSettings = nil
	s.deallocate("all")
	s.portals = make(map[string]*portal)
	return nil
}

func (s *session) deallocate(name string) {
	if name == "all" {
		s.statements = make(map[string]*preparedStatement)
		return
	}
	delete(s.statements, name)
}
