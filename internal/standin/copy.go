package standin

import (
	"bytes"
	"context"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/galenabridge/galenabridge/internal/standin/sqltext"
)

// copySpec is a parsed COPY statement.
type copySpec struct {
	table   string
	columns []string
	// query holds the tokens of COPY (query) TO STDOUT, nil for a table.
	query  []sqltext.Token
	binary bool
}

// parseCopy reads the target, the column list and the format of a COPY
// statement. It returns an error for CSV, which is not supported.
func parseCopy(st *sqltext.Statement) (copySpec, error) {
	var spec copySpec
	tokens := st.Tokens[1:]
	for _, t := range tokens {
		spec.binary = spec.binary || t.Is("binary")
		if t.Is("csv") {
			return spec, sqlErrorf(sqlStateNotSupported, "COPY in CSV format is not supported by the stand-in")
		}
	}
	if len(tokens) > 0 && tokens[0].Is("(") {
		end := sqltext.ClosingParen(tokens, 0)
		if end < 0 {
			return spec, sqlErrorf(sqlStateSyntax, "syntax error in COPY")
		}
		spec.query = tokens[1:end]
		return spec, nil
	}
	for len(tokens) > 2 && tokens[1].Is(".") {
		tokens = tokens[2:]
	}
	if len(tokens) == 0 {
		return spec, sqlErrorf(sqlStateSyntax, "syntax error in COPY")
	}
	spec.table = tokens[0].Name()
	if len(tokens) > 1 && tokens[1].Is("(") {
		for _, t := range tokens[2:] {
			if t.Is(")") {
				break
			}
			if !t.Is(",") {
				spec.columns = append(spec.columns, t.Name())
			}
		}
	}
	return spec, nil
}

// selectText returns a query with the columns that COPY reads or writes.
func (c copySpec) selectText() string {
	if len(c.columns) == 0 {
		return "select * from " + quoteName(c.table)
	}
	return "select \"" + strings.Join(c.columns, "\", \"") + "\" from " + quoteName(c.table)
}

// copyOut runs COPY ... TO STDOUT in text format.
func (s *session) copyOut(ctx context.Context, st *sqltext.Statement) (*rowSet, error) {
	spec, err := parseCopy(st)
	if err != nil {
		return nil, err
	}
	if spec.binary {
		return nil, sqlErrorf(sqlStateNotSupported, "COPY TO in binary format is not supported by the stand-in")
	}
	text := ""
	if spec.query != nil {
		inner := &sqltext.Statement{Tokens: spec.query}
		text, err = s.engineSQL(ctx, inner, nil)
	} else {
		text = spec.selectText()
	}
	if err != nil {
		return nil, err
	}
	if err := s.ensureSnapshot(ctx); err != nil {
		return nil, err
	}
	set, err := s.queryEngine(ctx, text, nil)
	if err != nil {
		return nil, err
	}
	s.be.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: make([]uint16, len(set.columns))})
	for _, row := range set.rows {
		s.be.Send(&pgproto3.CopyData{Data: copyLine(set.columns, row)})
	}
	s.be.Send(&pgproto3.CopyDone{})
	return &rowSet{affected: set.affected}, nil
}

var copyEscaper = strings.NewReplacer("\\", `\\`, "\n", `\n`, "\r", `\r`, "\t", `\t`)

// copyLine encodes a row in the text format of COPY.
func copyLine(columns []column, row []any) []byte {
	var line bytes.Buffer
	for i, v := range row {
		if i > 0 {
			line.WriteByte('\t')
		}
		if v == nil {
			line.WriteString(`\N`)
			continue
		}
		line.WriteString(copyEscaper.Replace(string(encodeText(columns[i].oid, v))))
	}
	line.WriteByte('\n')
	return line.Bytes()
}

// copyIn runs COPY ... FROM STDIN in text or binary format.
func (s *session) copyIn(ctx context.Context, st *sqltext.Statement) (*rowSet, error) {
	spec, err := parseCopy(st)
	if err != nil {
		return nil, err
	}
	if err := s.ensureWrite(ctx, "COPY FROM"); err != nil {
		return nil, err
	}
	target, err := query(ctx, s.db, spec.selectText()+" limit 0", nil)
	if err != nil {
		return nil, err
	}
	reader := &copyReader{session: s, columns: target.columns, binary: spec.binary}
	reader.insertSQL = insertText(spec.table, target.columns)
	response := &pgproto3.CopyInResponse{ColumnFormatCodes: make([]uint16, len(target.columns))}
	if spec.binary {
		response.OverallFormat = byte(binaryFormat)
		for i := range response.ColumnFormatCodes {
			response.ColumnFormatCodes[i] = uint16(binaryFormat)
		}
	}
	s.be.Send(response)
	if err := s.be.Flush(); err != nil {
		return nil, errConnectionClosed
	}
	if err := reader.run(ctx); err != nil {
		return nil, err
	}
	return &rowSet{affected: reader.rowCount}, nil
}

// insertText returns an INSERT with one numbered parameter per column.
func insertText(table string, columns []column) string {
	names := make([]string, len(columns))
	values := make([]string, len(columns))
	for i, c := range columns {
		names[i] = quoteName(c.name)
		values[i] = "?" + strconv.Itoa(i+1)
	}
	return "insert into " + quoteName(table) + " (" + strings.Join(names, ", ") + ") values (" +
		strings.Join(values, ", ") + ")"
}
