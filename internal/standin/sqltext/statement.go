package sqltext

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Class determines how the stand-in executes a statement.
type Class uint8

// Classes of statements.
const (
	Empty Class = iota
	// Read is a statement that changes no data. Write changes data or the schema
	// or, with FOR UPDATE or FOR SHARE, requests row locks.
	Read
	Write
	Begin
	Commit
	Rollback
	Savepoint
	Release
	RollbackTo
	Set
	Show
	Reset
	Discard
	Deallocate
	CopyIn
	CopyOut
	StartReplication
	Unsupported
)

// Statement is one statement of a query text.
type Statement struct {
	Tokens []Token
	Class  Class
	// Tag is the command tag without a row count, such as "INSERT 0".
	Tag string
	// CountsRows reports that the tag is followed by a row count.
	CountsRows bool
	// Returning reports that a statement of class Write returns rows.
	Returning bool
	// Params is the highest parameter number, so the count of parameters to bind.
	Params int
}

// maxParams is the highest parameter number; the count of parameters has 16 bits in the
// protocol.
const maxParams = 65535

// ErrParameter reports a parameter whose number is out of range.
var ErrParameter = errors.New("there is no parameter with this number")

// Parse splits a query text at its semicolons into statements. Statements without
// a token are left out. Its errors are ErrUnterminated and ErrParameter.
func Parse(src string) ([]*Statement, error) {
	tokens, err := Lex(src)
	if err != nil {
		return nil, err
	}
	for _, t := range tokens {
		if n, err := paramNumber(t); err != nil || n > maxParams {
			return nil, ErrParameter
		}
	}
	var out []*Statement
	start := 0
	for i := 0; i <= len(tokens); i++ {
		if i < len(tokens) && !tokens[i].Is(";") {
			continue
		}
		if i > start {
			out = append(out, newStatement(tokens[start:i]))
		}
		start = i + 1
	}
	return out, nil
}

// paramNumber returns the number of a parameter, and zero for any other token.
func paramNumber(t Token) (int, error) {
	if t.Kind != Param {
		return 0, nil
	}
	n, err := strconv.Atoi(t.Text[1:])
	if n < 1 {
		err = ErrParameter
	}
	return n, err
}

func newStatement(tokens []Token) *Statement {
	s := &Statement{Tokens: tokens}
	for _, t := range tokens {
		n, _ := paramNumber(t) // Parse has checked it
		s.Params = max(s.Params, n)
	}
	s.classify()
	return s
}

// FirstWord returns the text of the first token, or "" for an empty statement.
func (s *Statement) FirstWord() string {
	if len(s.Tokens) == 0 {
		return ""
	}
	return s.Tokens[0].Text
}

// textAt returns the text of the token at i, or "" beyond the end.
func (s *Statement) textAt(i int) string {
	if i >= len(s.Tokens) {
		return ""
	}
	return s.Tokens[i].Text
}

func (s *Statement) classify() {
	first := s.FirstWord()
	switch first {
	case "select", "values", "table", "with", "explain", "(":
		s.classifyQuery(first)
	case "insert", "update", "delete":
		s.classifyDataChange(first)
	case "create", "drop", "alter":
		s.Class, s.Tag = Write, strings.ToUpper(first+" "+s.objectType())
	case "truncate":
		s.Class, s.Tag = Write, "TRUNCATE TABLE"
	case "copy":
		s.classifyCopy()
	case "start_replication":
		s.Class = StartReplication
	default:
		s.classifyUtility(first)
	}
}

// objectType returns the kind of object that CREATE, DROP or ALTER names, such as
// "table".
func (s *Statement) objectType() string {
	for _, t := range s.Tokens[1:] {
		switch t.Text {
		case "unique", "temp", "temporary", "unlogged", "or", "replace":
			continue
		}
		return t.Text
	}
	return ""
}

// classifyDataChange handles INSERT, UPDATE and DELETE. The tag "INSERT 0" holds
// the obsolete object identifier that precedes the row count.
func (s *Statement) classifyDataChange(verb string) {
	s.Class, s.CountsRows = Write, true
	s.Tag = strings.ToUpper(verb)
	if verb == "insert" {
		s.Tag = "INSERT 0"
	}
	s.Returning = s.indexTopLevel("returning") >= 0
}

// classifyQuery handles statements that start like a query. WITH followed by a
// data change and a query with a locking clause are of class Write.
func (s *Statement) classifyQuery(first string) {
	s.Class, s.Tag, s.CountsRows = Read, "SELECT", true
	if first == "explain" {
		s.Tag, s.CountsRows = "EXPLAIN", false
		return
	}
	if first == "with" {
		for _, verb := range []string{"insert", "update", "delete"} {
			if s.indexTopLevel(verb) >= 0 {
				s.classifyDataChange(verb)
				return
			}
		}
	}
	if i := s.indexTopLevel("for"); i >= 0 && (s.textAt(i+1) == "update" || s.textAt(i+1) == "share") {
		s.Class, s.Returning = Write, true
	}
}

func (s *Statement) classifyCopy() {
	s.Tag, s.CountsRows = "COPY", true
	switch {
	case s.indexTopLevel("stdin") >= 0:
		s.Class = CopyIn
	case s.indexTopLevel("stdout") >= 0:
		s.Class = CopyOut
	default:
		s.Class = Unsupported
	}
}

// classifyUtility handles transaction control and settings.
func (s *Statement) classifyUtility(first string) {
	tag := strings.ToUpper(first)
	switch first {
	case "begin":
		s.Class = Begin
	case "start":
		s.Class, tag = Begin, "START TRANSACTION"
	case "commit", "end":
		s.Class, tag = Commit, "COMMIT"
	case "abort":
		s.Class, tag = Rollback, "ROLLBACK"
	case "rollback":
		s.Class = Rollback
		if s.indexTopLevel("to") >= 0 {
			s.Class = RollbackTo
		}
	case "savepoint":
		s.Class = Savepoint
	case "release":
		s.Class = Release
	case "set":
		s.Class = Set
	case "show":
		s.Class = Show
	case "reset":
		s.Class = Reset
	case "discard":
		s.Class, tag = Discard, "DISCARD ALL"
	case "deallocate":
		s.Class = Deallocate
	default:
		s.Class = Unsupported
	}
	s.Tag = tag
}

// indexTopLevel returns the index of the word's first occurrence outside
// parentheses, or -1.
func (s *Statement) indexTopLevel(word string) int {
	return indexTopLevel(s.Tokens, word)
}

func indexTopLevel(tokens []Token, word string) int {
	depth := 0
	for i, t := range tokens {
		switch {
		case t.Is("("):
			depth++
		case t.Is(")"):
			depth--
		case depth == 0 && t.Kind == Word && t.Text == word:
			return i
		}
	}
	return -1
}

// YieldsRows reports whether the statement returns rows. COPY data does not count.
func (s *Statement) YieldsRows() bool {
	return s.Class == Read || s.Class == Show || s.Class == Write && s.Returning
}

// DescribeQuery returns a query with the same result columns as the statement and
// without its effect. For a data change with RETURNING the query selects the
// returned expressions from the target table.
func (s *Statement) DescribeQuery() []Token {
	i := s.indexTopLevel("returning")
	if s.Class != Write || i < 0 {
		return s.Tokens
	}
	out := append([]Token{{Word, "select"}}, s.Tokens[i+1:]...)
	return append(out, Token{Word, "from"}, Token{QuotedName, `"` + s.targetTable() + `"`})
}
