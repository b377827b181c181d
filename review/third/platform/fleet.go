//go:build review

// Command third runs the cases of the third review: the project's daemons as separate processes on
// loopback addresses, between callers, databases and a platform that are stand-ins.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/galenabridge/galenabridge/platform/platformtest"
)

// daemon is the program that the deploy file builds.
const daemon = "target/galenabridged"

var domains = []string{"a", "b", "c"}

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	begun time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.begun).Seconds()}, args...)...)
}

// machine is an address and a data folder with one process at a time.
type machine struct {
	ip      string
	control bool
	number  int
	dir     string
	started int
	cmd     *exec.Cmd
	ended   chan struct{}
}

// fleet is the system of a case.
type fleet struct {
	rec      *record
	dir      string
	block    int
	port     int
	controls []*machine
	entries  []*machine
	groups   []*platformtest.Group
	platform *platformtest.Platform
	stop     chan struct{}
	tasks    sync.WaitGroup
}

// startFleet starts the stand-ins and all processes.
func startFleet(rec *record, controls, entries int, services ...string) (*fleet, error) {
	f, err := newFleet(rec, controls, entries, services...)
	if err != nil {
		return nil, err
	}
	for _, m := range append(f.controls, f.entries...) {
		if err := f.start(m); err != nil {
			return f, err
		}
	}
	f.heartbeats()
	return f, nil
}

// newFleet starts the stand-ins.
func newFleet(rec *record, controls, entries int, services ...string) (*fleet, error) {
	f := &fleet{rec: rec, stop: make(chan struct{}), block: 20 + os.Getpid()%200}
	for range 200 { // the port of the metrics is the same on all machines
		if platformtest.IsPortFree(fmt.Sprintf("127.%d.1.1:9102", f.block)) && platformtest.IsPortFree(fmt.Sprintf("127.%d.2.1:9102", f.block)) {
			break
		}
		f.block = 20 + (f.block-19)%200
	}
	for _, service := range services {
		g, err := platformtest.NewGroup(service, domains...)
		if err != nil {
			return nil, err
		}
		g.SetWork(5 * time.Millisecond)
		g.SetLag(60 * time.Millisecond)
		f.groups = append(f.groups, g)
	}
	var err error
	if f.platform, err = platformtest.NewPlatform(f.groups...); err != nil {
		return nil, err
	}
	if f.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if f.port, err = platformtest.FreePort(fmt.Sprintf("127.%d.1.1", f.block)); err != nil {
		return nil, err
	}
	for i := range controls {
		f.controls = append(f.controls, f.newMachine(fmt.Sprintf("127.%d.1.%d", f.block, i+1), i, true))
	}
	for i := range entries {
		f.entries = append(f.entries, f.newMachine(fmt.Sprintf("127.%d.2.%d", f.block, i+1), i, false))
	}
	return f, nil
}

func (f *fleet) newMachine(ip string, number int, control bool) *machine {
	return &machine{ip: ip, control: control, number: number, dir: filepath.Join(f.dir, ip)}
}

