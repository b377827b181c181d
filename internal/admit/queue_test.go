package admit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

var epoch = time.Unix(0, 0)

func req(id uint64, workspace string, class note.Class) Request {
	return Request{ID: id, Workspace: workspace, Class: class}
}

func starts(effects []Effect) []uint64 {
	var ids []uint64
	for _, e := range effects {
		if s, ok := e.(Start); ok {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// checker tracks the effects of a queue and checks its invariants.
type checker struct {
	t        *rapid.T
	q        *Queue
	slots    int
	waiting  map[uint64]Request
	running  map[uint64]Request
	maxSlots int
}

func (c *checker) apply(now time.Time, effects []Effect) {
	for _, e := range effects {
		switch ef := e.(type) {
		case Start:
			r, ok := c.waiting[ef.ID]
			if !ok {
				c.t.Fatalf("request %d started, but was not waiting", ef.ID)
			}
			if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
				c.t.Fatalf("request %d started after its deadline", ef.ID)
			}
			delete(c.waiting, ef.ID)
			c.running[ef.ID] = r
			c.checkSlots(r.Class)
		case Refuse:
			r, ok := c.waiting[ef.ID]
			if !ok {
				c.t.Fatalf("request %d refused, but was not waiting", ef.ID)
			}
			if ef.Code == result.DeadlineInQueue && now.Before(r.Deadline) {
				c.t.Fatalf("request %d refused before its deadline", ef.ID)
			}
			delete(c.waiting, ef.ID)
		}
	}
	c.check()
}

// counts returns the numbers of running bulk and other requests.
func (c *checker) counts() (bulk, others int) {
	for _, r := range c.running {
		if r.Class == note.ClassBulk {
			bulk++
		} else {
			others++
		}
	}
	return bulk, others
}

// checkSlots checks the number of running requests after the start of a request of
// the class. With one slot, one bulk request and one other may run.
func (c *checker) checkSlots(class note.Class) {
	bulk, others := c.counts()
	switch {
	case c.slots > 1 && bulk+others > c.slots:
		c.t.Fatalf("%d requests run in %d slots", bulk+others, c.slots)
	case c.slots == 1 && class == note.ClassBulk && bulk > 1:
		c.t.Fatalf("%d bulk requests run in one slot", bulk)
	case c.slots == 1 && class != note.ClassBulk && others > 1:
		c.t.Fatalf("%d requests run in one slot", others)
	}
}

// check checks the counts of the queue, the cap for bulk, and that no slot is free
// while requests of the other classes wait.
func (c *checker) check() {
	if c.q.Waiting() != len(c.waiting) || c.q.Running() != len(c.running) {
		c.t.Fatalf("queue reports %d waiting and %d running, want %d and %d", c.q.Waiting(), c.q.Running(), len(c.waiting), len(c.running))
	}
	bulk, running := c.counts()
	if c.slots > 1 {
		running += bulk
	}
	others := 0
	for _, r := range c.waiting {
		if r.Class != note.ClassBulk {
			others++
		}
	}
	if c.maxSlots > 1 && bulk >= c.maxSlots {
		c.t.Fatalf("bulk holds %d slots of %d", bulk, c.maxSlots)
	}
	if others > 0 && running < c.slots {
		c.t.Fatalf("%d requests wait although slots are free", others)
	}
}

func TestQueueInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig(rapid.IntRange(1, 6).Draw(t, "slots"))
		cfg.QueueLimit = rapid.IntRange(1, 8).Draw(t, "limit")
		c := &checker{t: t, q: New(cfg), slots: cfg.Slots, maxSlots: cfg.Slots, waiting: map[uint64]Request{}, running: map[uint64]Request{}}
		now, next := epoch, uint64(0)
		anyOf := func(m map[uint64]Request) uint64 {
			ids := make([]uint64, 0, len(m))
			for id := range m {
				ids = append(ids, id)
			}
			slices.Sort(ids)
			return rapid.SampledFrom(ids).Draw(t, "id")
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				next++
				r := req(next, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"), rapid.SampledFrom(precedence).Draw(t, "class"))
				r.Weight = rapid.Float64Range(0.1, 10).Draw(t, "weight")
				if rapid.Bool().Draw(t, "bounded") {
					r.Deadline = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "deadline")) * time.Millisecond)
				}
				c.waiting[r.ID] = r
				c.apply(now, c.q.Arrive(now, r))
			},
			"done": func(t *rapid.T) {
				if len(c.running) == 0 {
					t.Skip("nothing runs")
				}
				id := anyOf(c.running)
				delete(c.running, id)
				c.apply(now, c.q.Done(now, id))
			},
			"cancel": func(t *rapid.T) {
				if len(c.waiting) == 0 {
					t.Skip("nothing waits")
				}
				id := anyOf(c.waiting)
				r := c.waiting[id]
				delete(c.waiting, id)
				ok, effects := c.q.Cancel(now, id)
				if !ok {
					c.waiting[id] = r // its deadline has just passed
				}
				c.apply(now, effects)
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond)
				c.apply(now, c.q.Tick(now))
			},
			"slots": func(t *rapid.T) {
				c.slots = rapid.IntRange(1, 6).Draw(t, "slots")
				c.maxSlots = max(c.maxSlots, c.slots)
				c.apply(now, c.q.SetSlots(now, c.slots))
			},
		})
	})
}

