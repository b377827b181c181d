package standin

import (
	"strconv"
	"strings"
	"time"

	"github.com/galenabridge/galenabridge/internal/standin/sqltext"
)

// Names of session settings that the stand-in acts on.
const (
	settingDefaultReadOnly  = "default_transaction_read_only"
	settingDefaultIsolation = "default_transaction_isolation"
	settingStatementTimeout = "statement_timeout"
	settingAppName          = "application_name"
	settingTxReadOnly       = "transaction_read_only"
)

var defaultSettings = map[string]string{
	"client_encoding":             "UTF8",
	"server_encoding":             "UTF8",
	"server_version":              "16.4",
	"server_version_num":          "160004",
	"datestyle":                   "ISO, MDY",
	"intervalstyle":               "postgres",
	"timezone":                    "UTC",
	"integer_datetimes":           "on",
	"standard_conforming_strings": "on",
	"is_superuser":                "off",
	"search_path":                 "\"$user\", public",
	"lock_timeout":                "0",
	"max_connections":             "100",
	settingAppName:                "",
	settingDefaultReadOnly:        "off",
	settingDefaultIsolation:       "read committed",
	settingStatementTimeout:       "0",
}

// reportedSettings are the settings whose values are sent as ParameterStatus at the
// start of a session and at each change. name is the spelling on the wire.
var reportedSettings = []struct{ key, name string }{
	{"server_version", "server_version"}, {"server_encoding", "server_encoding"},
	{"client_encoding", "client_encoding"}, {settingAppName, "application_name"},
	{settingDefaultReadOnly, "default_transaction_read_only"}, {"datestyle", "DateStyle"},
	{"intervalstyle", "IntervalStyle"}, {"timezone", "TimeZone"},
	{"integer_datetimes", "integer_datetimes"}, {"is_superuser", "is_superuser"},
	{"standard_conforming_strings", "standard_conforming_strings"},
}

func copySettings(in map[string]string) map[string]string {
	out := make(map[string]string, len(in))
	for k, v := range in {
		out[k] = v
	}
	return out
}

func isOn(value string) bool {
	switch strings.ToLower(value) {
	case "on", "true", "yes", "1":
		return true
	}
	return false
}

// statementTimeout returns the time limit of statements, or zero for none. Numbers
// without a unit are milliseconds. A malformed value means no limit.
func statementTimeout(settings map[string]string) time.Duration {
	value := settings[settingStatementTimeout]
	if ms, err := strconv.Atoi(value); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	d, _ := time.ParseDuration(strings.ReplaceAll(value, " ", ""))
	return d
}

// assignment is a parsed SET statement.
type assignment struct {
	name  string
	value string
	local bool
}

// parseSet reads "SET [SESSION | LOCAL] name { = | TO } value" and its variants.
func parseSet(tokens []sqltext.Token) (assignment, error) {
	var a assignment
	rest := tokens[1:]
	if len(rest) > 1 && (rest[0].Is("session") || rest[0].Is("local")) && !rest[1].Is("characteristics") {
		a.local = rest[0].Is("local")
		rest = rest[1:]
	}
	if len(rest) >= 3 && rest[0].Is("time") && rest[1].Is("zone") {
		a.name, a.value = "timezone", rest[2].Name()
		return a, nil
	}
	var name []string
	for len(rest) > 0 && !rest[0].Is("=") && !rest[0].Is("to") {
		name = append(name, rest[0].Name())
		rest = rest[1:]
	}
	if len(name) == 0 || len(rest) < 2 {
		return a, sqlErrorf(sqlStateSyntax, "syntax error in SET")
	}
	a.name = strings.ToLower(strings.Join(name, ""))
	a.value = joinValues(rest[1:])
	return a, nil
}

func joinValues(tokens []sqltext.Token) string {
	var b strings.Builder
	for _, t := range tokens {
		if t.Is(",") {
			b.WriteString(", ")
			continue
		}
		b.WriteString(t.Name())
	}
	return b.String()
}

// settingName reads the name after SHOW or RESET.
func settingName(tokens []sqltext.Token) string {
	var name strings.Builder
	for _, t := range tokens[1:] {
		name.WriteString(t.Name())
	}
	switch text := strings.ToLower(name.String()); text {
	case "timezone", "time zone":
		return "timezone"
	case "transactionisolationlevel":
		return "transaction_isolation"
	default:
		return text
	}
}

// txMode is the access mode and isolation of a transaction. snapshot is set for
// repeatable read and serializable, which are treated alike.
type txMode struct {
	readOnly bool
	snapshot bool
}

// parseTxMode applies the transaction modes in BEGIN or SET TRANSACTION to m.
func parseTxMode(tokens []sqltext.Token, m txMode) txMode {
	for i, t := range tokens {
		nextIs := func(word string) bool { return i+1 < len(tokens) && tokens[i+1].Is(word) }
		switch {
		case t.Is("read") && nextIs("only"):
			m.readOnly = true
		case t.Is("read") && nextIs("write"):
			m.readOnly = false
		case t.Is("repeatable"), t.Is("serializable"):
			m.snapshot = true
		case t.Is("read") && (nextIs("committed") || nextIs("uncommitted")):
			m.snapshot = false
		}
	}
	return m
}
