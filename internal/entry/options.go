package entry

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenabridge/galenabridge/internal/admit"
	"github.com/galenabridge/galenabridge/internal/config"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/pgback"
	"github.com/galenabridge/galenabridge/internal/pgfront"
	"github.com/galenabridge/galenabridge/internal/view"
)

// Limits that no setting changes. defaultWriteTimeout applies when Options.WriteTimeout is
// zero; maxHandshakes is the largest number of logins in progress.
const (
	loginTimeout        = 10 * time.Second
	defaultWriteTimeout = 30 * time.Second
	maxHandshakes       = 256
)

// Durability waits until the writes of a group's primary are durable.
type Durability interface {
	// Wait returns the primary's log position, read after the call began, once a majority
	// of the group's endpoints has flushed it to disk. It fails in another life or term of the service.
	Wait(ctx context.Context, service string, life, term uint64) (Position, error)
}

// CancelForwarder passes a cancel request to the host that serves the session.
type CancelForwarder interface {
	Forward(ctx context.Context, host uint32, cancel pgfront.CancelKey) error
}

// Observer receives the status of endpoints from their monitors.
type Observer interface {
	Observe(service string, s pgback.Status)
}

// Options configure a Server. Settings and View are required; other interfaces that are
// nil get the implementations of this package.
type Options struct {
	Settings   *config.Settings
	View       view.Source
	Limiter    Limiter
	Gate       Gate
	Router     Router
	Positions  Positions
	Durability Durability
	// Peers requests session positions from the other entry hosts. When it is nil and
	// there are other hosts, reads wait for the primary's position.
	Peers Peers
	// GatherTimeout bounds the wait for the answers of Peers; zero means the default of
	// package session.
	GatherTimeout time.Duration
	// CancelForwarder forwards cancel requests for other hosts; nil drops them.
	CancelForwarder CancelForwarder
	// Baseline serves requests in order of arrival and on the primary only, as a baseline
	// for comparing policies. It replaces the router and positions.
	Baseline bool
	// Observers receive each status of the endpoints in use.
	Observers []Observer
	// Connections returns the limit on this host's connections to an endpoint. Nil divides
	// the limit of the service evenly among the entry hosts.
	Connections func(service, endpoint string) int
	// Slots returns the number of this host's slots at an endpoint, for the gate that is
	// used when Gate is nil. Nil divides them evenly as well.
	Slots func(service, endpoint string) int

	Log        *log.Logger
	Registerer prometheus.Registerer
	// WriteTimeout bounds one write to a caller; zero means the default of 30 s.
	WriteTimeout time.Duration
}

// frontConfig returns the configuration of the connections to callers.
func (o *Options) frontConfig() (pgfront.Config, error) {
	entry := o.Settings.Entry
	cfg := pgfront.Config{
		RequireTLS:   entry.RequireTLS,
		MaxMessage:   entry.MaxMessage,
		LoginTimeout: loginTimeout,
		WriteTimeout: o.WriteTimeout,
	}
	if cfg.WriteTimeout == 0 {
		cfg.WriteTimeout = defaultWriteTimeout
	}
	if cfg.MaxMessage == 0 {
		cfg.MaxMessage = config.DefaultMaxMessage
	}
	if entry.TLS == nil {
		return cfg, nil
	}
	cert, err := tls.LoadX509KeyPair(entry.TLS.Cert, entry.TLS.Key)
	if err != nil {
		return cfg, errors.Wrap(err, "load the certificate for callers")
	}
	cfg.TLS = &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
	return cfg, nil
}

func (o *Options) gatePolicy() admit.Policy {
	if o.Baseline {
		return admit.PolicyFIFO
	}
	return admit.PolicyFair
}

// slots returns the function that gives this host's slots at an endpoint.
func (o *Options) slots() func(service, endpoint string) int {
	if o.Slots != nil {
		return o.Slots
	}
	return evenShare(o.View, 1, func(svc note.Service) int { return svc.Slots })
}