func TestWaitingRequestRefusedAtDeadline(t *testing.T) {
	q := New(DefaultConfig(1))
	q.Arrive(epoch, req(1, "a", note.ClassInteractive))
	late := req(2, "a", note.ClassInteractive)
	late.Deadline = epoch.Add(time.Second)
	q.Arrive(epoch, late)
	if due, ok := q.NextDeadline(); !ok || !due.Equal(late.Deadline) {
		t.Fatalf("next deadline %v (found: %v), want that of the waiting request", due, ok)
	}
	got := q.Done(late.Deadline, 1)
	want := Refuse{ID: 2, Code: result.DeadlineInQueue}
	if len(got) != 1 || got[0] != want {
		t.Fatalf("got %v, want %v", got, want)
	}
}

func TestQueueLimitAppliesPerWorkspace(t *testing.T) {
	cfg := DefaultConfig(1)
	cfg.QueueLimit = 2
	q := New(cfg)
	var last []Effect
	for id := range uint64(4) {
		last = q.Arrive(epoch, req(id, "a", note.ClassInteractive))
	}
	if want := (Refuse{ID: 3, Code: result.QueueFull}); len(last) != 1 || last[0] != want {
		t.Fatalf("got %v, want %v", last, want)
	}
	if got := q.Arrive(epoch, req(9, "b", note.ClassInteractive)); len(got) != 0 {
		t.Fatalf("effects %v for a request of another workspace, want none", got)
	}
}

func TestClassesServedByPrecedence(t *testing.T) {
	q := New(DefaultConfig(2))
	q.Arrive(epoch, req(9, "a", note.ClassInteractive)) // keeps running throughout
	q.Arrive(epoch, req(1, "a", note.ClassInteractive))
	q.Arrive(epoch, req(2, "b", note.ClassBulk))
	q.Arrive(epoch, req(3, "c", note.ClassCorrection))
	q.Arrive(epoch, req(4, "d", note.ClassInteractive))
	var order []uint64
	for id := uint64(1); id != 0; {
		next := starts(q.Done(epoch, id))
		id = 0
		if len(next) > 0 {
			id = next[0]
			order = append(order, id)
		}
	}
	if !slices.Equal(order, []uint64{4, 3, 2}) {
		t.Fatalf("order %v, want interactive, correction, bulk: [4 3 2]", order)
	}
}

func TestSingleSlotBulkDoesNotBlockInteractive(t *testing.T) {
	q := New(DefaultConfig(1))
	q.Arrive(epoch, req(1, "audit", note.ClassBulk))
	if got := starts(q.Arrive(epoch, req(2, "audit", note.ClassBulk))); len(got) != 0 {
		t.Fatalf("a second bulk request started: %v", got)
	}
	if got := starts(q.Arrive(epoch, req(3, "crew", note.ClassInteractive))); !slices.Equal(got, []uint64{3}) {
		t.Fatalf("started %v beside a bulk request, want [3]", got)
	}
	if got := starts(q.Arrive(epoch, req(4, "crew", note.ClassInteractive))); len(got) != 0 {
		t.Fatalf("a second interactive request started: %v", got)
	}
	if got := starts(q.Done(epoch, 1)); !slices.Equal(got, []uint64{2}) {
		t.Fatalf("started %v after the bulk request, want [2]", got)
	}
}

