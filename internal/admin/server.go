// Package admin serves the HTTP interface of a host for operators, endpoints, load
// balancers and Prometheus.
//
//	POST /v1/notes          apply a release note
//	GET  /v1/notes          the stamps of accepted notes, newest last
//	GET  /v1/notes/current  the catalog in force, without secrets
//	GET  /v1/status         hosts, groups and endpoints as reported by the leader
//	POST /v1/announce       announcements of endpoints
//	GET  /healthz           200 while the host accepts callers, otherwise 503
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

// Timeouts of connections and requests.
const (
	headerTimeout = 5 * time.Second
	readTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
	// proposeTimeout limits the wait for the control hosts to commit a note.
	proposeTimeout = 10 * time.Second
	statusTimeout  = 3 * time.Second
)

// ControlClient sends requests to the control hosts. *control.Subscriber implements it.
type ControlClient interface {
	Propose(ctx context.Context, c agreed.Command) (agreed.Outcome, error)
	Status(ctx context.Context) (control.Status, error)
}

// Options configures a Server.
type Options struct {
	Listen string
	// Token is the bearer token of operators; if it is empty, only requests from
	// loopback addresses are allowed.
	Token   string
	Control ControlClient
	View    view.Source
	// Announce handles announcements of endpoints; nil serves none.
	Announce http.Handler
	// Accepting reports whether the host accepts callers; nil means that it does not.
	Accepting func() bool
	// Gatherer supplies the metrics; nil serves none.
	Gatherer prometheus.Gatherer
	Logger   *log.Logger // nil means log.Default()
}

// Server is the admin interface of one host.
type Server struct {
	opts     Options
	listener net.Listener
}

// New returns a server that listens on opts.Listen. Run serves requests.
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

// Run serves requests until ctx ends, then closes all connections.
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

// Handler returns the handler of the whole interface. It responds to a request for any
// other path or method with UnsupportedFeature.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/notes", s.operatorsOnly(s.postNote))
	mux.Handle("GET /v1/notes", s.operatorsOnly(s.getHistory))
	mux.Handle("GET /v1/notes/current", s.operatorsOnly(s.getCatalog))
	mux.Handle("GET /v1/status", s.operatorsOnly(s.getStatus))
	mux.HandleFunc("GET /healthz", s.getHealth)
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

// operatorsOnly passes authenticated requests to next and responds to others with an error.
func (s *Server) operatorsOnly(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := s.authenticate(r); err != nil {
			WriteError(w, err)
			return
		}
		next(w, r)
	})
}

// authenticate checks the bearer token in constant time. If no token is set, it accepts
// requests from loopback addresses only.
func (s *Server) authenticate(r *http.Request) error {
	if s.opts.Token == "" {
		if isLoopback(r.RemoteAddr) {
			return nil
		}
		return result.New(result.NotAllowed, "no token is configured, so only requests from loopback addresses are allowed")
	}
	given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	want, got := sha256.Sum256([]byte(s.opts.Token)), sha256.Sum256([]byte(given))
	if !ok || subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
		return result.New(result.BadKey, "missing or invalid token")
	}
	return nil
}

func isLoopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

// getHealth serves the health check of load balancers.
func (s *Server) getHealth(w http.ResponseWriter, _ *http.Request) {
	if s.opts.Accepting != nil && s.opts.Accepting() {
		WriteJSON(w, http.StatusOK, Health{Accepting: true})
		return
	}
	WriteJSON(w, http.StatusServiceUnavailable, Health{})
}

// Health is the response to a health check.
type Health struct {
	Accepting bool `json:"accepting"`
}
