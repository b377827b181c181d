package sqltext

import (
	"strings"

	"github.com/pkg/errors"
)

// Relation is the content of a system view or the result of a table function.
// Its values are SQL literals.
type Relation struct {
	Columns []string
	Rows    [][]string
}

// Resolver evaluates the server's own functions and views while a statement runs.
type Resolver interface {
	// Function returns the result of a call as an SQL literal. The boolean is
	// false if the server does not evaluate the function; the call then stays
	// in the statement.
	Function(name string, args []string) (string, bool, error)
	// Relation returns a system view or the result of a table function by name.
	Relation(name string) (Relation, bool)
	// Param returns the text of the bound parameter $n; n is the decimal number
	// without the dollar sign and starts at 1.
	Param(n string) string
}

// volatileFunctions are the functions whose result depends on the server, the
// session or the time. Functions with the prefix pg_ count as volatile as well.
var volatileFunctions = map[string]bool{
	"now": true, "clock_timestamp": true, "random": true, "version": true, "current_setting": true,
	"set_config": true, "gen_random_uuid": true, "current_timestamp": true, "current_user": true,
	"session_user": true, "current_database": true, "txid_current": true, "statement_timestamp": true,
	"transaction_timestamp": true, "current_date": true, "current_schema": true,
}

// Volatile reports whether the statement uses functions or views of the server,
// which must be evaluated at each execution.
func (s *Statement) Volatile() bool {
	for _, t := range s.Tokens {
		if t.Kind == Word && (volatileFunctions[t.Text] || strings.HasPrefix(t.Text, "pg_")) {
			return true
		}
	}
	return false
}

// Calls reports whether the statement calls the named function.
func (s *Statement) Calls(function string) bool {
	for i, t := range s.Tokens {
		if t.Is(function) && i+1 < len(s.Tokens) && s.Tokens[i+1].Is("(") {
			return true
		}
	}
	return false
}

// Expand replaces calls of the server's functions by literals and the server's
// views by subqueries over literals. It returns the error of the function, or a
// syntax error for a call without a closing parenthesis.
func Expand(tokens []Token, resolver Resolver) ([]Token, error) {
	out := make([]Token, 0, len(tokens)+16)
	for i := 0; i < len(tokens); i++ {
		replaced, end, err := expandAt(tokens, i, resolver)
		if err != nil {
			return nil, err
		}
		if end < 0 {
			out = append(out, tokens[i])
			continue
		}
		out = append(out, replaced...)
		i = end
	}
	return out, nil
}

// expandAt returns the replacement of the tokens from i up to and including the
// returned index, or the index -1 if nothing is replaced. A qualified name is
// replaced only if its schema is pg_catalog.
func expandAt(tokens []Token, i int, resolver Resolver) ([]Token, int, error) {
	if field, end, ok := compositeField(tokens, i, resolver); ok {
		return field, end, nil
	}
	t := tokens[i]
	if t.Kind != Word || i > 0 && tokens[i-1].Is(".") && (i == 1 || !tokens[i-2].Is("pg_catalog")) {
		return nil, -1, nil
	}
	isCall := i+1 < len(tokens) && tokens[i+1].Is("(")
	if followsFromOrJoin(tokens, i) {
		return expandRelation(tokens, i, isCall, resolver)
	}
	if !isCall {
		literal, ok, err := bareFunction(t.Text, resolver)
		if err != nil || !ok {
			return nil, -1, err
		}
		return literalTokens(literal), i, nil
	}
	if !volatileFunctions[t.Text] && !strings.HasPrefix(t.Text, "pg_") {
		return nil, -1, nil
	}
	end := ClosingParen(tokens, i+1)
	if end < 0 {
		return nil, -1, errors.New("syntax error: unbalanced parentheses")
	}
	literal, ok, err := resolver.Function(t.Text, argValues(tokens[i+2:end], resolver))
	if err != nil || !ok {
		return nil, -1, err
	}
	return literalTokens(literal), end, nil
}

