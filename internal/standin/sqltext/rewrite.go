package sqltext

import (
	"strings"

	"github.com/pkg/errors"
)

// ToSQLite renders tokens as SQL text for SQLite.
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
		if i > 0 && !tight(tokens[i-1], t) {
			b.WriteByte(' ')
		}
		b.WriteString(t.Text)
	}
	return b.String()
}

func tight(left, right Token) bool {
	return left.Is(".") || right.Is(".") || right.Is(",") || right.Is(")") || left.Is("(")
}

func rewrite(tokens []Token) ([]Token, error) {
	if len(tokens) > 0 && tokens[0].Is("truncate") {
		tokens = truncate(tokens)
	}
	if len(tokens) > 1 && tokens[0].Is("table") {
		tokens = append([]Token{{Word, "select"}, {Op, "*"}, {Word, "from"}}, tokens[1:]...)
	}
	if len(tokens) > 0 && tokens[0].Is("explain") {
		tokens = append([]Token{{Word, "explain"}, {Word, "query"}, {Word, "plan"}}, tokens[1:]...)
	}
	create := len(tokens) > 0 && tokens[0].Is("create")
	out := make([]Token, 0, len(tokens)+8)
	for i := 0; i < len(tokens); i++ {
		t := tokens[i]
		switch {
		case t.Kind == Param:
			out = append(out, Token{Param, "?" + t.Text[1:]})
		case t.Is("::"):
			var err error
			if out, i, err = castOperand(out, tokens, i); err != nil {
				return nil, err
			}
		case t.Is("ilike"):
			return nil, errors.New("ILIKE is not supported")
		case isSchemaPrefix(tokens, i):
			i++
		case isLockingClause(tokens, i):
			return out, nil
		case create && (t.Is("serial") || t.Is("bigserial")):
			out = append(out, Token{Word, "integer"})
		case create && t.Is("default") && isNow(tokens, i+1):
			return nil, errors.New("a default that depends on the time is not supported")
		default:
			out = append(out, t)
		}
	}
	return out, nil
}

func isNow(tokens []Token, i int) bool {
	return i < len(tokens) && (tokens[i].Is("now") || strings.HasPrefix(tokens[i].Text, "current_"))
}

func truncate(tokens []Token) []Token {
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

// castOperand turns the operand that ends out and the type after tokens[i]
// ("::") into a CAST expression. It returns the index of the type's last token.
func castOperand(out, tokens []Token, i int) ([]Token, int, error) {
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

func operandStart(out []Token) int {
	last := len(out) - 1
	if last < 0 {
		return -1
	}
	if out[last].Is(")") {
		last = openParen(out, last)
		if last > 0 && out[last-1].Kind == Word && !isKeyword(out[last-1].Text) {
			last--
		}
	}
	for last >= 2 && out[last-1].Is(".") {
		last -= 2
	}
	return last
}

func openParen(tokens []Token, closing int) int {
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

// CloseParen returns the index of the parenthesis that closes tokens[open].
func CloseParen(tokens []Token, open int) int {
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

func isKeyword(word string) bool {
	switch word {
	case "select", "where", "and", "or", "not", "in", "on", "from", "values", "by", "set", "as", "then", "else", "when":
		return true
	}
	return false
}

// readType reads a type name at tokens[i] and returns it with the index of its
// last token.
func readType(tokens []Token, i int) (string, int) {
	name := tokens[i].Name()
	for i+2 < len(tokens) && tokens[i+1].Is(".") {
		i += 2
		name = tokens[i].Name()
	}
	next := func(word string) bool { return i+1 < len(tokens) && tokens[i+1].Is(word) }
	switch {
	case name == "double" && next("precision"):
		i++
		name = "float8"
	case name == "character" && next("varying"):
		i++
		name = "varchar"
	}
	if next("(") {
		if end := CloseParen(tokens, i+1); end > 0 {
			i = end
		}
	}
	if (name == "timestamp" || name == "time") && (next("with") || next("without")) {
		if next("with") {
			name += "tz"
		}
		i += 3
	}
	for next("[") || next("]") {
		i++
	}
	return name, min(i, len(tokens)-1)
}

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
