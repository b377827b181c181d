package entry

import (
	"context"
	"fmt"
	"maps"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/config"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/scramauth"
	"github.com/galenabridge/galenabridge/internal/standin"
	"github.com/galenabridge/galenabridge/internal/view"
)

const (
	// testTimeout bounds every wait of a test.
	testTimeout  = 60 * time.Second
	testService  = "ledger"
	testPassword = "endpoint secret"
	callerKey    = "key of the crew"
)

// fixture is an entry server in front of a group of three stand-in endpoints. The agreed state
// is set by the test.
type fixture struct {
	t         testing.TB
	group     *standin.Group
	publisher *view.Publisher
	server    *Server
	// registry holds the server's metrics.
	registry *prometheus.Registry

	mu    sync.Mutex
	state agreed.State
}

// fixtureConfig changes the defaults of a fixture. connections is the service's limit on
// connections to an endpoint.
type fixtureConfig struct {
	standin     func(*standin.Options)
	options     func(*Options)
	connections int
}

func newFixture(t testing.TB, cfg fixtureConfig) *fixture {
	t.Helper()
	opts := standin.Options{
		Service: testService, User: "bridge", Password: testPassword, Database: "db",
		RecordsTable: true, ConnectDelay: -1, ReplicationDelay: -1,
	}
	if cfg.standin != nil {
		cfg.standin(&opts)
	}
	group, err := standin.NewGroup(opts, 3, nil)
	if err != nil {
		t.Fatal(err)
	}
	if cfg.connections == 0 {
		cfg.connections = 20
	}
	f := &fixture{
		t: t, group: group, publisher: view.NewPublisher(), registry: prometheus.NewRegistry(),
		state: newState(group, cfg.connections),
	}
	f.background(group.Run)
	f.publish(func(*agreed.State) {})
	f.start(cfg)
	return f
}

// newState returns an agreed state in which the first stand-in is the primary.
func newState(group *standin.Group, connections int) agreed.State {
	state := agreed.State{
		Revision: 1,
		Catalog: note.Catalog{
			Workspaces: map[string]note.Workspace{
				"crew": {Name: "crew", Rate: 1000, Burst: 1000, Class: note.ClassInteractive},
				"pull": {Name: "pull", Rate: 1000, Burst: 1000, Class: note.ClassBulk, Open: true},
			},
			Keys: map[string]note.Key{
				"crew-1": {ID: "crew-1", Workspace: "crew", Verifier: scramauth.Verifier("crew", callerKey)},
			},
			Services: map[string]note.Service{
				testService: {
					Name: testService, Endpoints: 3, Slots: 50, Connections: connections,
					Database: "db", User: "bridge", Password: testPassword,
				},
			},
			Domains: map[string]note.Domain{"osan": {Name: "osan", Region: "kr-central"}},
		},
		Hosts:     map[string]agreed.Host{"entry-1": {ID: "entry-1", Entry: true}},
		Endpoints: make(map[string]agreed.Endpoint),
	}
	g := agreed.Group{Service: testService, Term: 1, Phase: agreed.PhaseActive, Timeline: 1}
	for i, s := range group.Servers {
		id := fmt.Sprintf("%s-%d", testService, i+1)
		state.Endpoints[id] = agreed.Endpoint{ID: id, Service: testService, Addr: s.Addr(), Domain: "osan"}
		g.Members = append(g.Members, id)
	}
	g.Primary = g.Members[0]
	state.Groups = map[string]agreed.Group{testService: g}
	return state
}

