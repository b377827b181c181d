//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// commit is an entry of a service's log.
type commit struct {
	term uint64
	at   time.Time
	data map[string]string
}

// group is a service with its backends. mu guards it and the state of its backends.
type group struct {
	w        *world
	service  string
	mu       sync.Mutex
	term     uint64
	primary  *backend
	log      []commit
	backends []*backend
	lag      time.Duration
}

// backend is one database server.
type backend struct {
	g        *group
	id       string
	zone     string
	addr     string
	born     int64
	seq      int
	received int // commits held
	draining bool
	// failShare is the share of requests that fail while the health is good.
	failShare float64
	runs      []run
}

// run is a statement that a backend has run.
type run struct {
	id      string
	text    string
	tenant  string
	backend string
	zone    string
	values  map[string]string
	at      time.Time
}

// addGroup adds a service with three backends, one in each zone.
func (w *world) addGroup(service string) *group {
	g := &group{w: w, service: service, term: 1, lag: 60 * time.Millisecond}
	for i, z := range w.zones {
		b := &backend{
			g: g, id: fmt.Sprintf("i-%s%d", service, i+1), zone: z, born: time.Now().UnixMilli(),
			addr: fmt.Sprintf("%s%d:%s", w.prefix, 100+10*len(w.groups)+i, backendPort),
		}
		g.backends = append(g.backends, b)
	}
	g.primary = g.backends[0]
	w.groups = append(w.groups, g)
	return g
}

// startBackends starts the backends, their heartbeats and the platform's interface.
func (w *world) startBackends() error {
	for _, g := range w.groups {
		for _, b := range g.backends {
			l, err := net.Listen("tcp", b.addr)
			if err != nil {
				return err
			}
			go b.accept(l)
			go b.beat()
		}
	}
	l, err := net.Listen("tcp", w.prefix+"200:"+cloudPort)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", w.promote)
	go func() { _ = http.Serve(l, mux) }()
	return nil
}

// beat sends heartbeats until the world ends.
func (b *backend) beat() {
	for !b.g.w.isStopping() {
		b.heartbeat()
		time.Sleep(time.Duration(1100+rand.IntN(200)) * time.Millisecond)
	}
}

// heartbeat sends a heartbeat to one control machine after the other until one acknowledges it.
func (b *backend) heartbeat() {
	g := b.g
	g.mu.Lock()
	b.seq++
	role, state := "replica", "ready"
	if g.primary == b {
		role = "primary"
	}
	if b.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": g.service, "address": b.addr, "zone": b.zone, "version": "v1", "slots": 5, "state": state,
		"cold_remaining_ms": 0, "db_role": role, "seq": b.seq, "born": b.born,
	})
	g.mu.Unlock()
	nodes := g.w.byRole("control")
	for _, i := range rand.Perm(len(nodes)) {
		status, _, err := call(http.MethodPost, nodes[i], "/Instances.Heartbeat/"+b.id, body, time.Second)
		if err == nil && status/100 == 2 {
			return
		}
	}
}

