package sqltext

import "strconv"

// ColumnTypeFunc yields the data type of a column by table and column name, or
// Unknown. The table may be empty when the text does not name it.
type ColumnTypeFunc func(table, column string) uint32

// ParamTypes infers the data types of the statement's parameters from their
// place: a cast, a compared column, a column of an INSERT or an UPDATE, a limit.
// What cannot be inferred is Text.
func (s *Statement) ParamTypes(columns ColumnTypeFunc) []uint32 {
	types := make([]uint32, s.Params)
	table := s.target()
	for i, t := range s.Tokens {
		if t.Kind != Param {
			continue
		}
		n, _ := strconv.Atoi(t.Text[1:])
		if n < 1 || types[n-1] != Unknown {
			continue
		}
		types[n-1] = s.paramType(i, table, columns)
	}
	s.insertTypes(types, table, columns)
	for i := range types {
		if types[i] == Unknown {
			types[i] = Text
		}
	}
	return types
}

// target returns the first table that the statement names.
func (s *Statement) target() string {
	for i, t := range s.Tokens {
		if !t.Is("from") && !t.Is("into") && !(t.Is("update") && i == 0) {
			continue
		}
		j := i + 1
		for j+2 < len(s.Tokens) && s.Tokens[j+1].Is(".") {
			j += 2
		}
		if j < len(s.Tokens) {
			return s.Tokens[j].Name()
		}
	}
	return ""
}

func (s *Statement) paramType(i int, table string, columns ColumnTypeFunc) uint32 {
	tokens := s.Tokens
	if i+2 < len(tokens) && tokens[i+1].Is("::") {
		name, _ := readType(tokens, i+2)
		return TypeOf(name)
	}
	if i+2 < len(tokens) && tokens[i+1].Is("as") && i >= 2 && tokens[i-2].Is("cast") {
		name, _ := readType(tokens, i+2)
		return TypeOf(name)
	}
	if i == 0 {
		return Unknown
	}
	if tokens[i-1].Is("limit") || tokens[i-1].Is("offset") {
		return Int8
	}
	if i >= 2 && isCompare(tokens[i-1]) && isName(tokens[i-2]) {
		return columns(table, tokens[i-2].Name())
	}
	if i+2 < len(tokens) && isCompare(tokens[i+1]) && isName(tokens[i+2]) {
		return columns(table, tokens[i+2].Name())
	}
	return s.inListType(i, table, columns)
}

// inListType handles a parameter inside "column IN (...)".
func (s *Statement) inListType(i int, table string, columns ColumnTypeFunc) uint32 {
	for j := i - 1; j >= 2; j-- {
		t := s.Tokens[j]
		if t.Kind == Param || t.Is(",") {
			continue
		}
		if t.Is("(") && s.Tokens[j-1].Is("in") && isName(s.Tokens[j-2]) {
			return columns(table, s.Tokens[j-2].Name())
		}
		return Unknown
	}
	return Unknown
}

func isCompare(t Token) bool {
	switch t.Text {
	case "=", "<", ">", "<=", ">=", "<>", "!=", "+", "-":
		return t.Kind == Op
	}
	return false
}

// insertTypes assigns the types of INSERT columns to the parameters of VALUES.
func (s *Statement) insertTypes(types []uint32, table string, columns ColumnTypeFunc) {
	values := s.topLevel("values")
	into := s.topLevel("into")
	if values < 0 || into < 0 {
		return
	}
	var names []string
	if open := firstParen(s.Tokens[into:values]); open >= 0 {
		open += into
		for _, part := range splitCommas(s.Tokens[open+1 : CloseParen(s.Tokens, open)]) {
			names = append(names, part[0].Name())
		}
	}
	for open := values + 1; open < len(s.Tokens) && s.Tokens[open].Is("("); {
		end := CloseParen(s.Tokens, open)
		if end < 0 {
			return
		}
		assignRow(types, s.Tokens[open+1:end], table, names, columns)
		open = end + 1
		if open < len(s.Tokens) && s.Tokens[open].Is(",") {
			open++
		}
	}
}

func assignRow(types []uint32, row []Token, table string, names []string, columns ColumnTypeFunc) {
	for i, expr := range splitCommas(row) {
		if len(expr) != 1 || expr[0].Kind != Param {
			continue
		}
		n, _ := strconv.Atoi(expr[0].Text[1:])
		if n < 1 || types[n-1] != Unknown {
			continue
		}
		name := "#" + strconv.Itoa(i)
		if names != nil {
			if i >= len(names) {
				continue
			}
			name = names[i]
		}
		types[n-1] = columns(table, name)
	}
}

func firstParen(tokens []Token) int {
	for i, t := range tokens {
		if t.Is("(") {
			return i
		}
	}
	return -1
}
