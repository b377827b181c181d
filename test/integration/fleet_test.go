//go:build fleet

package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/config"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/scramauth"
	"github.com/galenabridge/galenabridge/internal/standin"
)

const (
	fleetSecret     = "integration-test-secret"
	serviceUser     = "galenabridge"
	servicePassword = "endpoint-password"
	database        = "ledger"
	hostCount       = 9
	controlCount    = 3
	endpointCount   = 3
)

var (
	domains  = []string{"osan", "pohang", "heuksan"}
	services = []string{"launchlog", "corrections"}
)

// host is an entry host; the first ones are control hosts too.
type host struct {
	name     string
	settings config.Settings
	file     string
	proc     *process
}

// endpoint is a stand-in endpoint.
type endpoint struct {
	id, service, domain string
	// addr is the front of listen, which all others use.
	addr, listen, control string
	dir                   string
	proc                  *process
}

// fleet is a system of real processes.
type fleet struct {
	t         *testing.T
	dir       string
	net       *network
	hosts     []*host
	endpoints []*endpoint
	keys      map[string]string
	// last is the number of the last accepted note.
	last uint64
}

// fleetOptions change the fleet before it starts.
type fleetOptions struct {
	hosts int
	lag   time.Duration
	// watch keeps all bytes that are sent to endpoints.
	watch bool
	note  func(*note.Note)
}

// startFleet starts two groups of endpoints and the hosts, applies the first
// note and waits until every host serves every service.
func startFleet(t *testing.T, opts fleetOptions) *fleet {
	t.Helper()
	if opts.hosts == 0 {
		opts.hosts = hostCount
	}
	f := &fleet{t: t, dir: t.TempDir(), net: newNetwork(t), keys: make(map[string]string)}
	f.net.register("test", os.Getpid())
	f.planHosts(opts.hosts)
	for _, h := range f.hosts {
		f.startHost(h)
	}
	for _, service := range services {
		f.startGroup(service, opts)
	}
	f.applyFirst(opts.note)
	f.awaitServing()
	return f
}

func (f *fleet) planHosts(count int) {
	var controls []config.ControlHost
	for i := range count {
		h := &host{name: fmt.Sprintf("host-%d", i+1)}
		s := &h.settings
		s.Host, s.Fleet, s.Domain, s.FleetSecret = h.name, "integration", domains[i%len(domains)], fleetSecret
		s.Peer.Listen, s.Admin.Listen = freeAddr(f.t), freeAddr(f.t)
		s.Peer.Advertise = f.net.front(h.name, s.Peer.Listen)
		s.Entry = &config.Entry{Listen: freeAddr(f.t)}
		s.Log.Level = "info"
		if i < controlCount {
			s.Control = &config.Control{DataDir: filepath.Join(f.dir, h.name), Bootstrap: true}
			controls = append(controls, config.ControlHost{Host: h.name, Addr: s.Peer.Advertise, Voter: true})
		}
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		h.settings.Controls = controls
		h.file = filepath.Join(f.dir, h.name+".json")
		data, err := json.MarshalIndent(h.settings, "", "  ")
		if err != nil {
			f.t.Fatal(err)
		}
		if err := os.WriteFile(h.file, data, 0o600); err != nil {
			f.t.Fatal(err)
		}
	}
}

func (f *fleet) startHost(h *host) {
	f.t.Helper()
	h.proc = startProcess(f.t, f.net, h.name, "serve", "--config", h.file)
}

func (f *fleet) startGroup(service string, opts fleetOptions) {
	var primary *endpoint
	for i := range endpointCount {
		e := &endpoint{
			id: fmt.Sprintf("%s-%d", service, i+1), service: service, domain: domains[i%len(domains)],
			listen: freeAddr(f.t), control: freeAddr(f.t),
		}
		e.addr = f.net.front(e.id, e.listen)
		if opts.watch {
			f.net.watch(e.id)
		}
		e.dir = filepath.Join(f.dir, e.id)
		f.endpoints = append(f.endpoints, e)
		role, upstream := standin.RoleReplica, ""
		if primary == nil {
			primary, role = e, standin.RolePrimary
		} else {
			upstream = primary.addr
		}
		f.startEndpoint(e, role, upstream, opts.lag)
	}
}

func (f *fleet) startEndpoint(e *endpoint, role standin.Role, upstream string, lag time.Duration) {
	f.t.Helper()
	args := []string{
		"standin", "--service", e.service, "--id", e.id, "--domain", e.domain, "--listen", e.listen,
		"--advertise", e.addr, "--role", string(role), "--user", serviceUser, "--password", servicePassword,
		"--database", database, "--lag", lag.String(), "--control", e.control, "--data-dir", e.dir,
	}
	if upstream != "" {
		args = append(args, "--upstream", upstream)
	}
	if role == standin.RolePrimary {
		args = append(args, "--records")
	}
	for _, h := range f.hosts {
		args = append(args, "--announce", f.net.front(h.name, h.settings.Admin.Listen))
	}
	e.proc = startProcess(f.t, f.net, e.id, args...)
}

// Workspaces of the first note.
const (
	crew     = "crew"
	editors  = "editors"
	auditors = "auditors"
)

