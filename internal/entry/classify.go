package entry

import "strings"

// kind is the kind of a statement, as derived from its first keywords.
type kind int

const (
	// kindWrite is any statement not classified as another kind.
	kindWrite kind = iota
	// kindEmpty has no keyword.
	kindEmpty
	// kindRead is a single query. A replica refuses it with SQLSTATE 25006 when it writes.
	kindRead
	kindBegin
	kindBeginReadOnly
	kindCommit
	kindRollback
	// kindSet is SET or RESET of a run-time setting of the database session.
	kindSet
	// kindProxyParam is SET, SHOW or RESET of a galenabridge parameter, answered at the
	// entry.
	kindProxyParam
	// kindDeallocate is DEALLOCATE or DISCARD, answered at the entry.
	kindDeallocate
	// kindUnsupported needs session state that a pooled connection cannot keep.
	kindUnsupported
)

// class is the classification of a statement text.
type class struct {
	kind kind
	// dirty: the connection must be reset before another session uses it.
	dirty bool
	// multi: the text contains, or may contain, several statements.
	multi bool
	// feature is the unsupported feature, for the error message.
	feature string
}

// paramPrefix is the prefix of the parameters that the entry handles itself.
const paramPrefix = "galenabridge."

// classify classifies a statement by its first keywords after comments. It does not parse
// SQL: a statement that it does not recognize is a write.
func classify(text string) class {
	body := skipSpace(text)
	word, rest := splitFirstWord(body)
	if word == "" && body == "" {
		return class{kind: kindEmpty}
	}
	c := classifyWord(word, rest)
	if isMulti(body) {
		if c.kind == kindUnsupported {
			return c
		}
		return class{kind: kindWrite, dirty: true, multi: true}
	}
	if feature := unsupportedFunction(body); feature != "" {
		return class{kind: kindUnsupported, feature: feature}
	}
	if containsFold(body, "set_config") {
		c.dirty = true
	}
	return c
}

func classifyWord(word, rest string) class {
	switch word {
	case "SELECT", "WITH", "TABLE", "VALUES":
		return class{kind: kindRead}
	case "INSERT", "UPDATE", "DELETE", "MERGE", "COPY", "EXPLAIN", "TRUNCATE",
		"SAVEPOINT", "RELEASE", "FETCH", "MOVE", "CLOSE", "LOCK", "NOTIFY", "CALL",
		"ALTER", "DROP", "GRANT", "REVOKE", "COMMENT", "ANALYZE", "VACUUM", "REINDEX":
		return class{kind: kindWrite}
	case "BEGIN", "START":
		return classifyBegin(rest)
	case "COMMIT", "END":
		return class{kind: kindCommit}
	case "ROLLBACK", "ABORT":
		return classifyRollback(rest)
	case "SET", "SHOW", "RESET":
		return classifySetting(word, rest)
	case "DEALLOCATE", "DISCARD":
		return class{kind: kindDeallocate}
	case "CREATE":
		return classifyCreate(rest)
	case "DECLARE":
		if containsFold(rest, "with hold") {
			return class{kind: kindUnsupported, feature: "cursors WITH HOLD"}
		}
		return class{kind: kindWrite}
	case "LISTEN", "UNLISTEN":
		return class{kind: kindUnsupported, feature: word}
	case "PREPARE":
		if next, _ := splitFirstWord(rest); next == "TRANSACTION" {
			return class{kind: kindUnsupported, feature: "two-phase commit"}
		}
		return class{kind: kindUnsupported, feature: "PREPARE as a statement; use the extended protocol"}
	case "EXECUTE":
		return class{kind: kindUnsupported, feature: "EXECUTE as a statement; use the extended protocol"}
	case "LOAD":
		return class{kind: kindUnsupported, feature: word}
	}
	return class{kind: kindWrite, dirty: true}
}

func classifyBegin(rest string) class {
	if containsFold(strings.Join(strings.Fields(rest), " "), "read only") {
		return class{kind: kindBeginReadOnly}
	}
	return class{kind: kindBegin}
}

