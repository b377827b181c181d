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

// Limits that settings do not change.
const (
	loginTimeout  = 10 * time.Second
	writeTimeout  = 30 * time.Second
	maxHandshakes = 256
)

// Durability waits until what a group's primary has written is safe.
type Durability interface {
	// Wait returns the primary's log position, read after the call began, once
	// a majority of the group's endpoints has it on disk.
	Wait(ctx context.Context, service string, term uint64) (Position, error)
}

// CancelForwarder passes a cancel request to the host that serves the session.
type CancelForwarder interface {
	Forward(ctx context.Context, host uint32, cancel pgfront.Cancel) error
}

// Observer receives the states that endpoints report.
type Observer interface {
	Observe(service string, s pgback.Status)
}

// Options configure a Server. Settings and View are required; other ports that
// are nil get the implementations of this package.
type Options struct {
	Settings   *config.Settings
	View       view.Source
	Limiter    Limiter
	Gate       Gate
	Router     Router
	Positions  Positions
	Durability Durability
	// Peers asks the other entry hosts for session positions; nil makes reads
	// wait for the primary's position when there are other hosts.
	Peers Peers
	// GatherTimeout bounds the wait for their answers; zero means the default of
	// package session.
	GatherTimeout time.Duration
	// CancelForwarder forwards cancel requests for other hosts; nil drops them.
	CancelForwarder CancelForwarder
	// Baseline serves requests in order of arrival and on the primary only, as
	// a measure for the policies. It replaces the router and positions.
	Baseline bool
	// Observers are told each status of the endpoints in use.
	Observers []Observer
	// Connections returns the cap on connections of this host to an endpoint.
	// Nil shares the cap of the service evenly among the entry hosts.
	Connections func(service, endpoint string) int
	// Slots returns the number of slots of this host at an endpoint, for the
	// gate that is used when Gate is nil. Nil shares them evenly as well.
	Slots func(service, endpoint string) int

	Log        *log.Logger
	Registerer prometheus.Registerer
	// WriteTimeout bounds one write to a caller that does not read; zero means
	// the default of 30 s.
	WriteTimeout time.Duration
}

func (o *Options) frontConfig() (pgfront.Config, error) {
	entry := o.Settings.Entry
	cfg := pgfront.Config{
		RequireTLS:   entry.RequireTLS,
		MaxMessage:   entry.MaxMessage,
		LoginTimeout: loginTimeout,
		WriteTimeout: o.WriteTimeout,
	}
	if cfg.WriteTimeout == 0 {
		cfg.WriteTimeout = writeTimeout
	}
	if cfg.MaxMessage == 0 {
		cfg.MaxMessage = config.DefaultMaxMessage
	}
	if entry.TLS == nil {
		return cfg, nil
	}
	cert, err := tls.LoadX509KeyPair(entry.TLS.Cert, entry.TLS.Key)
	if err != nil {
		return cfg, errors.Wrap(err, "certificate for callers")
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

func (o *Options) slots() func(service, endpoint string) int {
	if o.Slots != nil {
		return o.Slots
	}
	return evenShare(o.View, 1, func(svc note.Service) int { return svc.Slots })
}
