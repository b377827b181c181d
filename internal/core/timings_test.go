package core

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
)

// TestLateStatementLogFields checks that only a success slower than the route's target is
// logged, with the time breakdown that shows the cause of the delay.
func TestLateStatementLogFields(t *testing.T) {
	f := newFixture(t)
	var out bytes.Buffer
	f.server.opts.Log = log.NewWithOptions(&out, log.Options{Formatter: log.LogfmtFormatter})
	s := f.open("launch")
	route := f.state.Catalog.Routes["launch"]
	route.Target = 200
	f.state.Catalog.Routes["launch"] = route
	f.publish(time.Hour)

	s.timings = timings{rate: 120 * time.Millisecond, endpoint: 90 * time.Millisecond, attempts: 2, endpointID: "p"}
	s.reportReply(Statement{ID: "id", Kind: Write}, Reply{}, 199*time.Millisecond)
	if out.Len() > 0 {
		t.Errorf("a statement within its target was logged: %s", out.String())
	}
	s.reportReply(Statement{ID: "id", Kind: Write}, Reply{}, 210*time.Millisecond)
	want := "statement_late request=id kind=write database=launch workspace=crew target_ms=200 took_ms=210 rate_ms=120 endpoint_ms=90 endpoint=p attempts=2"
	if !strings.Contains(out.String(), want) {
		t.Errorf("logged %s, want the late statement with its time breakdown", out.String())
	}
}