// classifyRollback distinguishes ROLLBACK from ROLLBACK [WORK|TRANSACTION] TO a savepoint.
func classifyRollback(rest string) class {
	for range 2 {
		word, after := splitFirstWord(rest)
		if word == "TO" {
			return class{kind: kindWrite}
		}
		rest = after
	}
	return class{kind: kindRollback}
}

func classifySetting(word, rest string) class {
	name, after := splitFirstWord(rest)
	if word == "SET" && (name == "LOCAL" || name == "SESSION") {
		scope := name
		name, after = splitFirstWord(after)
		if scope == "LOCAL" {
			return classifySetLocal(name)
		}
	}
	prefix := strings.ToLower(paramPrefix)
	switch {
	case strings.HasPrefix(strings.ToLower(name), prefix):
		return class{kind: kindProxyParam}
	case word == "SHOW":
		return class{kind: kindRead}
	case name == "TRANSACTION" || name == "CONSTRAINTS":
		return class{kind: kindWrite}
	case name == "ROLE" || name == "AUTHORIZATION":
		return class{kind: kindUnsupported, feature: "SET " + name}
	}
	_ = after
	return class{kind: kindSet}
}

func classifySetLocal(name string) class {
	if strings.HasPrefix(strings.ToLower(name), paramPrefix) {
		return class{kind: kindUnsupported, feature: "SET LOCAL of galenabridge parameters"}
	}
	return class{kind: kindWrite}
}

func classifyCreate(rest string) class {
	word, after := splitFirstWord(rest)
	if word == "LOCAL" || word == "GLOBAL" {
		word, _ = splitFirstWord(after)
	}
	if word == "TEMP" || word == "TEMPORARY" {
		return class{kind: kindUnsupported, feature: "temporary objects"}
	}
	return class{kind: kindWrite}
}

// unsupportedFunction returns the unsupported feature that the text calls, or "".
func unsupportedFunction(body string) string {
	if containsFold(body, "pg_advisory_lock") || containsFold(body, "pg_try_advisory_lock") {
		return "session advisory locks; use the transaction forms"
	}
	return ""
}

// isMulti reports whether text follows a semicolon. A semicolon inside a literal counts as
// well: the statement is then treated as a write, which is safe.
func isMulti(body string) bool {
	i := strings.IndexByte(body, ';')
	return i >= 0 && strings.Trim(skipSpace(body[i+1:]), "; \t\r\n") != ""
}

// skipSpace removes leading white space and comments.
func skipSpace(text string) string {
	for {
		text = strings.TrimLeft(text, " \t\r\n\f")
		switch {
		case strings.HasPrefix(text, "--"):
			end := strings.IndexByte(text, '\n')
			if end < 0 {
				return ""
			}
			text = text[end+1:]
		case strings.HasPrefix(text, "/*"):
			text = skipBlock(text)
		default:
			return text
		}
	}
}

// skipBlock removes a leading block comment. Block comments nest.
func skipBlock(text string) string {
	depth := 0
	for i := 0; i+1 < len(text); i++ {
		switch text[i : i+2] {
		case "/*":
			depth++
			i++
		case "*/":
			depth--
			i++
		}
		if depth == 0 {
			return text[i+1:]
		}
	}
	return ""
}

// splitFirstWord splits off the first word and returns it in upper case. Dots are part of a word.
func splitFirstWord(text string) (word, rest string) {
	text = skipSpace(text)
	end := 0
	for end < len(text) && isWordByte(text[end]) {
		end++
	}
	return strings.ToUpper(text[:end]), text[end:]
}

func isWordByte(b byte) bool {
	return b == '_' || b == '.' || b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z'
}

// containsFold reports whether text contains the pattern, ignoring case. The pattern must
// be lower-case ASCII.
func containsFold(text, pattern string) bool {
	for i := 0; i+len(pattern) <= len(text); i++ {
		if text[i]|0x20 == pattern[0] && strings.EqualFold(text[i:i+len(pattern)], pattern) {
			return true
		}
	}
	return false
}
