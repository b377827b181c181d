package pgback

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ParseLSN parses a log position in PostgreSQL's form, such as 16/B374D848.
func ParseLSN(text string) (uint64, error) {
	high, low, ok := strings.Cut(text, "/")
	if !ok {
		return 0, errors.Errorf("log position %q has no slash", text)
	}
	segment, err := strconv.ParseUint(high, 16, 32)
	if err != nil {
		return 0, errors.Wrap(err, "log position")
	}
	offset, err := strconv.ParseUint(low, 16, 32)
	if err != nil {
		return 0, errors.Wrap(err, "log position")
	}
	return segment<<32 | offset, nil
}
