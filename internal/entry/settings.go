package entry

import (
	"sort"
	"strings"
)

// settings are the run-time settings of a session outside galenabridge's own.
// They are applied anew to each endpoint connection that the session uses.
type settings struct {
	// statements holds the SET statement for each name.
	statements map[string]string
	// script is all statements in order of their names; it identifies the
	// settings.
	script string
}

// skippedSettings are start-up parameters that stay at the entry.
var skippedSettings = map[string]bool{
	"application_name": true,
	"client_encoding":  true,
}

// readOnlySettings are the settings that make a session read-only.
const (
	settingDefaultReadOnly = "default_transaction_read_only"
	settingCharacteristics = "characteristics"
)

// record notes that the endpoint accepted a SET or RESET statement.
func (s *settings) record(text string) {
	cmd := parseCommand(text)
	next := make(map[string]string, len(s.statements)+1)
	for name, statement := range s.statements {
		next[name] = statement
	}
	switch {
	case cmd.verb == "RESET" && cmd.name == "all":
		next = make(map[string]string)
	case cmd.verb == "RESET":
		delete(next, cmd.name)
	default:
		next[cmd.name] = strings.TrimRight(strings.TrimSpace(text), ";")
	}
	s.replace(next)
}

// add notes a start-up parameter.
func (s *settings) add(name, value string) {
	if skippedSettings[strings.ToLower(name)] {
		return
	}
	quoted := "'" + strings.ReplaceAll(value, "'", "''") + "'"
	s.record("SET " + name + " = " + quoted)
}

func (s *settings) replace(statements map[string]string) {
	names := make([]string, 0, len(statements))
	for name := range statements {
		names = append(names, name)
	}
	sort.Strings(names)
	var script strings.Builder
	for _, name := range names {
		script.WriteString(statements[name])
		script.WriteString(";")
	}
	s.statements = statements
	s.script = script.String()
}

// readOnly tells whether the settings make transactions read-only.
func (s *settings) readOnly() bool {
	if text, ok := s.statements[settingDefaultReadOnly]; ok {
		on, _ := parseBool(parseCommand(text).value)
		return on
	}
	text, ok := s.statements[settingCharacteristics]
	return ok && containsFold(strings.Join(strings.Fields(text), " "), "read only")
}
