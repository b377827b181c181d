package pgback

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ParseLSN parses a WAL position (LSN) in PostgreSQL's text form, such as 16/B374D848.
func ParseLSN(text string) (uint64, error) {
	high, low, ok := strings.Cut(text, "/")
	if !ok {
		return 0, errors.Errorf("WAL position %q has no slash", text)
	}
	highBits, err := strconv.ParseUint(high, 16, 32)
	if err != nil {
		return 0, errors.Wrap(err, "parse WAL position")
	}
	lowBits, err := strconv.ParseUint(low, 16, 32)
	if err != nil {
		return 0, errors.Wrap(err, "parse WAL position")
	}
	return highBits<<32 | lowBits, nil
}
