package sqltext

import (
	"strconv"
	"strings"
)

// Class tells how a statement is executed.
type Class uint8

// Classes of statements.
const (
	Empty Class = iota
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

// Statement is one statement of a query.
type Statement struct {
	Tokens []Token
	Class  Class
	// Tag is the command tag without a row count, such as "INSERT 0".
	Tag string
	// CountsRows reports that the tag is followed by a row count.
	CountsRows bool
	// Returning reports that a writing statement yields rows.
	Returning bool
	// Params is the number of the highest parameter.
	Params int
}

// Parse splits a query text into its statements.
func Parse(src string) ([]*Statement, error) {
	tokens, err := Lex(src)
	if err != nil {
		return nil, err
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

func newStatement(tokens []Token) *Statement {
	s := &Statement{Tokens: tokens}
	for _, t := range tokens {
		if t.Kind == Param {
			n, _ := strconv.Atoi(t.Text[1:])
			s.Params = max(s.Params, n)
		}
	}
	s.classify()
	return s
}

// First returns the first word of the statement.
func (s *Statement) First() string {
	if len(s.Tokens) == 0 {
		return ""
	}
	return s.Tokens[0].Text
}

func (s *Statement) wordAt(i int) string {
	if i >= len(s.Tokens) {
		return ""
	}
	return s.Tokens[i].Text
}

func (s *Statement) classify() {
	first := s.First()
	switch first {
	case "select", "values", "table", "with", "explain", "(":
		s.classifyQuery(first)
	case "insert", "update", "delete":
		s.setData(first)
	case "create", "drop", "alter":
		s.Class, s.Tag = Write, strings.ToUpper(first+" "+s.objectType())
	case "truncate":
		s.Class, s.Tag = Write, "TRUNCATE TABLE"
	case "copy":
		s.classifyCopy()
	case "start_replication":
		s.Class = StartReplication
	default:
		s.classifySession(first)
	}
}

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

func (s *Statement) setData(verb string) {
	s.Class, s.CountsRows = Write, true
	s.Tag = strings.ToUpper(verb)
	if verb == "insert" {
		s.Tag = "INSERT 0"
	}
	s.Returning = s.topLevel("returning") >= 0
}

func (s *Statement) classifyQuery(first string) {
	s.Class, s.Tag, s.CountsRows = Read, "SELECT", true
	if first == "explain" {
		s.Tag, s.CountsRows = "EXPLAIN", false
		return
	}
	if first == "with" {
		for _, verb := range []string{"insert", "update", "delete"} {
			if s.topLevel(verb) >= 0 {
				s.setData(verb)
				return
			}
		}
	}
	if i := s.topLevel("for"); i >= 0 && (s.wordAt(i+1) == "update" || s.wordAt(i+1) == "share") {
		s.Class, s.Returning = Write, true
	}
}

func (s *Statement) classifyCopy() {
	s.Tag, s.CountsRows = "COPY", true
	switch {
	case s.topLevel("stdin") >= 0:
		s.Class = CopyIn
	case s.topLevel("stdout") >= 0:
		s.Class = CopyOut
	default:
		s.Class = Unsupported
	}
}

func (s *Statement) classifySession(first string) {
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
		if s.topLevel("to") >= 0 {
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

// topLevel returns the index of the first such word outside parentheses, or -1.
func (s *Statement) topLevel(word string) int {
	return topLevel(s.Tokens, word)
}

func topLevel(tokens []Token, word string) int {
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

// YieldsRows reports whether the statement answers with rows.
func (s *Statement) YieldsRows() bool {
	return s.Class == Read || s.Class == Show || s.Class == Write && s.Returning
}

// DescribeQuery returns a query with the same result columns as the statement and no
// effect. For a statement with RETURNING it selects the list from the table.
func (s *Statement) DescribeQuery() []Token {
	i := s.topLevel("returning")
	if s.Class != Write || i < 0 {
		return s.Tokens
	}
	out := append([]Token{{Word, "select"}}, s.Tokens[i+1:]...)
	return append(out, Token{Word, "from"}, Token{QuotedName, `"` + s.target() + `"`})
}
