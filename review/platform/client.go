//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

var statementCounter atomic.Int64

// clientSession is a connection of a client.
type clientSession struct {
	rec   *record
	name  string
	conn  net.Conn
	in    *bufio.Reader
	state string
}

// answer is what a client got for a statement. err is set if the connection ended first.
type answer struct {
	id   string
	sent time.Time
	at   time.Time
	rows []string
	last string
	err  error
}

func (a answer) ok() bool { return a.err == nil && strings.HasPrefix(a.last, "COMPLETE") }

// open opens a session at an address.
func open(rec *record, name, addr, database, key string) (*clientSession, error) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	s := &clientSession{rec: rec, name: name, conn: c, in: bufio.NewReader(c), state: "I"}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(c, "STARTUP %s %s\r\n", database, key); err != nil {
		_ = c.Close()
		return nil, err
	}
	line, err := s.in.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = fmt.Errorf("startup: %s", strings.TrimSpace(line))
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return s, nil
}

// query sends a statement and waits for its whole answer.
func (s *clientSession) query(text string, timeout time.Duration) answer {
	a := answer{id: fmt.Sprintf("q%05d", statementCounter.Add(1))}
	a.sent = s.rec.add("client %s sends %s %q", s.name, a.id, text)
	_ = s.conn.SetDeadline(a.sent.Add(timeout))
	_, a.err = fmt.Fprintf(s.conn, "QUERY %s %s\r\n", a.id, text)
	for a.err == nil {
		var line string
		if line, a.err = s.in.ReadString('\n'); a.err != nil {
			break
		}
		msg, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch msg {
		case "DATAROW":
			a.rows = append(a.rows, rest)
			continue
		case "READY":
			s.state, _, _ = strings.Cut(rest, " ")
			a.at = s.rec.add("client %s gets %s %s, state %s", s.name, a.id, a.last, s.state)
			return a
		}
		a.last = msg + " " + rest
	}
	a.at = s.rec.add("client %s gets no whole answer to %s: %v", s.name, a.id, a.err)
	return a
}

func (s *clientSession) close() { _ = s.conn.Close() }
