//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is one commit in the log of a service.
type entry struct {
	term  int
	items map[string]string
}

// service is a service with one primary and its replicas, which share one log. A server has
// received a prefix of it.
type service struct {
	rec  *record
	name string
	lag  time.Duration
	// work returns how long a statement takes at a server.
	work func(verb, id string) time.Duration
	// workOf replaces work if it is set. It gets the whole text.
	workOf func(text string) time.Duration

	mu      sync.Mutex
	term    int
	log     []entry
	servers []*server
	primary *server
	fence   uint64
	// runs are the statements with an id that servers have run.
	runs []run
}

// run is one statement that a server has run.
type run struct {
	at     time.Time // when the server received it
	server *server
	id     string
	text   string
}

// Limits of a server, as the pages state them for the deployment.
const (
	slotsPerServer = 5
	queuePerServer = 40
	maxConns       = 50
	connectWork    = 12 * time.Millisecond
	beatInterval   = 1200 * time.Millisecond
	promoteTime    = time.Second
)

// server is one backend.
type server struct {
	service  *service
	id       string
	zone     string
	addr     string
	born     int64
	received int
	slots    chan struct{}

	listener net.Listener

	mu       sync.Mutex
	queued   int
	conns    int
	open     map[net.Conn]bool
	seq      int
	draining bool
	gone     bool
}

func newService(rec *record, name string, serverZones []string) (*service, error) {
	s := &service{rec: rec, name: name, lag: 60 * time.Millisecond, term: 1, work: func(string, string) time.Duration { return 11 * time.Millisecond }}
	for i, z := range serverZones {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("%w: %v", errSetup, err)
		}
		b := &server{
			service: s, id: fmt.Sprintf("i-%s-%d", name, i+1), zone: z, addr: l.Addr().String(), born: time.Now().UnixMilli(),
			slots: make(chan struct{}, slotsPerServer), listener: l, open: map[net.Conn]bool{},
		}
		s.servers = append(s.servers, b)
		go b.accept(l)
	}
	s.primary = s.servers[0]
	return s, nil
}

func (b *server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go b.serve(c)
	}
}

// takeSlot waits for a slot. It reports false if the queue is full.
func (b *server) takeSlot() bool {
	b.mu.Lock()
	if b.queued >= queuePerServer {
		b.mu.Unlock()
		return false
	}
	b.queued++
	b.mu.Unlock()
	b.slots <- struct{}{}
	b.mu.Lock()
	b.queued--
	b.mu.Unlock()
	return true
}

func (g *service) takes(verb, id, text string) time.Duration {
	if g.workOf != nil {
		return g.workOf(text)
	}
	return g.work(verb, id)
}

func (b *server) freeSlot() { <-b.slots }

// backendSession is a connection to a server.
type backendSession struct {
	server   *server
	number   int
	values   map[string]string
	prepared map[string]string
	inTx     bool
	readOnly bool
	failed   bool
	term     int
	writes   map[string]string
	serial   int
}

var (
	connCounter   int
	connCounterMu sync.Mutex
)

func (b *server) serve(c net.Conn) {
	b.mu.Lock()
	b.open[c] = true
	b.mu.Unlock()
	defer func() {
		_ = c.Close()
		b.mu.Lock()
		delete(b.open, c)
		b.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	line, err := in.ReadString('\n')
	fields := strings.Fields(line)
	if err != nil || len(fields) < 3 || fields[0] != "STARTUP" {
		return
	}
	if fields[1] != b.service.name || len(fields) > 3 && fields[3] != b.id {
		_, _ = fmt.Fprintf(c, "ERROR MISROUTED %s\r\n", b.id)
		return
	}
	b.mu.Lock()
	b.conns++
	over := b.conns > maxConns
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.conns--
		b.mu.Unlock()
	}()
	if over {
		_, _ = fmt.Fprintf(c, "ERROR CONNLIMIT %s\r\n", b.id)
		return
	}
	if !b.takeSlot() {
		_, _ = fmt.Fprintf(c, "ERROR BUSY %s\r\n", b.id)
		return
	}
	time.Sleep(connectWork)
	b.freeSlot()
	connCounterMu.Lock()
	connCounter++
	s := &backendSession{server: b, number: connCounter, values: map[string]string{}, prepared: map[string]string{}}
	connCounterMu.Unlock()
	_, _ = fmt.Fprintf(c, "READY I %s\r\n", b.lockedPosition())
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		msg, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		if msg != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		if _, err := c.Write([]byte(s.handle(id, text))); err != nil {
			return
		}
	}
}

func (b *server) lockedPosition() string {
	b.service.mu.Lock()
	defer b.service.mu.Unlock()
	return b.position()
}

// position returns the end of the server's log. The service is locked.
func (b *server) position() string {
	term := 1
	if b.received > 0 {
		term = b.service.log[b.received-1].term
	}
	return fmt.Sprintf("%d.%d", term, b.received)
}

