// Package bench drives a system with an open-loop load and checks the answers.
// The intended start of a request does not depend on the answers to earlier ones,
// and its latency counts from the intended start, so that the requests delayed by
// a stall are measured with their delay (no coordinated omission). After the load
// the stored rows are compared with the writes that were sent.
//
// The package owns the callers' connections and the files of its report. Its load
// runs against any Target: a running system, stand-in endpoints without the proxy
// (Direct) or a local fleet that it starts (System).
package bench

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/config"
	"github.com/galenabridge/galenabridge/internal/note"
)

// Operation is a kind of request. A read of OpCheck or OpHistory may be served by a
// replica.
type Operation string

// Operations.
const (
	// OpFile inserts a record and reads it back after the think time.
	OpFile Operation = "file"
	// OpCorrect inserts a correction, which must not run twice.
	OpCorrect Operation = "correct"
	// OpCheck reads an acknowledged record of the workspace.
	OpCheck Operation = "check"
	// OpHistory is a slow read of many records.
	OpHistory Operation = "history"
)

// operations lists all operations. Their order is part of how a seed determines the
// operations that are drawn.
var operations = []Operation{OpFile, OpCorrect, OpCheck, OpHistory}

// Profile describes a deployment and its load.
type Profile struct {
	Name    string   `json:"name" validate:"required"`
	Domains []Domain `json:"domains" validate:"required,min=1,dive"`
	// Hosts is the number of hosts, all of which have the entry role.
	Hosts      int         `json:"hosts" validate:"gte=1"`
	Services   []Service   `json:"services" validate:"required,min=1,dive"`
	Workspaces []Workspace `json:"workspaces" validate:"required,min=1,dive"`
	Faults     []Fault     `json:"faults,omitempty" validate:"dive"`
}

// Domain is a failure domain.
type Domain struct {
	Name   string `json:"name" validate:"required"`
	Region string `json:"region" validate:"required"`
}

// Service is a database served by a primary and its replicas.
type Service struct {
	Name string `json:"name" validate:"required"`
	// Endpoints is the number of endpoints: the primary and its replicas.
	Endpoints int `json:"endpoints" validate:"gte=1"`
	// Slots is the number of statements that one endpoint executes concurrently.
	Slots int `json:"slots" validate:"gte=1"`
	// Connections is the maximum number of connections to one endpoint from all
	// hosts together.
	Connections int `json:"connections" validate:"gte=1"`
}

// Workspace describes the limits and the load of one workspace.
type Workspace struct {
	Name  string     `json:"name" validate:"required"`
	Class note.Class `json:"class" validate:"oneof=interactive correction bulk"`
	// Rate and Burst are the limits in the release note, in statements per second
	// and in statements.
	Rate  float64 `json:"rate" validate:"gt=0"`
	Burst float64 `json:"burst" validate:"gte=1"`
	// Offered is the offered load in operations per second.
	Offered float64 `json:"offered" validate:"gte=0"`
	// Surge multiplies the offered load during a surge; 0 means no change.
	Surge float64 `json:"surge,omitempty" validate:"gte=0"`
	// Mix holds the relative weight of each operation.
	Mix map[Operation]float64 `json:"mix" validate:"required"`
	// Callers is the number of concurrent callers, each with a connection to
	// every service that it uses.
	Callers int `json:"callers" validate:"gte=1"`
	// Think is the time from the acknowledgement of a record to its read back.
	Think config.Duration `json:"think,omitempty"`
	// HistoryTime is the time that a history read spends in the database.
	HistoryTime config.Duration `json:"history_time,omitempty"`
	// Roam is the probability that a caller reconnects, through a host drawn at
	// random, after an operation.
	Roam float64 `json:"roam,omitempty" validate:"gte=0,lte=1"`
	// Services are the services that the workspace uses; empty means all.
	Services []string `json:"services,omitempty"`
}

// Fault is a fault to inject during the run.
type Fault struct {
	// At is the time since the start of the load.
	At     config.Duration `json:"at"`
	Action Action          `json:"action" validate:"required"`
	// Target is a service, host, domain or workspace, depending on the action.
	Target string `json:"target,omitempty"`
}

// LoadProfile reads and validates the profile at path.
func LoadProfile(path string) (*Profile, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read profile")
	}
	return ParseProfile(data)
}

// ParseProfile decodes and validates a profile. Unknown fields are errors.
func ParseProfile(data []byte) (*Profile, error) {
	var p Profile
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		return nil, errors.Wrap(err, "profile")
	}
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(&p); err != nil {
		return nil, errors.Wrap(err, "profile")
	}
	return &p, p.validate()
}

// validate checks what the tags cannot express: names of services, operations and
// actions, and the weights of the mixes.
func (p *Profile) validate() error {
	services := make(map[string]bool)
	for _, s := range p.Services {
		services[s.Name] = true
	}
	for _, w := range p.Workspaces {
		for _, name := range w.Services {
			if !services[name] {
				return errors.Errorf("profile: workspace %s: unknown service %s", w.Name, name)
			}
		}
		sum := 0.0
		for op, weight := range w.Mix {
			if !op.isValid() || weight < 0 {
				return errors.Errorf("profile: workspace %s: mix: operation %s is unknown or its weight %v is negative", w.Name, op, weight)
			}
			sum += weight
		}
		if sum <= 0 {
			return errors.Errorf("profile: workspace %s: mix has no positive weight", w.Name)
		}
	}
	for _, f := range p.Faults {
		if !f.Action.isValid() {
			return errors.Errorf("profile: unknown fault action %s", f.Action)
		}
	}
	return nil
}

func (o Operation) isValid() bool {
	for _, op := range operations {
		if o == op {
			return true
		}
	}
	return false
}

// services returns the services that a workspace uses.
func (p *Profile) services(w Workspace) []string {
	if len(w.Services) > 0 {
		return w.Services
	}
	names := make([]string, len(p.Services))
	for i, s := range p.Services {
		names[i] = s.Name
	}
	return names
}

func seconds(d time.Duration) float64 { return d.Seconds() }
