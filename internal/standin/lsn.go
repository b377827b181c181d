package standin

import (
	"fmt"

	"github.com/pkg/errors"
)

// LSN is a position in the log of a group, as a byte offset.
type LSN uint64

// firstLSN is the position of an empty log.
const firstLSN LSN = 0x1000000

// String formats the position as PostgreSQL does, such as "0/16B3748".
func (l LSN) String() string {
	return fmt.Sprintf("%X/%X", uint32(l>>32), uint32(l))
}

// ParseLSN parses a position in the format of String.
func ParseLSN(text string) (LSN, error) {
	var high, low uint32
	if _, err := fmt.Sscanf(text, "%X/%X", &high, &low); err != nil {
		return 0, errors.Wrapf(err, "log position %q", text)
	}
	return LSN(high)<<32 | LSN(low), nil
}
