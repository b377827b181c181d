//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// tenant is a tenant of the configuration.
type tenant struct {
	name  string
	key   string
	rate  float64
	burst float64
}

// route is a route of the configuration.
type route struct {
	host    string
	kind    string
	service string
	stale   int
	timeout int
	target  int
}

// configuration returns the body of a configuration.
func (w *world) configuration(version int, routes []route, tenants []tenant) []byte {
	var rs, ss, ts []any
	for _, r := range routes {
		m := map[string]any{
			"name": "r-" + r.host, "host": r.host, "path_prefix": "/", "kind": r.kind, "timeout_ms": r.timeout, "target_latency_ms": r.target,
			"priority": 1, "service": r.service, "max_attempts": 2, "public": false,
		}
		if r.stale > 0 {
			m["max_staleness_ms"] = r.stale
		}
		rs = append(rs, m)
	}
	for _, g := range w.groups {
		ss = append(ss, map[string]any{
			"name": g.service, "health_path": "/health", "max_conns": 50, "protocol": "h1", "tls": false, "cold_start_s": 0.0,
			"cold_per_s": 0.0, "sync_replicas": 0,
		})
	}
	for _, t := range tenants {
		ts = append(ts, map[string]any{"name": t.name, "api_keys": []string{t.key}, "priority": 1, "rate_per_s": t.rate, "burst": t.burst})
	}
	body, _ := json.Marshal(map[string]any{
		"version": version, "routes": rs, "services": ss, "tenants": ts,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000},
	})
	return body
}

// order sends an order of the operator to the given machine first and then to others until one
// acknowledges it, each for a second. It returns the time of the acknowledgement.
func (w *world) order(path string, body []byte, first *node, limit time.Duration) (time.Time, error) {
	end := time.Now().Add(limit)
	nodes := w.byRole("control")
	next := first
	if next == nil {
		next = nodes[rand.IntN(len(nodes))]
	}
	for time.Now().Before(end) {
		w.logf("operator sends POST %s to %s", path, next.name)
		timeout := time.Second
		if len(body) > 0 {
			timeout = 2 * time.Second
		}
		status, answer, err := call(http.MethodPost, next, path, body, timeout)
		at := time.Now()
		if err != nil {
			w.logf("operator has no answer from %s after its time and closes the connection", next.name)
		} else {
			w.logf("operator gets %d from %s %s", status, next.name, strings.TrimSpace(string(answer)))
			if status/100 == 2 {
				return at, nil
			}
			if status == 400 {
				return at, fmt.Errorf("refused: %s", answer)
			}
			time.Sleep(100 * time.Millisecond)
		}
		former := next
		for next == former {
			next = nodes[rand.IntN(len(nodes))]
		}
	}
	return time.Time{}, fmt.Errorf("no acknowledgement of %s", path)
}

// awaitReady waits until all fronts are ready.
func (w *world) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, n := range w.byRole("entry") {
		for {
			client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			resp, err := client.Get("http://" + n.ip + ":" + readyPort + "/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// session is a session of a client.
type session struct {
	node  *node
	conn  net.Conn
	in    *bufio.Reader
	state string
}

// answer is the answer to one query.
type answer struct {
	rows []string
	code string // empty on success
	text string
}

// open opens a session at a front.
func open(n *node, database, key string) (*session, error) {
	c, err := net.DialTimeout("tcp", n.ip+":"+frontPort, time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{node: n, conn: c, in: bufio.NewReader(c)}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(c, "STARTUP %s %s\r\n", database, key); err != nil {
		_ = c.Close()
		return nil, err
	}
	line, err := s.in.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY I") {
		_ = c.Close()
		return nil, fmt.Errorf("session refused: %q %v", line, err)
	}
	s.state = "I"
	return s, nil
}

// query sends one query, reads the answer and records both.
func (s *session) query(id, text string) (answer, error) {
	sentAt := time.Now()
	a, err := s.exchange(id, text)
	outcome := "COMPLETE"
	switch {
	case err != nil:
		outcome = err.Error()
	case a.code != "":
		outcome = "ERROR " + a.code
	}
	s.node.w.logf("sent %s to %s at %.3f: %s; answered: %s, state %s", id, s.node.name, sentAt.Sub(s.node.w.started).Seconds(), text, outcome, s.state)
	return a, err
}

// exchange sends one query and reads the answer.
func (s *session) exchange(id, text string) (answer, error) {
	_ = s.conn.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return answer{}, err
	}
	var a answer
	for {
		line, err := s.in.ReadString('\n')
		if err != nil {
			return a, err
		}
		kind, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch kind {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.text = rest
		case "ERROR":
			a.code, a.text, _ = strings.Cut(rest, " ")
		case "READY":
			s.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}

func (s *session) close() { _ = s.conn.Close() }

// newID returns a request id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
