package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenabridge/galenabridge/internal/result"
)

var start = time.Unix(100, 0)

func groupView() View {
	return View{
		Service: "s", Term: 2, Timeline: 2, Primary: "p", Active: true,
		Members: []Member{{Endpoint: "p", Domain: "d1", Slots: 5}, {Endpoint: "r1", Domain: "d1", Slots: 5}, {Endpoint: "r2", Domain: "d2", Slots: 5}},
	}
}

func newTable(seed uint64) *Table {
	return NewTable(DefaultConfig("d1"), rand.New(rand.NewPCG(seed, 0)))
}

// newReadyTable returns a table whose replicas have replayed everything.
func newReadyTable() *Table {
	t := newTable(1)
	t.SetView(start, groupView())
	observeAll(t, start, 100, 100, 100)
	return t
}

// observeAll reports statuses of the primary and both replicas at the given positions.
func observeAll(t *Table, now time.Time, primary, r1, r2 uint64) {
	t.Observe(now, Status{Endpoint: "p", QueriedAt: now, Timeline: 2, LSN: primary})
	t.Observe(now, Status{Endpoint: "r1", QueriedAt: now, Timeline: 2, InRecovery: true, LSN: r1})
	t.Observe(now, Status{Endpoint: "r2", QueriedAt: now, Timeline: 2, InRecovery: true, LSN: r2})
}

func expectPick(t *testing.T, table *Table, now time.Time, need Need, want string) {
	t.Helper()
	got, err := table.Pick(now, need)
	if err != nil || got != want {
		t.Fatalf("picked %q, %v; want %q", got, err, want)
	}
}

func expectCode(t *testing.T, table *Table, now time.Time, need Need, want result.Code) {
	t.Helper()
	got, err := table.Pick(now, need)
	if result.CodeOf(err) != want {
		t.Fatalf("picked %q, %v; want code %d", got, err, want)
	}
}

func TestWriteRoutedToPrimaryOnly(t *testing.T) {
	table := newReadyTable()
	expectPick(t, table, start, Need{Exclude: []string{"p"}}, "p")
	v := groupView()
	v.Active, v.Reason = false, "sealed"
	table.SetView(start, v)
	expectCode(t, table, start, Need{}, result.NoPrimary)
	expectPick(t, table, start, Need{ReadOnly: true}, "r1")
}

func TestReadRequiresReplayedPosition(t *testing.T) {
	table := newReadyTable()
	observeAll(table, start, 200, 150, 180)
	read := func(lsn uint64) Need { return Need{ReadOnly: true, MinPosition: Position{Term: 2, LSN: lsn}} }
	expectPick(t, table, start, read(150), "r1")
	expectPick(t, table, start, read(151), "r2")
	expectPick(t, table, start, read(181), "p")
	expectCode(t, table, start, Need{ReadOnly: true, MinPosition: Position{Term: 3}}, result.NoEndpoint)
}

func TestReplicaOnOtherTimelineExcluded(t *testing.T) {
	table := newReadyTable()
	for _, id := range []string{"r1", "r2"} {
		table.Observe(start, Status{Endpoint: id, QueriedAt: start, Timeline: 1, InRecovery: true, LSN: 900})
	}
	expectPick(t, table, start, Need{ReadOnly: true}, "p")
	expectPick(t, table, start, Need{ReadOnly: true, MaxStaleness: time.Second}, "p")
}

func TestStalenessMeasuredFromPrimaryPositions(t *testing.T) {
	table := newTable(1)
	table.SetView(start, groupView())
	for i := range 11 {
		observeAll(table, start.Add(time.Duration(i)*time.Second), uint64(100+i), 105, 0)
	}
	now := start.Add(10 * time.Second)
	expectPick(t, table, now, Need{ReadOnly: true, MaxStaleness: 5 * time.Second}, "r1")
	expectPick(t, table, now, Need{ReadOnly: true, MaxStaleness: 5*time.Second - 1}, "p")
}

func TestMembersOutOfUseGetNoNewWork(t *testing.T) {
	table := newReadyTable()
	v := groupView()
	v.Members[1].OutOfUse = true
	table.SetView(start, v)
	expectPick(t, table, start, Need{ReadOnly: true}, "r2")
	v = groupView()
	v.Members[0].OutOfUse = true
	table.SetView(start, v)
	expectCode(t, table, start, Need{}, result.NoPrimary)
	for i := range v.Members {
		v.Members[i].OutOfUse = true
	}
	table.SetView(start, v)
	expectCode(t, table, start, Need{ReadOnly: true}, result.NoEndpoint)
	v = groupView()
	v.Leaving = true
	table.SetView(start, v)
	expectCode(t, table, start, Need{}, result.NoPrimary)
	expectCode(t, table, start, Need{ReadOnly: true}, result.NoEndpoint)
}

