// Package admin serves a host's HTTP interface for operators, endpoints, the
// balancer and the collector of metrics.
//
//	POST /v1/notes          accept a release note
//	GET  /v1/notes          the stamps of accepted notes, newest last
//	GET  /v1/notes/current  the catalog in force, without secrets
//	GET  /v1/status         hosts, groups and endpoints as the leader sees them
//	POST /v1/announce       announcements of endpoints
//	GET  /healthz           200 while the host accepts callers, else 503
//	GET  /metrics           metrics in the Prometheus text format
//
// Errors are JSON objects with a result code; see ErrorResponse.
package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/control"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/view"
)

// Limits of a request.
const (
	headerTimeout = 5 * time.Second
	readTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
	// proposeTimeout bounds the wait for the control hosts.
	proposeTimeout = 10 * time.Second
	statusTimeout  = 3 * time.Second
)

// ControlClient reaches the control hosts. *control.Subscriber implements it.
type ControlClient interface {
	Propose(ctx context.Context, c agreed.Command) (agreed.Outcome, error)
	Status(ctx context.Context) (control.Status, error)
}

// Options configure a Server.
type Options struct {
	Listen string
	// Token authenticates operators; empty allows requests from loopback
	// addresses only.
	Token   string
	Control ControlClient
	View    view.Source
	// Announce takes announcements of endpoints.
	Announce http.Handler
	// Accepting reports whether the host accepts callers.
	Accepting func() bool
	Gatherer  prometheus.Gatherer
	Logger    *log.Logger
}

// Server is the admin interface of one host.
type Server struct {
	opts     Options
	listener net.Listener
}

// New binds the listener.
func New(opts Options) (*Server, error) {
	l, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for operators")
	}
	if opts.Logger == nil {
		opts.Logger = log.Default()
	}
	return &Server{opts: opts, listener: l}, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	server := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(s.listener)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.Wrap(err, "serve operators")
}

// Handler returns the routes of the interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/notes", s.operatorsOnly(s.postNote))
	mux.Handle("GET /v1/notes", s.operatorsOnly(s.history))
	mux.Handle("GET /v1/notes/current", s.operatorsOnly(s.current))
	mux.Handle("GET /v1/status", s.operatorsOnly(s.status))
	mux.HandleFunc("GET /healthz", s.health)
	if s.opts.Announce != nil {
		mux.Handle("POST /v1/announce", s.opts.Announce)
	}
	if s.opts.Gatherer != nil {
		mux.Handle("GET /metrics", promhttp.HandlerFor(s.opts.Gatherer, promhttp.HandlerOpts{}))
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		WriteError(w, result.New(result.UnsupportedFeature, "no %s %s", r.Method, r.URL.Path))
	})
	return mux
}

// operatorsOnly lets requests with the token through; without a token set,
// those from loopback addresses.
func (s *Server) operatorsOnly(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := s.authenticate(r); err != nil {
			WriteError(w, err)
			return
		}
		next(w, r)
	})
}

func (s *Server) authenticate(r *http.Request) error {
	if s.opts.Token == "" {
		if fromLoopback(r.RemoteAddr) {
			return nil
		}
		return result.New(result.NotAllowed, "no token is set: requests from loopback addresses only")
	}
	given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	want, got := sha256.Sum256([]byte(s.opts.Token)), sha256.Sum256([]byte(given))
	if !ok || subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
		return result.New(result.BadKey, "missing or wrong token")
	}
	return nil
}

func fromLoopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

// health answers the balancer.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if s.opts.Accepting != nil && s.opts.Accepting() {
		WriteJSON(w, http.StatusOK, Health{Accepting: true})
		return
	}
	WriteJSON(w, http.StatusServiceUnavailable, Health{})
}

// Health is the answer to the balancer.
type Health struct {
	Accepting bool `json:"accepting"`
}
