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
	s.Step(start, PrimaryPosition{Round: 1, OK: true, Position: Position{Term: 1, LSN: floor}})
	return s
}

func expect(t *testing.T, got []Effect, want ...Effect) {
	t.Helper()
	if len(got) != len(want) || len(want) > 0 && !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

func table(workspace string, lsn uint64) Table {
	return Table{Acked: map[string]Position{workspace: {Term: 1, LSN: lsn}}}
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
	expect(t, s.Step(now, Reply{2, "h3", 3, table("b", 80)}), Resolve{1, Position{Term: 1, LSN: 70}})
	now = now.Add(s.cfg.MinRoundInterval)
	expect(t, s.Step(now, Tick{}), RequestTables{Round: 3, Hosts: []string{"h2", "h3"}})
	s.Step(now, Reply{3, "h2", 2, Table{}})
	expect(t, s.Step(now, Reply{3, "h3", 3, table("b", 80)}), Resolve{2, Position{Term: 1, LSN: 50}}, Resolve{3, Position{Term: 1, LSN: 80}})
}

func TestMissingReplyFallsBackToPrimary(t *testing.T) {
	s := newTrackerWithFloor(50)
	now := start.Add(s.cfg.MinRoundInterval)
	s.Step(now, Read{1, "a"})
	s.Step(now, Reply{2, "h2", 2, table("a", 70)})
	s.Step(now, Reply{2, "h3", 9, Table{}}) // from another process of the host
	now = now.Add(s.cfg.GatherTimeout)
	expect(t, s.Step(now, Tick{}), RequestPrimaryPosition{Round: 2})
	expect(t, s.Step(now, PrimaryPosition{2, true, Position{Term: 1, LSN: 90}}), Resolve{1, Position{Term: 1, LSN: 90}})
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
		s.Step(now, PrimaryPosition{round, true, Position{Term: 1, LSN: 60 + round}})
		now = now.Add(s.cfg.MinRoundInterval)
	}
	view.Settled = 7
	s.Step(now, view)
	expect(t, s.Step(now, Read{4, "a"}), RequestPrimaryPosition{Round: 4})
	s.Step(now, PrimaryPosition{4, true, Position{Term: 1, LSN: 99}})
	now = now.Add(s.cfg.MinRoundInterval)
	expect(t, s.Step(now, Read{5, "a"}), RequestTables{Round: 5, Hosts: []string{"h2"}})
	expect(t, s.Step(now, Reply{5, "h2", 2, Table{}}), Resolve{5, Position{Term: 1, LSN: 99}})
}

// TestPrunedPositionsRaiseBase guards against pruning that loses a position which a replica
// that joined later has not replayed.
func TestPrunedPositionsRaiseBase(t *testing.T) {
	s := newTrackerWithFloor(50)
	s.Step(start, Acked{"a", Position{Term: 1, LSN: 70}})
	s.Step(start, Acked{"b", Position{Term: 1, LSN: 90}})
	s.Step(start, Replayed{Position{Term: 1, LSN: 80}})
	want := Table{Base: Position{Term: 1, LSN: 70}, Acked: map[string]Position{"b": {Term: 1, LSN: 90}}}
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
	s.Step(start, PrimaryPosition{1, true, Position{Term: 1, LSN: 1}})
	reply := Table{Acked: map[string]Position{"w": {Term: 1, LSN: 2}, "v": {Term: 1, LSN: 3}}}
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

// TestFormerLifeOfService guards against positions of a service before it was withdrawn that are
// required, or taken as a floor, after it has returned.
func TestFormerLifeOfService(t *testing.T) {
	peers := []Peer{{"h2", 2}}
	s := NewPositionTracker(DefaultConfig())
	s.Step(start, View{Settled: 5, LastRemovalRevision: 5, Term: 7, Peers: peers})
	s.Step(start, Read{ID: 1, Workspace: "a"})
	s.Step(start, PrimaryPosition{1, true, Position{Term: 7, LSN: 900}})
	s.Step(start, Acked{"a", Position{Term: 7, LSN: 950}})
	returned := View{Settled: 8, LastRemovalRevision: 5, Life: 6, Term: 1, LifeRevision: 9, Peers: peers}
	s.Step(start, returned)
	now := start.Add(s.cfg.MinRoundInterval)
	// Another host may still acknowledge writes in the former life: no floor holds until it is settled.
	for round := uint64(2); round < 4; round++ {
		expect(t, s.Step(now, Read{round, "a"}), RequestPrimaryPosition{Round: round})
		p := Position{Life: 6, Term: 1, LSN: 10 * round}
		expect(t, s.Step(now, PrimaryPosition{round, true, p}), Resolve{round, p})
		now = now.Add(s.cfg.MinRoundInterval)
	}
	returned.Settled = 9
	s.Step(now, returned)
	floor := Position{Life: 6, Term: 1, LSN: 40}
	expect(t, s.Step(now, Read{4, "a"}), RequestPrimaryPosition{Round: 4})
	expect(t, s.Step(now, PrimaryPosition{4, true, floor}), Resolve{4, floor})
	now = now.Add(s.cfg.MinRoundInterval)
	s.Step(now, Read{5, "a"})
	expect(t, s.Step(now, Reply{5, "h2", 2, Table{Acked: map[string]Position{"a": {Term: 7, LSN: 950, Life: 5}}}}), Resolve{5, floor})
	// A host of an earlier build does not tell the life.
	now = now.Add(s.cfg.MinRoundInterval)
	s.Step(now, Read{6, "a"})
	expect(t, s.Step(now, Reply{6, "h2", 2, table("a", 70)}), Resolve{6, Position{Life: 6, Term: 1, LSN: 70}})
}