func TestFIFOServesInArrivalOrder(t *testing.T) {
	cfg := DefaultConfig(1)
	cfg.Policy = PolicyFIFO
	q := New(cfg)
	for id := range uint64(3) {
		q.Arrive(epoch, req(id, "a", precedence[2-id]))
	}
	if got := starts(q.Done(epoch, 0)); !slices.Equal(got, []uint64{1}) {
		t.Fatalf("started %v, want [1]", got)
	}
}

// runSaturated keeps 20 requests of each source in the queue and returns the slot
// time that each source got.
func runSaturated(cfg Config, total time.Duration, sources []source) []time.Duration {
	q := New(cfg)
	used := make([]time.Duration, len(sources))
	owner, began := map[uint64]int{}, map[uint64]time.Time{}
	now, next := epoch, uint64(0)
	var running []uint64
	take := func(effects []Effect) {
		for _, id := range starts(effects) {
			running = append(running, id)
			began[id] = now
		}
	}
	arrive := func(i int) {
		next++
		owner[next] = i
		r := req(next, sources[i].workspace, sources[i].class)
		r.Weight = sources[i].weight
		take(q.Arrive(now, r))
	}
	for i := range sources {
		for range 20 {
			arrive(i)
		}
	}
	for now.Sub(epoch) < total {
		end := func(id uint64) time.Time { return began[id].Add(sources[owner[id]].service) }
		first := slices.MinFunc(running, func(a, b uint64) int { return end(a).Compare(end(b)) })
		running = slices.DeleteFunc(running, func(id uint64) bool { return id == first })
		now = end(first)
		i := owner[first]
		used[i] += sources[i].service
		take(q.Done(now, first))
		arrive(i)
	}
	return used
}

type source struct {
	workspace string
	class     note.Class
	weight    float64
	service   time.Duration
}

func TestSlotTimeFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sources []source
		weights := 0.0
		for i := range rapid.IntRange(2, 5).Draw(t, "workspaces") {
			s := source{
				workspace: fmt.Sprint(i), class: note.ClassInteractive,
				weight:  float64(rapid.IntRange(1, 4).Draw(t, "weight")),
				service: time.Duration(rapid.IntRange(1, 40).Draw(t, "service")) * time.Millisecond,
			}
			sources = append(sources, s)
			weights += s.weight
		}
		total := 20 * time.Second
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		used := runSaturated(DefaultConfig(slots), total, sources)
		for i, s := range sources {
			fair := total.Seconds() * float64(slots) * s.weight / weights
			if got := used[i].Seconds() / fair; got < 0.9 || got > 1.1 {
				t.Fatalf("workspace %d of %+v got %.2f of its fair share, want 0.9 to 1.1", i, sources, got)
			}
		}
	})
}

func TestLowerClassesGetFloorUnderSaturation(t *testing.T) {
	used := runSaturated(DefaultConfig(5), time.Minute, []source{
		{"crew", note.ClassInteractive, 1, 5 * time.Millisecond},
		{"sync", note.ClassCorrection, 1, 5 * time.Millisecond},
		{"audit", note.ClassBulk, 1, 50 * time.Millisecond},
	})
	all := 5 * time.Minute.Seconds()
	for i, floor := range []float64{0.6, DefaultCorrectionFloor, DefaultBulkFloor} {
		if share := used[i].Seconds() / all; share < 0.9*floor {
			t.Errorf("class %s got %.3f of the slot time, its floor is %.2f", precedence[i], share, floor)
		}
	}
}

// nextStarts completes n requests of the given slot time one after the other in one
// slot and returns the workspaces whose requests were started.
func nextStarts(t *testing.T, q *Queue, now time.Time, running uint64, owner map[uint64]string, n int, service time.Duration) []string {
	t.Helper()
	var order []string
	for range n {
		now = now.Add(service)
		next := starts(q.Done(now, running))
		if len(next) != 1 {
			t.Fatalf("started %v, want one request", next)
		}
		running = next[0]
		order = append(order, owner[running])
	}
	return order
}

