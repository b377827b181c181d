package sqltext

import "strings"

// ResultColumn describes one expression of a select list or RETURNING clause.
type ResultColumn struct {
	// Name is the column name that PostgreSQL would report, or "" if SQLite reports
	// the same name.
	Name string
	// Type is the object identifier of the data type, or Unknown.
	Type uint32
}

// ResultColumns returns the columns of the statement's result. It returns nil if
// the text does not determine them, as with "*".
func (s *Statement) ResultColumns() []ResultColumn {
	list := s.resultList()
	if len(list) == 0 {
		return nil
	}
	var items []ResultColumn
	for _, expr := range splitCommas(list) {
		if len(expr) == 0 || expr[len(expr)-1].Is("*") {
			return nil
		}
		items = append(items, describeColumn(expr))
	}
	return items
}

// resultList returns the tokens of the select list or RETURNING clause, without
// DISTINCT or ALL.
func (s *Statement) resultList() []Token {
	tokens := s.Tokens
	if s.Class == Write && s.FirstWord() != "select" {
		i := s.indexTopLevel("returning")
		if i < 0 {
			return nil
		}
		return tokens[i+1:]
	}
	i := s.indexTopLevel("select")
	if i < 0 {
		return nil
	}
	list := tokens[i+1:]
	if len(list) > 0 && (list[0].Is("distinct") || list[0].Is("all")) {
		list = list[1:]
	}
	for _, end := range []string{"from", "where", "union", "order", "limit", "for", "group", "having", "offset"} {
		if j := indexTopLevel(list, end); j >= 0 {
			list = list[:j]
		}
	}
	return list
}

// splitCommas splits tokens at the commas outside parentheses.
func splitCommas(tokens []Token) [][]Token {
	var out [][]Token
	depth, start := 0, 0
	for i, t := range tokens {
		switch {
		case t.Is("("):
			depth++
		case t.Is(")"):
			depth--
		case depth == 0 && t.Is(","):
			out = append(out, tokens[start:i])
			start = i + 1
		}
	}
	return append(out, tokens[start:])
}

// describeColumn returns name and type of a result expression with or without an
// alias; the alias may follow without AS.
func describeColumn(expr []Token) ResultColumn {
	if i := indexTopLevel(expr, "as"); i >= 0 && i+1 < len(expr) {
		return ResultColumn{Name: expr[i+1].Name(), Type: exprType(expr[:i])}
	}
	n := len(expr)
	if n >= 2 && isName(expr[n-1]) && endsOperand(expr[n-2]) {
		return ResultColumn{Name: expr[n-1].Name(), Type: exprType(expr[:n-1])}
	}
	return ResultColumn{Name: exprName(expr), Type: exprType(expr)}
}

// isName reports whether t may be the name of a column, table or alias.
func isName(t Token) bool {
	return t.Kind == QuotedName || t.Kind == Word && !isKeyword(t.Text) && t.Text != "end" && t.Text != "null"
}

// endsOperand reports whether an expression may end with t, so that a name after
// it is an alias.
func endsOperand(t Token) bool {
	return t.Is(")") || t.Kind == Number || t.Kind == String || t.Kind == Param || isName(t)
}

// exprName returns the column name that PostgreSQL derives from an expression
// without an alias: a column's or function's name, the target type of a cast, or
// "?column?".
func exprName(expr []Token) string {
	first := expr[0]
	if n := len(expr); n >= 3 && n%2 == 1 && expr[n-2].Is(".") {
		return expr[n-1].Name()
	}
	switch {
	case len(expr) == 1 && (first.Is("true") || first.Is("false")):
		return "bool"
	case len(expr) == 1 && isName(first):
		return ""
	case first.Is("case"), first.Is("exists"):
		return first.Text
	case first.Kind == Word && len(expr) > 1 && expr[1].Is("("):
		return first.Text
	}
	if i := castIndex(expr); i > 0 {
		if i == 1 && isName(first) {
			return first.Name()
		}
		name, _ := readType(expr, i+1)
		return name
	}
	return "?column?"
}

