// Package explain merges the log lines of several hosts into a report on one
// request: its outcome, and the state events of the hosts around that
// time. It reads the logfmt lines that the daemons write.
package explain

import (
	"bufio"
	"bytes"
	"io"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"
)

// Line is a log line.
type Line struct {
	Time time.Time
	// Host is the host that logged the line; empty when the line does not name it.
	Host  string
	Event string
	// Fields are the other key=value pairs in the order of the line, without the level.
	Fields []Field
}

// Field is a key=value pair of a line.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Get returns the value of the first field with the key, or an empty string.
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// maxLineBytes is the maximum size of a line. It is a multiple of what a daemon writes.
const maxLineBytes = 64 << 10

// timePrefix is the start of the text that the daemon wrote. A log collector may have put
// a prefix before it.
var timePrefix = []byte("time=")

// Read parses the lines of one log. Lines without an event or a valid time are skipped and
// counted. It fails when r fails or a line exceeds maxLineBytes.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := parse(scanner.Bytes()); ok {
			lines = append(lines, l)
		} else {
			skipped++
		}
	}
	return lines, skipped, errors.Wrap(scanner.Err(), "read log")
}

func parse(text []byte) (Line, bool) {
	at := bytes.Index(text, timePrefix)
	if at < 0 {
		return Line{}, false
	}
	var l Line
	d := logfmt.NewDecoder(bytes.NewReader(text[at:]))
	if !d.ScanRecord() {
		return Line{}, false
	}
	for d.ScanKeyval() {
		l.add(string(d.Key()), string(d.Value()))
	}
	return l, d.Err() == nil && !l.Time.IsZero() && l.Event != ""
}

func (l *Line) add(key, value string) {
	switch key {
	case "time":
		l.Time, _ = time.Parse(time.RFC3339Nano, value) // parse rejects lines with a zero time
	case "msg":
		l.Event = value
	case "host":
		if l.Host == "" {
			l.Host = value
			return
		}
		l.Fields = append(l.Fields, Field{key, value})
	case "level":
	default:
		l.Fields = append(l.Fields, Field{key, value})
	}
}
