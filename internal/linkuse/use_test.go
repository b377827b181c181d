package linkuse

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
)

// TestUseSaturation checks when a link of 250 KB/s counts as saturated: at seven tenths of its
// rate, and while a burst that was written at once is still being sent.
func TestUseSaturation(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		burst, perInterval int // bytes
		after              time.Duration
		want               bool
	}{
		"idle": {0, 0, time.Second, false}, "half": {0, 6250, time.Second, false}, "above the threshold": {0, 8800, time.Second, true},
		"during a burst": {125_000, 0, 400 * time.Millisecond, true}, "after a burst": {125_000, 0, 600 * time.Millisecond, false},
		"after more than can wait": {1 << 40, 0, 1100 * time.Millisecond, false},
	} {
		u := NewUse(250_000, start)
		u.Count(start, c.burst)
		for at := time.Duration(0); at <= c.after; at += interval {
			u.Count(start.Add(at), c.perInterval)
		}
		if now := start.Add(c.after); u.SaturatedSince(now, now) != c.want || u.SaturatedSince(start, now) != (c.want || c.burst > 0) {
			t.Errorf("%s: saturated %t, want %t", name, !c.want, c.want)
		}
	}
}

// TestMeter counts what passes its readers and writers and logs a change once. A host whose link
// is unknown counts and logs nothing.
func TestMeter(t *testing.T) {
	for rate, want := range map[int64]uint64{0: 0, 1000: 1000} {
		m, since := NewMeter(rate), time.Now()
		if _, err := io.Copy(m.Writer(io.Discard), m.Reader(strings.NewReader(strings.Repeat("x", 500)))); err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		m.Report(log.New(&out))
		m.Report(log.New(&out))
		if m.Total() != want || m.SaturatedSince(since) != (want > 0) || strings.Count(out.String(), "link_saturated") != int(want/1000) {
			t.Errorf("rate %d: %d bytes, log %q; want %d bytes and a line if there are any", rate, m.Total(), out.String(), want)
		}
	}
}
