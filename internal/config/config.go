// Package config defines the settings file of a host: its JSON schema, defaults and
// validation. Settings are specific to a host; configuration that is common to the fleet
// comes from release notes.
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
	// Host is the identity of the host, unique in the fleet. With Seeds it defaults to
	// the peer address.
	Host string `json:"host" validate:"required,max=63"`
	// Fleet is the name of the fleet; connections from hosts of other fleets are refused.
	Fleet string `json:"fleet" validate:"required,max=63"`
	// Domain is the failure domain of the host.
	Domain string `json:"domain" validate:"required,max=63"`
	// FleetSecret is the shared secret that authenticates hosts of the fleet to each other.
	FleetSecret string `json:"fleet_secret" validate:"required,min=16"`

	Peer    Peer     `json:"peer"`
	Admin   Admin    `json:"admin" validate:"omitempty"`
	Entry   *Entry   `json:"entry,omitempty"`
	Control *Control `json:"control,omitempty"`
	// Controls lists the control hosts by identity and peer address.
	Controls []ControlHost `json:"controls,omitempty" validate:"required_without=Seeds,dive"`
	// Seeds are the peer addresses of some control hosts, as an alternative to Controls:
	// every control host that requests membership is then admitted, and the identity of
	// a host is its peer address.
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

// Admin holds the settings of the HTTP interface for operators, announcements, health
// checks and metrics.
type Admin struct {
	// Listen may be empty if another interface serves operators.
	Listen string `json:"listen" validate:"omitempty,ipport"`
	// Token is the bearer token of operators; if it is empty, only requests from
	// loopback addresses are allowed.
	Token string `json:"token,omitempty" validate:"omitempty,min=16"`
}

// Entry holds the settings of the role that serves callers.
type Entry struct {
	Listen string `json:"listen" validate:"required,ipport"`
	TLS    *TLS   `json:"tls,omitempty"`
	// RequireTLS refuses connections without TLS.
	RequireTLS bool `json:"require_tls,omitempty"`
	// MaxMessage is the maximum size of a message from a caller in bytes.
	MaxMessage int `json:"max_message,omitempty" validate:"gte=0"`
	// DefaultDeadline limits the wait of a request that sets no deadline.
	DefaultDeadline Duration `json:"default_deadline,omitempty"`
	// DrainTimeout limits a graceful shutdown.
	DrainTimeout Duration `json:"drain_timeout,omitempty"`
}

// Control holds the settings of the role that replicates the agreed state by consensus.
type Control struct {
	// DataDir is the directory of the consensus log and snapshots.
	DataDir string `json:"data_dir" validate:"required"`
	// Bootstrap creates a new fleet from the control hosts listed in Controls. It is
	// ignored if DataDir already contains a log.
	Bootstrap bool `json:"bootstrap,omitempty"`
	// ToleratedLosses is the number of data folders of control hosts that may be lost at the same
	// time; zero selects 2.
	ToleratedLosses int `json:"tolerated_losses,omitempty" validate:"gte=0"`
}

// SeedHosts returns a voting control host for each seed, with its address as identity.
func SeedHosts(seeds []string) []ControlHost {
	hosts := make([]ControlHost, 0, len(seeds))
	for _, addr := range seeds {
		hosts = append(hosts, ControlHost{Host: addr, Addr: addr, Voter: true})
	}
	return hosts
}

// ControlHost is the identity and peer address of a control host.
type ControlHost struct {
	Host string `json:"host" validate:"required,max=63"`
	Addr string `json:"addr" validate:"required,ipport"`
	// Voter is set for a host that votes in the consensus; the others are relays only.
	Voter bool `json:"voter"`
}

// TLS holds the paths of PEM files.
type TLS struct {
	Cert string `json:"cert" validate:"required"`
	Key  string `json:"key" validate:"required"`
	// CA verifies the certificates of peers. It is required in Peer and unused in Entry.
	CA string `json:"ca,omitempty"`
}

// Log holds the settings of the log.
type Log struct {
	Level string `json:"level,omitempty" validate:"omitempty,oneof=debug info warn error"`
}

// Duration is a time.Duration that is encoded in JSON as a string such as "250ms".
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.New("duration must be a string such as \"250ms\"")
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Wrap(err, "duration")
	}
	*d = Duration(parsed)
	return nil
}

// Defaults of optional settings.
const (
	DefaultMaxMessage   = 16 << 20 // bytes
	DefaultDeadline     = Duration(15 * time.Second)
	DefaultDrainTimeout = Duration(30 * time.Second)
)

// Load reads the settings file at path, sets defaults and validates it.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(data)
}

// Parse decodes settings, sets defaults and validates them. Unknown fields and trailing
// data are errors.
func Parse(data []byte) (*Settings, error) {
	var s Settings
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, errors.New("settings: unexpected data after the JSON object")
	}
	if err := s.Complete(); err != nil {
		return nil, err
	}
	return &s, nil
}

// Complete sets the defaults of missing settings and validates the result.
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

// newValidator returns a validator with the rule ipport: an IP address and a port.
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

// Check validates the settings and returns one error that lists every problem.
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

// checkRoles checks that the host has a role. Without seeds, it also checks that Controls
// contains a voter and, if this is a control host, this host. It includes checkTLS.
func (s *Settings) checkRoles() []string {
	var problems []string
	if s.Entry == nil && s.Control == nil {
		problems = append(problems, "entry, control: a host needs at least one role")
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
		problems = append(problems, "controls: at least one control host must be a voter")
	}
	if s.Control != nil && !listed {
		problems = append(problems, fmt.Sprintf("controls: control host %q is not listed", s.Host))
	}
	return append(problems, s.checkTLS()...)
}

// checkTLS checks that a certificate is set if callers must use TLS, and a CA if peers use it.
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