func TestReplicaWithoutRecentStatusExcluded(t *testing.T) {
	table := newReadyTable()
	later := start.Add(table.cfg.StatusTTL + 1)
	expectPick(t, table, later, Need{ReadOnly: true}, "p")
	observeAll(table, later, 100, 100, 100)
	table.Observe(later, Status{Endpoint: "r1", QueriedAt: later, Failed: true})
	expectPick(t, table, later, Need{ReadOnly: true}, "r2")
}

func TestEjectionBackoffAndMinimumMembers(t *testing.T) {
	table := newReadyTable()
	now := start
	fail := func(id string) {
		for range table.cfg.EjectAfter {
			table.Begin(id)
			table.End(now, Report{Endpoint: id, Failed: true}, true)
		}
	}
	fail("r1")
	expectPick(t, table, now, Need{ReadOnly: true}, "r2")
	fail("r2") // must not be ejected: two of three members would be out
	expectPick(t, table, now, Need{ReadOnly: true}, "r2")
	now = now.Add(table.cfg.EjectBase)
	observeAll(table, now, 100, 100, 100)
	expectPick(t, table, now, Need{ReadOnly: true, Exclude: []string{"r2"}}, "r1")
	fail("r1")
	now = now.Add(2*table.cfg.EjectBase - 1)
	observeAll(table, now, 100, 100, 100)
	expectPick(t, table, now, Need{ReadOnly: true, Exclude: []string{"r2"}}, "p")
}

func TestLocalReplicaPreferredUnlessLoaded(t *testing.T) {
	table := newReadyTable()
	expectPick(t, table, start, Need{ReadOnly: true}, "r1")
	for range 5 {
		table.Begin("r1")
	}
	expectPick(t, table, start, Need{ReadOnly: true}, "r2")
}

func TestReturnedReplicaSlowStart(t *testing.T) {
	table := newTable(7)
	v := groupView()
	v.Members[1].Domain = "d2" // both replicas are remote
	out := v
	out.Members = append([]Member(nil), v.Members...)
	out.Members[1].OutOfUse = true
	table.SetView(start, out)
	observeAll(table, start, 1, 1, 1)
	table.SetView(start, v)
	share := func(now time.Time) float64 {
		observeAll(table, now, 1, 1, 1)
		n := 0
		for range 4000 {
			if id, _ := table.Pick(now, Need{ReadOnly: true}); id == "r1" {
				n++
			}
		}
		return float64(n) / 4000
	}
	if early := share(start); early > 0.15 {
		t.Errorf("share %.2f right after the return, want at most 0.15", early)
	}
	if late := share(start.Add(table.cfg.SlowStart)); late < 0.45 || late > 0.55 {
		t.Errorf("share %.2f after the slow start, want 0.45 to 0.55", late)
	}
}

// TestPickedEndpointQualifies checks each choice against the true state of the group, with
// a primary that writes, replicas that lag and statuses that arrive late.
func TestPickedEndpointQualifies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newGroupModel(rapid.Uint64().Draw(t, "seed"))
		for range 300 {
			w.step()
			if w.failure != "" {
				t.Fatal(w.failure)
			}
		}
	})
}

// groupModel is the true state of a group and a table that observes it only through statuses.
type groupModel struct {
	rnd         *rand.Rand
	table       *Table
	now         time.Time
	view        View
	written     []sample // the primary's position by time
	lsn         map[string]uint64
	undelivered []Status
	failure     string
}

func newGroupModel(seed uint64) *groupModel {
	w := &groupModel{rnd: rand.New(rand.NewPCG(seed, 2)), now: start, view: groupView(), lsn: map[string]uint64{}}
	w.table = NewTable(DefaultConfig("d1"), w.rnd)
	w.table.SetView(w.now, w.view)
	w.written = []sample{{at: w.now}}
	return w
}

func (w *groupModel) step() {
	// Time always advances: a write in the instant of a query, after it, is exactly as old as the
	// bound when the query's result is, and a read need hold only what is older.
	w.now = w.now.Add(time.Duration(w.rnd.IntN(100))*time.Millisecond + time.Nanosecond)
	switch w.rnd.IntN(8) {
	case 0, 1:
		w.lsn["p"] += uint64(w.rnd.IntN(50))
		w.written = append(w.written, sample{at: w.now, lsn: w.lsn["p"]})
	case 2, 3:
		id := []string{"r1", "r2"}[w.rnd.IntN(2)]
		w.lsn[id] += uint64(w.rnd.Int64N(int64(w.lsn["p"]-w.lsn[id]) + 1))
	case 4:
		i := w.rnd.IntN(3)
		w.view.Members = append([]Member(nil), w.view.Members...)
		w.view.Members[i].OutOfUse = !w.view.Members[i].OutOfUse
		w.table.SetView(w.now, w.view)
	case 5:
		m := w.view.Members[w.rnd.IntN(3)].Endpoint
		w.table.Begin(m)
		w.table.End(w.now, Report{Endpoint: m, Failed: w.rnd.IntN(2) == 0, Latency: time.Millisecond}, true)
	default:
		w.report()
	}
	w.checkPick()
}