// TestLongRequestChargedWithoutWaiters guards against a workspace that escapes the
// charge for a long request because none of its requests waits when it completes.
func TestLongRequestChargedWithoutWaiters(t *testing.T) {
	q := New(DefaultConfig(1))
	owner := map[uint64]string{1: "long"}
	q.Arrive(epoch, req(1, "long", note.ClassInteractive))
	for id := uint64(2); id < 40; id++ {
		owner[id] = "short"
		q.Arrive(epoch, req(id, "short", note.ClassInteractive))
	}
	// The long request completes after 100 ms. Its workspace has no waiting request
	// at that time.
	now := epoch.Add(100 * time.Millisecond)
	running := starts(q.Done(now, 1))[0]
	owner[100] = "long"
	q.Arrive(now, req(100, "long", note.ClassInteractive))
	order := nextStarts(t, q, now, running, owner, 15, 5*time.Millisecond)
	if slices.Contains(order, "long") {
		t.Fatalf("order %v, want no request of the workspace that used 100 ms", order)
	}
}

// TestIdleWorkspaceAccruesNoCredit checks that a workspace that was idle only gets
// its fair share afterwards.
func TestIdleWorkspaceAccruesNoCredit(t *testing.T) {
	q := New(DefaultConfig(1))
	owner := map[uint64]string{}
	now, id := epoch, uint64(0)
	arrive := func(workspace string) {
		id++
		owner[id] = workspace
		q.Arrive(now, req(id, workspace, note.ClassInteractive))
	}
	arrive("idle")
	for range 200 {
		arrive("busy")
	}
	running := uint64(1)
	for range 100 {
		now = now.Add(5 * time.Millisecond)
		running = starts(q.Done(now, running))[0]
	}
	for range 20 {
		arrive("idle")
	}
	order := nextStarts(t, q, now, running, owner, 20, 5*time.Millisecond)
	served := 0
	for _, workspace := range order {
		if workspace == "idle" {
			served++
		}
	}
	if served < 9 || served > 11 {
		t.Fatalf("%d of 20 starts went to the workspace that was idle, want 9 to 11: %v", served, order)
	}
}

// TestNewestServedFirstAfterLongWait has three requests of one workspace
// wait for one slot, for less than lifoAfter and for lifoAfter.
func TestNewestServedFirstAfterLongWait(t *testing.T) {
	for _, c := range []struct {
		waited time.Duration
		next   uint64
	}{{lifoAfter / 2, 2}, {lifoAfter, 4}} {
		now := time.Unix(100, 0)
		q := New(DefaultConfig(1))
		for id := range uint64(4) {
			q.Arrive(now, Request{ID: id + 1, Workspace: "w", Class: note.ClassInteractive})
		}
		effects := q.Done(now.Add(c.waited), 1)
		if len(effects) != 1 || effects[0] != (Start{ID: c.next}) {
			t.Errorf("after %v: %v, want request %d", c.waited, effects, c.next)
		}
	}
}

// TestReadyWorkspaceServedAheadWithinSlack has two workspaces compete for one slot
// and one connection, which serves one workspace at a time. Each must be served several
// requests in a row, and both must get their share.
func TestReadyWorkspaceServedAheadWithinSlack(t *testing.T) {
	const cost = 30 * time.Millisecond
	now := time.Unix(100, 0)
	cfg := DefaultConfig(1)
	connected := ""
	cfg.Ready = func(workspace string) bool { return workspace == connected }
	q := New(cfg)
	id := uint64(0)
	workspaces := map[uint64]string{}
	arrive := func(workspace string) []Effect {
		id++
		workspaces[id] = workspace
		return q.Arrive(now, Request{ID: id, Workspace: workspace, Class: note.ClassInteractive})
	}
	running := arrive("a")[0].(Start).ID
	for range 3 {
		arrive("b")
		arrive("a")
	}
	served, changes := map[string]int{}, 0
	for range 100 {
		now = now.Add(cost)
		previous := workspaces[running]
		connected = previous
		served[previous]++
		arrive(previous)
		running = q.Done(now, running)[0].(Start).ID
		if workspaces[running] != previous {
			changes++
		}
	}
	if served["a"] < 40 || served["b"] < 40 {
		t.Errorf("served %v, want at least 40 of each workspace", served)
	}
	if changes > 50 {
		t.Errorf("the workspace changed %d times in 100 requests, want at most 50", changes)
	}
}
