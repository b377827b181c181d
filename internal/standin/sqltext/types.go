package sqltext

import (
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
)

// Object identifiers of the supported data types. Unknown stands for a type that
// the statement's text does not determine.
const (
	Unknown     uint32 = 0
	Bool        uint32 = pgtype.BoolOID
	Bytea       uint32 = pgtype.ByteaOID
	Int8        uint32 = pgtype.Int8OID
	Int2        uint32 = pgtype.Int2OID
	Int4        uint32 = pgtype.Int4OID
	Text        uint32 = pgtype.TextOID
	Float4      uint32 = pgtype.Float4OID
	Float8      uint32 = pgtype.Float8OID
	Varchar     uint32 = pgtype.VarcharOID
	Timestamp   uint32 = pgtype.TimestampOID
	Timestamptz uint32 = pgtype.TimestamptzOID
	Numeric     uint32 = pgtype.NumericOID
	UUID        uint32 = pgtype.UUIDOID
	JSON        uint32 = pgtype.JSONOID
	JSONB       uint32 = pgtype.JSONBOID
	LSN         uint32 = 3220 // pg_lsn; pgtype has no constant for it
)

// typeNames maps the names and aliases of types to object identifiers.
var typeNames = map[string]uint32{
	"bool": Bool, "boolean": Bool, "bytea": Bytea, "blob": Bytea,
	"int8": Int8, "bigint": Int8, "bigserial": Int8, "integer": Int4, "int": Int4, "int4": Int4, "serial": Int4,
	"int2": Int2, "smallint": Int2, "text": Text, "name": Text, "varchar": Varchar, "character varying": Varchar,
	"char": Text, "character": Text, "float4": Float4, "real": Float4, "float8": Float8, "float": Float8,
	"double precision": Float8, "double": Float8, "timestamp": Timestamp, "timestamptz": Timestamptz,
	"timestamp with time zone": Timestamptz, "timestamp without time zone": Timestamp,
	"numeric": Numeric, "decimal": Numeric, "uuid": UUID, "json": JSON, "jsonb": JSONB, "pg_lsn": LSN,
}

// TypeOf returns the object identifier of a type name in any case, with or without
// modifiers such as "(10)". It returns Text for an unknown name.
func TypeOf(name string) uint32 {
	name = strings.ToLower(strings.TrimSpace(name))
	if before, _, found := strings.Cut(name, "("); found {
		name = strings.TrimSpace(before)
	}
	if oid, ok := typeNames[name]; ok {
		return oid
	}
	return Text
}