func (f *fleet) applyFirst(change func(*note.Note)) {
	f.t.Helper()
	n := note.Note{Number: 1, Title: "integration test"}
	for name, class := range map[string]note.Class{
		crew: note.ClassInteractive, editors: note.ClassCorrection, auditors: note.ClassBulk,
	} {
		n.Added.Workspaces = append(n.Added.Workspaces, note.Workspace{
			Name: name, Rate: 10_000, Burst: 10_000, Class: class,
		})
		n.Added.Keys = append(n.Added.Keys, f.newKey(name+"-1", name))
	}
	for _, name := range services {
		n.Added.Services = append(n.Added.Services, note.Service{
			Name: name, Endpoints: endpointCount, Slots: 5, Connections: 50,
			Database: database, User: serviceUser, Password: servicePassword,
		})
	}
	for _, name := range domains {
		n.Added.Domains = append(n.Added.Domains, note.Domain{Name: name, Region: "kr-central"})
	}
	if change != nil {
		change(&n)
	}
	eventually(f.t, "first note accepted", func() bool {
		_, err := f.post(f.hosts[0], n)
		return err == nil
	})
	f.last = 1
}

// newKey makes a key whose secret is kept under its id.
func (f *fleet) newKey(id, workspace string) note.Key {
	secret := scramauth.NewKey()
	f.keys[id] = secret
	return note.Key{ID: id, Workspace: workspace, Verifier: scramauth.Verifier(workspace, secret)}
}

// accepted is the answer to a note.
type accepted struct {
	Stamp    note.Stamp `json:"stamp"`
	Repeated bool       `json:"repeated"`
}

// post sends a note to a host.
func (f *fleet) post(h *host, n note.Note) (accepted, error) {
	body, err := json.Marshal(n)
	if err != nil {
		return accepted{}, err
	}
	var answer accepted
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	err = request(ctx, http.MethodPost, "http://"+h.settings.Admin.Listen+"/v1/notes", body, &answer)
	return answer, err
}

// apply applies the next note through the first host.
func (f *fleet) apply(change func(*note.Note)) {
	f.t.Helper()
	n := note.Note{Number: f.last + 1}
	change(&n)
	if _, err := f.post(f.hosts[0], n); err != nil {
		f.t.Fatalf("note %d: %v", n.Number, err)
	}
	f.last = n.Number
}

// statusError is an answer over HTTP that is not a success.
type statusError struct {
	status int
	body   string
}

func (e *statusError) Error() string { return fmt.Sprintf("HTTP %d: %s", e.status, e.body) }

func request(ctx context.Context, method, url string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode >= http.StatusBadRequest {
		return &statusError{status: res.StatusCode, body: string(data)}
	}
	if out == nil || len(data) == 0 {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, out), string(data))
}

func (f *fleet) awaitServing() {
	f.t.Helper()
	for _, h := range f.hosts {
		for _, service := range services {
			eventually(f.t, h.name+" serves "+service, func() bool {
				conn, err := f.dial(h, crew, service)
				if err != nil {
					return false
				}
				defer closeConn(conn)
				var n int64
				return conn.QueryRow(f.context(), "select count(*) from records").Scan(&n) == nil
			})
		}
	}
}

// url returns the URL of a caller with the workspace's first key.
func (f *fleet) url(h *host, workspace, service string) string {
	return callerURL(h, workspace, f.keys[workspace+"-1"], service)
}

func callerURL(h *host, workspace, key, service string) string {
	u := url.URL{
		Scheme: "postgres", User: url.UserPassword(workspace, key), Host: h.settings.Entry.Listen,
		Path: "/" + service, RawQuery: "sslmode=disable&connect_timeout=30",
	}
	return u.String()
}

func (f *fleet) dial(h *host, workspace, service string) (*pgx.Conn, error) {
	return pgx.Connect(f.context(), f.url(h, workspace, service))
}

// connect opens a caller's connection for the rest of the test.
func (f *fleet) connect(h *host, workspace, service string) *pgx.Conn {
	f.t.Helper()
	conn, err := f.dial(h, workspace, service)
	if err != nil {
		f.t.Fatalf("connect to %s as %s: %v", h.name, workspace, err)
	}
	f.t.Cleanup(func() { closeConn(conn) })
	return conn
}

func closeConn(conn *pgx.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = conn.Close(ctx) // the connection is of no further use
}

// context returns a context that ends long before the test's own limit.
func (f *fleet) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	f.t.Cleanup(cancel)
	return ctx
}

// faults sets fault switches of an endpoint.
func (e *endpoint) faults(t *testing.T, r standin.FaultRequest) {
	t.Helper()
	body, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := request(ctx, http.MethodPost, "http://"+e.control+"/v1/faults", body, nil); err != nil {
		t.Fatalf("faults of %s: %v", e.id, err)
	}
}

func (e *endpoint) status() (standin.Status, error) {
	var s standin.Status
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	err := request(ctx, http.MethodGet, "http://"+e.control+"/v1/status", nil, &s)
	return s, err
}

// primary returns the endpoint of the newest timeline that takes itself for the
// primary.
func (f *fleet) primary(service string) *endpoint {
	f.t.Helper()
	var found *endpoint
	var newest uint32
	for _, e := range f.endpoints {
		if e.service != service {
			continue
		}
		s, err := e.status()
		if err == nil && s.Role == standin.RolePrimary && s.Timeline > newest {
			found, newest = e, s.Timeline
		}
	}
	if found == nil {
		f.t.Fatalf("service %s has no primary", service)
	}
	return found
}
