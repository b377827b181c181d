package core

import (
	"slices"
	"testing"

	"github.com/galenabridge/galenabridge/internal/result"
)

// recordingMeter records the calls of a Meter.
type recordingMeter struct{ calls []MeteredKind }

func (m *recordingMeter) Begin(workspace string, kind MeteredKind) {
	if workspace == "crew" {
		m.calls = append(m.calls, kind)
	}
}

// TestMeterIsToldOfEachAttempt guards against statements that are counted twice, not at all or with
// a wrong kind: single statements, each attempt, and those of transactions are told once each, and
// rollbacks, session values and what is refused without an endpoint are not.
func TestMeterIsToldOfEachAttempt(t *testing.T) {
	f := newFixture(t)
	m := &recordingMeter{}
	f.server.opts.Meter = m
	s := f.open("launch")
	f.endpoints.plan(lostConnection(true))
	f.expect(s, Statement{Kind: Read, Text: "q"}, 0, Idle) // two attempts
	f.expect(s, Statement{Kind: SetValue, Name: "a", Text: "b"}, 0, Idle)
	f.expect(s, Statement{Kind: Prepare, Name: "p", Text: "q"}, 0, Idle)
	f.expect(s, Statement{Kind: Execute, Name: "p"}, 0, Idle)
	f.expect(s, Statement{Kind: Execute, Name: "unknown"}, result.UnknownStatement, Idle)
	f.expect(s, Statement{Kind: Begin}, 0, InTransaction)
	f.expect(s, Statement{Kind: Write, Text: "q"}, 0, InTransaction)
	f.expect(s, Statement{Kind: Commit}, 0, Idle)
	f.expect(s, Statement{Kind: BeginReadOnly}, 0, InTransaction)
	f.expect(s, Statement{Kind: Rollback}, 0, Idle)
	f.expect(s, Statement{Kind: Write, Text: "q"}, 0, Idle)
	want := []MeteredKind{
		{Kind: Read}, {Kind: Read}, {Kind: Execute}, {Kind: Begin}, {Kind: Write, InTransaction: true},
		{Kind: Commit, InTransaction: true}, {Kind: BeginReadOnly}, {Kind: Write},
	}
	if !slices.Equal(m.calls, want) {
		t.Fatalf("the meter was told of %v, want %v", m.calls, want)
	}
	r := RemoteRequest{Session: 1, Database: "launch", Key: "k", Statement: Statement{ID: "id", Kind: Write, Text: "q"}, Remaining: 1e9}
	if a := f.server.RunRemote(Origin{Host: "other", Incarnation: 1}, r); a.Err != nil || a.Declined {
		t.Fatalf("forwarded statement: %+v", a)
	}
	if len(m.calls) != len(want)+1 {
		t.Fatal("a statement of another host's session was not told once")
	}
}
