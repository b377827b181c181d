package explain

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// entryLog and controlLog are the logs of two hosts around a refusal during a
// change of the primary. The lines of entryLog have the prefix of a log collector.
const (
	entryLog = `  4.2 front-1 time=2026-12-04T12:00:04.200Z level=info msg=lease_gained host=front-1 role=entry revision=40
  5.3 front-1 time=2026-12-04T12:00:05.300Z level=warn msg=endpoint_suspected host=front-1 role=entry service=logs endpoint=p cause="connect: i/o timeout"
  5.4 front-1 time=2026-12-04T12:00:05.400Z level=warn msg=statement_refused host=front-1 role=entry request=other code=2003 detail=x took_ms=1
  7.0 front-1 time=2026-12-04T12:00:07.000Z level=warn msg=statement_refused host=front-1 role=entry request=id-1 kind=write code=2002 result=no_primary detail="service \"logs\" is sealed" took_ms=1000
not a line of the daemon
`
	controlLog = `time=2026-12-04T12:00:06.100Z level=info msg=group_status host=core-1 role=control service=logs reason="primary p is lost to a majority of failure domains"
time=2026-12-04T12:00:05.900Z level=info msg=control_leader host=core-2 role=control leader=core-1 leading=false
time=2026-12-04T11:59:00.000Z level=info msg=group_status host=core-1 role=control service=logs reason=
time=2026-12-04T12:00:05.000Z level=info msg=lease_lost host=front-2 role=entry revision=39
`
)

func read(t *testing.T, logs ...string) []Line {
	t.Helper()
	var all []Line
	for _, text := range logs {
		lines, _, err := Read(strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, lines...)
	}
	return all
}

func TestReportTextInOrder(t *testing.T) {
	r := Explain(read(t, entryLog, controlLog), "id-1")
	var text bytes.Buffer
	if err := r.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "account", text.Bytes())
}

func TestReportNamesMissingLines(t *testing.T) {
	r := Explain(read(t, entryLog), "id-1")
	if len(r.Missing) != 1 || !strings.Contains(r.Missing[0], "group_status") {
		t.Errorf("got missing lines %q, want one that names group_status", r.Missing)
	}
	if r := Explain(read(t, entryLog), "unknown"); len(r.Entries) != 0 || len(r.Missing) != 1 {
		t.Errorf("got report %+v, want no entries and one missing line", r)
	}
}

func TestReadCountsLinesWithoutEvent(t *testing.T) {
	lines, skipped, err := Read(strings.NewReader(entryLog))
	if err != nil || len(lines) != 4 || skipped != 1 {
		t.Errorf("got %d lines, %d skipped, error %v; want 4 lines, 1 skipped", len(lines), skipped, err)
	}
}
