package standin

import (
	"context"
	"crypto/rand"
	"fmt"
	mathrand "math/rand/v2"
	"strconv"
	"time"

	"github.com/galenabridge/galenabridge/internal/standin/sqltext"
)

// functionResolver resolves the server's own functions and views for one execution of a
// statement. Values such as the time are fixed before the statement is logged, so
// that replay produces the same rows.
type functionResolver struct {
	s    *session
	ctx  context.Context
	args []any
}

const nullLiteral = "null"

// Param implements sqltext.Resolver.
func (f *functionResolver) Param(n string) string {
	i, err := strconv.Atoi(n)
	if err != nil || i < 1 || i > len(f.args) || f.args[i-1] == nil {
		return ""
	}
	return string(encodeText(sqltext.Text, f.args[i-1]))
}

// Function implements sqltext.Resolver.
func (f *functionResolver) Function(name string, args []string) (string, bool, error) {
	switch name {
	case "pg_sleep":
		return f.sleep(args)
	case "pg_promote":
		return boolLiteral(true), true, f.s.srv.promote(f.ctx)
	case "set_config":
		return f.setConfig(args)
	}
	return f.resolveReadOnly(name, args)
}

// resolveReadOnly resolves functions without side effects.
func (f *functionResolver) resolveReadOnly(name string, args []string) (string, bool, error) {
	srv := f.s.srv
	switch name {
	case "pg_is_in_recovery":
		return boolLiteral(!srv.isPrimary()), true, nil
	case "pg_current_wal_lsn", "pg_current_wal_flush_lsn", "pg_current_wal_insert_lsn":
		if !srv.isPrimary() {
			return "", true, sqlErrorf(sqlStateNotInPrerequisiteState, "recovery is in progress")
		}
		return lsnLiteral(srv.log().flushed()), true, nil
	case "pg_last_wal_receive_lsn":
		return f.replicaLSN(srv.log().flushed()), true, nil
	case "pg_last_wal_replay_lsn":
		return f.replicaLSN(srv.log().replayedLSN()), true, nil
	case "pg_last_xact_replay_timestamp":
		return timeLiteral(srv.log().replayedCommitTime()), true, nil
	case "pg_backend_pid":
		return strconv.Itoa(int(f.s.pid)), true, nil
	case "pg_wal_lsn_diff":
		return lsnDifference(args)
	case "current_setting":
		return f.currentSetting(args)
	}
	return f.resolveBuiltin(name)
}

// resolveBuiltin resolves functions for the time, random values and the session's
// environment.
func (f *functionResolver) resolveBuiltin(name string) (string, bool, error) {
	switch name {
	case "now", "current_timestamp", "clock_timestamp", "statement_timestamp", "transaction_timestamp":
		return timeLiteral(time.Now()), true, nil
	case "current_date":
		return sqltext.Quote(time.Now().UTC().Format(time.DateOnly)), true, nil
	case "random":
		return randomLiteral(), true, nil
	case "gen_random_uuid":
		return uuidLiteral(), true, nil
	case "version":
		return sqltext.Quote("PostgreSQL 16.4 (galenabridge stand-in on SQLite)"), true, nil
	case "current_user", "session_user":
		return sqltext.Quote(f.s.srv.opts.User), true, nil
	case "current_database":
		return sqltext.Quote(f.s.srv.opts.Database), true, nil
	case "current_schema":
		return sqltext.Quote("public"), true, nil
	case "txid_current":
		return strconv.FormatUint(uint64(f.s.srv.log().flushed()), 10), true, nil
	}
	return "", false, nil
}

// replicaLSN returns the literal of a position on a replica and NULL on a primary.
func (f *functionResolver) replicaLSN(l LSN) string {
	if f.s.srv.isPrimary() {
		return nullLiteral
	}
	return lsnLiteral(l)
}

func (f *functionResolver) sleep(args []string) (string, bool, error) {
	if len(args) != 1 {
		return "", false, nil
	}
	seconds, err := strconv.ParseFloat(args[0], 64)
	if err != nil {
		return "", true, sqlErrorf(sqlStateInvalidText, "pg_sleep: %v", err)
	}
	f.s.srv.sleepingCalls.Add(1)
	defer f.s.srv.sleepingCalls.Add(-1)
	return "''", true, sleep(f.ctx, time.Duration(seconds*float64(time.Second)))
}

func (f *functionResolver) setConfig(args []string) (string, bool, error) {
	if len(args) != 3 {
		return "", false, nil
	}
	f.s.assign(assignment{name: args[0], value: args[1], local: isOn(args[2])})
	return sqltext.Quote(args[1]), true, nil
}

func (f *functionResolver) currentSetting(args []string) (string, bool, error) {
	if len(args) == 0 {
		return "", false, nil
	}
	value, ok := f.s.setting(args[0])
	if ok {
		return sqltext.Quote(value), true, nil
	}
	if len(args) > 1 && isOn(args[1]) {
		return nullLiteral, true, nil
	}
	return "", true, sqlErrorf(sqlStateUndefinedObject, "unrecognized configuration parameter %q", args[0])
}

// Relation implements sqltext.Resolver.
func (f *functionResolver) Relation(name string) (sqltext.Relation, bool) {
	log := f.s.srv.log()
	switch name {
	case "pg_control_checkpoint":
		return sqltext.Relation{
			Columns: []string{"checkpoint_lsn", "timeline_id"},
			Rows:    [][]string{{lsnLiteral(log.flushed()), strconv.Itoa(int(log.currentTimeline()))}},
		}, true
	case "pg_stat_replication":
		return f.s.srv.statReplication(), true
	case "pg_stat_wal_receiver":
		return f.s.srv.statWALReceiver(), true
	}
	return sqltext.Relation{}, false
}

func lsnLiteral(l LSN) string { return sqltext.Quote(l.String()) }

func boolLiteral(b bool) string {
	if b {
		return "1"
	}
	return "0"
}

func timeLiteral(t time.Time) string {
	if t.IsZero() {
		return nullLiteral
	}
	return sqltext.Quote(t.UTC().Format(timeLayout))
}

func randomLiteral() string {
	return strconv.FormatFloat(mathrand.Float64(), 'f', 16, 64)
}

func uuidLiteral() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails
	b[6] = b[6]&0x0f | 0x40
	b[8] = b[8]&0x3f | 0x80
	return sqltext.Quote(fmt.Sprintf("%x-%x-%x-%x-%x", b[:4], b[4:6], b[6:8], b[8:10], b[10:]))
}

func lsnDifference(args []string) (string, bool, error) {
	if len(args) != 2 {
		return "", false, nil
	}
	a, err := ParseLSN(args[0])
	if err != nil {
		return "", true, sqlErrorf(sqlStateInvalidText, "%v", err)
	}
	b, err := ParseLSN(args[1])
	if err != nil {
		return "", true, sqlErrorf(sqlStateInvalidText, "%v", err)
	}
	return strconv.FormatInt(int64(a)-int64(b), 10), true, nil
}

// describeResolver resolves functions while result columns are inferred. It has no side
// effects and does not wait.
type describeResolver struct{ functionResolver }

// Function implements sqltext.Resolver.
func (d *describeResolver) Function(name string, args []string) (string, bool, error) {
	switch name {
	case "pg_sleep", "set_config", "current_setting", "pg_current_wal_lsn", "pg_wal_lsn_diff":
		return "''", true, nil
	case "pg_promote":
		return boolLiteral(true), true, nil
	}
	return d.resolveReadOnly(name, args)
}
