// Package config defines the settings file of a host: its JSON schema, the
// defaults and the checks. Settings hold what differs between hosts; what is
// common to the fleet comes from release notes.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
)

// Settings are the settings of one host.
type Settings struct {
	// Host is the identity of the host, unique in the fleet.
	Host string `json:"host" validate:"required,max=63"`
	// Fleet names the fleet; hosts of other fleets are refused.
	Fleet string `json:"fleet" validate:"required,max=63"`
	// Domain is the failure domain that the host stands in.
	Domain string `json:"domain" validate:"required,max=63"`
	// FleetSecret authenticates the hosts of a fleet to each other.
	FleetSecret string `json:"fleet_secret" validate:"required,min=16"`

	Peer    Peer     `json:"peer"`
	Admin   Admin    `json:"admin" validate:"omitempty"`
	Entry   *Entry   `json:"entry,omitempty"`
	Control *Control `json:"control,omitempty"`
	// Controls lists the control hosts by identity and peer address.
	Controls []ControlHost `json:"controls,omitempty" validate:"required_without=Seeds,dive"`
	// Seeds are peer addresses of some control hosts, in place of Controls: every
	// control host that asks is then taken in, and the identity of a host is its
	// peer address.
	Seeds []string `json:"seeds,omitempty" validate:"omitempty,dive,ipport"`
	Log   Log      `json:"log"`
}

// Peer holds the settings for messages between hosts.
type Peer struct {
	Listen string `json:"listen" validate:"required,ipport"`
	// Advertise is the address that other hosts dial; empty means Listen.
	Advertise string `json:"advertise,omitempty" validate:"omitempty,ipport"`
	TLS       *TLS   `json:"tls,omitempty"`
}

// Admin holds the settings for operators, announcements, health and metrics.
type Admin struct {
	// Listen may be empty where another interface serves operators.
	Listen string `json:"listen" validate:"omitempty,ipport"`
	// Token authenticates operators who post release notes; empty allows
	// requests from loopback addresses only.
	Token string `json:"token,omitempty" validate:"omitempty,min=16"`
}

// Entry holds the settings of the role that serves callers.
type Entry struct {
	Listen string `json:"listen" validate:"required,ipport"`
	TLS    *TLS   `json:"tls,omitempty"`
	// RequireTLS refuses callers that do not use TLS.
	RequireTLS bool `json:"require_tls,omitempty"`
	// MaxMessage is the largest message accepted from a caller, in bytes.
	MaxMessage int `json:"max_message,omitempty" validate:"gte=0"`
	// DefaultDeadline bounds the wait of a request that names no deadline.
	DefaultDeadline Duration `json:"default_deadline,omitempty"`
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout Duration `json:"drain_timeout,omitempty"`
}

// Control holds the settings of the role that keeps the agreed state.
type Control struct {
	// DataDir is the folder for the consensus log and snapshots.
	DataDir string `json:"data_dir" validate:"required"`
	// Bootstrap founds a new fleet from the control hosts listed in Controls.
	// It is ignored when the data folder already holds a log.
	Bootstrap bool `json:"bootstrap,omitempty"`
}

// SeedHosts returns the control hosts that the seeds name.
func SeedHosts(seeds []string) []ControlHost {
	hosts := make([]ControlHost, 0, len(seeds))
	for _, addr := range seeds {
		hosts = append(hosts, ControlHost{Host: addr, Addr: addr, Voter: true})
	}
	return hosts
}

// ControlHost names a control host.
type ControlHost struct {
	Host string `json:"host" validate:"required,max=63"`
	Addr string `json:"addr" validate:"required,ipport"`
	// Voter tells whether the host votes; the others relay.
	Voter bool `json:"voter"`
}

// TLS names the files of a certificate.
type TLS struct {
	Cert string `json:"cert" validate:"required"`
	Key  string `json:"key" validate:"required"`
	// CA verifies peers; it is required for peers and unused for callers.
	CA string `json:"ca,omitempty"`
}

// Log holds the settings for logs.
type Log struct {
	Level string `json:"level,omitempty" validate:"omitempty,oneof=debug info warn error"`
}

// Duration is a time.Duration written as a string such as "250ms".
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.New("a duration is a string such as \"250ms\"")
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Wrap(err, "duration")
	}
	*d = Duration(parsed)
	return nil
}

// Defaults for settings that are left out.
const (
	DefaultMaxMessage   = 16 << 20 // bytes
	DefaultDeadline     = Duration(15 * time.Second)
	DefaultDrainTimeout = Duration(30 * time.Second)
)

// Load reads, completes and checks the settings file at path.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(data)
}

// Parse decodes, completes and checks settings. Unknown fields are errors.
func Parse(data []byte) (*Settings, error) {
	var s Settings
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, errors.New("settings: text after the JSON object")
	}
	if err := s.Complete(); err != nil {
		return nil, err
	}
	return &s, nil
}

// Complete sets the defaults of what was left out and checks the settings.
func (s *Settings) Complete() error {
	s.setDefaults()
	return s.Check()
}

func (s *Settings) setDefaults() {
	if s.Peer.Advertise == "" {
		s.Peer.Advertise = s.Peer.Listen
	}
	if s.Host == "" && len(s.Seeds) > 0 {
		s.Host = s.Peer.Advertise
	}
	if s.Log.Level == "" {
		s.Log.Level = "info"
	}
	if s.Entry == nil {
		return
	}
	if s.Entry.MaxMessage == 0 {
		s.Entry.MaxMessage = DefaultMaxMessage
	}
	if s.Entry.DefaultDeadline == 0 {
		s.Entry.DefaultDeadline = DefaultDeadline
	}
	if s.Entry.DrainTimeout == 0 {
		s.Entry.DrainTimeout = DefaultDrainTimeout
	}
}

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	must(v.RegisterValidation("ipport", func(fl validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(fl.Field().String())
		return err == nil
	}))
	v.RegisterTagNameFunc(jsonName)
	return v
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// Check reports every error of the settings at once.
func (s *Settings) Check() error {
	var problems []string
	var fields validator.ValidationErrors
	if err := validate.Struct(s); errors.As(err, &fields) {
		for _, f := range fields {
			problems = append(problems, describe(f))
		}
	}
	problems = append(problems, s.checkRoles()...)
	if len(problems) == 0 {
		return nil
	}
	return errors.Errorf("settings: %s", strings.Join(problems, "; "))
}

func (s *Settings) checkRoles() []string {
	var problems []string
	if s.Entry == nil && s.Control == nil {
		problems = append(problems, "entry, control: a host has at least one role")
	}
	voters := 0
	listed := false
	for _, c := range s.Controls {
		if c.Voter {
			voters++
		}
		listed = listed || c.Host == s.Host
	}
	if len(s.Seeds) > 0 {
		return append(problems, s.checkTLS()...)
	}
	if voters == 0 {
		problems = append(problems, "controls: at least one control host votes")
	}
	if s.Control != nil && !listed {
		problems = append(problems, fmt.Sprintf("controls: control host %q is not listed", s.Host))
	}
	return append(problems, s.checkTLS()...)
}

// checkEntry checks what depends on several settings of callers and peers.
func (s *Settings) checkTLS() []string {
	var problems []string
	if s.Entry != nil && s.Entry.RequireTLS && s.Entry.TLS == nil {
		problems = append(problems, "entry.require_tls: no certificate is set")
	}
	if s.Peer.TLS != nil && s.Peer.TLS.CA == "" {
		problems = append(problems, "peer.tls.ca: required to verify peers")
	}
	return problems
}