// report reads a status and delivers it or an older undelivered one.
func (w *groupModel) report() {
	m := w.view.Members[w.rnd.IntN(3)].Endpoint
	s := Status{Endpoint: m, QueriedAt: w.now, Timeline: 2, InRecovery: m != "p", LSN: w.lsn[m], Failed: w.rnd.IntN(10) == 0}
	w.undelivered = append(w.undelivered, s)
	i := w.rnd.IntN(len(w.undelivered))
	w.table.Observe(w.now, w.undelivered[i])
	w.undelivered = append(w.undelivered[:i], w.undelivered[i+1:]...)
}

func (w *groupModel) checkPick() {
	need := Need{ReadOnly: w.rnd.IntN(4) > 0, MinPosition: Position{Term: 2, LSN: uint64(w.rnd.Int64N(int64(w.lsn["p"]) + 1))}}
	if w.rnd.IntN(2) == 0 {
		need.MaxStaleness = time.Duration(1+w.rnd.IntN(2000)) * time.Millisecond
	}
	id, err := w.table.Pick(w.now, need)
	if err != nil {
		if !w.view.Members[0].OutOfUse {
			w.failure = fmt.Sprintf("%+v failed although the primary is in use: %v", need, err)
		}
		return
	}
	e := w.table.endpoints[id]
	switch {
	case e.member.OutOfUse:
		w.failure = fmt.Sprintf("%s is out of use", id)
	case !need.ReadOnly && id != "p":
		w.failure = fmt.Sprintf("a write was routed to %s", id)
	case id == "p":
	case e.isEjected(w.now):
		w.failure = fmt.Sprintf("%s is ejected", id)
	case need.MaxStaleness == 0 && w.lsn[id] < need.MinPosition.LSN:
		w.failure = fmt.Sprintf("%s is at %d, %d is needed", id, w.lsn[id], need.MinPosition.LSN)
	case need.MaxStaleness > 0 && w.lsn[id] < w.writtenBy(w.now.Add(-need.MaxStaleness)):
		w.failure = fmt.Sprintf("%s does not hold all writes older than %s", id, need.MaxStaleness)
	}
}

// writtenBy returns the primary's position at a past time.
func (w *groupModel) writtenBy(at time.Time) uint64 {
	var lsn uint64
	for _, s := range w.written {
		if !s.at.After(at) {
			lsn = s.lsn
		}
	}
	return lsn
}

func BenchmarkPickRead(b *testing.B) {
	table := newReadyTable()
	need := Need{ReadOnly: true, MinPosition: Position{Term: 2, LSN: 50}}
	b.ReportAllocs()
	for b.Loop() {
		id, err := table.Pick(start, need)
		if err != nil {
			b.Fatal(err)
		}
		table.Begin(id)
		table.End(start, Report{Endpoint: id, Latency: time.Millisecond}, true)
	}
}

func TestPositionsOfOtherTimelineIgnoredForFreshness(t *testing.T) {
	table := newTable(1)
	table.SetView(start, groupView())
	table.Observe(start, Status{Endpoint: "p", QueriedAt: start, Timeline: 1, LSN: 50})
	table.Observe(start, Status{Endpoint: "r1", QueriedAt: start, Timeline: 2, InRecovery: true, LSN: 60})
	expectPick(t, table, start, Need{ReadOnly: true, MaxStaleness: time.Minute}, "p")
}

// TestStatusOfFormerLife guards against a read on a replica whose position was reported before the
// service was withdrawn and returned with new endpoints under the same names.
func TestStatusOfFormerLife(t *testing.T) {
	view := View{
		Service: "s", Term: 1, Timeline: 1, Primary: "p", Active: true,
		Members: []Member{{Endpoint: "p", Domain: "d", Slots: 5}, {Endpoint: "r", Domain: "d", Slots: 5}},
	}
	table := NewTable(DefaultConfig("d"), rand.New(rand.NewPCG(1, 1)))
	table.SetView(start, view)
	table.Observe(start, Status{Endpoint: "r", QueriedAt: start, InRecovery: true, Timeline: 1, LSN: 900})
	view.Life = 6
	table.SetView(start, view)
	id, err := table.Pick(start, Need{ReadOnly: true, MinPosition: Position{Life: 6, Term: 1, LSN: 50}})
	if err != nil || id != "p" {
		t.Errorf("picked %q, error %v; want the primary", id, err)
	}
	if _, err := table.Pick(start, Need{ReadOnly: true, MinPosition: Position{Life: 5, Term: 7, LSN: 50}}); err != nil {
		t.Errorf("a position of a former life is refused: %v", err)
	}
}
