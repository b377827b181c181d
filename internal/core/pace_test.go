package core

import (
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/linkuse"
	"github.com/galenabridge/galenabridge/internal/note"
)

// TestPaceIgnoresSaturatedLink has statements take a second at an endpoint. They narrow its limit,
// except while the host's own link is saturated.
func TestPaceIgnoresSaturatedLink(t *testing.T) {
	for name, meter := range map[string]*linkuse.Meter{
		"unknown": nil, "free": linkuse.NewMeter(1 << 40), "saturated": linkuse.NewMeter(1000),
	} {
		f := newFixture(t)
		f.server.opts.Traffic = meter
		e := f.server.endpoint(f.state.Endpoints["p"])
		start := e.allowedStatements(100)
		meter.Count(1000) // a second of the last link
		now := time.Now()
		for i := range 16 { // fewer than after which a second would be usual
			f.server.pace(e, note.Route{Database: "launch"}, Read, now.Add(time.Duration(i)*50*time.Millisecond), now, time.Second)
		}
		if narrowed := e.allowedStatements(100) < start; narrowed == (name == "saturated") {
			t.Errorf("%s link: %d statements allowed, %d at the start", name, e.allowedStatements(100), start)
		}
	}
}