// castIndex returns the index of the last "::" if its type name ends the
// expression, or else -1.
func castIndex(expr []Token) int {
	for i := len(expr) - 2; i > 0; i-- {
		if !expr[i].Is("::") {
			continue
		}
		if _, end := readType(expr, i+1); end == len(expr)-1 {
			return i
		}
		return -1
	}
	return -1
}

// functionTypes maps functions to their result types.
var functionTypes = map[string]uint32{
	"count": Int8, "length": Int4, "char_length": Int4, "octet_length": Int4, "pg_is_in_recovery": Bool,
	"pg_promote": Bool, "exists": Bool, "pg_backend_pid": Int4, "lower": Text, "upper": Text, "version": Text,
	"current_setting": Text, "set_config": Text, "now": Timestamptz, "clock_timestamp": Timestamptz,
	"avg": Float8, "pg_sleep": Text, "pg_current_wal_lsn": LSN, "pg_last_wal_receive_lsn": LSN,
	"pg_last_wal_replay_lsn": LSN, "pg_wal_lsn_diff": Numeric, "gen_random_uuid": UUID, "random": Float8,
	"pg_last_xact_replay_timestamp": Timestamptz, "txid_current": Int8, "pg_current_wal_flush_lsn": LSN,
}

// exprType infers the data type of an expression from its outermost element: a
// cast, a literal, a function call, a comparison or a concatenation. It returns
// Unknown for anything else.
func exprType(expr []Token) uint32 {
	if len(expr) == 0 {
		return Unknown
	}
	first := expr[0]
	if i := castIndex(expr); i > 0 && !hasOperator(expr[:i]) {
		name, _ := readType(expr, i+1)
		return TypeOf(name)
	}
	if len(expr) == 1 {
		return literalType(first)
	}
	if first.Is("cast") && len(expr) > 2 && expr[1].Is("(") && expr[len(expr)-1].Is(")") {
		if i := indexTopLevel(expr[2:len(expr)-1], "as"); i >= 0 {
			name, _ := readType(expr, i+3)
			return TypeOf(name)
		}
	}
	if first.Kind == Word && expr[1].Is("(") && ClosingParen(expr, 1) == len(expr)-1 {
		return functionTypes[first.Text]
	}
	if isComparison(expr) {
		return Bool
	}
	if hasTopLevelOperator(expr, "||") {
		return Text
	}
	return Unknown
}

// hasOperator reports whether expr has one of the listed binary operators outside
// parentheses.
func hasOperator(expr []Token) bool {
	for _, op := range []string{"+", "-", "*", "/", "||", "=", "<", ">"} {
		if hasTopLevelOperator(expr, op) {
			return true
		}
	}
	return false
}

// hasTopLevelOperator reports whether expr has the operator outside parentheses.
func hasTopLevelOperator(expr []Token, op string) bool {
	depth := 0
	for _, t := range expr {
		switch {
		case t.Is("("):
			depth++
		case t.Is(")"):
			depth--
		case depth == 0 && t.Kind == Op && t.Text == op:
			return true
		}
	}
	return false
}

// isComparison reports whether expr starts with NOT or has a comparison operator
// outside parentheses. A CASE expression is not a comparison.
func isComparison(expr []Token) bool {
	if expr[0].Is("not") {
		return true
	}
	for _, op := range []string{"=", "<>", "!=", "<", ">", "<=", ">="} {
		if hasTopLevelOperator(expr, op) {
			return expr[0].Text != "case"
		}
	}
	return false
}

// literalType returns the type of a single token. An integer of up to 9 digits
// always fits int4; longer ones are int8.
func literalType(t Token) uint32 {
	switch {
	case t.Kind == Number && len(t.Text) < 10 && !strings.ContainsAny(t.Text, ".eE"):
		return Int4
	case t.Kind == Number && !strings.ContainsAny(t.Text, ".eE"):
		return Int8
	case t.Kind == Number:
		return Float8
	case t.Kind == String, t.Is("current_user"), t.Is("session_user"):
		return Text
	case t.Is("true"), t.Is("false"):
		return Bool
	case t.Is("current_timestamp"):
		return Timestamptz
	}
	return Unknown
}