// handle runs a statement and returns the whole answer.
func (s *backendSession) handle(id, text string) string {
	b := s.server
	at := time.Now()
	plain := text
	if rest, ok := strings.CutPrefix(text, "WAITLSN "); ok {
		_, plain, _ = strings.Cut(rest, " ")
	}
	verb, _, _ := strings.Cut(plain, " ")
	occupies := verb == "READ" || verb == "WRITE" || verb == "EXECUTE" || verb == "COMMIT" || verb == "STATUS"
	if occupies {
		if !b.takeSlot() {
			return "ERROR BUSY " + b.id + "\r\nREADY " + s.state() + " " + b.lockedPosition() + "\r\n"
		}
		if id != "-" {
			time.Sleep(b.service.takes(verb, id, plain))
		}
		defer b.freeSlot()
	}
	b.service.mu.Lock()
	defer b.service.mu.Unlock()
	answer := s.execute(at, id, text)
	return answer + "READY " + s.state() + " " + b.position() + "\r\n"
}

func (s *backendSession) state() string {
	switch {
	case s.failed:
		return "E"
	case s.inTx:
		return "T"
	}
	return "I"
}

func (s *backendSession) fail(code string) string {
	s.failed = s.inTx
	return "ERROR " + code + " " + s.server.id + "\r\n"
}

func (s *backendSession) complete(id string) string {
	s.serial++
	return fmt.Sprintf("COMPLETE sig.%s.%d.%s.%d\r\n", s.server.id, s.number, id, s.serial)
}

func (s *backendSession) recordRun(at time.Time, id, text string) {
	b := s.server
	b.service.runs = append(b.service.runs, run{at: at, server: b, id: id, text: text})
	b.service.rec.add("server %s (%s) ran %s %q, received at %.1f", b.id, b.zone, id, text, b.service.rec.ms(at))
}

// execute runs a statement. The service is locked.
func (s *backendSession) execute(at time.Time, id, text string) string {
	b, g := s.server, s.server.service
	if rest, ok := strings.CutPrefix(text, "WAITLSN "); ok {
		position, rest, _ := strings.Cut(rest, " ")
		_, digits, _ := strings.Cut(position, ".")
		if number, err := strconv.Atoi(digits); err == nil && number > b.received {
			return s.fail("LAGGING")
		}
		text = rest
	}
	verb, rest, _ := strings.Cut(text, " ")
	isPrimary := g.primary == b
	if s.failed && verb != "ROLLBACK" && verb != "COMMIT" {
		return s.fail("MALFORMED")
	}
	lost := s.inTx && !s.readOnly && (!isPrimary || s.term != g.term)
	if lost && verb != "ROLLBACK" && (verb != "COMMIT" || len(s.writes) > 0) {
		if verb == "COMMIT" {
			s.inTx, s.failed, s.writes = false, false, nil
			return "ERROR READONLY " + b.id + "\r\n"
		}
		return s.fail("READONLY")
	}
	name, data, _ := strings.Cut(rest, " ")
	switch verb {
	case "STATUS":
		role := "replica"
		if isPrimary {
			role = "primary"
		}
		return fmt.Sprintf("DATAROW %s %d %s %d 60 %d %d\r\nCOMPLETE -\r\n", role, g.term, b.position(), g.term, len(b.slots), b.conns)
	case "SET":
		s.values[name] = data
	case "PARSE":
		s.prepared[name], _, _ = strings.Cut(data, " ")
	case "CLOSE":
		delete(s.prepared, name)
	case "DISCARD":
		s.values, s.prepared = map[string]string{}, map[string]string{}
	case "BEGIN":
		if rest == "" && !isPrimary {
			return s.fail("READONLY")
		}
		s.inTx, s.readOnly, s.term, s.writes = true, rest == "READ", g.term, map[string]string{}
	case "ROLLBACK":
		s.inTx, s.failed, s.writes = false, false, nil
	case "COMMIT":
		if s.failed {
			s.inTx, s.failed, s.writes = false, false, nil
			return "ERROR ABORTED " + b.id + "\r\n"
		}
		s.recordRun(at, id, text)
		if len(s.writes) > 0 {
			g.commit(s.writes)
		}
		s.inTx, s.writes = false, nil
		return s.complete(id)
	case "EXECUTE":
		mode, ok := s.prepared[name]
		if !ok {
			return s.fail("NOSTMT")
		}
		item, value, _ := strings.Cut(data, " ")
		return s.access(at, id, text, mode, item, value)
	case "READ", "WRITE":
		return s.access(at, id, text, verb, name, data)
	default:
		return s.fail("MALFORMED")
	}
	return "COMPLETE -\r\n"
}

