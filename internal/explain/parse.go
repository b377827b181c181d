// Package explain joins the log lines of several hosts into an account of one
// request: what was decided about it, and what the hosts believed around that
// time. It reads lines of key=value pairs as the daemons write them.
package explain

import (
	"bufio"
	"bytes"
	"io"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"
)

// Line is one event of a log.
type Line struct {
	Time time.Time
	// Host wrote the line; empty where the line does not name it.
	Host  string
	Event string
	// Fields are the other pairs in the order of the line.
	Fields []Field
}

// Field is one pair of a line.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Get returns the value of a field, or the empty string.
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// maxLine bounds one line, in bytes: some times what a daemon writes.
const maxLine = 64 << 10

// timeMark begins what a daemon wrote; whatever collects the lines may have put
// its own words before it.
var timeMark = []byte("time=")

// Read reads the lines of one log. Lines that hold no event are skipped and
// counted. It returns the errors of the reader.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
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
	at := bytes.Index(text, timeMark)
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
		l.Time, _ = time.Parse(time.RFC3339Nano, value) // a zero time refuses the line
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
