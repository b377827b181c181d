package entry

import "testing"

func TestClassifyKind(t *testing.T) {
	for text, want := range map[string]kind{
		"":                                     kindEmpty,
		" -- only a comment":                   kindEmpty,
		"select 1":                             kindRead,
		"/* a /* nested */ one */ SeLeCt 1 ; ": kindRead,
		"-- note\nwith x as (select 1) select * from x": kindRead,
		"select 1; delete from entries":                 kindWrite,
		"insert into entries values (1)":                kindWrite,
		"begin":                                         kindBegin,
		"START TRANSACTION ISOLATION LEVEL SERIALIZABLE, READ\n ONLY": kindBeginReadOnly,
		"end":                              kindCommit,
		"rollback":                         kindRollback,
		"rollback work to savepoint a":     kindWrite,
		"rollback to a":                    kindWrite,
		"set timezone = 'UTC'":             kindSet,
		"set session timezone to 'UTC'":    kindSet,
		"set local timezone = 'UTC'":       kindWrite,
		"SET galenabridge.class = 'bulk'":  kindProxyParam,
		"show galenabridge.class":          kindProxyParam,
		"show server_version":              kindRead,
		"set transaction read only":        kindWrite,
		"set role admin":                   kindUnsupported,
		"create temp table x (id int)":     kindUnsupported,
		"create table x (id int)":          kindWrite,
		"listen news":                      kindUnsupported,
		"select pg_advisory_lock(1)":       kindUnsupported,
		"select pg_advisory_xact_lock(1)":  kindRead,
		"deallocate all":                   kindDeallocate,
		"declare c cursor with hold for x": kindUnsupported,
		"do $$ begin end $$":               kindWrite,
	} {
		if got := classify(text).kind; got != want {
			t.Errorf("%q: kind %d, want %d", text, got, want)
		}
	}
}

func TestClassifyDirty(t *testing.T) {
	for text, want := range map[string]bool{
		"select 1":                              false,
		"insert into entries values (1)":        false,
		"select set_config('a.b', 'c', false)":  true,
		"select 1; set timezone = 'UTC'":        true,
		"do $$ begin end $$":                    true,
		"select ';' as semicolon_in_a_literal ": true, // treated as a second statement
	} {
		if got := classify(text).dirty; got != want {
			t.Errorf("%q: got dirty %t, want the opposite", text, got)
		}
	}
}

func TestParseCommand(t *testing.T) {
	for text, want := range map[string]command{
		"SET galenabridge.class = 'bulk';":            {"SET", "galenabridge.class", "bulk"},
		"set session galenabridge.deadline to 250":    {"SET", "galenabridge.deadline", "250"},
		"set galenabridge.request_id='it''s'":         {"SET", "galenabridge.request_id", "it's"},
		"set galenabridge.class to default":           {"SET", "galenabridge.class", ""},
		"reset galenabridge.class":                    {"RESET", "galenabridge.class", ""},
		"show galenabridge.max_staleness -- the rest": {"SHOW", "galenabridge.max_staleness", "-- the rest"},
	} {
		if got := parseCommand(text); got != want {
			t.Errorf("%q: unexpected command %+v", text, got)
		}
	}
}
