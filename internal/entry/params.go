package entry

import (
	"strconv"
	"strings"
	"time"

	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// Names of the parameters that callers set in the start-up message or by SET.
const (
	paramClass        = paramPrefix + "class"
	paramDeadline     = paramPrefix + "deadline"
	paramMaxStaleness = paramPrefix + "max_staleness"
	paramRequestID    = paramPrefix + "request_id"
	paramReadOnly     = paramPrefix + "read_only"
)

// maxRequestID is the longest request id in bytes.
const maxRequestID = 200

// params are the galenabridge parameters of a session.
type params struct {
	// class is the requested class; empty when the workspace's class applies.
	class note.Class
	// deadline is zero when the default applies.
	deadline time.Duration
	// maxStaleness is zero when reads must see the writes of the workspace.
	maxStaleness time.Duration
	// requestID applies to the next request that needs a marker.
	requestID string
	readOnly  bool
}

// set changes a parameter; an empty value restores its default.
func (p *params) set(name, value string) error {
	switch strings.ToLower(name) {
	case paramClass:
		return p.setClass(note.Class(value))
	case paramDeadline:
		d, ok := parseMillis(value)
		if !ok || value != "" && d <= 0 {
			return result.New(result.BadDeadline, "%q", value)
		}
		p.deadline = d
	case paramMaxStaleness:
		d, ok := parseMillis(value)
		if !ok || d < 0 {
			return result.New(result.BadStaleness, "%q", value)
		}
		p.maxStaleness = d
	case paramRequestID:
		if len(value) > maxRequestID {
			return result.New(result.MessageTooLarge, "request id of %d bytes; the limit is %d", len(value), maxRequestID)
		}
		p.requestID = value
	case paramReadOnly:
		on, ok := parseBool(value)
		if !ok {
			return result.New(result.MalformedMessage, "%s: %q is not a boolean", name, value)
		}
		p.readOnly = on
	default:
		return result.New(result.UnknownSessionParam, "%q", name)
	}
	return nil
}

func (p *params) setClass(c note.Class) error {
	if c != "" && classRank(c) < 0 {
		return result.New(result.UnknownClass, "%q", string(c))
	}
	p.class = c
	return nil
}

// get returns the value in the form that set accepts.
func (p *params) get(name string) (string, error) {
	switch strings.ToLower(name) {
	case paramClass:
		return string(p.class), nil
	case paramDeadline:
		return formatMillis(p.deadline), nil
	case paramMaxStaleness:
		return formatMillis(p.maxStaleness), nil
	case paramRequestID:
		return p.requestID, nil
	case paramReadOnly:
		if p.readOnly {
			return "on", nil
		}
		return "off", nil
	}
	return "", result.New(result.UnknownSessionParam, "%q", name)
}

// classRank orders the classes by precedence, 0 being the highest. It is negative for
// unknown classes.
func classRank(c note.Class) int {
	switch c {
	case note.ClassInteractive:
		return 0
	case note.ClassCorrection:
		return 1
	case note.ClassBulk:
		return 2
	}
	return -1
}

// parseMillis parses a number of milliseconds, or a duration whose unit ends in s.
func parseMillis(value string) (time.Duration, bool) {
	if value == "" {
		return 0, true
	}
	if strings.HasSuffix(value, "s") {
		d, err := time.ParseDuration(value)
		return d, err == nil
	}
	n, err := strconv.ParseInt(value, 10, 32)
	return time.Duration(n) * time.Millisecond, err == nil
}

func formatMillis(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return strconv.FormatInt(d.Milliseconds(), 10)
}

func parseBool(value string) (on, ok bool) {
	switch strings.ToLower(value) {
	case "on", "true", "yes", "1", "t", "y":
		return true, true
	case "", "off", "false", "no", "0", "f", "n":
		return false, true
	}
	return false, false
}

// command is a parsed SET, SHOW, RESET, DEALLOCATE or DISCARD.
type command struct {
	verb  string
	name  string
	value string
}

// parseCommand parses "SET [SESSION] name {=|TO} value", "SHOW name", "RESET name" and
// statements of the same form. The name is returned in lower case and the value unquoted;
// DEFAULT yields an empty value.
func parseCommand(text string) command {
	verb, rest := splitFirstWord(text)
	name, rest := splitFirstWord(rest)
	if verb == "SET" && name == "SESSION" {
		name, rest = splitFirstWord(rest)
	}
	rest = strings.TrimSpace(strings.TrimRight(strings.TrimSpace(rest), ";"))
	if value, ok := strings.CutPrefix(rest, "="); ok {
		rest = value
	} else if word, after := splitFirstWord(rest); word == "TO" {
		rest = after
	}
	return command{verb: verb, name: strings.ToLower(name), value: unquote(strings.TrimSpace(rest))}
}

func unquote(value string) string {
	if strings.EqualFold(value, "default") {
		return ""
	}
	if len(value) >= 2 && value[0] == '\'' && value[len(value)-1] == '\'' {
		return strings.ReplaceAll(value[1:len(value)-1], "''", "'")
	}
	return value
}
