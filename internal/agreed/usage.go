package agreed

import (
	"maps"
	"slices"

	"github.com/galenabridge/galenabridge/internal/bounds"
	"github.com/galenabridge/galenabridge/internal/result"
)

const (
	// MaxUsagePending is the number of decided windows that are kept until they are known to be
	// accepted. Older ones are dropped.
	MaxUsagePending = 8
	// maxUsageWorkspaces bounds the workspaces of one window. Catalogs have up to 1,000.
	maxUsageWorkspaces = 1 << 16
	// maxUsageWindow bounds the number of a window, so that arithmetic on it cannot overflow.
	maxUsageWindow = 1 << 52
)

// Usage is the agreed state of the usage reports. Only control hosts have it: it is not part of
// deltas or of snapshots for subscribers, and a change of it does not raise State.Revision.
type Usage struct {
	// Holder is the host that sends the reports, and Incarnation its process that made the claim.
	Holder      string `json:"holder,omitempty" cbor:"1,keyasint,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty" cbor:"2,keyasint,omitempty"`
	// Fence is the log index of the last claim, zero before the first one.
	Fence uint64 `json:"fence,omitempty" cbor:"3,keyasint,omitempty"`
	// Decided is the last decided window. At the first claim it is the window before that claim.
	Decided int64 `json:"decided,omitempty" cbor:"4,keyasint,omitempty"`
	// Accepted is the highest window that the platform is known to have accepted.
	Accepted int64 `json:"accepted,omitempty" cbor:"5,keyasint,omitempty"`
	// Pending are the decided windows not known to be accepted, at most MaxUsagePending in
	// ascending order.
	Pending []UsageWindow `json:"pending,omitempty" cbor:"6,keyasint,omitempty"`
}

// UsageWindow holds the requests of one window by workspace. They never change once decided.
type UsageWindow struct {
	Window int64             `json:"window" cbor:"1,keyasint"`
	Counts map[string]uint64 `json:"counts,omitempty" cbor:"2,keyasint,omitempty"`
}

// ClaimUsage makes a host the holder of the usage reports, under a fence that is the log index of
// the command.
type ClaimUsage struct {
	Host        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Previous is the expected fence, zero before the first claim.
	Previous uint64 `cbor:"3,keyasint,omitempty"`
	// Window is the window in which the claim is made. The first claim determines by it which
	// window is reported first; later ones ignore it.
	Window int64 `cbor:"4,keyasint"`
}

// DecideUsage records the counts of a window, which must be above the last decided one. It is
// refused unless Fence is the current one. A repeat of the last one changes nothing.
type DecideUsage struct {
	Fence  uint64            `cbor:"1,keyasint"`
	Window int64             `cbor:"2,keyasint"`
	Counts map[string]uint64 `cbor:"3,keyasint,omitempty"`
	// Accepted is the highest window that the holder knows to be accepted.
	Accepted int64 `cbor:"4,keyasint,omitempty"`
}

// changesUsageOnly reports whether the command changes nothing that subscribers receive.
func (c Command) changesUsageOnly() bool { return c.ClaimUsage != nil || c.DecideUsage != nil }

func (c *ClaimUsage) check() error {
	if c.Incarnation == 0 {
		return bounds.Invalid("incarnation", "zero")
	}
	if err := bounds.Name("host", c.Host); err != nil {
		return err
	}
	return checkUsageWindow(c.Window)
}

func (c *DecideUsage) check() error {
	if len(c.Counts) > maxUsageWorkspaces {
		return bounds.Invalid("counts", "%d workspaces, at most %d are allowed", len(c.Counts), maxUsageWorkspaces)
	}
	for workspace := range c.Counts {
		if err := bounds.Name("workspace", workspace); err != nil {
			return err
		}
	}
	return checkUsageWindow(c.Window)
}

func checkUsageWindow(window int64) error {
	if window < 1 || window > maxUsageWindow {
		return bounds.Invalid("window", "%d is not between 1 and %d", window, int64(maxUsageWindow))
	}
	return nil
}

// claimUsage records a new holder and its fence. A claim that expects another fence is refused, but a
// repeat of the claim by which the process became the holder changes nothing.
func claimUsage(s *State, index uint64, c *ClaimUsage) (*State, Outcome) {
	if err := c.check(); err != nil {
		return nil, refuse(result.MalformedMessage, "%v", err)
	}
	if c.Previous < s.Usage.Fence && c.Host == s.Usage.Holder && c.Incarnation == s.Usage.Incarnation {
		return nil, Outcome{}
	}
	if c.Previous != s.Usage.Fence {
		return nil, refuse(result.TermConflict, "the usage reports have fence %d; the claim expects %d", s.Usage.Fence, c.Previous)
	}
	next := copyOf(s)
	if s.Usage.Fence == 0 {
		next.Usage.Decided = c.Window - 1
	}
	next.Usage.Holder, next.Usage.Incarnation, next.Usage.Fence = c.Host, c.Incarnation, index
	return next, Outcome{}
}

// decideUsage appends a window to the pending ones, and drops those that are accepted and the
// oldest ones above MaxUsagePending. A repeat of the last decision changes nothing.
func decideUsage(s *State, c *DecideUsage) (*State, Outcome) {
	if err := c.check(); err != nil {
		return nil, refuse(result.MalformedMessage, "%v", err)
	}
	u := s.Usage
	if c.Fence != u.Fence || u.Fence == 0 {
		return nil, refuse(result.TermConflict, "the usage reports have fence %d; the decision expects %d", u.Fence, c.Fence)
	}
	if n := len(u.Pending); n > 0 && u.Pending[n-1].Window == c.Window && maps.Equal(u.Pending[n-1].Counts, c.Counts) {
		return nil, Outcome{} // a repeat
	}
	if c.Window <= u.Decided {
		return nil, refuse(result.TermConflict, "window %d is not above %d, which is decided", c.Window, u.Decided)
	}
	u.Accepted = max(u.Accepted, min(c.Accepted, u.Decided))
	pending := slices.DeleteFunc(slices.Clone(u.Pending), func(w UsageWindow) bool { return w.Window <= u.Accepted })
	pending = append(pending, UsageWindow{Window: c.Window, Counts: maps.Clone(c.Counts)})
	u.Pending = pending[max(0, len(pending)-MaxUsagePending):]
	u.Decided = c.Window
	next := copyOf(s)
	next.Usage = u
	return next, Outcome{}
}
