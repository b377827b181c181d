package session

import (
	"reflect"
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/result"
)

var start = time.Unix(10, 0)

// newTrackerWithFloor returns a tracker with two peers and a floor at the given position.
func newTrackerWithFloor(floor uint64) *PositionTracker {
	s := NewPositionTracker(DefaultConfig())
	s.Step(start, View{Settled: 5, LastRemovalRevision: 5, Term: 1, Peers: []Peer{{"h2", 2}, {"h3", 3}}})
	s.Step(start, Read{ID: 1000, Workspace: "w"})
	s.Step(start, PrimaryPosition{Round: 1, OK: true, Position: Position{1, floor}})
	return s
}

func expect(t *testing.T, got []Effect, want ...Effect) {
	t.Helper()
	if len(got) != len(want) || len(want) > 0 && !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

func table(workspace string, lsn uint64) Table {
	return Table{Acked: map[string]Position{workspace: {1, lsn}}}
}

// TestPendingReadsShareRound guards against a read that joins a round in progress, whose
// answers may predate the writes that the read must include.
func TestPendingReadsShareRound(t *testing.T) {
	s := newTrackerWithFloor(50)
	now := start.Add(s.cfg.MinRoundInterval)
	expect(t, s.Step(now, Read{1, "a"}), RequestTables{Round: 2, Hosts: []string{"h2", "h3"}})
	expect(t, s.Step(now, Read{2, "a"}))
	expect(t, s.Step(now, Read{3, "b"}))
	expect(t, s.Step(now, Reply{2, "h2", 2, table("a", 70)}))
	expect(t, s.Step(now, Reply{2, "h3", 3, table("b", 80)}), Resolve{1, Position{1, 70}})
	now = now.Add(s.cfg.MinRoundInterval)
	expect(t, s.Step(now, Tick{}), RequestTables{Round: 3, Hosts: []string{"h2", "h3"}})
	s.Step(now, Reply{3, "h2", 2, Table{}})
	expect(t, s.Step(now, Reply{3, "h3", 3, table("b", 80)}), Resolve{2, Position{1, 50}}, Resolve{3, Position{1, 80}})
}

func TestMissingReplyFallsBackToPrimary(t *testing.T) {
	s := newTrackerWithFloor(50)
	now := start.Add(s.cfg.MinRoundInterval)
	s.Step(now, Read{1, "a"})
	s.Step(now, Reply{2, "h2", 2, table("a", 70)})
	s.Step(now, Reply{2, "h3", 9, Table{}}) // from another process of the host
	now = now.Add(s.cfg.GatherTimeout)
	expect(t, s.Step(now, Tick{}), RequestPrimaryPosition{Round: 2})
	expect(t, s.Step(now, PrimaryPosition{2, true, Position{1, 90}}), Resolve{1, Position{1, 90}})
	// The next round requests the primary's position at once, until the host answers.
	now = now.Add(s.cfg.MinRoundInterval)
	expect(t, s.Step(now, Read{2, "a"}), RequestTables{Round: 3, Hosts: []string{"h2", "h3"}}, RequestPrimaryPosition{Round: 3})
}

func TestReadFailsWithoutAnyAnswer(t *testing.T) {
	s := newTrackerWithFloor(50)
	now := start.Add(s.cfg.MinRoundInterval)
	s.Step(now, Read{1, "a"})
	now = now.Add(s.cfg.GatherTimeout)
	s.Step(now, Tick{})
	expect(t, s.Step(now, PrimaryPosition{Round: 2}), Fail{1, result.NoPrimary})
}

// TestRemovedProcessRequiresSettledFloor guards against a floor that is set too early: until
// the removal is settled, the removed process may acknowledge further writes.
func TestRemovedProcessRequiresSettledFloor(t *testing.T) {
	s := newTrackerWithFloor(50)
	view := View{Settled: 6, LastRemovalRevision: 7, Term: 1, Peers: []Peer{{"h2", 2}}}
	now := start.Add(s.cfg.MinRoundInterval)
	s.Step(now, view)
	for round := uint64(2); round < 4; round++ {
		expect(t, s.Step(now, Read{round, "a"}), RequestPrimaryPosition{Round: round})
		s.Step(now, PrimaryPosition{round, true, Position{1, 60 + round}})
		now = now.Add(s.cfg.MinRoundInterval)
	}
	view.Settled = 7
	s.Step(now, view)
	expect(t, s.Step(now, Read{4, "a"}), RequestPrimaryPosition{Round: 4})
	s.Step(now, PrimaryPosition{4, true, Position{1, 99}})
	now = now.Add(s.cfg.MinRoundInterval)
	expect(t, s.Step(now, Read{5, "a"}), RequestTables{Round: 5, Hosts: []string{"h2"}})
	expect(t, s.Step(now, Reply{5, "h2", 2, Table{}}), Resolve{5, Position{1, 99}})
}

// TestPrunedPositionsRaiseBase guards against pruning that loses a position which a replica
// that joined later has not replayed.
func TestPrunedPositionsRaiseBase(t *testing.T) {
	s := newTrackerWithFloor(50)
	s.Step(start, Acked{"a", Position{1, 70}})
	s.Step(start, Acked{"b", Position{1, 90}})
	s.Step(start, Replayed{Position{1, 80}})
	want := Table{Base: Position{1, 70}, Acked: map[string]Position{"b": {1, 90}}}
	if got := s.Snapshot(); !reflect.DeepEqual(got, want) {
		t.Fatalf("table %+v, want %+v", got, want)
	}
}

func TestCancelledReadNotResolved(t *testing.T) {
	s := newTrackerWithFloor(50)
	now := start.Add(s.cfg.MinRoundInterval)
	s.Step(now, Read{1, "a"})
	s.Step(now, Cancel{1})
	s.Step(now, Reply{2, "h2", 2, Table{}})
	expect(t, s.Step(now, Reply{2, "h3", 3, Table{}}))
}

// BenchmarkRound measures a round of 100 reads among nine hosts.
func BenchmarkRound(b *testing.B) {
	s := NewPositionTracker(Config{GatherTimeout: time.Second, PrimaryTimeout: time.Second})
	view := View{Settled: 1, Term: 1}
	for i := range 8 {
		view.Peers = append(view.Peers, Peer{Host: string(rune('a' + i)), Incarnation: 1})
	}
	s.Step(start, view)
	s.Step(start, Read{ID: 0, Workspace: "w"})
	s.Step(start, PrimaryPosition{1, true, Position{1, 1}})
	reply := Table{Acked: map[string]Position{"w": {1, 2}, "v": {1, 3}}}
	b.ReportAllocs()
	for b.Loop() {
		for id := range uint64(100) {
			s.Step(start, Read{ID: id, Workspace: "w"})
		}
		s.lastRoundAt = time.Time{}
		round := s.rounds
		for _, p := range view.Peers {
			s.Step(start, Reply{round, p.Host, 1, reply})
		}
	}
}
