package core

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/eventlog"
	"github.com/galenabridge/galenabridge/internal/explain"
	"github.com/galenabridge/galenabridge/internal/result"
)

// TestRefusalExplainedFromLogs checks that the cause of a refused write can be derived from
// the logs of the host and the control leader. The group is sealed, so the write fails.
func TestRefusalExplainedFromLogs(t *testing.T) {
	f := newFixture(t)
	var entry, control bytes.Buffer
	options := log.Options{Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: eventlog.TimeFormat}
	f.server.opts.Log = log.NewWithOptions(&entry, options).With("host", "h")
	leader := log.NewWithOptions(&control, options).With("host", "c")

	s := f.open("brief")
	sealed := f.state.Groups["logs"]
	sealed.Phase, sealed.Reason = agreed.PhaseSealed, "primary p is lost"
	f.state.Groups["logs"] = sealed
	leader.Info("group_status", "service", "logs", "reason", sealed.Reason)
	f.publish(time.Hour)
	f.expect(s, Statement{Kind: Write, Text: "x"}, result.NoPrimary, Idle)

	lines, _, err := explain.Read(strings.NewReader(entry.String() + control.String()))
	if err != nil {
		t.Fatal(err)
	}
	a := explain.Explain(lines, "id")
	if !strings.Contains(a.Cause, "no_primary") || !strings.Contains(a.Cause, sealed.Reason) || !strings.Contains(a.Cause, "since group_status") {
		t.Errorf("cause %q of %+v, want no_primary with the reason of the sealed group", a.Cause, a.Entries)
	}
	if len(a.Missing) != 0 {
		t.Errorf("missing %q, want nothing missing", a.Missing)
	}
}