// call sends one HTTP request on a connection of its own, which it closes at the end.
func call(method string, n *node, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(method, "http://"+n.ip+":"+controlPort+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if len(body) > 0 {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// promote makes a backend the primary of the next term, some hundred ms after the call.
func (w *world) promote(rw http.ResponseWriter, r *http.Request) {
	var order struct{ Service, ID string }
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	fence, _ := strconv.ParseUint(r.Header.Get("Fence-Token"), 10, 64)
	w.mu.Lock()
	stale := fence < w.promotes[order.Service]
	if !stale {
		w.promotes[order.Service] = fence
	}
	w.mu.Unlock()
	w.logf("promote %s %s by %s with fence %d, stale %v", order.Service, order.ID, r.Header.Get("Duty-Holder"), fence, stale)
	if stale {
		rw.WriteHeader(http.StatusConflict)
		return
	}
	for _, g := range w.groups {
		if g.service != order.Service {
			continue
		}
		for _, b := range g.backends {
			if b.id == order.ID {
				time.AfterFunc(600*time.Millisecond, func() { g.lead(b) })
			}
		}
	}
	rw.WriteHeader(http.StatusOK)
}

// lead makes a backend the primary with what it has received.
func (g *group) lead(b *backend) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primary == b {
		return
	}
	b.receive(time.Now())
	g.log = g.log[:b.received]
	for _, other := range g.backends {
		other.received = min(other.received, len(g.log))
	}
	g.term++
	g.primary = b
	g.w.logf("%s leads %s in term %d", b.id, g.service, g.term)
}

// receive moves a replica to the commits that have reached it. The group is locked.
func (b *backend) receive(now time.Time) {
	if b.g.primary == b {
		b.received = len(b.g.log)
		return
	}
	for b.received < len(b.g.log) && now.Sub(b.g.log[b.received].at) >= b.g.lag {
		b.received++
	}
}

// position returns the end of the backend's log. The group is locked.
func (b *backend) position() string {
	b.receive(time.Now())
	term := b.g.term
	if b.received > 0 && b != b.g.primary {
		term = b.g.log[b.received-1].term
	}
	return fmt.Sprintf("%d.%d", term, b.received)
}

// connState is the state of one connection to a backend.
type connState struct {
	b        *backend
	tenant   string
	values   map[string]string
	before   map[string]string // the values at BEGIN
	prepared map[string]string
	inTx     bool
	readOnly bool
	failed   bool
	term     uint64
	writes   map[string]string
	wrote    bool
	serial   int
}

func (b *backend) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go b.serve(c)
	}
}

func (b *backend) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReaderSize(c, 1<<16)
	line, err := in.ReadString('\n')
	fields := strings.Fields(line)
	if err != nil || len(fields) < 3 || fields[0] != "STARTUP" {
		return
	}
	if fields[1] != b.g.service || len(fields) > 3 && fields[3] != b.id {
		_, _ = fmt.Fprintf(c, "ERROR MISROUTED %s\r\n", b.id)
		return
	}
	time.Sleep(12 * time.Millisecond)
	b.g.mu.Lock()
	first := "READY I " + b.position() + "\r\n"
	b.g.mu.Unlock()
	s := &connState{b: b, tenant: fields[2], values: map[string]string{}, prepared: map[string]string{}}
	if _, err := io.WriteString(c, first); err != nil {
		return
	}
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		kind, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		if kind != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		if id != "-" {
			time.Sleep(time.Duration(4+rand.IntN(8)) * time.Millisecond)
		}
		b.g.mu.Lock()
		answer := s.execute(id, text)
		state := "I"
		switch {
		case s.failed:
			state = "E"
		case s.inTx:
			state = "T"
		}
		answer += "READY " + state + " " + b.position() + "\r\n"
		b.g.mu.Unlock()
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

// fail answers with an error, which fails an open transaction.
func (s *connState) fail(code string) string {
	s.failed = s.inTx
	return "ERROR " + code + " " + s.b.id + "\r\n"
}

// end ends the transaction. A rollback also undoes the values that were set in it, as in any SQL server.
func (s *connState) end(rollback bool) {
	if rollback && s.inTx {
		s.values = s.before
	}
	s.inTx, s.failed, s.writes, s.wrote, s.before = false, false, nil, false, nil
}

func (s *connState) complete() string {
	s.serial++
	return fmt.Sprintf("COMPLETE %s.%d.%x\r\n", s.b.id, s.serial, rand.Uint64())
}