func (s *backendSession) access(at time.Time, id, text, mode, item, value string) string {
	b, g := s.server, s.server.service
	if mode == "WRITE" {
		if g.primary != b || s.readOnly && s.inTx {
			return s.fail("READONLY")
		}
		s.recordRun(at, id, text)
		if s.inTx {
			s.writes[item] = value
		} else {
			g.commit(map[string]string{item: value})
		}
		return s.complete(id)
	}
	s.recordRun(at, id, text)
	row := ""
	for i := b.received - 1; i >= 0 && row == ""; i-- {
		row = g.log[i].items[item]
	}
	return "DATAROW " + row + "\r\n" + s.complete(id)
}

// commit appends to the log. Replicas receive it after the lag. The service is locked.
func (g *service) commit(items map[string]string) {
	g.log = append(g.log, entry{term: g.term, items: items})
	length, term := len(g.log), g.term
	g.primary.received = length
	time.AfterFunc(g.lag, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, b := range g.servers {
			if g.term == term {
				b.received = max(b.received, length)
			}
		}
	})
}

// promote makes a server the primary of the next term. It reports false if a higher fence was seen.
func (g *service) promote(id string, fence uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if fence < g.fence {
		return false
	}
	g.fence = fence
	for _, b := range g.servers {
		if b.id != id || b.isGone() {
			continue
		}
		if g.primary == b {
			return true
		}
		g.log = g.log[:b.received]
		g.term++
		g.primary = b
		for _, other := range g.servers {
			other.received = min(other.received, len(g.log))
		}
		return true
	}
	return false
}

func (b *server) isGone() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.gone
}

// snapshot returns a copy of the runs so far.
func (g *service) snapshot() []run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]run(nil), g.runs...)
}

func (g *service) roleOf(b *server) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primary == b {
		return "primary"
	}
	return "replica"
}

// heartbeat returns the next heartbeat of a server.
func (b *server) heartbeat() map[string]any {
	b.mu.Lock()
	b.seq++
	state := "ready"
	if b.draining {
		state = "draining"
	}
	seq := b.seq
	b.mu.Unlock()
	return map[string]any{
		"service": b.service.name, "address": b.addr, "zone": b.zone, "version": "v1", "slots": slotsPerServer, "state": state,
		"cold_remaining_ms": 0, "db_role": b.service.roleOf(b), "seq": seq, "born": b.born,
	}
}

// beat sends a heartbeat to one control node after the other until one acknowledges it.
func (b *server) beat(f *fleet, first int) (time.Time, bool) {
	body := b.heartbeat()
	for i := range 2 * len(f.controls) {
		n := f.controls[(first+i)%len(f.controls)]
		status, _ := f.callControl(n, http.MethodPost, "/Instances.Heartbeat/"+b.id, body)
		if status/100 == 2 {
			if body["state"] == "draining" {
				return f.rec.add("heartbeat draining of %s acknowledged by %s", b.id, n.name), true
			}
			return time.Now(), true
		}
	}
	return time.Time{}, false
}

// exit ends a server after a planned shutdown: it leaves and closes its connections.
func (b *server) exit(f *fleet) {
	status, _ := f.callControl(f.controls[0], http.MethodPost, "/Instances.Leave/"+b.id, map[string]any{"born": b.born})
	f.rec.add("server %s leaves, answered with %d, and exits", b.id, status)
	_ = b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gone = true
	for c := range b.open {
		_ = c.Close()
	}
}

// drain makes the server report that it is draining, until a control node has acknowledged it.
func (b *server) drain(f *fleet) (time.Time, error) {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	for i := range 10 {
		if at, ok := b.beat(f, i); ok {
			return at, nil
		}
	}
	return time.Time{}, fmt.Errorf("%w: draining was not acknowledged", errSetup)
}

// beatUntil sends heartbeats until stop is closed or the server has exited.
func (b *server) beatUntil(f *fleet, stop <-chan struct{}) {
	for i := 0; ; i++ {
		b.mu.Lock()
		gone := b.gone
		b.mu.Unlock()
		if gone {
			return
		}
		b.beat(f, i)
		select {
		case <-stop:
			return
		case <-time.After(beatInterval):
		}
	}
}

// servePlatform serves the call that promotes and returns its address.
func servePlatform(rec *record, services ...*service) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("%w: %v", errSetup, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Service, ID string }
		fence, err := strconv.ParseUint(r.Header.Get("Fence-Token"), 10, 64)
		if decodeErr := json.NewDecoder(r.Body).Decode(&body); err != nil || decodeErr != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		rec.add("platform receives promote %s of %s, holder %s, fence %d", body.ID, body.Service, r.Header.Get("Duty-Holder"), fence)
		time.Sleep(promoteTime / 2)
		for _, s := range services {
			if s.name == body.Service && s.promote(body.ID, fence) {
				rec.add("platform promoted %s", body.ID)
				return
			}
		}
		w.WriteHeader(http.StatusConflict)
	})
	go func() { _ = (&http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	return l.Addr().String(), nil
}
