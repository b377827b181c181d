// Package sqltext splits SQL text in PostgreSQL's dialect into statements,
// classifies them, infers the types of their parameters and result columns, and
// rewrites them for SQLite. It works on tokens, without a grammar, and covers the
// part of the language that the stand-in endpoint needs; SQLite reports the
// remaining syntax errors. The package performs no I/O.
package sqltext

import (
	"strings"

	"github.com/pkg/errors"
)

// Kind is the lexical class of a token.
type Kind uint8

// Lexical classes.
const (
	Word Kind = iota
	QuotedName
	String
	Number
	Param
	Op
)

// Token is one lexical element of a statement.
type Token struct {
	Kind Kind
	// Text is the source text with its quotes. Words are in lower case; strings
	// with escapes or dollar quotes are rewritten as standard string literals.
	Text string
}

// Is reports whether t is the given word or operator.
func (t Token) Is(text string) bool {
	return (t.Kind == Word || t.Kind == Op) && t.Text == text
}

// ErrUnterminated reports a quoted string, quoted name or comment without an end.
var ErrUnterminated = errors.New("unterminated quoted string or comment")

type lexer struct {
	src    string
	pos    int
	tokens []Token
}

// Lex splits src into tokens and drops comments and white space. A byte that starts
// no other token becomes an operator, so its only error is ErrUnterminated.
func Lex(src string) ([]Token, error) {
	l := &lexer{src: src}
	for l.pos < len(l.src) {
		if err := l.next(); err != nil {
			return nil, err
		}
	}
	return l.tokens, nil
}

func (l *lexer) next() error {
	c := l.src[l.pos]
	switch {
	case isSpace(c):
		l.pos++
	case strings.HasPrefix(l.src[l.pos:], "--"):
		l.skipLine()
	case strings.HasPrefix(l.src[l.pos:], "/*"):
		return l.skipBlock()
	case c == '\'':
		return l.lexQuoted(String, '\'')
	case c == '"':
		return l.lexQuoted(QuotedName, '"')
	case (c == 'e' || c == 'E') && l.peek(1) == '\'':
		return l.lexEscaped()
	case c == '$' && isDigit(l.peek(1)):
		l.emit(Param, l.scanWhile(l.pos+1, isDigit))
	case c == '$':
		return l.lexDollarQuoted()
	case isDigit(c) || (c == '.' && isDigit(l.peek(1))):
		l.emit(Number, l.scanNumber())
	case isLetter(c):
		l.emit(Word, l.scanWhile(l.pos, isWordPart))
	default:
		l.lexOperator()
	}
	return nil
}

// peek returns the byte n positions ahead, or 0 beyond the end.
func (l *lexer) peek(n int) byte {
	if l.pos+n >= len(l.src) {
		return 0
	}
	return l.src[l.pos+n]
}

// scanWhile returns the index of the first byte, at from or later, for which accept
// returns false.
func (l *lexer) scanWhile(from int, accept func(byte) bool) int {
	for from < len(l.src) && accept(l.src[from]) {
		from++
	}
	return from
}

// emit appends the source text up to end as a token and moves past it.
func (l *lexer) emit(kind Kind, end int) {
	text := l.src[l.pos:end]
	if kind == Word {
		text = strings.ToLower(text)
	}
	l.tokens = append(l.tokens, Token{Kind: kind, Text: text})
	l.pos = end
}

func (l *lexer) skipLine() {
	end := strings.IndexByte(l.src[l.pos:], '\n')
	if end < 0 {
		l.pos = len(l.src)
		return
	}
	l.pos += end + 1
}

// skipBlock skips a block comment up to the first "*/"; nested comments are not
// supported.
func (l *lexer) skipBlock() error {
	end := strings.Index(l.src[l.pos+2:], "*/")
	if end < 0 {
		return ErrUnterminated
	}
	l.pos += end + 4
	return nil
}

