// Package bounds checks the values that other processes send: operators, endpoints, callers and
// peers. An error names the field and has code MalformedMessage. What is checked where it comes in can
// be stored, sent on and decoded on every host.
package bounds

import (
	"net"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/galenabridge/galenabridge/internal/result"
)

// MaxNameBytes bounds names and addresses, in bytes. It is the length of a domain name (RFC 1035).
const MaxNameBytes = 255

// Name returns an error unless the value is UTF-8 text of 1 to MaxNameBytes without control
// characters.
func Name(field, value string) error {
	switch {
	case value == "" || len(value) > MaxNameBytes:
		return Invalid(field, "%d bytes, 1 to %d are allowed", len(value), MaxNameBytes)
	case !utf8.ValidString(value):
		return Invalid(field, "not UTF-8 text")
	case strings.ContainsFunc(value, unicode.IsControl):
		return Invalid(field, "control characters")
	}
	return nil
}

// Addr returns an error unless the value is a host and a port.
func Addr(field, value string) error {
	if err := Name(field, value); err != nil {
		return err
	}
	host, port, err := net.SplitHostPort(value)
	if err != nil || host == "" {
		return Invalid(field, "not a host and a port")
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		return Invalid(field, "the port is not between 1 and 65535")
	}
	return nil
}

// Invalid returns the error for a field.
func Invalid(field, format string, args ...any) error {
	return result.New(result.MalformedMessage, field+": "+format, args...)
}
