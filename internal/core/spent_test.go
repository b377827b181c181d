package core

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
)

// TestALateStatementTellsWhereItSpentItsTime reports successes before and after
// the route's target.
func TestALateStatementTellsWhereItSpentItsTime(t *testing.T) {
	r := newRig(t)
	var out bytes.Buffer
	r.server.opts.Log = log.NewWithOptions(&out, log.Options{Formatter: log.LogfmtFormatter})
	s := r.open("launch")
	route := r.state.Catalog.Routes["launch"]
	route.Target = 200
	r.state.Catalog.Routes["launch"] = route
	r.publish(time.Hour)

	s.spent = spent{rate: 120 * time.Millisecond, endpoint: 90 * time.Millisecond, attempts: 2, at: "p"}
	s.report(Statement{ID: "id", Kind: Write}, Reply{}, 199*time.Millisecond)
	if out.Len() > 0 {
		t.Errorf("a statement in time is logged: %s", out.String())
	}
	s.report(Statement{ID: "id", Kind: Write}, Reply{}, 210*time.Millisecond)
	want := "statement_late request=id kind=write database=launch workspace=crew target_ms=200 took_ms=210 rate_ms=120 endpoint_ms=90 endpoint=p attempts=2"
	if !strings.Contains(out.String(), want) {
		t.Errorf("logged %s", out.String())
	}
}