// bareFunction evaluates the functions that SQL writes without parentheses.
func bareFunction(name string, resolver Resolver) (string, bool, error) {
	switch name {
	case "current_timestamp", "current_user", "session_user", "current_date", "current_schema":
		return resolver.Function(name, nil)
	}
	return "", false, nil
}

// literalTokens returns a literal as one token. All literals but strings, null
// and true included, become Number tokens, which are rendered unchanged.
func literalTokens(literal string) []Token {
	if strings.HasPrefix(literal, "'") {
		return []Token{{String, literal}}
	}
	return []Token{{Number, literal}}
}

// argValues returns the values of a call's arguments. Each argument is taken to
// be a single literal, name or parameter: only its first token is read.
func argValues(tokens []Token, resolver Resolver) []string {
	if len(tokens) == 0 {
		return nil
	}
	var out []string
	for _, expr := range splitCommas(tokens) {
		if len(expr) == 0 {
			continue
		}
		out = append(out, argValue(expr[0], resolver))
	}
	return out
}

func argValue(t Token, resolver Resolver) string {
	switch t.Kind {
	case String:
		return Unquote(t.Text)
	case Param:
		return resolver.Param(t.Text[1:])
	}
	return t.Text
}

// followsFromOrJoin reports whether tokens[i], with or without a schema, directly
// follows FROM or JOIN. A relation after a comma in the FROM list is not recognized.
func followsFromOrJoin(tokens []Token, i int) bool {
	if i > 1 && tokens[i-1].Is(".") {
		i -= 2
	}
	if i == 0 {
		return false
	}
	return tokens[i-1].Is("from") || tokens[i-1].Is("join")
}

// expandRelation replaces a view or table function by a subquery. The subquery
// gets the relation's name as its alias unless the statement gives another.
func expandRelation(tokens []Token, i int, isCall bool, resolver Resolver) ([]Token, int, error) {
	rel, ok := resolver.Relation(tokens[i].Text)
	if !ok {
		return nil, -1, nil
	}
	end := i
	if isCall {
		end = ClosingParen(tokens, i+1)
	}
	out := []Token{{Op, "("}, {Word, rel.query()}, {Op, ")"}}
	if end+1 >= len(tokens) || !tokens[end+1].Is("as") && !isAlias(tokens[end+1]) {
		out = append(out, Token{Word, "as"}, Token{Word, tokens[i].Text})
	}
	return out, end, nil
}

func isAlias(t Token) bool {
	switch t.Text {
	case "where", "order", "group", "limit", "join", "left", "inner", "cross", "union", "having":
		return false
	}
	return isName(t)
}

// query returns a SELECT that yields the relation's rows.
func (r Relation) query() string {
	if len(r.Rows) == 0 {
		return "select null as " + strings.Join(r.Columns, ", null as ") + " where 0"
	}
	selects := make([]string, len(r.Rows))
	for i, row := range r.Rows {
		fields := make([]string, len(row))
		for j, value := range row {
			fields[j] = value + " as " + r.Columns[j]
		}
		selects[i] = "select " + strings.Join(fields, ", ")
	}
	return strings.Join(selects, " union all ")
}

// compositeField replaces "(function()).field" by the field's value. It returns false,
// and the expression stays as it is, unless the function returns exactly one row with
// that field.
func compositeField(tokens []Token, i int, resolver Resolver) ([]Token, int, bool) {
	if i+6 >= len(tokens) || !tokens[i].Is("(") || !tokens[i+2].Is("(") || !tokens[i+3].Is(")") ||
		!tokens[i+4].Is(")") || !tokens[i+5].Is(".") {
		return nil, 0, false
	}
	rel, ok := resolver.Relation(tokens[i+1].Text)
	if !ok || len(rel.Rows) != 1 {
		return nil, 0, false
	}
	for j, name := range rel.Columns {
		if name == tokens[i+6].Text {
			return literalTokens(rel.Rows[0][j]), i + 6, true
		}
	}
	return nil, 0, false
}