// execute runs one query text. The group is locked.
func (s *connState) execute(id, text string) string {
	b, g := s.b, s.b.g
	b.receive(time.Now())
	if rest, ok := strings.CutPrefix(text, "WAITLSN "); ok {
		position, query, _ := strings.Cut(rest, " ")
		_, digits, _ := strings.Cut(position, ".")
		number, err := strconv.Atoi(digits)
		if err != nil || number > b.received {
			return s.fail("LAGGING")
		}
		text = query
	}
	verb, rest, _ := strings.Cut(text, " ")
	name, data, _ := strings.Cut(rest, " ")
	if s.failed && verb != "ROLLBACK" && verb != "COMMIT" {
		return s.fail("MALFORMED")
	}
	lost := s.inTx && !s.readOnly && (g.primary != b || g.term != s.term)
	if lost && verb != "ROLLBACK" && (verb != "COMMIT" || s.wrote) {
		if verb == "COMMIT" {
			s.end(true)
			return "ERROR READONLY " + b.id + "\r\n"
		}
		return s.fail("READONLY")
	}
	switch verb {
	case "STATUS":
		role := "replica"
		if g.primary == b {
			role = "primary"
		}
		return fmt.Sprintf("DATAROW %s %d %s %d 0 0 1\r\nCOMPLETE -\r\n", role, g.term, b.position(), g.term)
	case "SET":
		s.values[name] = data
	case "PARSE":
		s.prepared[name] = data
	case "CLOSE":
		delete(s.prepared, name)
	case "DISCARD":
		s.values, s.prepared = map[string]string{}, map[string]string{}
	case "BEGIN":
		if rest == "" && g.primary != b {
			return s.fail("READONLY")
		}
		s.inTx, s.readOnly, s.term, s.before, s.writes = true, rest == "READ", g.term, maps.Clone(s.values), map[string]string{}
	case "ROLLBACK":
		s.end(true)
	case "COMMIT":
		if s.failed {
			s.end(true)
			return "ERROR ABORTED " + b.id + "\r\n"
		}
		s.note(id, text)
		if rand.Float64() < b.failShare {
			s.end(true)
			return "ERROR FAILED " + b.id + "\r\n"
		}
		if len(s.writes) > 0 {
			g.log = append(g.log, commit{term: g.term, at: time.Now(), data: s.writes})
		}
		s.end(false)
		return s.complete()
	case "EXECUTE":
		definition, ok := s.prepared[name]
		if !ok {
			return s.fail("NOSTMT")
		}
		mode, _, _ := strings.Cut(definition, " ")
		item, value, _ := strings.Cut(data, " ")
		return s.access(id, text, mode, item, value)
	case "READ", "WRITE":
		return s.access(id, text, verb, name, data)
	default:
		return s.fail("MALFORMED")
	}
	return "COMPLETE -\r\n"
}

// note records the run of a statement.
func (s *connState) note(id, text string) {
	if id == "-" {
		return
	}
	s.b.runs = append(s.b.runs, run{
		id: id, text: text, tenant: s.tenant, backend: s.b.id, zone: s.b.zone, values: maps.Clone(s.values), at: time.Now(),
	})
}

func (s *connState) access(id, text, mode, item, value string) string {
	b, g := s.b, s.b.g
	if mode == "WRITE" && (g.primary != b || s.readOnly) {
		return s.fail("READONLY")
	}
	s.note(id, text)
	if rand.Float64() < b.failShare {
		return s.fail("FAILED")
	}
	if mode == "WRITE" {
		if s.inTx {
			s.writes[item], s.wrote = value, true
		} else {
			g.log = append(g.log, commit{term: g.term, at: time.Now(), data: map[string]string{item: value}})
		}
		return s.complete()
	}
	row := "-"
	for i := b.received - 1; i >= 0; i-- {
		if v, ok := g.log[i].data[item]; ok {
			row = v
			break
		}
	}
	return "DATAROW " + row + "\r\n" + s.complete()
}

// allRuns returns what all backends have run.
func (w *world) allRuns() []run {
	var all []run
	for _, g := range w.groups {
		g.mu.Lock()
		for _, b := range g.backends {
			all = append(all, b.runs...)
		}
		g.mu.Unlock()
	}
	return all
}
