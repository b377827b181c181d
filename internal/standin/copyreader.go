package standin

import (
	"bytes"
	"context"
	"encoding/binary"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// copySignature is the file signature of COPY data in binary format.
const copySignature = "PGCOPY\n\xff\r\n\x00"

// copyHeaderBytes is the length of the binary header: the signature, the flags
// and the length of the header extension.
const copyHeaderBytes = len(copySignature) + 8

// copyReader decodes the data of COPY FROM STDIN and inserts its rows.
type copyReader struct {
	session   *session
	columns   []column
	insertSQL string
	binary    bool

	// buf holds the data that is not decoded yet.
	buf        []byte
	headerRead bool
	// endRead is set once the end marker of the data has been read.
	endRead  bool
	rowCount int64
}

// run reads messages up to CopyDone. CopyFail and unexpected messages end it with
// an error.
func (c *copyReader) run(ctx context.Context) error {
	for {
		msg, err := c.session.be.Receive()
		if err != nil {
			return errConnectionClosed
		}
		switch m := msg.(type) {
		case *pgproto3.CopyData:
			c.buf = append(c.buf, m.Data...)
			if err := c.consume(ctx, false); err != nil {
				return err
			}
		case *pgproto3.CopyDone:
			return c.consume(ctx, true)
		case *pgproto3.CopyFail:
			return sqlErrorf(sqlStateQueryCanceled, "COPY from stdin failed: %s", m.Message)
		case *pgproto3.Sync, *pgproto3.Flush:
		case *pgproto3.Terminate:
			return errConnectionClosed
		default:
			return sqlErrorf(sqlStateProtocolViolation, "unexpected message %T during COPY from stdin", msg)
		}
	}
}

// consume inserts the complete rows in the buffer. With final set, the data ends
// with the buffer.
func (c *copyReader) consume(ctx context.Context, final bool) error {
	if c.binary {
		return c.consumeBinary(ctx, final)
	}
	for !c.endRead {
		end := bytes.IndexByte(c.buf, '\n')
		if end < 0 && (!final || len(c.buf) == 0) {
			return nil
		}
		line := c.buf
		if end >= 0 {
			line, c.buf = c.buf[:end], c.buf[end+1:]
		} else {
			c.buf = nil
		}
		if err := c.insertTextLine(ctx, strings.TrimSuffix(string(line), "\r")); err != nil {
			return err
		}
	}
	return nil
}

func (c *copyReader) insertTextLine(ctx context.Context, line string) error {
	if line == `\.` {
		c.endRead = true
		return nil
	}
	fields := strings.Split(line, "\t")
	if len(fields) != len(c.columns) {
		return sqlErrorf(sqlStateBadCopyFormat, "row %d has %d columns, expected %d", c.rowCount+1, len(fields), len(c.columns))
	}
	args := make([]any, len(fields))
	for i, field := range fields {
		if field == `\N` {
			continue
		}
		arg, err := decode(c.session.types, c.columns[i].oid, textFormat, []byte(unescapeCopy(field)))
		if err != nil {
			return err
		}
		args[i] = arg
	}
	return c.insertRow(ctx, args)
}

func unescapeCopy(field string) string {
	if !strings.Contains(field, `\`) {
		return field
	}
	var out strings.Builder
	for i := 0; i < len(field); i++ {
		if field[i] != '\\' || i+1 == len(field) {
			out.WriteByte(field[i])
			continue
		}
		i++
		switch field[i] {
		case 'n':
			out.WriteByte('\n')
		case 't':
			out.WriteByte('\t')
		case 'r':
			out.WriteByte('\r')
		default:
			out.WriteByte(field[i])
		}
	}
	return out.String()
}

func (c *copyReader) consumeBinary(ctx context.Context, final bool) error {
	if !c.headerRead {
		if len(c.buf) < copyHeaderBytes {
			return c.checkTruncated(final)
		}
		if !bytes.HasPrefix(c.buf, []byte(copySignature)) {
			return sqlErrorf(sqlStateBadCopyFormat, "COPY file signature not recognized")
		}
		c.buf, c.headerRead = c.buf[copyHeaderBytes:], true
	}
	for !c.endRead {
		args, size, err := c.decodeTuple()
		if err != nil {
			return err
		}
		if size == 0 {
			return c.checkTruncated(final)
		}
		c.buf = c.buf[size:]
		if c.endRead {
			return nil
		}
		if err := c.insertRow(ctx, args); err != nil {
			return err
		}
	}
	return nil
}

func (c *copyReader) checkTruncated(final bool) error {
	if final && len(c.buf) > 0 {
		return sqlErrorf(sqlStateBadCopyFormat, "unexpected end of COPY data")
	}
	return nil
}

// decodeTuple decodes the binary row at the start of the buffer and returns its size
// in bytes, or zero if the row is incomplete. At the trailer, which has a negative
// number of fields, it sets endRead.
func (c *copyReader) decodeTuple() (args []any, size int, err error) {
	if len(c.buf) < 2 {
		return nil, 0, nil
	}
	fields := int(int16(binary.BigEndian.Uint16(c.buf)))
	size = 2
	if fields < 0 {
		c.endRead = true
		return nil, size, nil
	}
	if fields != len(c.columns) {
		return nil, 0, sqlErrorf(sqlStateBadCopyFormat, "row has %d columns, expected %d", fields, len(c.columns))
	}
	args = make([]any, fields)
	for i := range args {
		if len(c.buf) < size+4 {
			return nil, 0, nil
		}
		length := int(int32(binary.BigEndian.Uint32(c.buf[size:])))
		size += 4
		if length < 0 {
			continue
		}
		if len(c.buf) < size+length {
			return nil, 0, nil
		}
		if args[i], err = decode(c.session.types, c.columns[i].oid, binaryFormat, c.buf[size:size+length]); err != nil {
			return nil, 0, err
		}
		size += length
	}
	return args, size, nil
}

// insertRow inserts one row and adds it to the transaction's changes for the log.
func (c *copyReader) insertRow(ctx context.Context, args []any) error {
	if _, err := exec(ctx, c.session.db, c.insertSQL, args); err != nil {
		return err
	}
	c.session.tx.changes = append(c.session.tx.changes, change{SQL: c.insertSQL, Args: args})
	c.rowCount++
	return nil
}
