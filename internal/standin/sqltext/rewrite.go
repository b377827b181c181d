package sqltext

import (
	"strings"

	"github.com/pkg/errors"
)

// ToSQLite renders tokens as SQL text for SQLite. It returns an error for syntax
// that has no equivalent in SQLite.
func ToSQLite(tokens []Token) (string, error) {
	out, err := rewrite(tokens)
	if err != nil {
		return "", err
	}
	return render(out), nil
}

func render(tokens []Token) string {
	var b strings.Builder
	for i, t := range tokens {
		if i > 0 && !isAdjacent(tokens[i-1], t) {
			b.WriteByte(' ')
		}
		b.WriteString(t.Text)
	}
	return b.String()
}

// isAdjacent reports whether two tokens are rendered without a space between them.
func isAdjacent(left, right Token) bool {
	return left.Is(".") || right.Is(".") || right.Is(",") || right.Is(")") || left.Is("(")
}

// rewrite translates PostgreSQL syntax: parameters $n become ?n, "::" becomes
// CAST, schema prefixes and locking clauses are removed, and TABLE, TRUNCATE,
// EXPLAIN and serial columns are replaced by their equivalents. A locking clause
// ends the statement: tokens after it are dropped.
func rewrite(tokens []Token) ([]Token, error) {
	if len(tokens) > 0 && tokens[0].Is("truncate") {
		tokens = rewriteTruncate(tokens)
	}
	if len(tokens) > 1 && tokens[0].Is("table") {
		tokens = append([]Token{{Word, "select"}, {Op, "*"}, {Word, "from"}}, tokens[1:]...)
	}
	if len(tokens) > 0 && tokens[0].Is("explain") {
		tokens = append([]Token{{Word, "explain"}, {Word, "query"}, {Word, "plan"}}, tokens[1:]...)
	}
	isCreate := len(tokens) > 0 && tokens[0].Is("create")
	out := make([]Token, 0, len(tokens)+8)
	for i := 0; i < len(tokens); i++ {
		t := tokens[i]
		switch {
		case t.Kind == Param:
			out = append(out, Token{Param, "?" + t.Text[1:]})
		case t.Is("::"):
			var err error
			if out, i, err = rewriteCast(out, tokens, i); err != nil {
				return nil, err
			}
		case t.Is("ilike"):
			return nil, errors.New("ILIKE is not supported")
		case isSchemaPrefix(tokens, i):
			i++
		case isLockingClause(tokens, i):
			return out, nil
		case isCreate && (t.Is("serial") || t.Is("bigserial")):
			out = append(out, Token{Word, "integer"})
		case isCreate && t.Is("default") && isTimeFunction(tokens, i+1):
			return nil, errors.New("a default that depends on the time is not supported")
		default:
			out = append(out, t)
		}
	}
	return out, nil
}

// isTimeFunction reports whether tokens[i] is now or a word such as
// current_timestamp.
func isTimeFunction(tokens []Token, i int) bool {
	return i < len(tokens) && (tokens[i].Is("now") || strings.HasPrefix(tokens[i].Text, "current_"))
}

// rewriteTruncate turns TRUNCATE into a DELETE of all rows.
func rewriteTruncate(tokens []Token) []Token {
	rest := tokens[1:]
	if len(rest) > 0 && rest[0].Is("table") {
		rest = rest[1:]
	}
	return append([]Token{{Word, "delete"}, {Word, "from"}}, rest...)
}

func isSchemaPrefix(tokens []Token, i int) bool {
	if i+1 >= len(tokens) || !tokens[i+1].Is(".") {
		return false
	}
	return tokens[i].Is("public") || tokens[i].Is("pg_catalog")
}

func isLockingClause(tokens []Token, i int) bool {
	return tokens[i].Is("for") && i+1 < len(tokens) &&
		(tokens[i+1].Is("update") || tokens[i+1].Is("share"))
}

// rewriteCast turns the operand at the end of out and the type after tokens[i]
// ("::") into a CAST expression. It returns the new output and the index of the
// type's last token.
func rewriteCast(out, tokens []Token, i int) ([]Token, int, error) {
	start := operandStart(out)
	if start < 0 || i+1 >= len(tokens) {
		return nil, 0, errors.New("syntax error at or near \"::\"")
	}
	typeName, end := readType(tokens, i+1)
	operand := append([]Token(nil), out[start:]...)
	out = append(out[:start], Token{Word, "cast"}, Token{Op, "("})
	out = append(out, operand...)
	out = append(out, Token{Word, "as"}, Token{Word, affinity(typeName)}, Token{Op, ")"})
	return out, end, nil
}

// operandStart returns the index of the first token of the operand at the end of
// out, or -1 if out is empty or its parentheses are unbalanced.
func operandStart(out []Token) int {
	last := len(out) - 1
	if last < 0 {
		return -1
	}
	if out[last].Is(")") {
		last = openingParen(out, last)
		if last > 0 && out[last-1].Kind == Word && !isKeyword(out[last-1].Text) {
			last--
		}
	}
	for last >= 2 && out[last-1].Is(".") {
		last -= 2
	}
	return last
}

// openingParen returns the index of the parenthesis that opens the one at
// tokens[closing], or -1.
func openingParen(tokens []Token, closing int) int {
	depth := 0
	for i := closing; i >= 0; i-- {
		if tokens[i].Is(")") {
			depth++
		}
		if tokens[i].Is("(") {
			depth--
		}
		if depth == 0 {
			return i
		}
	}
	return -1
}

// ClosingParen returns the index of the parenthesis that closes the one at
// tokens[open], or -1.
func ClosingParen(tokens []Token, open int) int {
	depth := 0
	for i := open; i < len(tokens); i++ {
		if tokens[i].Is("(") {
			depth++
		}
		if tokens[i].Is(")") {
			depth--
		}
		if depth == 0 {
			return i
		}
	}
	return -1
}

// isKeyword reports whether word is one of the keywords after which an operand may
// start, so that it is not taken for a function or a column.
func isKeyword(word string) bool {
	switch word {
	case "select", "where", "and", "or", "not", "in", "on", "from", "values", "by", "set", "as", "then", "else", "when":
		return true
	}
	return false
}

// readType reads the type name that starts at tokens[i]. It returns the name
// without schema, modifiers and array bounds, and the index of the last token.
func readType(tokens []Token, i int) (string, int) {
	name := tokens[i].Name()
	for i+2 < len(tokens) && tokens[i+1].Is(".") {
		i += 2
		name = tokens[i].Name()
	}
	nextIs := func(word string) bool { return i+1 < len(tokens) && tokens[i+1].Is(word) }
	switch {
	case name == "double" && nextIs("precision"):
		i++
		name = "float8"
	case name == "character" && nextIs("varying"):
		i++
		name = "varchar"
	}
	if nextIs("(") {
		if end := ClosingParen(tokens, i+1); end > 0 {
			i = end
		}
	}
	if (name == "timestamp" || name == "time") && (nextIs("with") || nextIs("without")) {
		if nextIs("with") {
			name += "tz"
		}
		i += 3
	}
	for nextIs("[") || nextIs("]") {
		i++
	}
	return name, min(i, len(tokens)-1)
}

// affinity returns the SQLite type that replaces a PostgreSQL type in a CAST.
func affinity(typeName string) string {
	switch TypeOf(typeName) {
	case Int2, Int4, Int8, Bool:
		return "integer"
	case Float8, Float4:
		return "real"
	case Numeric:
		return "numeric"
	case Bytea:
		return "blob"
	}
	return "text"
}
