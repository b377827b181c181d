package control

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/metering"
)

// UsageReport is the report of one window.
type UsageReport struct {
	Fence  uint64
	Window int64
	// Counts are the requests by workspace. Reports of one window always have the same ones.
	Counts map[string]uint64
	// Allowed reports whether the host may still act. It must be called right before data is
	// sent.
	Allowed func() bool
}

// UsageReporter sends usage reports to the platform.
type UsageReporter interface {
	// Report sends a report and waits for the answer until ctx ends. The error says why the
	// outcome is not metering.CallAccepted.
	Report(ctx context.Context, r UsageReport) (metering.CallOutcome, error)
}

// UsageStatus describes the usage reports. Windows and Waiting are known to the leader only.
type UsageStatus struct {
	Holder   string `json:"holder" cbor:"1,keyasint"`
	Fence    uint64 `json:"fence" cbor:"2,keyasint"`
	Decided  int64  `json:"decided" cbor:"3,keyasint"`
	Accepted int64  `json:"accepted" cbor:"4,keyasint"`
	Pending  int    `json:"pending" cbor:"5,keyasint"`
	// Waiting is what the leader waits for, empty if nothing is due.
	Waiting string `json:"waiting,omitempty" cbor:"6,keyasint,omitempty"`
	// Windows are the latest windows that this leader has decided or reported, the newest last.
	Windows []UsageWindowStatus `json:"windows,omitempty" cbor:"7,keyasint,omitempty"`
}

// UsageWindowStatus describes a window and its report.
type UsageWindowStatus struct {
	Window int64 `json:"window" cbor:"1,keyasint"`
	// Outcome is "decided", "accepted" or "dropped".
	Outcome string            `json:"outcome" cbor:"2,keyasint"`
	Counts  map[string]uint64 `json:"counts" cbor:"3,keyasint"`
	// Heard and Missing are those of metering.Tally at the decision. Inherited is set if a former
	// leader has decided the window, and they are not known.
	Heard     int      `json:"heard" cbor:"4,keyasint"`
	Missing   []string `json:"missing,omitempty" cbor:"5,keyasint,omitempty"`
	Inherited bool     `json:"inherited,omitempty" cbor:"6,keyasint,omitempty"`
	Fence     uint64   `json:"fence" cbor:"7,keyasint"`
	// Attempts are the calls of this leader, and LastError why the last one was not accepted.
	Attempts  int    `json:"attempts" cbor:"8,keyasint"`
	LastError string `json:"last_error,omitempty" cbor:"9,keyasint,omitempty"`
}

// Requests returns the sum of the counts.
func (w UsageWindowStatus) Requests() uint64 {
	var sum uint64
	for _, n := range w.Counts {
		sum += n
	}
	return sum
}

// maxLoggedCounts bounds the text of counts in a log line, in bytes. Lines have up to 1,024.
const maxLoggedCounts = 500

// FormatUsageCounts returns counts as text, the highest first, cut off after limit bytes.
func FormatUsageCounts(counts map[string]uint64, limit int) string {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	var text strings.Builder
	for i, name := range names {
		entry := fmt.Sprintf("%s:%d", name, counts[name])
		if text.Len()+len(entry) > limit {
			fmt.Fprintf(&text, "and %d more", len(names)-i)
			break
		}
		text.WriteString(entry)
		if i < len(names)-1 {
			text.WriteByte(' ')
		}
	}
	return text.String()
}

// usageStatus returns the status of the usage reports, nil if there are none.
func (h *Host) usageStatus() *UsageStatus {
	u := h.state.Usage
	if u.Fence == 0 && h.usage == nil {
		return nil
	}
	s := &UsageStatus{Holder: u.Holder, Fence: u.Fence, Decided: u.Decided, Accepted: u.Accepted}
	if h.usage != nil {
		s.Accepted = max(s.Accepted, h.usage.schedule.Accepted())
		s.Waiting, s.Windows = h.usage.waiting, slices.Clone(h.usage.windows)
	}
	s.Pending = len(undelivered(u, s.Accepted))
	return s
}

// undelivered returns the pending windows above the highest accepted one.
func undelivered(u agreed.Usage, accepted int64) []agreed.UsageWindow {
	i := 0
	for i < len(u.Pending) && u.Pending[i].Window <= max(u.Accepted, accepted) {
		i++
	}
	return u.Pending[i:]
}