// lexQuoted reads a string or quoted name in which a doubled quote stands for one
// quote.
func (l *lexer) lexQuoted(kind Kind, quote byte) error {
	for end := l.pos + 1; end < len(l.src); end++ {
		if l.src[end] != quote {
			continue
		}
		if end+1 < len(l.src) && l.src[end+1] == quote {
			end++
			continue
		}
		l.emit(kind, end+1)
		return nil
	}
	return ErrUnterminated
}

// lexEscaped reads a string with backslash escapes, such as E'a\n', and emits it
// as a standard string literal.
func (l *lexer) lexEscaped() error {
	var value strings.Builder
	for i := l.pos + 2; i < len(l.src); i++ {
		c := l.src[i]
		switch {
		case c == '\\' && i+1 < len(l.src):
			i++
			value.WriteByte(unescape(l.src[i]))
		case c == '\'' && i+1 < len(l.src) && l.src[i+1] == '\'':
			i++
			value.WriteByte('\'')
		case c == '\'':
			l.tokens = append(l.tokens, Token{Kind: String, Text: Quote(value.String())})
			l.pos = i + 1
			return nil
		default:
			value.WriteByte(c)
		}
	}
	return ErrUnterminated
}

// unescape returns the byte that a backslash and c stand for. Octal, hexadecimal
// and Unicode escapes are not supported.
func unescape(c byte) byte {
	switch c {
	case 'n':
		return '\n'
	case 't':
		return '\t'
	case 'r':
		return '\r'
	}
	return c
}

// lexDollarQuoted reads a dollar-quoted string, such as $tag$text$tag$, and emits
// it as a standard string literal.
func (l *lexer) lexDollarQuoted() error {
	tagEnd := l.scanWhile(l.pos+1, isWordPart)
	if tagEnd >= len(l.src) || l.src[tagEnd] != '$' {
		l.lexOperator()
		return nil
	}
	tag := l.src[l.pos : tagEnd+1]
	length := strings.Index(l.src[tagEnd+1:], tag)
	if length < 0 {
		return ErrUnterminated
	}
	text := l.src[tagEnd+1 : tagEnd+1+length]
	l.tokens = append(l.tokens, Token{Kind: String, Text: Quote(text)})
	l.pos = tagEnd + 1 + length + len(tag)
	return nil
}

// scanNumber returns the index after the number at the current position.
func (l *lexer) scanNumber() int {
	end := l.scanWhile(l.pos, func(c byte) bool { return isDigit(c) || c == '.' })
	if end < len(l.src) && (l.src[end] == 'e' || l.src[end] == 'E') {
		exp := end + 1
		if exp < len(l.src) && (l.src[exp] == '+' || l.src[exp] == '-') {
			exp++
		}
		if exp < len(l.src) && isDigit(l.src[exp]) {
			end = l.scanWhile(exp, isDigit)
		}
	}
	return end
}

// longOperators are the operators of several characters. An operator stands before
// its own prefixes, since the first match is taken.
var longOperators = []string{"::", "<=", ">=", "<>", "!=", "||", "->>", "->"}

func (l *lexer) lexOperator() {
	for _, op := range longOperators {
		if strings.HasPrefix(l.src[l.pos:], op) {
			l.emit(Op, l.pos+len(op))
			return
		}
	}
	l.emit(Op, l.pos+1)
}

func isSpace(c byte) bool  { return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' }
func isDigit(c byte) bool  { return c >= '0' && c <= '9' }
func isLetter(c byte) bool { return c == '_' || c|0x20 >= 'a' && c|0x20 <= 'z' || c >= 0x80 }
func isWordPart(c byte) bool {
	return isLetter(c) || isDigit(c)
}

// Quote returns text as an SQL string literal.
func Quote(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}

// Unquote returns the value of a string literal or quoted name. The first byte
// counts as the quote character.
func Unquote(literal string) string {
	if len(literal) < 2 {
		return literal
	}
	quote := literal[:1]
	return strings.ReplaceAll(literal[1:len(literal)-1], quote+quote, quote)
}

// Name returns the token's text as a name: without its quotes if it is a quoted
// name or string.
func (t Token) Name() string {
	if t.Kind == QuotedName || t.Kind == String {
		return Unquote(t.Text)
	}
	return t.Text
}
