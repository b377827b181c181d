package history

import (
	"sort"
	"time"
)

// spansAfter returns the spans that start at or after t, sorted by their end.
func spansAfter(spans []Span, t time.Duration) []Span {
	var out []Span
	for _, s := range spans {
		if s.Invoke >= t {
			out = append(out, s)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Return < out[j].Return })
	return out
}
