package standin

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"github.com/galenabridge/galenabridge/internal/standin/sqltext"
)

const (
	textFormat   int16 = 0
	binaryFormat int16 = 1

	timeLayout = "2006-01-02 15:04:05.999999-07"
)

// typeSizes are the sizes in bytes of the fixed-length data types.
var typeSizes = map[uint32]int16{
	sqltext.Bool: 1, sqltext.Int2: 2, sqltext.Int4: 4, sqltext.Int8: 8, sqltext.Float4: 4, sqltext.Float8: 8,
	sqltext.Timestamp: 8, sqltext.Timestamptz: 8, sqltext.UUID: 16, sqltext.LSN: 8,
}

// formatOf returns the format of the i-th value from the format codes of a Bind
// message: an empty list means text, a single code applies to all values.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return textFormat
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return textFormat
}

func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, c := range columns {
		size, ok := typeSizes[c.oid]
		if !ok {
			size = -1
		}
		fields[i] = pgproto3.FieldDescription{
			Name: []byte(c.name), DataTypeOID: c.oid, DataTypeSize: size, TypeModifier: -1,
			Format: formatOf(formats, i),
		}
	}
	return &pgproto3.RowDescription{Fields: fields}
}

// typeOfValue returns the data type for a value of a column without declared type.
func typeOfValue(v any) uint32 {
	switch v.(type) {
	case int64:
		return sqltext.Int8
	case float64:
		return sqltext.Float8
	case []byte:
		return sqltext.Bytea
	case bool:
		return sqltext.Bool
	case time.Time:
		return sqltext.Timestamptz
	}
	return sqltext.Text
}

// encode converts a value of the SQL engine to the wire format. NULL yields nil.
func encode(types *pgtype.Map, oid uint32, format int16, v any) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	if format == textFormat {
		return encodeText(oid, v), nil
	}
	return encodeBinary(types, oid, v)
}

func encodeText(oid uint32, v any) []byte {
	switch x := v.(type) {
	case string:
		return []byte(x)
	case int64:
		if oid == sqltext.Bool {
			return encodeBool(x != 0)
		}
		return strconv.AppendInt(nil, x, 10)
	case float64:
		return strconv.AppendFloat(nil, x, 'g', -1, 64)
	case []byte:
		if oid != sqltext.Bytea {
			return x
		}
		return append([]byte(`\x`), hex.EncodeToString(x)...)
	case bool:
		return encodeBool(x)
	case time.Time:
		return []byte(x.UTC().Format(timeLayout))
	}
	return fmt.Append(nil, v)
}

func encodeBool(b bool) []byte {
	if b {
		return []byte("t")
	}
	return []byte("f")
}

// encodeBinary encodes a value in binary format, by way of its text format where the
// engine's representation differs.
func encodeBinary(types *pgtype.Map, oid uint32, v any) ([]byte, error) {
	switch oid {
	case sqltext.Text, sqltext.Varchar, sqltext.JSON:
		return encodeText(oid, v), nil
	case sqltext.Bytea:
		if b, ok := v.([]byte); ok {
			return b, nil
		}
	}
	if _, ok := types.TypeForOID(oid); !ok {
		return nil, sqlErrorf(sqlStateNotSupported, "binary format of type %d is not supported by the stand-in", oid)
	}
	text := encodeText(oid, v)
	var parsed any
	if err := types.Scan(oid, textFormat, text, &parsed); err != nil {
		return nil, sqlErrorf(sqlStateInvalidText, "value %q of type %d: %v", text, oid, err)
	}
	data, err := types.Encode(oid, binaryFormat, parsed, make([]byte, 0, 16))
	if err != nil {
		return nil, sqlErrorf(sqlStateInvalidText, "value %q of type %d: %v", text, oid, err)
	}
	return data, nil
}

// decode converts a parameter on the wire to a value for the SQL engine. Unknown types
// become strings.
func decode(types *pgtype.Map, oid uint32, format int16, data []byte) (any, error) {
	if data == nil {
		return nil, nil
	}
	switch oid {
	case sqltext.Text, sqltext.Varchar, sqltext.JSON, sqltext.Unknown:
		return string(data), nil
	case sqltext.Bytea:
		return decodeBytea(format, data)
	}
	if _, ok := types.TypeForOID(oid); !ok {
		return string(data), nil
	}
	var parsed any
	if err := types.Scan(oid, format, data, &parsed); err != nil {
		return nil, sqlErrorf(sqlStateInvalidText, "invalid input for parameter of type %d: %v", oid, err)
	}
	return engineValue(types, oid, parsed)
}

func decodeBytea(format int16, data []byte) (any, error) {
	if format == binaryFormat {
		return append([]byte{}, data...), nil
	}
	text := string(data)
	if !strings.HasPrefix(text, `\x`) {
		return []byte(text), nil
	}
	raw, err := hex.DecodeString(text[2:])
	if err != nil {
		return nil, sqlErrorf(sqlStateInvalidText, "invalid hexadecimal data")
	}
	return raw, nil
}

// engineValue converts a decoded parameter to a type that SQLite stores. Booleans
// become integers; times and types without a counterpart in SQLite become text.
func engineValue(types *pgtype.Map, oid uint32, v any) (any, error) {
	switch x := v.(type) {
	case int16:
		return int64(x), nil
	case int32:
		return int64(x), nil
	case int64, float64, string, []byte:
		return x, nil
	case float32:
		return float64(x), nil
	case bool:
		if x {
			return int64(1), nil
		}
		return int64(0), nil
	case time.Time:
		return x.UTC().Format(timeLayout), nil
	}
	text, err := types.Encode(oid, textFormat, v, nil)
	if err != nil {
		return nil, sqlErrorf(sqlStateInvalidText, "parameter of type %d: %v", oid, err)
	}
	return string(text), nil
}
