package entry

import (
	"sort"
	"strings"
)

// settings are the database run-time settings of a session. They are applied to each
// endpoint connection that the session uses.
type settings struct {
	// statements holds the SET statement of each setting by its name. The map is replaced,
	// never modified.
	statements map[string]string
	// script is all statements in order of their names. Equal settings have equal scripts.
	script string
}

// skippedSettings are start-up parameters that are not applied to endpoint connections.
var skippedSettings = map[string]bool{
	"application_name": true,
	"client_encoding":  true,
}

// Settings that make a session read-only.
const (
	settingDefaultReadOnly = "default_transaction_read_only"
	settingCharacteristics = "characteristics"
)

// record applies a SET or RESET statement that the endpoint has accepted.
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

// add applies a start-up parameter.
func (s *settings) add(name, value string) {
	if skippedSettings[strings.ToLower(name)] {
		return
	}
	quoted := "'" + strings.ReplaceAll(value, "'", "''") + "'"
	s.record("SET " + name + " = " + quoted)
}

// replace sets the statements and rebuilds the script.
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

// readOnly reports whether the settings make transactions read-only.
func (s *settings) readOnly() bool {
	if text, ok := s.statements[settingDefaultReadOnly]; ok {
		on, _ := parseBool(parseCommand(text).value)
		return on
	}
	text, ok := s.statements[settingCharacteristics]
	return ok && containsFold(strings.Join(strings.Fields(text), " "), "read only")
}
