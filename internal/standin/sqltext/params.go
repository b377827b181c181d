package sqltext

import "strconv"

// ColumnTypeFunc returns the data type of a column by table and column name, or
// Unknown. The table is empty if the statement names none. A column name "#N"
// stands for the table's column at the zero-based position N.
type ColumnTypeFunc func(table, column string) uint32

// ParamTypes infers the data types of the statement's parameters from their
// context: a cast, a compared column, a column of an INSERT or UPDATE, LIMIT or
// OFFSET. Element n-1 of the result is the type of $n. The first occurrence of a
// parameter with a known type decides; a parameter without one is Text.
func (s *Statement) ParamTypes(columns ColumnTypeFunc) []uint32 {
	types := make([]uint32, s.Params)
	table := s.targetTable()
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
	s.assignInsertTypes(types, table, columns)
	for i := range types {
		if types[i] == Unknown {
			types[i] = Text
		}
	}
	return types
}

// targetTable returns the first table that the statement names, without its
// schema, or "" if there is none.
func (s *Statement) targetTable() string {
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

// paramType returns the type of the parameter at tokens[i], or Unknown.
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
	if i >= 2 && isBinaryOperator(tokens[i-1]) && isName(tokens[i-2]) {
		return columns(table, tokens[i-2].Name())
	}
	if i+2 < len(tokens) && isBinaryOperator(tokens[i+1]) && isName(tokens[i+2]) {
		return columns(table, tokens[i+2].Name())
	}
	return s.inListType(i, table, columns)
}

// inListType returns the type of a parameter inside "column IN (...)". Parameters
// and commas are the only elements that may precede it in the list.
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

// isBinaryOperator reports whether t is an operator whose operands are assumed to
// have the same type.
func isBinaryOperator(t Token) bool {
	switch t.Text {
	case "=", "<", ">", "<=", ">=", "<>", "!=", "+", "-":
		return t.Kind == Op
	}
	return false
}

// assignInsertTypes gives the parameters in the VALUES rows of an INSERT the types
// of their columns. Without a column list they are the table's columns in order.
func (s *Statement) assignInsertTypes(types []uint32, table string, columns ColumnTypeFunc) {
	values := s.indexTopLevel("values")
	into := s.indexTopLevel("into")
	if values < 0 || into < 0 {
		return
	}
	names, ok := s.insertColumns(into, values)
	if !ok {
		return
	}
	for open := values + 1; open < len(s.Tokens) && s.Tokens[open].Is("("); {
		end := ClosingParen(s.Tokens, open)
		if end < 0 {
			return
		}
		assignRowTypes(types, s.Tokens[open+1:end], table, names, columns)
		open = end + 1
		if open < len(s.Tokens) && s.Tokens[open].Is(",") {
			open++
		}
	}
}

// insertColumns returns the column list between INTO and VALUES, nil if there is none. It
// reports false for a list that is not closed or has an empty element.
func (s *Statement) insertColumns(into, values int) (names []string, ok bool) {
	if into > values {
		return nil, false
	}
	open := firstOpeningParen(s.Tokens[into:values])
	if open < 0 {
		return nil, true
	}
	open += into
	end := ClosingParen(s.Tokens, open)
	if end < 0 {
		return nil, false
	}
	for _, part := range splitCommas(s.Tokens[open+1 : end]) {
		if len(part) == 0 {
			return nil, false
		}
		names = append(names, part[0].Name())
	}
	return names, true
}

// assignRowTypes handles one row of VALUES. names is the column list of the INSERT,
// nil without one. Elements that are not a single parameter are skipped.
func assignRowTypes(types []uint32, row []Token, table string, names []string, columns ColumnTypeFunc) {
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

func firstOpeningParen(tokens []Token) int {
	for i, t := range tokens {
		if t.Is("(") {
			return i
		}
	}
	return -1
}
