// Package bench drives a fleet with an open-loop load and checks the answers.
// Requests start at times drawn beforehand, whether or not earlier ones have
// been answered, and each latency counts from the intended start, so that a
// stalled system is not spared the requests it held up. The package owns the
// callers' connections of a run and the files of its report; it does not start
// or configure the system under load.
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

// Operation is a kind of request.
type Operation string

// Operations.
const (
	// OpFile inserts an entry and reads it back after the think time.
	OpFile Operation = "file"
	// OpCorrect inserts a correction, which may not run twice.
	OpCorrect Operation = "correct"
	// OpCheck reads an entry that the workspace has filed.
	OpCheck Operation = "check"
	// OpHistory reads many entries and takes its time.
	OpHistory Operation = "history"
)

var operations = []Operation{OpFile, OpCorrect, OpCheck, OpHistory}

// Profile describes a deployment and its load.
type Profile struct {
	Name    string   `json:"name" validate:"required"`
	Domains []Domain `json:"domains" validate:"required,min=1,dive"`
	// Hosts is the number of entry hosts.
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

// Service is a database group.
type Service struct {
	Name        string `json:"name" validate:"required"`
	Endpoints   int    `json:"endpoints" validate:"gte=1"`
	Slots       int    `json:"slots" validate:"gte=1"`
	Connections int    `json:"connections" validate:"gte=1"`
}

// Workspace is the load of one workspace.
type Workspace struct {
	Name  string     `json:"name" validate:"required"`
	Class note.Class `json:"class" validate:"oneof=interactive correction bulk"`
	// Rate and Burst are what the release note allows, in statements per second
	// and statements.
	Rate  float64 `json:"rate" validate:"gt=0"`
	Burst float64 `json:"burst" validate:"gte=1"`
	// Offered is the load in operations per second.
	Offered float64 `json:"offered" validate:"gte=0"`
	// Surge multiplies the offered load of a workspace during a surge fault.
	Surge float64 `json:"surge,omitempty" validate:"gte=0"`
	// Mix weighs the operations.
	Mix map[Operation]float64 `json:"mix" validate:"required"`
	// Callers is the number of connections at once.
	Callers int `json:"callers" validate:"gte=1"`
	// Think is the time from an acknowledged entry to the read that checks it.
	Think config.Duration `json:"think,omitempty"`
	// HistoryTime is the time that a history read spends in the database.
	HistoryTime config.Duration `json:"history_time,omitempty"`
	// Roam is the probability that a caller reconnects through another host
	// after an operation.
	Roam     float64  `json:"roam,omitempty" validate:"gte=0,lte=1"`
	Services []string `json:"services,omitempty"`
}

// Fault is a fault to cause during the run.
type Fault struct {
	At     config.Duration `json:"at"`
	Action Action          `json:"action" validate:"required"`
	// Target is a service, host, domain or workspace, by action.
	Target string `json:"target,omitempty"`
}

// LoadProfile reads and checks the profile at path.
func LoadProfile(path string) (*Profile, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read profile")
	}
	return ParseProfile(data)
}

// ParseProfile decodes and checks a profile. Unknown fields are errors.
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
	return &p, p.check()
}

func (p *Profile) check() error {
	known := make(map[string]bool)
	for _, s := range p.Services {
		known[s.Name] = true
	}
	for _, w := range p.Workspaces {
		for _, name := range w.Services {
			if !known[name] {
				return errors.Errorf("profile: workspace %s: unknown service %s", w.Name, name)
			}
		}
		sum := 0.0
		for op, weight := range w.Mix {
			if !op.known() || weight < 0 {
				return errors.Errorf("profile: workspace %s: mix: %s: %v", w.Name, op, weight)
			}
			sum += weight
		}
		if sum <= 0 {
			return errors.Errorf("profile: workspace %s: empty mix", w.Name)
		}
	}
	for _, f := range p.Faults {
		if !f.Action.known() {
			return errors.Errorf("profile: unknown fault %s", f.Action)
		}
	}
	return nil
}

func (o Operation) known() bool {
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
