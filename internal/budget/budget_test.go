package budget

import (
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"
)

// TestNothingLeftAfterAnyExits guards against reservations that are not returned: the use never
// exceeds the limit, and is zero once all accounts are closed, whatever they did before.
func TestNothingLeftAfterAnyExits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(16<<10, 1<<20).Draw(t, "limit")
		b := New(limit, nil, nil)
		b.runGC = func() {}
		var open []*Account
		shed, reserved := map[*Account]bool{}, map[*Account]int64{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			if len(open) == 0 || rapid.IntRange(0, 4).Draw(t, "open") == 0 {
				var a *Account
				a = b.Open(func() { shed[a] = true; a.Close() })
				open = append(open, a)
			}
			a := rapid.SampledFrom(open).Draw(t, "account")
			if shed[a] {
				continue
			}
			n := rapid.Int64Range(0, limit/2).Draw(t, "n")
			switch rapid.IntRange(0, 5).Draw(t, "operation") {
			case 0:
				if a.Reserve(n) == nil {
					reserved[a] += n
				}
			case 1:
				n = min(n, reserved[a])
				a.Release(n)
				reserved[a] -= n
			case 2:
				a.Settle()
				reserved[a] = 0
			case 3:
				_ = a.Keep(n) // may be refused
			case 4:
				_ = a.Keep(-min(n, a.kept.Load())) // does not fail
			case 5:
				a.SetWorkspace(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"))
			}
			if b.Used() < 0 || b.total.Load() > limit {
				t.Fatalf("%d bytes in use, %d with garbage, the limit is %d", b.Used(), b.total.Load(), limit)
			}
		}
		for _, a := range open {
			a.Close()
			a.Close()
		}
		if b.Used() != 0 || len(b.accounts) != 0 || len(b.groups) != 0 {
			t.Fatalf("%d bytes, %d accounts and %d workspaces left", b.Used(), len(b.accounts), len(b.groups))
		}
	})
}

// TestConcurrentAccounts guards against lost updates when connections are shed while they reserve, and
// against connections that get no more memory but are not closed.
func TestConcurrentAccounts(t *testing.T) {
	b := New(1<<20, nil, nil)
	var running sync.WaitGroup
	var refused, closed atomic.Int64
	for i := range 16 {
		running.Go(func() {
			for j := range 20 {
				a := b.Open(func() { closed.Add(1) })
				a.SetWorkspace(string(rune('a' + i%3)))
				for k := range 8 {
					if a.Reserve(int64(20<<10+k)) != nil {
						break
					}
					_ = a.Keep(int64(j)) // may be refused
				}
				a.Close()
				if a.closing.Load() {
					refused.Add(1)
				}
			}
		})
	}
	running.Wait()
	if refused.Load() > closed.Load() {
		t.Errorf("%d connections were to be shed, %d were closed", refused.Load(), closed.Load())
	}
	if b.Used() != 0 {
		t.Errorf("%d bytes left", b.Used())
	}
}

// fill opens an account of a workspace that holds n bytes.
func fill(t *testing.T, b *Budget, workspace string, n int64) (a *Account, shed *bool) {
	t.Helper()
	shed = new(bool)
	a = b.Open(func() { *shed = true; a.Close() })
	a.SetWorkspace(workspace)
	if err := a.Reserve(n); err != nil {
		t.Fatal(err)
	}
	return a, shed
}

// TestLargestConsumerShedFirst guards against the loss of ordinary connections while others hold
// more.
func TestLargestConsumerShedFirst(t *testing.T) {
	b := New(8<<20, nil, nil)
	ordinary, ordinaryShed := fill(t, b, "ordinary", 1<<20)
	_, smallShed := fill(t, b, "misuser", 1<<19)
	_, largeShed := fill(t, b, "misuser", 5<<20)
	if err := ordinary.Reserve(1 << 20); err != nil || !*largeShed || *smallShed || *ordinaryShed {
		t.Fatalf("error %v; shed: the largest connection %v, a small one %v, the ordinary one %v", err, *largeShed, *smallShed, *ordinaryShed)
	}
	// Now no connection holds half of the budget; the workspace with the most is shed.
	for range 5 {
		fill(t, b, "misuser", 3<<18)
	}
	if err := ordinary.Reserve(1 << 20); err != nil || *ordinaryShed {
		t.Fatalf("error %v; the ordinary connection was shed: %v", err, *ordinaryShed)
	}
}

// TestOrdinaryRequestsWithFullBudget guards against a budget that large requests use up.
func TestOrdinaryRequestsWithFullBudget(t *testing.T) {
	b := New(8<<20, nil, nil)
	stuck := b.Open(func() {}) // a connection that does not end when it is shed
	for stuck.Reserve(64<<10) == nil {
	}
	if err := b.Open(func() {}).Reserve(8 << 10); err != nil {
		t.Errorf("a small request: %v", err)
	}
	if err := b.Open(func() {}).Reserve(1 << 20); err == nil {
		t.Error("a large request exceeds the budget")
	}
}

// TestWorkspaceKeepsItsShare guards against one workspace that keeps all of the memory.
func TestWorkspaceKeepsItsShare(t *testing.T) {
	b := New(8<<20, nil, nil)
	keep := func(workspace string) (kept int) {
		for range 8 {
			a := b.Open(func() {})
			a.SetWorkspace(workspace)
			if a.Keep(1<<20) == nil {
				kept++
			}
		}
		return kept
	}
	if kept := keep("a"); kept != 2 {
		t.Errorf("a workspace keeps %d MiB of 8, want 2", kept)
	}
	if kept := keep("b"); kept != 2 {
		t.Errorf("another workspace keeps %d MiB, want 2", kept)
	}
}

// TestConnections guards against the loss of sessions, and of new callers, to connections that do
// not start one.
func TestConnections(t *testing.T) {
	c := NewConnections(3)
	closed := map[int]bool{}
	add := func(i int) *Connection {
		n, _ := c.Add(func() { closed[i] = true })
		return n
	}
	first := add(1)
	if !first.Keep("a") {
		t.Fatal("a session is refused")
	}
	add(2)
	add(3)
	fourth := add(4)
	if !closed[2] || closed[1] || closed[3] || c.Open() != 3 {
		t.Fatalf("closed %v, %d open; want the oldest without a session closed", closed, c.Open())
	}
	fifth := add(5)
	if !fourth.Keep("a") || fifth.Keep("a") || !fifth.Keep("b") {
		t.Fatal("an owner does not have two of three connections")
	}
	if added := add(6); added != nil {
		t.Fatal("a connection is accepted beside the full number of sessions")
	}
	first.Remove()
	first.Remove()
	if len(c.owners) != 2 || c.owners["a"] != 1 {
		t.Errorf("owners %v, want one connection each", c.owners)
	}
	if added := add(7); added == nil || c.Open() != 3 {
		t.Fatalf("%d open; want the place of a session that has ended to be free", c.Open())
	}
}

// BenchmarkStatement measures the reservations of a statement: its message, a copy and its answer.
func BenchmarkStatement(b *testing.B) {
	all := New(64<<20, nil, nil)
	b.RunParallel(func(pb *testing.PB) {
		a := all.Open(func() {})
		a.SetWorkspace("workspace")
		for pb.Next() {
			_ = a.Reserve(300)
			_ = a.Reserve(300)
			_ = a.Reserve(200)
			a.Settle()
		}
	})
}
