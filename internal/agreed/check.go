package agreed

import (
	"strings"

	"github.com/galenabridge/galenabridge/internal/bounds"
)

const (
	// MaxSlots bounds the statements that an endpoint says it runs at once.
	MaxSlots = 1 << 16
	// maxReasonBytes bounds the text of why a group is sealed, in bytes.
	maxReasonBytes = 1024
)

// Check returns an error that names the field if the command holds a value that no host may put
// into the log. A document or a note is checked by package note; see also EncodeReadable.
func (c Command) Check() error {
	switch {
	case c.PutEndpoint != nil:
		return c.PutEndpoint.Endpoint.Check()
	case c.SetDomain != nil:
		return checkNames(field{"domain", c.SetDomain.Domain.Name}, optional("region", c.SetDomain.Domain.Region))
	case c.RetireEndpoint != nil:
		return bounds.Name("endpoint", c.RetireEndpoint.ID)
	case c.RemoveEndpoint != nil:
		return bounds.Name("endpoint", c.RemoveEndpoint.ID)
	case c.RegisterHost != nil:
		return c.RegisterHost.Host.check()
	case c.RemoveHost != nil:
		return bounds.Name("host", c.RemoveHost.ID)
	case c.NameFleet != nil:
		return bounds.Name("fleet", c.NameFleet.Fleet)
	case c.ClaimUsage != nil:
		return c.ClaimUsage.check()
	case c.DecideUsage != nil:
		return c.DecideUsage.check()
	}
	return nil
}

// Check returns an error that names the field if the record cannot be that of an endpoint.
func (e Endpoint) Check() error {
	if err := checkNames(field{"id", e.ID}, field{"service", e.Service}, field{"domain", e.Domain}); err != nil {
		return err
	}
	if err := bounds.Addr("address", e.Addr); err != nil {
		return err
	}
	if e.Slots < 0 || e.Slots > MaxSlots {
		return bounds.Invalid("slots", "%d is not between 0 and %d", e.Slots, MaxSlots)
	}
	return nil
}

func (h Host) check() error {
	if err := checkNames(field{"host", h.ID}, field{"domain", h.Domain}); err != nil {
		return err
	}
	return bounds.Addr("peer address", h.PeerAddr)
}

// field is a value of a record with its name.
type field struct{ name, value string }

// optional returns a field that may be empty.
func optional(name, value string) field {
	if value == "" {
		value = "-"
	}
	return field{name, value}
}

func checkNames(fields ...field) error {
	for _, f := range fields {
		if err := bounds.Name(f.name, f.value); err != nil {
			return err
		}
	}
	return nil
}

// cleanText returns a text that the log can hold: valid UTF-8, at most maxReasonBytes long. Texts of
// causes may quote what other processes sent.
func cleanText(s string) string {
	if len(s) > maxReasonBytes {
		s = s[:maxReasonBytes]
	}
	return strings.ToValidUTF8(s, "\uFFFD")
}