// start starts the process of a machine as the platform does.
func (f *fleet) start(m *machine) error {
	if err := os.MkdirAll(filepath.Join(m.dir, "data"), 0o700); err != nil {
		return err
	}
	path := filepath.Join(m.dir, "settings.toml")
	if err := os.WriteFile(path, []byte(f.settings(m)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	role := "entry"
	if m.control {
		role = "control"
	}
	m.cmd = exec.Command(daemon, role)
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GALENABRIDGE_NODE_FILE=" + path}
	m.cmd.Stdout, m.cmd.Stderr = out, out
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.started++
	m.ended = make(chan struct{})
	f.rec.printf("start %s %s pid %d", role, m.ip, m.cmd.Process.Pid)
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(m.cmd, m.ended)
	return nil
}

// kill kills the process of a machine and waits for its end.
func (f *fleet) kill(m *machine) {
	if m.cmd == nil || m.cmd.Process == nil {
		return
	}
	_ = m.cmd.Process.Signal(syscall.SIGKILL)
	<-m.ended
	f.rec.printf("killed %s", m.ip)
}

// close ends everything that the fleet has started.
func (f *fleet) close() {
	close(f.stop)
	f.tasks.Wait()
	for _, m := range append(f.controls, f.entries...) {
		if m.cmd != nil && m.cmd.Process != nil {
			f.kill(m)
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
	f.platform.Close()
}

func (f *fleet) settings(m *machine) string {
	serves, listen := "front", fmt.Sprintf("front = \"%s:%d\"\nready = \"%s:%d\"", m.ip, f.port+1, m.ip, f.port+2)
	limits := "cpu_share = 0.4\ncores = 1\nmemory_mb = 284\nmax_fds = 4300\nlink_mbps = 1000.0\ndisk_mb = 0"
	if m.control {
		serves, listen = "control", fmt.Sprintf("control = \"%s:%d\"", m.ip, f.port+1)
		limits = "cpu_share = 0.96\ncores = 1\nmemory_mb = 280\nmax_fds = 4096\nlink_mbps = 1000.0\ndisk_mb = 128"
	}
	var seeds []string
	for _, c := range f.controls[:min(3, len(f.controls))] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", c.ip, f.port+1)))
	}
	return fmt.Sprintf(`node = "host-%s"
role = "%s"
ip = "%s"
zone = "%s"
region = "r"
serves = ["%s"]
internal_ports = [%d, %d]
seeds = [%s]
bootstrap = %v
fault_counted = %v
data_dir = "%s/data"
heartbeat_ms = 1200
[zones]
a = "r"
b = "r"
c = "r"
[listen]
%s
[limits]
%s
[fault_tolerance]
machines = %d
zones = 1
[bounds]
settle_window_ms = 4000
ack_ms = 5000
config_apply_ms = 3000
grace_s = 6
fencing_required = true
quota_window_s = 5
quota_overage = 0.1
quota_slack = 20
[cloud]
address = "%s"
duties = ["promotion"]
duty_per_s = 50.0
`, m.ip, serves, m.ip, domains[m.number%len(domains)], serves, f.port, f.port+5, strings.Join(seeds, ","), m.started == 0, m.control,
		m.dir, listen, limits, (len(f.controls)-1)/2, f.platform.Addr())
}

// call calls a control machine and follows two redirections. Status 0 means that there was no answer.
func (f *fleet) call(method, ip, path string, body []byte) (int, []byte) {
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", ip, f.port+1, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, _ := io.ReadAll(response.Body)
	return response.StatusCode, answer
}

// put sends a configuration to one control machine after the other until it is acknowledged.
func (f *fleet) put(config []byte) bool {
	for i := range 100 {
		ip := f.controls[i%len(f.controls)].ip
		status, answer := f.call(http.MethodPost, ip, "/Config.Put", config)
		f.rec.printf("Config.Put of %d bytes to %s: %d %.80s", len(config), ip, status, bytes.TrimSpace(answer))
		if status == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// heartbeats sends those of all databases.
func (f *fleet) heartbeats() {
	for _, g := range f.groups {
		for i := range domains {
			e := g.Endpoint(i + 1)
			f.tasks.Go(func() {
				for seq := 1; ; seq++ {
					if e.IsDown() { // one that has crashed sends nothing
						select {
						case <-f.stop:
							return
						case <-time.After(100 * time.Millisecond):
						}
						continue
					}
					role := "replica"
					if g.Primary() == e {
						role = "primary"
					}
					body, _ := json.Marshal(map[string]any{
						"service": g.Service, "address": e.Addr(), "zone": e.Domain, "version": "v1", "slots": 5, "state": "ready",
						"cold_remaining_ms": 0, "db_role": role, "seq": seq, "born": e.Started(),
					})
					f.call(http.MethodPost, f.controls[seq%len(f.controls)].ip, "/Instances.Heartbeat/"+e.ID, body)
					select {
					case <-f.stop:
						return
					case <-time.After(600 * time.Millisecond):
					}
				}
			})
		}
	}
}

// session is a session of a client.
type session struct {
	conn   net.Conn
	in     *bufio.Reader
	serial int
	name   string
}

// open opens a session at an entry machine.
func (f *fleet) open(m *machine, database, key, name string) (*session, error) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, f.port+1), time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{conn: conn, in: bufio.NewReader(conn), name: name}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key)
	line, err := s.in.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		_ = conn.Close()
		return nil, fmt.Errorf("STARTUP: %q, %v", strings.TrimSpace(line), err)
	}
	return s, nil
}

// reply is the answer to a statement.
type reply struct {
	id             string
	rows           []string
	last           string
	err            error
	sent, answered time.Time
}

func (r reply) ok() bool { return r.err == nil && strings.HasPrefix(r.last, "COMPLETE") }

// do sends a statement and waits for its answer.
func (s *session) do(text string) reply {
	s.serial++
	r := reply{id: fmt.Sprintf("%s-%d", s.name, s.serial), sent: time.Now()}
	_ = s.conn.SetDeadline(time.Now().Add(8 * time.Second))
	if _, r.err = fmt.Fprintf(s.conn, "QUERY %s %s\r\n", r.id, text); r.err != nil {
		return r
	}
	for {
		line, err := s.in.ReadString('\n')
		r.answered = time.Now()
		if err != nil {
			r.err = err
			return r
		}
		line = strings.TrimSuffix(line, "\r\n")
		switch kind, rest, _ := strings.Cut(line, " "); kind {
		case "DATAROW":
			r.rows = append(r.rows, rest)
		case "READY":
			return r
		default:
			r.last = line
		}
	}
}

func (s *session) close() {
	_, _ = fmt.Fprint(s.conn, "TERMINATE\r\n")
	_ = s.conn.Close()
}

// awaitService opens sessions until a read is served.
func (f *fleet) awaitService(m *machine, database, key string) bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		s, err := f.open(m, database, key, "first-"+m.ip)
		if err != nil {
			continue
		}
		r := s.do("READ x")
		s.close()
		if r.ok() {
			return true
		}
	}
	return false
}

// route is a route of a configuration.
type route struct {
	Name           string `json:"name"`
	Host           string `json:"host"`
	PathPrefix     string `json:"path_prefix"`
	Kind           string `json:"kind"`
	TimeoutMS      int    `json:"timeout_ms"`
	TargetMS       int    `json:"target_latency_ms"`
	Priority       int    `json:"priority"`
	Service        string `json:"service"`
	MaxAttempts    int    `json:"max_attempts"`
	MaxStalenessMS int    `json:"max_staleness_ms,omitempty"`
	Public         bool   `json:"public"`
}

// tenant is a tenant of a configuration.
type tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"api_keys"`
	Priority int      `json:"priority"`
	RatePerS float64  `json:"rate_per_s"`
	Burst    float64  `json:"burst"`
}

// config returns a configuration of all services.
func (f *fleet) config(version int, tenants []tenant, routes ...route) []byte {
	var services []map[string]any
	for _, g := range f.groups {
		services = append(services, map[string]any{
			"name": g.Service, "health_path": "/health", "max_conns": 50, "protocol": "h1", "tls": false,
			"cold_start_s": 0.0, "cold_per_s": 0.0, "sync_replicas": 0,
		})
	}
	body, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000},
	})
	return body
}