// publish changes the agreed state and publishes it with a configuration lease of an hour.
func (f *fixture) publish(change func(*agreed.State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.state
	next.Revision++
	next.Catalog.Keys = maps.Clone(next.Catalog.Keys)
	next.Catalog.Workspaces = maps.Clone(next.Catalog.Workspaces)
	next.Catalog.Services = maps.Clone(next.Catalog.Services)
	next.Groups = maps.Clone(next.Groups)
	change(&next)
	f.state = next
	f.publisher.Publish(view.View{State: &next, Settled: next.Revision, ValidUntil: clock.Now().Add(time.Hour)})
}

// expire ends the configuration lease now.
func (f *fixture) expire() {
	v := f.publisher.Current()
	v.ValidUntil = clock.Now()
	f.publisher.Publish(v)
}

func (f *fixture) start(cfg fixtureConfig) {
	f.t.Helper()
	f.server = f.startHost("entry-1", func(o *Options) {
		o.Registerer = f.registry
		if cfg.options != nil {
			cfg.options(o)
		}
	})
}

// startHost runs another entry server on the same agreed state.
func (f *fixture) startHost(host string, change func(*Options)) *Server {
	f.t.Helper()
	opts := Options{
		Settings: &config.Settings{Host: host, Entry: &config.Entry{
			Listen: "127.0.0.1:0", MaxMessage: 1 << 20, DefaultDeadline: config.Duration(testTimeout),
		}},
		View: f.publisher,
	}
	change(&opts)
	server, err := NewServer(opts)
	if err != nil {
		f.t.Fatal(err)
	}
	f.background(server.Run)
	return server
}

// background runs a task until the test ends or stop is called.
func (f *fixture) background(task func(context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = task(ctx)
	}()
	stop = func() {
		cancel()
		<-done
	}
	f.t.Cleanup(stop)
	return stop
}

// url returns the connection URL of a workspace with additional parameters.
func (f *fixture) url(workspace, key, params string) string {
	return urlOf(f.server, workspace, key, params)
}

func urlOf(s *Server, workspace, key, params string) string {
	u := url.URL{
		Scheme: "postgres", User: url.UserPassword(workspace, key), Host: s.Addr().String(),
		Path: testService, RawQuery: "sslmode=disable&" + params,
	}
	return u.String()
}

// connect opens a session of the workspace crew.
func (f *fixture) connect(params string) *pgx.Conn {
	f.t.Helper()
	return f.connectTo(f.server, params)
}

func (f *fixture) connectTo(s *Server, params string) *pgx.Conn {
	f.t.Helper()
	conn, err := pgx.Connect(testContext(f.t), urlOf(s, "crew", callerKey, params))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// direct connects to endpoint i without the entry.
func (f *fixture) direct(i int) *pgx.Conn {
	f.t.Helper()
	u := url.URL{
		Scheme: "postgres", User: url.UserPassword("bridge", testPassword),
		Host: f.group.Servers[i].Addr(), Path: "db", RawQuery: "sslmode=disable",
	}
	conn, err := pgx.Connect(testContext(f.t), u.String())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func testContext(t testing.TB) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func mustExec(t testing.TB, conn *pgx.Conn, sql string, args ...any) {
	t.Helper()
	if _, err := conn.Exec(testContext(t), sql, args...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

func queryInt(t testing.TB, conn *pgx.Conn, sql string, args ...any) int {
	t.Helper()
	var n int
	if err := conn.QueryRow(testContext(t), sql, args...).Scan(&n); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return n
}

// wantCode checks that err has the result code in its message and the matching SQLSTATE.
func wantCode(t testing.TB, err error, code result.Code) {
	t.Helper()
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) {
		t.Fatalf("want code %d, got %v", code, err)
	}
	prefix := fmt.Sprintf("GB%d ", code)
	if len(pgErr.Message) < len(prefix) || pgErr.Message[:len(prefix)] != prefix {
		t.Fatalf("want code %d, got %s", code, pgErr.Message)
	}
	if want := result.Lookup(code).SQLState; pgErr.Code != want {
		t.Errorf("SQLSTATE %s, want %s", pgErr.Code, want)
	}
}

// eventually polls until the condition holds and fails the test after testTimeout.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %s", what, testTimeout)
		}
		time.Sleep(2 * time.Millisecond)
	}
}
